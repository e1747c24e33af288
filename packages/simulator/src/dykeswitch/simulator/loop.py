"""An asyncio loop on virtual time, in which a single machine can freeze or die."""

import asyncio
import contextvars
import selectors
import typing

EMPTY: typing.Final = contextvars.Context()


class Stalled(Exception):
    """Nothing is ready and nothing is scheduled: the simulated world has stopped."""


class Host:
    """One simulated machine as the loop sees it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        self.held: list[Guard] = []
        self.tasks: dict[asyncio.Task[typing.Any], None] = {}


HOST: typing.Final[contextvars.ContextVar[Host | None]] = contextvars.ContextVar("host", default=None)


class Guard:
    """A callback of a host, run only while that host runs."""

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
        # Held back by a freeze and cancelled since: not to be run any more.
        if self.handle is not None and self.handle.cancelled():
            return
        if self.host.frozen:
            self.host.held.append(self)
            return
        self.call(*self.args)


class _Selector(selectors.BaseSelector):
    """Waits by moving the clock; no real event ever comes."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None
        self._map: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        hand = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, hand, events, data)
        self._map[hand] = key
        return key

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        hand = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._map.pop(hand)

    def get_key(self, fileobj: typing.Any) -> selectors.SelectorKey:
        hand = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._map[hand]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise Stalled("nothing left to wait for")
        if timeout > 0 and self.loop is not None:
            self.loop.pass_time(timeout)
        return []

    def get_map(self) -> dict[int, selectors.SelectorKey]:  # type: ignore[override]
        return self._map


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do at the present moment."""

    def __init__(self) -> None:
        selector = _Selector()
        self._moment = 1000.0
        super().__init__(selector)
        selector.loop = self
        self.set_task_factory(self._make_task)  # type: ignore[arg-type]

    def time(self) -> float:
        return self._moment

    def pass_time(self, span: float) -> None:
        # A hair more, so that rounding never leaves a due timer a step away.
        self._moment += span + 1e-9

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coro: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        **more: typing.Any,
    ) -> asyncio.Task[typing.Any]:
        task: asyncio.Task[typing.Any] = asyncio.Task(coro, loop=loop, **more)
        context: contextvars.Context | None = more.get("context")
        host = HOST.get() if context is None else context.get(HOST)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(lambda t: host.tasks.pop(t, None), context=EMPTY)
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
        host = context.get(HOST)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        guard = Guard(host, callback, args, context)
        guard.handle = super().call_soon(guard, context=context)
        return guard.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: typing.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        host = context.get(HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        guard = Guard(host, callback, args, context)
        handle = super().call_at(when, guard, context=context)
        guard.handle = handle
        return handle

    def freeze(self, host: Host) -> None:
        host.frozen = True

    def thaw(self, host: Host) -> None:
        """Let a host go on; what fell due meanwhile runs now, in order."""
        host.frozen = False
        held, host.held = host.held, []
        for guard in held:
            # The first handle stays the one by which it may yet be cancelled.
            super().call_soon(guard, context=guard.context)


def run(work: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a coroutine to its end on a fresh virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.set_exception_handler(lambda _loop, _context: None)
        loop.run_until_complete(_settle())
        loop.close()


async def _settle() -> None:
    for _ in range(50):
        await asyncio.sleep(0)
