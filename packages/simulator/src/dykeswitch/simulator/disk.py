"""A disk that loses what was not synced when its machine loses power."""

import pathlib
import random
import shutil
import typing

T = typing.TypeVar("T")


class SimDisk:
    """Files lie in a real scratch folder; beside it, what a power loss would leave."""

    def __init__(self, root: pathlib.Path, rng: random.Random) -> None:
        self._root = root
        self._rng = rng
        self.dead = False
        # Things have numbers of their own, so that renames and drops can be undone.
        self._ids: dict[pathlib.Path, int] = {root: 0}
        self._count = 0
        self._names: dict[int, dict[str, int]] = {0: {}}
        self._bytes: dict[int, bytes] = {}
        self._folders: set[int] = {0}
        # Steps that fail, by name, with what the system says.
        self.spoilt: dict[str, str] = {}
        self.syncs = 0

    @property
    def root(self) -> pathlib.Path:
        return self._root

    def _id(self, path: pathlib.Path) -> int:
        if path not in self._ids:
            self._count += 1
            self._ids[path] = self._count
            if path.is_dir():
                self._folders.add(self._count)
        return self._ids[path]

    def _alive(self, step: str = "") -> None:
        if self.dead:
            raise OSError("the machine is off")
        if step in self.spoilt:
            raise OSError(self.spoilt[step])

    def sync_file(self, path: pathlib.Path) -> None:
        self._alive("sync_file")
        self.syncs += 1
        self._bytes[self._id(path)] = path.read_bytes()

    def sync_folder(self, path: pathlib.Path) -> None:
        self._alive("sync_folder")
        self.syncs += 1
        self._names[self._id(path)] = {p.name: self._id(p) for p in path.iterdir()}

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
        return work()

    def lose_power(self) -> None:
        """Leave what was synced; of the rest, chance decides what made it."""
        self.dead = True
        kept = self._root.with_name(self._root.name + "-kept")
        self._rebuild(0, self._root, kept)
        shutil.rmtree(self._root)
        kept.rename(self._root)

    def _rebuild(self, number: int, live: pathlib.Path, kept: pathlib.Path) -> None:
        kept.mkdir()
        names = dict(self._names.get(number, {}))
        if live.is_dir() and self._rng.random() < 0.5:
            # The system may have written some names back without being asked.
            for path in sorted(live.iterdir()):
                if self._ids.get(path) is not None and self._rng.random() < 0.5:
                    names.setdefault(path.name, self._ids[path])
        for name, child in sorted(names.items()):
            if child in self._folders:
                self._rebuild(child, live / name, kept / name)
            else:
                data = self._bytes.get(child)
                # A name without synced bytes may hold anything: here, a part.
                (kept / name).write_bytes(b"\x00torn" if data is None else data)

    def wake(self) -> "SimDisk":
        """The same disk, as a restarted machine finds it."""
        fresh = SimDisk(self._root, self._rng)
        for path in sorted(self._root.rglob("*")):
            fresh._id(path)
        for path in [self._root, *sorted(self._root.rglob("*"))]:
            number = fresh._ids[path]
            if path.is_dir():
                fresh._names[number] = {p.name: fresh._ids[p] for p in path.iterdir()}
            else:
                fresh._bytes[number] = path.read_bytes()
        return fresh
