"""Addresses that change hands, endpoints that turn into others, requests that find another."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages


async def swap_addresses(stage: stages.Stage) -> None:
    """Endpoints of two services end, and each other's address is theirs when they come back."""
    one, two = stage.rng.sample(stage.fleet.shape.services, 2)
    for near, far in zip(stage.some_of(one.name, 0.2), stage.some_of(two.name, 0.2)):
        addresses = [stage.fleet.endpoints[name].address for name in (near, far)]
        for name in (near, far):
            stage.fleet.kill_endpoint(name)
        # They listen at once; who they are is heard a little later.
        stage.new_endpoint(one, addresses[1], stage.rng.uniform(0.0, 1.5))
        stage.new_endpoint(two, addresses[0], stage.rng.uniform(0.0, 1.5))
        await asyncio.sleep(2.0)


async def turncoat(stage: stages.Stage) -> None:
    """An endpoint begins to serve as another service without ending: its pipes stay open."""
    fleet = stage.fleet
    one, two = stage.rng.sample(fleet.shape.services, 2)
    name = stage.rng.choice(stage.live_endpoints(one.name))
    # Pipes that were used just now need no fresh proof.
    await fleet.clients.send_burst(one, 40, 0.1)
    endpoint = fleet.endpoints[name]
    endpoint.heartbeats_enabled = False
    endpoint.name, endpoint.service = f"{name}-turned", two.name
    fleet.endpoints[endpoint.name] = endpoint
    await fleet.clients.send_burst(one, 40, 0.3)
    await asyncio.sleep(1.0)
    fleet.kill_endpoint(name)
    # From now on it is known by what it turned into, and its first name by what it was.
    fleet.endpoints[name] = fleet.endpoint(name, one, endpoint.address, 0)
    stage.new_endpoint(one, fleet.world.address())
    await asyncio.sleep(2.0)


async def name_whom_you_mean(stage: stages.Stage) -> None:
    """Each request names the endpoint that it is meant for: then no other runs it."""
    endpoints = stage.fleet.endpoints
    before = {name: e.counts["unnamed"] for name, e in endpoints.items()}
    await asyncio.gather(*(stage.fleet.clients.send_burst(s, 30, 0.5) for s in stage.fleet.shape.services))
    unnamed = sum(e.counts["unnamed"] - before.get(name, 0) for name, e in endpoints.items())
    if unnamed:
        stage.report_failure(f"{unnamed} requests did not name the endpoint that they were meant for")


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "swap_addresses": swap_addresses,
    "turncoat": turncoat,
    "name_whom_you_mean": name_whom_you_mean,
}
