"""An event loop that runs callbacks until all tasks wait, and fires timers only on request."""

import asyncio
import collections
import contextvars
import itertools
import typing

import dykeswitch.explorer.hosts as hosts

Callback = typing.Callable[..., object]


class CooperativeLoop(asyncio.AbstractEventLoop):
    """Runs ready callbacks in order; a timer fires only when the driver calls `fire`."""

    def __init__(self) -> None:
        self._ready: collections.deque[asyncio.Handle] = collections.deque()
        self._sequence = itertools.count()
        self._closed = False
        # Unhandled exceptions; the driver reports them as violations.
        self.failures: list[str] = []

    def get_debug(self) -> bool:
        """Return False: debug mode is not supported."""
        return False

    def is_running(self) -> bool:
        """Return True: callbacks may always run."""
        return True

    def is_closed(self) -> bool:
        """Return whether the loop has been closed."""
        return self._closed

    def time(self) -> float:
        """Return the time of the host whose code is running."""
        host = hosts.CURRENT_HOST.get()
        return host.now if host is not None else 0.0

    def call_soon(  # type: ignore[override]
        self,
        callback: Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Add a callback to the ready queue."""
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
        """Set a timer of the host whose code is running."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Set a timer of the host whose code is running."""
        context = contextvars.copy_context() if context is None else context
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        host = context.get(hosts.CURRENT_HOST)
        if host is not None and hosts.is_current_process(context) and not self._closed:
            host.timers.append(hosts.Timer(when, next(self._sequence), handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        # The host drops cancelled timers when it next looks for its earliest one.
        return None

    def create_future(self) -> asyncio.Future[typing.Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self,
        coro: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine on the host of the given or the current context."""
        task: asyncio.Task[typing.Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        # Crashes leave pending tasks by design, so asyncio must not warn about them.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        host = hosts.CURRENT_HOST.get() if context is None else context.get(hosts.CURRENT_HOST)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(lambda done: host.tasks.pop(done, None))
        return task

    def call_exception_handler(self, context: dict[str, typing.Any]) -> None:
        """Record an unhandled exception."""
        if self._closed:
            return
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {type(error).__name__}: {error}")

    def fire(self, timer: hosts.Timer) -> None:
        """Add a timer's callback to the ready queue."""
        self._ready.append(timer.handle)

    def run_until_idle(self) -> None:
        """Run callbacks in order until every task waits for an external event."""
        asyncio._set_running_loop(self)
        try:
            while self._ready:
                handle = self._ready.popleft()
                if not handle.cancelled() and hosts.is_current_process(handle._context):  # type: ignore[attr-defined]
                    handle._run()
        finally:
            asyncio._set_running_loop(None)

    def close(self) -> None:
        """Refuse further callbacks, so that unwinding coroutines have no effect."""
        self._closed = True
        self._ready.clear()


def unwind(task: asyncio.Task[typing.Any]) -> None:
    """Close a task's coroutine without running its loop."""
    try:
        task.get_coro().close()
    except (RuntimeError, ValueError):
        # The coroutine awaits in a `finally` block or is already being closed. It cannot have any
        # further effect.
        return
