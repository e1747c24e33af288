"""An event loop that runs callbacks until all wait, and leaves every timer to its driver."""

import asyncio
import collections
import contextvars
import itertools
import typing

import dykeswitch.explorer.hosts as hosts

Callback = typing.Callable[..., object]


class CooperativeLoop(asyncio.AbstractEventLoop):
    """Runs what is ready in order; a timer fires only when its host is told to."""

    def __init__(self) -> None:
        self._ready: collections.deque[asyncio.Handle] = collections.deque()
        self._sequence = itertools.count()
        self._closed = False
        # Exceptions that no task handled; the driver reports them as violations.
        self.failures: list[str] = []

    def get_debug(self) -> bool:
        """Never in debug mode."""
        return False

    def is_running(self) -> bool:
        """Whether callbacks may run: always."""
        return True

    def is_closed(self) -> bool:
        """Whether the loop was closed."""
        return self._closed

    def time(self) -> float:
        """The time of the host whose code runs."""
        host = hosts.CURRENT_HOST.get()
        return host.now if host is not None else 0.0

    def call_soon(  # type: ignore[override]
        self,
        callback: Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback with the next ones."""
        context = contextvars.copy_context() if context is None else context
        handle = asyncio.Handle(callback, args, self, context)
        if not self._closed:
            self._ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Set a timer of the running host."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Set a timer of the running host."""
        context = contextvars.copy_context() if context is None else context
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        host = context.get(hosts.CURRENT_HOST)
        if host is not None and hosts.is_current_process(context) and not self._closed:
            host.timers.append(hosts.Timer(when, next(self._sequence), handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        # A cancelled timer is dropped when its host next looks for the earliest.
        return None

    def create_future(self) -> asyncio.Future[typing.Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self,
        coro: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine on the host that creates it."""
        task: asyncio.Task[typing.Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        # A crash leaves tasks pending on purpose.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        host = hosts.CURRENT_HOST.get() if context is None else context.get(hosts.CURRENT_HOST)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(lambda done: host.tasks.pop(done, None))
        return task

    def call_exception_handler(self, context: dict[str, typing.Any]) -> None:
        """Note an exception that nobody handled."""
        if self._closed:
            return
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {type(error).__name__}: {error}")

    def fire(self, timer: hosts.Timer) -> None:
        """Make a timer's callback ready."""
        self._ready.append(timer.handle)

    def run_until_idle(self) -> None:
        """Run callbacks, in order, until every task waits for an outside event."""
        asyncio._set_running_loop(self)
        try:
            while self._ready:
                handle = self._ready.popleft()
                if not handle.cancelled() and hosts.is_current_process(handle._context):  # type: ignore[attr-defined]
                    handle._run()
        finally:
            asyncio._set_running_loop(None)

    def close(self) -> None:
        """Refuse further callbacks; what unwinds afterwards changes nothing."""
        self._closed = True
        self._ready.clear()


def unwind(task: asyncio.Task[typing.Any]) -> None:
    """End a task's coroutine without its loop."""
    try:
        task.get_coro().close()
    except (RuntimeError, ValueError):
        # It waits on in a `finally`, or is being unwound by another: it has no effect any more.
        return
