"""Heartbeats that arrive late, out of order or after their endpoint left, or that have optional fields."""

import asyncio
import json
import typing

import dykeswitch.simulator.stage as stages

JsonObject = dict[str, typing.Any]

# Size and duration of the burst of requests which shows that new endpoints receive traffic.
BURST_REQUESTS: typing.Final = 60
BURST_DURATION_S: typing.Final = 0.1


async def _post_heartbeat(stage: stages.Stage, body: JsonObject) -> int:
    """Deliver a delayed heartbeat to a registry; returns the HTTP status, or 0 without a response."""
    try:
        response = await stage.fleet.outside.web.request(
            "POST", stage.core().web, "/v1/beat", [], _encode(body), 1.0
        )
    except (OSError, TimeoutError):
        return 0
    return response.status


def _encode(body: JsonObject) -> bytes:
    return json.dumps(body).encode()


async def late_beats(stage: stages.Stage) -> None:
    """Two of five heartbeats arrive up to two seconds late, in any order."""
    with stage.with_profile(stage.live_endpoints(), late_share=0.4, late_s=2.0):
        await asyncio.sleep(8.0)


async def beat_after_leaving(stage: stages.Stage) -> None:
    """An endpoint's last heartbeats arrive after the one that announced its departure."""
    service = stage.any_service()
    name = stage.rng.choice(stage.live_endpoints(service.name))
    bodies = [stage.fleet.endpoints[name].heartbeat_body() for _ in range(4)]
    stage.new_endpoint(service, stage.fleet.world.address())
    leaving = asyncio.create_task(stage.fleet.drain_endpoint(name, 5.0))
    for body in stage.rng.sample(bodies, len(bodies)):
        await asyncio.sleep(0.8)
        await _post_heartbeat(stage, body)
    await leaving
    await asyncio.sleep(1.0)


async def beat_of_the_dead(stage: stages.Stage) -> None:
    """An endpoint's last heartbeats arrive after it ended and another service took over its address."""
    first, second = stage.rng.sample(stage.fleet.shape.services, 2)
    name = stage.rng.choice(stage.live_endpoints(first.name))
    endpoint = stage.fleet.endpoints[name]
    bodies = [endpoint.heartbeat_body() for _ in range(4)]
    stage.fleet.kill_endpoint(name)
    stage.new_endpoint(second, endpoint.address, 0.2)
    stage.new_endpoint(first, stage.fleet.world.address())
    for body in bodies:
        await asyncio.sleep(1.2)
        await _post_heartbeat(stage, body)
    await asyncio.sleep(2.0)


async def tell_more(stage: stages.Stage) -> None:
    """Endpoints whose heartbeats report slots, count, warm-up and draining are known and receive traffic."""
    service = stage.any_service()
    names = [
        stage.new_endpoint(
            service, stage.fleet.world.address(), tells_more=True, slots=2, queue=4, warm_by=3.0, warm_s=2.0
        )
        for _ in range(3)
    ]
    await asyncio.sleep(4.0)
    # Under a light load, endpoints whose speed is known are expected to finish first and rightly get
    # all requests. Only a burst shows whether the new endpoints are known.
    await stage.fleet.clients.send_burst(service, BURST_REQUESTS, BURST_DURATION_S)
    for name in names:
        if not stage.fleet.endpoints[name].arrival_count:
            stage.report_failure(f"{name}, whose heartbeats have optional fields, received no request")


async def beat_overtaken(stage: stages.Stage) -> None:
    """Older heartbeats without the draining flag arrive after the one that has it."""
    service = stage.any_service()
    name = stage.new_endpoint(service, stage.fleet.world.address(), tells_more=True)
    await asyncio.sleep(2.5)
    endpoint = stage.fleet.endpoints[name]
    bodies = [endpoint.heartbeat_body() for _ in range(3)]
    if await endpoint.drain():
        stage.fleet.left[name] = stage.now
    else:
        stage.report_failure(f"no registry accepted that {name} is draining")
    # It sends no further heartbeats of its own, so only the older ones arrive.
    endpoint.heartbeats_enabled = False
    for body in bodies:
        await asyncio.sleep(0.7)
        await _post_heartbeat(stage, body)
    await asyncio.sleep(2.0)
    await stage.fleet.drain_endpoint(name, 0.5)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "late_beats": late_beats,
    "beat_after_leaving": beat_after_leaving,
    "beat_of_the_dead": beat_of_the_dead,
    "tell_more": tell_more,
    "beat_overtaken": beat_overtaken,
}
