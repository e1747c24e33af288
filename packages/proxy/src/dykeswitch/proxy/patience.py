"""How long an attempt may go on: cut short for another one only where another can be made."""

import asyncio
import types
import typing


class Patience:
    """A time limit on one attempt, with an earlier point at which it gives way to the next.

    After `patience_s` seconds the attempt ends if `may_give_way` says so then, and is asked again
    each time as long after; after `limit_s` seconds it ends in any case. Ends by `TimeoutError`.
    """

    def __init__(self, patience_s: float, limit_s: float, may_give_way: typing.Callable[[], bool]) -> None:
        self._patience_s = patience_s
        self._limited = patience_s < limit_s
        self._timer = asyncio.timeout(limit_s)
        self._may_give_way = may_give_way
        self._look: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "Patience":
        await self._timer.__aenter__()
        if self._limited:
            self._look_later()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        flaw: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._look is not None:
            self._look.cancel()
        # Turns its own cancelling into `TimeoutError`.
        await self._timer.__aexit__(kind, flaw, trace)

    def _look_later(self) -> None:
        self._look = asyncio.get_running_loop().call_later(self._patience_s, self._look_now)

    def _look_now(self) -> None:
        self._look = None
        if self._timer.expired():
            return
        if self._may_give_way():
            self._timer.reschedule(asyncio.get_running_loop().time())
        else:
            self._look_later()
