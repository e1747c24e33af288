"""The timeout of one attempt, which is shorter while another attempt can be made."""

import asyncio
import types
import typing


class AttemptTimeout:
    """A timeout on one attempt, with an earlier limit at which it may yield to a retry.

    After `soft_limit_s` seconds the attempt ends if `may_retry` returns true. If not, the check is
    repeated every `soft_limit_s` seconds. After `hard_limit_s` seconds the attempt ends in any case.
    Either limit raises `TimeoutError`.
    """

    def __init__(
        self, soft_limit_s: float, hard_limit_s: float, may_retry: typing.Callable[[], bool]
    ) -> None:
        self._soft_limit_s = soft_limit_s
        self._has_soft_limit = soft_limit_s < hard_limit_s
        self._timer = asyncio.timeout(hard_limit_s)
        self._may_retry = may_retry
        self._next_check: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "AttemptTimeout":
        await self._timer.__aenter__()
        if self._has_soft_limit:
            self._schedule_check()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._next_check is not None:
            self._next_check.cancel()
        # Turns the cancellation by the timer into `TimeoutError`.
        await self._timer.__aexit__(kind, error, trace)

    def _schedule_check(self) -> None:
        self._next_check = asyncio.get_running_loop().call_later(self._soft_limit_s, self._check)

    def _check(self) -> None:
        self._next_check = None
        if self._timer.expired():
            return
        if self._may_retry():
            self._timer.reschedule(asyncio.get_running_loop().time())
        else:
            self._schedule_check()
