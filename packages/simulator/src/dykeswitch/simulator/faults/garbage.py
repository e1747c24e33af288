"""Responses that are lost, truncated, malformed, unsigned or surplus."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

# The share of requests that a planned endpoint fails, and the bursts that are sent to each service:
# requests and duration in seconds of one burst, and number of bursts.
SHARE: typing.Final = 0.5
BURST: typing.Final = (25, 0.08)
BURSTS: typing.Final = 3


def spoil(fault: str, part: float = 0.4, share: float = SHARE, **probe_options: bool) -> stages.Fault:
    """Some endpoints of each service fail in one way; bursts bring many attempts before the first mark."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        names = [name for s in services for name in stage.some_of(s.name, part)]
        with stage.with_fault_plan(names, fault, share, **probe_options):
            for _ in range(BURSTS):
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
# A complete response that names neither its endpoint nor its request can only be recognised where
# endpoints seal their responses.
SEALED: typing.Final = frozenset({"spoil_unsigned"})
