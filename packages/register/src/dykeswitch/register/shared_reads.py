"""Concurrent reads of a key share one round of requests to the disks.

A read must reflect every change that was acknowledged before the read was requested. So a caller never
joins a round that has already started: it joins the next one, with all callers that arrive in the
meantime. A long round, for example because a disk does not answer, delays the next one only briefly.
"""

import asyncio
import typing

Result = typing.TypeVar("Result")


class SharedReads(typing.Generic[Result]):
    """Runs rounds of reads; at most one round per key is waiting to start."""

    def __init__(
        self, read: typing.Callable[[str], typing.Coroutine[typing.Any, typing.Any, Result]], overlap_s: float
    ) -> None:
        self._read = read
        # The next round starts when the previous one has finished or has run for this long.
        self._overlap_s = overlap_s
        # For each key, the round that started last and the round that is waiting to start.
        self._running: dict[str, asyncio.Task[Result]] = {}
        self._waiting: dict[str, asyncio.Task[Result]] = {}

    async def read(self, key: str) -> Result:
        """Returns the result of a round that starts after this call."""
        waiting = self._waiting.get(key)
        if waiting is None:
            waiting = asyncio.create_task(self._run_round(key))
            self._waiting[key] = waiting
        # Other callers wait for the same round: cancelling one of them must not end it.
        return await asyncio.shield(waiting)

    async def _run_round(self, key: str) -> Result:
        previous = self._running.get(key)
        if previous is not None and not previous.done():
            await asyncio.wait([previous], timeout=self._overlap_s)
        # From here on no caller may join this round.
        task = self._waiting.pop(key)
        self._running[key] = task
        try:
            return await self._read(key)
        finally:
            if self._running.get(key) is task:
                del self._running[key]
