"""Repair of the member set: how soon it survives a second loss again, and that it does."""

import asyncio
import json
import pathlib
import threading
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.placement as placement
import dykeswitch.register.proposer as proposers
import dykeswitch.register.records as records
import dykeswitch.register.replica as replicas
import dykeswitch.register.voter as voters
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.registry.votes as votes
import dykeswitch.settings as settings
import dykeswitch.simulator.exposure as exposure
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.shape as shapes
import dykeswitch.store.program as stores

PAGES: typing.Final = shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.02)
CATCH_UP_S: typing.Final = settings.Settings().catch_up_s


def _shape(cores: int, zones: tuple[str, ...] = exposure.ZONES) -> shapes.Shape:
    return shapes.Shape("members", 2, cores, zones, (PAGES,))


async def _fleet(
    scratch: pathlib.Path,
    cores: int = 3,
    zones: tuple[str, ...] = exposure.ZONES,
    seed: int = 3,
    **bounds: typing.Any,
) -> fleets.SimFleet:
    fleet = fleets.SimFleet(_shape(cores, zones), seed, scratch, bounds=bounds, known=3)
    await fleet.start()
    return fleet


def _voters(fleet: fleets.SimFleet) -> set[str]:
    """The disks of the member set in force, according to the stores that are up."""
    held = [c.store.daemon.voter.members for c in fleet.cores if c.store.up and c.store.daemon is not None]
    return set(max(held, key=lambda members: members.epoch).disks())


def _disk(core: machines.Core) -> str:
    return str(core.store.daemon.voter.disk_id)


def _lose_power(core: machines.Core) -> None:
    core.registry.lose_power()
    core.store.lose_power()


async def _put_layout(fleet: fleets.SimFleet, path: str) -> observations.LayoutPut:
    doc = fleet.shape.layout()
    doc["rules"].append({"path": path, "service": "pages"})
    up = next(c for c in fleet.cores if c.registry.up)
    return await fleet.put(doc, up)


@pytest.mark.parametrize("victim", [0, 1, 2])
@pytest.mark.parametrize("event", ["wipe", "replace", "replace in order"])
def test_another_loss_is_borne_before_the_new_machine_counts_as_caught_up(
    event: str, victim: int, tmp_path: pathlib.Path
) -> None:
    found = loops.run(exposure.measure(exposure.EVENTS[event], 3, 1, victim, 1, tmp_path))
    assert found.after_return_s < CATCH_UP_S / 2, found
    assert found.stopped_s == 0.0


@pytest.mark.parametrize("guarded", [True, False])
def test_a_machine_that_leaves_in_order_hands_its_vote_over_first(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not guarded:

        async def retire_immediately(self: stores.Store) -> None:
            return None

        monkeypatch.setattr(stores.Store, "_hand_over", retire_immediately)
    found = loops.run(exposure.measure(exposure.replace_in_order, 3, 1, 1, 1, tmp_path))
    assert (found.exposed_s == 0.0) is guarded, found


def test_a_store_that_is_restarted_with_no_other_to_take_its_vote_stops_soon(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = await _fleet(tmp_path)
        await asyncio.sleep(3.0)
        store = fleet.cores[0].store
        disk = _disk(fleet.cores[0])
        started_at = fleet.clock.now()
        assert await store.stop(exposure.GRACE_S)
        assert fleet.clock.now() - started_at <= settings.Settings().handover_wait_s + 0.2
        store.restart()
        await fleet.until(
            lambda: store.daemon is not None and store.daemon.voter.has_vote(), 5, "the store has its vote"
        )
        assert _disk(fleet.cores[0]) == disk

    loops.run(main())


def test_a_store_that_handed_its_vote_over_and_comes_back_can_take_one_again(tmp_path: pathlib.Path) -> None:
    """A stopping store can't know whether it is restarted or removed; neither may cost a machine."""

    async def main() -> None:
        fleet = await _fleet(tmp_path, cores=4)
        await asyncio.sleep(3.0)
        first = await _put_layout(fleet, "/one")
        by_disk = {_disk(core): core for core in fleet.cores}
        spare = next(core for disk, core in by_disk.items() if disk not in _voters(fleet))
        leaving_core = next(core for core in fleet.cores if core is not spare)
        old = _disk(leaving_core)
        await leaving_core.store.stop(exposure.GRACE_S)
        assert _disk(spare) in _voters(fleet) and old not in _voters(fleet)
        leaving_core.store.restart()
        await fleet.until(lambda: leaving_core.store.daemon is not None, 5, "the store is up again")
        await asyncio.sleep(1.0)
        state = leaving_core.store.daemon.voter.state()
        # The disk was emptied and has a new id: it may vote again, but must not found a second set.
        assert state.disk != old and state.erased and not state.blank
        _lose_power(spare)
        await fleet.until(lambda: _disk(leaving_core) in _voters(fleet), 10, "the store has a vote again")
        await fleet.until(lambda: exposure.spare_votes(fleet) >= 1, 10, "one more loss is survivable")
        got = await fleet.get(leaving_core)
        assert (got.status, got.version) == (200, first.version)

    loops.run(main())


@pytest.mark.parametrize("guarded", [True, False])
def test_replaced_disks_never_found_a_second_set(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All founders were replaced and emptied; a registry that restarts reaches only them."""
    if not guarded:
        monkeypatch.setattr(voters.Voter, "never_voted", voters.Voter.is_vacant)

    async def main() -> None:
        fleet = await _fleet(tmp_path)
        await asyncio.sleep(2.0)
        founders = list(fleet.cores)
        for n in range(len(founders)):
            exposure.successor(fleet, founders[n], f"core-next{n}")
        await asyncio.sleep(2.0)
        for core in founders:
            await core.store.stop(exposure.GRACE_S)
            core.registry.kill()
        inside = [name for core in founders for name in core.names()]
        fleet.world.links.cut(inside, [n for n in fleet.world.nodes if n not in inside])
        for core in founders:
            core.store.restart()
        await asyncio.sleep(0.5)
        founders[0].registry.restart()
        await asyncio.sleep(5.0)
        have_vote = [core.store.daemon.voter.has_vote() for core in founders]
        assert any(have_vote) is not guarded

    loops.run(main())


def test_the_loss_of_a_zone_that_must_be_borne_leaves_a_majority(tmp_path: pathlib.Path) -> None:
    """All three founders are in one zone; two other zones have one machine each."""

    async def main() -> None:
        zones = ("z1", "z1", "z1", "z2", "z3")
        fleet = await _fleet(tmp_path, cores=5, zones=zones, zones_lost=1)
        await asyncio.sleep(4.0)
        voting = sorted(core.zone for core in fleet.cores if _disk(core) in _voters(fleet))
        assert voting == ["z1", "z2", "z3"]
        for core in fleet.cores[:3]:
            _lose_power(core)
        assert (await _put_layout(fleet, "/after")).status == 200

    loops.run(main())


def test_a_machine_that_does_not_count_gets_no_vote(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(_shape(5), 3, tmp_path, bounds={"cores_lost": 2}, known=3)
        # As if configured so: the last of the five machines is not eligible for the quorum.
        outsider = fleet.cores[4]
        build = outsider.store.build

        def ineligible(machine: typing.Any, log: typing.Any, rng: typing.Any) -> typing.Any:
            made: typing.Any = build(machine, log, rng)
            made.voter._site = replicas.Site(outsider.zone, "", False)
            return made

        outsider.store.build = ineligible
        await fleet.start()
        await asyncio.sleep(5.0)
        assert _disk(outsider) not in _voters(fleet)
        assert len(_voters(fleet)) == 4

    loops.run(main())


POINTS: typing.Final = (
    reconfigurations.POINT_JOINT_WRITTEN,
    reconfigurations.POINT_JOINT_INSTALLED,
    reconfigurations.POINT_SWEPT,
    reconfigurations.POINT_NEW_WRITTEN,
)


class _LossAtPoint:
    """One machine loses power for good when the registry that drives a change passes a fault point."""

    def __init__(self, fleet: fleets.SimFleet, point: int, lost: str) -> None:
        self._fleet = fleet
        self._point = point
        self._lost = lost
        self.voters: set[str] = set()
        self.lost_cores: list[machines.Core] = []

    def arm(self, core: machines.Core) -> None:
        core.registry.fault_points.armed[self._point] = lambda: self._fire(core)

    def _fire(self, driver: machines.Core) -> None:
        if self.lost_cores:
            return
        victim = driver if self._lost == "driver" else self._other(driver)
        self.lost_cores.append(victim)
        _lose_power(victim)
        if victim is driver:
            raise worlds.ProcessKilled("dark")

    def _other(self, driver: machines.Core) -> machines.Core:
        voting = self._lost == "other voter"
        up = [core for core in self._fleet.cores if core.store.up and core is not driver]
        return next(core for core in up if (_disk(core) in self.voters) is voting)


async def _trigger_change(fleet: fleets.SimFleet, event: str, loss: _LossAtPoint) -> None:
    """Triggers a change of the member set."""
    if event == "grow":
        for core in fleet.cores:
            core.registry.daemon.parts.reconfiguration.tolerance = placement.Tolerance(2)
        loss.arm(exposure.successor(fleet, fleet.cores[0]))
        return
    voter = next(core for core in fleet.cores if _disk(core) in loss.voters)
    if event == "move":
        voter.store.daemon.voter.leaving = True
    else:
        _lose_power(voter)


@pytest.mark.parametrize("lost", ["driver", "other voter", "newcomer"])
@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("event", ["grow", "move", "swap"])
def test_a_loss_at_each_point_of_a_change_takes_nothing_back(
    event: str, point: int, lost: str, tmp_path: pathlib.Path
) -> None:
    """While nothing else is lost, one machine may be lost for good at any point of a change.

    After the loss of a voter that is being replaced ("swap") the second machine comes back: until the
    change is done its loss may stop the register, but must not lose acknowledged changes.
    """

    async def main() -> None:
        cores = 3 if event == "grow" else 4
        fleet = fleets.SimFleet(_shape(cores), 11, tmp_path, bounds={"cores_lost": 1}, known=3)
        loss = _LossAtPoint(fleet, point, lost)
        await fleet.start()
        await asyncio.sleep(3.0)
        put = await _put_layout(fleet, "/kept")
        assert put.status == 200
        loss.voters |= _voters(fleet)
        for core in fleet.cores:
            loss.arm(core)
        await _trigger_change(fleet, event, loss)
        await fleet.until(lambda: bool(loss.lost_cores), 10, "the loss at the fault point")
        if event == "swap":
            await asyncio.sleep(1.0)
            loss.lost_cores[0].store.restart()
            loss.lost_cores[0].registry.restart()
        await asyncio.sleep(6.0)
        got = await fleet.get(next(core for core in fleet.cores if core.registry.up))
        assert (got.status, got.version) == (200, put.version)
        assert "/kept" in got.body
        assert (await _put_layout(fleet, "/after")).status == 200
        assert exposure.spare_votes(fleet) >= 0
        members = [core.store.daemon.voter.members for core in fleet.cores if core.store.up]
        assert not max(members, key=lambda held: held.epoch).is_joint()

    loops.run(main())


@pytest.mark.parametrize("guarded", [True, False])
def test_a_replaced_voter_goes_only_once_the_others_hold_the_new_set(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The replaced voter may be the only one that knows the set that removed its vote."""
    reconfiguration = reconfigurations.Reconfiguration
    if not guarded:
        retire = reconfiguration._retire_replaced

        async def retire_immediately(self: reconfigurations.Reconfiguration) -> None:
            with monkeypatch.context() as patch:
                patch.setattr(register, "has_majorities", lambda groups, yes: True)
                await retire(self)

        monkeypatch.setattr(reconfiguration, "_retire_replaced", retire_immediately)

    async def main() -> None:
        fleet = await _fleet(tmp_path, cores=4)
        await asyncio.sleep(3.0)
        leaving_core = next(core for core in fleet.cores if _disk(core) in _voters(fleet))
        old_disk = _disk(leaving_core)
        install = reconfiguration._install

        async def install_on_removed_disk(
            self: reconfigurations.Reconfiguration, members: register.MemberSet
        ) -> set[str]:
            """Installs the final set only on the disk that is removed."""
            if members.is_joint() or old_disk in members.disks():
                return await install(self, members)
            state = self.states.get(old_disk)
            if state is not None and state.members.epoch < members.epoch:
                await self._send(state, messages.Install(members, old_disk))
                self.states[old_disk] = state.with_members(members)
            return self._disks_at_epoch(members.epoch)

        monkeypatch.setattr(reconfiguration, "_install", install_on_removed_disk)
        leaving_core.store.daemon.voter.leaving = True
        await asyncio.sleep(2.0)
        assert (_disk(leaving_core) == old_disk) is guarded

    loops.run(main())


class _PowerLossError(OSError):
    """The machine lost power during a disk operation."""


@pytest.mark.parametrize("step", range(1, 10))
def test_power_lost_at_any_step_of_emptying_a_replaced_disk(step: int, tmp_path: pathlib.Path) -> None:
    """It restarts without its vote, as the old replica or as an emptied one, but never as blank."""

    async def main() -> None:
        fleet = await _fleet(tmp_path, cores=4, seed=step)
        await asyncio.sleep(3.0)
        leaving_core = next(core for core in fleet.cores if _disk(core) in _voters(fleet))
        old_disk, node = _disk(leaving_core), leaving_core.store
        voter = node.daemon.voter
        erase, steps = voter._records.storage.erase, 0

        def erase_until_power_loss() -> None:
            def counted(name: str, original: typing.Callable[..., typing.Any]) -> typing.Any:
                def call(*paths: pathlib.Path) -> None:
                    nonlocal steps
                    steps += 1
                    if steps == step:
                        node.lose_power()
                        raise _PowerLossError(name)
                    original(*paths)

                return call

            disk = node.disk
            assert disk is not None
            for name in ("sync_file", "sync_folder", "rename", "drop"):
                setattr(disk, name, counted(name, getattr(disk, name)))
            erase()

        voter._records.storage.erase = erase_until_power_loss
        voter.leaving = True
        await fleet.until(lambda: steps > 0, 10, "the disk being emptied")
        await asyncio.sleep(0.5)
        if not node.up:
            node.restart()
            await fleet.until(
                lambda: node.daemon is not None and node.daemon.voter.disk_id, 5, "the store being up again"
            )
        state = node.daemon.voter.state()
        assert not node.crash
        assert not state.blank
        assert state.disk == old_disk or state.erased
        await asyncio.sleep(3.0)
        assert node.daemon.voter.state().erased and old_disk not in _voters(fleet)

    loops.run(main())


def test_no_write_goes_on_beside_an_erasure_or_comes_after_it(tmp_path: pathlib.Path) -> None:
    """Writes run in threads of their own; one that outlives the replica would be a stray vote."""

    async def main() -> None:
        disk = real.RealDisk(tmp_path)
        replica_records = records.Records(disk, ports.NoFaultPoints())
        await replica_records.open()
        await replica_records.put("first", b"1")
        started, released = threading.Event(), threading.Event()
        put = replica_records.storage.put

        def slow(key: str, record: typing.Any) -> None:
            started.set()
            assert released.wait(5)
            put(key, record)

        replica_records.storage.put = slow  # type: ignore[method-assign]
        slow_write = asyncio.create_task(replica_records.put("second", b"2"))
        assert await asyncio.to_thread(started.wait, 5)
        erasure = asyncio.create_task(replica_records.erase())
        late = asyncio.create_task(replica_records.put("third", b"3"))
        await asyncio.sleep(0)
        released.set()
        await asyncio.gather(slow_write, erasure, late, return_exceptions=True)
        reopened = records.Records(disk, ports.NoFaultPoints())
        found = await reopened.open()
        assert "first" not in found and "second" not in found
        assert reopened.voted_before

    asyncio.run(main())


def test_a_refused_call_does_not_wait_for_a_silent_store(tmp_path: pathlib.Path) -> None:
    """If two of three disks refuse there is no majority, whatever the third one answers."""

    async def main() -> None:
        fleet = await _fleet(tmp_path)
        await asyncio.sleep(3.0)
        _lose_power(fleet.cores[0])
        await asyncio.sleep(0.1)
        registry = fleet.cores[1].registry.daemon
        proposer: proposers.Proposer = registry.parts.proposer
        # The ballot is lower than the promised ones: all disks that answer refuse it.
        started_at = fleet.clock.now()
        answers = await proposer.quorum.call_all(
            proposer.members.groups,
            messages.Prepare("layout", (0, "x"), proposer.members.epoch, ""),
            messages.Promise,
        )
        assert not answers.replies and len(answers.refusals) >= 2
        assert fleet.clock.now() - started_at < registry.config.call_timeout_s / 2

    loops.run(main())


def test_an_odd_state_does_not_end_a_registry(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = await _fleet(tmp_path)
        await asyncio.sleep(2.0)

        async def malformed_state(body: frames.Body) -> frames.Result:
            return outcome.Success({"disk": "x", "set": "nonsense"})

        voter = fleet.cores[2].store.daemon.voter
        core = fleet.cores[2]
        server = frames.CallServer({**voter.kinds(), "state": malformed_state}, lambda event, what: None)
        host, _ = fleet.world.links.listeners[core.registry.daemon.config.store]
        fleet.world.links.listeners[core.registry.daemon.config.store] = (host, server.serve)
        fleet.world.links.reset_host(core.store.name)
        await asyncio.sleep(3.0)
        assert all(c.registry.up and not c.registry.crash for c in fleet.cores)
        assert (await _put_layout(fleet, "/odd")).status == 200

    loops.run(main())


def test_operators_are_told_who_votes(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = await _fleet(tmp_path, cores=4)
        await asyncio.sleep(4.0)
        body = json.dumps({"text": "who votes", "by": "operator"}).encode()
        reply = await fleet.outside.web.request("POST", fleet.cores[0].web, "/v1/query", [], body, 5.0)
        page = json.loads(reply.body)
        rows = [dict(zip(page["columns"], row)) for row in page["rows"]]
        assert sorted(row["vote"] for row in rows) == ["none", "votes", "votes", "votes"]
        assert page["summary"]["machines that may be lost now"] == 1
        assert page["summary"]["zones that may be lost now"] == 1
        voter = next(c for c in fleet.cores[1:] if _disk(c) in _voters(fleet))
        disk = _disk(voter)
        spare = next(c for c in fleet.cores if _disk(c) not in _voters(fleet))
        _lose_power(spare)
        voter.store.lose_power()
        await asyncio.sleep(3.0)
        await _put_layout(fleet, "/later")
        votes_page = await fleet.query("who votes", fleet.cores[0])
        assert votes_page is not None
        row = next(dict(zip(votes_page["columns"], r)) for r in votes_page["rows"] if r[0] == disk)
        assert row["state"].startswith("silent for ")
        assert votes_page["summary"]["machines that may be lost now"] == 0
        voter.store.restart()
        await asyncio.sleep(2.0)
        votes_page = await fleet.query("who votes", fleet.cores[0])
        assert votes_page is not None
        row = next(dict(zip(votes_page["columns"], r)) for r in votes_page["rows"] if r[0] == disk)
        assert row["state"] == "answers"
        assert votes_page["summary"]["machines that may be lost now"] == 1

    loops.run(main())


def test_who_is_behind_is_told_by_keys_and_by_versions() -> None:
    held = {"a": {"k": 1, "m": 7}, "b": {"k": 4, "m": 7, "n": 1}}
    assert votes._lag("a", held) == (2, 4)
    assert votes._lag("b", held) == (0, 0)
    assert votes._lag("c", held) == (None, None)
