"""Matching of responses to requests, strikes and selection, without a fleet."""

import asyncio
import collections
import random
import typing

import pytest

import dykeswitch.adapter as adapters
import dykeswitch.proxy.selection as selection
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

ID: typing.Final = b"dykeswitch-exchange"


class ScriptedStream:
    """A connection that returns scripted data, whatever is written."""

    def __init__(self, *parts: bytes) -> None:
        self.parts = list(parts)
        self.wrote: list[bytes] = []
        self.closed = False

    async def read(self, max_bytes: int) -> bytes:
        return self.parts.pop(0) if self.parts else b""

    async def write(self, data: bytes) -> None:
        self.wrote.append(data)

    def close(self) -> None:
        self.closed = True

    def ended(self) -> bool:
        return self.closed


def _reply(name: str, body: str, status: int = 200, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} OK\r\nDykeswitch-Exchange: {name}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    return (head + body).encode()


async def _send(connection: connections.EndpointConnection, name: str) -> tuple[int, bytes]:
    headers = [(b"host", b"a"), (ID, name.encode())]
    head = await connection.send("POST", b"/x", [*headers, (b"content-length", b"2")], b"hi")
    return head.status, b"".join([part async for part in connection.parts()])


def _connection(script: ScriptedStream) -> connections.EndpointConnection:
    return connections.EndpointConnection("e", "10.0.0.1:1", script, 0.0, ID)


def test_a_second_reply_to_an_earlier_exchange_is_passed_over() -> None:
    async def main() -> None:
        script = ScriptedStream(_reply("one", "1"), _reply("one", "again") + _reply("two", "2"))
        connection = _connection(script)
        assert await _send(connection, "one") == (200, b"1")
        assert await _send(connection, "two") == (200, b"2")
        # Each request was sent once, in a single write.
        assert [part.count(b"POST") for part in script.wrote] == [1, 1]
        assert connection.usable()

    asyncio.run(main())


@pytest.mark.parametrize("cut", [1, 20, 60, 80])
def test_a_second_reply_may_come_in_pieces(cut: int) -> None:
    async def main() -> None:
        late = _reply("one", "again") + _reply("two", "2")
        connection = _connection(ScriptedStream(_reply("one", "1"), late[:cut], late[cut:]))
        assert await _send(connection, "one") == (200, b"1")
        assert await _send(connection, "two") == (200, b"2")

    asyncio.run(main())


def test_a_reply_to_an_exchange_that_was_never_here_is_not_ours() -> None:
    async def main() -> None:
        connection = _connection(ScriptedStream(_reply("strange", "1")))
        with pytest.raises(connections.EndpointConnectionError) as error:
            await _send(connection, "one")
        assert error.value.reason == soundness.FOREIGN_RESPONSE and error.value.sent
        assert not connection.usable()

    asyncio.run(main())


def test_bytes_behind_a_whole_reply_end_the_pipe() -> None:
    async def main() -> None:
        connection = _connection(ScriptedStream(_reply("one", "1") + _reply("one", "again")))
        assert await _send(connection, "one") == (200, b"1")
        assert not connection.usable()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", soundness.BROKE_OFF),
        (b"\x00\xff no reply at all\r\n\r\n", soundness.GARBAGE),
        (_reply("one", "body")[:-2], soundness.BROKE_OFF),
        (_reply("one", "body")[:30], soundness.BROKE_OFF),
    ],
)
def test_what_is_no_whole_reply_is_never_one(data: bytes, reason: str) -> None:
    async def main() -> None:
        connection = _connection(ScriptedStream(data))
        with pytest.raises(connections.EndpointConnectionError) as error:
            await _send(connection, "one")
        assert (error.value.reason, error.value.sent) == (reason, True)
        assert not connection.usable()

    asyncio.run(main())


def test_an_endpoints_word_on_idle_pipes_is_learnt() -> None:
    async def main() -> None:
        connection = _connection(ScriptedStream(_reply("one", "1", more="Keep-Alive: timeout=7, max=9\r\n")))
        await _send(connection, "one")
        assert connection.keep_alive_s == 7.0

    asyncio.run(main())


def test_a_parting_reply_ends_the_pipe() -> None:
    async def main() -> None:
        connection = _connection(ScriptedStream(_reply("one", "1", more="Connection: close\r\n")))
        assert await _send(connection, "one") == (200, b"1")
        assert not connection.usable()

    asyncio.run(main())


# Failures that lead to a mark.


def test_a_row_of_soft_failures_marks_and_a_reply_ends_the_row() -> None:
    strikes = soundness.FailureTracker(5.0)
    fault = soundness.no_response_fault(soundness.BROKE_OFF)
    assert [strikes.record_failure("e", fault, 0.1 * n) for n in range(3)] == [False, False, True]
    for n in range(40):
        strikes.record_success("e", 1 + 0.01 * n)
    for n in range(6):
        assert not strikes.record_failure("e", fault, 2.0 + n / 10)
        strikes.record_success("e", 2.05 + n / 10)


def test_failures_mixed_with_replies_mark_where_they_are_many() -> None:
    strikes = soundness.FailureTracker(5.0)
    fault = soundness.no_response_fault(soundness.TIMED_OUT)
    marked = False
    # Four of ten requests fail, never two in a row.
    for n in range(20):
        now = n * 0.1
        if n % 5 in (0, 2):
            marked = marked or strikes.record_failure("e", fault, now)
        else:
            strikes.record_success("e", now)
    assert marked


def test_one_in_forty_lost_marks_as_good_as_never() -> None:
    strikes = soundness.FailureTracker(5.0)
    fault = soundness.no_response_fault(soundness.BROKE_OFF)
    rng = random.Random(3)
    marks = 0
    for n in range(20000):
        if rng.random() < 0.025:
            marks += strikes.record_failure("e", fault, n * 0.06)
        else:
            strikes.record_success("e", n * 0.06)
    # Three failures in a row occur by chance once in 64,000 requests.
    assert marks <= 1


def test_a_refused_pipe_marks_at_once() -> None:
    assert soundness.FailureTracker(5.0).record_failure(
        "e", soundness.no_response_fault(soundness.REFUSED), 0.0
    )


# Selection by expected completion time.


class ManualClock:
    """A clock that is set by the test."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now(self) -> float:
        return self.time_s

    def wall(self) -> float:
        return self.time_s

    async def sleep(self, duration_s: float) -> None:
        self.time_s += duration_s


def _selector(
    zones: dict[str, str], name: str = "p"
) -> tuple[selection.Selector, ManualClock, timelines.Timeline]:
    clock = ManualClock()
    timeline = timelines.Timeline("p", clock, 900.0)
    config = settings.Settings(name=name, zone="near")
    selector = selection.Selector(timeline, timelines.Marks(timeline, 5.0), config, random.Random(1))
    for n, (endpoint, zone) in enumerate(zones.items()):
        fields: timelines.Fields = {
            "service": "s",
            "address": f"10.0.{n // 250}.{n % 250 + 1}:1",
            "zone": zone,
        }
        fields.update(state="up", born=[n, "r"], slots=2, load=0.0)
        timeline.write(timelines.ENDPOINT, endpoint, fields, 900.0, urgent=False)
    return selector, clock, timeline


def _get(timeline: timelines.Timeline, name: str) -> timelines.Entry:
    found = timeline.get(timelines.ENDPOINT, name)
    assert found is not None
    return found


def _selected(selector: selection.Selector, aim_s: float = 0.2, count: int = 200) -> dict[str, int]:
    found: dict[str, int] = {}
    for _ in range(count):
        entry = selector.select("s", set(), aim_s)
        assert entry is not None
        found[entry.key] = found.get(entry.key, 0) + 1
    return found


def test_a_near_endpoint_goes_first_until_its_queue_costs_more_than_the_way() -> None:
    selector, _, timeline = _selector({"a": "near", "b": "far"})
    for name in ("a", "b"):
        for _ in range(50):
            selector.learn(_get(timeline, name), 0.06, 0.0, adapters.Load(0, 0, 2))
    assert set(_selected(selector)) == {"a"}
    for _ in range(8):
        selector.attempt_started("a")
    assert set(_selected(selector)) == {"b"}


def test_the_faster_of_two_gets_more() -> None:
    selector, _, timeline = _selector({"a": "near", "b": "near"})
    for _ in range(60):
        selector.learn(_get(timeline, "a"), 0.03, 0.0, adapters.Load(0, 0, 2))
        selector.learn(_get(timeline, "b"), 0.09, 0.0, adapters.Load(0, 0, 2))
    found = _selected(selector)
    assert found.get("a", 0) > 190


def test_a_told_queue_counts_and_fades_into_what_is_usual() -> None:
    selector, clock, timeline = _selector({"a": "near", "b": "near"})
    for name in ("a", "b"):
        for _ in range(60):
            selector.learn(_get(timeline, name), 0.06, 0.0, adapters.Load(0, 0, 2))
    selector.attempt_started("a")
    selector.learn(_get(timeline, "a"), 0.06, 0.0, adapters.Load(2, 6, 2))
    selector.attempt_ended("a")
    assert set(_selected(selector)) == {"b"}
    clock.time_s += 1.0
    assert set(_selected(selector)) == {"a", "b"}


def test_one_that_turned_a_request_away_rests_for_a_while() -> None:
    selector, clock, timeline = _selector({"a": "near", "b": "near"})
    for name in ("a", "b"):
        for _ in range(60):
            selector.learn(_get(timeline, name), 0.06, 0.0, adapters.Load(0, 0, 2))
    selector.record_full("a")
    assert set(_selected(selector)) == {"b"}
    clock.time_s += 1.0
    assert set(_selected(selector)) == {"a", "b"}


# Selection among a subset.


def _selects_from(proxy: str, zones: dict[str, str]) -> set[str]:
    """Return the endpoints that a proxy selects while requests accumulate at all of them."""
    selector, _, _ = _selector(zones, proxy)
    found = set()
    for _ in range(400):
        entry = selector.select("s", set(), 0.2)
        assert entry is not None
        selector.attempt_started(entry.key)
        found.add(entry.key)
    return found


def test_a_proxy_keeps_to_a_subset_that_does_not_grow_with_the_service() -> None:
    zones = {f"e{n}": f"far{n % 4}" if n % 5 else "near" for n in range(300)}
    found = _selects_from("p", zones)
    assert len(found) == selection.MAX_SUBSET_SIZE
    near = {name for name in found if zones[name] == "near"}
    assert len(near) == selection.MAX_SUBSET_NEAR


def test_subsets_of_many_proxies_spread_over_all_endpoints() -> None:
    zones = {f"e{n}": "elsewhere" for n in range(60)}
    shares: collections.Counter[str] = collections.Counter()
    for n in range(90):
        shares.update(_selects_from(f"proxy-{n}", zones))
    # Each of the 90 proxies uses 16 of 60 endpoints: 24 proxies for each endpoint on average.
    assert len(shares) == 60
    assert max(shares.values()) <= 45


def test_marked_endpoints_give_their_place_in_the_subset_to_others() -> None:
    zones = {f"e{n}": "near" for n in range(40)}
    selector, _, timeline = _selector(zones)
    marks = timelines.Marks(timeline, 5.0)

    async def main() -> None:
        for n in range(35):
            marks.set_down(f"e{n}", "timed out", "p")

    asyncio.run(main())
    assert set(_selected(selector)) == {f"e{n}" for n in range(35, 40)}


def test_an_endpoint_that_moved_to_another_zone_is_no_longer_near() -> None:
    selector, _, timeline = _selector({"a": "near", "b": "near"})
    moved = {**_get(timeline, "a").fields, "zone": "elsewhere"}
    timeline.write(timelines.ENDPOINT, "a", moved, 900.0, urgent=False)
    assert set(_selected(selector)) == {"b"}


def test_one_failure_sends_a_proxy_to_others_that_are_as_good_for_a_while() -> None:
    selector, clock, timeline = _selector({"a": "near", "b": "near"})
    for name in ("a", "b"):
        for _ in range(50):
            selector.learn(_get(timeline, name), 0.06, 0.0, adapters.Load(0, 0, 2))
    selector.record_failure("a")
    assert set(_selected(selector)) == {"b"}
    # It is only a preference: once the others' queues cost more, the endpoint is selected again.
    for _ in range(6):
        selector.attempt_started("b")
    assert set(_selected(selector)) == {"a"}
    for _ in range(6):
        selector.attempt_ended("b")
    clock.time_s += 30.0
    assert set(_selected(selector)) == {"a", "b"}


def test_failures_of_all_endpoints_alike_change_nothing() -> None:
    selector, _, _ = _selector({"a": "near", "b": "near"})
    for _ in range(9):
        selector.record_failure("a")
        selector.record_failure("b")
    assert set(_selected(selector)) == {"a", "b"}
