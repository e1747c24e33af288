"""Reads of the register with differing copies finish soon, however many readers there are."""

import asyncio
import pathlib
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.shared_reads as shared_reads
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.registerbench as benches
import dykeswitch.standin.shape as shapes

PAGES: typing.Final = shapes.ServiceShape("pages", 3, 20, "/pages", "GET", 0.05)
# As many proxies, and disks as slow, as in a small deployment.
SHAPE: typing.Final = shapes.Shape("eleven", 11, 3, ("z1", "z2"), (PAGES,))
SYNC_S: typing.Final = 0.005


def _layout(path: str) -> dict[str, typing.Any]:
    doc = SHAPE.layout()
    doc["rules"].append({"path": path, "service": "pages"})
    return doc


def _slow_down(fleet: fleets.SimFleet) -> None:
    for core in fleet.cores:
        assert core.store.disk is not None
        core.store.disk.sync_s = SYNC_S


async def _restart_with_unlike_copies(fleet: fleets.SimFleet) -> None:
    """One store misses the last change; then all lose power, and another one loses its disk."""
    _slow_down(fleet)
    lagging = fleet.cores[2]
    names = [name for name in fleet.world.nodes if name != lagging.store.name]
    fleet.world.links.cut([lagging.store.name], names)
    assert (await fleet.put(_layout("/more"), fleet.cores[0])).status == 200
    for core in fleet.cores:
        core.registry.lose_power()
        core.store.lose_power()
    for edge in fleet.edges:
        edge.node.lose_power()
    fleet.world.links.heal()
    fleet.cores[0].store.wipe()
    _slow_down(fleet)
    await asyncio.sleep(0.5)
    for core in fleet.cores:
        core.store.restart()
        core.registry.restart()
    for edge in fleet.edges:
        edge.node.restart()


@pytest.mark.parametrize("seed", range(1, 7))
def test_proxies_are_confirmed_soon_by_stores_with_unlike_copies(seed: int, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SHAPE, seed, tmp_path)
        await fleet.start()
        await _restart_with_unlike_copies(fleet)

        def all_ready() -> bool:
            return all(e.node.daemon and e.node.daemon.ready() is None for e in fleet.edges)

        duration_s = await fleet.until(all_ready, 15.0, "every proxy is confirmed again")
        print(f"every proxy confirmed after {duration_s:.2f} s")
        assert duration_s < 1.0

    loops.run(main())


READERS: typing.Final = 11
DISPUTED_BALLOT: typing.Final[register.Ballot] = (900, "gone")


async def _send(
    bench: benches.RegisterBench, store: int, request: messages.Prepare | messages.Accept
) -> None:
    call_client = frames.CallClient(bench.outside.net)
    result = await call_client.call(bench.addresses[store], request.KIND, messages.encode(request), 1.0)
    assert isinstance(result, outcome.Success), result


async def _unlike_copies(bench: benches.RegisterBench, promised_to_lost_proposer: bool) -> None:
    """Store 0 is down, only store 1 has the newest value, and store 2 may have promised a later ballot."""
    first = bench.proposer("first")
    assert isinstance(await first.change("k", benches.put(b"old", "1")), outcome.Success)
    await asyncio.sleep(0.2)
    disks = [node.daemon.voter.disk_id for node in bench.nodes]
    value = register.Value(2, b"new", (("1", 1), ("2", 2)))
    epoch = bench.members.epoch
    await _send(bench, 1, messages.Prepare("k", (500, "first"), epoch, disks[1]))
    await _send(bench, 1, messages.Accept("k", (500, "first"), value, epoch, disks[1]))
    if promised_to_lost_proposer:
        await _send(bench, 2, messages.Prepare("k", DISPUTED_BALLOT, epoch, disks[2]))
    bench.nodes[0].lose_power()


@pytest.mark.parametrize("promised", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_readers_of_unlike_copies_all_come_to_an_end(
    seed: int, promised: bool, tmp_path: pathlib.Path
) -> None:
    """Three registries with eleven readers each; two of three stores are up, so both must agree."""

    async def main() -> None:
        bench = benches.RegisterBench(seed, tmp_path)
        await bench.start()
        for node in bench.nodes:
            assert node.disk is not None
            node.disk.sync_s = SYNC_S
        await _unlike_copies(bench, promised)
        registries = [bench.proposer(f"r{n}") for n in range(3)]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reads = await asyncio.gather(*(one.read("k") for one in registries for _ in range(READERS)))
        assert {read.value.body if isinstance(read, outcome.Success) else b"" for read in reads} == {b"new"}
        assert loop.time() - started_at < 1.0

    loops.run(main())


def test_a_read_completes_what_its_proposer_left_half_written(tmp_path: pathlib.Path) -> None:
    """The read sends the original accept again instead of a ballot of its own, and outvotes nobody."""

    async def main() -> None:
        bench = benches.RegisterBench(4, tmp_path)
        await bench.start()
        await _unlike_copies(bench, promised_to_lost_proposer=False)
        reader = bench.proposer("reader")
        result = await reader.read("k")
        assert isinstance(result, outcome.Success) and result.value.body == b"new"
        key_states = [node.daemon.voter._key_states["k"] for node in bench.nodes[1:]]
        assert {key_state.ballot for key_state in key_states} == {(500, "first")}
        assert reader.repaired == 0

    loops.run(main())


def test_an_accept_that_comes_again_costs_the_disk_nothing(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        bench = benches.RegisterBench(5, tmp_path, stores=1)
        await bench.start()
        node = bench.nodes[0]
        assert node.disk is not None
        accept = messages.Accept(
            "k", (3, "a"), register.Value(1, b"one"), bench.members.epoch, node.daemon.voter.disk_id
        )
        await _send(bench, 0, accept)
        syncs = node.disk.syncs
        await _send(bench, 0, accept)
        assert node.disk.syncs == syncs

    loops.run(main())


class _Rounds:
    """Reads that finish when released and return the number of their round."""

    def __init__(self) -> None:
        self.started_count = 0
        self.gates: list[asyncio.Event] = []

    async def read(self, key: str) -> int:
        self.started_count += 1
        number = self.started_count
        gate = asyncio.Event()
        self.gates.append(gate)
        await gate.wait()
        return number


async def _run_pending_tasks() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def test_a_reader_never_joins_a_round_that_has_begun() -> None:
    async def main() -> None:
        rounds = _Rounds()
        shared = shared_reads.SharedReads(rounds.read, overlap_s=60.0)
        first = asyncio.create_task(shared.read("k"))
        await _run_pending_tasks()
        later = [asyncio.create_task(shared.read("k")) for _ in range(50)]
        await _run_pending_tasks()
        assert rounds.started_count == 1
        rounds.gates[0].set()
        await _run_pending_tasks()
        assert rounds.started_count == 2
        rounds.gates[1].set()
        assert await first == 1
        assert set(await asyncio.gather(*later)) == {2}

    asyncio.run(main())


def test_a_round_that_takes_long_does_not_hold_up_the_next() -> None:
    async def main() -> None:
        rounds = _Rounds()
        shared = shared_reads.SharedReads(rounds.read, overlap_s=0.01)
        stuck = asyncio.create_task(shared.read("k"))
        await _run_pending_tasks()
        later = asyncio.create_task(shared.read("k"))
        await asyncio.sleep(0.1)
        assert rounds.started_count == 2
        rounds.gates[1].set()
        assert await later == 2
        assert not stuck.done()
        rounds.gates[0].set()
        assert await stuck == 1

    asyncio.run(main())


def test_a_reader_who_gives_up_does_not_end_the_round_of_the_others() -> None:
    async def main() -> None:
        rounds = _Rounds()
        shared = shared_reads.SharedReads(rounds.read, overlap_s=60.0)
        impatient, patient = (asyncio.create_task(shared.read("k")) for _ in range(2))
        await _run_pending_tasks()
        impatient.cancel()
        await _run_pending_tasks()
        rounds.gates[0].set()
        assert await patient == 1
        assert impatient.cancelled()

    asyncio.run(main())


def test_our_own_changes_of_a_key_do_not_outvote_each_other(tmp_path: pathlib.Path) -> None:
    """Eight concurrent changes by one registry are each accepted in the first attempt."""

    async def main() -> None:
        bench = benches.RegisterBench(6, tmp_path)
        await bench.start()
        for node in bench.nodes:
            assert node.disk is not None
            node.disk.sync_s = SYNC_S
        proposer = bench.proposer("a")
        results = await asyncio.gather(
            *(proposer.change("k", benches.put(f"{n}".encode(), f"{n}")) for n in range(8))
        )
        assert sorted(r.value.version for r in results if isinstance(r, outcome.Success)) == list(range(1, 9))
        # One ballot for each change: there were no retries.
        assert proposer._count == 8

    loops.run(main())
