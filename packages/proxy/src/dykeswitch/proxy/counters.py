"""What a proxy counts, by name."""


class Counters:
    """Numbers that only grow, for the counters page."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Count one more of something."""
        self.values[name] = self.values.get(name, 0) + 1

    def most(self, name: str, value: int) -> None:
        """Keep the most that was seen of something."""
        self.values[name] = max(self.values.get(name, 0), value)
