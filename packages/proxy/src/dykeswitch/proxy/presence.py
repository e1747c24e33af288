"""The presence of a caller: work for it ends once nobody waits for the answer any more."""

import asyncio
import types
import typing

import dykeswitch.ports.departure as departures


class CallerLeftError(Exception):
    """Nobody waits for this request's answer: there is nothing left to do for it."""


class Presence:
    """Runs a block for as long as its caller is there; ends it by `CallerLeftError`.

    The block is not broken off where `may_end` says so at the moment of the departure, as for
    an order that has been sent: such a block is to look at the departure by itself.
    """

    def __init__(
        self,
        departure: departures.Departure,
        may_end: typing.Callable[[], bool],
        noted: typing.Callable[[], None],
    ) -> None:
        self._departure = departure
        self._may_end = may_end
        self._noted = noted
        self._task: asyncio.Task[typing.Any] | None = None
        # How often the task had been asked to end before, and whether we asked.
        self._cancelling = 0
        self._ended = False

    async def __aenter__(self) -> "Presence":
        if self._departure.has_left:
            self._noted()
            raise CallerLeftError
        self._task = asyncio.current_task()
        assert self._task is not None
        self._cancelling = self._task.cancelling()
        self._departure.watch(self._on_departure)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        flaw: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._departure.unwatch()
        if not self._ended:
            return
        assert self._task is not None
        # Who else asked the task to end gets what it asked for.
        ours = self._task.uncancel() <= self._cancelling
        if ours and kind is asyncio.CancelledError:
            raise CallerLeftError from flaw

    def _on_departure(self) -> None:
        self._noted()
        if self._may_end():
            assert self._task is not None
            self._ended = True
            self._task.cancel()
