"""The proxy's knowledge of the fleet, as the stages of an exchange use it."""

import typing


class FleetStatus(typing.Protocol):
    """How current a proxy's knowledge of the fleet is."""

    async def confirm_fresh(self, deadline: float) -> bool:
        """Return whether the local state is current, confirming it by the deadline if that is in doubt."""
        ...

    def clock_jumped(self) -> bool:
        """Return whether a gap in the local clock shows that the process was frozen."""
        ...

    def silence_s(self) -> float:
        """Return the seconds since another node was last heard."""
        ...

    def borrowing_since(self) -> float | None:
        """Return since when this proxy borrows from the fleet's budget for extra attempts, if it does."""
        ...
