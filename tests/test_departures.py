"""Clients that disconnect before they are answered: work for them stops if possible.

The proxies are real and serve on loopback sockets, in front of scripted endpoints and without a
registry. `test_days.py` covers fleets of whole programs.
"""

import asyncio
import contextlib
import random
import socket
import struct
import typing

import pytest

import dykeswitch.layout as layouts
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures
import dykeswitch.ports.real as real
import dykeswitch.proxy.program as proxies
import dykeswitch.settings as settings
import dykeswitch.simulator.trial as trials
import dykeswitch.standin.fleet as fleets
import dykeswitch.timeline as timelines

LAYOUT: typing.Final = {
    "services": {"s": {"probe": "/healthz", "expiry_s": 5, "max_tries": 3}},
    "rules": [{"path": "/", "service": "s"}],
}
GET: typing.Final = b"GET /thing HTTP/1.1\r\nHost: a.test\r\n\r\n"
# How long an endpoint works on a request that is not aborted, and how soon a disconnection has to take
# effect, in seconds.
WORK_S: typing.Final = 1.5
SOON_S: typing.Final = 0.2


class Endpoint:
    """An endpoint on a loopback port that answers after its work and records aborted requests."""

    def __init__(self) -> None:
        self.work_s = WORK_S
        self.arrived_at: list[float] = []
        self.finished_at: list[float] = []
        self.aborted_at: list[float] = []
        # Parts of a streamed response, one each `work_s`; zero for a response in one piece.
        self.parts = 0
        self.head = "HTTP/1.1 200 OK"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        now = asyncio.get_running_loop().time
        self.arrived_at.append(now())
        watch = asyncio.ensure_future(reader.read(1))
        try:
            if self.parts:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(max(1, self.parts)):
                await asyncio.wait([watch], timeout=self.work_s)
                if watch.done():
                    self.aborted_at.append(now())
                    raise ConnectionResetError
                if self.parts:
                    writer.write(b"10000\r\n" + b"x" * 0x10000 + b"\r\n")
                    await writer.drain()
        finally:
            watch.cancel()
            await asyncio.wait([watch])
        self.finished_at.append(now())
        whole = f"{self.head}\r\nContent-Length: 2\r\n\r\nok"
        writer.write(b"0\r\n\r\n" if self.parts else whole.encode())


class Stage:
    """A proxy on a loopback port, in front of endpoints of one service."""

    def __init__(self, endpoints: int = 1) -> None:
        self.endpoints = [Endpoint() for _ in range(endpoints)]
        self.web, *self.addresses = [f"127.0.0.1:{port}" for port in fleets.free_ports(endpoints + 1)]
        config = settings.Settings(
            name="p", zone="z", proof="header", member="127.0.0.1:1", web=self.web, log_level="error"
        )
        machine = real.machine()
        log = logs.Log("proxy", "p", "error", machine.clock)
        self.proxy = proxies.Proxy(config, machine, log, random.Random(1))
        # No registry lends it extra attempts here, so it starts with its own.
        self.proxy.borrowing_since = lambda: 0.0  # type: ignore[method-assign]
        for n, address in enumerate(self.addresses):
            fields: timelines.Fields = {"service": "s", "address": address, "zone": "z"}
            fields.update(state=timelines.UP, born=[n, "r"], slots=2, load=0.0)
            self.proxy.timeline.write(timelines.ENDPOINT, f"e{n}", fields, 900.0, urgent=False)
        checked = layouts.check(LAYOUT)
        assert isinstance(checked, outcome.Success)
        self.proxy.carrier.layout = checked.value
        self.proxy._confirmed, self.proxy._needs_confirmation = True, False
        self.proxy.carrier._delivery.budget("s").lend(0, 50, machine.clock.now() + 60)

    async def __aenter__(self) -> "Stage":
        self._stack = contextlib.AsyncExitStack()
        for endpoint, address in zip(self.endpoints, self.addresses):
            host, port = real.split_address(address)
            server = await asyncio.start_server(endpoint.serve, host, port)
            self._stack.callback(server.close)
        server_of_proxy = await real.RealWeb().serve(self.web, self.proxy.gateway)
        self._stack.push_async_callback(server_of_proxy.stop, 0.0)
        ticking = asyncio.create_task(self._tick())
        self._stack.callback(ticking.cancel)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.proxy.carrier.close()
        await self._stack.aclose()

    async def _tick(self) -> None:
        """Simulate that other nodes are heard all the time and that the clock has no gap."""
        while True:
            self.proxy._last_tick_at = self.proxy.gossip.last_heard_at = self.proxy.clock.now()
            await asyncio.sleep(0.02)

    @property
    def endpoint(self) -> Endpoint:
        return self.endpoints[0]

    @property
    def counts(self) -> dict[str, int]:
        return self.proxy.carrier.counts

    async def connect(self, data: bytes) -> "Client":
        host, port = real.split_address(self.web)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        return Client(reader, writer)

    async def until(self, predicate: typing.Callable[[], bool], timeout_s: float = 5.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not predicate():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


class Client:
    """A client's connection, which the client may close at any time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def leave(self, reset: bool = False) -> None:
        """Close the connection, gracefully or by a reset."""
        if reset:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()

    async def read_response(self) -> bytes:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(
            line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")
        ).partition(b":")[2]
        return head + await self.reader.readexactly(int(length))


def test_a_departure_is_told_once_and_to_who_asks_late() -> None:
    notified: list[str] = []
    departure = departures.Departure()
    departure.watch(lambda: notified.append("first"))
    departure.unwatch()
    departure.watch(lambda: notified.append("second"))
    departure.announce()
    departure.announce()
    assert notified == ["second"]
    departure.watch(lambda: notified.append("late"))
    assert notified == ["second", "late"]


def test_a_server_that_tells_no_departure_has_one_that_never_comes() -> None:
    assert not departures.departure_of({"type": "http"}).has_left


def test_a_departure_is_counted_by_how_far_the_request_had_come() -> None:
    async def main() -> None:
        async with Stage() as stage:
            client = await stage.connect(GET)
            await stage.until(lambda: len(stage.endpoint.arrived_at) == 1)
            client.leave()
            await stage.until(lambda: "callers_left_at_work" in stage.counts)
            # Closing the connection after a complete response is not counted as a disconnection.
            stage.endpoint.work_s = 0.01
            second = await stage.connect(GET)
            assert (await second.read_response()).startswith(b"HTTP/1.1 200")
            second.leave()
            await asyncio.sleep(0.05)
            assert {n: c for n, c in stage.counts.items() if n.startswith("callers_left")} == {
                "callers_left_at_work": 1
            }

    asyncio.run(main())


async def _plain(stage: Stage) -> Client:
    return await stage.connect(GET)


async def _behind_another(stage: Stage) -> Client:
    """On a kept connection, after a request that was answered."""
    stage.endpoint.work_s = 0.01
    client = await stage.connect(GET)
    assert (await client.read_response()).startswith(b"HTTP/1.1 200")
    stage.endpoint.work_s = WORK_S
    stage.endpoint.arrived_at.clear()
    stage.endpoint.finished_at.clear()
    client.writer.write(GET)
    return client


async def _before_another(stage: Stage) -> Client:
    """With a second request already pipelined, which the web server leaves unread for now."""
    return await stage.connect(GET + GET)


async def _then_another(stage: Stage) -> Client:
    """With a second request that arrives while the first is in progress."""
    client = await stage.connect(GET)
    await stage.until(lambda: bool(stage.endpoint.arrived_at))
    client.writer.write(GET)
    await asyncio.sleep(0.1)
    return client


async def _with_a_long_body(stage: Stage) -> Client:
    """With a body that the web server receives in parts."""
    body = b"x" * 400_000
    return await stage.connect(
        b"GET /thing HTTP/1.1\r\nHost: a.test\r\nContent-Length: 400000\r\n\r\n" + body
    )


async def _amid_the_answer(stage: Stage) -> Client:
    """During a streamed response, of which the client has received a part."""
    stage.endpoint.parts, stage.endpoint.work_s = 40, 0.1
    client = await stage.connect(GET)
    # Part of a response that is longer than the proxy's buffer, so that the rest is streamed.
    await client.reader.readexactly(300_000)
    return client


async def _while_stopping(stage: Stage) -> Client:
    client = await stage.connect(GET)
    await stage.until(lambda: bool(stage.endpoint.arrived_at))
    stage.proxy.stopping = stage.proxy.carrier.closing = True
    return client


ARRIVALS: typing.Final = {
    "a plain request": _plain,
    "behind another on its connection": _behind_another,
    "before another on its connection": _before_another,
    "then another on its connection": _then_another,
    "a long body": _with_a_long_body,
    "amid an answer that streams": _amid_the_answer,
    "while the proxy stops": _while_stopping,
}


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("come", ARRIVALS.values(), ids=ARRIVALS)
def test_a_repeatable_attempt_is_broken_off_when_its_caller_leaves(
    come: typing.Callable[[Stage], typing.Awaitable[Client]], reset: bool
) -> None:
    async def main() -> None:
        async with Stage() as stage:
            client = await come(stage)
            await stage.until(lambda: bool(stage.endpoint.arrived_at))
            await asyncio.sleep(0.1)
            left_at = asyncio.get_running_loop().time()
            client.leave(reset)
            await stage.until(lambda: bool(stage.endpoint.aborted_at or stage.endpoint.finished_at))
            assert len(stage.endpoint.aborted_at) == 1
            assert stage.endpoint.aborted_at[0] - left_at < SOON_S
            # No second attempt, no mark, and nothing left in the tables.
            await asyncio.sleep(0.05)
            assert len(stage.endpoint.arrived_at) == 1
            assert stage.proxy.carrier._marks.mark_of("e0") is None
            assert stage.proxy.carrier.selector.failures("e0") == 0
            assert (stage.proxy.carrier.table, stage.proxy.carrier.selector.in_flight) == ({}, {})

    asyncio.run(main())


async def _between_two_tries(stage: Stage) -> None:
    """Have each endpoint refuse the request with a promise after some time."""
    for endpoint in stage.endpoints:
        endpoint.head = "HTTP/1.1 503 Busy\r\nDykeswitch-Promise: not-run"


async def _unconfirmed(stage: Stage) -> None:
    """Have the proxy first confirm its state."""
    original = stage.proxy.confirm_fresh

    async def confirm_fresh(deadline: float) -> bool:
        await asyncio.sleep(0.4)
        return await original(deadline)

    stage.proxy.confirm_fresh = confirm_fresh  # type: ignore[method-assign]


async def _connecting(stage: Stage) -> None:
    """Delay connecting to the endpoint."""
    net = stage.proxy.machine.net
    connect = net.connect

    async def slowly(address: ports.Address, timeout_s: float) -> ports.Connection:
        await asyncio.sleep(0.4)
        return await connect(address, timeout_s)

    net.connect = slowly  # type: ignore[method-assign]


WAITS: typing.Final = {
    "between two tries": _between_two_tries,
    "while the proxy is not sure": _unconfirmed,
    "while a connection is opened": _connecting,
}


@pytest.mark.parametrize("method", [b"GET", b"POST"])
@pytest.mark.parametrize("wait", WAITS.values(), ids=WAITS)
def test_nothing_more_is_sent_for_a_caller_that_left(
    wait: typing.Callable[[Stage], typing.Awaitable[None]], method: bytes
) -> None:
    async def main() -> None:
        async with Stage(endpoints=3) as stage:
            for endpoint in stage.endpoints:
                endpoint.work_s = 0.3
            await wait(stage)
            client = await stage.connect(GET.replace(b"GET", method))
            await asyncio.sleep(0.15)
            arrived_count = sum(len(endpoint.arrived_at) for endpoint in stage.endpoints)
            client.leave()
            await asyncio.sleep(1.0)
            assert sum(len(endpoint.arrived_at) for endpoint in stage.endpoints) == arrived_count
            assert (stage.proxy.carrier.table, stage.proxy.carrier.selector.in_flight) == ({}, {})

    asyncio.run(main())


def test_an_order_that_was_sent_runs_to_its_end_and_its_connection_is_used_again() -> None:
    async def main() -> None:
        async with Stage() as stage:
            stage.endpoint.work_s = 0.3
            client = await stage.connect(
                b"POST /thing HTTP/1.1\r\nHost: a.test\r\nContent-Length: 2\r\n\r\nhi"
            )
            await stage.until(lambda: bool(stage.endpoint.arrived_at))
            client.leave()
            await stage.until(lambda: bool(stage.endpoint.finished_at or stage.endpoint.aborted_at))
            await stage.until(lambda: not stage.proxy.carrier.table)
            assert (len(stage.endpoint.arrived_at), stage.endpoint.aborted_at) == (1, [])
            assert stage.proxy.carrier.idle() == 1

    asyncio.run(main())


@pytest.mark.parametrize("seed", [11, 12])
@pytest.mark.parametrize("fault", ["callers_leave", "callers_leave_between_tries"])
def test_no_work_goes_on_in_a_fleet_whose_callers_leave(fault: str, seed: int) -> None:
    verdict = trials.one_day("brook", seed, (fault,), 0.1)
    assert verdict.breaches == {}
    assert verdict.figures["left"] > 50
