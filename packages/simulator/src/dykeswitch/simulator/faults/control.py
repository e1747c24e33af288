"""Failures of the control plane: long cuts, racing operators, second losses, many changes, late responses."""

import asyncio
import typing

import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.operator as operators
import dykeswitch.simulator.stage as stages

# How long a core is cut off, and how soon afterwards it must be up to date again.
CUT_S: typing.Final = 20.0
UP_TO_DATE_S: typing.Final = 3.0
# How long a core is cut off together with proxies that have it as a seed, and how long a disk stalls.
JOINT_CUT_S: typing.Final = 6.0
STALL_S: typing.Final = 8.0
# Extra link delay of stores that are to receive a change late; well within the timeout of a call.
SLOW_LINK_S: typing.Final = 0.2
# Number of orders in `hundreds_of_changes`; some of them are sent while a core is down.
CHANGES: typing.Final = 210
# After this time no call of a change to a machine that is down is pending any more.
PENDING_CALLS_S: typing.Final = 1.5
# How many generations of one record a store may keep once its writes are complete.
MAX_GENERATIONS: typing.Final = 1
# Additional faults of the endpoints whose responses are delayed, one per round.
LATE_FAULTS: typing.Final = ("surplus_late", "lose_reset", "none")


async def _wait_up_to_date(stage: stages.Stage, core: machines.Core) -> None:
    """Wait until a core's registry and store have the last acknowledged layout; report a failure if late."""
    expected = max(p.version for p in stage.fleet.puts if p.status == 200)
    started_at = stage.now

    while stage.now - started_at < UP_TO_DATE_S:
        if min(await _stored_version(core), _registry_version(core)) >= expected:
            stage.note(f"{core.registry.name} was up to date after {stage.now - started_at:.2f} s")
            return
        await asyncio.sleep(0.02)
    stage.report_failure(
        f"{core.registry.name} lacked version {expected} after {UP_TO_DATE_S:.0f} s, from {started_at:.2f}"
    )


def _registry_version(core: machines.Core) -> int:
    """Return the version of the layout that a core's registry sends to proxies."""
    daemon = core.registry.daemon
    return 0 if daemon is None else int(daemon.documents.version(documents.LAYOUT))


async def _stored_version(core: machines.Core) -> int:
    """Return the version of the layout in a core's store, as a majority read would see it."""
    daemon = core.store.daemon
    if daemon is None or not daemon.voter.disk_id:
        return 0
    voter = daemon.voter
    request = {"key": documents.LAYOUT, "disk": voter.disk_id, "epoch": voter.members.epoch}
    result = await voter.kinds()["read"](request)
    return int(result.value["version"]) if isinstance(result, outcome.Success) else 0


async def _orders_until(stage: stages.Stage, operator: operators.Operator, end: float) -> None:
    """Send one order after another; each must be settled."""
    while stage.now < end:
        await operator.change()
        await asyncio.sleep(stage.rng.uniform(0.5, 1.5))


async def _reads_until(stage: stages.Stage, core: machines.Core, end: float) -> None:
    """Read from one core, which may refuse but must not return an old layout."""
    while stage.now < end:
        await stage.fleet.get(core, 1.0)
        await asyncio.sleep(0.5)


async def _run_settled(stage: stages.Stage, *work: typing.Awaitable[None]) -> None:
    """Run all of `work`; an order or read that is not settled in time is reported as a failure."""
    try:
        await asyncio.gather(*work)
    except operators.UnsettledError as error:
        stage.report_failure(str(error))


Directions = typing.Literal["both", "in", "out"]


def cut_core_long(directions: Directions) -> stages.Fault:
    """Cut one core off from the others for twenty seconds; operators and proxies still reach it."""

    async def act(stage: stages.Stage) -> None:
        core = stage.core()
        others = [n for c in stage.fleet.cores if c is not core for n in c.names()]
        if directions in ("both", "out"):
            stage.links.cut(core.names(), others, both=False)
        if directions in ("both", "in"):
            stage.links.cut(others, core.names(), both=False)
        end = stage.now + CUT_S
        operator = stage.operator(lost_answers=0.1)
        edge = stage.edge()
        started_at = stage.now

        async def restart_edge() -> None:
            # A proxy that starts during the cut and reaches only the core that is cut off.
            await asyncio.sleep(CUT_S / 3)
            edge.node.kill()
            stage.links.cut([edge.node.name], others + stage.edge_names())
            # Down until the platform has redirected its clients to other proxies.
            await asyncio.sleep(stages.PLATFORM_S)
            edge.node.restart()

        await _run_settled(
            stage,
            _orders_until(stage, operator, end),
            _reads_until(stage, core, end),
            restart_edge(),
        )
        stage.links.heal()
        stage.mark_gone([edge], started_at)
        await _wait_up_to_date(stage, core)
        await stage.fleet.get(core)

    return act


async def restart_beside_cut_seed(stage: stages.Stage) -> None:
    """Proxies and one of their seeds restart while they are cut off together from all other machines."""
    core = stage.core()
    group = stage.rng.sample(stage.up_edges(), 2)
    inside = core.names() + [edge.node.name for edge in group]
    others = set(stage.core_names() + stage.edge_names()).difference(inside)
    started_at = stage.now
    for edge in group:
        edge.node.kill()
    stage.links.cut(inside, sorted(others))
    # Down until the platform has redirected their clients to other proxies.
    await asyncio.sleep(stages.PLATFORM_S)
    for node in [core.registry] + [edge.node for edge in group]:
        node.restart()
    await _run_settled(stage, _orders_until(stage, stage.operator(lost_answers=0.1), stage.now + JOINT_CUT_S))
    ready_early = [edge.node.name for edge in group if _ready(edge)]
    if ready_early:
        stage.report_failure(f"{ready_early} were ready without having reached a majority since they started")
    stage.links.heal()
    stage.mark_gone(group, started_at)
    await stage.fleet.until(lambda: all(map(_ready, group)), histories.RECOVER_S, "ready after the cut")
    await _wait_up_to_date(stage, core)


def _ready(edge: machines.Edge) -> bool:
    daemon = edge.node.daemon
    return daemon is not None and daemon.ready() is None


async def stall_disk(stage: stages.Stage) -> None:
    """A core's disk stalls for a while: orders and reads go on through the other cores."""
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.stall(after=stage.rng.random() < 0.5)
    end = stage.now + STALL_S
    operator = stage.operator(lost_answers=0.1)
    await _run_settled(stage, _orders_until(stage, operator, end), _reads_until(stage, core, end))
    disk.resume()
    await _wait_up_to_date(stage, core)


async def two_operators(stage: stages.Stage) -> None:
    """Two operators with eight pending orders; replies are lost, and old orders are delivered again."""
    both_operators = [stage.operator(lost_answers=0.3, duplicates=0.2) for _ in range(2)]
    await _run_settled(stage, *(operator.changes(14) for operator in both_operators))
    await _run_settled(stage, *(operator.finish() for operator in both_operators))
    await stage.fleet.get(stage.core())


def _replace(stage: stages.Stage, old: machines.Core) -> machines.Core:
    """Replace a core by an empty one that has the current cores as seeds."""
    return stage.new_core(old, tuple(c.member for c in stage.fleet.cores if c is not old))


async def _change_with_bare_majority(stage: stages.Stage, core: machines.Core) -> None:
    """Make a change through one core while the other stores are slow, so that a bare majority confirms it."""
    far = [other.store.name for other in stage.fleet.cores if other is not core]
    stage.links.slow = dict.fromkeys(far, SLOW_LINK_S)
    await stage.change(core)
    stage.links.slow = {}


async def second_loss(stage: stages.Stage) -> None:
    """A core is lost with its disk and replaced; at that moment the next core is lost."""
    operator = stage.operator(lost_answers=0.1)
    for _ in range(2):
        first, second = stage.rng.sample(stage.fleet.cores, 2)
        await _change_with_bare_majority(stage, first)
        for node in (first.store, first.registry):
            node.lose_power()
        replacement = _replace(stage, first)
        await stage.wait_until_all_vote()
        # The next loss may hit the core that has just got its vote or one that was there before.
        await asyncio.sleep(stage.rng.choice((0.0, 0.05, 0.3)))
        victim = stage.rng.choice((second, replacement))
        await _change_with_bare_majority(stage, victim)
        for node in (victim.store, victim.registry):
            node.lose_power()
        await _run_settled(stage, _change_once(operator))
        _replace(stage, victim)
        await stage.wait_until_all_vote()
        await _run_settled(stage, _change_once(operator))


async def leaving_core(stage: stages.Stage) -> None:
    """A core stops gracefully right after an order that reached no other store, and never returns."""
    for _ in range(2):
        leaving, second = stage.rng.sample(stage.fleet.cores, 2)
        # It must not confirm what only its own store has.
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
        await _run_settled(stage, _change_once(stage.operator()))
        second.store.wipe()
        for node in (second.store, second.registry):
            node.restart()
        await stage.wait_until_all_vote()


async def _change_once(operator: operators.Operator) -> None:
    await operator.change()


async def hundreds_of_changes(stage: stages.Stage) -> None:
    """Hundreds of changes while one core is down, one starts with an empty disk and one is frozen."""
    down, wiped, frozen = stage.rng.sample(stage.fleet.cores, 3)
    both_operators = [stage.operator(lost_answers=0.05) for _ in range(2)]

    async def make_changes(part: float) -> None:
        await _run_settled(
            stage, *(operator.changes(round(CHANGES * part / 2), at_once=2) for operator in both_operators)
        )

    for node in (down.store, down.registry):
        node.lose_power()
    await make_changes(1 / 3)
    # Wait until no call of those changes is pending: the core has to catch up by itself.
    await asyncio.sleep(PENDING_CALLS_S)
    for node in (down.store, down.registry):
        node.restart()
    await _wait_up_to_date(stage, down)
    wiped.store.lose_power()
    wiped.store.wipe()
    wiped.registry.kill()
    await make_changes(1 / 6)
    for node in (wiped.store, wiped.registry):
        node.restart()
    await stage.wait_until_all_vote()
    await _wait_up_to_date(stage, wiped)
    for node in (frozen.store, frozen.registry):
        node.freeze()
    await make_changes(1 / 2)
    for node in (frozen.store, frozen.registry):
        node.thaw()
    # It resumes with its old state: even its first answer must not be old.
    await stage.fleet.get(frozen, 1.0)
    await _wait_up_to_date(stage, frozen)
    _check_generations(stage)


def _check_generations(stage: stages.Stage) -> None:
    """Check that overwritten records do not remain on the stores' disks."""
    for core in stage.fleet.cores:
        assert core.store.disk is not None
        for folder in sorted((core.store.disk.root / "register").iterdir()):
            generations = [path.name for path in folder.iterdir()]
            if len(generations) > MAX_GENERATIONS:
                stage.report_failure(
                    f"{core.store.name} keeps {len(generations)} generations: {sorted(generations)}"
                )


async def late_answers(stage: stages.Stage) -> None:
    """Endpoints become unreachable and their responses arrive late; some connections are reset meanwhile."""
    fleet = stage.fleet
    services = fleet.shape.services
    edges = stage.edge_names()
    for round_number in range(len(LATE_FAULTS)):
        names = [name for s in services for name in stage.some_of(s.name, 0.3)]
        with (
            stage.with_profile(names, pace=4.0),
            stage.with_fault_plan(names, LATE_FAULTS[round_number], 0.3),
        ):
            bursts = [asyncio.create_task(fleet.clients.send_burst(s, 30, 0.2)) for s in services]
            await asyncio.sleep(0.1)
            # Packets of both sides are kept back on the link until the cut is healed.
            stage.links.cut(names, edges, both=round_number != 1)
            await asyncio.sleep(2.5)
            stage.links.heal()
            await asyncio.sleep(0.05)
            for name in names[::2]:
                stage.links.reset_host(name)
            bursts += [asyncio.create_task(fleet.clients.send_burst(s, 20, 0.5)) for s in services]
            await asyncio.gather(*bursts)
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
