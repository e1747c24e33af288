"""The cost of a change stays constant over hundreds of changes to large layouts."""

import asyncio
import dataclasses
import gc
import json
import pathlib
import random
import tracemalloc
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.register.storage as storage
import dykeswitch.register.voter as voters
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.shape as shapes

ROUTES: typing.Final = 300
STORES: typing.Final = 3
CALL_TIMEOUT_S: typing.Final = 0.5
MISSED_CHANGES: typing.Final = 40
SMALL: typing.Final = shapes.Shape(
    "small", 1, 3, ("z1",), (shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.01),)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What a number of changes cost on one store."""

    changes: int
    bytes_per_change: float
    syncs_per_change: float
    files: int
    bytes_on_disk: int
    open_syncs: int
    memory: int


def _layout(change: int) -> bytes:
    """A document of hundreds of routes; each change alters one of them."""
    routes = [
        {"path": f"/route-{n}/part", "service": f"service-{n % 20}", "methods": ["GET"], "expiry_s": 1.5}
        for n in range(ROUTES)
    ]
    routes[change % ROUTES]["path"] = f"/changed-{change:06d}/part"
    return json.dumps({"rules": routes}).encode()


class Stores:
    """Voters, and a call client that calls them directly."""

    def __init__(self, scratch: pathlib.Path) -> None:
        self.disks: list[disks.SimDisk] = []
        self.voters: dict[str, voters.Voter] = {}
        for number in range(STORES):
            root = scratch / f"disk{number}"
            root.mkdir()
            self.disks.append(disks.SimDisk(root, random.Random(number)))

    async def start(self) -> proposers.Proposer:
        for number, disk in enumerate(self.disks):
            self.voters[self.address(number)] = await _open(disk)
        group = tuple(sorted((voter.disk_id, address) for address, voter in self.voters.items()))
        members = register.MemberSet(1, (group,))
        for voter in self.voters.values():
            result = await voter.kinds()["install"]({"set": members.to_wire(), "disk": voter.disk_id})
            assert isinstance(result, outcome.Success)
        proposer = proposers.Proposer(
            "p",
            typing.cast(frames.CallClient, self),
            worlds.SimClock(typing.cast(loops.VirtualLoop, asyncio.get_running_loop())),
            ports.NoFaultPoints(),
            CALL_TIMEOUT_S,
            random.Random(1),
        )
        proposer.quorum.adopt(members)
        return proposer

    @staticmethod
    def address(number: int) -> str:
        return f"10.0.0.{number + 1}:1"

    async def call(self, address: str, kind: str, body: frames.Body, timeout_s: float) -> frames.Result:
        return await self.voters[address].kinds()[kind](body)


async def _open(disk: disks.SimDisk) -> voters.Voter:
    voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(str(disk.root)))
    await voter.open()
    return voter


def _put(change: int) -> proposers.Step:
    def step(now: register.Value) -> register.Value:
        return now.successor(_layout(change), f"op-{change}")

    return step


async def _cost_after(scratch: pathlib.Path, changes: int) -> Cost:
    stores = Stores(scratch)
    proposer = await stores.start()
    disk = stores.disks[0]
    bytes_before, syncs_before = disk.synced_bytes, disk.syncs
    for change in range(changes):
        result = await proposer.change("layout", _put(change))
        assert isinstance(result, outcome.Success)
        # The late call of each round ends before the next change.
        await asyncio.sleep(0)
    await asyncio.sleep(CALL_TIMEOUT_S)
    written, syncs = disk.synced_bytes - bytes_before, disk.syncs - syncs_before
    files = [path for path in disk.root.rglob("*") if path.is_file()]
    on_disk = sum(path.stat().st_size for path in files)
    disk.lose_power(lambda options: 0)
    restarted_disk = disk.reopen()
    gc.collect()
    tracemalloc.start()
    voter = await _open(restarted_disk)
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    key_state = voter._key_states["layout"]
    assert (key_state.value.version, key_state.value.body) == (changes, _layout(changes - 1))
    assert len(key_state.value.ops) <= register.MAX_OPS
    return Cost(
        changes, written / changes, syncs / changes, len(files), on_disk, restarted_disk.syncs, memory
    )


def test_what_a_change_costs_does_not_grow_with_the_changes_before(tmp_path: pathlib.Path) -> None:
    """Bytes and syncs per change, remaining files and the cost of a start don't grow with changes."""

    async def cost(changes: int) -> Cost:
        scratch = tmp_path / f"{changes}"
        scratch.mkdir()
        return await _cost_after(scratch, changes)

    costs = [loops.run(cost(changes)) for changes in (30, 100, 300)]
    first, last = costs[0], costs[-1]
    for measured in costs:
        print(measured)
        # The promise and the accept each write the whole record, with little overhead.
        assert measured.bytes_per_change < 2.2 * len(_layout(0))
        assert measured.files == first.files
        assert measured.open_syncs == first.open_syncs
    assert last.bytes_per_change < first.bytes_per_change * 1.05
    assert last.syncs_per_change <= first.syncs_per_change
    assert last.bytes_on_disk < first.bytes_on_disk * 1.05
    assert last.memory < first.memory * 1.1


def test_one_generation_of_a_key_is_left_at_any_time(tmp_path: pathlib.Path) -> None:
    disk = disks.SimDisk(tmp_path, random.Random(1))
    opened_storage = storage.Storage(disk, ports.NoFaultPoints())
    opened_storage.open()
    for number in range(300):
        opened_storage.put("k", number)
        names = [path.name for path in (tmp_path / "register" / b"k".hex()).iterdir()]
        assert names == [f"g{number + 1:012d}"]


@pytest.mark.parametrize("changes", [1, 200])
def test_a_member_that_missed_changes_needs_one_write_to_be_current(
    changes: int, tmp_path: pathlib.Path
) -> None:
    """The member votes at once with what is on its disk; one sweep brings the newest value."""

    async def main() -> None:
        stores = Stores(tmp_path)
        proposer = await stores.start()
        assert isinstance(await proposer.change("layout", _put(0)), outcome.Success)
        absent = stores.address(2)
        voter = stores.voters.pop(absent)

        async def call(address: str, kind: str, body: frames.Body, timeout_s: float) -> frames.Result:
            if address not in stores.voters:
                return outcome.failure("no_reply", address)
            return await stores.voters[address].kinds()[kind](body)

        proposer.quorum._call_client.call = call  # type: ignore[method-assign]
        for change in range(1, changes + 1):
            assert isinstance(await proposer.change("layout", _put(change)), outcome.Success)
        stores.voters[absent] = voter
        disk = stores.disks[2]
        syncs = disk.syncs
        assert await proposer.repair_copies() == 1
        await asyncio.sleep(CALL_TIMEOUT_S)
        assert voter._key_states["layout"].value.version == changes + 1
        # The missed accept is sent again: one write of three files and two directories.
        assert disk.syncs - syncs == 5

    loops.run(main())


@pytest.mark.parametrize("how", ["killed", "without power", "frozen", "wiped"])
def test_a_member_is_current_soon_after_it_is_back(how: str, tmp_path: pathlib.Path) -> None:
    """After 40 missed changes a store soon has the newest layout and its vote again."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 3, tmp_path)
        await fleet.start()
        core = fleet.cores[2]
        _take_away(core.store, how)
        for change in range(MISSED_CHANGES):
            await fleet.apply({**SMALL.layout(), "rules": _rules(change)})
            await asyncio.sleep(0.5)
        # Until the last call that was on its way to the store has ended.
        await asyncio.sleep(2.0)
        _bring_back(core.store, how)
        duration_s = await fleet.until(lambda: _current(fleet), 30, "the store being current")
        print(f"{how}: current with a vote after {duration_s:.1f} s")
        # The bound is one sweep per third of `recover_s`; a blank disk gets its vote first.
        assert duration_s < 7.0

    loops.run(main())


def _take_away(store: worlds.Node, how: str) -> None:
    if how == "killed":
        store.kill()
    elif how == "frozen":
        store.freeze()
    else:
        store.lose_power()
        if how == "wiped":
            store.wipe()


def _bring_back(store: worlds.Node, how: str) -> None:
    if how == "frozen":
        store.thaw()
    else:
        store.restart()


def _rules(change: int) -> list[dict[str, typing.Any]]:
    return [{"path": f"/route-{n}" if n else f"/changed-{change}", "service": "pages"} for n in range(ROUTES)]


def _current(fleet: fleets.SimFleet) -> bool:
    daemons = [core.store.daemon for core in fleet.cores]
    if any(daemon is None or not daemon.voter.has_vote() for daemon in daemons):
        return False
    if any(daemon.voter.members.is_joint() for daemon in daemons):
        return False
    ballots = {
        daemon.voter._key_states["layout"].ballot
        for daemon in daemons
        if "layout" in daemon.voter._key_states
    }
    return len(ballots) == 1 and all("layout" in daemon.voter._key_states for daemon in daemons)
