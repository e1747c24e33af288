"""Actions of operators: bursts of changes, races, invalid layouts, planned pauses."""

import asyncio
import json
import typing

import dykeswitch.register.proposer as proposers
import dykeswitch.simulator.faults.cores as cores
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.stage as stages


async def burst_layouts(stage: stages.Stage) -> None:
    """Several changes in quick succession."""
    for _ in range(6):
        await stage.change()
    await stage.fleet.get(stage.core())


async def race_operators(stage: stages.Stage) -> None:
    """Two concurrent changes, first conditional, then unconditional, then an invalid layout."""
    current = await stage.fleet.get(stage.core())
    match = current.version if current.status == 200 else None
    await asyncio.gather(
        stage.fleet.put(stage.layout(), stage.core(), match),
        stage.fleet.put(stage.layout(), stage.core(), match),
    )
    await asyncio.gather(stage.change(), stage.change())
    invalid = stage.broken()
    put = await stage.fleet.put(invalid, stage.core())
    stage.story.broken_bodies.add(put.body)
    await stage.fleet.get(stage.core())


async def plan_pause(stage: stages.Stage) -> None:
    """A planned pause survives probes, a clock jump and the restart of all cores."""
    name = stage.rng.choice(stage.live_endpoints())
    page = await stage.fleet.query(f'pause {name} for 14s because "new disk"', stage.core())
    started_at = stage.now
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was not accepted")
        return
    # The fourteen seconds of the pause, less a second for delays.
    stage.story.paused.append(histories.Span(name, started_at, started_at + 13.0))
    await asyncio.sleep(2.0)
    await cores.jump_clock(stage)
    await cores.restart_all_cores(stage)
    for core in stage.fleet.cores:
        core.registry.clock.jump = 0.0
    page = await stage.fleet.query("show pauses", stage.core())
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was lost by the restart of all cores")
    await asyncio.sleep(6.0)
    still_pausing = [e.node.name for e in stage.up_edges() if e.node.daemon.paused(name)]
    if still_pausing:
        stage.report_failure(f"{still_pausing} still applied the pause after its end")


async def large_layout(stage: stages.Stage) -> None:
    """A layout of thousands of rules, then a small one."""
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 200}", "service": service} for n in range(3000)]
    await stage.fleet.put(doc, stage.core())
    await asyncio.sleep(2.5)
    await stage.change()


async def pause_by_wrong_clock(stage: stages.Stage) -> None:
    """A pause is planned through a registry whose clock is wrong and stays wrong."""
    core = stage.core()
    core.registry.clock.jump = stage.rng.choice([-3.0e8, -90.0, 90.0, 3.0e8])
    await asyncio.sleep(1.5)
    name = stage.rng.choice(stage.live_endpoints())
    page = await stage.fleet.query(f'pause {name} for 6s because "new disk"', core)
    started_at = stage.now
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.report_failure("a planned pause was not accepted")
        return
    stage.story.paused.append(histories.Span(name, started_at, started_at + 5.0))
    await asyncio.sleep(8.5)
    still_pausing = [e.node.name for e in stage.up_edges() if e.node.daemon.paused(name)]
    if still_pausing:
        stage.report_failure(f"{still_pausing} still applied the pause after its end")
    core.registry.clock.jump = 0.0


async def burst_by_two(stage: stages.Stage) -> None:
    """Two operators send bursts of conditional changes to any registry, with invalid layouts among them."""

    async def send_burst() -> None:
        for round_number in range(5):
            current = await stage.fleet.get(stage.core())
            match = current.version if current.status == 200 else None
            put = await stage.fleet.put(stage.layout(), stage.core(), match)
            if put.status in (0, 504):
                # Outcome unknown: repeating the same change settles it.
                await _repeat(stage, put)
            if round_number % 2:
                invalid = await stage.fleet.put(stage.broken(), stage.core(), match)
                stage.story.broken_bodies.add(invalid.body)

    await asyncio.gather(send_burst(), send_burst())
    await stage.fleet.get(stage.core())


async def _repeat(stage: stages.Stage, put: observations.LayoutPut) -> observations.LayoutPut:
    """Repeat exactly the same layout, through any registry."""
    doc = json.loads(put.body)
    for _ in range(10):
        repeated = await stage.fleet.put(doc, stage.core())
        if repeated.status not in (0, 503, 504):
            return repeated
        await asyncio.sleep(0.3)
    stage.report_failure("repeating a change did not settle its unknown outcome")
    return put


async def lose_the_reply(stage: stages.Stage) -> None:
    """The response to a change is lost; the operator repeats the change."""
    core = stage.core()
    doc = stage.layout()
    sending = asyncio.create_task(stage.fleet.put(doc, core, wait=1.5))
    await asyncio.sleep(0.004)
    stage.links.cut([core.registry.name], ["outside"], both=False)
    put = await sending
    stage.links.heal()
    repeated = await _repeat(stage, put)
    current = await stage.fleet.get(stage.core())
    if repeated.status == 200 and current.status == 200 and current.version != repeated.version:
        stage.report_failure(
            f"a repeated change got version {repeated.version}, but {current.version} is in force"
        )
    await asyncio.sleep(1.0)


async def kill_proposer(stage: stages.Stage) -> None:
    """A registry is killed at each point between the phases of a change, one after another."""
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
        await _repeat(stage, put)
        await asyncio.sleep(1.0)
    await stage.fleet.get(stage.core())


async def large_and_small(stage: stages.Stage) -> None:
    """A large layout is sent concurrently with small ones."""
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
