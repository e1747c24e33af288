"""Fuzzing of members with malformed replies of a registry; a proxy is also frozen and resumed."""

import asyncio
import pathlib
import tempfile
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.fleet as fleets
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.simulator.fleet as simulated
import dykeswitch.simulator.loop as loops

CALL_HEADER: typing.Final[cases.Fields] = {"name": "core0", "boot": "b", "seq": 3, "wall": 1.8e9}
DOCUMENT_ENTRY: typing.Final = ["paper", "layout", 1, "core0", {"version": 1}, 5.0]
# A valid reply to each kind of call.
VALID: typing.Final[dict[str, cases.Fields]] = {
    "poll": {**CALL_HEADER, "items": [DOCUMENT_ENTRY], "backed": True},
    "shuffle": {**CALL_HEADER, "items": [], "view": [["m", "proxy", "10.9.9.9:1", 0]], "told": True},
    "tell": CALL_HEADER,
    "confirm": {"items": []},
    "paper": {"version": 1, "packed": b""},
    "borrow": {"loans": [[1, 1]], "span": 3.0},
    "state": {"disk": "d", "blank": False, "seated": True, "set": [1, [[["d", "10.9.9.9:1"]]]]},
}
REPLIES: typing.Final = strategies.sampled_from(sorted(VALID)).flatmap(
    lambda kind: strategies.tuples(strategies.just(kind), cases.corrupted(VALID[kind]))
)
# How long each malformed reply is given, and how long a proxy is frozen.
MALFORMED_REPLY_S: typing.Final = 1.2
FROZEN_S: typing.Final = 2.5


class _FaultyRegistry:
    """Replaces the listener of a registry and gives malformed replies to calls of one kind."""

    def __init__(self, fleet: simulated.SimFleet) -> None:
        self._listeners = fleet.world.links.listeners
        core = fleet.cores[0]
        self._address = core.member
        self._host, self._serve = self._listeners[self._address]
        self._links = fleet.world.links
        self._name = core.registry.name
        registry = core.registry.daemon
        self._kinds: dict[str, frames.Handler] = {**registry.members.kinds(), **registry.relay.kinds()}

    def reply_with(self, kind: str, body: cases.Fields) -> None:
        """Reply with this body to calls of a kind; calls of other kinds are answered as usual."""

        async def malformed(request: frames.Body) -> frames.Result:
            return outcome.Success(dict(body))

        server = frames.CallServer({**self._kinds, kind: malformed}, lambda event, what: None)
        self._listeners[self._address] = (self._host, server.serve)
        self._links.reset_host(self._name)

    def restore(self) -> None:
        """Answer all calls as usual again."""
        self._listeners[self._address] = (self._host, self._serve)
        self._links.reset_host(self._name)


def _check(replies: list[tuple[str, cases.Fields]]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        faulty = _FaultyRegistry(fleet)
        for number, (kind, body) in enumerate(replies):
            if not cases.is_encodable(body):
                continue
            faulty.reply_with(kind, body)
            await asyncio.sleep(MALFORMED_REPLY_S)
            if number % 4 == 3:
                fleet.edges[0].node.freeze()
                await asyncio.sleep(FROZEN_S)
                fleet.edges[0].node.thaw()
                await asyncio.sleep(MALFORMED_REPLY_S)
        faulty.restore()
        await asyncio.sleep(MALFORMED_REPLY_S)
        await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


REPLIES_OF_MEMBERS: typing.Final = targets.Target(
    "member_replies", strategies.lists(REPLIES, min_size=8, max_size=24), _check, 6
)
