"""Addresses that change owner, endpoints that change identity, requests that reach the wrong endpoint."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages


async def swap_addresses(stage: stages.Stage) -> None:
    """Endpoints of two services end, and their replacements listen at each other's address."""
    first, second = stage.rng.sample(stage.fleet.shape.services, 2)
    for first_name, second_name in zip(stage.some_of(first.name, 0.2), stage.some_of(second.name, 0.2)):
        addresses = [stage.fleet.endpoints[name].address for name in (first_name, second_name)]
        for name in (first_name, second_name):
            stage.fleet.kill_endpoint(name)
        # They listen at once; their first heartbeat follows a little later.
        stage.new_endpoint(first, addresses[1], stage.rng.uniform(0.0, 1.5))
        stage.new_endpoint(second, addresses[0], stage.rng.uniform(0.0, 1.5))
        await asyncio.sleep(2.0)


async def turncoat(stage: stages.Stage) -> None:
    """An endpoint starts to serve another service without a restart: its connections stay open."""
    fleet = stage.fleet
    first, second = stage.rng.sample(fleet.shape.services, 2)
    name = stage.rng.choice(stage.live_endpoints(first.name))
    # Recently used connections are not verified again.
    await fleet.clients.send_burst(first, 40, 0.1)
    endpoint = fleet.endpoints[name]
    endpoint.heartbeats_enabled = False
    endpoint.name, endpoint.service = f"{name}-turned", second.name
    fleet.endpoints[endpoint.name] = endpoint
    await fleet.clients.send_burst(first, 40, 0.3)
    await asyncio.sleep(1.0)
    fleet.kill_endpoint(name)
    # The checks know the endpoint by its new name from now on; the old name keeps its original service.
    fleet.endpoints[name] = fleet.endpoint(name, first, endpoint.address, 0)
    stage.new_endpoint(first, fleet.world.address())
    await asyncio.sleep(2.0)


async def name_whom_you_mean(stage: stages.Stage) -> None:
    """Check that each request names its intended endpoint, so that no other endpoint executes it."""
    endpoints = stage.fleet.endpoints
    before = {name: e.counts["unnamed"] for name, e in endpoints.items()}
    await asyncio.gather(*(stage.fleet.clients.send_burst(s, 30, 0.5) for s in stage.fleet.shape.services))
    unnamed = sum(e.counts["unnamed"] - before.get(name, 0) for name, e in endpoints.items())
    if unnamed:
        stage.report_failure(f"{unnamed} requests did not name their intended endpoint")


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "swap_addresses": swap_addresses,
    "turncoat": turncoat,
    "name_whom_you_mean": name_whom_you_mean,
}
