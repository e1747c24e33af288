"""Hosts: each is one process on one machine, with its own clock, tasks and timers."""

import asyncio
import contextvars
import dataclasses
import typing
import weakref

import dykeswitch.ports as ports


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """A callback that is due at a time of its host's clock."""

    due_at: float
    sequence: int
    handle: asyncio.TimerHandle


class Host:
    """A process on a machine.

    Its clock advances when one of its own timers fires, and with each finished call if the
    settings of the world say so.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.up = True
        self.now = 0.0
        # The number of starts; part of names that must be different after each start.
        self.starts = 0
        self.tasks: dict[asyncio.Task[typing.Any], None] = {}
        # The tasks that the model started: the main task of the process and the calls it serves.
        self.main_tasks: weakref.WeakSet[asyncio.Task[typing.Any]] = weakref.WeakSet()
        self.timers: list[Timer] = []
        # The objects that form the memory of the process, for its fingerprint.
        self.memory: list[object] = []

    def earliest_timer(self) -> Timer | None:
        """Drop cancelled timers and return the one that is due first, if any."""
        self.timers = [timer for timer in self.timers if not timer.handle.cancelled()]
        return min(self.timers, key=lambda timer: (timer.due_at, timer.sequence), default=None)

    def stop(self) -> None:
        """End the process and discard its memory."""
        self.up = False
        self.tasks.clear()
        self.timers.clear()
        self.memory.clear()


# The host that the running code belongs to.
CURRENT_HOST: typing.Final[contextvars.ContextVar[Host | None]] = contextvars.ContextVar("host", default=None)
# The start of that host that the running code belongs to.
CURRENT_START: typing.Final[contextvars.ContextVar[int]] = contextvars.ContextVar("life", default=0)


def enter(context: contextvars.Context, host: Host) -> None:
    """Bind a context to the current process of a host."""
    context.run(CURRENT_HOST.set, host)
    context.run(CURRENT_START.set, host.starts)


def is_current_process(context: contextvars.Context) -> bool:
    """Return whether the process that a context belongs to is the current process of its host.

    Unwinding the coroutines of an ended process can wake others of them, for instance by
    releasing a lock. They must not run, even if the host has been started again.
    """
    host = context.get(CURRENT_HOST)
    return host is None or (host.up and host.starts == context.get(CURRENT_START, 0))


class HostClock:
    """A host's clock, on which each sleep lasts at least `min_sleep_s`.

    A sleep may always last longer than requested. The minimum limits how often code that retries
    until a deadline does so, and thus the size of the scope.
    """

    def __init__(self, host: Host, min_sleep_s: float) -> None:
        self._host = host
        self._min_sleep_s = min_sleep_s

    def now(self) -> float:
        """Return the host's time, which never jumps."""
        return self._host.now

    def wall(self) -> float:
        """Return the host's wall-clock time, which equals `now`."""
        return self._host.now

    async def sleep(self, duration_s: float) -> None:
        """Sleep for the duration or longer."""
        await asyncio.sleep(max(duration_s, self._min_sleep_s))


class NoNetwork:
    """A network without connections: calls are messages of the model."""

    async def connect(self, address: str, timeout_s: float) -> ports.Connection:
        """Refuse the connection: no address can be reached."""
        raise ConnectionRefusedError(address)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Refuse to listen: no client could connect."""
        raise OSError(address)


class NoWeb:
    """A web port without requests: hosts of the model neither send nor serve any."""

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Refuse to serve: no client could send a request."""
        raise OSError(address)

    async def request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        """Refuse the request: no address can be reached."""
        raise ConnectionRefusedError(address)
