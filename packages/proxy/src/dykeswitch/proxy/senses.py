"""What the stages of an exchange ask of the proxy that they are part of."""

import typing


class Senses(typing.Protocol):
    """How much a proxy knows of the fleet at this moment."""

    async def confirm_fresh(self, by: float) -> bool:
        """Whether what we hold is of today, found out first, by then, where that is in doubt."""
        ...

    def clock_jumped(self) -> bool:
        """Whether our own clock shows that we were frozen."""
        ...

    def silence_s(self) -> float:
        """For how long no other node was heard."""
        ...

    def borrowing_since(self) -> float | None:
        """Since when we have a part of the fleet's extra go's, if we have one."""
        ...
