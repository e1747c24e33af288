"""Failures of the cores: power loss, replacement, clock jumps, freezes, network splits."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages


async def lose_store_power(stage: stages.Stage) -> None:
    """A core loses power right after a change was confirmed."""
    core = stage.core()
    await stage.change(core)
    core.store.lose_power()
    core.registry.lose_power()
    await stage.fleet.get(stage.core())
    await asyncio.sleep(3.0)
    core.store.restart()
    core.registry.restart()
    await asyncio.sleep(2.0)
    await stage.fleet.get(core)


async def swap_core(stage: stages.Stage) -> None:
    """A core is lost for good and replaced by an empty one at a new address, with the old seeds."""
    fleet = stage.fleet
    old = stage.core()
    await stage.change(old)
    old.store.lose_power()
    old.registry.lose_power()
    await asyncio.sleep(stage.rng.uniform(0.0, 4.0))
    core = stage.new_core(old)
    await stage.wait_until_all_vote()
    await fleet.get(core)


async def swap_two_cores(stage: stages.Stage) -> None:
    """Two cores are replaced, one after the other."""
    await swap_core(stage)
    await swap_core(stage)


async def restart_all_cores(stage: stages.Stage) -> None:
    """All cores lose power at once, right after a change, and come back with their disks."""
    await stage.change()
    for core in stage.fleet.cores:
        core.registry.lose_power()
        core.store.lose_power()
    await asyncio.sleep(2.0)
    for core in stage.fleet.cores:
        core.store.restart()
        core.registry.restart()
    await asyncio.sleep(4.0)
    await stage.fleet.get(stage.core())


async def jump_clock(stage: stages.Stage) -> None:
    """One registry's clock jumps, and it receives an order."""
    core = stage.core()
    core.registry.clock.jump += stage.rng.choice([-86400.0, -3.0, 3.0, 86400.0])
    await asyncio.sleep(1.0)
    await stage.change(core)
    await asyncio.sleep(1.0)


async def cut_one_core(stage: stages.Stage) -> None:
    """One core is cut off from all but one proxy, which restarts and reaches only this core."""
    core = stage.core()
    others = [c for c in stage.fleet.cores if c is not core]
    names = [n for c in others for n in c.names()]
    edge = stage.rng.choice(stage.up_edges())
    rest = [e.node.name for e in stage.fleet.edges if e is not edge]
    stage.links.cut(core.names(), names + rest, both=stage.rng.random() < 0.7)
    # The proxy is down meanwhile, so that it does not gossip the change to the core that is cut off.
    started_at = stage.now
    edge.node.kill()
    await asyncio.sleep(0.5)
    first, second = await asyncio.gather(
        stage.fleet.put(stage.layout(), core, wait=4.0), stage.fleet.put(stage.layout(), others[0])
    )
    stage.note(f"the cut-off core responded {first.status}, the others {second.status}")
    # A proxy that restarts now may reach only the core that lags.
    stage.links.cut([edge.node.name], names + stage.edge_names())
    edge.node.restart()
    stage.mark_gone([edge], started_at)
    await asyncio.sleep(3.0)
    await stage.fleet.get(core, wait=3.0)
    stage.links.heal()
    await asyncio.sleep(2.0)
    await stage.fleet.get(core)


async def split_all_cores(stage: stages.Stage) -> None:
    """No core reaches another for a while."""
    names = [c.names() for c in stage.fleet.cores]
    for first in names:
        for second in names:
            if first is not second:
                stage.links.cut(first, second)
    await asyncio.sleep(0.5)
    await stage.fleet.put(stage.layout(), stage.core(), wait=3.0)
    await asyncio.sleep(3.0)
    stage.links.heal()
    await asyncio.sleep(2.0)
    await stage.fleet.get(stage.core())


async def freeze_registry(stage: stages.Stage) -> None:
    """A registry freezes with probe results pending and resumes after its probes were handed over."""
    core = stage.core()
    core.registry.freeze()
    await asyncio.sleep(6.0)
    core.registry.thaw()
    await asyncio.sleep(2.0)


async def freeze_store(stage: stages.Stage) -> None:
    """A store is frozen while a change is made."""
    core = stage.core()
    core.store.freeze()
    await stage.change()
    await asyncio.sleep(2.0)
    core.store.thaw()
    await asyncio.sleep(1.0)


async def swap_while_split(stage: stages.Stage) -> None:
    """A core is replaced while the cores are split."""
    fleet = stage.fleet
    old = stage.core()
    old.store.lose_power()
    old.registry.lose_power()
    core = stage.new_core(old)
    await asyncio.sleep(stage.rng.uniform(2.5, 5.0))
    isolated = stage.rng.choice([c for c in fleet.cores if c is not core])
    stage.links.cut(isolated.names(), [n for c in fleet.cores if c is not isolated for n in c.names()])
    await asyncio.sleep(stage.rng.uniform(0.2, 3.0))
    await fleet.put(stage.layout(), core, wait=3.0)
    stage.links.heal()
    await stage.wait_until_all_vote()
    await fleet.get(isolated)


async def swap_every_core(stage: stages.Stage) -> None:
    """All cores are replaced one by one; then proxies that have only the old seeds restart."""
    for core in list(stage.fleet.cores):
        core.store.lose_power()
        core.registry.lose_power()
        await asyncio.sleep(1.0)
        # One remaining old seed is enough; only the last new core is given the current members as seeds.
        old_seeds = [
            c for c in stage.fleet.cores if c is not core and not c.registry.name.startswith("core-new")
        ]
        stage.new_core(core, () if old_seeds else tuple(c.member for c in stage.fleet.cores))
        await stage.wait_until_all_vote()
    group = stage.rng.sample(stage.up_edges(), 3)
    started_at = stage.now
    for edge in group:
        edge.node.kill()
    # Long enough for every member view to forget them.
    await asyncio.sleep(15.0)
    for edge in group:
        edge.node.restart()
    stage.mark_gone(group, started_at)
    try:
        took = await stage.fleet.until(lambda: all(_ready(e) for e in group), 15, "ready with old seeds")
        stage.note(f"proxies that had only old seeds were ready after {took:.2f} s")
    except TimeoutError:
        stage.report_failure("a proxy whose seeds are all gone was not ready within 15 s of its restart")


def _ready(edge: typing.Any) -> bool:
    daemon = edge.node.daemon
    return daemon is not None and daemon.ready() is None


async def swap_while_two_restart(stage: stages.Stage) -> None:
    """A core is being replaced while the other two lose power and come back."""
    fleet = stage.fleet
    old = stage.core()
    await stage.change(old)
    old.store.lose_power()
    old.registry.lose_power()
    core = stage.new_core(old)
    others = [c for c in fleet.cores if c is not core]
    await asyncio.sleep(stage.rng.uniform(2.5, 5.0))
    for other in others:
        other.store.lose_power()
        other.registry.lose_power()
        await asyncio.sleep(stage.rng.uniform(0.0, 0.5))
    await asyncio.sleep(1.0)
    for other in others:
        other.store.restart()
        other.registry.restart()
    await stage.wait_until_all_vote()
    await fleet.get(core)


async def stop_cores_in_turn(stage: stages.Stage) -> None:
    """Graceful stops of every registry and store, one after another, during layout changes."""
    for core in list(stage.fleet.cores):
        for node in (core.registry, core.store):
            changes = asyncio.create_task(stage.change())
            stage.note(f"{node.name} stopped in {await stage.stop(node):.2f} s")
            await changes
            node.restart()
            await asyncio.sleep(1.5)
    await stage.fleet.get(stage.core())


async def jump_all_clocks(stage: stages.Stage) -> None:
    """Clocks of every kind of machine jump by seconds and by years, in both directions."""
    nodes = [stage.core().registry, stage.core().store, *(e.node for e in stage.up_edges()[:3])]
    for jump in (-0.7, 2.5, -3.0e8, 3.0e8):
        for node in nodes:
            node.clock.jump += jump * stage.rng.choice([-1, 1])
        await asyncio.sleep(0.7)
        await stage.change()
    await asyncio.sleep(1.0)
    for node in nodes:
        node.clock.jump = 0.0


async def hand_over_duty(stage: stages.Stage) -> None:
    """A registry freezes with a probe result pending, until other registries own its assigned slots."""
    core = stage.core()
    node = core.registry
    owned = {n for n, (o, _) in node.daemon.duties.owners().items() if o.startswith(f"{core.registry.name}/")}
    failing = stage.rng.choice(stage.live_endpoints())
    plan = stage.fleet.endpoints[failing].plan
    plan.fault, plan.probe_too = "status_502", True
    node.fault_points.armed[21] = node.freeze
    await stage.fleet.until(lambda: bool(node.host.frozen), 10, "a pending probe result")
    plan.fault, plan.probe_too = "none", False
    others = [c.registry for c in stage.fleet.cores if c is not core]

    def moved() -> bool:
        owners = others[0].daemon.duties.owners()
        return all(not owners[n][0].startswith(f"{node.name}/") for n in owned if n in owners)

    try:
        await stage.fleet.until(moved, 12, "the probe slots handed over")
    except TimeoutError:
        stage.report_failure("a frozen registry's probe slots were not taken over")
    await asyncio.sleep(1.0)
    node.thaw()
    # The pending result is stale by now: no proxy may accept it.
    await asyncio.sleep(0.5)
    accepting = [
        e.node.name
        for e in stage.up_edges()
        if (mark := e.node.daemon.marks.mark_of(failing)) is not None and mark.fields["by"] == node.name
    ]
    if accepting:
        stage.report_failure(f"{accepting} accepted a stale probe result of a registry that had been frozen")
    await asyncio.sleep(2.0)


async def lose_lenders(stage: stages.Stage) -> None:
    """While a service fails, registries that lend retry tokens and proxies are killed, frozen and cut off."""
    fleet = stage.fleet
    # The busiest service with at most half of all requests; otherwise most of the day would be excused.
    service = max((s for s in fleet.shape.services if s.rate * 2 <= fleet.shape.rate), key=lambda s: s.rate)
    started_at = stage.now
    names = stage.live_endpoints(service.name)
    for name in names:
        plan = fleet.endpoints[name].plan
        plan.fault, plan.share = "promise", 1.0
    await asyncio.sleep(4.0)
    # All lenders and half of the borrowers are down for a second.
    for core in fleet.cores:
        core.registry.kill()
    group = stage.rng.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    for edge in group:
        edge.node.kill()
    await asyncio.sleep(1.0)
    for node in [c.registry for c in fleet.cores] + [e.node for e in group]:
        node.restart()
    stage.mark_gone(group, started_at + 4.0)
    await asyncio.sleep(10.0)
    # One lender is frozen until others have taken over its part, and resumes with its old ledger.
    frozen = stage.core().registry
    frozen.freeze()
    await asyncio.sleep(6.0)
    frozen.thaw()
    # One lender has no majority, and some borrowers reach only this one.
    core = stage.core()
    others = [n for c in fleet.cores if c is not core for n in c.names()]
    borrowers = [e.node.name for e in stage.up_edges()[:3]]
    stage.links.cut(core.names(), others)
    stage.links.cut(borrowers, others)
    await asyncio.sleep(6.0)
    stage.links.heal()
    await asyncio.sleep(2.0)
    for name in names:
        fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, started_at, stage.now))


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "lose_store_power": lose_store_power,
    "swap_core": swap_core,
    "swap_two_cores": swap_two_cores,
    "swap_every_core": swap_every_core,
    "swap_while_split": swap_while_split,
    "swap_while_two_restart": swap_while_two_restart,
    "restart_all_cores": restart_all_cores,
    "stop_cores_in_turn": stop_cores_in_turn,
    "jump_clock": jump_clock,
    "jump_all_clocks": jump_all_clocks,
    "cut_one_core": cut_one_core,
    "split_all_cores": split_all_cores,
    "freeze_registry": freeze_registry,
    "freeze_store": freeze_store,
    "hand_over_duty": hand_over_duty,
    "lose_lenders": lose_lenders,
}
