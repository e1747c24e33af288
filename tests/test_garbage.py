"""Malformed input from every side is refused as documented, crashes nothing and changes no state."""

import asyncio
import json
import math
import pathlib
import random
import typing

import cbor2
import hypothesis
import hypothesis.strategies as some
import pytest

import dykeswitch.frames as frames
import dykeswitch.language as language
import dykeswitch.language.grammar as grammar
import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.standin.shape as shapes

SMALL: typing.Final = shapes.Shape(
    "small", 1, 3, ("z1",), (shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.01),)
)
# Each run has the same cases, so that it gives the same result.
deterministic = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, suppress_health_check=list(hypothesis.HealthCheck)
)
ODD: typing.Final[some.SearchStrategy[typing.Any]] = some.sampled_from(
    [math.nan, math.inf, -1, 0, 2**70, "", "x" * 300, "\ud800", "1.2.3.4:99999", "a:b", True, None, [], {}]
)
plain = some.recursive(
    some.none() | some.booleans() | some.integers() | some.floats() | some.text(max_size=20) | ODD,
    lambda inner: some.lists(inner, max_size=4) | some.dictionaries(some.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def _with_odd_fields(valid: dict[str, typing.Any]) -> some.SearchStrategy[dict[str, typing.Any]]:
    """Builds dicts that are valid but for one or two fields."""
    names = some.sampled_from([*valid, "other"])
    return some.dictionaries(names, plain, min_size=1, max_size=2).map(lambda odd: {**valid, **odd})


HEARTBEAT: typing.Final = {
    "id": "a",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "burden": 0.5,
    "interval_s": 1.0,
    "leaving": False,
}


@deterministic
@hypothesis.given(plain | _with_odd_fields(HEARTBEAT))
def test_beats(raw: object) -> None:
    result = endpoints.read_heartbeat(raw)
    if isinstance(result, outcome.Success):
        heartbeat = result.value
        assert 0 < len(heartbeat.name) <= endpoints.MAX_NAME_LENGTH
        assert 0 <= heartbeat.load < 1e9
        assert endpoints.MIN_INTERVAL_S <= heartbeat.interval_s <= 60
    else:
        assert result.code.tag == "bad_beat"
        json.dumps(result.page()).encode()
        # The faults may quote the input, and must be encodable as UTF-8.
        "".join(typing.cast(list[str], result.page()["faults"])).encode()


@deterministic
@hypothesis.example('pause x for 999999999999999d because "why"')
@hypothesis.example('pause x for 1h in 999999999999999d because "why"')
@hypothesis.example('pause x for 0s because "why"')
@hypothesis.given(
    some.text(max_size=80)
    | some.lists(
        some.sampled_from(
            [
                "who",
                "is",
                "paused",
                "pause",
                "x-1",
                "for",
                "1h",
                "9" * 30 + "d",
                "in",
                "because",
                '"why"',
                "show",
                "history",
                "service",
                "end",
                "explain",
                "GET",
                "/a",
                "shop.example",
            ]
        ),
        max_size=9,
    ).map(" ".join)
)
def test_sentences(text: str) -> None:
    result = language.parse(text)
    if isinstance(result, outcome.Success):
        if isinstance(result.value, language.Pause):
            # A window that ends after the last calendar date could not be shown.
            assert 0 < result.value.for_s + result.value.in_s <= 2 * grammar.MAX_SPAN_S
    else:
        assert result.code.number == 307


LAYOUT: typing.Final = {"services": {"a": {"probe": "/p"}}, "rules": [{"path": "/", "service": "a"}]}
RULE: typing.Final = {"path": "/", "service": "a", "methods": ["GET"], "host": "h", "expiry_s": 1}


@deterministic
@hypothesis.given(
    plain
    | _with_odd_fields(LAYOUT)
    | some.lists(_with_odd_fields(RULE), max_size=3).map(lambda rules: {**LAYOUT, "rules": rules})
    | _with_odd_fields({"probe": "/p", "expiry_s": 1, "max_tries": 2}).map(
        lambda service: {**LAYOUT, "services": {"a": service}}
    )
)
def test_layouts(raw: object) -> None:
    data = json.dumps(raw).encode()
    result = layouts.read(data)
    if isinstance(result, outcome.Success):
        layout = result.value
        for rule in layout.rules:
            assert layout.match(rule.host, rule.path, "GET") is not None or rule.methods
            layouts.limits(layout, rule)
        # An accepted layout can be serialized and read again.
        assert isinstance(layouts.read(layouts.serialize(layout)), outcome.Success)
    else:
        assert result.code.tag in ("bad_layout", "bad_json")
        "".join(map(str, typing.cast(list[str], result.page().get("faults", [])))).encode()


class _Bytes:
    """A connection that delivers given bytes and records what is written."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.written = bytearray()

    async def read(self, max_bytes: int) -> bytes:
        part, self._data = self._data[:max_bytes], self._data[max_bytes:]
        return part

    async def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        return None

    def ended(self) -> bool:
        return not self._data


def _framed(data: bytes) -> bytes:
    return frames.HEADER.pack(frames.MAGIC, frames.VERSION, len(data)) + data


@deterministic
@hypothesis.given(
    some.binary(max_size=64)
    | some.binary(max_size=64).map(_framed)
    | plain.map(lambda raw: _framed(cbor2.dumps(raw)) if _can_encode(raw) else b"")
)
def test_frames(data: bytes) -> None:
    async def main() -> None:
        connection = _Bytes(data)
        server = frames.CallServer({}, lambda event, what: None)
        await server.serve(typing.cast(ports.Connection, connection))
        if connection.written:
            reply = cbor2.loads(bytes(connection.written[frames.HEADER.size :]))
            assert reply["kind"] == "bad"

    asyncio.run(main())


def _can_encode(raw: object) -> bool:
    try:
        cbor2.dumps(raw)
    except (ValueError, cbor2.CBOREncodeError, UnicodeEncodeError):
        return False
    return True


# A valid timeline entry of each kind: the tests send these with some fields replaced or missing.
ENTRIES: typing.Final[list[list[typing.Any]]] = [
    [
        "endpoint",
        "e",
        5,
        "r",
        {
            **{k: HEARTBEAT[k] for k in ("service", "address", "zone", "burden")},
            "interval": 1.0,
            "state": "up",
            "born": [1, "r"],
        },
        5.0,
    ],
    ["mark", "down:e", 5, "r", {"reason": "x", "by": "r", "clear": False, "slot": 1, "fence": 2}, 5.0],
    ["fence", "1", 5, "r", {"owner": "o/1", "fence": 3}, 5.0],
    [
        "core",
        "c",
        5,
        "r",
        {"spot": "10.0.0.1:1", "web": "10.0.0.1:2", "store": "10.0.0.1:3", "zone": "z", "boot": "b"},
        5.0,
    ],
    [
        "proxy",
        "p",
        5,
        "r",
        {"zone": "z", "web": "10.0.0.1:2", "layout": 1, "ready": True, "since": [1, "p"], "extra": "shares"},
        5.0,
    ],
    ["paper", "layout", 5, "r", {"version": 1}, 5.0],
]


def _entries(rng: random.Random) -> list[typing.Any]:
    """Timeline entries, each cut short, or with one field replaced or removed."""
    entries = []
    for _ in range(3):
        kind, key, count, name, fields, left = rng.choice(ENTRIES)
        fields = dict(fields)
        damage = rng.randrange(4)
        if damage == 0:
            fields[rng.choice(list(fields))] = _odd(rng)
        elif damage == 1:
            del fields[rng.choice(list(fields))]
        entry = [kind, f"{key}{rng.randrange(99)}", count, name, fields, left]
        if damage == 2:
            entry[rng.randrange(6)] = _odd(rng)
        elif damage == 3:
            entry = entry[: rng.randrange(6)]
        entries.append(entry)
    return entries


def _odd(rng: random.Random) -> typing.Any:
    return rng.choice(
        [math.nan, math.inf, -1, 2**70, "", "x" * 300, "1.2.3.4:99999", "a:b", True, None, [], {}, b"x", 1.5]
    )


def _calls(rng: random.Random) -> list[dict[str, typing.Any]]:
    header = {"name": "m", "boot": "b", "seq": 3, "wall": 1.8e9, "items": _entries(rng)}
    view = [["m", "proxy", "10.9.9.9:1", 0], ["n", "registry", "10.9.9.8:1", 2]]
    # The ballot is below those of all proposers, because a valid higher ballot would be accepted.
    ballot, value = [1, "-"], [1, b"body", [["op", 1]]]
    calls: list[dict[str, typing.Any]] = [
        {"kind": "shuffle", **header, "view": view, "cursor": ["", 0]},
        {"kind": "tell", **header},
        {"kind": "poll", **header, "cursor": ["", 0], "hold": 0.0},
        {"kind": "confirm", "name": "m", "cursor": ["", 0]},
        {"kind": "paper", "name": "layout", "want": 1, "name_of": "m"},
        {"kind": "prepare", "key": "layout", "ballot": ballot, "epoch": 1, "disk": "d"},
        {"kind": "accept", "key": "layout", "ballot": ballot, "value": value, "epoch": 1, "disk": "d"},
        {"kind": "read", "key": "layout", "epoch": 1, "disk": "d", "have": ballot},
        {"kind": "keys", "epoch": 1, "disk": "d"},
        {"kind": "install", "set": [9, [[["d", "10.0.0.1:1"]]]], "disk": "d"},
        {"kind": "state"},
    ]
    for call in calls:
        for _ in range(rng.randrange(3)):
            field = rng.choice([f for f in call if f != "kind"] or ["kind"])
            value_before = call[field]
            if isinstance(value_before, list) and value_before and rng.random() < 0.7:
                call[field] = [*value_before[:-1], _odd(rng)]
            else:
                call[field] = _odd(rng)
    return calls


def test_a_count_without_end_is_refused_as_any_other_oddness() -> None:
    """`int()` of infinity raises, which ended the connection's task and left its caller without a reply."""

    async def main() -> None:
        async def handle(body: frames.Body) -> frames.Result:
            return outcome.Success({"epoch": int(body["epoch"])})

        notes: list[str] = []
        server = frames.CallServer({"keys": handle}, lambda event, what: notes.append(what))
        reply = await server._reply({"kind": "keys", "epoch": math.inf})
        assert (reply["kind"], reply["tag"]) == ("bad", "bad_frame")
        assert len(notes) == 1

    asyncio.run(main())


def test_calls_between_members(tmp_path: pathlib.Path) -> None:
    """Sends bodies with one or two invalid fields to every kind of program, for a whole minute."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 5, tmp_path)
        await fleet.start()
        version = fleet.puts[-1].version
        rng = random.Random(6)
        call_client = frames.CallClient(fleet.outside.net)
        members = [core.member for core in fleet.cores] + list(fleet.store_addresses)
        members.append(fleet.edges[0].node.daemon.config.member)
        voters = [core.store.daemon.voter for core in fleet.cores]
        tags = set()
        for _ in range(60):
            for address in members:
                for call in _calls(rng):
                    # Most calls name the disk's own id, so that they are refused only for the invalid
                    # fields. Install calls don't, since a valid member set would be adopted.
                    if call.get("disk") == "d" and call["kind"] != "install" and rng.random() < 0.7:
                        call["disk"] = next((v.disk_id for v in voters), "")
                    if not _can_encode(call):
                        continue
                    result = await call_client.call(ports.address_of(address), str(call["kind"]), call, 3.0)
                    if isinstance(result, outcome.Failure):
                        tags.add(result.code.tag)
            await asyncio.sleep(1.0)
        assert {"bad_frame", "no_kind", "other_disk"} <= tags, tags
        assert "broke" not in tags
        for node in fleet.world.nodes.values():
            assert not node.crash, node.crash
        # No state was changed: the member set, the layout and the endpoints are as before.
        assert {v.members.epoch for v in voters} == {1}
        layout = await fleet.get(fleet.cores[0])
        assert (layout.status, layout.version) == (200, version)
        request = await fleet.clients.send_request(SMALL.services[0], fleet.edges[0].web)
        assert request.status == 200
        for sentence in ("who is paused", "show endpoints", "show proxies", "show members", "show history"):
            assert await fleet.query(sentence, fleet.cores[0]) is not None, sentence

    loops.run(main())


RESPONSE: typing.Final = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-a: b\r\ndykeswitch-served-by: pages-0\r\n\r\nfine"
)


def _response(rng: random.Random) -> bytes:
    """A response with some bytes changed, removed, duplicated or inserted."""
    data = bytearray(RESPONSE)
    for _ in range(rng.randrange(1, 4)):
        index = rng.randrange(len(data)) if data else 0
        kind = rng.randrange(5)
        if kind == 0 and data:
            data[index] = rng.randrange(256)
        elif kind == 1:
            del data[index : index + rng.randrange(1, 20)]
        elif kind == 2:
            data[index:index] = data[index : index + rng.randrange(1, 30)]
        elif kind == 3:
            odd = [b"\r\n", b"transfer-encoding: chunked\r\n", b"content-length: 9\r\n", b"\x00", b"\xff" * 9]
            data[index:index] = rng.choice(odd)
        else:
            data += b"X" * rng.randrange(1, 200000)
    return bytes(data)


def test_replies_of_endpoints(tmp_path: pathlib.Path) -> None:
    """Whatever an endpoint answers, the client gets a complete response or an error result."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 5, tmp_path)
        await fleet.start()
        rng = random.Random(7)
        endpoint_response = b""

        async def act(talk: typing.Any, *rest: typing.Any) -> bool:
            if rest[-1]:
                return bool(await original_act(talk, *rest))
            await talk.connection.write(endpoint_response)
            return False

        for endpoint in fleet.endpoints.values():
            original_act = endpoint._process
            endpoint._process = act  # type: ignore[assignment]
        seen = set()
        for _ in range(250):
            endpoint_response = _response(rng)
            # Without this, marks would keep requests away from the failing endpoints.
            for name in fleet.endpoints:
                fleet.edges[0].node.daemon.marks.clear(name, "test")
            await asyncio.sleep(0.1)
            response = await fleet.outside.web.request("GET", fleet.edges[0].web, "/pages/x", [], b"", 12.0)
            seen.add(response.header("dykeswitch-result") or str(response.status))
            size = response.header("content-length")
            assert size is None or int(size) == len(response.body)
            if response.status == 200:
                lowered = endpoint_response.lower()
                assert (
                    b"content-length: 4" in lowered
                    or b"chunked" in lowered
                    or response.body in endpoint_response
                )
        assert {"200", "110", "108"} <= seen
        proxy = fleet.edges[0].node.daemon.carrier
        assert not proxy.table
        assert not proxy.selector.in_flight
        assert not fleet.edges[0].node.crash

    loops.run(main())


@pytest.mark.parametrize("text", ["\ud800", "\x00", "x" * 5000])
def test_an_operators_name_is_made_fit_to_be_shown(text: str, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 5, tmp_path)
        await fleet.start()
        body = json.dumps({"text": 'pause pages-0 for 1h because "x"', "by": text}).encode()
        web = fleet.cores[0].web
        response = await fleet.outside.web.request("POST", web, "/v1/query", [], body, 5.0)
        assert response.status == 200
        assert await fleet.query("show pauses", fleet.cores[1]) is not None

    loops.run(main())
