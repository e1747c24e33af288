"""A simulated disk that can stall, and that may lose unsynced writes when its machine loses power.

The files are in a real scratch folder. In addition the disk records what is sure to survive a loss
of power: for each folder the names at its last sync, and for each file the bytes at its last sync.
After a loss of power every name that was made, renamed or removed since then is kept or lost
independently of the others, and every write since then survives, is missing or is torn.
"""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import typing

T = typing.TypeVar("T")

# Possible contents of a file whose bytes were not synced: `MISSING` for a write that was lost, `TORN` for
# one that was written in part.
MISSING: typing.Final = b""
TORN: typing.Final = b"\x00torn"

# Gets the number of outcomes that a loss of power can have for one name or file, and returns the index
# of one of them.
Choose = typing.Callable[[int], int]


@dataclasses.dataclass(slots=True)
class _Durable:
    """What survives a loss of power, by file and folder ids that renames and removals do not change."""

    names: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    contents: dict[int, bytes] = dataclasses.field(default_factory=dict)
    folders: set[int] = dataclasses.field(default_factory=set)


class SimDisk:
    """One simulated disk; a process that starts again gets it through `reopen`."""

    def __init__(self, root: pathlib.Path, rng: random.Random, sync_s: float = 0.0) -> None:
        self._root = root
        self._rng = rng
        # How long one sync takes, in seconds; the syncs of one disk run one after another.
        self.sync_s = sync_s
        self._busy_until = 0.0
        self.dead = False
        self._ids: dict[pathlib.Path, int] = {root: 0}
        self._count = 0
        self._durable = _Durable(names={0: {}}, folders={0})
        # The error message of each step that is to fail, by the name of the step.
        self.step_errors: dict[str, str] = {}
        self.syncs = 0
        # The bytes written by all syncs of files, and how many operations wait for a stalled disk.
        self.synced_bytes = 0
        self.waiting = 0
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()
        self._stall_after_work = False

    @property
    def root(self) -> pathlib.Path:
        return self._root

    def stall(self, after: bool = False) -> None:
        """Block every operation until `resume`: before its first step or, with `after`, after its last."""
        self._stall_after_work = after
        self._not_stalled.clear()

    def resume(self) -> None:
        """End a stall."""
        self._not_stalled.set()

    def _id(self, path: pathlib.Path) -> int:
        if path not in self._ids:
            self._count += 1
            self._ids[path] = self._count
            if path.is_dir():
                self._durable.folders.add(self._count)
        return self._ids[path]

    def _check(self, step: str = "") -> None:
        if self.dead:
            raise OSError("the machine is switched off")
        if step in self.step_errors:
            raise OSError(self.step_errors[step])

    def sync_file(self, path: pathlib.Path) -> None:
        self._check("sync_file")
        self.syncs += 1
        data = path.read_bytes()
        self.synced_bytes += len(data)
        self._durable.contents[self._id(path)] = data

    def sync_folder(self, path: pathlib.Path) -> None:
        self._check("sync_folder")
        self.syncs += 1
        self._durable.names[self._id(path)] = self._live_names(path)

    def _live_names(self, path: pathlib.Path | None) -> dict[str, int]:
        if path is None:
            return {}
        return {inner.name: self._id(inner) for inner in sorted(path.iterdir())}

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self._check("rename")
        self._id(old)
        moved = {p: n for p, n in self._ids.items() if p == old or old in p.parents}
        for path, number in moved.items():
            del self._ids[path]
            self._ids[new / path.relative_to(old) if path != old else new] = number
        old.rename(new)

    def drop(self, path: pathlib.Path) -> None:
        self._check("drop")
        for dropped in [p for p in self._ids if p == path or path in p.parents]:
            del self._ids[dropped]
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)

    async def run(self, operation: typing.Callable[[], T]) -> T:
        self._check()
        if not self._stall_after_work:
            await self._wait_while_stalled()
        syncs_before = self.syncs
        result = operation()
        await self._wait_for_syncs(self.syncs - syncs_before)
        await self._wait_while_stalled()
        return result

    async def _wait_for_syncs(self, syncs: int) -> None:
        """Wait for as long as some syncs take, behind those that were requested before."""
        if not self.sync_s or not syncs:
            return
        now = asyncio.get_running_loop().time()
        self._busy_until = max(now, self._busy_until) + syncs * self.sync_s
        await asyncio.sleep(self._busy_until - now)
        self._check()

    async def _wait_while_stalled(self) -> None:
        if self._not_stalled.is_set():
            return
        self.waiting += 1
        try:
            await self._not_stalled.wait()
        finally:
            self.waiting -= 1
        self._check()

    def lose_power(self, choose: Choose | None = None) -> None:
        """Keep what was synced; `choose` (or a random choice) decides what else survives."""
        self.dead = True
        survivors = self._root.with_name(self._root.name + "-kept")
        outcome = _PowerLoss(self._ids, self._durable, choose or self._rng.randrange, self._live_names)
        outcome.rebuild(0, survivors)
        shutil.rmtree(self._root)
        survivors.rename(self._root)

    def reopen(self) -> "SimDisk":
        """Return the same disk as the next process that starts on it finds it."""
        reopened = SimDisk(self._root, self._rng, self.sync_s)
        if not self.dead:
            # Only the process ended, not the machine: its unsynced writes are still there, unsynced.
            self.dead = True
            reopened._ids, reopened._count, reopened._durable = self._ids, self._count, self._durable
            reopened._not_stalled, reopened._stall_after_work = self._not_stalled, self._stall_after_work
            return reopened
        for path in [self._root, *sorted(self._root.rglob("*"))]:
            number = reopened._id(path)
            if path.is_dir():
                reopened._durable.names[number] = reopened._live_names(path)
            else:
                reopened._durable.contents[number] = path.read_bytes()
        return reopened


class _PowerLoss:
    """One possible outcome of a loss of power, chosen for each name and each file."""

    def __init__(
        self,
        ids: dict[pathlib.Path, int],
        durable: _Durable,
        choose: Choose,
        live_names: typing.Callable[[pathlib.Path | None], dict[str, int]],
    ) -> None:
        self._ids = ids
        self._durable = durable
        self._choose = choose
        self._live_names = live_names

    def _live_path(self, number: int) -> pathlib.Path | None:
        return next((path for path, path_id in self._ids.items() if path_id == number), None)

    def rebuild(self, number: int, target: pathlib.Path) -> None:
        """Write a folder as it survived: each name changed since the last sync is kept or lost on its own."""
        target.mkdir()
        for name, child in sorted(self._surviving_names(number).items()):
            if child in self._durable.folders:
                self.rebuild(child, target / name)
            else:
                (target / name).write_bytes(self._surviving_bytes(child))

    def _surviving_names(self, number: int) -> dict[str, int]:
        synced = self._durable.names.get(number, {})
        live = self._live_names(self._live_path(number))
        names: dict[str, int] = {}
        for name in sorted({*synced, *live}):
            synced_id, live_id = synced.get(name), live.get(name)
            survivor = live_id if synced_id == live_id or self._choose(2) else synced_id
            if survivor is not None:
                names[name] = survivor
        return names

    def _surviving_bytes(self, number: int) -> bytes:
        synced = self._durable.contents.get(number, MISSING)
        path = self._live_path(number)
        if path is None:
            return synced
        live = path.read_bytes()
        if number in self._durable.contents and live == synced:
            return synced
        return (synced, TORN, live)[self._choose(3)]
