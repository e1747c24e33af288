"""The ports: what the programs ask of clock, network, disk and web server.

Each has one adapter for real machines (`dykeswitch.ports.real`) and one for the
simulator; nothing else in the programs touches the operating system.
"""

import asyncio
import functools
import ipaddress
import math
import pathlib
import typing

T = typing.TypeVar("T")

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]
# Libraries type their own scopes more narrowly, so the call itself is left open.
App = typing.Callable[..., typing.Coroutine[typing.Any, typing.Any, None]]


# An `ip:port` that was checked: only what `address_of` let through can be dialled.
Address = typing.NewType("Address", str)


class AddressError(ValueError):
    """Something that is no `ip:port`."""


def address_of(raw: object) -> Address:
    """A checked address; raises `AddressError` for anything else."""
    fault = address_fault(raw) if isinstance(raw, str) else "an address must be text"
    if fault is not None:
        raise AddressError(fault)
    return Address(str(raw))


# The same few addresses come with each beat: they are not read anew each time.
@functools.lru_cache(4096)
def address_fault(text: str) -> str | None:
    """What is wrong with an `ip:port`, if anything."""
    host, colon, port = text.rpartition(":")
    if not colon:
        return f"'{text}' is not ip:port"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"'{host}' is not an IP number"
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        return f"'{port}' is not a port"
    return None


class Clock(typing.Protocol):
    """Time: `now` never jumps, `wall` may."""

    def now(self) -> float:
        """Monotonic seconds."""
        ...

    def wall(self) -> float:
        """Seconds since the epoch by the machine's own clock, which may be set."""
        ...

    async def sleep(self, duration_s: float) -> None:
        """Wait for so many seconds."""
        ...


class Connection(typing.Protocol):
    """A two-way stream of bytes."""

    async def read(self, max_bytes: int) -> bytes:
        """Up to `max_bytes` bytes; none at the end of the stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Send all of `data`, waiting for a slow reader."""
        ...

    def close(self) -> None:
        """Close both directions."""
        ...

    def ended(self) -> bool:
        """Whether the stream is over or holds bytes that nobody asked for."""
        ...


Serve = typing.Callable[[Connection], typing.Awaitable[None]]


class Listener(typing.Protocol):
    """An open ear; `close` stops taking new pipes."""

    def close(self) -> None:
        """Stop accepting."""
        ...


class Network(typing.Protocol):
    """Pipes by address; an address is `ip:port`."""

    async def connect(self, address: Address, timeout_s: float) -> Connection:
        """Connect to an address within `timeout_s` seconds."""
        ...

    async def listen(self, address: str, serve: Serve) -> Listener:
        """Accept connections at an address; each is handed to `serve`."""
        ...


class Disk(typing.Protocol):
    """The steps that make a file last; the files themselves lie under `root`."""

    @property
    def root(self) -> pathlib.Path:
        """The folder that holds the files."""
        ...

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's content durable."""
        ...

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make a folder's names durable."""
        ...

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder, replacing what has the new name."""
        ...

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or a whole folder, if it is there."""
        ...

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Run blocking work off the event loop."""
        ...


class FaultPoints(typing.Protocol):
    """Numbered points at which a test may inject a fault."""

    def hit(self, number: int) -> None:
        """Pass the point of this number."""
        ...


class NoFaultPoints:
    """In production nothing happens at a numbered point."""

    def hit(self, number: int) -> None:
        """Do nothing."""
        return None


class Response(typing.NamedTuple):
    """What a web call brought back."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """The first header field of a name in lower case, if there is one."""
        for key, text in self.headers:
            if key.lower() == name:
                return text
        return None


# Header fields of a call, or what makes them out at the moment when its way is open: who
# states what is left of its time can't know it any earlier.
Fields = list[tuple[str, str]] | typing.Callable[[], list[tuple[str, str]]]


def resolve_fields(fields: Fields) -> list[tuple[str, str]]:
    """The fields as they are at this moment; raises what their maker raises."""
    return fields() if callable(fields) else fields


class ConnectionLimits(typing.NamedTuple):
    """How large a request's head may be (bytes), how long it and a rest between two may take (seconds)."""

    head_most: int
    head_s: float
    idle_s: float


# What holds where nobody says anything else.
DEFAULT_LIMITS: typing.Final = ConnectionLimits(head_most=32768, head_s=60.0, idle_s=60.0)


def default_limits() -> ConnectionLimits:
    """The limits of a server to which nobody gave any."""
    return DEFAULT_LIMITS


# The limits of this moment: they may change while connections are open.
Limits = typing.Callable[[], ConnectionLimits]


class Web(typing.Protocol):
    """Web calls out, and an application served to the outside."""

    async def serve(self, address: str, app: App, limits: Limits = default_limits) -> "WebServer":
        """Serve an application at an address."""
        ...

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Fields,
        body: bytes,
        timeout_s: float,
    ) -> Response:
        """Make one call and bring back the whole reply."""
        ...


class WebServer(typing.Protocol):
    """A served application."""

    async def stop(self, grace_s: float) -> None:
        """Stop serving, with `grace_s` seconds for the calls that are running."""
        ...


class Machine(typing.NamedTuple):
    """All the ports of one machine, handed to a program as one."""

    clock: Clock
    net: Network
    web: Web
    fault_points: FaultPoints


async def wait_for(cond: asyncio.Condition, predicate: typing.Callable[[], bool], timeout_s: float) -> bool:
    """Wait on a held condition until the test holds or the span is over."""
    try:
        async with asyncio.timeout(timeout_s if timeout_s < math.inf else None):
            await cond.wait_for(predicate)
        return True
    except TimeoutError:
        return False
