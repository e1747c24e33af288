"""Failures of endpoints: replaced, killed, address handed over, misbehaving."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages


async def roll_endpoints(stage: stages.Stage) -> None:
    """A rolling release: new endpoints start and old ones leave, one by one."""
    service = stage.rng.choice(stage.fleet.shape.services)
    for name in stage.live_endpoints(service.name)[:3]:
        stage.new_endpoint(service, stage.fleet.world.address())
        await asyncio.sleep(1.0)
        await stage.fleet.drain_endpoint(name, 2.5)


async def kill_endpoint(stage: stages.Stage) -> None:
    """An endpoint is killed and replaced two seconds later."""
    name = stage.rng.choice(stage.live_endpoints())
    old = stage.fleet.endpoints[name]
    stage.fleet.kill_endpoint(name)
    await asyncio.sleep(2.0)
    stage.new_endpoint(stage.shape_of(old.service), stage.fleet.world.address())
    await asyncio.sleep(2.0)


async def hand_over_address(stage: stages.Stage) -> None:
    """An endpoint ends and its address goes to another service while connections to it are still open."""
    name = stage.rng.choice(stage.live_endpoints())
    old = stage.fleet.endpoints[name]
    other = stage.rng.choice([s for s in stage.fleet.shape.services if s.name != old.service])
    stage.fleet.kill_endpoint(name)
    # It may listen well before its first heartbeat says which endpoint it is.
    stage.new_endpoint(other, old.address, stage.rng.uniform(0.0, 2.0))
    await asyncio.sleep(0.5)
    stage.new_endpoint(stage.shape_of(old.service), stage.fleet.world.address())
    await asyncio.sleep(4.0)


def misbehave(fault: str, count: int = 1, probe_too: bool = False, share: float = 0.7) -> stages.Fault:
    """Make `count` endpoints of a service fail in one way for some seconds."""

    async def act(stage: stages.Stage) -> None:
        service = stage.rng.choice(stage.fleet.shape.services)
        names = stage.rng.sample(stage.live_endpoints(service.name), count)
        for name in names:
            plan = stage.fleet.endpoints[name].plan
            plan.fault, plan.share, plan.probe_too = fault, share, probe_too
        await asyncio.sleep(5.0)
        for name in names:
            stage.fleet.endpoints[name].plan.fault = "none"

    return act


async def two_faced(stage: stages.Stage) -> None:
    """One endpoint passes probes and fails requests, another the reverse; then they swap."""
    service = stage.rng.choice(stage.fleet.shape.services)
    names = stage.rng.sample(stage.live_endpoints(service.name), 2)
    for round_number in range(4):
        for n, name in enumerate(names):
            plan = stage.fleet.endpoints[name].plan
            plan.fault, plan.share = "status_502", 1.0
            plan.probe_too = plan.probe_only = (n + round_number) % 2 == 0
        await asyncio.sleep(3.0)
    for name in names:
        plan = stage.fleet.endpoints[name].plan
        plan.fault, plan.probe_too, plan.probe_only = "none", False, False


async def fail_service(stage: stages.Stage) -> None:
    """A whole service fails: retries do not help and must stay bounded."""
    service = stage.rng.choice(stage.fleet.shape.services)
    names = stage.live_endpoints(service.name)
    started_at = stage.now
    for name in names:
        plan = stage.fleet.endpoints[name].plan
        plan.fault, plan.share = "status_502", 1.0
    await asyncio.sleep(8.0)
    for name in names:
        stage.fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, started_at, stage.now))


async def press_budget(stage: stages.Stage) -> None:
    """A service fails intermittently while proxies are killed and restarted."""
    service = stage.rng.choice(stage.fleet.shape.services)
    started_at = stage.now
    for share, duration_s in ((0.15, 5.0), (1.0, 4.0), (0.0, 3.0), (1.0, 4.0)):
        for name in stage.live_endpoints(service.name):
            plan = stage.fleet.endpoints[name].plan
            plan.fault, plan.share = "promise", share
        edge = stage.edge()
        edge.node.kill()
        killed_at = stage.now
        await asyncio.sleep(duration_s / 2)
        edge.node.restart()
        stage.mark_gone([edge], killed_at)
        await asyncio.sleep(duration_s / 2)
    for name in stage.live_endpoints(service.name):
        stage.fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, started_at, stage.now))


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "roll_endpoints": roll_endpoints,
    "kill_endpoint": kill_endpoint,
    "hand_over_address": hand_over_address,
    "lose_replies": misbehave("lose", 2),
    "hang": misbehave("hang"),
    "hang_probes": misbehave("hang", 1, True),
    "garbage": misbehave("garbage", 2),
    "cut_bodies": misbehave("cut", 2),
    "wrong_id": misbehave("wrong_id", 1, True),
    "wrong_id_reply": misbehave("wrong_id", 1),
    "status_502": misbehave("status_502", 2),
    "promise": misbehave("promise", 2),
    "run_then_503": misbehave("run_then_503", 2),
    "slow": misbehave("slow", 1),
    "two_faced": two_faced,
    "fail_service": fail_service,
    "press_budget": press_budget,
}
