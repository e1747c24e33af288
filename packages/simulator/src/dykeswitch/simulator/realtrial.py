"""The brief's failures on real processes, with the simulator's own checker as judge."""

import asyncio
import json
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.standin.caller as callers
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes
from dykeswitch.simulator.realfaults import ACTS
from dykeswitch.simulator.realstage import RealStage

__all__ = ["ACTS", "day"]

# Traffic goes on until the callers are halted.
ENDLESS_S: typing.Final = 100000.0
TRAFFIC_FIRST_S: typing.Final = 3.0
BETWEEN_ACTS_S: typing.Final = 1.0
CALM_SLACK_S: typing.Final = 5.0
WIRE_S: typing.Final = 0.25


def _spread(story: histories.History) -> list[float]:
    """For each accepted change, when the last proxy that was ready carried it, at the latest."""
    took = []
    for put in story.puts:
        if put.status != 200:
            continue
        late = [s.at for s in story.samples if s.ready and s.at > put.ended and s.layout < put.version]
        took.append(max((at - put.ended for at in late if at - put.ended < 30), default=0.0))
    return took


async def day(name: str, acts: typing.Sequence[str], seed: int, scale: float) -> dict[str, typing.Any]:
    """A fleet of real processes, its traffic, the acts in turn, then calm and a verdict."""
    shape = shapes.SHAPES[name]
    async with real.running(shape, seed, roving=True) as fleet:
        stage = RealStage(fleet)
        up_s = await _start(stage)
        traffic = asyncio.create_task(fleet.callers.drive(ENDLESS_S, scale))
        roving = asyncio.create_task(fleet.callers.rove_for_ever(scenarios.ROVES))
        await asyncio.sleep(TRAFFIC_FIRST_S)
        spans: list[tuple[str, float, float]] = []
        for act in acts:
            begun = stage.now
            await ACTS[act](stage)
            spans.append((act, begun, stage.now))
            await asyncio.sleep(BETWEEN_ACTS_S)
        stage.story.calm = stage.now
        await asyncio.sleep(histories.RECOVER_S + CALM_SLACK_S)
        fleet.callers.halt()
        await asyncio.gather(traffic, roving)
        _close(stage)
        head = {"shape": name, "acts": list(acts), "seed": seed, "scale": scale, "up_s": round(up_s, 2)}
        return {**head, **_figures(stage, spans)}


async def _start(stage: RealStage) -> float:
    """Start the fleet and wait until every duty has its owner; seconds until it was up."""
    begun = stage.now
    up_s = await stage.fleet.start()
    body = json.dumps(stage.fleet.first, sort_keys=True)
    first = fleets.Put(begun, body, None, stage.now, 200, stage.fleet.first_version)
    stage.story.puts.append(first)
    stage.fleet.spawn(stage.sample())
    await asyncio.sleep(scenarios.SETTLED_S)
    return up_s


def _close(stage: RealStage) -> None:
    """Bring what callers and endpoints saw into the history."""
    story, fleet = stage.story, stage.fleet
    # Processes are scheduled by the machine: what they do is seen a little later.
    story.wire_s = WIRE_S
    story.hits, story.left = fleet.gather()
    story.asks = list(fleet.record.asks.values())
    story.roves = fleet.record.roves
    story.runs = dict(fleet.record.runs)
    story.owners = {h.name: h.spec["service"] for h in fleet.hosts}
    story.end = stage.now


def _figures(stage: RealStage, spans: list[tuple[str, float, float]]) -> dict[str, typing.Any]:
    """The day's figures and its verdict."""
    story = stage.story
    breaches = histories.judge(story)
    return {
        **callers.tally(stage.fleet.record, story.expiry_s),
        "layout_spread_worst_s": round(max(_spread(story), default=0.0), 2),
        "changes": sum(1 for p in story.puts if p.status == 200),
        "roves": len(story.roves),
        "floor_used": round(histories.floor_used(story), 1),
        "excused": histories.excuses(story),
        "back_s": histories.back_by_fault(story, spans),
        "notes": stage.notes,
        "breaches": {k: [len(v), *v[:4]] for k, v in breaches.items()},
        "verdict": "held" if not breaches else "broken",
    }
