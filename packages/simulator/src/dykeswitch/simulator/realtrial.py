"""Runs the required failures on real processes; the simulator's checker judges the history."""

import dataclasses
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.realengine as engine
import dykeswitch.standin.caller as clients
import dykeswitch.standin.shape as shapes
from dykeswitch.simulator.realfaults import ACTS

__all__ = ["ACTS", "day", "figures"]

BETWEEN_ACTS_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Act:
    """One act of a day; its acts run one after another."""

    act: str
    seed: int
    after_s: float = BETWEEN_ACTS_S


def _propagation_times(story: histories.History) -> list[float]:
    """Return for each accepted change an upper bound of the time until every ready proxy applied it."""
    propagation_s = []
    for put in story.puts:
        if put.status != 200:
            continue
        outdated = [s.at for s in story.samples if s.ready and s.at > put.ended_at and s.layout < put.version]
        propagation_s.append(
            max((at - put.ended_at for at in outdated if at - put.ended_at < 30), default=0.0)
        )
    return propagation_s


async def day(name: str, acts: typing.Sequence[str], seed: int, scale: float) -> dict[str, typing.Any]:
    """Run the acts in turn on a fleet of real processes with traffic; return the figures and the verdict."""
    track = [_Act(act, seed * len(ACTS) + n) for n, act in enumerate(acts)]
    result = await engine.play(shapes.SHAPES[name], seed, scale, {"day": track}, ACTS)
    header = {"shape": name, "acts": list(acts), "seed": seed, "scale": scale, "up_s": round(result.up_s, 2)}
    return {**header, **figures(result)}


def figures(day: engine.Day) -> dict[str, typing.Any]:
    """Return a day's figures and its verdict."""
    story = day.stage.story
    breaches = histories.judge(story)
    return {
        **clients.summarize(day.stage.fleet.record, story.expiry_s),
        "layout_spread_worst_s": round(max(_propagation_times(story), default=0.0), 2),
        "changes": sum(1 for p in story.puts if p.status == 200),
        "roves": len(story.route_checks),
        "floor_used": round(histories.floor_used(story), 1),
        "excused": histories.excuses(story),
        "back_s": histories.back_by_fault(story, day.spans),
        "notes": day.stage.notes,
        "breaches": {k: [len(v), *v[:4]] for k, v in breaches.items()},
        "verdict": "held" if not breaches else "broken",
    }
