"""Failures of the stores' disks: lost, full, stalled, damaged, and such that refuse a step of a write."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

# How long a disk that stalls answers nothing.
STALL_S: typing.Final = 3.0


async def lose_store_disk(stage: stages.Stage) -> None:
    """The disk goes right after a change was confirmed; an empty one comes."""
    core = stage.core()
    await stage.change(core)
    core.store.lose_power()
    core.store.wipe()
    await asyncio.sleep(1.0)
    core.store.restart()
    await stage.wait_until_all_vote()
    await stage.fleet.get(core)


async def fill_disk(stage: stages.Stage) -> None:
    """A disk is full: its store votes no more and says so; it does again once there is room."""
    await _spoil_disk(stage, "sync_file", "no space left on device")


async def fail_sync(stage: stages.Stage) -> None:
    """A disk refuses to sync a folder: what it wrote may or may not last."""
    await _spoil_disk(stage, "sync_folder", "input/output error")


async def fail_rename(stage: stages.Stage) -> None:
    """A disk refuses the last step of a write."""
    await _spoil_disk(stage, "rename", "input/output error")


async def _spoil_disk(stage: stages.Stage, step: str, why: str) -> None:
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.step_errors[step] = why
    for _ in range(3):
        await stage.change()
    await stage.fleet.get(stage.core())
    if core.store.daemon.voter.disk_fault != why:
        stage.report_failure(f"a store on a disk that said '{why}' goes on voting")
    await asyncio.sleep(1.0)
    core.store.kill()
    disk.step_errors.clear()
    core.store.restart()
    await stage.wait_until_all_vote()
    await stage.change(core)
    await stage.fleet.get(core)


async def stall_disk(stage: stages.Stage) -> None:
    """A disk answers nothing for a while: changes and reads go on, and its store votes again after."""
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.stall(after=stage.rng.random() < 0.5)
    begun = stage.fleet.clock.now()
    for _ in range(3):
        await stage.change()
    await stage.fleet.get(core)
    await asyncio.sleep(max(0.0, begun + STALL_S - stage.fleet.clock.now()))
    disk.resume()
    await stage.change(core)
    if core.store.daemon.voter.disk_fault:
        stage.report_failure("a store whose disk goes on does not vote")
    await stage.fleet.get(core)


async def damage_disk(stage: stages.Stage) -> None:
    """A file is found damaged at start: the store refuses, until its disk is emptied."""
    core = stage.core()
    await stage.change(core)
    core.store.lose_power()
    disk = core.store.disk
    assert disk is not None
    for path in sorted((disk.root / "register").glob("*/g*/db.dat"))[:1]:
        data = bytearray(path.read_bytes())
        data[3] ^= 1
        path.write_bytes(bytes(data))
    core.store.restart()
    await asyncio.sleep(1.0)
    if "StorageDamageError" not in core.store.crash:
        stage.report_failure("a store took up a damaged file")
    # That it ended by itself is what was asked for here.
    core.store.crash = ""
    await stage.change()
    core.store.wipe()
    core.store.restart()
    await stage.wait_until_all_vote()
    await stage.fleet.get(core)


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "lose_store_disk": lose_store_disk,
    "fill_disk": fill_disk,
    "fail_sync": fail_sync,
    "fail_rename": fail_rename,
    "stall_disk": stall_disk,
    "damage_disk": damage_disk,
}
