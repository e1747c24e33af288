"""Partly failing endpoints: some requests fail, probes are wrong, endpoints flap, crash or drain."""

import asyncio
import typing

import dykeswitch.simulator.faults.beats as beats
import dykeswitch.simulator.faults.garbage as garbage
import dykeswitch.simulator.stage as stages

# The share of requests that a partly failing endpoint fails.
SHARE: typing.Final = 0.3
# How long an endpoint goes on serving after it announced that it is draining.
SERVES_AFTER_DRAIN_S: typing.Final = 2.5


def lying_probes(fault: str) -> stages.Fault:
    """A third of a service's endpoints fail every probe but would serve every request."""

    async def act(stage: stages.Stage) -> None:
        names = stage.some_of(stage.any_service().name, 1 / 3)
        with stage.with_fault_plan(names, fault, probe_too=True, probe_only=True):
            await asyncio.sleep(6.0)

    return act


async def flap(stage: stages.Stage) -> None:
    """Two endpoints alternate between healthy and failing, faster than a mark expires."""
    names = stage.rng.sample(stage.live_endpoints(stage.any_service().name), 2)
    for _ in range(8):
        with stage.with_fault_plan(
            names, stage.rng.choice(("status_503", "reset", "status_500")), probe_too=True
        ):
            await asyncio.sleep(0.4)
        await asyncio.sleep(0.6)


async def crash_many(stage: stages.Stage) -> None:
    """A third of each service's endpoints crash with requests in progress and return under other ids."""
    fleet = stage.fleet
    services = fleet.shape.services
    for _ in range(2):
        names = [name for s in services for name in stage.some_of(s.name, 1 / 3)]
        bursts = [asyncio.create_task(fleet.clients.send_burst(s, 30, 0.05)) for s in services]
        await asyncio.sleep(0.04)
        for name in names:
            fleet.kill_endpoint(name)
        await asyncio.gather(*bursts)
        for name in names:
            service = stage.shape_of(fleet.endpoints[name].service)
            stage.new_endpoint(service, fleet.world.address(), stage.rng.uniform(0.0, 1.0))
        await asyncio.sleep(2.0)


async def drain_told(stage: stages.Stage) -> None:
    """Endpoints report in a heartbeat that they drain, go on serving, report that they leave, and end."""
    service = stage.any_service()
    old = [stage.new_endpoint(service, stage.fleet.world.address(), tells_more=True) for _ in range(3)]
    await asyncio.sleep(2.5)
    for name in old:
        endpoint = stage.fleet.endpoints[name]
        await stage.fleet.clients.send_burst(service, beats.BURST_REQUESTS, beats.BURST_DURATION_S)
        if not endpoint.arrival_count:
            stage.report_failure(f"{name}, whose heartbeats have optional fields, received no request")
        if await endpoint.drain():
            stage.fleet.left[name] = stage.now
        else:
            stage.report_failure(f"no registry accepted that {name} is draining")
        await asyncio.sleep(SERVES_AFTER_DRAIN_S)
        await stage.fleet.drain_endpoint(name, 0.1)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "grey_errors": garbage.spoil("status_500", 0.3, SHARE),
    "grey_refusals": garbage.spoil("promise", 0.3, SHARE),
    "grey_hang": garbage.spoil("hang", 0.2, SHARE),
    "grey_reset": garbage.spoil("reset", 0.3, SHARE),
    "grey_slow": garbage.spoil("slow", 0.3, SHARE),
    "lying_probes": lying_probes("status_503"),
    "lying_probes_hang": lying_probes("hang"),
    "flap": flap,
    "crash_many": crash_many,
    "drain_told": drain_told,
}
