"""Calls between members to a registry of a whole simulated fleet, in rounds of several bodies."""

import pathlib
import tempfile
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.fleet as fleets
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.frames as frames
import dykeswitch.simulator.loop as loops

CALL_S: typing.Final = 3.0
HEAD: typing.Final[cases.Fields] = {"name": "m", "boot": "b", "seq": 3, "wall": 1.8e9}
FENCE: typing.Final = ["fence", "1", 5, "r", {"owner": "o/1", "fence": 3}, 5.0]
PAPER: typing.Final = ["paper", "layout", 5, "r", {"version": 1}, 5.0]
MARK_FIELDS: typing.Final = {"reason": "x", "by": "r", "clear": False, "slot": 1, "fence": 2}
MARK: typing.Final = ["mark", "down:e", 5, "r", MARK_FIELDS, 5.0]
ASK: typing.Final = ["pages", 0, 3, 0, 0]
GOOD: typing.Final[list[cases.Fields]] = [
    {
        "kind": "shuffle",
        **HEAD,
        "items": [FENCE],
        "view": [["m", "proxy", "10.9.9.9:1", 0]],
        "cursor": ["", 0],
    },
    {"kind": "tell", **HEAD, "items": [MARK, PAPER]},
    {"kind": "poll", **HEAD, "items": [], "cursor": ["", 0], "hold": 0.0},
    {"kind": "confirm", "name": "m"},
    {"kind": "paper", "name": "layout", "want": 1, "name_of": "m"},
    {"kind": "borrow", "who": "m/b", "turn": 1, "asks": [ASK]},
    {"kind": "loans"},
    {"kind": "seen"},
    {"kind": "spans", "names": ["pages-0"]},
    {"kind": "heard", "names": ["pages-0"]},
]
# Entries with one odd part, too: what is handed round must be checked by each member.
ENTRIES: typing.Final = strategies.tuples(
    strategies.sampled_from([FENCE, PAPER, MARK]), strategies.integers(0, 5), cases.PLAIN
).map(lambda drawn: [*drawn[0][: drawn[1]], drawn[2], *drawn[0][drawn[1] + 1 :]])
BODIES: typing.Final = strategies.sampled_from(GOOD).flatmap(cases.spoilt) | ENTRIES.map(
    lambda entry: {"kind": "tell", **HEAD, "items": [entry]}
)


def _check(bodies: list[cases.Fields]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        call_client = frames.CallClient(fleet.outside.net)
        for body in bodies:
            if not isinstance(body.get("kind"), str) or not cases.can_be_framed(body):
                continue
            for address in fleet.member_addresses[:1]:
                await call_client.call(address, body["kind"], body, CALL_S)
        await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


CALLS: typing.Final = targets.Target(
    "registry_calls", strategies.lists(BODIES, min_size=12, max_size=40), _check, 4
)
