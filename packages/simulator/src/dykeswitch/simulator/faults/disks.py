"""Failures of the stores' disks: lost, full, stalled, damaged, or failing at one step of a write."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

STALL_S: typing.Final = 3.0


async def lose_store_disk(stage: stages.Stage) -> None:
    """A store's disk is lost right after a change was confirmed and replaced by an empty one."""
    core = stage.core()
    await stage.change(core)
    core.store.lose_power()
    core.store.wipe()
    await asyncio.sleep(1.0)
    core.store.restart()
    await stage.wait_until_all_vote()
    await stage.fleet.get(core)


async def fill_disk(stage: stages.Stage) -> None:
    """A disk is full: its store stops voting and reports it, and votes again once there is space."""
    await _break_disk(stage, "sync_file", "no space left on device")


async def fail_sync(stage: stages.Stage) -> None:
    """A disk fails to sync a folder: what was written may or may not be durable."""
    await _break_disk(stage, "sync_folder", "input/output error")


async def fail_rename(stage: stages.Stage) -> None:
    """A disk fails at the rename, the last step of a write."""
    await _break_disk(stage, "rename", "input/output error")


async def _break_disk(stage: stages.Stage, step: str, failure: str) -> None:
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.step_errors[step] = failure
    for _ in range(3):
        await stage.change()
    await stage.fleet.get(stage.core())
    if core.store.daemon.voter.disk_fault != failure:
        stage.report_failure(f"a store went on voting after its disk failed with '{failure}'")
    await asyncio.sleep(1.0)
    core.store.kill()
    disk.step_errors.clear()
    core.store.restart()
    await stage.wait_until_all_vote()
    await stage.change(core)
    await stage.fleet.get(core)


async def stall_disk(stage: stages.Stage) -> None:
    """A disk stalls for a while: changes and reads go on, and its store votes again afterwards."""
    core = stage.core()
    disk = core.store.disk
    assert disk is not None
    disk.stall(after=stage.rng.random() < 0.5)
    started_at = stage.fleet.clock.now()
    for _ in range(3):
        await stage.change()
    await stage.fleet.get(core)
    await asyncio.sleep(max(0.0, started_at + STALL_S - stage.fleet.clock.now()))
    disk.resume()
    await stage.change(core)
    if core.store.daemon.voter.disk_fault:
        stage.report_failure("a store did not vote although its disk works again")
    await stage.fleet.get(core)


async def damage_disk(stage: stages.Stage) -> None:
    """A file is found damaged at start: the store refuses to start until its disk is emptied."""
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
        stage.report_failure("a store accepted a damaged file")
    # The crash is expected here.
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
