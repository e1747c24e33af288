"""Tests of the stand-in endpoints and clients: each behaves as it is configured to, and no further."""

import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import typing

import h11
import pytest

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.caller as clients
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.faults as faults
import dykeswitch.standin.headers as headers
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

ADDRESS: typing.Final = ports.Address("10.0.0.9:80")
WORK_S: typing.Final = 0.1
# Every piece of work takes the same time.
EVEN: typing.Final = profiles.EndpointProfile(spread=1e-9)


class Response(typing.NamedTuple):
    """The response to one request, and when it was in."""

    status: int
    headers: dict[str, str]
    data: bytes
    at: float


class ClientConnection:
    """A client's connection to the endpoint."""

    def __init__(self, connection: ports.Connection, clock: ports.Clock) -> None:
        self.raw = connection
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)

    async def send(self, path: str = "/x", method: str = "GET", **headers: str) -> None:
        fields = [("host", ADDRESS), *((k.replace("_", "-"), v) for k, v in headers.items())]
        out = self._http.send(h11.Request(method=method, target=path, headers=fields)) or b""
        await self.raw.write(out + (self._http.send(h11.EndOfMessage()) or b""))

    async def read_response(self) -> Response:
        """Read the next response; raise an error if there is none, or not a whole one."""
        head: h11.Response | None = None
        data = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self.raw.read(65536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                data += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                fields = {k.decode(): v.decode() for k, v in head.headers}
                if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                    self._http.start_next_cycle()
                return Response(head.status_code, fields, data, self._clock.now())
            else:
                raise ConnectionError("closed without a response")

    async def request(self, path: str = "/x", method: str = "GET", **headers: str) -> Response:
        await self.send(path, method, **headers)
        return await self.read_response()


class Bench:
    """One endpoint on a simulated machine, and connections to it."""

    def __init__(self, world: worlds.World, profile: profiles.EndpointProfile) -> None:
        self.world = world
        self.clock = world.machine_for("caller").clock
        self.record = clients.TrafficRecord(self.clock)
        self.arrivals: list[str] = []
        self.misdirected: list[str] = []
        self.endpoint = endpoints.Endpoint(
            "e-1",
            "e",
            ADDRESS,
            "z1",
            world.machine_for("e-1"),
            lambda: ["10.0.0.1:80"],
            random.Random(3),
            WORK_S,
            on_execution=self.record.record_execution,
            on_arrival=lambda endpoint, method, target: self.arrivals.append(target),
            profile=profile,
            on_start=self.record.record_start,
            on_misdirected=lambda endpoint, method, target: self.misdirected.append(target),
        )

    async def connect(self) -> ClientConnection:
        return ClientConnection(await self.world.machine_for("caller").net.connect(ADDRESS, 1.0), self.clock)

    async def request(self, path: str = "/x", method: str = "GET", **headers: str) -> Response:
        return await (await self.connect()).request(path, method, **headers)

    def started_ids(self) -> set[str]:
        return set(self.record.execution_starts)


def _run_bench(
    folder: pathlib.Path, scenario: typing.Callable[[Bench], typing.Awaitable[None]], **profile: typing.Any
) -> None:
    async def main() -> None:
        bench = Bench(worlds.World(5, folder), dataclasses.replace(EVEN, **profile))
        await bench.endpoint.open()
        await scenario(bench)

    loops.run(main())


def _set_fault(bench: Bench, fault: str) -> None:
    bench.endpoint.plan.fault = fault


# Slots and queue.


def test_what_finds_no_slot_waits_and_what_finds_no_place_is_refused(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        started_at = bench.clock.now()
        responses = await asyncio.gather(*(bench.request(f"/x?ask={n}") for n in range(7)))
        durations_s = sorted(r.at - started_at for r in responses if r.status == 200)
        assert len(durations_s) == 5
        # Two requests run at once, so there are three rounds of work.
        assert [round(duration_s / WORK_S) for duration_s in durations_s] == [1, 1, 2, 2, 3]
        refused = [r for r in responses if r.status == 503]
        assert [r.headers["dykeswitch-promise"] for r in refused] == ["not-run"] * 2
        assert [r.headers["dykeswitch-burden"] for r in refused] == ["2,3,2"] * 2
        assert max(r.at - started_at for r in refused) < 0.02
        assert len(bench.started_ids()) == 5 and bench.endpoint.counts["full"] == 2

    _run_bench(tmp_path, scenario, slots=2, queue=3, tells=True)


def test_who_closes_its_pipe_is_dropped_from_the_queue(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connections = [await bench.connect() for _ in range(3)]
        for n, connection in enumerate(connections):
            await connection.send(f"/x?ask={n}")
            await asyncio.sleep(0.01)
        connections[1].raw.close()
        last = await connections[2].read_response()
        assert last.status == 200
        assert bench.started_ids() == {"0", "2"}
        assert bench.endpoint.counts["gone_in_queue"] == 1
        assert bench.endpoint.slots.running == bench.endpoint.slots.waiting == 0

    _run_bench(tmp_path, scenario, slots=1, queue=5)


def test_an_expiry_in_the_queue_is_a_promised_refusal(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        first = asyncio.create_task(bench.request("/x?ask=0"))
        await asyncio.sleep(0.01)
        started_at = bench.clock.now()
        late = await bench.request("/x?ask=1", dykeswitch_expiry_ms="40")
        assert (late.status, late.headers["dykeswitch-promise"]) == (503, "not-run")
        assert 0.04 <= late.at - started_at < 0.05
        assert (await first).status == 200
        await asyncio.sleep(1.0)
        assert bench.started_ids() == {"0"}

    _run_bench(tmp_path, scenario, slots=1, queue=5)


def test_an_expiry_at_work_is_said_and_counts_as_run(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        response = await bench.request("/x?ask=0", dykeswitch_expiry_ms="40")
        assert response.status == 504 and "dykeswitch-promise" not in response.headers
        assert bench.started_ids() == {"0"} and not bench.record.executions

    _run_bench(tmp_path, scenario, slots=1, queue=5, stops=True)


def test_work_is_given_up_with_its_pipe_where_it_is_so(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connection = await bench.connect()
        await connection.send("/x?ask=0")
        await asyncio.sleep(0.02)
        connection.raw.close()
        await asyncio.sleep(0.02)
        assert bench.endpoint.active_count == 0
        assert bench.started_ids() == {"0"} and not bench.record.executions

    _run_bench(tmp_path, scenario, slots=1, queue=5, drops=True)


def test_a_full_one_resets_where_it_is_so(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        running = asyncio.create_task(bench.request("/x?ask=0"))
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionResetError):
            await bench.request("/x?ask=1")
        assert (await running).status == 200

    _run_bench(tmp_path, scenario, slots=1, full="reset")


def test_a_full_one_hangs_where_it_is_so_and_says_nothing_further_on_that_pipe(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(bench: Bench) -> None:
        running = asyncio.create_task(bench.request("/x?ask=0"))
        await asyncio.sleep(0.01)
        connection = await bench.connect()
        await connection.send("/x?ask=1")
        assert (await running).status == 200
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60):
                await connection.read_response()
        # A further request on that connection isn't read either.
        await connection.raw.write(b"GET /x?ask=2 HTTP/1.1\r\nhost: e\r\n\r\n")
        await asyncio.sleep(1.0)
        assert bench.started_ids() == {"0"}

    _run_bench(tmp_path, scenario, slots=1, full="hang")


def test_other_slots_hold_from_now_on(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        tasks = [asyncio.create_task(bench.request(f"/x?ask={n}")) for n in range(4)]
        await asyncio.sleep(0.01)
        assert (bench.endpoint.active_count, bench.endpoint.slots.waiting) == (1, 3)
        bench.endpoint.profile = EVEN
        assert (bench.endpoint.active_count, bench.endpoint.slots.waiting) == (4, 0)
        assert {(await task).status for task in tasks} == {200}
        assert bench.endpoint.active_count == 0

    _run_bench(tmp_path, scenario, slots=1, queue=5)


# Speed.


def test_work_spreads_round_its_mean_within_a_bounded_tail() -> None:
    rng = random.Random(1)
    profile = profiles.EndpointProfile(spread=0.5, tail=3.0, pace=1.5)
    durations_s = [profile.work_duration_s(0.1, rng) for _ in range(20000)]
    assert statistics.mean(durations_s) == pytest.approx(0.15, rel=0.02)
    assert max(durations_s) == pytest.approx(0.45)
    paces = [profiles.PLAIN.with_random_pace(rng).pace for _ in range(1000)]
    assert 0.5 <= min(paces) < 0.55 and 1.55 < max(paces) <= 1.6


def test_a_pressed_one_and_a_fresh_one_are_slower(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        async def duration_s(count: int) -> float:
            started_at = bench.clock.now()
            responses = await asyncio.gather(*(bench.request() for _ in range(count)))
            return max(r.at for r in responses) - started_at

        assert 0.3 < await duration_s(1) < 0.32
        await asyncio.sleep(5.0)
        assert 0.1 < await duration_s(1) < 0.12
        assert 0.1 < await duration_s(2) < 0.12
        # With every slot in use it takes twice as long.
        assert 0.2 < await duration_s(4) < 0.22

    _run_bench(tmp_path, scenario, slots=4, queue=5, press=2.0, warm_by=3.0, warm_s=5.0)


# What responses contain.


def test_a_probe_waits_for_a_slot_costs_work_and_tells_the_burden(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        running = asyncio.create_task(bench.request("/x?ask=0"))
        await asyncio.sleep(0.01)
        started_at = bench.clock.now()
        probe = await bench.request("/healthz")
        assert probe.status == 200 and probe.headers["dykeswitch-served-by"] == "e-1"
        assert probe.headers["dykeswitch-burden"] == "0,0,1"
        # It waits for the rest of the request that is at work, then takes 0.2 s itself.
        assert 0.28 < probe.at - started_at < 0.31
        assert (await running).headers["dykeswitch-burden"] == "1,0,1"
        assert not bench.started_ids() - {"0"}

    _run_bench(tmp_path, scenario, slots=1, queue=5, probe_s=0.2, tells=True)


def test_only_whom_the_caller_means_runs_it(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        ids = {"dykeswitch_exchange": "p-7", "x_ask": "a"}
        response = await bench.request("/x?ask=a", dykeswitch_expected="e-0", **ids)
        assert (response.status, response.headers["dykeswitch-promise"]) == (421, "not-run")
        assert response.headers["dykeswitch-exchange"] == "p-7"
        assert not bench.started_ids() and not bench.arrivals and bench.misdirected == ["/x?ask=a"]
        response = await bench.request("/x?ask=a", dykeswitch_expected="e-1", **ids)
        assert (response.status, response.headers["dykeswitch-exchange"]) == (200, "p-7")
        assert bench.started_ids() == {"a"} and bench.arrivals == ["/x?ask=a"]
        assert response.headers["x-seal"] == headers.seal(200, response.data)

    _run_bench(tmp_path, scenario)


# Connections.


def test_pipes_over_the_most_are_reset(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        first, second = await bench.connect(), await bench.connect()
        assert (await first.request()).status == (await second.request()).status == 200
        third = await bench.connect()
        with pytest.raises(ConnectionResetError):
            await third.request()
        first.raw.close()
        await asyncio.sleep(0.01)
        assert (await bench.request()).status == 200

    _run_bench(tmp_path, scenario, pipes_most=2)


def test_fewer_pipes_are_taken_while_requests_wait(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        tasks = [asyncio.create_task(bench.request()) for _ in range(3)]
        await asyncio.sleep(0.02)
        with pytest.raises(ConnectionResetError):
            await bench.request()
        assert [(await task).status for task in tasks] == [200] * 3
        assert (await bench.request()).status == 200

    _run_bench(tmp_path, scenario, slots=1, queue=5, pipes_most=9, pipes_pressed=3)


def test_a_fresh_pipe_holds_a_slot_for_a_moment(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connection = await bench.connect()
        assert (await connection.request()).status == 200
        await bench.connect()
        await asyncio.sleep(0.01)
        started_at = bench.clock.now()
        # No request came on the new connection, and still this request has to wait for it.
        assert (await connection.request()).at - started_at > WORK_S + 0.03

    _run_bench(tmp_path, scenario, slots=1, queue=5, hello_s=0.05)


def test_idle_pipes_are_closed_after_the_time_that_was_told(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connection = await bench.connect()
        assert (await connection.request()).headers["keep-alive"] == "timeout=2"
        await asyncio.sleep(1.9)
        assert not connection.raw.ended()
        assert (await connection.request()).status == 200
        await asyncio.sleep(2.1)
        assert await connection.raw.read(1) == b""

    _run_bench(tmp_path, scenario, idle_s=2.0)


def test_some_forget_idle_pipes_without_a_word(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connection = await bench.connect()
        assert (await connection.request("/x?ask=0")).status == 200
        await asyncio.sleep(0.2)
        assert (await connection.request("/x?ask=1")).status == 200
        await asyncio.sleep(0.4)
        assert not connection.raw.ended()
        with pytest.raises(ConnectionResetError):
            await connection.request("/x?ask=2")
        assert bench.started_ids() == {"0", "1"}

    _run_bench(tmp_path, scenario, forgets_s=0.3)


def test_a_reply_may_end_its_pipe(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        connection = await bench.connect()
        assert (await connection.request()).headers["connection"] == "close"
        assert await connection.raw.read(1) == b""

    _run_bench(tmp_path, scenario, close_share=1.0)


# Malformed and surplus responses.


@pytest.mark.parametrize(
    ("fault", "error"),
    [("lose", h11.RemoteProtocolError), ("lose_reset", ConnectionResetError), ("lose_silent", TimeoutError)],
)
def test_a_reply_lost_after_the_run(fault: str, error: type[Exception], tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        _set_fault(bench, fault)
        with pytest.raises(error):
            async with asyncio.timeout(30):
                await bench.request("/x?ask=0")
        assert set(bench.record.executions) == {"0"}

    _run_bench(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["garbage", "garbage_any", "cut", "cut_chunks", "cut_head", "cut_reset"])
def test_bytes_that_are_no_whole_reply(fault: str, tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        _set_fault(bench, fault)
        for n in range(20):
            try:
                async with asyncio.timeout(5):
                    response = await bench.request(f"/x?ask={n}")
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                continue
            # Only a response that ends with its connection may look whole to a plain reader.
            assert "content-length" not in response.headers and "transfer-encoding" not in response.headers
        assert len(bench.record.executions) == 20

    _run_bench(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["surplus", "surplus_soon"])
def test_a_surplus_reply_follows_a_whole_one(fault: str, tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        _set_fault(bench, fault)
        connection = await bench.connect()
        assert (await connection.request(x_ask="0")).headers["x-ask"] == "0"
        await asyncio.sleep(0.1)
        assert connection.raw.ended() or fault == "surplus"
        # What is read as the response to the next request is the surplus one.
        _set_fault(bench, "none")
        assert (await connection.request(x_ask="1")).headers["x-ask"] == "0"

    _run_bench(tmp_path, scenario)


def test_a_late_surplus_reply_comes_in_the_place_of_the_next(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        _set_fault(bench, "surplus_late")
        connection = await bench.connect()
        assert (await connection.request(x_ask="0")).headers["x-ask"] == "0"
        _set_fault(bench, "none")
        await asyncio.sleep(1.0)
        assert not connection.raw.ended()
        assert (await connection.request(x_ask="1")).headers["x-ask"] == "0"
        # Its own response follows right behind, one place too late.
        assert b"x-ask: 1" in connection._http.trailing_data[0]

    _run_bench(tmp_path, scenario)


def test_every_fault_has_an_endpoint_that_lives_on(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        for fault in faults.FAULTS:
            _set_fault(bench, fault)
            try:
                async with asyncio.timeout(130):
                    await bench.request("/x?ask=0")
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                pass
            _set_fault(bench, "none")
            assert (await bench.request()).status == 200
        assert bench.endpoint.active_count == 0

    _run_bench(tmp_path, scenario)


# Heartbeats.


class ScriptedWeb:
    """Records heartbeats in the order in which they arrive, and answers requests by a script."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.heartbeats: list[dict[str, typing.Any]] = []
        self.requests: list[tuple[float, str, str]] = []
        self.responses: list[ports.Response | OSError] = []

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        raise NotImplementedError

    async def request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        await self._clock.sleep(0.01)
        if path == "/v1/beat":
            self.heartbeats.append(json.loads(body))
            return ports.Response(200, [], b"{}")
        if path == "/readyz":
            return ports.Response(200, [], b"{}")
        self.requests.append((self._clock.now(), address, dict(ports.resolve_fields(headers))["x-ask"]))
        response = self.responses.pop(0)
        if isinstance(response, OSError):
            raise response
        return response


def test_beats_count_and_late_ones_are_told_by_it(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        web = ScriptedWeb(bench.clock)
        bench.endpoint.move_to_machine(bench.world.machine_for("e-1")._replace(web=web))
        sending = asyncio.create_task(bench.endpoint.send_heartbeats())
        await asyncio.sleep(60.0)
        assert await bench.endpoint.drain()
        sending.cancel()
        counts = [heartbeat["count"] for heartbeat in web.heartbeats]
        assert len(set(counts)) == len(counts) > 40
        assert counts != sorted(counts)
        last = max(web.heartbeats, key=lambda heartbeat: int(heartbeat["count"]))
        assert (last["slots"], last["draining"], last["warm_s"]) == (2, True, 0.0)
        assert web.heartbeats[0]["draining"] is False and 2.0 < web.heartbeats[0]["warm_s"] <= 3.0

    _run_bench(tmp_path, scenario, slots=2, queue=2, late_share=0.3, late_s=2.5, warm_s=3.0, tells_more=True)


def test_beats_tell_no_more_than_before_unless_told_to(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        body = bench.endpoint.heartbeat_body()
        assert set(body) == {"id", "service", "address", "zone", "burden", "interval_s"}

    _run_bench(tmp_path, scenario, slots=2, queue=2)


def test_a_draining_one_serves_on_and_bids_farewell(tmp_path: pathlib.Path) -> None:
    async def scenario(bench: Bench) -> None:
        bench.endpoint.move_to_machine(bench.world.machine_for("e-1")._replace(web=ScriptedWeb(bench.clock)))
        assert await bench.endpoint.drain()
        assert (await bench.request("/healthz")).status == 503
        response = await bench.request()
        assert (response.status, response.headers["connection"]) == (200, "close")

    _run_bench(tmp_path, scenario)


# Clients.

READ: typing.Final = shapes.ServiceShape("r", 1, 1, "/r", "GET", 0.01, expiry_s=3.0)
WRITE: typing.Final = dataclasses.replace(READ, name="w", method="POST")
REFUSED: typing.Final = ports.Response(503, [("retry-after", "0.5")], b"")
LONG: typing.Final = ports.Response(503, [("retry-after", "30")], b"")
UNKNOWN: typing.Final = ports.Response(502, [("retry-after", "0.5")], b"")
NO_RULE: typing.Final = ports.Response(404, [], b"")


def _run_operation(
    folder: pathlib.Path,
    service: shapes.ServiceShape,
    responses: list[ports.Response | OSError],
    **behavior: typing.Any,
) -> tuple[clients.Operation, list[float], list[str]]:
    """Run an operation by a script of responses; return it, the pauses between attempts, and the proxies."""

    async def main() -> tuple[clients.Operation, list[float], list[str]]:
        machine = worlds.World(5, folder).machine_for("outside")
        web = ScriptedWeb(machine.clock)
        web.responses = responses
        shape = shapes.Shape("tiny", 3, 1, ("z1",), (service,))
        sender = clients.Clients(
            shape,
            machine._replace(web=web),
            ["a", "b", "c"],
            clients.TrafficRecord(machine.clock),
            random.Random(2),
        )
        sender.ready = {"a", "b", "c"}
        sender.behavior = clients.ClientBehavior(**behavior)
        operation = await sender.run_operation(service)
        times = [at for at, _, _ in web.requests]
        assert len({name for _, _, name in web.requests}) == len(times) == len(operation.requests)
        return (
            operation,
            [two - one for one, two in zip(times, times[1:])],
            [address for _, address, _ in web.requests],
        )

    result: tuple[clients.Operation, list[float], list[str]] = loops.run(main())
    return result


def test_a_caller_tries_again_by_another_proxy_after_the_time_it_was_told(tmp_path: pathlib.Path) -> None:
    operation, pauses_s, addresses = _run_operation(tmp_path, WRITE, [REFUSED, REFUSED, REFUSED], tries=2)
    assert [round(pause_s, 2) for pause_s in pauses_s] == [0.51, 0.51]
    assert len(set(addresses)) == 3
    assert not operation.succeeded and all(request.trusts_refusal for request in operation.requests)


def test_a_caller_waits_no_longer_than_a_third_of_what_it_has_left(tmp_path: pathlib.Path) -> None:
    _, pauses_s, _ = _run_operation(tmp_path, READ, [LONG, LONG], tries=1)
    assert pauses_s == [pytest.approx(1.0, abs=0.02)]


def test_a_write_is_not_tried_again_without_a_promise(tmp_path: pathlib.Path) -> None:
    for response in (UNKNOWN, NO_RULE, ConnectionResetError("broke")):
        operation, pauses_s, _ = _run_operation(tmp_path, WRITE, [response, REFUSED], tries=1)
        assert pauses_s == [] and len(operation.requests) == 1


def test_a_read_is_tried_again_at_once_where_nothing_was_promised(tmp_path: pathlib.Path) -> None:
    for response in (UNKNOWN, ConnectionResetError("broke")):
        _, pauses_s, _ = _run_operation(tmp_path, READ, [response, REFUSED], tries=1)
        assert pauses_s == [pytest.approx(clients.RETRY_PAUSE_S + 0.01, abs=0.005)]
    _, pauses_s, _ = _run_operation(tmp_path, READ, [NO_RULE], tries=1)
    assert pauses_s == []


def test_some_callers_do_not_wait_as_told(tmp_path: pathlib.Path) -> None:
    _, pauses_s, _ = _run_operation(tmp_path, WRITE, [REFUSED] * 4, tries=3, waits=False)
    assert len(pauses_s) == 3 and max(pauses_s) < 0.05


def test_a_plain_caller_asks_once(tmp_path: pathlib.Path) -> None:
    operation, _, _ = _run_operation(tmp_path, WRITE, [REFUSED])
    assert len(operation.requests) == 1 and not operation.requests[0].trusts_refusal


# Shapes.


@pytest.mark.parametrize("shape", list(shapes.UNEQUAL.values()))
def test_a_smaller_or_slower_fleet_has_the_same_load(shape: shapes.Shape) -> None:
    for other in (shape.scaled_down(0.25), shape.slowed_down(4.0)):
        for one, two in zip(shape.services, other.services):
            assert 0.5 <= one.load <= 0.6
            assert two.load == pytest.approx(one.load)
    assert sum(s.endpoints for s in shape.services) in (35, 130)


def test_a_real_pipe_that_is_reset_shows_as_a_reset() -> None:
    async def main() -> None:
        net = real.RealNetwork()

        async def serve(connection: ports.Connection) -> None:
            await connection.read(10)
            assert isinstance(connection, real.RealConnection)
            connection.reset()

        listener = await net.listen("127.0.0.1:0", serve)
        assert isinstance(listener, real.RealListener) and listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        connection = await net.connect(ports.address_of(f"127.0.0.1:{port}"), 5.0)
        await connection.write(b"x")
        with pytest.raises(ConnectionResetError):
            await connection.read(10)
        listener.close()

    asyncio.run(main())
