"""Beats that come late, out of order, after their endpoint left, or tell more than before."""

import asyncio
import json
import typing

import dykeswitch.simulator.stage as stages

Page = dict[str, typing.Any]

# How many requests come within how many seconds to show that fresh endpoints are sent to.
PRESS: typing.Final = 60
PRESS_S: typing.Final = 0.1


async def _post(stage: stages.Stage, page: Page) -> int:
    """Bring a beat that was under way for long to some registry; the status of its answer."""
    try:
        reply = await stage.fleet.outside.web.request(
            "POST", stage.core().web, "/v1/beat", [], _packed(page), 1.0
        )
    except (OSError, TimeoutError):
        return 0
    return reply.status


def _packed(page: Page) -> bytes:
    return json.dumps(page).encode()


async def late_beats(stage: stages.Stage) -> None:
    """Two beats of five come up to two seconds late, in any order."""
    with stage.with_profile(stage.live_endpoints(), late_share=0.4, late_s=2.0):
        await asyncio.sleep(8.0)


async def beat_after_leaving(stage: stages.Stage) -> None:
    """An endpoint's last beats come after the one by which it left."""
    service = stage.any_service()
    name = stage.rng.choice(stage.live_endpoints(service.name))
    pages = [stage.fleet.endpoints[name].heartbeat_body() for _ in range(4)]
    stage.new_endpoint(service, stage.fleet.world.address())
    leaving = asyncio.create_task(stage.fleet.drain_endpoint(name, 5.0))
    for page in stage.rng.sample(pages, len(pages)):
        await asyncio.sleep(0.8)
        await _post(stage, page)
    await leaving
    await asyncio.sleep(1.0)


async def beat_of_the_dead(stage: stages.Stage) -> None:
    """An endpoint ends, another service has its address, and then its last beats come."""
    one, two = stage.rng.sample(stage.fleet.shape.services, 2)
    name = stage.rng.choice(stage.live_endpoints(one.name))
    endpoint = stage.fleet.endpoints[name]
    pages = [endpoint.heartbeat_body() for _ in range(4)]
    stage.fleet.kill_endpoint(name)
    stage.new_endpoint(two, endpoint.address, 0.2)
    stage.new_endpoint(one, stage.fleet.world.address())
    for page in pages:
        await asyncio.sleep(1.2)
        await _post(stage, page)
    await asyncio.sleep(2.0)


async def tell_more(stage: stages.Stage) -> None:
    """Endpoints whose beats tell slots, count, warming up and draining are known and sent to."""
    service = stage.any_service()
    names = [
        stage.new_endpoint(
            service, stage.fleet.world.address(), tells_more=True, slots=2, queue=4, warm_by=3.0, warm_s=2.0
        )
        for _ in range(3)
    ]
    await asyncio.sleep(4.0)
    # At a light load the endpoints whose pace is known finish first, and rightly get it all:
    # only a press shows whether the fresh ones are known.
    await stage.fleet.clients.send_burst(service, PRESS, PRESS_S)
    for name in names:
        if not stage.fleet.endpoints[name].arrival_count:
            stage.report_failure(f"{name}, whose beats tell more, was sent nothing")


async def beat_overtaken(stage: stages.Stage) -> None:
    """An older beat, which says nothing of draining, comes after the one that does."""
    service = stage.any_service()
    name = stage.new_endpoint(service, stage.fleet.world.address(), tells_more=True)
    await asyncio.sleep(2.5)
    endpoint = stage.fleet.endpoints[name]
    pages = [endpoint.heartbeat_body() for _ in range(3)]
    if await endpoint.drain():
        stage.fleet.left[name] = stage.now
    else:
        stage.report_failure(f"no registry took up that {name} drains")
    # It beats no more by itself: only older words come.
    endpoint.heartbeats_enabled = False
    for page in pages:
        await asyncio.sleep(0.7)
        await _post(stage, page)
    await asyncio.sleep(2.0)
    await stage.fleet.drain_endpoint(name, 0.5)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "late_beats": late_beats,
    "beat_after_leaving": beat_after_leaving,
    "beat_of_the_dead": beat_of_the_dead,
    "tell_more": tell_more,
    "beat_overtaken": beat_overtaken,
}
