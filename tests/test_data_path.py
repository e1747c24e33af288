"""What a proxy makes of endpoints that answer oddly, end early or fall silent, and of pipelining.

A real carrier goes over connections whose other ends follow a script; no fleet is needed.
"""

import asyncio
import dataclasses
import math
import random
import socket
import typing

import pytest

import dykeswitch.layout as layouts
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.proxy.answering as answering
import dykeswitch.proxy.carrier as carriers
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.settings as settings
import dykeswitch.simulator.loop as loops
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline

ID: typing.Final = b"dykeswitch-exchange"
LAYOUT: typing.Final = {
    "services": {"s": {"probe": "/healthz", "expiry_s": 5, "max_tries": 3}},
    "rules": [{"path": "/", "service": "s"}],
}
# In place of `{id}` comes the id of the request that is answered.
WHOLE: typing.Final = "HTTP/1.1 200 OK\r\nDykeswitch-Exchange: {id}\r\nContent-Length: 5\r\n\r\nwhole"
# What a script may hold besides text: the endpoint resets the connection, or says nothing.
RESET: typing.Final = "<reset>"
SILENT: typing.Final = "<silent>"


class LoopClock:
    """The running loop's time."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()

    async def sleep(self, span: float) -> None:
        await asyncio.sleep(span)


class ScriptedConnection:
    """A connection whose endpoint answers each request with the next entry of a script."""

    def __init__(self, endpoint: "ScriptedEndpoint") -> None:
        self._endpoint = endpoint
        self._coming: list[str] = []
        self._closed = False
        self._used = asyncio.get_running_loop().time()

    async def write(self, data: bytes) -> None:
        now = asyncio.get_running_loop().time()
        rested_s, self._used = now - self._used, now
        if rested_s > self._endpoint.forgets_s:
            raise ConnectionResetError
        self._endpoint.requests.append(data)
        names = [line[len(ID) + 1 :] for line in data.split(b"\r\n") if line.lower().startswith(ID)]
        name = names[0].strip().decode() if names else "unnamed"
        answer = self._endpoint.script.pop(0) if self._endpoint.script else [WHOLE]
        self._coming += [part.replace("{id}", name) for part in answer]

    async def read(self, most: int) -> bytes:
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
        self._closed = True

    def ended(self) -> bool:
        return self._closed or bool(self._coming)


class ScriptedEndpoint:
    """What one endpoint answers to one request after another, and what it was sent."""

    def __init__(self, *script: list[str]) -> None:
        self.script = list(script)
        self.requests: list[bytes] = []
        self.dialed = 0
        # How long each part of an answer takes, in seconds.
        self.work_s = 0.05
        # Whether nothing comes of connecting to it.
        self.unreachable = False
        # After which rest it resets a connection that is used again.
        self.forgets_s = math.inf


class ScriptedNetwork:
    """Leads to scripted endpoints by their addresses."""

    def __init__(self, endpoints: dict[str, ScriptedEndpoint]) -> None:
        self._endpoints = endpoints

    async def dial(self, address: str, wait: float) -> ports.Connection:
        endpoint = self._endpoints[address]
        endpoint.dialed += 1
        if endpoint.unreachable:
            await asyncio.sleep(wait)
            raise TimeoutError
        return ScriptedConnection(endpoint)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        raise NotImplementedError


class Calm:
    """A proxy that is sure of what it holds and has extra go's to spend."""

    async def sure(self, by: float) -> bool:
        return True

    def gapped(self) -> bool:
        return False

    def silent(self) -> float:
        return 0.0

    def sharing(self) -> float | None:
        return 0.0


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got."""

    status: int = 0
    body: bytes = b""
    heads: connections.Heads = dataclasses.field(default_factory=list)


class Stage:
    """A carrier before some scripted endpoints of one service."""

    def __init__(self, *endpoints: ScriptedEndpoint) -> None:
        clock = LoopClock()
        line = timeline.Timeline("p", clock, 900.0)
        addresses = {f"10.0.0.{n + 1}:1": endpoint for n, endpoint in enumerate(endpoints)}
        bounds = settings.Settings(name="p", zone="z", proof="header")
        network = typing.cast(ports.Network, ScriptedNetwork(addresses))
        machine = ports.Machine(clock, network, real.RealWeb(), ports.NoPoints())
        marks = timeline.Marks(line, bounds.mark_s)
        log = logs.Log("proxy", "p", "error", clock)
        self.carrier = carriers.Carrier(bounds, machine, line, marks, log, random.Random(1), Calm())
        for n, address in enumerate(addresses):
            fields: timeline.Fields = {"service": "s", "address": address, "zone": "z"}
            fields.update(state=timeline.UP, born=[n, "r"], slots=2, load=0.0)
            line.write(timeline.ENDPOINT, f"e{n}", fields, 900.0, urgent=False)
        checked = layouts.check(LAYOUT)
        assert isinstance(checked, outcome.Good)
        self.carrier.layout = checked.value
        self._clock = clock
        self._turn = 0

    async def ask(self, method: str = "GET", coins: int = 50) -> Answer:
        """One request of one caller, with so much of the shared budget in hand."""
        answer = Answer()

        async def send(message: typing.Any) -> None:
            answer.status = message.get("status", answer.status)
            answer.heads += list(message.get("headers", ()))
            answer.body += message.get("body", b"")

        self._turn += 1
        exchange = exchanges.Exchange(
            name=f"x{self._turn}",
            method=method,
            host="a.test",
            path="/thing",
            target=b"/thing",
            heads=[(b"host", b"a.test")],
            body=b"",
            born=self._clock.now(),
            asked_s=None,
            send=send,
        )
        # Coins of the shared budget, as registries would have lent them.
        self.carrier._delivery.budget("s").lend(0, coins, self._clock.now() + 60)
        await self.carrier.carry(exchange)
        return answer


def _play(work: typing.Callable[[], typing.Awaitable[None]]) -> None:
    async def main() -> None:
        await work()

    loops.run(main())


@pytest.mark.parametrize(
    "before",
    [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    ],
)
def test_interim_answers_go_before_the_answer_and_not_to_the_caller(before: str) -> None:
    async def work() -> None:
        endpoint = ScriptedEndpoint([before, WHOLE], [before + WHOLE])
        stage = Stage(endpoint)
        for _ in range(2):
            answer = await stage.ask("POST")
            assert (answer.status, answer.body) == (200, b"whole")
        assert (len(endpoint.requests), endpoint.dialed) == (2, 1)

    _play(work)


def test_a_switch_of_protocols_that_nobody_asked_for_is_no_answer() -> None:
    async def work() -> None:
        switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"
        endpoint = ScriptedEndpoint([switch, "what ever"])
        answer = await Stage(endpoint).ask("POST")
        assert answer.status == 502
        assert len(endpoint.requests) == 1

    _play(work)


BROKEN: typing.Final = {
    "a reset before the answer": [RESET],
    "an end before the answer": [],
    "a reset within the head": [WHOLE[:20], RESET],
    "a reset after the head": [WHOLE[:-5], RESET],
    "a reset within the body": [WHOLE[:-2], RESET],
    "an end within the body": [WHOLE[:-2]],
    "an interim answer, then a reset": ["HTTP/1.1 100 Continue\r\n\r\n", RESET],
    "silence": [SILENT],
    "silence after the head": [WHOLE[:-5], SILENT],
}


@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("script", BROKEN.values(), ids=BROKEN)
def test_a_write_is_sent_once_whatever_becomes_of_its_connection(script: list[str], rested: bool) -> None:
    async def work() -> None:
        endpoints = [ScriptedEndpoint() for _ in range(3)]
        stage = Stage(*endpoints)
        if rested:
            for _ in range(12):
                assert (await stage.ask("POST")).status == 200
            await asyncio.sleep(0.4)
        for endpoint in endpoints:
            endpoint.requests.clear()
            endpoint.script = [list(script) for _ in range(5)]
        answer = await stage.ask("POST")
        assert answer.status == (504 if SILENT in script else 502)
        assert b"whole" not in answer.body
        # Nothing that a caller could take for "it did not run: send it again".
        assert not any(key == b"retry-after" for key, _ in answer.heads)
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1

    _play(work)


@pytest.mark.parametrize("script", BROKEN.values(), ids=BROKEN)
def test_a_read_goes_to_another_endpoint_and_its_answer_is_whole(script: list[str]) -> None:
    async def work() -> None:
        endpoints = [ScriptedEndpoint(list(script)) for _ in range(2)]
        endpoints.append(ScriptedEndpoint())
        answer = await Stage(*endpoints).ask()
        assert (answer.status, answer.body) == (200, b"whole")
        assert max(len(endpoint.requests) for endpoint in endpoints) == 1

    _play(work)


def test_a_late_answer_goes_to_nobody_once_its_caller_was_told() -> None:
    """The first caller's answer comes after its time: the next one's must not be it."""

    async def work() -> None:
        late = WHOLE.replace("{id}", "x1").replace("whole", "later")
        endpoint = ScriptedEndpoint([SILENT, late])
        stage = Stage(endpoint)
        assert (await stage.ask("POST")).status == 504
        answer = await stage.ask("POST")
        assert (answer.status, answer.body) == (200, b"whole")
        # On another connection: what comes on the first belongs to nobody.
        assert endpoint.dialed == 2

    _play(work)


@pytest.mark.parametrize("why", ["no coins", "stopping", "no other endpoint", "another can be made"])
def test_an_attempt_is_broken_off_only_where_another_can_be_made(why: str) -> None:
    async def work() -> None:
        # Longer than the part of the time that one attempt has (a third of 5 s), shorter than all of it.
        slow, other = ScriptedEndpoint(), ScriptedEndpoint()
        slow.work_s = other.work_s = 2.5
        stage = Stage(slow) if why == "no other endpoint" else Stage(slow, other)
        stage.carrier.closing = why == "stopping"
        answer = await stage.ask(coins=0 if why == "no coins" else 50)
        sent = len(slow.requests) + len(other.requests)
        if why == "another can be made":
            assert sent == 2
        else:
            assert (answer.status, answer.body, sent) == (200, b"whole", 1)

    _play(work)


def _unsigned(body: str, status: str = "200 OK") -> str:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}"


@pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "500 Oops"])
def test_an_answer_without_an_id_where_others_had_one_is_nobodys(status: str) -> None:
    """A surplus answer that names no exchange came in the place of the next one's."""

    async def work() -> None:
        endpoint = ScriptedEndpoint([WHOLE], [_unsigned("stray", status), WHOLE])
        stage = Stage(endpoint)
        assert (await stage.ask("POST")).body == b"whole"
        answer = await stage.ask("POST")
        assert answer.status == 502
        assert b"stray" not in answer.body

    _play(work)


def test_an_endpoint_that_never_names_exchanges_is_taken_at_its_word() -> None:
    async def work() -> None:
        stage = Stage(ScriptedEndpoint([_unsigned("one")], [_unsigned("two")]))
        assert [(await stage.ask()).body for _ in range(2)] == [b"one", b"two"]

    _play(work)


def test_a_surplus_answer_is_not_for_a_request_that_has_no_id() -> None:
    async def main() -> None:
        stray = WHOLE.replace("{id}", "x1").replace("whole", "stray")
        endpoint = ScriptedEndpoint([WHOLE], [stray, _unsigned("mine")])
        connection = connections.EndpointConnection("e", "10.0.0.1:1", ScriptedConnection(endpoint), 0.0, ID)
        for name, body in (([(ID, b"x1")], b"whole"), ([], b"mine")):
            await connection.send("GET", b"/", [(b"host", b"a"), *name], b"")
            assert b"".join([part async for part in connection.parts()]) == body

    loops.run(main())


def test_an_endpoint_that_fails_now_and_then_gets_few_requests_from_one_proxy() -> None:
    """It fails too seldom, as one proxy of many sees it, to be marked by that proxy."""

    async def work() -> None:
        grey, good = ScriptedEndpoint(*[[WHOLE], [RESET]] * 100), ScriptedEndpoint()
        # Where it does answer it is the better one.
        grey.work_s = 0.04
        stage = Stage(grey, good)
        for entry, span in zip(stage.carrier.selector.up("s"), (0.04, 0.05)):
            for _ in range(50):
                stage.carrier.selector.learn(entry, span, 0.0, None)
        for _ in range(60):
            assert (await stage.ask()).status == 200
            await asyncio.sleep(2.0)
        assert stage.carrier.counts.get("marks", 0) == 0
        assert len(grey.requests) <= 20

    _play(work)


def test_writes_are_not_lost_again_and_again_to_connections_that_were_forgotten() -> None:
    """Idle connections are reset when they are used, long before the time that was told."""

    async def work() -> None:
        endpoint = ScriptedEndpoint()
        endpoint.forgets_s = 0.3
        stage = Stage(endpoint)
        answers = []
        for _ in range(40):
            answers.append(await stage.ask("POST"))
            await asyncio.sleep(0.5)
        lost = [answer for answer in answers if answer.status != 200]
        # One shows it; what it taught is tried again after a while, since it may be over.
        assert len(lost) <= 4
        # Once it is over connections are used again.
        endpoint.forgets_s = math.inf
        await asyncio.sleep(5.0)
        dialed = endpoint.dialed
        for _ in range(10):
            assert (await stage.ask("POST")).status == 200
            await asyncio.sleep(0.5)
        assert endpoint.dialed <= dialed + 1

    _play(work)


def test_a_proxy_whose_own_link_is_full_marks_no_endpoints() -> None:
    """Right after its start no connection comes up in time: that says nothing of the endpoints."""

    async def work() -> None:
        endpoints = [ScriptedEndpoint() for _ in range(12)]
        stage = Stage(*endpoints)
        for endpoint in endpoints:
            endpoint.unreachable = True
        await asyncio.gather(*(stage.ask() for _ in range(2)))
        assert sum(endpoint.dialed for endpoint in endpoints) >= 10
        assert stage.carrier.counts.get("marks", 0) == 0
        for endpoint in endpoints:
            endpoint.unreachable = False
        assert (await stage.ask()).status == 200

    _play(work)


def test_an_endpoint_that_is_never_reached_is_marked() -> None:
    async def work() -> None:
        endpoint = ScriptedEndpoint()
        endpoint.unreachable = True
        stage = Stage(endpoint)
        for _ in range(3):
            await stage.ask()
        assert stage.carrier.counts["marks"] == 1

    _play(work)


# HTTP pipelining by a client, on the web server that proxies use.


async def _pipelined(app: ports.App, paths: typing.Sequence[str]) -> bytes:
    """Send requests in one piece on one connection; all that comes back until it ends."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    server = await real.RealWeb().serve(f"127.0.0.1:{port}", app)
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        requests = [f"GET {path} HTTP/1.1\r\nHost: a.test\r\n" for path in paths]
        requests[-1] += "Connection: close\r\n"
        writer.write("".join(request + "\r\n" for request in requests).encode())
        data = await reader.read(-1)
        writer.close()
    finally:
        await server.stop(1.0)
    return data


def _bodies(data: bytes) -> list[bytes]:
    """The bodies of the answers, each of which is the path that was asked for."""
    return [part.partition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 ")[1:]]


async def _answer_with_path(scope: ports.Scope, send: ports.Send) -> None:
    body = str(scope["path"]).encode()
    heads = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": heads})
    await send({"type": "http.response.body", "body": body})


def test_pipelined_requests_are_answered_one_after_the_other_each_with_its_own() -> None:
    at_work: list[str] = []
    most = 0

    async def app(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        nonlocal most
        at_work.append(str(scope["path"]))
        most = max(most, len(at_work))
        # The first is the slowest: who answered as they finish would answer the last one first.
        await asyncio.sleep(0.2 if scope["path"] == "/one" else 0.0)
        await _answer_with_path(scope, send)
        at_work.remove(str(scope["path"]))

    data = asyncio.run(_pipelined(app, ["/one", "/two", "/three"]))
    assert _bodies(data) == [b"/one", b"/two", b"/three"]
    assert most == 1


def test_what_is_pipelined_behind_a_broken_answer_is_not_begun() -> None:
    begun: list[str] = []

    async def app(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        begun.append(str(scope["path"]))
        if scope["path"] != "/one":
            await _answer_with_path(scope, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"9")]})
        await send({"type": "http.response.body", "body": b"/on", "more_body": True})
        raise answering.BrokenReplyError("cut by the endpoint")

    data = asyncio.run(_pipelined(app, ["/one", "/two"]))
    assert _bodies(data) == [b"/on"]
    assert begun == ["/one"]
