"""Runs a fleet of real processes with traffic and tracks of acts, then a calm period, and records it.

`trial --real` runs one track of acts; a soak runs several concurrently.
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

# Long enough that traffic runs until the clients are stopped.
ENDLESS_S: typing.Final = 100000.0
TRAFFIC_LEAD_S: typing.Final = 3.0
CALM_SLACK_S: typing.Final = 5.0
WIRE_S: typing.Final = 0.25
# Intervals of the checks for exited processes and of the samples of resource usage.
EXIT_CHECK_INTERVAL_S: typing.Final = 0.2
SAMPLE_INTERVAL_S: typing.Final = 1.0


class Step(typing.Protocol):
    """One act of a track."""

    @property
    def act(self) -> str:
        """The act's name."""
        ...

    @property
    def after_s(self) -> float:
        """The pause before it starts, in seconds."""
        ...

    @property
    def seed(self) -> int:
        """The seed of its random choices."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """An act that was run, with its start and end in seconds from the start of the first act."""

    track: str
    act: str
    begun: float
    ended: float


@dataclasses.dataclass(slots=True)
class Day:
    """What was run and observed on a real fleet."""

    stage: RealStage
    up_s: float = 0.0
    started_at: float = 0.0
    acts: list[Played] = dataclasses.field(default_factory=list)
    resource_samples: list[resources.ResourceUsage] = dataclasses.field(default_factory=list)

    @property
    def spans(self) -> list[tuple[str, float, float]]:
        """Each act with its start and end by the stage's clock."""
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
    """Run tracks on a fleet; no act starts after `seconds`, and if that is None all acts are run."""
    async with real.running(shape, seed, check_routes=True, folder=folder) as fleet:
        day = Day(RealStage(fleet))
        prepare(day.stage)
        day.up_s = await _start(day.stage)
        fleet.spawn(_watch_exits(day.stage))
        traffic = asyncio.create_task(fleet.clients.run_traffic(ENDLESS_S, scale))
        route_checks = asyncio.create_task(fleet.clients.check_routes_forever(scenarios.ROUTE_CHECKS_PER_S))
        await asyncio.sleep(TRAFFIC_LEAD_S)
        fleet.spawn(_watch_resources(day))
        usage_before = resources.measure(fleet, day.stage.now)
        day.started_at = day.stage.now
        async with asyncio.TaskGroup() as group:
            for name, steps in tracks.items():
                group.create_task(_play_track(day, name, steps, acts, seconds))
        day.stage.story.faults_ended_at = day.stage.now
        await asyncio.sleep(histories.RECOVER_S + CALM_SLACK_S)
        usage_after = resources.measure(fleet, day.stage.now)
        fleet.clients.stop_sending()
        await asyncio.gather(traffic, route_checks)
        day.stage.story.leaks += resources.find_growth(usage_before, usage_after)
        day.stage.story.leaks += await resources.find_active_requests(fleet)
        _complete_history(day.stage)
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
        started_at = day.stage.now - day.started_at
        if seconds is not None and started_at >= seconds:
            return
        await acts[step.act](day.stage.with_seed(step.seed))
        day.acts.append(Played(name, step.act, started_at, day.stage.now - day.started_at))


async def _start(stage: RealStage) -> float:
    """Start the fleet and wait until every slot is assigned; return the seconds until it was up."""
    started_at = stage.now
    up_s = await stage.fleet.start()
    body = json.dumps(stage.fleet.initial_layout, sort_keys=True)
    first = observations.LayoutPut(started_at, body, None, stage.now, 200, stage.fleet.initial_version)
    stage.story.puts.append(first)
    stage.fleet.spawn(stage.sample())
    await asyncio.sleep(scenarios.SETTLED_S)
    return up_s


async def _watch_exits(stage: RealStage) -> None:
    """Record each process that exits without having been told to."""
    reported: set[int] = set()
    while True:
        for process in stage.fleet.processes():
            if process.started and not process.running() and not process.end_requested:
                if process.pid not in reported:
                    reported.add(process.pid)
                    stage.story.crashes.append(
                        f"{process.name} exited by itself with code {process.exit_code}"
                    )
        await asyncio.sleep(EXIT_CHECK_INTERVAL_S)


async def _watch_resources(day: Day) -> None:
    while True:
        day.resource_samples.append(resources.measure(day.stage.fleet, day.stage.now))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _complete_history(stage: RealStage) -> None:
    """Copy what clients and endpoints observed into the history."""
    story, fleet = stage.story, stage.fleet
    # The operating system schedules the processes, so their actions are observed a little later.
    story.link_delay_s = WIRE_S
    story.arrivals, story.left = fleet.collect_records()
    story.requests = list(fleet.record.requests.values())
    story.route_checks = fleet.record.route_checks
    story.executions = dict(fleet.record.executions)
    story.owners = {h.name: h.spec["service"] for h in fleet.hosts}
    story.end = stage.now
