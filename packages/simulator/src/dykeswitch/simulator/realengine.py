"""The engine of real days: a fleet of processes, its traffic, tracks of acts, calm, and a verdict.

`trial --real` plays one track of acts; a soak plays several that overlap one another.
"""

import asyncio
import dataclasses
import json
import pathlib
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.realfaults as realfaults
import dykeswitch.simulator.resources as resources
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes
from dykeswitch.simulator.realstage import RealStage

# Traffic goes on until the callers are halted.
ENDLESS_S: typing.Final = 100000.0
TRAFFIC_FIRST_S: typing.Final = 3.0
CALM_SLACK_S: typing.Final = 5.0
WIRE_S: typing.Final = 0.25
# How often it is looked whether processes run, and what they hold, in seconds.
WATCH_S: typing.Final = 0.2
SAMPLE_S: typing.Final = 1.0


class Step(typing.Protocol):
    """One act of a track."""

    @property
    def act(self) -> str:
        """The act's name."""
        ...

    @property
    def after_s(self) -> float:
        """After which pause it begins, in seconds."""
        ...

    @property
    def seed(self) -> int:
        """The seed of what it draws."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """When an act was played, in seconds from the first one's begin."""

    track: str
    act: str
    begun: float
    ended: float


@dataclasses.dataclass(slots=True)
class Day:
    """What was played and seen on a real fleet."""

    stage: RealStage
    up_s: float = 0.0
    started_at: float = 0.0
    acts: list[Played] = dataclasses.field(default_factory=list)
    held: list[resources.Held] = dataclasses.field(default_factory=list)

    @property
    def spans(self) -> list[tuple[str, float, float]]:
        """Each act with its begin and end, by the stage's clock."""
        return [(act.act, self.started_at + act.begun, self.started_at + act.ended) for act in self.acts]


Tracks = typing.Mapping[str, typing.Sequence[Step]]
Prepare = typing.Callable[[RealStage], None]


async def play(
    shape: shapes.Shape,
    seed: int,
    scale: float,
    tracks: Tracks,
    acts: typing.Mapping[str, realfaults.Act],
    seconds: float | None = None,
    folder: pathlib.Path | None = None,
    prepare: Prepare = lambda stage: None,
) -> Day:
    """Play tracks on a fleet of a shape; no act begins after `seconds`, and without them all are played."""
    async with real.running(shape, seed, check_routes=True, folder=folder) as fleet:
        day = Day(RealStage(fleet))
        prepare(day.stage)
        day.up_s = await _start(day.stage)
        fleet.spawn(_watch_ends(day.stage))
        traffic = asyncio.create_task(fleet.clients.run_traffic(ENDLESS_S, scale))
        route_checks = asyncio.create_task(fleet.clients.check_routes_forever(scenarios.ROUTE_CHECKS_PER_S))
        await asyncio.sleep(TRAFFIC_FIRST_S)
        fleet.spawn(_watch_resources(day))
        base = resources.look(fleet, day.stage.now)
        day.started_at = day.stage.now
        async with asyncio.TaskGroup() as group:
            for name, steps in tracks.items():
                group.create_task(_play_track(day, name, steps, acts, seconds))
        day.stage.story.faults_ended_at = day.stage.now
        await asyncio.sleep(histories.RECOVER_S + CALM_SLACK_S)
        last = resources.look(fleet, day.stage.now)
        fleet.clients.stop_sending()
        await asyncio.gather(traffic, route_checks)
        day.stage.story.leaks += resources.grown(base, last)
        day.stage.story.leaks += await resources.still_at_work(fleet)
        _close(day.stage)
        return day


async def _play_track(
    day: Day,
    name: str,
    steps: typing.Sequence[Step],
    acts: typing.Mapping[str, realfaults.Act],
    seconds: float | None,
) -> None:
    for step in steps:
        await asyncio.sleep(step.after_s)
        begun = day.stage.now - day.started_at
        if seconds is not None and begun >= seconds:
            return
        await acts[step.act](day.stage.acting(step.seed))
        day.acts.append(Played(name, step.act, begun, day.stage.now - day.started_at))


async def _start(stage: RealStage) -> float:
    """Start the fleet and wait until every duty has its owner; seconds until it was up."""
    begun = stage.now
    up_s = await stage.fleet.start()
    body = json.dumps(stage.fleet.initial_layout, sort_keys=True)
    first = observations.LayoutPut(begun, body, None, stage.now, 200, stage.fleet.initial_version)
    stage.story.puts.append(first)
    stage.fleet.spawn(stage.sample())
    await asyncio.sleep(scenarios.SETTLED_S)
    return up_s


async def _watch_ends(stage: RealStage) -> None:
    """Tell of each process that ends without having been told to."""
    told: set[int] = set()
    while True:
        for process in stage.fleet.processes():
            if process.started and not process.running() and not process.end_requested:
                if process.pid not in told:
                    told.add(process.pid)
                    stage.story.crashes.append(f"{process.name} ended by itself with {process.exit_code}")
        await asyncio.sleep(WATCH_S)


async def _watch_resources(day: Day) -> None:
    while True:
        day.held.append(resources.look(day.stage.fleet, day.stage.now))
        await asyncio.sleep(SAMPLE_S)


def _close(stage: RealStage) -> None:
    """Bring what callers and endpoints saw into the history."""
    story, fleet = stage.story, stage.fleet
    # Processes are scheduled by the machine: what they do is seen a little later.
    story.link_delay_s = WIRE_S
    story.arrivals, story.left = fleet.collect_records()
    story.requests = list(fleet.record.requests.values())
    story.route_checks = fleet.record.route_checks
    story.executions = dict(fleet.record.executions)
    story.owners = {h.name: h.spec["service"] for h in fleet.hosts}
    story.end = stage.now
