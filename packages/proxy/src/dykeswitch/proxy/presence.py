"""Cancels the work for a request when its client disconnects."""

import asyncio
import types
import typing

import dykeswitch.ports.departure as departures


class ClientLeftError(Exception):
    """The client disconnected, so nothing is left to do for its request."""


class CancelOnDeparture:
    """Context manager that cancels its block when the client disconnects and raises `ClientLeftError`.

    The block is not cancelled if `may_cancel` returns False at that moment, as for a writing request
    that has been sent: such a block has to check for the disconnection itself.
    """

    def __init__(
        self,
        departure: departures.Departure,
        may_cancel: typing.Callable[[], bool],
        on_left: typing.Callable[[], None],
    ) -> None:
        self._departure = departure
        self._may_cancel = may_cancel
        self._on_left = on_left
        self._task: asyncio.Task[typing.Any] | None = None
        # Cancellation requests of the task before this block, and whether this block requested another.
        self._cancel_requests_before = 0
        self._cancelled_here = False

    async def __aenter__(self) -> "CancelOnDeparture":
        if self._departure.has_left:
            self._on_left()
            raise ClientLeftError
        self._task = asyncio.current_task()
        assert self._task is not None
        self._cancel_requests_before = self._task.cancelling()
        self._departure.watch(self._on_departure)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._departure.unwatch()
        if not self._cancelled_here:
            return
        assert self._task is not None
        # A cancellation that somebody else requested stays in effect.
        only_cancelled_here = self._task.uncancel() <= self._cancel_requests_before
        if only_cancelled_here and error_type is asyncio.CancelledError:
            raise ClientLeftError from error

    def _on_departure(self) -> None:
        self._on_left()
        if self._may_cancel():
            assert self._task is not None
            self._cancelled_here = True
            self._task.cancel()
