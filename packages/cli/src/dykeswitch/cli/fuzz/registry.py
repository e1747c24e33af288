"""Fuzzing of a registry in a simulated fleet with calls of other members, several per case."""

import pathlib
import tempfile
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.fleet as fleets
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.frames as frames
import dykeswitch.simulator.loop as loops

CALL_TIMEOUT_S: typing.Final = 3.0
CALL_HEADER: typing.Final[cases.Fields] = {"name": "m", "boot": "b", "seq": 3, "wall": 1.8e9}
FENCE: typing.Final = ["fence", "1", 5, "r", {"owner": "o/1", "fence": 3}, 5.0]
DOCUMENT: typing.Final = ["paper", "layout", 5, "r", {"version": 1}, 5.0]
MARK_FIELDS: typing.Final = {"reason": "x", "by": "r", "clear": False, "slot": 1, "fence": 2}
MARK: typing.Final = ["mark", "down:e", 5, "r", MARK_FIELDS, 5.0]
LOAN_REQUEST: typing.Final = ["pages", 0, 3, 0, 0]
VALID: typing.Final[list[cases.Fields]] = [
    {
        "kind": "shuffle",
        **CALL_HEADER,
        "items": [FENCE],
        "view": [["m", "proxy", "10.9.9.9:1", 0]],
        "cursor": ["", 0],
    },
    {"kind": "tell", **CALL_HEADER, "items": [MARK, DOCUMENT]},
    {"kind": "poll", **CALL_HEADER, "items": [], "cursor": ["", 0], "hold": 0.0},
    {"kind": "confirm", "name": "m"},
    {"kind": "paper", "name": "layout", "want": 1, "name_of": "m"},
    {"kind": "borrow", "who": "m/b", "turn": 1, "asks": [LOAN_REQUEST]},
    {"kind": "loans"},
    {"kind": "seen"},
    {"kind": "spans", "names": ["pages-0"]},
    {"kind": "heard", "names": ["pages-0"]},
]
# Timeline entries with one corrupted part: entries are gossiped, so each member must validate them.
ENTRIES: typing.Final = strategies.tuples(
    strategies.sampled_from([FENCE, DOCUMENT, MARK]), strategies.integers(0, 5), cases.ANY_VALUES
).map(lambda sample: [*sample[0][: sample[1]], sample[2], *sample[0][sample[1] + 1 :]])
BODIES: typing.Final = strategies.sampled_from(VALID).flatmap(cases.corrupted) | ENTRIES.map(
    lambda entry: {"kind": "tell", **CALL_HEADER, "items": [entry]}
)


def _check(bodies: list[cases.Fields]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        call_client = frames.CallClient(fleet.outside.net)
        for body in bodies:
            if not isinstance(body.get("kind"), str) or not cases.is_encodable(body):
                continue
            for address in fleet.member_addresses[:1]:
                await call_client.call(address, body["kind"], body, CALL_TIMEOUT_S)
        await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


CALLS: typing.Final = targets.Target(
    "registry_calls", strategies.lists(BODIES, min_size=12, max_size=40), _check, 4
)
