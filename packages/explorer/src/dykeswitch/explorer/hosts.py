"""A host: one process on one machine, with its own clock, tasks and timers."""

import asyncio
import contextvars
import dataclasses
import typing
import weakref

import dykeswitch.ports as ports


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """A callback due at a moment of its host's clock."""

    due_at: float
    sequence: int
    handle: asyncio.TimerHandle


class Host:
    """One process. Its clock moves only when one of its own timers fires."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.up = True
        self.now = 0.0
        # How often the process was started; part of names that must be new with each start.
        self.starts = 0
        self.tasks: dict[asyncio.Task[typing.Any], None] = {}
        # Those that the model began: the process's own work, and calls that it serves.
        self.main_tasks: weakref.WeakSet[asyncio.Task[typing.Any]] = weakref.WeakSet()
        self.timers: list[Timer] = []
        # The objects that make up the process's memory, for the fingerprint of its state.
        self.memory: list[object] = []

    def earliest_timer(self) -> Timer | None:
        """The timer that is due first, cancelled ones dropped."""
        self.timers = [timer for timer in self.timers if not timer.handle.cancelled()]
        return min(self.timers, key=lambda timer: (timer.due_at, timer.sequence), default=None)

    def stop(self) -> None:
        """End the process; what it held in memory is gone."""
        self.up = False
        self.tasks.clear()
        self.timers.clear()
        self.memory.clear()


# The host on whose behalf the running code runs.
CURRENT_HOST: typing.Final[contextvars.ContextVar[Host | None]] = contextvars.ContextVar("host", default=None)
# Which start of that host the running code belongs to.
CURRENT_START: typing.Final[contextvars.ContextVar[int]] = contextvars.ContextVar("life", default=0)


def enter(context: contextvars.Context, host: Host) -> None:
    """Let what runs in a context run on a host, as a part of its process of this moment."""
    context.run(CURRENT_HOST.set, host)
    context.run(CURRENT_START.set, host.starts)


def is_current_process(context: contextvars.Context) -> bool:
    """Whether the process that a context belongs to is the one that its host runs.

    Unwinding the coroutines of a process that ended wakes others of them, for instance by
    releasing a lock. A killed process runs nothing any more, whatever came after it.
    """
    host = context.get(CURRENT_HOST)
    return host is None or (host.up and host.starts == context.get(CURRENT_START, 0))


class HostClock:
    """A host's clock, on which each sleep lasts at least `shortest_sleep`.

    A sleep may always last longer than asked. Making it last bounds how often code that
    retries until a deadline does so, and with it the scope.
    """

    def __init__(self, host: Host, min_sleep_s: float) -> None:
        self._host = host
        self._min_sleep_s = min_sleep_s

    def now(self) -> float:
        """The host's time, which never jumps."""
        return self._host.now

    def wall(self) -> float:
        """The host's wall time, the same."""
        return self._host.now

    async def sleep(self, duration_s: float) -> None:
        """Sleep for the span or longer."""
        await asyncio.sleep(max(duration_s, self._min_sleep_s))


class NoNetwork:
    """Calls are messages of the model; nothing dials."""

    async def connect(self, address: str, timeout_s: float) -> ports.Connection:
        """Refuse: there is nobody to connect to."""
        raise ConnectionRefusedError(address)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Refuse: nobody could connect."""
        raise OSError(address)


class NoWeb:
    """No web call leaves a host of the model."""

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Refuse: nobody could call."""
        raise OSError(address)

    async def request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        """Refuse: there is nobody to call."""
        raise ConnectionRefusedError(address)
