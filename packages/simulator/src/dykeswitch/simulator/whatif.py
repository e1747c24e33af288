"""What-if simulations: what clients of a fleet would see under its traffic and a script of events."""

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
# Actions on a target. The first table maps those that only make endpoints misbehave to their fault.
ENDPOINT_FAULTS: typing.Final = {"slow": "slow", "fail": "status_502", "lose": "lose", "hang": "hang"}
ACTS: typing.Final = ("down", "cut", *ENDPOINT_FAULTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A temporary event at a target: start time and duration in seconds."""

    start_s: float
    target: str
    name: str
    act: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """One side of a comparison: events and settings."""

    name: str
    events: tuple[Event, ...]
    settings: dict[str, typing.Any]


def read_event(text: str) -> Event | str:
    """Parse `AT TARGET NAME ACT SPAN`, e.g. "5 zone z1 down 10"; return an error message if invalid."""
    words = text.split()
    if len(words) != 5:
        return f"'{text}': expected five words: AT TARGET NAME ACT SPAN"
    start_s, target, name, act, duration_s = words
    if target not in TARGETS:
        return f"'{target}' is not one of {', '.join(TARGETS)}"
    if act not in ACTS:
        return f"'{act}' is not one of {', '.join(ACTS)}"
    if act in ENDPOINT_FAULTS and target in ("proxy", "core"):
        return f"'{act}' applies to endpoints only, not to a {target}"
    try:
        return Event(float(start_s), target, name, act, float(duration_s))
    except ValueError:
        return f"'{start_s}' and '{duration_s}' must be numbers of seconds"


class _EventPlayer:
    """Applies events to a running fleet."""

    def __init__(self, fleet: fleets.SimFleet) -> None:
        self._fleet = fleet

    def endpoints(self, event: Event) -> list[str]:
        matching = []
        for name, endpoint in self._fleet.endpoints.items():
            addresses = {"zone": endpoint.zone, "service": endpoint.service, "endpoint": name}
            if addresses.get(event.target) == event.name:
                matching.append(name)
        return matching

    def nodes(self, event: Event) -> list[typing.Any]:
        fleet = self._fleet
        zones = fleet.shape.zones
        matching = []
        for n, core in enumerate(fleet.cores):
            if (event.target, event.name) in (("core", core.registry.name), ("zone", zones[n % len(zones)])):
                matching += [core.registry, core.store]
        for n, edge in enumerate(fleet.edges):
            if (event.target, event.name) in (("proxy", edge.node.name), ("zone", zones[n % len(zones)])):
                matching.append(edge.node)
        return matching

    async def play(self, event: Event) -> None:
        await asyncio.sleep(event.start_s)
        names, nodes = self.endpoints(event), self.nodes(event)
        if event.act in ENDPOINT_FAULTS:
            for name in names:
                self._fleet.endpoints[name].plan.fault = ENDPOINT_FAULTS[event.act]
            await asyncio.sleep(event.duration_s)
            for name in names:
                self._fleet.endpoints[name].plan.fault = "none"
        elif event.act == "cut":
            isolated = [n.name for n in nodes] + names
            all_names = [*self._fleet.world.nodes, *self._fleet.endpoints]
            self._fleet.world.links.cut(isolated, [n for n in all_names if n not in isolated])
            await asyncio.sleep(event.duration_s)
            self._fleet.world.links.heal()
        else:
            for node in nodes:
                node.lose_power()
            for name in names:
                self._fleet.kill_endpoint(name)
            await asyncio.sleep(event.duration_s)
            for node in nodes:
                node.restart()
            for name in names:
                self._fleet.start_endpoint(self._fleet.endpoints[name])


async def _simulate_seed(
    shape: shapes.Shape, variant: Variant, seed: int, duration_s: float, scale: float, scratch: pathlib.Path
) -> tuple[dict[str, typing.Any], collections.Counter[str]]:
    fleet = fleets.SimFleet(shape, seed, scratch, scale, variant.settings)
    await fleet.start()
    await asyncio.sleep(scenarios.SETTLED_S)
    player = _EventPlayer(fleet)
    for event in variant.events:
        fleet.spawn(player.play(event))
    await fleet.clients.run_traffic(duration_s, scale)
    mark_reasons: collections.Counter[str] = collections.Counter()
    for line in fleet.world.events:
        if line["event"] == "mark" and "reason" in line:
            mark_reasons[str(line["reason"])] += 1
    return clients.summarize(fleet.record, 10.0), mark_reasons


def simulate(
    shape: shapes.Shape, variant: Variant, seeds: typing.Sequence[int], duration_s: float, scale: float
) -> dict[str, typing.Any]:
    """Simulate a variant for some seeds; return what clients see and the reasons for marks."""
    summaries: list[dict[str, typing.Any]] = []
    mark_reasons: collections.Counter[str] = collections.Counter()
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="dykeswitch-whatif-") as scratch:
            work = _simulate_seed(shape, variant, seed, duration_s, scale, pathlib.Path(scratch))
            summary, reasons = loops.run(work)
        summaries.append(summary)
        mark_reasons += reasons
    return {**combine(variant.name, summaries), "marks_by_reason": dict(mark_reasons.most_common())}


def combine(name: str, summaries: typing.Sequence[dict[str, typing.Any]]) -> dict[str, typing.Any]:
    """Combine the summaries of several runs into one."""
    request_count = sum(s["asked"] for s in summaries)
    texts = {str(code.number): code.text for code in outcome.RESULT_CODES.values()}
    results: collections.Counter[str] = collections.Counter()
    for summary in summaries:
        for number, count in summary["results"].items():
            results[f"{number} {texts[number]}"] += count
    return {
        "variant": name,
        "asked": request_count,
        "replied_share": round(sum(s["replied"] for s in summaries) / max(1, request_count), 5),
        "replied_share_by_seed": [round(s["replied"] / max(1, s["asked"]), 5) for s in summaries],
        "turned_away": sum(s["turned_away"] for s in summaries),
        "unknown": sum(s["unknown"] for s in summaries),
        "endpoint_said_no": sum(s["other_status"] for s in summaries),
        "machine_gone": sum(s["no_reply"] for s in summaries),
        "p50_ms": statistics.median(s["p50_ms"] or 0 for s in summaries),
        "p99_ms": statistics.median(s["p99_ms"] or 0 for s in summaries),
        "replies_by_result": dict(results.most_common()),
    }


def difference(first: dict[str, typing.Any], second: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the second minus the first for each key where both are numbers."""
    return {
        key: round(second[key] - first[key], 5)
        for key in first
        if isinstance(first[key], (int, float)) and isinstance(second[key], (int, float))
    }
