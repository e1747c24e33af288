"""What operators and endpoints send to a registry: refused as documented, never a failure."""

import json
import pathlib
import tempfile
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.fleet as fleets
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.outcome as outcome
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.simulator.loop as loops

CALL_S: typing.Final = 10.0
HEARTBEAT: typing.Final[cases.Fields] = {
    "id": "a",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "burden": 0.5,
    "interval_s": 1.0,
    "leaving": False,
}
RULE: typing.Final[cases.Fields] = {
    "path": "/",
    "service": "a",
    "methods": ["GET"],
    "host": "h",
    "expiry_s": 1,
}
LAYOUT: typing.Final[cases.Fields] = {"services": {"a": {"probe": "/p"}}, "rules": [RULE]}
QUERY: typing.Final[cases.Fields] = {"text": "show endpoints", "by": "operator"}


class Request(typing.NamedTuple):
    """One call of the registry's web interface."""

    method: str
    path: str
    body: bytes
    match: str


def _json(raw: object) -> bytes:
    try:
        return json.dumps(raw).encode()
    except (TypeError, ValueError):
        return b"{"


def _spoilt_json(good: cases.Fields) -> strategies.SearchStrategy[bytes]:
    return cases.spoilt(good).map(_json) | cases.spoilt_bytes(_json(good))


def _requests(method: str, path: str, good: cases.Fields) -> strategies.SearchStrategy[Request]:
    match = strategies.sampled_from(["", '"1"', "*", '"x"', '"-1"', f'"{2**70}"'])
    return strategies.builds(
        Request, strategies.just(method), strategies.just(path), _spoilt_json(good), match
    )


REQUEST: typing.Final = (
    # A service that nobody serves: a layout in good order would be taken, which is no fault.
    _requests("PUT", "/v1/layout", {**LAYOUT, "rules": [{**RULE, "service": "nobody"}]})
    | _requests("POST", "/v1/query", QUERY)
    | _requests("POST", "/v1/beat", {**HEARTBEAT, "service": "nobody"})
)


def _check_requests(requests: list[Request]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        web = fleet.cores[0].web
        for ask in requests:
            headers = [("if-match", ask.match)] if ask.match else []
            reply = await fleet.outside.web.request(ask.method, web, ask.path, headers, ask.body, CALL_S)
            assert reply.status != 500, (ask, reply.body)
            if ask.method == "PUT" and reply.status == 200:
                version = int(json.loads(reply.body)["version"])
        if version == fleet.puts[-1].version:
            await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


def _check_heartbeat(raw: object) -> None:
    result = endpoints.read_heartbeat(raw)
    if isinstance(result, outcome.Failure):
        assert result.code.tag == "bad_beat"
        # What was sent may stand in what is told, and must then be fit to be sent.
        json.dumps(result.page()).encode()
        return
    heartbeat = result.value
    assert 0 < len(heartbeat.name) <= endpoints.MAX_NAME_LENGTH
    assert 0 <= heartbeat.load < 1e9
    assert endpoints.MIN_INTERVAL_S <= heartbeat.interval_s <= 60


REQUESTS: typing.Final = targets.Target(
    "operator_requests", strategies.lists(REQUEST, min_size=12, max_size=40), _check_requests, 4
)
HEARTBEATS: typing.Final = targets.Target(
    "heartbeats", cases.PLAIN | cases.spoilt(HEARTBEAT), _check_heartbeat, 300
)
