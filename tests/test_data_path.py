"""Endpoints that answer unexpectedly, end early or hang; and clients that use pipelining."""

import asyncio
import math
import socket
import typing

import pytest
import scripted

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.proxy.answering as answering
import dykeswitch.simulator.loop as loops
import dykeswitch.soundness.connection as connections


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
        endpoint = scripted.ScriptedEndpoint([before, scripted.WHOLE], [before + scripted.WHOLE])
        stage = scripted.Stage(endpoint)
        for _ in range(2):
            response = await stage.send_request("POST")
            assert (response.status, response.body) == (200, b"whole")
        assert (len(endpoint.requests), endpoint.connect_count) == (2, 1)

    scripted.run(work)


def test_a_switch_of_protocols_that_nobody_asked_for_is_no_answer() -> None:
    async def work() -> None:
        switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"
        endpoint = scripted.ScriptedEndpoint([switch, "what ever"])
        response = await scripted.Stage(endpoint).send_request("POST")
        assert response.status == 502
        assert len(endpoint.requests) == 1

    scripted.run(work)


BROKEN: typing.Final = {
    "a reset before the answer": [scripted.RESET],
    "an end before the answer": [],
    "a reset within the head": [scripted.WHOLE[:20], scripted.RESET],
    "a reset after the head": [scripted.WHOLE[:-5], scripted.RESET],
    "a reset within the body": [scripted.WHOLE[:-2], scripted.RESET],
    "an end within the body": [scripted.WHOLE[:-2]],
    "an interim answer, then a reset": ["HTTP/1.1 100 Continue\r\n\r\n", scripted.RESET],
    "silence": [scripted.SILENT],
    "silence after the head": [scripted.WHOLE[:-5], scripted.SILENT],
}


@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("script", BROKEN.values(), ids=BROKEN)
def test_a_write_is_sent_once_whatever_becomes_of_its_connection(script: list[str], rested: bool) -> None:
    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint() for _ in range(3)]
        stage = scripted.Stage(*endpoints)
        if rested:
            for _ in range(12):
                assert (await stage.send_request("POST")).status == 200
            await asyncio.sleep(0.4)
        for endpoint in endpoints:
            endpoint.requests.clear()
            endpoint.script = [list(script) for _ in range(5)]
        response = await stage.send_request("POST")
        assert response.status == (504 if scripted.SILENT in script else 502)
        assert b"whole" not in response.body
        # The client must not be able to take the response for "it did not run: send it again".
        assert not any(key == b"retry-after" for key, _ in response.headers)
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1

    scripted.run(work)


@pytest.mark.parametrize("script", BROKEN.values(), ids=BROKEN)
def test_a_read_goes_to_another_endpoint_and_its_answer_is_whole(script: list[str]) -> None:
    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint(list(script)) for _ in range(2)]
        endpoints.append(scripted.ScriptedEndpoint())
        response = await scripted.Stage(*endpoints).send_request()
        assert (response.status, response.body) == (200, b"whole")
        assert max(len(endpoint.requests) for endpoint in endpoints) == 1

    scripted.run(work)


def test_a_late_answer_goes_to_nobody_once_its_caller_was_told() -> None:
    """The first client's response arrives after its deadline and must not be sent to the next client."""

    async def work() -> None:
        late = scripted.WHOLE.replace("{id}", "x1").replace("whole", "later")
        endpoint = scripted.ScriptedEndpoint([scripted.SILENT, late])
        stage = scripted.Stage(endpoint)
        assert (await stage.send_request("POST")).status == 504
        response = await stage.send_request("POST")
        assert (response.status, response.body) == (200, b"whole")
        # A second connection is used, because what arrives on the first belongs to no request.
        assert endpoint.connect_count == 2

    scripted.run(work)


@pytest.mark.parametrize("why", ["no coins", "stopping", "no other endpoint", "another can be made"])
def test_an_attempt_is_broken_off_only_where_another_can_be_made(why: str) -> None:
    async def work() -> None:
        # Longer than one attempt's share of the time (a third of 5 s), but shorter than all of it.
        slow, other = scripted.ScriptedEndpoint(), scripted.ScriptedEndpoint()
        slow.work_s = other.work_s = 2.5
        stage = scripted.Stage(slow) if why == "no other endpoint" else scripted.Stage(slow, other)
        stage.carrier.closing = why == "stopping"
        response = await stage.send_request(retry_tokens=0 if why == "no coins" else 50)
        sent = len(slow.requests) + len(other.requests)
        if why == "another can be made":
            assert sent == 2
        else:
            assert (response.status, response.body, sent) == (200, b"whole", 1)

    scripted.run(work)


def _unsigned(body: str, status: str = "200 OK") -> str:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}"


@pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "500 Oops"])
def test_an_answer_without_an_id_where_others_had_one_is_nobodys(status: str) -> None:
    """A surplus response without an exchange id was taken for the response to the next request."""

    async def work() -> None:
        endpoint = scripted.ScriptedEndpoint([scripted.WHOLE], [_unsigned("stray", status), scripted.WHOLE])
        stage = scripted.Stage(endpoint)
        assert (await stage.send_request("POST")).body == b"whole"
        response = await stage.send_request("POST")
        assert response.status == 502
        assert b"stray" not in response.body

    scripted.run(work)


def test_an_endpoint_that_never_names_exchanges_is_taken_at_its_word() -> None:
    async def work() -> None:
        stage = scripted.Stage(scripted.ScriptedEndpoint([_unsigned("one")], [_unsigned("two")]))
        assert [(await stage.send_request()).body for _ in range(2)] == [b"one", b"two"]

    scripted.run(work)


def test_a_surplus_answer_is_not_for_a_request_that_has_no_id() -> None:
    async def main() -> None:
        surplus = scripted.WHOLE.replace("{id}", "x1").replace("whole", "stray")
        endpoint = scripted.ScriptedEndpoint([scripted.WHOLE], [surplus, _unsigned("mine")])
        connection = connections.EndpointConnection(
            "e", "10.0.0.1:1", scripted.ScriptedConnection(endpoint), 0.0, scripted.ID
        )
        for name, body in (([(scripted.ID, b"x1")], b"whole"), ([], b"mine")):
            await connection.send("GET", b"/", [(b"host", b"a"), *name], b"")
            assert b"".join([part async for part in connection.parts()]) == body

    loops.run(main())


def test_an_endpoint_that_fails_now_and_then_gets_few_requests_from_one_proxy() -> None:
    """The endpoint fails too seldom, as seen by one proxy of many, to be marked by that proxy."""

    async def work() -> None:
        grey, healthy = (
            scripted.ScriptedEndpoint(*[[scripted.WHOLE], [scripted.RESET]] * 100),
            scripted.ScriptedEndpoint(),
        )
        # When it does answer, it is the faster one.
        grey.work_s = 0.04
        stage = scripted.Stage(grey, healthy)
        for entry, mean_s in zip(stage.carrier.selector.up("s"), (0.04, 0.05)):
            for _ in range(50):
                stage.carrier.selector.learn(entry, mean_s, 0.0, None)
        for _ in range(60):
            assert (await stage.send_request()).status == 200
            await asyncio.sleep(2.0)
        assert stage.carrier.counts.get("marks", 0) == 0
        assert len(grey.requests) <= 20

    scripted.run(work)


def test_writes_are_not_lost_again_and_again_to_connections_that_were_forgotten() -> None:
    """Idle connections are reset when they are used, long before the announced time."""

    async def work() -> None:
        endpoint = scripted.ScriptedEndpoint()
        endpoint.idle_reset_s = 0.3
        stage = scripted.Stage(endpoint)
        responses = []
        for _ in range(40):
            responses.append(await stage.send_request("POST"))
            await asyncio.sleep(0.5)
        lost = [response for response in responses if response.status != 200]
        # The first loss shows it; the limit it sets expires after a while, since the cause may be gone.
        assert len(lost) <= 4
        # Once the cause is gone, connections are reused again.
        endpoint.idle_reset_s = math.inf
        await asyncio.sleep(5.0)
        connect_count = endpoint.connect_count
        for _ in range(10):
            assert (await stage.send_request("POST")).status == 200
            await asyncio.sleep(0.5)
        assert endpoint.connect_count <= connect_count + 1

    scripted.run(work)


def test_a_proxy_whose_own_link_is_full_marks_no_endpoints() -> None:
    """Right after the proxy's start all connections time out, which says nothing about the endpoints."""

    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint() for _ in range(12)]
        stage = scripted.Stage(*endpoints)
        for endpoint in endpoints:
            endpoint.unreachable = True
        await asyncio.gather(*(stage.send_request() for _ in range(2)))
        assert sum(endpoint.connect_count for endpoint in endpoints) >= 10
        assert stage.carrier.counts.get("marks", 0) == 0
        for endpoint in endpoints:
            endpoint.unreachable = False
        assert (await stage.send_request()).status == 200

    scripted.run(work)


def test_an_endpoint_that_is_never_reached_is_marked() -> None:
    async def work() -> None:
        endpoint = scripted.ScriptedEndpoint()
        endpoint.unreachable = True
        stage = scripted.Stage(endpoint)
        for _ in range(3):
            await stage.send_request()
        assert stage.carrier.counts["marks"] == 1

    scripted.run(work)


# HTTP pipelining by clients, on the web server that proxies use.


async def _pipelined(app: ports.App, paths: typing.Sequence[str]) -> bytes:
    """Send requests in one write on one connection; return everything received until it closes."""
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
    """Return the bodies of the responses, each of which is the requested path."""
    return [part.partition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 ")[1:]]


async def _answer_with_path(scope: ports.Scope, send: ports.Send) -> None:
    body = str(scope["path"]).encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def test_pipelined_requests_are_answered_one_after_the_other_each_with_its_own() -> None:
    at_work: list[str] = []
    most = 0

    async def app(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        nonlocal most
        at_work.append(str(scope["path"]))
        most = max(most, len(at_work))
        # The first is the slowest: a server that answered in order of completion would answer it last.
        await asyncio.sleep(0.2 if scope["path"] == "/one" else 0.0)
        await _answer_with_path(scope, send)
        at_work.remove(str(scope["path"]))

    data = asyncio.run(_pipelined(app, ["/one", "/two", "/three"]))
    assert _bodies(data) == [b"/one", b"/two", b"/three"]
    assert most == 1


def test_what_is_pipelined_behind_a_broken_answer_is_not_begun() -> None:
    started: list[str] = []

    async def app(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        started.append(str(scope["path"]))
        if scope["path"] != "/one":
            await _answer_with_path(scope, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"9")]})
        await send({"type": "http.response.body", "body": b"/on", "more_body": True})
        raise answering.BrokenResponseError("cut by the endpoint")

    data = asyncio.run(_pipelined(app, ["/one", "/two"]))
    assert _bodies(data) == [b"/on"]
    assert started == ["/one"]
