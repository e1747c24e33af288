"""What-if questions: a fleet, its traffic and a script of events; what callers would see."""

import asyncio
import collections
import dataclasses
import pathlib
import statistics
import tempfile
import typing

import dykeswitch.outcome as outcome
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.standin.caller as clients
import dykeswitch.standin.shape as shapes

TARGETS: typing.Final = ("zone", "service", "endpoint", "proxy", "core")
# What may happen to a target, and whether endpoints merely change their manners.
ENDPOINT_FAULTS: typing.Final = {"slow": "slow", "fail": "status_502", "lose": "lose", "hang": "hang"}
ACTS: typing.Final = ("down", "cut", *ENDPOINT_FAULTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that happens to a target for a while."""

    at: float
    target: str
    name: str
    act: str
    span: float


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """One side of a question."""

    name: str
    events: tuple[Event, ...]
    bounds: dict[str, typing.Any]


def read_event(text: str) -> Event | str:
    """`AT TARGET NAME ACT SPAN`, as in "5 zone z1 down 10"; or what is wrong with it."""
    words = text.split()
    if len(words) != 5:
        return f"'{text}': five words wanted: AT TARGET NAME ACT SPAN"
    at, target, name, act, span = words
    if target not in TARGETS:
        return f"'{target}' is not one of {', '.join(TARGETS)}"
    if act not in ACTS:
        return f"'{act}' is not one of {', '.join(ACTS)}"
    if act in ENDPOINT_FAULTS and target in ("proxy", "core"):
        return f"only endpoints can '{act}', not a {target}"
    try:
        return Event(float(at), target, name, act, float(span))
    except ValueError:
        return f"'{at}' and '{span}' must be seconds"


class _Play:
    """Plays events on a running fleet."""

    def __init__(self, fleet: fleets.SimFleet) -> None:
        self._fleet = fleet

    def endpoints(self, event: Event) -> list[str]:
        found = []
        for name, endpoint in self._fleet.endpoints.items():
            addresses = {"zone": endpoint.zone, "service": endpoint.service, "endpoint": name}
            if addresses.get(event.target) == event.name:
                found.append(name)
        return found

    def nodes(self, event: Event) -> list[typing.Any]:
        fleet = self._fleet
        zones = fleet.shape.zones
        found = []
        for n, core in enumerate(fleet.cores):
            if (event.target, event.name) in (("core", core.registry.name), ("zone", zones[n % len(zones)])):
                found += [core.registry, core.store]
        for n, edge in enumerate(fleet.edges):
            if (event.target, event.name) in (("proxy", edge.node.name), ("zone", zones[n % len(zones)])):
                found.append(edge.node)
        return found

    async def play(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        names, nodes = self.endpoints(event), self.nodes(event)
        if event.act in ENDPOINT_FAULTS:
            for name in names:
                self._fleet.endpoints[name].plan.fault = ENDPOINT_FAULTS[event.act]
            await asyncio.sleep(event.span)
            for name in names:
                self._fleet.endpoints[name].plan.fault = "none"
        elif event.act == "cut":
            inside = [n.name for n in nodes] + names
            every = [*self._fleet.world.nodes, *self._fleet.endpoints]
            self._fleet.world.links.cut(inside, [n for n in every if n not in inside])
            await asyncio.sleep(event.span)
            self._fleet.world.links.heal()
        else:
            for node in nodes:
                node.lose_power()
            for name in names:
                self._fleet.kill_endpoint(name)
            await asyncio.sleep(event.span)
            for node in nodes:
                node.restart()
            for name in names:
                self._fleet.start_endpoint(self._fleet.endpoints[name])


async def _one(
    shape: shapes.Shape, variant: Variant, seed: int, span: float, scale: float, scratch: pathlib.Path
) -> tuple[dict[str, typing.Any], collections.Counter[str]]:
    fleet = fleets.SimFleet(shape, seed, scratch, scale, variant.bounds)
    await fleet.start()
    await asyncio.sleep(scenarios.SETTLED_S)
    play = _Play(fleet)
    for event in variant.events:
        fleet.spawn(play.play(event))
    await fleet.clients.run_traffic(span, scale)
    why: collections.Counter[str] = collections.Counter()
    for line in fleet.world.events:
        if line["event"] == "mark" and "reason" in line:
            why[str(line["reason"])] += 1
    return clients.summarize(fleet.record, 10.0), why


def ask(
    shape: shapes.Shape, variant: Variant, seeds: typing.Sequence[int], span: float, scale: float
) -> dict[str, typing.Any]:
    """What callers would see, over some seeds, and why."""
    tallies: list[dict[str, typing.Any]] = []
    why: collections.Counter[str] = collections.Counter()
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="dykeswitch-whatif-") as scratch:
            work = _one(shape, variant, seed, span, scale, pathlib.Path(scratch))
            tally, marks = loops.run(work)
        tallies.append(tally)
        why += marks
    return {**page(variant.name, tallies), "marks_by_reason": dict(why.most_common())}


def page(name: str, tallies: typing.Sequence[dict[str, typing.Any]]) -> dict[str, typing.Any]:
    """Tallies of several runs as one page."""
    asked = sum(t["asked"] for t in tallies)
    texts = {str(c.number): c.text for c in outcome.RESULT_CODES.values()}
    results: collections.Counter[str] = collections.Counter()
    for tally in tallies:
        for number, count in tally["results"].items():
            results[f"{number} {texts[number]}"] += count
    return {
        "variant": name,
        "asked": asked,
        "replied_share": round(sum(t["replied"] for t in tallies) / max(1, asked), 5),
        "replied_share_by_seed": [round(t["replied"] / max(1, t["asked"]), 5) for t in tallies],
        "turned_away": sum(t["turned_away"] for t in tallies),
        "unknown": sum(t["unknown"] for t in tallies),
        "endpoint_said_no": sum(t["other_status"] for t in tallies),
        "machine_gone": sum(t["no_reply"] for t in tallies),
        "p50_ms": statistics.median(t["p50_ms"] or 0 for t in tallies),
        "p99_ms": statistics.median(t["p99_ms"] or 0 for t in tallies),
        "replies_by_result": dict(results.most_common()),
    }


def differ(one: dict[str, typing.Any], two: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """The second less the first, where both are numbers."""
    return {
        key: round(two[key] - one[key], 5)
        for key in one
        if isinstance(one[key], (int, float)) and isinstance(two[key], (int, float))
    }
