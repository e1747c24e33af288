"""A small simulated fleet as the target of malformed input, and the check that it still works."""

import asyncio
import pathlib
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.standin.shape as shapes

SHAPE: typing.Final = shapes.Shape(
    "fuzzed", 1, 3, ("z1",), (shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.01),)
)
SEED: typing.Final = 5
SETTLE_S: typing.Final = 1.0


async def started(scratch: pathlib.Path) -> fleets.SimFleet:
    """Start a fleet and return it when it serves requests."""
    fleet = fleets.SimFleet(SHAPE, SEED, scratch)
    await fleet.start()
    return fleet


async def check_unharmed(fleet: fleets.SimFleet, version: int) -> None:
    """Check that all programs run, the layout has the given version, and requests are answered."""
    await asyncio.sleep(SETTLE_S)
    for node in fleet.world.nodes.values():
        assert not node.crash, node.crash
        assert node.up, node.name
    layout = await fleet.get(fleet.cores[0])
    assert (layout.status, layout.version) == (200, version)
    request = await fleet.clients.send_request(SHAPE.services[0], fleet.edges[0].web)
    assert request.status == 200
