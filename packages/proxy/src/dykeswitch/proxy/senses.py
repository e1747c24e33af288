"""What the stages of an exchange ask of the proxy that they are part of."""

import typing


class Senses(typing.Protocol):
    """How much a proxy knows of the fleet at this moment."""

    async def sure(self, by: float) -> bool:
        """Whether what we hold is of today, found out first, by then, where that is in doubt."""
        ...

    def gapped(self) -> bool:
        """Whether our own clock shows that we were frozen."""
        ...

    def silent(self) -> float:
        """For how long no other node was heard."""
        ...

    def sharing(self) -> float | None:
        """Since when we have a part of the fleet's extra go's, if we have one."""
        ...
