"""Endpoints that restrict connections: by number or idle time, by closing them after a response."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages


def restrict_connections(part: float = 1.0, duration_s: float = 6.0, **changes: typing.Any) -> stages.Fault:
    """Some endpoints of each service handle connections by the given profile, under bursts of requests."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        names = [name for s in services for name in stage.some_of(s.name, part)]
        with stage.with_profile(names, tells=True, **changes):
            # Bursts with gaps between them: connections are opened, become idle, and are used again.
            for _ in range(3):
                await asyncio.gather(*(stage.fleet.clients.send_burst(s, 20, 0.1) for s in services))
                await asyncio.sleep(duration_s / 3)

    return act


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "slow_hello": restrict_connections(slots=2, queue=8, hello_s=0.05),
    "close_now_and_then": restrict_connections(close_share=0.2),
    "close_idle": restrict_connections(idle_s=1.0),
    "close_idle_untold": restrict_connections(idle_s=0.45),
    "forget_idle": restrict_connections(forgets_s=0.3),
    "few_pipes": restrict_connections(pipes_most=3),
    "few_pipes_of_some": restrict_connections(0.4, pipes_most=2),
    "few_pipes_when_pressed": restrict_connections(
        slots=1, queue=10, pace=3.0, pipes_most=40, pipes_pressed=4
    ),
}
