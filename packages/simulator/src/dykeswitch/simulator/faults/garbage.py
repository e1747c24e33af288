"""Replies that are lost, cut off in odd places, no replies at all, or one too many."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

# The share of requests that fails at an endpoint so planned, and how requests come to it:
# so many of each service within a moment, several times.
SHARE: typing.Final = 0.5
BURST: typing.Final = (25, 0.08)
TURNS: typing.Final = 3


def spoil(fault: str, part: float = 0.4, share: float = SHARE, **more: bool) -> stages.Fault:
    """A part of each service fails in one way, under bursts: many goes are out before a mark is."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        names = [name for s in services for name in stage.some_of(s.name, part)]
        with stage.with_fault_plan(names, fault, share, **more):
            for _ in range(TURNS):
                await asyncio.gather(*(stage.fleet.clients.send_burst(s, *BURST) for s in services))
                await asyncio.sleep(1.0)

    return act


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "spoil_run_then_500": spoil("run_then_500"),
    "spoil_run_then_500_long": spoil("run_then_500_long"),
    "spoil_lose": spoil("lose"),
    "spoil_lose_silent": spoil("lose_silent", 0.2),
    "spoil_lose_reset": spoil("lose_reset"),
    "spoil_garbage": spoil("garbage_any"),
    "spoil_garbage_on_probe": spoil("garbage_any", probe_too=True),
    "spoil_cut": spoil("cut"),
    "spoil_cut_chunks": spoil("cut_chunks"),
    "spoil_cut_head": spoil("cut_head"),
    "spoil_cut_reset": spoil("cut_reset"),
    "spoil_cut_late": spoil("cut_late"),
    "spoil_surplus_bytes": spoil("surplus_bytes"),
    "spoil_unsigned": spoil("unsigned"),
    "spoil_surplus": spoil("surplus"),
    "spoil_surplus_soon": spoil("surplus_soon"),
    "spoil_surplus_late": spoil("surplus_late"),
}
# A whole reply that says neither whose it is nor to what can only be told where endpoints
# seal their replies.
SEALED: typing.Final = frozenset({"spoil_unsigned"})
