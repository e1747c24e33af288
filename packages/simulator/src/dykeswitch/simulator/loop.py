"""An asyncio event loop on virtual time, on which a single simulated machine can freeze or die."""

import asyncio
import contextvars
import selectors
import typing

EMPTY_CONTEXT: typing.Final = contextvars.Context()


class LoopStalledError(Exception):
    """No callback is ready and no timer is set, so the simulation can not go on."""


class Host:
    """The loop's record of one simulated machine: its state, deferred callbacks and tasks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        self.deferred: list[HostCallback] = []
        self.tasks: dict[asyncio.Task[typing.Any], None] = {}


CURRENT_HOST: typing.Final[contextvars.ContextVar[Host | None]] = contextvars.ContextVar("host", default=None)


class HostCallback:
    """A callback of a host, which is deferred while the host is frozen."""

    __slots__ = ("args", "call", "context", "handle", "host")

    def __init__(
        self,
        host: Host,
        call: typing.Callable[..., object],
        args: tuple[typing.Any, ...],
        context: contextvars.Context,
    ) -> None:
        self.host = host
        self.call = call
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        # It may have been cancelled after a freeze deferred it.
        if self.handle is not None and self.handle.cancelled():
            return
        if self.host.frozen:
            self.host.deferred.append(self)
            return
        self.call(*self.args)


class _Selector(selectors.BaseSelector):
    """A selector that advances the virtual clock instead of waiting; it never reports an event."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None
        self._map: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._map[descriptor] = key
        return key

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._map.pop(descriptor)

    def get_key(self, fileobj: typing.Any) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._map[descriptor]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise LoopStalledError("no callback is ready and no timer is set")
        if timeout > 0 and self.loop is not None:
            self.loop.advance(timeout)
        return []

    def get_map(self) -> dict[int, selectors.SelectorKey]:  # type: ignore[override]
        return self._map


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when no callback is ready."""

    def __init__(self) -> None:
        selector = _Selector()
        self._now = 1000.0
        super().__init__(selector)
        selector.loop = self
        self.set_task_factory(self._make_task)  # type: ignore[arg-type]

    def time(self) -> float:
        return self._now

    def advance(self, duration_s: float) -> None:
        # Advance by 1 ns more, so that a due timer is not missed by a rounding error.
        self._now += duration_s + 1e-9

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coro: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        **kwargs: typing.Any,
    ) -> asyncio.Task[typing.Any]:
        task: asyncio.Task[typing.Any] = asyncio.Task(coro, loop=loop, **kwargs)
        context: contextvars.Context | None = kwargs.get("context")
        host = CURRENT_HOST.get() if context is None else context.get(CURRENT_HOST)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(lambda t: host.tasks.pop(t, None), context=EMPTY_CONTEXT)
            if host.dead:
                task.cancel()
        return task

    def call_soon(  # type: ignore[override]
        self,
        callback: typing.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        context = contextvars.copy_context() if context is None else context
        host = context.get(CURRENT_HOST)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        host_callback = HostCallback(host, callback, args, context)
        host_callback.handle = super().call_soon(host_callback, context=context)
        return host_callback.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: typing.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        host = context.get(CURRENT_HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        host_callback = HostCallback(host, callback, args, context)
        handle = super().call_at(when, host_callback, context=context)
        host_callback.handle = handle
        return handle

    def freeze(self, host: Host) -> None:
        host.frozen = True

    def thaw(self, host: Host) -> None:
        """Unfreeze a host; the callbacks that were deferred meanwhile run now, in their order."""
        host.frozen = False
        deferred, host.deferred = host.deferred, []
        for host_callback in deferred:
            # Its first handle is kept: the callback can still be cancelled through it.
            super().call_soon(host_callback, context=host_callback.context)


def run(coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a coroutine to its end on a new virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.set_exception_handler(lambda _loop, _context: None)
        loop.run_until_complete(_settle())
        loop.close()


async def _settle() -> None:
    for _ in range(50):
        await asyncio.sleep(0)
