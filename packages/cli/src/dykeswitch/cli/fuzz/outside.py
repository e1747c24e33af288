"""Fuzzing of a registry with requests of operators and endpoints.

Invalid requests must be refused as documented and never cause an internal error.
"""

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

REQUEST_TIMEOUT_S: typing.Final = 10.0
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
    """One request to the registry's HTTP interface."""

    method: str
    path: str
    body: bytes
    match: str


def _json(raw: object) -> bytes:
    try:
        return json.dumps(raw).encode()
    except (TypeError, ValueError):
        return b"{"


def _corrupted_json(valid: cases.Fields) -> strategies.SearchStrategy[bytes]:
    return cases.corrupted(valid).map(_json) | cases.corrupted_bytes(_json(valid))


def _requests(method: str, path: str, valid: cases.Fields) -> strategies.SearchStrategy[Request]:
    match = strategies.sampled_from(["", '"1"', "*", '"x"', '"-1"', f'"{2**70}"'])
    return strategies.builds(
        Request, strategies.just(method), strategies.just(path), _corrupted_json(valid), match
    )


REQUEST: typing.Final = (
    # These refer to a service that doesn't exist: a valid layout would be accepted, which isn't a failure.
    _requests("PUT", "/v1/layout", {**LAYOUT, "rules": [{**RULE, "service": "nobody"}]})
    | _requests("POST", "/v1/query", QUERY)
    | _requests("POST", "/v1/beat", {**HEARTBEAT, "service": "nobody"})
)


def _check_requests(requests: list[Request]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        web = fleet.cores[0].web
        for request in requests:
            headers = [("if-match", request.match)] if request.match else []
            response = await fleet.outside.web.request(
                request.method, web, request.path, headers, request.body, REQUEST_TIMEOUT_S
            )
            assert response.status != 500, (request, response.body)
            if request.method == "PUT" and response.status == 200:
                version = int(json.loads(response.body)["version"])
        if version == fleet.puts[-1].version:
            await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


def _check_heartbeat(raw: object) -> None:
    result = endpoints.read_heartbeat(raw)
    if isinstance(result, outcome.Failure):
        assert result.code.tag == "bad_beat"
        # The error report may quote what was sent, and must be encodable even then.
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
    "heartbeats", cases.ANY_VALUES | cases.corrupted(HEARTBEAT), _check_heartbeat, 300
)
