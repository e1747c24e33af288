"""Endpoints that are particular about pipes: too many, too old, idle, ended with a reply."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages


def particular(part: float = 1.0, span: float = 6.0, **changes: typing.Any) -> stages.Fault:
    """A part of each service keeps its pipes in a way of its own; some callers come in bursts."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        names = [name for s in services for name in stage.some_of(s.name, part)]
        with stage.with_profile(names, tells=True, **changes):
            # Bursts with gaps between them: pipes are opened, lie idle, and are wanted again.
            for _ in range(3):
                await asyncio.gather(*(stage.fleet.clients.send_burst(s, 20, 0.1) for s in services))
                await asyncio.sleep(span / 3)

    return act


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "slow_hello": particular(slots=2, queue=8, hello_s=0.05),
    "close_now_and_then": particular(close_share=0.2),
    "close_idle": particular(idle_s=1.0),
    "close_idle_untold": particular(idle_s=0.45),
    "forget_idle": particular(forgets_s=0.3),
    "few_pipes": particular(pipes_most=3),
    "few_pipes_of_some": particular(0.4, pipes_most=2),
    "few_pipes_when_pressed": particular(slots=1, queue=10, pace=3.0, pipes_most=40, pipes_pressed=4),
}
