"""Plays the plan of a soak on a fleet of real processes."""

import dataclasses
import pathlib
import typing

import dykeswitch.simulator.realengine as realengine
import dykeswitch.simulator.soak.acts as acts
import dykeswitch.simulator.soak.plan as plans
import dykeswitch.simulator.soak.sizes as sizes
import dykeswitch.standin.fleet as real
from dykeswitch.simulator.realstage import RealStage

# For how long callers' connections may rest, and what part of it they do at the most.
IDLE_S: typing.Final = 4.0
REST_PART: typing.Final = 0.8
# The part of all requests that may be turned away: endpoints are few, and some are always in trouble.
AWAY_SHARE: typing.Final = 0.02


def _prepare(stage: RealStage) -> None:
    web = stage.fleet.machine.web
    assert isinstance(web, real.LightWeb)
    # Who rests longest is used first, up to four fifths of what is allowed.
    web.oldest_first, web.max_idle_s = True, IDLE_S * REST_PART


async def play(plan: plans.Plan, folder: pathlib.Path) -> realengine.Day:
    """Play a plan; its logs and all that endpoints noted stay in the folder."""
    shape = dataclasses.replace(sizes.SHAPES[plan.shape], idle_s=IDLE_S)
    day = await realengine.play(
        sizes.sized(shape, plan.nodes),
        plan.seed,
        plan.scale,
        plan.tracks,
        acts.ACTS,
        plan.seconds,
        folder,
        _prepare,
    )
    story = day.stage.story
    story.max_turned_away = max(story.max_turned_away, round(len(story.requests) * AWAY_SHARE))
    return day
