"""Interfaces ("ports") through which the programs use clock, network, disk and web server.

Each port has an implementation for real machines (`dykeswitch.ports.real`) and one in the
simulator. No other code of the programs touches the operating system.
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
# An ASGI application. Its parameters are left open because libraries type scopes more narrowly.
App = typing.Callable[..., typing.Coroutine[typing.Any, typing.Any, None]]


# A validated `ip:port`. `Network.connect` takes only these; `address_of` makes them.
Address = typing.NewType("Address", str)


class AddressError(ValueError):
    """The value is not a valid `ip:port`."""


def address_of(raw: object) -> Address:
    """Validate an address; raises `AddressError` if it is not a string of the form `ip:port`."""
    fault = address_fault(raw) if isinstance(raw, str) else "an address must be a string"
    if fault is not None:
        raise AddressError(fault)
    return Address(str(raw))


# Cached, because every heartbeat carries one of the same few addresses.
@functools.lru_cache(4096)
def address_fault(text: str) -> str | None:
    """Return what is wrong with an `ip:port`, or None if it is valid."""
    host, colon, port = text.rpartition(":")
    if not colon:
        return f"'{text}' is not ip:port"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"'{host}' is not an IP number (host names are not resolved)"
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        return f"'{port}' is not a port number from 1 to 65535"
    return None


class Clock(typing.Protocol):
    """A monotonic clock, a wall clock and a timer."""

    def now(self) -> float:
        """Return the monotonic time in seconds; it never jumps."""
        ...

    def wall(self) -> float:
        """Return the machine's wall-clock time in seconds since the epoch; it may jump when it is set."""
        ...

    async def sleep(self, duration_s: float) -> None:
        """Sleep for `duration_s` seconds."""
        ...


class Connection(typing.Protocol):
    """A bidirectional byte stream."""

    async def read(self, max_bytes: int) -> bytes:
        """Read up to `max_bytes` bytes; an empty result means the end of the stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Send all of `data`, waiting if the peer reads slowly."""
        ...

    def close(self) -> None:
        """Close both directions."""
        ...

    def ended(self) -> bool:
        """Whether the stream has ended or has unsolicited bytes waiting to be read."""
        ...


Serve = typing.Callable[[Connection], typing.Awaitable[None]]


class Listener(typing.Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Stop accepting new connections."""
        ...


class Network(typing.Protocol):
    """Opens and accepts connections; an address is `ip:port`."""

    async def connect(self, address: Address, timeout_s: float) -> Connection:
        """Connect to an address within `timeout_s` seconds."""
        ...

    async def listen(self, address: str, serve: Serve) -> Listener:
        """Accept connections at an address and call `serve` with each of them."""
        ...


class Disk(typing.Protocol):
    """The operations that make files durable; the files themselves are below `root`."""

    @property
    def root(self) -> pathlib.Path:
        """The folder of the files."""
        ...

    def sync_file(self, path: pathlib.Path) -> None:
        """Make the content of a file durable."""
        ...

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make the directory entries of a folder durable."""
        ...

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder, replacing any that has the new name."""
        ...

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file, or a folder with its content, if it exists."""
        ...

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Run blocking work off the event loop."""
        ...


class FaultPoints(typing.Protocol):
    """Numbered points in the code at which a test may inject a fault."""

    def hit(self, number: int) -> None:
        """Report that execution has reached the point with this number."""
        ...


class NoFaultPoints:
    """The fault points of production, which inject nothing."""

    def hit(self, number: int) -> None:
        """Do nothing."""
        return None


class Response(typing.NamedTuple):
    """The response to an HTTP request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header with this name (given in lower case), or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


# The headers of a request, or a function that builds them once the connection is open. A header
# that states the remaining time of a request can only be computed then.
Fields = list[tuple[str, str]] | typing.Callable[[], list[tuple[str, str]]]


def resolve_fields(fields: Fields) -> list[tuple[str, str]]:
    """Return the headers, calling the function that builds them if there is one; its errors propagate."""
    return fields() if callable(fields) else fields


class ConnectionLimits(typing.NamedTuple):
    """Limits of a server connection.

    `head_most` is the maximum size of a request head in bytes, `head_s` the time within which a
    started head must be complete, and `idle_s` how long the connection may be idle between requests.
    """

    head_most: int
    head_s: float
    idle_s: float


DEFAULT_LIMITS: typing.Final = ConnectionLimits(head_most=32768, head_s=60.0, idle_s=60.0)


def default_limits() -> ConnectionLimits:
    """Return the limits of a server that was given none."""
    return DEFAULT_LIMITS


# A function that returns the current limits, because they may change while connections are open.
Limits = typing.Callable[[], ConnectionLimits]


class Web(typing.Protocol):
    """An HTTP client and an HTTP server."""

    async def serve(self, address: str, app: App, limits: Limits = default_limits) -> "WebServer":
        """Serve an ASGI application at an address."""
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
        """Send one request and return its complete response."""
        ...


class WebServer(typing.Protocol):
    """A running HTTP server."""

    async def stop(self, grace_s: float) -> None:
        """Stop serving, allowing `grace_s` seconds for requests in progress."""
        ...


class Machine(typing.NamedTuple):
    """All the ports of one machine except its disk."""

    clock: Clock
    net: Network
    web: Web
    fault_points: FaultPoints


async def wait_for(cond: asyncio.Condition, predicate: typing.Callable[[], bool], timeout_s: float) -> bool:
    """Wait until the predicate is true or the timeout is over; the condition's lock must be held.

    Returns whether the predicate became true.
    """
    try:
        async with asyncio.timeout(timeout_s if timeout_s < math.inf else None):
            await cond.wait_for(predicate)
        return True
    except TimeoutError:
        return False
