"""A real carrier in front of endpoints whose connections follow a script, without a fleet."""

import asyncio
import dataclasses
import math
import random
import typing

import dykeswitch.layout as layouts
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.proxy.carrier as carriers
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.settings as settings
import dykeswitch.simulator.loop as loops
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

ID: typing.Final = b"dykeswitch-exchange"
LAYOUT: typing.Final[dict[str, typing.Any]] = {
    "services": {"s": {"probe": "/healthz", "expiry_s": 5, "max_tries": 3}},
    "rules": [{"path": "/", "service": "s"}],
}
# `{id}` is replaced by the id of the request that is answered.
WHOLE: typing.Final = "HTTP/1.1 200 OK\r\nDykeswitch-Exchange: {id}\r\nContent-Length: 5\r\n\r\nwhole"
# Script entries other than text: the endpoint resets the connection, or sends nothing more.
RESET: typing.Final = "<reset>"
SILENT: typing.Final = "<silent>"


class LoopClock:
    """A clock that shows the running loop's time."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same time, as there is no other clock."""
        return self.now()

    async def sleep(self, duration_s: float) -> None:
        """Wait for a number of seconds of the loop's time."""
        await asyncio.sleep(duration_s)


class ScriptedConnection:
    """A connection whose endpoint answers each request with the next entry of its script."""

    def __init__(self, endpoint: "ScriptedEndpoint") -> None:
        self._endpoint = endpoint
        self._coming: list[str] = []
        self._closed = False
        self._used = asyncio.get_running_loop().time()

    async def write(self, data: bytes) -> None:
        """Receive a request.

        Raises:
            ConnectionResetError: The connection was idle for longer than the endpoint keeps it.
        """
        now = asyncio.get_running_loop().time()
        idle_s, self._used = now - self._used, now
        if idle_s > self._endpoint.idle_reset_s:
            raise ConnectionResetError
        self._endpoint.requests.append(data)
        self._endpoint.sent_at.append(now)
        names = [line[len(ID) + 1 :] for line in data.split(b"\r\n") if line.lower().startswith(ID)]
        name = names[0].strip().decode() if names else "unnamed"
        response = self._endpoint.script.pop(0) if self._endpoint.script else [WHOLE]
        self._coming += [part.replace("{id}", name) for part in response]

    async def read(self, max_bytes: int) -> bytes:
        """Return the next part of the response, after the time it takes."""
        await asyncio.sleep(self._endpoint.work_s)
        if not self._coming:
            return b""
        part = self._coming.pop(0)
        if part == SILENT:
            await asyncio.sleep(1e6)
        if part == RESET:
            raise ConnectionResetError
        return part.encode("latin-1")

    def close(self) -> None:
        """Close the connection."""
        self._closed = True

    def ended(self) -> bool:
        """Return whether the connection is closed or has unread data that belongs to no request."""
        return self._closed or bool(self._coming)


class ScriptedEndpoint:
    """An endpoint that answers successive requests by a script and records what it was sent."""

    def __init__(self, *script: list[str]) -> None:
        self.script = list(script)
        self.requests: list[bytes] = []
        # When each request arrived, in seconds of the loop's time.
        self.sent_at: list[float] = []
        self.connect_count = 0
        # How long each part of a response takes, in seconds.
        self.work_s = 0.05
        # How long connecting takes, in seconds.
        self.connect_s = 0.0
        # Whether attempts to connect time out.
        self.unreachable = False
        # The idle time in seconds after which a connection is reset when it is used again.
        self.idle_reset_s = math.inf


class ScriptedNetwork:
    """A network that connects to scripted endpoints by address."""

    def __init__(self, endpoints: dict[str, ScriptedEndpoint]) -> None:
        self._endpoints = endpoints

    async def connect(self, address: str, timeout_s: float) -> ports.Connection:
        """Connect to an endpoint; raises `TimeoutError` if it is unreachable."""
        endpoint = self._endpoints[address]
        endpoint.connect_count += 1
        if endpoint.unreachable:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        await asyncio.sleep(endpoint.connect_s)
        return ScriptedConnection(endpoint)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Not supported."""
        raise NotImplementedError


class HealthyFleetStatus:
    """A proxy whose state is confirmed and which may make extra attempts."""

    async def confirm_fresh(self, deadline: float) -> bool:
        """Report at once that the state is current."""
        return True

    def clock_jumped(self) -> bool:
        """Report no gap in the clock."""
        return False

    def silence_s(self) -> float:
        """Report that other nodes are heard all the time."""
        return 0.0

    def borrowing_since(self) -> float | None:
        """Report that it has borrowed since the start."""
        return 0.0


@dataclasses.dataclass(slots=True)
class Response:
    """The response a client received."""

    status: int = 0
    body: bytes = b""
    headers: connections.Headers = dataclasses.field(default_factory=list)


class Stage:
    """A carrier in front of scripted endpoints of one service."""

    def __init__(self, *endpoints: ScriptedEndpoint) -> None:
        clock = LoopClock()
        timeline = timelines.Timeline("p", clock, 900.0)
        addresses = {f"10.0.0.{n + 1}:1": endpoint for n, endpoint in enumerate(endpoints)}
        config = settings.Settings(name="p", zone="z", proof="header")
        network = typing.cast(ports.Network, ScriptedNetwork(addresses))
        machine = ports.Machine(clock, network, real.RealWeb(), ports.NoFaultPoints())
        marks = timelines.Marks(timeline, config.mark_s)
        log = logs.Log("proxy", "p", "error", clock)
        self.carrier = carriers.Carrier(
            config, machine, timeline, marks, log, random.Random(1), HealthyFleetStatus()
        )
        for n, address in enumerate(addresses):
            fields: timelines.Fields = {"service": "s", "address": address, "zone": "z"}
            fields.update(state=timelines.UP, born=[n, "r"], slots=2, load=0.0)
            timeline.write(timelines.ENDPOINT, f"e{n}", fields, 900.0, urgent=False)
        self.apply(LAYOUT)
        self._clock = clock
        self._request_count = 0

    def apply(self, doc: typing.Any) -> None:
        """Apply a layout."""
        checked = layouts.check(doc)
        assert isinstance(checked, outcome.Success)
        self.carrier.layout = checked.value

    def apply_after(self, delay_s: float, doc: typing.Any) -> None:
        """Apply a layout after a delay, during the requests in progress then."""
        asyncio.get_running_loop().call_later(delay_s, self.apply, doc)

    async def send_request(self, method: str = "GET", retry_tokens: int = 50) -> Response:
        """Send one client's request, with a number of retry tokens available."""
        response = Response()

        async def send(message: typing.Any) -> None:
            response.status = message.get("status", response.status)
            response.headers += list(message.get("headers", ()))
            response.body += message.get("body", b"")

        self._request_count += 1
        exchange = exchanges.Exchange(
            name=f"x{self._request_count}",
            method=method,
            host="a.test",
            path="/thing",
            target=b"/thing",
            headers=[(b"host", b"a.test")],
            body=b"",
            started_at=self._clock.now(),
            requested_timeout_s=None,
            send=send,
        )
        # Tokens of the shared budget, as registries would have lent them.
        self.carrier._delivery.budget("s").lend(0, retry_tokens, self._clock.now() + 60)
        await self.carrier.process(exchange)
        return response


def run(work: typing.Callable[[], typing.Awaitable[None]]) -> None:
    """Run a test's work in virtual time."""

    async def main() -> None:
        await work()

    loops.run(main())
