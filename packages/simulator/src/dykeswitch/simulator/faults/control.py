"""The control plane's worst days: long cuts, racing operators, second losses, many changes, late answers."""

import asyncio
import typing

import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.operator as operators
import dykeswitch.simulator.stage as stages

# How long a core is cut off, and how soon after that it must answer with what stands.
CUT_S: typing.Final = 20.0
WHOLE_S: typing.Final = 3.0
# How long a core is cut off together with proxies that know it as a seed, and how long a disk stalls.
JOINT_CUT_S: typing.Final = 6.0
STALL_S: typing.Final = 8.0
# How far away stores are that are to hear late of a change; well within a call.
FAR_S: typing.Final = 0.2
# Orders of the day of many changes, a part of which comes while a core is down.
CHANGES: typing.Final = 210
# After this long no call of a change is still under way to a machine that is down.
LAST_CALL_S: typing.Final = 1.5
# How many generations a store may keep of one record once its writes are over.
GENERATIONS_MOST: typing.Final = 1
# How endpoints fail besides, while their answers come late.
LATE_FAULTS: typing.Final = ("surplus_late", "lose_reset", "none")


async def _current(stage: stages.Stage, core: machines.Core) -> None:
    """Wait until a core's registry and store hold what was acknowledged last; late is a flaw."""
    due = max(p.version for p in stage.fleet.puts if p.status == 200)
    begun = stage.now

    while stage.now - begun < WHOLE_S:
        if min(await _stored_version(core), _held_version(core)) >= due:
            stage.note(f"{core.registry.name} current {stage.now - begun:.2f} s after it was back")
            return
        await asyncio.sleep(0.02)
    stage.report_failure(
        f"{core.registry.name} did not hold version {due} within {WHOLE_S:.0f} s of {begun:.2f}"
    )


def _held_version(core: machines.Core) -> int:
    """The layout that a core's registry hands out to proxies."""
    daemon = core.registry.daemon
    return 0 if daemon is None else int(daemon.documents.version(documents.LAYOUT))


async def _stored_version(core: machines.Core) -> int:
    """The layout that a core's store holds, as it would tell whoever reads a majority."""
    daemon = core.store.daemon
    if daemon is None or not daemon.voter.disk_id:
        return 0
    voter = daemon.voter
    ask = {"key": documents.LAYOUT, "disk": voter.disk_id, "epoch": voter.members.epoch}
    result = await voter.kinds()["read"](ask)
    return int(result.value["version"]) if isinstance(result, outcome.Success) else 0


async def _orders_until(stage: stages.Stage, operator: operators.Operator, end: float) -> None:
    """One order after another, each of which must be settled."""
    while stage.now < end:
        await operator.change()
        await asyncio.sleep(stage.rng.uniform(0.5, 1.5))


async def _reads_until(stage: stages.Stage, core: machines.Core, end: float) -> None:
    """Reads from one core, which may refuse to answer but may not answer with what is old."""
    while stage.now < end:
        await stage.fleet.get(core, 1.0)
        await asyncio.sleep(0.5)


async def _settled(stage: stages.Stage, *work: typing.Awaitable[None]) -> None:
    """Do all of it; an order or read that is not settled in time is a flaw."""
    try:
        await asyncio.gather(*work)
    except operators.UnsettledError as flaw:
        stage.report_failure(str(flaw))


Ways = typing.Literal["both", "in", "out"]


def cut_core_long(ways: Ways) -> stages.Fault:
    """One core is cut off from the others for twenty seconds; operators and proxies still reach it."""

    async def act(stage: stages.Stage) -> None:
        core = stage.core()
        others = [n for c in stage.fleet.cores if c is not core for n in c.names()]
        if ways in ("both", "out"):
            stage.links.cut(core.names(), others, both=False)
        if ways in ("both", "in"):
            stage.links.cut(others, core.names(), both=False)
        end = stage.now + CUT_S
        operator = stage.operator(lost_answers=0.1)
        edge = stage.edge()
        begun = stage.now

        async def restart_edge() -> None:
            # A proxy that starts amid the cut and reaches the cut-off core alone.
            await asyncio.sleep(CUT_S / 3)
            edge.node.kill()
            stage.links.cut([edge.node.name], others + stage.edge_names())
            # Down for as long as the platform takes to send its callers elsewhere.
            await asyncio.sleep(stages.PLATFORM_S)
            edge.node.restart()

        await _settled(
            stage,
            _orders_until(stage, operator, end),
            _reads_until(stage, core, end),
            restart_edge(),
        )
        stage.links.heal()
        stage.mark_gone([edge], begun)
        await _current(stage, core)
        await stage.fleet.get(core)

    return act


async def restart_beside_cut_seed(stage: stages.Stage) -> None:
    """Proxies and a seed of theirs start anew while they are cut off from all others together."""
    core = stage.core()
    herd = stage.rng.sample(stage.up_edges(), 2)
    inside = core.names() + [edge.node.name for edge in herd]
    others = set(stage.core_names() + stage.edge_names()).difference(inside)
    begun = stage.now
    for edge in herd:
        edge.node.kill()
    stage.links.cut(inside, sorted(others))
    # Down for as long as the platform takes to send their callers elsewhere.
    await asyncio.sleep(stages.PLATFORM_S)
    for node in [core.registry] + [edge.node for edge in herd]:
        node.restart()
    await _settled(stage, _orders_until(stage, stage.operator(lost_answers=0.1), stage.now + JOINT_CUT_S))
    early = [edge.node.name for edge in herd if _ready(edge)]
    if early:
        stage.report_failure(f"{early} were ready, and reached no majority since they started")
    stage.links.heal()
    stage.mark_gone(herd, begun)
    await stage.fleet.until(lambda: all(map(_ready, herd)), histories.RECOVER_S, "ready after the cut")
    await _current(stage, core)


def _ready(edge: machines.Edge) -> bool:
    daemon = edge.node.daemon
    return daemon is not None and daemon.ready() is None


async def stall_disk(stage: stages.Stage) -> None:
    """A core's disk answers nothing for a while: orders and reads go on by the others."""
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.stall(after=stage.rng.random() < 0.5)
    end = stage.now + STALL_S
    operator = stage.operator(lost_answers=0.1)
    await _settled(stage, _orders_until(stage, operator, end), _reads_until(stage, core, end))
    disk.resume()
    await _current(stage, core)


async def two_operators(stage: stages.Stage) -> None:
    """Two operators with eight orders under way; answers are lost, and old orders come once more."""
    pair = [stage.operator(lost_answers=0.3, duplicates=0.2) for _ in range(2)]
    await _settled(stage, *(operator.changes(14) for operator in pair))
    await _settled(stage, *(operator.finish() for operator in pair))
    await stage.fleet.get(stage.core())


def _replace(stage: stages.Stage, gone: machines.Core) -> machines.Core:
    """An empty core in another's place, told of those that are there now."""
    return stage.new_core(gone, tuple(c.member for c in stage.fleet.cores if c is not gone))


async def _change_held_by_few(stage: stages.Stage, core: machines.Core) -> None:
    """A change by one core while the other stores are far away: it is confirmed by the fewest."""
    far = [other.store.name for other in stage.fleet.cores if other is not core]
    stage.links.slow = dict.fromkeys(far, FAR_S)
    await stage.change(core)
    stage.links.slow = {}


async def second_loss(stage: stages.Stage) -> None:
    """A core is lost with its disk and replaced; at that very moment the next one goes."""
    operator = stage.operator(lost_answers=0.1)
    for _ in range(2):
        first, second = stage.rng.sample(stage.fleet.cores, 2)
        await _change_held_by_few(stage, first)
        for node in (first.store, first.registry):
            node.lose_power()
        fresh = _replace(stage, first)
        await stage.wait_until_all_vote()
        # Whoever was seated just now, or has been there all along: either may be the next.
        await asyncio.sleep(stage.rng.choice((0.0, 0.05, 0.3)))
        victim = stage.rng.choice((second, fresh))
        await _change_held_by_few(stage, victim)
        for node in (victim.store, victim.registry):
            node.lose_power()
        await _settled(stage, _change_once(operator))
        _replace(stage, victim)
        await stage.wait_until_all_vote()
        await _settled(stage, _change_once(operator))


async def leaving_core(stage: stages.Stage) -> None:
    """A core stops in order right after an order that no other store heard of, and never comes back."""
    for _ in range(2):
        leaving, second = stage.rng.sample(stage.fleet.cores, 2)
        # What it alone holds it may not confirm.
        far = [other.store.name for other in stage.fleet.cores if other is not leaving]
        stage.links.cut([leaving.registry.name], far)
        await stage.change(leaving)
        for node in (leaving.registry, leaving.store):
            await stage.stop(node)
        stage.links.heal()
        _replace(stage, leaving)
        await stage.wait_until_all_vote()
        for node in (second.store, second.registry):
            node.lose_power()
        await _settled(stage, _change_once(stage.operator()))
        second.store.wipe()
        for node in (second.store, second.registry):
            node.restart()
        await stage.wait_until_all_vote()


async def _change_once(operator: operators.Operator) -> None:
    await operator.change()


async def hundreds_of_changes(stage: stages.Stage) -> None:
    """Hundreds of changes; meanwhile one core is down, one starts without its disk, one is frozen."""
    down, wiped, frozen = stage.rng.sample(stage.fleet.cores, 3)
    pair = [stage.operator(lost_answers=0.05) for _ in range(2)]

    async def some(part: float) -> None:
        await _settled(stage, *(operator.changes(round(CHANGES * part / 2), at_once=2) for operator in pair))

    for node in (down.store, down.registry):
        node.lose_power()
    await some(1 / 3)
    # Until no call of those changes waits for it any more: it has to find out by itself.
    await asyncio.sleep(LAST_CALL_S)
    for node in (down.store, down.registry):
        node.restart()
    await _current(stage, down)
    wiped.store.lose_power()
    wiped.store.wipe()
    wiped.registry.kill()
    await some(1 / 6)
    for node in (wiped.store, wiped.registry):
        node.restart()
    await stage.wait_until_all_vote()
    await _current(stage, wiped)
    for node in (frozen.store, frozen.registry):
        node.freeze()
    await some(1 / 2)
    for node in (frozen.store, frozen.registry):
        node.thaw()
    # It wakes with all that it knew: the first thing it says may not be old.
    await stage.fleet.get(frozen, 1.0)
    await _current(stage, frozen)
    _check_generations(stage)


def _check_generations(stage: stages.Stage) -> None:
    """What a store wrote over does not stay on its disk."""
    for core in stage.fleet.cores:
        assert core.store.disk is not None
        for folder in sorted((core.store.disk.root / "register").iterdir()):
            kept = [path.name for path in folder.iterdir()]
            if len(kept) > GENERATIONS_MOST:
                stage.report_failure(
                    f"{core.store.name} keeps {len(kept)} generations of one record: {sorted(kept)}"
                )


async def late_answers(stage: stages.Stage) -> None:
    """Endpoints fall silent, come back and say late what they had to say; connections are reset amid it."""
    fleet = stage.fleet
    services = fleet.shape.services
    edges = stage.edge_names()
    for turn in range(len(LATE_FAULTS)):
        names = [name for s in services for name in stage.some_of(s.name, 0.3)]
        with stage.with_profile(names, pace=4.0), stage.with_fault_plan(names, LATE_FAULTS[turn], 0.3):
            pressing = [asyncio.create_task(fleet.clients.send_burst(s, 30, 0.2)) for s in services]
            await asyncio.sleep(0.1)
            # Silence: what both sides say waits on the wire until the cut is healed.
            stage.links.cut(names, edges, both=turn != 1)
            await asyncio.sleep(2.5)
            stage.links.heal()
            await asyncio.sleep(0.05)
            for name in names[::2]:
                stage.links.reset_host(name)
            pressing += [asyncio.create_task(fleet.clients.send_burst(s, 20, 0.5)) for s in services]
            await asyncio.gather(*pressing)
        await asyncio.sleep(1.0)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "cut_core_long": cut_core_long("both"),
    "cut_core_long_in": cut_core_long("in"),
    "cut_core_long_out": cut_core_long("out"),
    "restart_beside_cut_seed": restart_beside_cut_seed,
    "stall_disk": stall_disk,
    "two_operators": two_operators,
    "second_loss": second_loss,
    "leaving_core": leaving_core,
    "hundreds_of_changes": hundreds_of_changes,
    "late_answers": late_answers,
}
