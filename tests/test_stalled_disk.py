"""A store whose disk stalls or is full: nothing but its own vote waits for the disk."""

import asyncio
import contextlib
import pathlib
import random
import threading
import time
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.ports.threads as threads
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.voter as voters
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.standin.shape as shapes

SMALL: typing.Final = shapes.Shape(
    "small", 1, 3, ("z1",), (shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.01),)
)
OLD: typing.Final = register.Value(1, b"old")
NEW: typing.Final = register.Value(2, b"new")
# Maximum duration of a call to the simulated or real voter that does not wait for its disk.
MAX_PROMPT_S: typing.Final = 0.2


class SingleVoter:
    """A voter that is the only member of its set, called without a network."""

    def __init__(self, disk: ports.Disk) -> None:
        self.disk = disk
        self.voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(1))

    async def start(self) -> None:
        await self.voter.open()
        group = ((self.voter.disk_id, "10.0.0.1:1"),)
        members = register.MemberSet(1, (group,))
        await self._call(messages.Install(members, self.voter.disk_id))

    async def _call(self, request: messages.Request) -> frames.Body:
        result = await self.voter.kinds()[request.KIND](messages.encode(request))
        assert isinstance(result, outcome.Success), result
        return result.value

    async def refusal(self, request: messages.Request) -> str:
        result = await self.voter.kinds()[request.KIND](messages.encode(request))
        assert isinstance(result, outcome.Failure), result
        return result.code.tag

    def prepare(self, count: int, key: str = "k") -> messages.Prepare:
        return messages.Prepare(key, (count, "p"), 1, self.voter.disk_id)

    async def promise(self, count: int, key: str = "k") -> messages.Promise:
        return messages.decode(messages.Promise, await self._call(self.prepare(count, key)))

    async def accept(self, count: int, value: register.Value, key: str = "k") -> None:
        await self._call(messages.Accept(key, (count, "p"), value, 1, self.voter.disk_id))

    async def read(self, key: str = "k") -> messages.ReadReply:
        request = messages.Read(key, 1, self.voter.disk_id)
        return messages.decode(messages.ReadReply, await self._call(request))

    async def keys(self) -> tuple[str, ...]:
        request = messages.Keys(1, self.voter.disk_id)
        return messages.decode(messages.KeysReply, await self._call(request)).keys

    async def state(self) -> frames.Body:
        result = await self.voter.kinds()["state"]({})
        assert isinstance(result, outcome.Success)
        return result.value


def _sim_disk(root: pathlib.Path) -> disks.SimDisk:
    root.mkdir()
    return disks.SimDisk(root, random.Random(1))


async def _assert_running(task: "asyncio.Task[None]") -> None:
    await asyncio.sleep(0.01)
    assert not task.done()


@pytest.mark.parametrize("after", [False, True])
def test_reads_and_state_are_answered_while_a_write_is_stalled(after: bool, tmp_path: pathlib.Path) -> None:
    """Reads return the durable value, never the one being written, until the write is durable."""

    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        await member.accept(1, OLD)
        await member.accept(1, OLD, "other")
        disk.stall(after)
        write = asyncio.create_task(member.accept(2, NEW))
        await _assert_running(write)
        started_at = asyncio.get_running_loop().time()
        reply = await member.read()
        assert (reply.ballot, reply.value) == ((1, "p"), OLD)
        assert (await member.read("other")).value == OLD
        assert await member.keys() == ("k", "other")
        assert (await member.state())["seated"]
        assert asyncio.get_running_loop().time() == started_at
        disk.resume()
        await write
        assert (await member.read()).value == NEW

    loops.run(main())


def test_votes_are_refused_rather_than_queued_behind_a_stalled_write(tmp_path: pathlib.Path) -> None:
    """Votes that nobody waits for any more are not written once the disk works again."""

    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        disk.stall()
        write = asyncio.create_task(member.promise(1))
        await _assert_running(typing.cast("asyncio.Task[None]", write))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert await member.refusal(member.prepare(2)) == "disk_fault"
        assert loop.time() - started_at <= voters.STALL_S + MAX_PROMPT_S
        assert (await member.state())["damaged"] == "a write is stalled"
        started_at = loop.time()
        for count in range(3, 200):
            assert await member.refusal(member.prepare(count, f"k{count % 5}")) == "disk_fault"
        assert loop.time() == started_at
        assert disk.waiting == 1
        syncs = disk.syncs
        disk.resume()
        await write
        # One write of three files and two directories, plus the key's directory: there is no backlog.
        assert disk.syncs - syncs <= 6
        assert (await member.state())["damaged"] == ""
        assert (await member.promise(2)).ballot == register.ZERO_BALLOT

    loops.run(main())


@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_a_promise_told_after_a_stall_outlives_a_power_loss(
    seed: int, after: bool, tmp_path: pathlib.Path
) -> None:
    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        disk.stall(after)
        vote = asyncio.create_task(member.promise(5))
        await asyncio.sleep(0.3)
        assert not vote.done()
        disk.resume()
        await vote
        rng = random.Random(seed)
        disk.lose_power(rng.randrange)
        restarted = SingleVoter(disk.reopen())
        await restarted.voter.open()
        assert restarted.voter.disk_id == member.voter.disk_id
        late = messages.Accept("k", (4, "p"), NEW, 1, restarted.voter.disk_id)
        assert await restarted.refusal(late) == "outvoted"

    loops.run(main())


def test_a_full_disk_answers_reads_and_votes_again_when_there_is_room(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        await member.accept(1, OLD)
        disk.step_errors = {"sync_file": "no space left on device"}
        assert await member.refusal(member.prepare(2)) == "disk_fault"
        assert (await member.state())["damaged"] == "no space left on device"
        assert (await member.read()).value == OLD
        disk.step_errors = {}
        assert (await member.promise(2)).value == OLD
        assert (await member.state())["damaged"] == ""

    loops.run(main())


@pytest.mark.parametrize("step", ["rename"])
def test_a_disk_whose_content_is_not_known_answers_nothing(step: str, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        await member.accept(1, OLD)
        disk.step_errors = {step: "input/output error"}
        assert await member.refusal(member.prepare(2)) == "disk_fault"
        disk.step_errors = {}
        assert await member.refusal(member.prepare(2)) == "disk_fault"
        assert await member.refusal(messages.Read("k", 1, member.voter.disk_id)) == "disk_fault"

    loops.run(main())


def test_changes_do_not_wait_for_the_store_that_stalls(tmp_path: pathlib.Path) -> None:
    """Layouts and reads at every registry, also at the one beside the stalled store."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 3, tmp_path)
        await fleet.start()
        loop = asyncio.get_running_loop()
        slowest = {}
        for core in fleet.cores:
            disk = core.store.disk
            assert disk is not None
            disk.stall()
            durations_s = []
            for turn in range(20):
                started_at = loop.time()
                layout = SMALL.layout()
                layout["rules"].append({"path": f"/more{turn}", "service": "pages"})
                await fleet.apply(layout)
                assert (await fleet.get(fleet.cores[turn % 3])).status == 200
                durations_s.append(loop.time() - started_at)
                assert disk.waiting <= 8
            slowest[core.store.name] = max(durations_s)
            disk.resume()
            await fleet.until(lambda: len(_ballots(fleet)) == 1, 20, "all copies the same")
        assert max(slowest.values()) < 0.8, slowest

    loops.run(main())


def _ballots(fleet: fleets.SimFleet) -> set[register.Ballot]:
    return {core.store.daemon.voter._key_states["layout"].ballot for core in fleet.cores}


def test_a_store_whose_disk_stalls_from_the_start_stops_when_told(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 3, tmp_path)
        await fleet.start()
        store = fleet.cores[0].store
        store.kill()
        assert store.disk is not None
        store.disk.stall()
        store.restart()
        await asyncio.sleep(1.0)
        assert await store.stop(2.0)

    loops.run(main())


def test_a_store_whose_disk_refuses_to_open_tries_again(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 3, tmp_path)
        await fleet.start()
        store = fleet.cores[0].store
        store.kill()
        assert store.disk is not None
        store.disk = store.disk.reopen()
        store.disk.step_errors = {"sync_folder": "input/output error"}
        store.start()
        await asyncio.sleep(2.0)
        assert not store.crash
        store.disk.step_errors = {}
        await fleet.until(lambda: store.daemon.voter.has_vote(), 5, "the store")

    loops.run(main())


class _StalledDisk(real.RealDisk):
    """A real disk whose file syncs block their thread until they are released."""

    def __init__(self, root: pathlib.Path) -> None:
        super().__init__(root)
        self.released = threading.Event()
        self.released.set()

    def sync_file(self, path: pathlib.Path) -> None:
        self.released.wait()
        super().sync_file(path)


def test_a_real_disk_that_stalls_holds_neither_reads_nor_the_end_of_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Neither the event loop nor the interpreter waits for the thread of the disk."""
    disk = _StalledDisk(tmp_path)

    async def main() -> None:
        member = SingleVoter(disk)
        await member.start()
        await member.accept(1, OLD)
        disk.released.clear()
        write = asyncio.create_task(member.accept(2, NEW))
        await _assert_running(write)
        started_at = time.monotonic()
        assert (await member.read()).value == OLD
        assert (await member.state())["seated"]
        assert time.monotonic() - started_at < MAX_PROMPT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await asyncio.shield(write)
        assert not write.done()

    started_at = time.monotonic()
    asyncio.run(main())
    assert time.monotonic() - started_at < 5.0
    stuck = [thread for thread in threading.enumerate() if thread.name == "disk"]
    assert stuck and all(thread.daemon for thread in stuck)
    disk.released.set()


def test_a_write_that_was_cut_off_leaves_nothing_to_answer_from(tmp_path: pathlib.Path) -> None:
    """The disk may still be executing it, so neither the older nor the newer record is certain."""

    async def main() -> None:
        disk = _sim_disk(tmp_path / "disk")
        member = SingleVoter(disk)
        await member.start()
        disk.stall()
        write = asyncio.create_task(member.accept(2, NEW))
        await _assert_running(write)
        write.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await write
        disk.resume()
        assert await member.refusal(member.prepare(3)) == "disk_fault"
        assert (await member.state())["damaged"] == "a write was cut off"

    loops.run(main())


def test_threads_of_a_disk_work_side_by_side_and_tell_of_failures() -> None:
    """A stalled job delays no other; jobs beyond the number of threads wait in a queue."""
    pool = threads.DaemonThreads()
    released = threading.Event()

    def fail() -> None:
        raise OSError("input/output error")

    async def main() -> None:
        stalled = asyncio.create_task(pool.run(released.wait))
        await asyncio.sleep(0.01)
        results = await asyncio.gather(*(pool.run(lambda n=n: n * 2) for n in range(20)))  # type: ignore[misc]
        assert results == [n * 2 for n in range(20)]
        with pytest.raises(OSError, match="input/output error"):
            await pool.run(fail)
        assert not stalled.done()
        released.set()
        assert await stalled

    before = threading.active_count()
    asyncio.run(main())
    assert threading.active_count() - before <= threads.MAX_THREADS
