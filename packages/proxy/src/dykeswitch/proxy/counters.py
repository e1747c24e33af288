"""The proxy's counters."""


class Counters:
    """Named values for the counters page, which never decrease."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Increment a counter."""
        self.values[name] = self.values.get(name, 0) + 1

    def record_max(self, name: str, value: int) -> None:
        """Raise a counter to a value if it is lower."""
        self.values[name] = max(self.values.get(name, 0), value)
