"""Runs the plan of a soak on a fleet of real processes."""

import dataclasses
import pathlib
import typing

import dykeswitch.simulator.realengine as realengine
import dykeswitch.simulator.soak.acts as acts
import dykeswitch.simulator.soak.plan as plans
import dykeswitch.simulator.soak.sizes as sizes
import dykeswitch.standin.fleet as real
from dykeswitch.simulator.realstage import RealStage

# Idle timeout of clients' connections, and the share of it for which a client keeps one idle at most.
IDLE_S: typing.Final = 4.0
MAX_IDLE_SHARE: typing.Final = 0.8
# The share of requests that may be refused: there are few endpoints, and some are always failing.
MAX_REFUSED_SHARE: typing.Final = 0.02


def _prepare(stage: RealStage) -> None:
    web = stage.fleet.machine.web
    assert isinstance(web, real.LightWeb)
    # The connection that was idle longest is used first, up to four fifths of the idle timeout.
    web.oldest_first, web.max_idle_s = True, IDLE_S * MAX_IDLE_SHARE


async def play(plan: plans.Plan, folder: pathlib.Path) -> realengine.Day:
    """Run a plan; its logs and the records of the endpoints remain in the folder."""
    shape = dataclasses.replace(sizes.SHAPES[plan.shape], idle_s=IDLE_S)
    day = await realengine.play(
        sizes.scaled_to(shape, plan.nodes),
        plan.seed,
        plan.scale,
        plan.tracks,
        acts.ACTS,
        plan.seconds,
        folder,
        _prepare,
    )
    story = day.stage.story
    story.max_turned_away = max(story.max_turned_away, round(len(story.requests) * MAX_REFUSED_SHARE))
    return day
