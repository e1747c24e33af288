"""Guarantees of the register when processes crash or power is lost at every fault point."""

import asyncio
import pathlib
import random
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.proposer as proposers
import dykeswitch.register.quorum as quorums
import dykeswitch.register.storage as storage
import dykeswitch.register.voter as voters
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.settings as settings
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.registerbench as benches

POINTS: typing.Final = range(storage.POINT_BEFORE, storage.POINT_OLD_DROPPED + 1)


def _reconfiguration(
    bench: benches.RegisterBench, name: str, proposer: proposers.Proposer
) -> reconfigurations.Reconfiguration:
    config = settings.Settings(name=name, founders=tuple(bench.addresses[:3]))
    call_client = frames.CallClient(bench.outside.net)
    return reconfigurations.Reconfiguration(
        name, config, bench.outside, call_client, proposer, lambda event, what: None
    )


def _value(result: proposers.Read) -> register.Value:
    assert isinstance(result, outcome.Success), result
    return result.value


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_power_loss_at_each_point_of_a_write(point: int, seed: int, tmp_path: pathlib.Path) -> None:
    """An acknowledged value survives; another write leaves the old or the new value, never a torn one."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        proposer = bench.proposer("a")
        assert _value(await proposer.change("k", benches.put(b"one", "1"))).version == 1

        def lose_power() -> None:
            node.lose_power()
            raise OSError("power")

        # The prepare passes the point first; the fault is armed for the accept.
        passed = node.fault_points.passed.get(point, 0)
        node.fault_points.armed[point] = lambda: node.fault_points.armed.__setitem__(point, lose_power)
        result = await proposer.change("k", benches.put(b"two", "2"))
        assert node.fault_points.passed[point] > passed
        assert isinstance(result, outcome.Failure)
        node.restart()
        await asyncio.sleep(0.1)
        value = _value(await bench.proposer("b").read("k"))
        assert (value.version, value.body) in ((1, b"one"), (2, b"two"))
        if point >= storage.POINT_PARENT_SYNCED:
            assert value.body == b"two"
        if point <= storage.POINT_FOLDER_SYNCED:
            assert value.body == b"one"

    loops.run(main())


def test_an_unsynced_shelf_would_be_found_out(tmp_path: pathlib.Path) -> None:
    """The simulated disk loses what was not synced; otherwise the test above would prove nothing."""

    async def main() -> None:
        bench = benches.RegisterBench(1, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        assert node.disk is not None
        node.disk.sync_folder = lambda path: None  # type: ignore[method-assign]
        node.disk.sync_file = lambda path: None  # type: ignore[method-assign]
        assert _value(await bench.proposer("a").change("k", benches.put(b"one", "1"))).version == 1
        node.lose_power()
        node.restart()
        await asyncio.sleep(0.1)
        stored = node.daemon.voter._key_states.get("k") if node.up and not node.crash else None
        assert stored is None or stored.value.body != b"one"

    loops.run(main())


class _SkippedSync:
    """Omits the syncs of one kind for one name during a write."""

    def __init__(self, disk: disks.SimDisk, kind: str, name: str) -> None:
        self.skipped_count = 0
        original = getattr(disk, kind)

        def sync(path: pathlib.Path) -> None:
            if path.name == name or (name == "tmp" and path.name.startswith("tmp")):
                self.skipped_count += 1
                return
            original(path)

        setattr(disk, kind, sync)


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        ("sync_file", "db.dat"),
        ("sync_file", "db.dir"),
        ("sync_folder", "tmp"),
        ("sync_folder", b"k".hex()),
        ("sync_folder", "register"),
    ],
)
def test_each_sync_by_itself_is_needed(kind: str, name: str, tmp_path: pathlib.Path) -> None:
    """Without any one of the syncs, some power loss revokes an acknowledged write."""

    async def lost(seed: int) -> bool:
        folder = tmp_path / f"{seed}"
        folder.mkdir()
        bench = benches.RegisterBench(seed, folder, stores=1)
        await bench.start()
        node = bench.nodes[0]
        assert node.disk is not None
        skipped_sync = _SkippedSync(node.disk, kind, name)
        assert _value(await bench.proposer("a").change("k", benches.put(b"one", "1"))).version == 1
        assert skipped_sync.skipped_count
        node.lose_power()
        node.restart()
        await asyncio.sleep(0.1)
        stored = node.daemon.voter._key_states.get("k") if node.up and not node.crash else None
        return stored is None or stored.value.body != b"one"

    # What an unsynced write leaves behind is random, so several losses are tried.
    assert any(loops.run(lost(seed)) for seed in range(1, 9))


def test_a_damaged_generation_is_refused(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        bench = benches.RegisterBench(1, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        await bench.proposer("a").change("k", benches.put(b"one" * 100, "1"))
        node.kill()
        assert node.disk is not None
        [path] = (node.disk.root / "register" / b"k".hex()).glob("g*/db.dat")
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 1
        path.write_bytes(bytes(data))
        node.start()
        await asyncio.sleep(0.1)
        assert "StorageDamageError" in node.crash

    loops.run(main())


@pytest.mark.parametrize(
    "point", [proposers.POINT_BEFORE_PREPARE, proposers.POINT_BEFORE_ACCEPT, proposers.POINT_AFTER_ACCEPT]
)
def test_a_proposer_that_dies_between_phases_leaves_one_truth(point: int, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        bench = benches.RegisterBench(4, tmp_path)
        await bench.start()
        _value(await bench.proposer("a").change("k", benches.put(b"one", "1")))

        def fail() -> None:
            raise RuntimeError("killed here")

        bench.outside.fault_points.armed[point] = fail  # type: ignore[attr-defined]
        with pytest.raises(RuntimeError):
            await bench.proposer("b").change("k", benches.put(b"two", "2"))
        # With each of the three disks unavailable in turn, all readers get the same value.
        values = []
        for node in bench.nodes:
            node.lose_power()
            values.append(_value(await bench.proposer(f"r{node.name}").read("k")))
            node.restart()
            await asyncio.sleep(0.1)
        assert len({(v.version, v.body) for v in values}) == 1
        assert values[0].body == (b"two" if point == proposers.POINT_AFTER_ACCEPT else b"one")

    loops.run(main())


def test_an_accept_at_one_disk_can_not_come_back_after_a_refusal(tmp_path: pathlib.Path) -> None:
    """A change that was refused once with `lost_race` must never take effect later."""

    async def main() -> None:
        bench = benches.RegisterBench(5, tmp_path)
        await bench.start()
        links = bench.world.links
        first = bench.proposer("a")
        _value(await first.change("k", benches.put(b"one", "1")))

        def conditional(now: register.Value) -> register.Value | outcome.Failure:
            if now.version != 1:
                return outcome.failure("lost_race")
            return now.successor(b"mine", "2")

        def isolate() -> None:
            # Only one disk receives the accept.
            links.cut(["outside"], ["store1", "store2"])
            bench.world.loop.call_later(2.5, links.heal, context=loops.EMPTY_CONTEXT)

        bench.outside.fault_points.armed[proposers.POINT_BEFORE_ACCEPT] = isolate  # type: ignore[attr-defined]
        result = await first.change("k", conditional)
        assert isinstance(result, outcome.Failure)
        assert result.code.tag == "unknown"
        # Another proposer changes the key without the disk that holds the stray copy.
        bench.nodes[0].lose_power()
        await asyncio.sleep(1.0)
        other = _value(await bench.proposer("z").change("k", benches.put(b"theirs", "3")))
        bench.nodes[0].restart()
        await asyncio.sleep(0.1)
        retried = await bench.proposer("c").change("k", conditional)
        assert isinstance(retried, outcome.Failure)
        assert retried.code.tag == "lost_race"
        for node in bench.nodes:
            node.lose_power()
            value = _value(await bench.proposer(f"r{node.name}").read("k"))
            assert (value.version, value.body) == (other.version, b"theirs")
            node.restart()
            await asyncio.sleep(0.1)

    loops.run(main())


def _disable_vote_checks(patch: pytest.MonkeyPatch) -> None:
    # The check of the disk's id and the check of its vote back each other up, so both are disabled.
    refusal = voters.Voter._refusal

    def permissive(self: voters.Voter, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        return refusal(self, register.MEMBERS_KEY, self.disk_id, epoch)

    patch.setattr(voters.Voter, "_refusal", permissive)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_wiped_disk_has_no_vote(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A disk wiped right after an acknowledgement must not help an older value to a majority."""
    if not guarded:
        _disable_vote_checks(monkeypatch)

    async def main() -> None:
        bench = benches.RegisterBench(6, tmp_path)
        await bench.start()
        bench.nodes[2].lose_power()
        _value(await bench.proposer("a").change("k", benches.put(b"new", "1")))
        # Only stores 0 and 1 have the value. Store 1 loses its disk, and store 2 comes back without the
        # value, after the call that was on its way to it has ended.
        await asyncio.sleep(1.0)
        bench.nodes[1].lose_power()
        bench.nodes[1].wipe()
        bench.nodes[1].restart()
        bench.nodes[0].lose_power()
        bench.nodes[2].restart()
        await asyncio.sleep(0.1)
        if not guarded:
            # One old copy and one blank disk as a majority revoke what was acknowledged.
            assert _value(await bench.proposer("b").read("k")).version == 0
            return
        assert isinstance(await bench.proposer("b").read("k"), outcome.Failure)
        refused = await bench.proposer("c").change("k", benches.put(b"old", "2"))
        assert isinstance(refused, outcome.Failure)
        assert refused.code.tag == "no_majority"
        bench.nodes[0].restart()
        await asyncio.sleep(0.1)
        assert _value(await bench.proposer("d").read("k")).body == b"new"

    loops.run(main())


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_storm_of_changes_is_one_line_of_versions(seed: int, tmp_path: pathlib.Path) -> None:
    """Under cuts, freezes and power losses, a single order explains all changes and reads."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path)
        await bench.start()
        rng = random.Random(seed)
        observations: list[tuple[float, float, int, bytes]] = []
        refused: set[bytes] = set()

        async def run_operations(n: int) -> None:
            proposer = bench.proposer(f"p{n}")
            for turn in range(14):
                started_at = bench.world.loop.time()
                if rng.random() < 0.5:
                    body = f"{n}/{turn}".encode()
                    result = await proposer.change("k", benches.put(body, body.decode()))
                    if isinstance(result, outcome.Failure) and result.code.tag != "unknown":
                        refused.add(body)
                else:
                    result = await proposer.read("k")
                if isinstance(result, outcome.Success):
                    value = result.value
                    observations.append((started_at, bench.world.loop.time(), value.version, value.body))
                await asyncio.sleep(rng.uniform(0.0, 0.3))

        async def inject_faults() -> None:
            for _ in range(10):
                node = rng.choice(bench.nodes)
                kind = rng.randrange(3)
                if kind == 0:
                    node.lose_power()
                    await asyncio.sleep(rng.uniform(0.05, 0.6))
                    node.restart()
                elif kind == 1:
                    node.freeze()
                    await asyncio.sleep(rng.uniform(0.05, 1.0))
                    node.thaw()
                else:
                    bench.world.links.cut(["outside"], [node.name], both=rng.random() < 0.5)
                    await asyncio.sleep(rng.uniform(0.05, 1.0))
                    bench.world.links.heal()
                await asyncio.sleep(rng.uniform(0.0, 0.2))

        async with asyncio.TaskGroup() as group:
            for n in range(4):
                group.create_task(run_operations(n))
            group.create_task(inject_faults())
        last = _value(await bench.proposer("end").read("k"))
        observations.append((bench.world.loop.time(), bench.world.loop.time(), last.version, last.body))
        assert len(observations) > 15
        bodies: dict[int, bytes] = {}
        for _, _, version, body in observations:
            assert bodies.setdefault(version, body) == body
        for started_at, _, version, _ in observations:
            assert version >= max((v for _, e, v, _ in observations if e < started_at), default=0)
        assert not refused & set(bodies.values())

    loops.run(main())


class _BallotLog:
    """Records which disks promised each ballot, and the ballots under which accepts were sent."""

    def __init__(self, proposer: proposers.Proposer) -> None:
        self.promised: dict[register.Ballot, set[str]] = {}
        self.accepts: list[tuple[register.Ballot, bytes]] = []
        self._call = proposer.quorum._call_client.call
        proposer.quorum._call_client.call = self.call  # type: ignore[method-assign]

    async def call(
        self, address: ports.Address, kind: str, body: frames.Body, timeout_s: float
    ) -> frames.Result:
        if kind == "accept":
            self.accepts.append(
                (register.decode_ballot(body["ballot"]), register.decode_value(body["value"]).body)
            )
        result = await self._call(address, kind, body, timeout_s)
        if kind == "prepare" and isinstance(result, outcome.Success):
            self.promised.setdefault(register.decode_ballot(body["ballot"]), set()).add(str(body["disk"]))
        return result


@pytest.mark.parametrize("seed", range(1, 7))
def test_every_accept_carries_the_very_ballot_that_was_promised(seed: int, tmp_path: pathlib.Path) -> None:
    """One proposer changes the member key concurrently, and each change adds a group."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path, stores=4)
        all_disks = (await bench.start()).groups[0]
        old = all_disks[:3]
        bench.members = register.MemberSet(1, (old,))
        proposer = bench.proposer("a")
        ballot_log = _BallotLog(proposer)

        def widen(spare: int, op: str) -> proposers.Step:
            new_set = register.MemberSet(
                2, (old, tuple(sorted((*old[:spare], *old[spare + 1 :], all_disks[3]))))
            )

            def step(now: register.Value) -> register.Value | outcome.Failure:
                return (
                    now
                    if now.version_of(op) is not None
                    else now.successor(register.member_set_to_body(new_set), op)
                )

            return step

        await asyncio.gather(*(proposer.change(register.MEMBERS_KEY, widen(n, f"{n}")) for n in range(3)))
        assert ballot_log.accepts
        bodies: dict[register.Ballot, bytes] = {}
        for ballot, body in ballot_log.accepts:
            groups = register.member_set_from_body(register.Value(1, body)).groups
            assert register.has_majorities((old, *groups), ballot_log.promised.get(ballot, ())), ballot
            assert bodies.setdefault(ballot, body) == body, f"two changes share {ballot}"

    loops.run(main())


def test_a_read_overtaken_by_our_own_change_is_not_told_as_nothing(tmp_path: pathlib.Path) -> None:
    """Disks omit a value that the reader has already; by then the reader has a newer one."""

    async def main() -> None:
        bench = benches.RegisterBench(2, tmp_path)
        await bench.start()
        proposer = bench.proposer("a")
        _value(await proposer.change("k", benches.put(b"one", "1")))
        # Until the third disk has the value too.
        await asyncio.sleep(0.1)
        original = proposer.quorum.call_all

        async def delayed(groups: typing.Any, request: typing.Any, reply_type: typing.Any) -> typing.Any:
            found: typing.Any = await original(groups, request, reply_type)
            if isinstance(request, messages.Read):
                proposer.quorum.call_all = original  # type: ignore[method-assign]
                _value(await proposer.change("k", benches.put(b"two", "2")))
            return found

        proposer.quorum.call_all = delayed  # type: ignore[method-assign]
        assert _value(await proposer.read("k")).version in (1, 2)
        assert _value(await proposer.read("k")).body == b"two"

    loops.run(main())


def test_a_member_set_never_goes_back(tmp_path: pathlib.Path) -> None:
    """One registry sweeps under a joint set while another one finishes it and starts the next change."""

    async def main() -> None:
        bench = benches.RegisterBench(3, tmp_path, stores=4)
        all_disks = (await bench.start()).groups[0]
        bench.members = register.MemberSet(1, (all_disks[:3],))
        slow, fast = bench.proposer("slow"), bench.proposer("fast")
        reconfiguration, other = _reconfiguration(bench, "slow", slow), _reconfiguration(bench, "fast", fast)
        joint = register.MemberSet(2, (all_disks[:3], all_disks[1:]))
        for one in (reconfiguration, other):
            await one._poll_stores(bench.addresses)
        assert await other._commit(register.MemberSet(1, (all_disks[:3],)), joint)
        for one, proposer in ((other, fast), (reconfiguration, slow)):
            proposer.quorum.adopt(joint)
            await one._install(joint)
        keys = slow.copies.keys

        async def overtaken() -> list[str] | None:
            await other._finish()
            assert fast.members.epoch == 3
            back = register.MemberSet(4, (all_disks[1:], all_disks[:3]))
            assert await other._commit(fast.members, back)
            slow.quorum.adopt(back)
            return await keys()

        slow.copies.keys = overtaken  # type: ignore[method-assign]
        await reconfiguration._finish()
        stored_set = register.member_set_from_body(_value(await fast.read(register.MEMBERS_KEY)))
        assert stored_set.epoch == 4

    loops.run(main())


def _no_joint_set(patch: pytest.MonkeyPatch) -> None:
    """The new set takes over in one step, by its own majority alone, and no keys are copied."""

    async def install(self: reconfigurations.Reconfiguration, members: register.MemberSet) -> set[str]:
        single = register.MemberSet(members.epoch, members.groups[-1:])
        self._proposer.quorum.members = single
        return await original(self, single)

    def groups(self: quorums.Quorum, key: str, value: register.Value | None) -> typing.Any:
        return self.members.groups

    original = reconfigurations.Reconfiguration._install
    patch.setattr(reconfigurations.Reconfiguration, "_install", install)
    patch.setattr(quorums.Quorum, "groups_for", groups)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_swap_with_a_copy_that_lags_loses_nothing(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of two disks with a change, one is replaced and the other is unavailable for the read."""

    async def main() -> None:
        bench = benches.RegisterBench(9, tmp_path, stores=4)
        all_disks = (await bench.start()).groups[0]
        by_node = {n.daemon.voter.disk_id: n for n in bench.nodes}
        lagging, holding, lost, spare = (by_node[disk] for disk, _ in all_disks)
        # The fourth store has no vote: it is the blank spare.
        spare.daemon.voter._members = register.EMPTY_MEMBER_SET
        bench.members = register.MemberSet(1, (all_disks[:3],))
        lagging.lose_power()
        _value(await bench.proposer("a").change("k", benches.put(b"new", "1")))
        lost.lose_power()
        await asyncio.sleep(1.0)
        lagging.restart()
        await asyncio.sleep(0.1)
        if not guarded:
            _no_joint_set(monkeypatch)
        driver = bench.proposer("driver")
        reconfiguration = _reconfiguration(bench, "driver", driver)
        for _ in range(10):
            await reconfiguration.reconcile(bench.addresses, ["driver"])
            await asyncio.sleep(0.6)
        assert spare.daemon.voter.has_vote()
        assert not driver.members.is_joint()
        holding.lose_power()
        bench.members = driver.members
        value = _value(await bench.proposer("end").read("k"))
        assert (value.body == b"new") is guarded

    loops.run(main())
