"""The register: what it promises under crashes at every numbered point."""

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


def _seating(
    bench: benches.RegisterBench, name: str, proposer: proposers.Proposer
) -> reconfigurations.Reconfiguration:
    config = settings.Settings(name=name, founders=tuple(bench.addresses[:3]))
    call_client = frames.CallClient(bench.outside.net)
    return reconfigurations.Reconfiguration(
        name, config, bench.outside, call_client, proposer, lambda event, what: None
    )


def _good(result: proposers.Read) -> register.Value:
    assert isinstance(result, outcome.Success), result
    return result.value


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_power_loss_at_each_point_of_a_write(point: int, seed: int, tmp_path: pathlib.Path) -> None:
    """What was acknowledged is there again; what was not is old or new, never torn."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        proposer = bench.proposer("a")
        assert _good(await proposer.change("k", benches.put(b"one", "1"))).version == 1

        def dark() -> None:
            node.lose_power()
            raise OSError("power")

        # The prepare passes the point first; the accept is what may be lost.
        passed = node.fault_points.passed.get(point, 0)
        node.fault_points.armed[point] = lambda: node.fault_points.armed.__setitem__(point, dark)
        result = await proposer.change("k", benches.put(b"two", "2"))
        assert node.fault_points.passed[point] > passed
        assert isinstance(result, outcome.Failure)
        node.restart()
        await asyncio.sleep(0.1)
        value = _good(await bench.proposer("b").read("k"))
        assert (value.version, value.body) in ((1, b"one"), (2, b"two"))
        if point >= storage.POINT_PARENT_SYNCED:
            assert value.body == b"two"
        if point <= storage.POINT_FOLDER_SYNCED:
            assert value.body == b"one"

    loops.run(main())


def test_an_unsynced_shelf_would_be_found_out(tmp_path: pathlib.Path) -> None:
    """The simulated disk does lose what was not synced: else the test above proves nothing."""

    async def main() -> None:
        bench = benches.RegisterBench(1, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        assert node.disk is not None
        node.disk.sync_folder = lambda path: None  # type: ignore[method-assign]
        node.disk.sync_file = lambda path: None  # type: ignore[method-assign]
        assert _good(await bench.proposer("a").change("k", benches.put(b"one", "1"))).version == 1
        node.lose_power()
        node.restart()
        await asyncio.sleep(0.1)
        kept = node.daemon.voter._key_states.get("k") if node.up and not node.crash else None
        assert kept is None or kept.value.body != b"one"

    loops.run(main())


class _Lazy:
    """Leaves out one of a write's syncs, told by its kind and its turn."""

    def __init__(self, disk: disks.SimDisk, kind: str, name: str) -> None:
        self.left_out = 0
        whole = getattr(disk, kind)

        def sync(path: pathlib.Path) -> None:
            if path.name == name or (name == "tmp" and path.name.startswith("tmp")):
                self.left_out += 1
                return
            whole(path)

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
    """Without any one of them some loss of power takes back what was acknowledged."""

    async def lost(seed: int) -> bool:
        folder = tmp_path / f"{seed}"
        folder.mkdir()
        bench = benches.RegisterBench(seed, folder, stores=1)
        await bench.start()
        node = bench.nodes[0]
        assert node.disk is not None
        lazy = _Lazy(node.disk, kind, name)
        assert _good(await bench.proposer("a").change("k", benches.put(b"one", "1"))).version == 1
        assert lazy.left_out
        node.lose_power()
        node.restart()
        await asyncio.sleep(0.1)
        kept = node.daemon.voter._key_states.get("k") if node.up and not node.crash else None
        return kept is None or kept.value.body != b"one"

    # Chance decides what an unsynced write leaves, so a few losses are tried.
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
        _good(await bench.proposer("a").change("k", benches.put(b"one", "1")))

        def die() -> None:
            raise RuntimeError("killed here")

        bench.outside.fault_points.armed[point] = die  # type: ignore[attr-defined]
        with pytest.raises(RuntimeError):
            await bench.proposer("b").change("k", benches.put(b"two", "2"))
        # Each third of the disks in turn is away: all readers tell one story.
        seen = []
        for node in bench.nodes:
            node.lose_power()
            seen.append(_good(await bench.proposer(f"r{node.name}").read("k")))
            node.restart()
            await asyncio.sleep(0.1)
        assert len({(v.version, v.body) for v in seen}) == 1
        assert seen[0].body == (b"two" if point == proposers.POINT_AFTER_ACCEPT else b"one")

    loops.run(main())


def test_an_accept_at_one_disk_can_not_come_back_after_a_refusal(tmp_path: pathlib.Path) -> None:
    """Told "lost the race" once, a change never stands later."""

    async def main() -> None:
        bench = benches.RegisterBench(5, tmp_path)
        await bench.start()
        links = bench.world.links
        first = bench.proposer("a")
        _good(await first.change("k", benches.put(b"one", "1")))

        def conditional(now: register.Value) -> register.Value | outcome.Failure:
            if now.version != 1:
                return outcome.failure("lost_race")
            return now.successor(b"mine", "2")

        def lone() -> None:
            # The accept reaches one disk alone.
            links.cut(["outside"], ["store1", "store2"])
            bench.world.loop.call_later(2.5, links.heal, context=loops.EMPTY_CONTEXT)

        bench.outside.fault_points.armed[proposers.POINT_BEFORE_ACCEPT] = lone  # type: ignore[attr-defined]
        result = await first.change("k", conditional)
        assert isinstance(result, outcome.Failure)
        assert result.code.tag == "unknown"
        # Another goes first, without the disk that holds the stray copy.
        bench.nodes[0].lose_power()
        await asyncio.sleep(1.0)
        other = _good(await bench.proposer("z").change("k", benches.put(b"theirs", "3")))
        bench.nodes[0].restart()
        await asyncio.sleep(0.1)
        again = await bench.proposer("c").change("k", conditional)
        assert isinstance(again, outcome.Failure)
        assert again.code.tag == "lost_race"
        for node in bench.nodes:
            node.lose_power()
            value = _good(await bench.proposer(f"r{node.name}").read("k"))
            assert (value.version, value.body) == (other.version, b"theirs")
            node.restart()
            await asyncio.sleep(0.1)

    loops.run(main())


def _votes_blank(patch: pytest.MonkeyPatch) -> None:
    # The disk's id and its seat cover for each other: both are taken away.
    barred = voters.Voter._barred

    def lax(self: voters.Voter, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        return barred(self, register.MEMBERS_KEY, self.disk_id, epoch)

    patch.setattr(voters.Voter, "_barred", lax)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_wiped_disk_has_no_vote(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A disk wiped right after it confirmed must not help an older value to a majority."""
    if not guarded:
        _votes_blank(monkeypatch)

    async def main() -> None:
        bench = benches.RegisterBench(6, tmp_path)
        await bench.start()
        bench.nodes[2].lose_power()
        _good(await bench.proposer("a").change("k", benches.put(b"new", "1")))
        # Only 0 and 1 hold it; 1 loses its disk, and 2 comes back without it, too late for
        # the call that was on its way to it.
        await asyncio.sleep(1.0)
        bench.nodes[1].lose_power()
        bench.nodes[1].wipe()
        bench.nodes[1].restart()
        bench.nodes[0].lose_power()
        bench.nodes[2].restart()
        await asyncio.sleep(0.1)
        if not guarded:
            # A majority of one old copy and one blank disk takes back what was confirmed.
            assert _good(await bench.proposer("b").read("k")).version == 0
            return
        assert isinstance(await bench.proposer("b").read("k"), outcome.Failure)
        refused = await bench.proposer("c").change("k", benches.put(b"old", "2"))
        assert isinstance(refused, outcome.Failure)
        assert refused.code.tag == "no_majority"
        bench.nodes[0].restart()
        await asyncio.sleep(0.1)
        assert _good(await bench.proposer("d").read("k")).body == b"new"

    loops.run(main())


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_storm_of_changes_is_one_line_of_versions(seed: int, tmp_path: pathlib.Path) -> None:
    """Random changes and reads under cuts, freezes and power loss: one order explains all."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path)
        await bench.start()
        rng = random.Random(seed)
        facts: list[tuple[float, float, int, bytes]] = []
        refused: set[bytes] = set()

        async def act(n: int) -> None:
            proposer = bench.proposer(f"p{n}")
            for turn in range(14):
                begun = bench.world.loop.time()
                if rng.random() < 0.5:
                    body = f"{n}/{turn}".encode()
                    result = await proposer.change("k", benches.put(body, body.decode()))
                    if isinstance(result, outcome.Failure) and result.code.tag != "unknown":
                        refused.add(body)
                else:
                    result = await proposer.read("k")
                if isinstance(result, outcome.Success):
                    value = result.value
                    facts.append((begun, bench.world.loop.time(), value.version, value.body))
                await asyncio.sleep(rng.uniform(0.0, 0.3))

        async def wreck() -> None:
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
                group.create_task(act(n))
            group.create_task(wreck())
        last = _good(await bench.proposer("end").read("k"))
        facts.append((bench.world.loop.time(), bench.world.loop.time(), last.version, last.body))
        assert len(facts) > 15
        bodies: dict[int, bytes] = {}
        for _, _, version, body in facts:
            assert bodies.setdefault(version, body) == body
        for begun, _, version, _ in facts:
            assert version >= max((v for _, e, v, _ in facts if e < begun), default=0)
        assert not refused & set(bodies.values())

    loops.run(main())


class _Book:
    """Writes down which ballots each disk promised, and under which ones accepts went out."""

    def __init__(self, proposer: proposers.Proposer) -> None:
        self.promised: dict[register.Ballot, set[str]] = {}
        self.asked: list[tuple[register.Ballot, bytes]] = []
        self._call = proposer.quorum._call_client.call
        proposer.quorum._call_client.call = self.call  # type: ignore[method-assign]

    async def call(
        self, address: ports.Address, kind: str, body: frames.Body, timeout_s: float
    ) -> frames.Result:
        if kind == "accept":
            self.asked.append(
                (register.decode_ballot(body["ballot"]), register.decode_value(body["value"]).body)
            )
        result = await self._call(address, kind, body, timeout_s)
        if kind == "prepare" and isinstance(result, outcome.Success):
            self.promised.setdefault(register.decode_ballot(body["ballot"]), set()).add(str(body["disk"]))
        return result


@pytest.mark.parametrize("seed", range(1, 7))
def test_every_accept_carries_the_very_ballot_that_was_promised(seed: int, tmp_path: pathlib.Path) -> None:
    """Two changes of the member key by one proposer, both of which widen the groups."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path, stores=4)
        every = (await bench.start()).groups[0]
        old = every[:3]
        bench.members = register.MemberSet(1, (old,))
        proposer = bench.proposer("a")
        book = _Book(proposer)

        def widen(spare: int, op: str) -> proposers.Step:
            fresh = register.MemberSet(2, (old, tuple(sorted((*old[:spare], *old[spare + 1 :], every[3])))))

            def step(now: register.Value) -> register.Value | outcome.Failure:
                return (
                    now
                    if now.version_of(op) is not None
                    else now.successor(register.member_set_to_body(fresh), op)
                )

            return step

        await asyncio.gather(*(proposer.change(register.MEMBERS_KEY, widen(n, f"{n}")) for n in range(3)))
        assert book.asked
        bodies: dict[register.Ballot, bytes] = {}
        for ballot, body in book.asked:
            groups = register.member_set_from_body(register.Value(1, body)).groups
            assert register.has_majorities((old, *groups), book.promised.get(ballot, ())), ballot
            assert bodies.setdefault(ballot, body) == body, f"two changes share {ballot}"

    loops.run(main())


def test_a_read_overtaken_by_our_own_change_is_not_told_as_nothing(tmp_path: pathlib.Path) -> None:
    """Stores left the value out as we held it; by then we held a newer one."""

    async def main() -> None:
        bench = benches.RegisterBench(2, tmp_path)
        await bench.start()
        proposer = bench.proposer("a")
        _good(await proposer.change("k", benches.put(b"one", "1")))
        # Until the last of the three holds it too.
        await asyncio.sleep(0.1)
        whole = proposer.quorum.call_all

        async def slowly(groups: typing.Any, request: typing.Any, answer: typing.Any) -> typing.Any:
            found: typing.Any = await whole(groups, request, answer)
            if isinstance(request, messages.Read):
                proposer.quorum.call_all = whole  # type: ignore[method-assign]
                _good(await proposer.change("k", benches.put(b"two", "2")))
            return found

        proposer.quorum.call_all = slowly  # type: ignore[method-assign]
        assert _good(await proposer.read("k")).version in (1, 2)
        assert _good(await proposer.read("k")).body == b"two"

    loops.run(main())


def test_a_member_set_never_goes_back(tmp_path: pathlib.Path) -> None:
    """One registry sweeps under a joint set while another finishes it and begins the next."""

    async def main() -> None:
        bench = benches.RegisterBench(3, tmp_path, stores=4)
        every = (await bench.start()).groups[0]
        bench.members = register.MemberSet(1, (every[:3],))
        slow, fast = bench.proposer("slow"), bench.proposer("fast")
        seating, other = _seating(bench, "slow", slow), _seating(bench, "fast", fast)
        joint = register.MemberSet(2, (every[:3], every[1:]))
        for one in (seating, other):
            await one._look(bench.addresses)
        assert await other._move(register.MemberSet(1, (every[:3],)), joint)
        for one, proposer in ((other, fast), (seating, slow)):
            proposer.quorum.adopt(joint)
            await one._install(joint)
        keys = slow.copies.keys

        async def overtaken() -> list[str] | None:
            await other._finish()
            assert fast.members.epoch == 3
            back = register.MemberSet(4, (every[1:], every[:3]))
            assert await other._move(fast.members, back)
            slow.quorum.adopt(back)
            return await keys()

        slow.copies.keys = overtaken  # type: ignore[method-assign]
        await seating._finish()
        held = register.member_set_from_body(_good(await fast.read(register.MEMBERS_KEY)))
        assert held.epoch == 4

    loops.run(main())


def _no_joint_set(patch: pytest.MonkeyPatch) -> None:
    """The new set takes over in one step, by its own majority alone, and nothing is swept."""

    async def install(self: reconfigurations.Reconfiguration, members: register.MemberSet) -> set[str]:
        single = register.MemberSet(members.epoch, members.groups[-1:])
        self._proposer.quorum.members = single
        return await whole(self, single)

    def groups(self: quorums.Quorum, key: str, value: register.Value | None) -> typing.Any:
        return self.members.groups

    whole = reconfigurations.Reconfiguration._install
    patch.setattr(reconfigurations.Reconfiguration, "_install", install)
    patch.setattr(quorums.Quorum, "groups_for", groups)


@pytest.mark.parametrize("guarded", [True, False])
def test_a_swap_with_a_copy_that_lags_loses_nothing(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of the two disks that hold a change one is replaced, and the other is away when it is read."""

    async def main() -> None:
        bench = benches.RegisterBench(9, tmp_path, stores=4)
        every = (await bench.start()).groups[0]
        by_node = {n.daemon.voter.disk_id: n for n in bench.nodes}
        lags, holds, lost, spare = (by_node[disk] for disk, _ in every)
        # The fourth is not seated: it is the blank one that waits.
        spare.daemon.voter._set = register.EMPTY_MEMBER_SET
        bench.members = register.MemberSet(1, (every[:3],))
        lags.lose_power()
        _good(await bench.proposer("a").change("k", benches.put(b"new", "1")))
        lost.lose_power()
        await asyncio.sleep(1.0)
        lags.restart()
        await asyncio.sleep(0.1)
        if not guarded:
            _no_joint_set(monkeypatch)
        driver = bench.proposer("driver")
        seating = _seating(bench, "driver", driver)
        for _ in range(10):
            await seating.reconcile(bench.addresses, ["driver"])
            await asyncio.sleep(0.6)
        assert spare.daemon.voter.has_vote()
        assert not driver.members.is_joint()
        holds.lose_power()
        bench.members = driver.members
        value = _good(await bench.proposer("end").read("k"))
        assert (value.body == b"new") is guarded

    loops.run(main())
