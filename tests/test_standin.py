"""The stand-in endpoints and callers themselves: each does what it is told to, and no more."""

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
# Every piece of work takes just as long.
EVEN: typing.Final = profiles.EndpointProfile(spread=1e-9)


class Reply(typing.NamedTuple):
    """What came on a pipe in answer to one request."""

    status: int
    headers: dict[str, str]
    data: bytes
    at: float


class Line:
    """A caller's pipe to the endpoint."""

    def __init__(self, connection: ports.Connection, clock: ports.Clock) -> None:
        self.connection = connection
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)

    async def send(self, path: str = "/x", method: str = "GET", **heads: str) -> None:
        raw = [("host", ADDRESS), *((k.replace("_", "-"), v) for k, v in heads.items())]
        out = self._http.send(h11.Request(method=method, target=path, headers=raw)) or b""
        await self.connection.write(out + (self._http.send(h11.EndOfMessage()) or b""))

    async def reply(self) -> Reply:
        """The next reply; raises where there is none, or no whole one."""
        head: h11.Response | None = None
        data = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self.connection.read(65536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                data += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                fields = {k.decode(): v.decode() for k, v in head.headers}
                if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                    self._http.start_next_cycle()
                return Reply(head.status_code, fields, data, self._clock.now())
            else:
                raise ConnectionError("closed without a reply")

    async def ask(self, path: str = "/x", method: str = "GET", **heads: str) -> Reply:
        await self.send(path, method, **heads)
        return await self.reply()


class Bench:
    """One endpoint on a simulated machine, and pipes to it."""

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

    async def line(self) -> Line:
        return Line(await self.world.machine_for("caller").net.connect(ADDRESS, 1.0), self.clock)

    async def ask(self, path: str = "/x", method: str = "GET", **heads: str) -> Reply:
        return await (await self.line()).ask(path, method, **heads)

    def started(self) -> set[str]:
        return set(self.record.execution_starts)


def _with(
    scratch: pathlib.Path, work: typing.Callable[[Bench], typing.Awaitable[None]], **profile: typing.Any
) -> None:
    async def main() -> None:
        bench = Bench(worlds.World(5, scratch), dataclasses.replace(EVEN, **profile))
        await bench.endpoint.open()
        await work(bench)

    loops.run(main())


def _spoilt(bench: Bench, fault: str) -> None:
    bench.endpoint.plan.fault = fault


# Slots and queue.


def test_what_finds_no_slot_waits_and_what_finds_no_place_is_refused(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        begun = bench.clock.now()
        replies = await asyncio.gather(*(bench.ask(f"/x?ask={n}") for n in range(7)))
        good = sorted(r.at - begun for r in replies if r.status == 200)
        assert len(good) == 5
        # Two at once, so three rounds of work.
        assert [round(span / WORK_S) for span in good] == [1, 1, 2, 2, 3]
        away = [r for r in replies if r.status == 503]
        assert [r.headers["dykeswitch-promise"] for r in away] == ["not-run"] * 2
        assert [r.headers["dykeswitch-burden"] for r in away] == ["2,3,2"] * 2
        assert max(r.at - begun for r in away) < 0.02
        assert len(bench.started()) == 5 and bench.endpoint.counts["full"] == 2

    _with(tmp_path, work, slots=2, queue=3, tells=True)


def test_who_closes_its_pipe_is_dropped_from_the_queue(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        lines = [await bench.line() for _ in range(3)]
        for n, line in enumerate(lines):
            await line.send(f"/x?ask={n}")
            await asyncio.sleep(0.01)
        lines[1].connection.close()
        last = await lines[2].reply()
        assert last.status == 200
        assert bench.started() == {"0", "2"}
        assert bench.endpoint.counts["gone_in_queue"] == 1
        assert bench.endpoint.slots.running == bench.endpoint.slots.waiting == 0

    _with(tmp_path, work, slots=1, queue=5)


def test_an_expiry_in_the_queue_is_a_promised_refusal(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        first = asyncio.create_task(bench.ask("/x?ask=0"))
        await asyncio.sleep(0.01)
        begun = bench.clock.now()
        late = await bench.ask("/x?ask=1", dykeswitch_expiry_ms="40")
        assert (late.status, late.headers["dykeswitch-promise"]) == (503, "not-run")
        assert 0.04 <= late.at - begun < 0.05
        assert (await first).status == 200
        await asyncio.sleep(1.0)
        assert bench.started() == {"0"}

    _with(tmp_path, work, slots=1, queue=5)


def test_an_expiry_at_work_is_said_and_counts_as_run(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        reply = await bench.ask("/x?ask=0", dykeswitch_expiry_ms="40")
        assert reply.status == 504 and "dykeswitch-promise" not in reply.headers
        assert bench.started() == {"0"} and not bench.record.executions

    _with(tmp_path, work, slots=1, queue=5, stops=True)


def test_work_is_given_up_with_its_pipe_where_it_is_so(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        line = await bench.line()
        await line.send("/x?ask=0")
        await asyncio.sleep(0.02)
        line.connection.close()
        await asyncio.sleep(0.02)
        assert bench.endpoint.active_count == 0
        assert bench.started() == {"0"} and not bench.record.executions

    _with(tmp_path, work, slots=1, queue=5, drops=True)


def test_a_full_one_resets_where_it_is_so(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        asking = asyncio.create_task(bench.ask("/x?ask=0"))
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionResetError):
            await bench.ask("/x?ask=1")
        assert (await asking).status == 200

    _with(tmp_path, work, slots=1, full="reset")


def test_a_full_one_hangs_where_it_is_so_and_says_nothing_further_on_that_pipe(
    tmp_path: pathlib.Path,
) -> None:
    async def work(bench: Bench) -> None:
        asking = asyncio.create_task(bench.ask("/x?ask=0"))
        await asyncio.sleep(0.01)
        line = await bench.line()
        await line.send("/x?ask=1")
        assert (await asking).status == 200
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60):
                await line.reply()
        # Whoever asks again there is not heard either.
        await line.connection.write(b"GET /x?ask=2 HTTP/1.1\r\nhost: e\r\n\r\n")
        await asyncio.sleep(1.0)
        assert bench.started() == {"0"}

    _with(tmp_path, work, slots=1, full="hang")


def test_other_slots_hold_from_now_on(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        asks = [asyncio.create_task(bench.ask(f"/x?ask={n}")) for n in range(4)]
        await asyncio.sleep(0.01)
        assert (bench.endpoint.active_count, bench.endpoint.slots.waiting) == (1, 3)
        bench.endpoint.profile = EVEN
        assert (bench.endpoint.active_count, bench.endpoint.slots.waiting) == (4, 0)
        assert {(await ask).status for ask in asks} == {200}
        assert bench.endpoint.active_count == 0

    _with(tmp_path, work, slots=1, queue=5)


# Speeds.


def test_work_spreads_round_its_mean_within_a_bounded_tail() -> None:
    rng = random.Random(1)
    profile = profiles.EndpointProfile(spread=0.5, tail=3.0, pace=1.5)
    spans = [profile.work_duration_s(0.1, rng) for _ in range(20000)]
    assert statistics.mean(spans) == pytest.approx(0.15, rel=0.02)
    assert max(spans) == pytest.approx(0.45)
    paces = [profiles.PLAIN.with_random_pace(rng).pace for _ in range(1000)]
    assert 0.5 <= min(paces) < 0.55 and 1.55 < max(paces) <= 1.6


def test_a_pressed_one_and_a_fresh_one_are_slower(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        async def took(many: int) -> float:
            begun = bench.clock.now()
            replies = await asyncio.gather(*(bench.ask() for _ in range(many)))
            return max(r.at for r in replies) - begun

        assert 0.3 < await took(1) < 0.32
        await asyncio.sleep(5.0)
        assert 0.1 < await took(1) < 0.12
        assert 0.1 < await took(2) < 0.12
        # With the last slot taken it is twice as slow.
        assert 0.2 < await took(4) < 0.22

    _with(tmp_path, work, slots=4, queue=5, press=2.0, warm_by=3.0, warm_s=5.0)


# What replies tell.


def test_a_probe_waits_for_a_slot_costs_work_and_tells_the_burden(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        asking = asyncio.create_task(bench.ask("/x?ask=0"))
        await asyncio.sleep(0.01)
        begun = bench.clock.now()
        probe = await bench.ask("/healthz")
        assert probe.status == 200 and probe.headers["dykeswitch-served-by"] == "e-1"
        assert probe.headers["dykeswitch-burden"] == "0,0,1"
        # The rest of what is at work, and a fifth of a second for itself.
        assert 0.28 < probe.at - begun < 0.31
        assert (await asking).headers["dykeswitch-burden"] == "1,0,1"
        assert not bench.started() - {"0"}

    _with(tmp_path, work, slots=1, queue=5, probe_s=0.2, tells=True)


def test_only_whom_the_caller_means_runs_it(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        ids = {"dykeswitch_exchange": "p-7", "x_ask": "a"}
        reply = await bench.ask("/x?ask=a", dykeswitch_expected="e-0", **ids)
        assert (reply.status, reply.headers["dykeswitch-promise"]) == (421, "not-run")
        assert reply.headers["dykeswitch-exchange"] == "p-7"
        assert not bench.started() and not bench.arrivals and bench.misdirected == ["/x?ask=a"]
        reply = await bench.ask("/x?ask=a", dykeswitch_expected="e-1", **ids)
        assert (reply.status, reply.headers["dykeswitch-exchange"]) == (200, "p-7")
        assert bench.started() == {"a"} and bench.arrivals == ["/x?ask=a"]
        assert reply.headers["x-seal"] == headers.seal(200, reply.data)

    _with(tmp_path, work)


# Pipes.


def test_pipes_over_the_most_are_reset(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        first, second = await bench.line(), await bench.line()
        assert (await first.ask()).status == (await second.ask()).status == 200
        third = await bench.line()
        with pytest.raises(ConnectionResetError):
            await third.ask()
        first.connection.close()
        await asyncio.sleep(0.01)
        assert (await bench.ask()).status == 200

    _with(tmp_path, work, pipes_most=2)


def test_fewer_pipes_are_taken_while_requests_wait(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        asks = [asyncio.create_task(bench.ask()) for _ in range(3)]
        await asyncio.sleep(0.02)
        with pytest.raises(ConnectionResetError):
            await bench.ask()
        assert [(await ask).status for ask in asks] == [200] * 3
        assert (await bench.ask()).status == 200

    _with(tmp_path, work, slots=1, queue=5, pipes_most=9, pipes_pressed=3)


def test_a_fresh_pipe_holds_a_slot_for_a_moment(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        line = await bench.line()
        assert (await line.ask()).status == 200
        await bench.line()
        await asyncio.sleep(0.01)
        begun = bench.clock.now()
        # Nothing was asked on the fresh one, and all the same this has to wait.
        assert (await line.ask()).at - begun > WORK_S + 0.03

    _with(tmp_path, work, slots=1, queue=5, hello_s=0.05)


def test_idle_pipes_are_closed_after_the_time_that_was_told(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        line = await bench.line()
        assert (await line.ask()).headers["keep-alive"] == "timeout=2"
        await asyncio.sleep(1.9)
        assert not line.connection.ended()
        assert (await line.ask()).status == 200
        await asyncio.sleep(2.1)
        assert await line.connection.read(1) == b""

    _with(tmp_path, work, idle_s=2.0)


def test_some_forget_idle_pipes_without_a_word(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        line = await bench.line()
        assert (await line.ask("/x?ask=0")).status == 200
        await asyncio.sleep(0.2)
        assert (await line.ask("/x?ask=1")).status == 200
        await asyncio.sleep(0.4)
        assert not line.connection.ended()
        with pytest.raises(ConnectionResetError):
            await line.ask("/x?ask=2")
        assert bench.started() == {"0", "1"}

    _with(tmp_path, work, forgets_s=0.3)


def test_a_reply_may_end_its_pipe(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        line = await bench.line()
        assert (await line.ask()).headers["connection"] == "close"
        assert await line.connection.read(1) == b""

    _with(tmp_path, work, close_share=1.0)


# Garbage.


@pytest.mark.parametrize(
    ("fault", "flaw"),
    [("lose", h11.RemoteProtocolError), ("lose_reset", ConnectionResetError), ("lose_silent", TimeoutError)],
)
def test_a_reply_lost_after_the_run(fault: str, flaw: type[Exception], tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        _spoilt(bench, fault)
        with pytest.raises(flaw):
            async with asyncio.timeout(30):
                await bench.ask("/x?ask=0")
        assert set(bench.record.executions) == {"0"}

    _with(tmp_path, work)


@pytest.mark.parametrize("fault", ["garbage", "garbage_any", "cut", "cut_chunks", "cut_head", "cut_reset"])
def test_bytes_that_are_no_whole_reply(fault: str, tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        _spoilt(bench, fault)
        for n in range(20):
            try:
                async with asyncio.timeout(5):
                    reply = await bench.ask(f"/x?ask={n}")
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                continue
            # What ends with its pipe is all that looks whole to a plain reader.
            assert "content-length" not in reply.headers and "transfer-encoding" not in reply.headers
        assert len(bench.record.executions) == 20

    _with(tmp_path, work)


@pytest.mark.parametrize("fault", ["surplus", "surplus_soon"])
def test_a_surplus_reply_follows_a_whole_one(fault: str, tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        _spoilt(bench, fault)
        line = await bench.line()
        assert (await line.ask(x_ask="0")).headers["x-ask"] == "0"
        await asyncio.sleep(0.1)
        assert line.connection.ended() or fault == "surplus"
        # Read as the reply to the next request, it is the one before.
        _spoilt(bench, "none")
        assert (await line.ask(x_ask="1")).headers["x-ask"] == "0"

    _with(tmp_path, work)


def test_a_late_surplus_reply_comes_in_the_place_of_the_next(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        _spoilt(bench, "surplus_late")
        line = await bench.line()
        assert (await line.ask(x_ask="0")).headers["x-ask"] == "0"
        _spoilt(bench, "none")
        await asyncio.sleep(1.0)
        assert not line.connection.ended()
        assert (await line.ask(x_ask="1")).headers["x-ask"] == "0"
        # Its own comes right behind it, one place too late.
        assert b"x-ask: 1" in line._http.trailing_data[0]

    _with(tmp_path, work)


def test_every_fault_has_an_endpoint_that_lives_on(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        for fault in faults.FAULTS:
            _spoilt(bench, fault)
            try:
                async with asyncio.timeout(130):
                    await bench.ask("/x?ask=0")
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                pass
            _spoilt(bench, "none")
            assert (await bench.ask()).status == 200
        assert bench.endpoint.active_count == 0

    _with(tmp_path, work)


# Beats.


class Web:
    """Takes beats, in the order in which they come, and answers requests by a script."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.pages: list[dict[str, typing.Any]] = []
        self.asks: list[tuple[float, str, str]] = []
        self.replies: list[ports.Response | OSError] = []

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        raise NotImplementedError

    async def request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        await self._clock.sleep(0.01)
        if path == "/v1/beat":
            self.pages.append(json.loads(body))
            return ports.Response(200, [], b"{}")
        if path == "/readyz":
            return ports.Response(200, [], b"{}")
        self.asks.append((self._clock.now(), address, dict(ports.resolve_fields(headers))["x-ask"]))
        reply = self.replies.pop(0)
        if isinstance(reply, OSError):
            raise reply
        return reply


def test_beats_count_and_late_ones_are_told_by_it(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        web = Web(bench.clock)
        bench.endpoint.move_to_machine(bench.world.machine_for("e-1")._replace(web=web))
        beating = asyncio.create_task(bench.endpoint.send_heartbeats())
        await asyncio.sleep(60.0)
        assert await bench.endpoint.drain()
        beating.cancel()
        counts = [page["count"] for page in web.pages]
        assert len(set(counts)) == len(counts) > 40
        assert counts != sorted(counts)
        last = max(web.pages, key=lambda page: int(page["count"]))
        assert (last["slots"], last["draining"], last["warm_s"]) == (2, True, 0.0)
        assert web.pages[0]["draining"] is False and 2.0 < web.pages[0]["warm_s"] <= 3.0

    _with(tmp_path, work, slots=2, queue=2, late_share=0.3, late_s=2.5, warm_s=3.0, tells_more=True)


def test_beats_tell_no_more_than_before_unless_told_to(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        page = bench.endpoint.heartbeat_body()
        assert set(page) == {"id", "service", "address", "zone", "burden", "interval_s"}

    _with(tmp_path, work, slots=2, queue=2)


def test_a_draining_one_serves_on_and_bids_farewell(tmp_path: pathlib.Path) -> None:
    async def work(bench: Bench) -> None:
        bench.endpoint.move_to_machine(bench.world.machine_for("e-1")._replace(web=Web(bench.clock)))
        assert await bench.endpoint.drain()
        assert (await bench.ask("/healthz")).status == 503
        reply = await bench.ask()
        assert (reply.status, reply.headers["connection"]) == (200, "close")

    _with(tmp_path, work)


# Callers.

READ: typing.Final = shapes.ServiceShape("r", 1, 1, "/r", "GET", 0.01, expiry_s=3.0)
WRITE: typing.Final = dataclasses.replace(READ, name="w", method="POST")
REFUSED: typing.Final = ports.Response(503, [("retry-after", "0.5")], b"")
LONG: typing.Final = ports.Response(503, [("retry-after", "30")], b"")
UNKNOWN: typing.Final = ports.Response(502, [("retry-after", "0.5")], b"")
NO_RULE: typing.Final = ports.Response(404, [], b"")


def _wish(
    scratch: pathlib.Path,
    service: shapes.ServiceShape,
    replies: list[ports.Response | OSError],
    **behavior: typing.Any,
) -> tuple[clients.Operation, list[float], list[str]]:
    """A wish under a script of replies; the waits between its tries, and whom it asked."""

    async def main() -> tuple[clients.Operation, list[float], list[str]]:
        machine = worlds.World(5, scratch).machine_for("outside")
        web = Web(machine.clock)
        web.replies = replies
        shape = shapes.Shape("tiny", 3, 1, ("z1",), (service,))
        some = clients.Clients(
            shape,
            machine._replace(web=web),
            ["a", "b", "c"],
            clients.TrafficRecord(machine.clock),
            random.Random(2),
        )
        some.ready = {"a", "b", "c"}
        some.behavior = clients.ClientBehavior(**behavior)
        operation = await some.run_operation(service)
        ats = [at for at, _, _ in web.asks]
        assert len({name for _, _, name in web.asks}) == len(ats) == len(operation.requests)
        return (
            operation,
            [two - one for one, two in zip(ats, ats[1:])],
            [address for _, address, _ in web.asks],
        )

    found: tuple[clients.Operation, list[float], list[str]] = loops.run(main())
    return found


def test_a_caller_tries_again_by_another_proxy_after_the_time_it_was_told(tmp_path: pathlib.Path) -> None:
    operation, waits, addresses = _wish(tmp_path, WRITE, [REFUSED, REFUSED, REFUSED], tries=2)
    assert [round(w, 2) for w in waits] == [0.51, 0.51]
    assert len(set(addresses)) == 3
    assert not operation.succeeded and all(request.trusts_refusal for request in operation.requests)


def test_a_caller_waits_no_longer_than_a_third_of_what_it_has_left(tmp_path: pathlib.Path) -> None:
    _, waits, _ = _wish(tmp_path, READ, [LONG, LONG], tries=1)
    assert waits == [pytest.approx(1.0, abs=0.02)]


def test_a_write_is_not_tried_again_without_a_promise(tmp_path: pathlib.Path) -> None:
    for reply in (UNKNOWN, NO_RULE, ConnectionResetError("broke")):
        operation, waits, _ = _wish(tmp_path, WRITE, [reply, REFUSED], tries=1)
        assert waits == [] and len(operation.requests) == 1


def test_a_read_is_tried_again_at_once_where_nothing_was_promised(tmp_path: pathlib.Path) -> None:
    for reply in (UNKNOWN, ConnectionResetError("broke")):
        _, waits, _ = _wish(tmp_path, READ, [reply, REFUSED], tries=1)
        assert waits == [pytest.approx(clients.RETRY_PAUSE_S + 0.01, abs=0.005)]
    _, waits, _ = _wish(tmp_path, READ, [NO_RULE], tries=1)
    assert waits == []


def test_some_callers_do_not_wait_as_told(tmp_path: pathlib.Path) -> None:
    _, waits, _ = _wish(tmp_path, WRITE, [REFUSED] * 4, tries=3, waits=False)
    assert len(waits) == 3 and max(waits) < 0.05


def test_a_plain_caller_asks_once(tmp_path: pathlib.Path) -> None:
    operation, _, _ = _wish(tmp_path, WRITE, [REFUSED])
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
