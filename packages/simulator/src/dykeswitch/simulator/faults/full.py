"""Endpoints that are full, slow, of unequal speed, warming up, or use their slots for probes."""

import asyncio
import contextlib
import dataclasses
import typing

import dykeswitch.simulator.stage as stages
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

# The number of requests in a burst with its duration in seconds, and the requests per second that
# all endpoints of the service complete together meanwhile.
BURST: typing.Final = (60, 1.5)
COMPLETED_PER_S: typing.Final = 12.0


def _slow_down(service: shapes.ServiceShape, names: typing.Sequence[str], rate: float) -> float:
    """Return the slow-down at which endpoints of one slot each complete `rate` requests a second together."""
    return len(names) / (rate * service.work_s)


def few_slots(full: str) -> stages.Fault:
    """A third of each service's endpoints are slow, with one slot and one queue place; the rest have room."""

    async def act(stage: stages.Stage) -> None:
        services = stage.fleet.shape.services
        with contextlib.ExitStack() as stack:
            for service in services:
                names = stage.some_of(service.name, 1 / 3)
                slow_down = _slow_down(service, names, COMPLETED_PER_S / 3)
                limited = stage.with_profile(names, slots=1, queue=1, full=full, pace=slow_down, tells=True)
                stack.enter_context(limited)
            for _ in range(2):
                await asyncio.gather(*(stage.fleet.clients.send_burst(s, *BURST) for s in services))
                await asyncio.sleep(1.5)

    return act


def all_full(full: str) -> stages.Fault:
    """More writes arrive than a service's endpoints can accept: each runs once or not at all."""

    async def act(stage: stages.Stage) -> None:
        service = next(s for s in stage.fleet.shape.services if s.writing)
        names = stage.live_endpoints(service.name)
        slow_down = _slow_down(service, names, COMPLETED_PER_S)
        with (
            stage.with_profile(names, slots=1, queue=1, full=full, pace=slow_down, tells=True),
            stage.failing(service.name),
        ):
            await stage.fleet.clients.send_burst(service, *BURST)
            await asyncio.sleep(1.0)

    return act


async def late_in_queue(stage: stages.Stage) -> None:
    """Long queues and short deadlines: requests expire, and connections close, while they are queued."""
    service = dataclasses.replace(stage.any_service(), expiry_s=1.0)
    names = stage.live_endpoints(service.name)
    with (
        stage.with_profile(
            names, slots=1, queue=30, pace=_slow_down(service, names, COMPLETED_PER_S), tells=True, stops=True
        ),
        stage.failing(service.name),
    ):
        await stage.fleet.clients.send_burst(service, *BURST)
        await asyncio.sleep(2.0)


async def unequal(stage: stages.Stage) -> None:
    """Each endpoint has its own speed, is slower under load, and its work varies widely."""
    names = stage.live_endpoints()
    with stage.with_profile(names, slots=2, queue=8, press=2.0, spread=0.6, tells=True):
        for name in names:
            endpoint = stage.fleet.endpoints[name]
            endpoint.profile = endpoint.profile.with_random_pace(stage.rng)
        for service in stage.fleet.shape.services:
            await stage.fleet.clients.send_burst(service, 15, 1.0)
        await asyncio.sleep(4.0)


async def warm_up(stage: stages.Stage) -> None:
    """Half of a service's endpoints are replaced; each new one is slow for some seconds."""
    service = stage.any_service()
    for name in stage.some_of(service.name, 1 / 2):
        address = stage.fleet.world.address()
        stage.new_endpoint(service, address, slots=2, queue=4, warm_by=8.0, warm_s=4.0, tells=True)
        await asyncio.sleep(0.3)
        await stage.fleet.drain_endpoint(name, 0.7)


async def dear_probes(stage: stages.Stage) -> None:
    """Probes wait for a slot as requests do, and take time."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_profile(names, slots=2, queue=8, probe_s=0.1, tells=True):
        await asyncio.sleep(6.0)


async def long_queue(stage: stages.Stage) -> None:
    """One slow endpoint, at a tenth of its speed, has a long queue and cancels abandoned requests."""
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
