"""Endpoints that are full, slow, unequal, warming up, or spend their slots on probes."""

import asyncio
import contextlib
import dataclasses
import typing

import dykeswitch.simulator.stage as stages
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

# How many requests come to press on a service, over how many seconds, and for each second
# how many all its endpoints together get done meanwhile.
PRESS: typing.Final = (60, 1.5)
DONE: typing.Final = 12.0


def _pace(service: shapes.ServiceShape, names: typing.Sequence[str], done: float) -> float:
    """How slow endpoints of one slot each must be to get so many a second done together."""
    return len(names) / (done * service.work_s)


def few_slots(full: str) -> stages.Fault:
    """A third of each service has a slot and a place to wait each, and is slow: the rest has room."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        with contextlib.ExitStack() as stack:
            for service in services:
                names = stage.some_of(service.name, 1 / 3)
                pace = _pace(service, names, DONE / 3)
                few = stage.with_profile(names, slots=1, queue=1, full=full, pace=pace, tells=True)
                stack.enter_context(few)
            for _ in range(2):
                await asyncio.gather(*(stage.fleet.clients.send_burst(s, *PRESS) for s in services))
                await asyncio.sleep(1.5)

    return act


def all_full(full: str) -> stages.Fault:
    """More writes come than all of a service can take on: each runs once or not at all."""

    async def act(stage: stages.Stage) -> None:
        service = next(s for s in stage.fleet.shape.services if s.writing)
        names = stage.live_endpoints(service.name)
        pace = _pace(service, names, DONE)
        with (
            stage.with_profile(names, slots=1, queue=1, full=full, pace=pace, tells=True),
            stage.failing(service.name),
        ):
            await stage.fleet.clients.send_burst(service, *PRESS)
            await asyncio.sleep(1.0)

    return act


async def late_in_queue(stage: stages.Stage) -> None:
    """Long queues, and callers in a hurry: expiries run out, and pipes close, amid the queue."""
    service = dataclasses.replace(stage.any_service(), expiry_s=1.0)
    names = stage.live_endpoints(service.name)
    with (
        stage.with_profile(
            names, slots=1, queue=30, pace=_pace(service, names, DONE), tells=True, stops=True
        ),
        stage.failing(service.name),
    ):
        await stage.fleet.clients.send_burst(service, *PRESS)
        await asyncio.sleep(2.0)


async def unequal(stage: stages.Stage) -> None:
    """Every endpoint at a speed of its own, slower when pressed, its work spread far."""
    names = stage.live_endpoints()
    with stage.with_profile(names, slots=2, queue=8, press=2.0, spread=0.6, tells=True):
        for name in names:
            endpoint = stage.fleet.endpoints[name]
            endpoint.profile = endpoint.profile.with_random_pace(stage.rng)
        for service in stage.fleet.shape.services:
            await stage.fleet.clients.send_burst(service, 15, 1.0)
        await asyncio.sleep(4.0)


async def warm_up(stage: stages.Stage) -> None:
    """A release of half a service, each of whose new endpoints is slow for some seconds."""
    service = stage.any_service()
    for name in stage.some_of(service.name, 1 / 2):
        address = stage.fleet.world.address()
        stage.new_endpoint(service, address, slots=2, queue=4, warm_by=8.0, warm_s=4.0, tells=True)
        await asyncio.sleep(0.3)
        await stage.fleet.drain_endpoint(name, 0.7)


async def dear_probes(stage: stages.Stage) -> None:
    """Probes wait for a slot as requests do, and cost work."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_profile(names, slots=2, queue=8, probe_s=0.1, tells=True):
        await asyncio.sleep(6.0)


async def long_queue(stage: stages.Stage) -> None:
    """One endpoint lets many wait, at a tenth of its speed, and gives up what nobody waits for."""
    service = stage.any_service()
    with stage.with_profile(stage.some_of(service.name, 0.1), slots=1, queue=60, pace=10.0, drops=True):
        await asyncio.sleep(7.0)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "few_slots": few_slots(profiles.REFUSE),
    "few_slots_reset": few_slots(profiles.RESET),
    "few_slots_hang": few_slots(profiles.HANG),
    "all_full": all_full(profiles.REFUSE),
    "all_full_reset": all_full(profiles.RESET),
    "all_full_hang": all_full(profiles.HANG),
    "late_in_queue": late_in_queue,
    "unequal": unequal,
    "warm_up": warm_up,
    "dear_probes": dear_probes,
    "long_queue": long_queue,
}
