"""The same sizes on virtual time: what the protocol itself sends and takes, with no machine in it.

Bytes and spans are then the programs' alone; processor time and memory are not measured here.
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

Page = dict[str, typing.Any]
Counts = dict[str, dict[str, int]]

# How often proxies are looked at for a layout taken up: the grain of that span.
LOOK_S: typing.Final = 0.01


class SimulatedFleet:
    """A simulated fleet of a size, and what its proxies heard when."""

    def __init__(self, size: Size, seed: int, folder: pathlib.Path) -> None:
        self.size = size
        each, more = divmod(size.endpoints, size.services)
        services = tuple(
            shapes.ServiceShape(f"s{n}", each + (n < more), 0, f"/s{n}", "GET", 0.01)
            for n in range(size.services)
        )
        zones = testbeds.ZONES[: max(3, size.cores)]
        self.shape = shapes.Shape("virtual", size.nodes, size.cores, zones, services)
        self.fleet = fleets.SimFleet(self.shape, seed, folder)
        self.seen: dict[str, dict[str, float]] = {}
        self._turn = 0

    async def start(self) -> float:
        """Start all members and send the first layout; how long it took."""
        took = await self.fleet.start()
        await self.fleet.apply(self.size.layout(0))
        for edge in self.fleet.edges:
            self._watch(edge.node.name, edge.node.daemon.timeline)
        return took

    def _watch(self, name: str, timeline: timelines.Timeline) -> None:
        def taken(entry: timelines.Entry) -> None:
            left = entry.kind == timelines.ENDPOINT and entry.fields["state"] == timelines.LEFT
            if left or entry.kind == timelines.MARK:
                self.seen.setdefault(entry.key, {}).setdefault(name, self.fleet.clock.now())

        timeline.on_change(taken)

    def counts(self) -> Counts:
        """Calls and bytes by kind, all members of a role together."""
        meters = {
            HEADLESS: [edge.node.daemon.meter for edge in self.fleet.edges],
            "registry": [core.registry.daemon.parts.meter for core in self.fleet.cores],
            "store": [core.store.daemon.meter for core in self.fleet.cores],
        }
        found: Counts = {}
        for role, members in meters.items():
            page = found.setdefault(role, {})
            for meter in members:
                for key, count in meter.counts.items():
                    page[key] = page.get(key, 0) + count
        return found

    async def change(self) -> tuple[int, float]:
        """Send the next layout; its version, and when."""
        self._turn += 1
        begun = self.fleet.clock.now()
        return await self.fleet.apply(self.size.layout(self._turn)), begun

    async def in_force(self, version: int, begun: float) -> list[float]:
        """Seconds until each proxy holds a version or a later one."""
        waits = {edge.node.name: edge.node.daemon for edge in self.fleet.edges}
        took = []
        while waits and self.fleet.clock.now() < begun + measure.SEEN_MOST_S:
            for name in [n for n, d in waits.items() if d.documents.version(documents.LAYOUT) >= version]:
                del waits[name]
                took.append(self.fleet.clock.now() - begun)
            await asyncio.sleep(LOOK_S)
        return took

    def mark(self, turn: int) -> tuple[str, float]:
        """Have a proxy mark an endpoint; the mark's key, and when."""
        edge = self.fleet.edges[turn % len(self.fleet.edges)]
        name = sorted(self.fleet.endpoints)[turn % len(self.fleet.endpoints)]
        edge.node.daemon.marks.set_down(name, "test mark", edge.node.name)
        return timelines.down_key(name), self.fleet.clock.now()

    def reached(self, told: list[tuple[str, float]]) -> Page:
        """From when something was said until each proxy knew of it."""
        took = [at - begun for key, begun in told for at in self.seen.get(key, {}).values() if at >= begun]
        missing = len(told) * len(self.fleet.edges) - len(took)
        return {"looks": len(told), "missing": missing, **testbeds.quantiles(took)}


async def _measured(fleet: SimulatedFleet) -> Page:
    took = await fleet.start()
    await asyncio.sleep(measure.SETTLE_S)
    before = fleet.counts()
    marked: list[tuple[str, float]] = []
    tasks = [
        asyncio.create_task(_every(fleet.size.changes, fleet.change)),
        asyncio.create_task(_every(fleet.size.marks, lambda: _note(fleet, marked))),
    ]
    await asyncio.sleep(measure.WINDOW_S)
    after = fleet.counts()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(measure.PAUSE_S)
    marks = fleet.reached(marked)
    layouts: list[float] = []
    for _ in range(measure.LOOKS):
        layouts += await fleet.in_force(*await fleet.change())
        await asyncio.sleep(measure.PAUSE_S)
    left = []
    for name in sorted(fleet.fleet.endpoints)[: min(measure.LOOKS, fleet.size.endpoints // 2)]:
        left.append((name, fleet.fleet.clock.now()))
        await fleet.fleet.endpoints[name].leave()
        await asyncio.sleep(measure.PAUSE_S)
    await asyncio.sleep(measure.PAUSE_S)
    parts = {HEADLESS: fleet.size.nodes, "registry": fleet.size.cores, "store": fleet.size.cores}
    roles = {role: {"members": n, "rates": _rates(before[role], after[role], n)} for role, n in parts.items()}
    missing = fleet.size.nodes * measure.LOOKS - len(layouts)
    return {
        "roles": roles,
        "layout": {"looks": measure.LOOKS, "missing": missing, **testbeds.quantiles(layouts)},
        "drain": fleet.reached(left),
        "mark": marks,
        "start": {"took_s": round(took, 3)},
        "recovery": {"count": 0},
    }


def _rates(before: dict[str, int], after: dict[str, int], parts: int) -> dict[str, float]:
    rates = {k: (n - before.get(k, 0)) / measure.WINDOW_S / parts for k, n in after.items()}
    return {k: round(v, 1) for k, v in sorted(rates.items()) if v >= 0.05}


async def _note(fleet: SimulatedFleet, marked: list[tuple[str, float]]) -> None:
    marked.append(fleet.mark(len(marked) + 1))


async def _every(rate: float, work: typing.Callable[[], typing.Awaitable[object]]) -> None:
    while rate:
        await asyncio.sleep(60 / rate)
        await work()


def run(sweep: str, size: Size, turn: int) -> Page:
    """One simulated run as a record like those of real ones."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-virtual-"))
    try:

        async def main() -> Page:
            return await _measured(SimulatedFleet(size, turn, folder))

        page = loops.run(main())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    head = {"kind": "run", "virtual": True, "sweep": sweep, "turn": turn, "commit": measure.commit()}
    return {**head, "size": dataclasses.asdict(size), "window_s": measure.WINDOW_S, **page}
