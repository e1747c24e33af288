"""A disk that loses what was not synced when its machine loses power, and that can stall.

Files lie in a real scratch folder. Beside it stands what a loss of power is sure to leave:
for each folder the names of its last sync, for each file the bytes of its last sync. Every
name that was made, renamed or removed since is kept or lost by itself, and every write since
survives, goes missing or is torn.
"""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import typing

T = typing.TypeVar("T")

# What a file may hold whose bytes were not synced: the first stands for a write that is missing.
MISSING: typing.Final = b""
TORN: typing.Final = b"\x00torn"

# Told how many outcomes a loss of power has at one place; answers with the index of one of them.
Choose = typing.Callable[[int], int]


@dataclasses.dataclass(slots=True)
class _Durable:
    """What survives a loss of power, by numbers that renames and removals do not change."""

    names: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)
    contents: dict[int, bytes] = dataclasses.field(default_factory=dict)
    folders: set[int] = dataclasses.field(default_factory=set)


class SimDisk:
    """One simulated disk; a process that starts anew sees it through `wake`."""

    def __init__(self, root: pathlib.Path, rng: random.Random, sync_s: float = 0.0) -> None:
        self._root = root
        self._rng = rng
        # How long one sync takes in seconds; syncs of one disk wait for each other.
        self.sync_s = sync_s
        self._busy_until = 0.0
        self.dead = False
        self._ids: dict[pathlib.Path, int] = {root: 0}
        self._count = 0
        self._durable = _Durable(names={0: {}}, folders={0})
        # Steps that fail, by name, with what the system says.
        self.spoilt: dict[str, str] = {}
        self.syncs = 0
        # Bytes of all files at their syncs, and how many works wait for a stalled disk.
        self.synced_bytes = 0
        self.waiting = 0
        self._flows = asyncio.Event()
        self._flows.set()
        self._stalls_after = False

    @property
    def root(self) -> pathlib.Path:
        return self._root

    def stall(self, after: bool = False) -> None:
        """Let every work wait: before its first step, or after its last one, until `flow`."""
        self._stalls_after = after
        self._flows.clear()

    def flow(self) -> None:
        """End a stall."""
        self._flows.set()

    def _id(self, path: pathlib.Path) -> int:
        if path not in self._ids:
            self._count += 1
            self._ids[path] = self._count
            if path.is_dir():
                self._durable.folders.add(self._count)
        return self._ids[path]

    def _alive(self, step: str = "") -> None:
        if self.dead:
            raise OSError("the machine is off")
        if step in self.spoilt:
            raise OSError(self.spoilt[step])

    def sync_file(self, path: pathlib.Path) -> None:
        self._alive("sync_file")
        self.syncs += 1
        data = path.read_bytes()
        self.synced_bytes += len(data)
        self._durable.contents[self._id(path)] = data

    def sync_folder(self, path: pathlib.Path) -> None:
        self._alive("sync_folder")
        self.syncs += 1
        self._durable.names[self._id(path)] = self._live_names(path)

    def _live_names(self, path: pathlib.Path | None) -> dict[str, int]:
        if path is None:
            return {}
        return {inner.name: self._id(inner) for inner in sorted(path.iterdir())}

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self._alive("rename")
        self._id(old)
        moved = {p: n for p, n in self._ids.items() if p == old or old in p.parents}
        for path, number in moved.items():
            del self._ids[path]
            self._ids[new / path.relative_to(old) if path != old else new] = number
        old.rename(new)

    def drop(self, path: pathlib.Path) -> None:
        self._alive("drop")
        for known in [p for p in self._ids if p == path or path in p.parents]:
            del self._ids[known]
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)

    async def run(self, work: typing.Callable[[], T]) -> T:
        self._alive()
        if not self._stalls_after:
            await self._wait_while_stalled()
        syncs_before = self.syncs
        done = work()
        await self._wait_for_syncs(self.syncs - syncs_before)
        await self._wait_while_stalled()
        return done

    async def _wait_for_syncs(self, syncs: int) -> None:
        """Let the time pass that some syncs take, behind those that were asked for before."""
        if not self.sync_s or not syncs:
            return
        now = asyncio.get_running_loop().time()
        self._busy_until = max(now, self._busy_until) + syncs * self.sync_s
        await asyncio.sleep(self._busy_until - now)
        self._alive()

    async def _wait_while_stalled(self) -> None:
        if self._flows.is_set():
            return
        self.waiting += 1
        try:
            await self._flows.wait()
        finally:
            self.waiting -= 1
        self._alive()

    def lose_power(self, choose: Choose | None = None) -> None:
        """Leave what was synced; of the rest, `choose` (or chance) decides what made it."""
        self.dead = True
        kept = self._root.with_name(self._root.name + "-kept")
        outcome = _PowerLoss(self._ids, self._durable, choose or self._rng.randrange, self._live_names)
        outcome.rebuild(0, kept)
        shutil.rmtree(self._root)
        kept.rename(self._root)

    def wake(self) -> "SimDisk":
        """The same disk, as a process that starts on it finds it."""
        fresh = SimDisk(self._root, self._rng, self.sync_s)
        if not self.dead:
            # Only the process ended: what it did not sync is still not synced.
            self.dead = True
            fresh._ids, fresh._count, fresh._durable = self._ids, self._count, self._durable
            fresh._flows, fresh._stalls_after = self._flows, self._stalls_after
            return fresh
        for path in [self._root, *sorted(self._root.rglob("*"))]:
            number = fresh._id(path)
            if path.is_dir():
                fresh._durable.names[number] = fresh._live_names(path)
            else:
                fresh._durable.contents[number] = path.read_bytes()
        return fresh


class _PowerLoss:
    """One outcome of a loss of power, made up name by name and file by file."""

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
        return next((path for path, known in self._ids.items() if known == number), None)

    def rebuild(self, number: int, kept: pathlib.Path) -> None:
        """Make up a folder: each name that differs from the last sync is kept or lost by itself."""
        kept.mkdir()
        for name, child in sorted(self._surviving_names(number).items()):
            if child in self._durable.folders:
                self.rebuild(child, kept / name)
            else:
                (kept / name).write_bytes(self._surviving_bytes(child))

    def _surviving_names(self, number: int) -> dict[str, int]:
        synced = self._durable.names.get(number, {})
        live = self._live_names(self._live_path(number))
        names: dict[str, int] = {}
        for name in sorted({*synced, *live}):
            before, now = synced.get(name), live.get(name)
            kept = now if before == now or self._choose(2) else before
            if kept is not None:
                names[name] = kept
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
