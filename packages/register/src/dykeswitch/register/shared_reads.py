"""Reads of one key that are asked for at about the same time share a round at the disks.

A read must tell of every change that was acknowledged before it was asked for. So a caller never
joins a round that has begun: it joins the next one, together with all who ask meanwhile. A round
that takes long, as beside a disk that is silent, does not hold up the next for more than a moment.
"""

import asyncio
import typing

Result = typing.TypeVar("Result")


class SharedReads(typing.Generic[Result]):
    """Runs rounds of reads, at most one of which waits to begin for each key."""

    def __init__(
        self, read: typing.Callable[[str], typing.Coroutine[typing.Any, typing.Any, Result]], overlap_s: float
    ) -> None:
        self._read = read
        # After how many seconds of a round the next one begins all the same.
        self._overlap_s = overlap_s
        # The round of each key that began last, and the one that is to begin.
        self._running: dict[str, asyncio.Task[Result]] = {}
        self._waiting: dict[str, asyncio.Task[Result]] = {}

    async def read(self, key: str) -> Result:
        """The result of a round that begins after this call."""
        waiting = self._waiting.get(key)
        if waiting is None:
            waiting = asyncio.create_task(self._round(key))
            self._waiting[key] = waiting
        # Others wait for the same round: who gives up on it does not end it.
        return await asyncio.shield(waiting)

    async def _round(self, key: str) -> Result:
        before = self._running.get(key)
        if before is not None and not before.done():
            await asyncio.wait([before], timeout=self._overlap_s)
        # From here on nobody may join.
        task = self._waiting.pop(key)
        self._running[key] = task
        try:
            return await self._read(key)
        finally:
            if self._running.get(key) is task:
                del self._running[key]
