"""Odd replies of a registry to the calls of other members, some of which are frozen and woken."""

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

HEAD: typing.Final[cases.Fields] = {"name": "core0", "boot": "b", "seq": 3, "wall": 1.8e9}
NEWS: typing.Final = ["paper", "layout", 1, "core0", {"version": 1}, 5.0]
# A good reply to each kind of call.
GOOD: typing.Final[dict[str, cases.Fields]] = {
    "poll": {**HEAD, "items": [NEWS], "backed": True},
    "shuffle": {**HEAD, "items": [], "view": [["m", "proxy", "10.9.9.9:1", 0]], "told": True},
    "tell": HEAD,
    "confirm": {"items": []},
    "paper": {"version": 1, "packed": b""},
    "borrow": {"loans": [[1, 1]], "span": 3.0},
    "state": {"disk": "d", "blank": False, "seated": True, "set": [1, [[["d", "10.9.9.9:1"]]]]},
}
REPLIES: typing.Final = strategies.sampled_from(sorted(GOOD)).flatmap(
    lambda kind: strategies.tuples(strategies.just(kind), cases.spoilt(GOOD[kind]))
)
# For how long each odd reply is given, and programs stand still.
ODD_S: typing.Final = 1.2
FROZEN_S: typing.Final = 2.5


class _OddRegistry:
    """Takes the place of a registry's listener and gives odd replies to some kinds of calls."""

    def __init__(self, fleet: simulated.SimFleet) -> None:
        self._listeners = fleet.world.links.listeners
        core = fleet.cores[0]
        self._address = core.member
        self._host, self._sound = self._listeners[self._address]
        self._links = fleet.world.links
        self._name = core.registry.name
        registry = core.registry.daemon
        self._kinds: dict[str, frames.Handler] = {**registry.members.kinds(), **registry.relay.kinds()}

    def answer(self, kind: str, body: cases.Fields) -> None:
        """Give this reply to calls of a kind; calls of other kinds are answered as ever."""

        async def odd(asked: frames.Body) -> frames.Result:
            return outcome.Success(dict(body))

        server = frames.CallServer({**self._kinds, kind: odd}, lambda event, what: None)
        self._listeners[self._address] = (self._host, server.serve)
        self._links.reset_host(self._name)

    def restore(self) -> None:
        """Answer as ever."""
        self._listeners[self._address] = (self._host, self._sound)
        self._links.reset_host(self._name)


def _check(replies: list[tuple[str, cases.Fields]]) -> None:
    async def main(scratch: pathlib.Path) -> None:
        fleet = await fleets.started(scratch)
        version = fleet.puts[-1].version
        odd = _OddRegistry(fleet)
        for number, (kind, body) in enumerate(replies):
            if not cases.can_be_framed(body):
                continue
            odd.answer(kind, body)
            await asyncio.sleep(ODD_S)
            if number % 4 == 3:
                fleet.edges[0].node.freeze()
                await asyncio.sleep(FROZEN_S)
                fleet.edges[0].node.thaw()
                await asyncio.sleep(ODD_S)
        odd.restore()
        await asyncio.sleep(ODD_S)
        await fleets.check_unharmed(fleet, version)

    with tempfile.TemporaryDirectory() as folder:
        loops.run(main(pathlib.Path(folder)))


REPLIES_OF_MEMBERS: typing.Final = targets.Target(
    "member_replies", strategies.lists(REPLIES, min_size=8, max_size=24), _check, 6
)
