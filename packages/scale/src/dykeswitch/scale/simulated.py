"""Runs the same sizes on virtual time, to measure the protocol independently of the machine.

Only bytes and delays are measured this way; processor time and memory are not.
"""

import asyncio
import dataclasses
import pathlib
import shutil
import tempfile
import typing

import dykeswitch.layout.documents as documents
import dykeswitch.scale.measure as measure
import dykeswitch.scale.testbed as testbeds
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.standin.shape as shapes
import dykeswitch.timeline as timelines
from dykeswitch.scale.size import HEADLESS, Size

JsonObject = dict[str, typing.Any]
Counts = dict[str, dict[str, int]]

# How often proxies are checked for a new layout; the resolution of the measured delay.
POLL_INTERVAL_S: typing.Final = 0.01


class SimulatedFleet:
    """A simulated fleet of one size, and when each of its proxies learned of each event."""

    def __init__(self, size: Size, seed: int, folder: pathlib.Path) -> None:
        self.size = size
        base_count, remainder = divmod(size.endpoints, size.services)
        services = tuple(
            shapes.ServiceShape(f"s{n}", base_count + (n < remainder), 0, f"/s{n}", "GET", 0.01)
            for n in range(size.services)
        )
        zones = testbeds.ZONES[: max(3, size.cores)]
        self.shape = shapes.Shape("virtual", size.nodes, size.cores, zones, services)
        self.fleet = fleets.SimFleet(self.shape, seed, folder)
        self.first_seen: dict[str, dict[str, float]] = {}
        self._turn = 0

    async def start(self) -> float:
        """Start all members, apply the first layout, and return how long the start took."""
        startup_s = await self.fleet.start()
        await self.fleet.apply(self.size.layout(0))
        for edge in self.fleet.edges:
            self._watch(edge.node.name, edge.node.daemon.timeline)
        return startup_s

    def _watch(self, name: str, timeline: timelines.Timeline) -> None:
        def record(entry: timelines.Entry) -> None:
            is_departure = entry.kind == timelines.ENDPOINT and entry.fields["state"] == timelines.LEFT
            if is_departure or entry.kind == timelines.MARK:
                self.first_seen.setdefault(entry.key, {}).setdefault(name, self.fleet.clock.now())

        timeline.on_change(record)

    def counts(self) -> Counts:
        """Return calls and bytes by kind, summed over the members of each role."""
        meters = {
            HEADLESS: [edge.node.daemon.meter for edge in self.fleet.edges],
            "registry": [core.registry.daemon.parts.meter for core in self.fleet.cores],
            "store": [core.store.daemon.meter for core in self.fleet.cores],
        }
        totals: Counts = {}
        for role, members in meters.items():
            counts = totals.setdefault(role, {})
            for meter in members:
                for key, count in meter.counts.items():
                    counts[key] = counts.get(key, 0) + count
        return totals

    async def change_layout(self) -> tuple[int, float]:
        """Apply the next layout; return its version and the time of sending."""
        self._turn += 1
        started_at = self.fleet.clock.now()
        return await self.fleet.apply(self.size.layout(self._turn)), started_at

    async def in_force(self, version: int, started_at: float) -> list[float]:
        """Return the seconds until each proxy has this version of the layout or a later one."""
        pending = {edge.node.name: edge.node.daemon for edge in self.fleet.edges}
        delays = []
        while pending and self.fleet.clock.now() < started_at + measure.MAX_PROPAGATION_S:
            for name in [n for n, d in pending.items() if d.documents.version(documents.LAYOUT) >= version]:
                del pending[name]
                delays.append(self.fleet.clock.now() - started_at)
            await asyncio.sleep(POLL_INTERVAL_S)
        return delays

    def mark_endpoint(self, turn: int) -> tuple[str, float]:
        """Let a proxy mark an endpoint as down; return the mark's key and the time."""
        edge = self.fleet.edges[turn % len(self.fleet.edges)]
        name = sorted(self.fleet.endpoints)[turn % len(self.fleet.endpoints)]
        edge.node.daemon.marks.set_down(name, "test mark", edge.node.name)
        return timelines.down_key(name), self.fleet.clock.now()

    def propagation(self, sent: list[tuple[str, float]]) -> JsonObject:
        """Return the quantiles of the delays until each proxy saw each event.

        The result also has the number of events and of the observations that are missing.
        """
        delays = [
            seen_at - started_at
            for key, started_at in sent
            for seen_at in self.first_seen.get(key, {}).values()
            if seen_at >= started_at
        ]
        missing = len(sent) * len(self.fleet.edges) - len(delays)
        return {"looks": len(sent), "missing": missing, **testbeds.quantiles(delays)}


async def _measure(fleet: SimulatedFleet) -> JsonObject:
    startup_s = await fleet.start()
    await asyncio.sleep(measure.SETTLE_S)
    before = fleet.counts()
    marked: list[tuple[str, float]] = []
    tasks = [
        asyncio.create_task(_repeat(fleet.size.changes, fleet.change_layout)),
        asyncio.create_task(_repeat(fleet.size.marks, lambda: _mark_next(fleet, marked))),
    ]
    await asyncio.sleep(measure.WINDOW_S)
    after = fleet.counts()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(measure.PAUSE_S)
    marks = fleet.propagation(marked)
    layouts: list[float] = []
    for _ in range(measure.EVENTS_PER_RUN):
        layouts += await fleet.in_force(*await fleet.change_layout())
        await asyncio.sleep(measure.PAUSE_S)
    departures = []
    for name in sorted(fleet.fleet.endpoints)[: min(measure.EVENTS_PER_RUN, fleet.size.endpoints // 2)]:
        departures.append((name, fleet.fleet.clock.now()))
        await fleet.fleet.endpoints[name].leave()
        await asyncio.sleep(measure.PAUSE_S)
    await asyncio.sleep(measure.PAUSE_S)
    member_counts = {HEADLESS: fleet.size.nodes, "registry": fleet.size.cores, "store": fleet.size.cores}
    roles = {
        role: {"members": n, "rates": _rates(before[role], after[role], n)}
        for role, n in member_counts.items()
    }
    missing = fleet.size.nodes * measure.EVENTS_PER_RUN - len(layouts)
    return {
        "roles": roles,
        "layout": {"looks": measure.EVENTS_PER_RUN, "missing": missing, **testbeds.quantiles(layouts)},
        "drain": fleet.propagation(departures),
        "mark": marks,
        "start": {"took_s": round(startup_s, 3)},
        "recovery": {"count": 0},
    }


def _rates(before: dict[str, int], after: dict[str, int], member_count: int) -> dict[str, float]:
    rates = {k: (n - before.get(k, 0)) / measure.WINDOW_S / member_count for k, n in after.items()}
    return {k: round(v, 1) for k, v in sorted(rates.items()) if v >= 0.05}


async def _mark_next(fleet: SimulatedFleet, marked: list[tuple[str, float]]) -> None:
    marked.append(fleet.mark_endpoint(len(marked) + 1))


async def _repeat(rate: float, action: typing.Callable[[], typing.Awaitable[object]]) -> None:
    while rate:
        await asyncio.sleep(60 / rate)
        await action()


def run(sweep: str, size: Size, turn: int) -> JsonObject:
    """Run one simulation and return a record in the form of a real run."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-virtual-"))
    try:

        async def main() -> JsonObject:
            return await _measure(SimulatedFleet(size, turn, folder))

        result = loops.run(main())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    common_fields = {"kind": "run", "virtual": True, "sweep": sweep, "turn": turn, "commit": measure.commit()}
    return {**common_fields, "size": dataclasses.asdict(size), "window_s": measure.WINDOW_S, **result}
