"""What operators do: bursts, races, mistakes, pauses."""

import asyncio
import json
import typing

import dykeswitch.register.proposer as proposers
import dykeswitch.simulator.faults.cores as cores
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.stage as stages


async def burst_layouts(stage: stages.Stage) -> None:
    """Several changes, one right after the other."""
    for _ in range(6):
        await stage.change()
    await stage.fleet.get(stage.core())


async def race_operators(stage: stages.Stage) -> None:
    """Two at once, conditional and not, good and broken."""
    got = await stage.fleet.get(stage.core())
    match = got.version if got.status == 200 else None
    await asyncio.gather(
        stage.fleet.put(stage.layout(), stage.core(), match),
        stage.fleet.put(stage.layout(), stage.core(), match),
    )
    await asyncio.gather(stage.change(), stage.change())
    broken = stage.broken()
    put = await stage.fleet.put(broken, stage.core())
    stage.story.broken_bodies.add(put.body)
    await stage.fleet.get(stage.core())


async def plan_pause(stage: stages.Stage) -> None:
    """A planned pause stands through probes, a clock that jumps, and all cores restarting."""
    name = stage.rng.choice(stage.live_endpoints())
    page = await stage.fleet.query(f'pause {name} for 14s because "new disk"', stage.core())
    begun = stage.now
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was not taken")
        return
    # What is left of the fourteen seconds, less a little for the road.
    stage.story.paused.append(histories.Span(name, begun, begun + 13.0))
    await asyncio.sleep(2.0)
    await cores.jump_clock(stage)
    await cores.restart_all_cores(stage)
    for core in stage.fleet.cores:
        core.registry.clock.jump = 0.0
    page = await stage.fleet.query("show pauses", stage.core())
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was lost by the restart of all cores")
    await asyncio.sleep(6.0)
    still = [e.node.name for e in stage.up_edges() if e.node.daemon.paused(name)]
    if still:
        stage.report_failure(f"{still} still held the pause after its end")


async def large_layout(stage: stages.Stage) -> None:
    """A layout of thousands of rules, then a small one."""
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 200}", "service": service} for n in range(3000)]
    await stage.fleet.put(doc, stage.core())
    await asyncio.sleep(2.5)
    await stage.change()


async def pause_by_wrong_clock(stage: stages.Stage) -> None:
    """A pause is planned by a registry whose clock is wrong and stays so."""
    core = stage.core()
    core.registry.clock.jump = stage.rng.choice([-3.0e8, -90.0, 90.0, 3.0e8])
    await asyncio.sleep(1.5)
    name = stage.rng.choice(stage.live_endpoints())
    page = await stage.fleet.query(f'pause {name} for 6s because "new disk"', core)
    begun = stage.now
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was not taken")
        return
    stage.story.paused.append(histories.Span(name, begun, begun + 5.0))
    await asyncio.sleep(8.5)
    still = [e.node.name for e in stage.up_edges() if e.node.daemon.paused(name)]
    if still:
        stage.report_failure(f"{still} still held the pause after its end")
    core.registry.clock.jump = 0.0


async def burst_by_two(stage: stages.Stage) -> None:
    """Two operators send conditional bursts by any registry, a broken one between good ones."""

    async def one() -> None:
        for turn in range(5):
            got = await stage.fleet.get(stage.core())
            match = got.version if got.status == 200 else None
            put = await stage.fleet.put(stage.layout(), stage.core(), match)
            if put.status in (0, 504):
                # Unknown: the same again settles it.
                await _again(stage, put)
            if turn % 2:
                bad = await stage.fleet.put(stage.broken(), stage.core(), match)
                stage.story.broken_bodies.add(bad.body)

    await asyncio.gather(one(), one())
    await stage.fleet.get(stage.core())


async def _again(stage: stages.Stage, put: observations.LayoutPut) -> observations.LayoutPut:
    """The very same layout once more, by another registry if there is one."""
    doc = json.loads(put.body)
    for _ in range(10):
        more = await stage.fleet.put(doc, stage.core())
        if more.status not in (0, 503, 504):
            return more
        await asyncio.sleep(0.3)
    stage.report_failure("a repeat did not settle an unknown outcome")
    return put


async def lose_the_reply(stage: stages.Stage) -> None:
    """The answer to a change is lost on its way; the operator repeats the change."""
    core = stage.core()
    doc = stage.layout()
    asking = asyncio.create_task(stage.fleet.put(doc, core, wait=1.5))
    await asyncio.sleep(0.004)
    stage.links.cut([core.registry.name], ["outside"], both=False)
    put = await asking
    stage.links.heal()
    more = await _again(stage, put)
    got = await stage.fleet.get(stage.core())
    if more.status == 200 and got.status == 200 and got.version != more.version:
        stage.report_failure(f"a repeat was told {more.version}, and {got.version} stands")
    await asyncio.sleep(1.0)


async def kill_proposer(stage: stages.Stage) -> None:
    """A registry dies at each point between the phases of a change, one after another."""
    for point in (
        proposers.POINT_BEFORE_PREPARE,
        proposers.POINT_BEFORE_ACCEPT,
        proposers.POINT_AFTER_ACCEPT,
    ):
        core = stage.core()
        core.registry.fault_points.armed[point] = core.registry.kill
        put = await stage.fleet.put(stage.layout(), core, wait=1.5)
        core.registry.fault_points.armed.clear()
        await stage.fleet.get(stage.core())
        core.registry.restart()
        await _again(stage, put)
        await asyncio.sleep(1.0)
    await stage.fleet.get(stage.core())


async def large_and_small(stage: stages.Stage) -> None:
    """A large layout races small ones."""
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 200}", "service": service} for n in range(2000)]
    await asyncio.gather(stage.fleet.put(doc, stage.core()), *(stage.change() for _ in range(3)))
    await stage.fleet.get(stage.core())
    await asyncio.sleep(2.0)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "burst_layouts": burst_layouts,
    "burst_by_two": burst_by_two,
    "race_operators": race_operators,
    "lose_the_reply": lose_the_reply,
    "kill_proposer": kill_proposer,
    "large_layout": large_layout,
    "large_and_small": large_and_small,
    "plan_pause": plan_pause,
    "pause_by_wrong_clock": pause_by_wrong_clock,
}
