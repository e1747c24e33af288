"""Disks whose writes are events of the model, and that lose power between any two steps."""

import asyncio
import dataclasses
import pathlib
import shutil
import typing

import dykeswitch.explorer.fingerprint as fingerprint

T = typing.TypeVar("T")


class PowerLostError(OSError):
    """The machine lost power at this step."""


@dataclasses.dataclass(slots=True)
class PendingWork:
    """A piece of work that waits for its disk."""

    run: typing.Callable[[], object]
    completion: asyncio.Future[typing.Any]


@fingerprint.exclude_from_fingerprint
class MemoryDisk:
    """A disk whose every piece of work is whole or absent."""

    def __init__(self, stepwise: bool) -> None:
        # Whether work waits for an event of its own, or is done as it is asked for.
        self._stepwise = stepwise
        # Each key's record, as cbor2.
        self.records: dict[str, bytes] = {}
        self.pending: list[PendingWork] = []
        self.voted_before = False

    @property
    def root(self) -> pathlib.Path:
        """Where the files lie; this disk has none."""
        raise NotImplementedError("a disk without files")

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's bytes last."""
        raise NotImplementedError("a disk without files")

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make a folder's names last."""
        raise NotImplementedError("a disk without files")

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Give a file or folder another name."""
        raise NotImplementedError("a disk without files")

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or folder."""
        raise NotImplementedError("a disk without files")

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Do a piece of work, when the scheduler lets it be done."""
        if not self._stepwise:
            return work()
        piece = PendingWork(work, asyncio.get_running_loop().create_future())
        self.pending.append(piece)
        result: T = await piece.completion
        return result

    def run_next(self) -> None:
        """Do the piece of work that has waited longest."""
        piece = self.pending.pop(0)
        try:
            result = piece.run()
        except Exception as error:  # Whatever it is, it is the caller's to handle.
            piece.completion.set_exception(error)
            return
        piece.completion.set_result(result)

    def stop(self) -> None:
        """The process ends; what waited is never done."""
        self.pending.clear()

    def content(self) -> str:
        """What lies on the disk, as text for a fingerprint."""
        return f"{self.voted_before} {sorted(self.records.items())}"


# A thing on disk that keeps its number when it is renamed.
Inode = int

TORN_CONTENT: typing.Final = b"\x00torn"
# In place of a name: the loose change is that of a file's own bytes.
FILE_CONTENT: typing.Final = ""
# No piece of work that a store does has more steps than this.
MAX_STEPS: typing.Final = 9


@dataclasses.dataclass(frozen=True, slots=True)
class UnsyncedChange:
    """A change of one name in one folder, or of one file's bytes, that no sync has made last."""

    inode: Inode
    name: str
    # What the name stands for after the change; nothing where it was removed.
    child: Inode | None

    def text(self) -> str:
        """The change in a few words."""
        if self.name == FILE_CONTENT:
            return f"bytes of file {self.inode}"
        return f"{'removal of ' if self.child is None else ''}{self.name} in folder {self.inode}"


class FileDisk(MemoryDisk):
    """Real files, and beside them what a loss of power would leave.

    Each name that was made, renamed or removed since its folder was synced, and each file's
    bytes written since the file was synced, may be kept or lost by itself.
    """

    def __init__(self, root: pathlib.Path, stepwise: bool) -> None:
        super().__init__(stepwise)
        self._root = root
        root.mkdir(parents=True, exist_ok=True)
        self._inodes: dict[pathlib.Path, Inode] = {root: 0}
        self._next_inode = 1
        # What lasts: each folder's names and each file's bytes, as of their last sync.
        self._synced_names: dict[Inode, dict[str, Inode]] = {0: {}}
        self._synced_content: dict[Inode, bytes] = {}
        # Steps of the running piece of work, and the one before which power is lost.
        self._step_count = 0
        self._power_loss_step: int | None = None

    @property
    def root(self) -> pathlib.Path:
        """Where the files lie; this disk has none."""
        return self._root

    def _inode_of(self, path: pathlib.Path) -> Inode:
        if path not in self._inodes:
            self._inodes[path] = self._next_inode
            if path.is_dir():
                self._synced_names[self._next_inode] = {}
            self._next_inode += 1
        return self._inodes[path]

    def _begin_step(self) -> None:
        if self._power_loss_step is not None and self._step_count >= self._power_loss_step:
            raise PowerLostError("power lost")
        self._step_count += 1

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's bytes last."""
        self._begin_step()
        self._synced_content[self._inode_of(path)] = path.read_bytes()

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make a folder's names last."""
        self._begin_step()
        self._synced_names[self._inode_of(path)] = self._children(path)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Give a file or folder another name."""
        self._begin_step()
        self._assign_inodes(old)
        moved = {p: n for p, n in self._inodes.items() if p == old or old in p.parents}
        for path, inode in moved.items():
            del self._inodes[path]
            self._inodes[new / path.relative_to(old) if path != old else new] = inode
        old.rename(new)

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or folder."""
        self._begin_step()
        for removed in [p for p in self._inodes if p == path or path in p.parents]:
            del self._inodes[removed]
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)

    def _children(self, folder: pathlib.Path) -> dict[str, Inode]:
        return {child.name: self._inode_of(child) for child in sorted(folder.iterdir())}

    def _assign_inodes(self, path: pathlib.Path) -> None:
        """Give a number to all that lies at and under a path."""
        self._inode_of(path)
        if path.is_dir():
            for child in sorted(path.iterdir()):
                self._assign_inodes(child)

    def cut_power(self, power_loss_step: int) -> list[UnsyncedChange]:
        """Do the next piece of work up to a step; hand back what may be kept or lost."""
        if self.pending:
            self._step_count, self._power_loss_step = 0, power_loss_step
            try:
                self.pending[0].run()
            except OSError:
                # The power went, whatever the work makes of it.
                pass
            self._power_loss_step = None
        self._assign_inodes(self._root)
        return self._unsynced_changes()

    def _unsynced_changes(self) -> list[UnsyncedChange]:
        """Every change of a name, or of a file's bytes, that no sync has made last."""
        found: list[UnsyncedChange] = []
        paths = {inode: path for path, inode in self._inodes.items()}
        for inode, synced in sorted(self._synced_names.items()):
            # A folder that is gone from the live tree has lost its names one by one.
            live = self._children(paths[inode]) if inode in paths else {}
            for name in sorted(synced.keys() | live.keys()):
                if synced.get(name) != live.get(name):
                    found.append(UnsyncedChange(inode, name, live.get(name)))
        for inode, path in sorted(paths.items()):
            if inode not in self._synced_names and self._synced_content.get(inode) != path.read_bytes():
                found.append(UnsyncedChange(inode, FILE_CONTENT, inode))
        return found

    def reachable(self, kept: list[UnsyncedChange], undecided: list[UnsyncedChange]) -> set[Inode]:
        """What may be on the disk by these changes and any of those; all else is out of reach."""
        found: set[Inode] = set()
        queue = [0]
        while queue:
            inode = queue.pop()
            if inode in found:
                continue
            found.add(inode)
            queue += self._synced_names.get(inode, {}).values()
            queue += [c.child for c in kept + undecided if c.inode == inode and c.child is not None]
        return found

    def lose_power(self, kept: typing.Collection[UnsyncedChange]) -> None:
        """Leave what was synced, and of the rest what is named."""
        paths = {inode: path for path, inode in self._inodes.items()}
        for change in kept:
            if change.name == FILE_CONTENT:
                self._synced_content[change.inode] = paths[change.inode].read_bytes()
            elif change.child is None:
                self._synced_names[change.inode].pop(change.name, None)
            else:
                self._synced_names[change.inode][change.name] = change.child
        survivors = self._root.with_name(self._root.name + "-left")
        self._write_surviving(0, survivors)
        shutil.rmtree(self._root)
        survivors.rename(self._root)

    def _write_surviving(self, inode: Inode, path: pathlib.Path) -> None:
        path.mkdir()
        for name, child in sorted(self._synced_names[inode].items()):
            if child in self._synced_names:
                self._write_surviving(child, path / name)
            else:
                # Bytes that were never synced may be anything: here, a torn part.
                (path / name).write_bytes(self._synced_content.get(child, TORN_CONTENT))

    def after_restart(self) -> "FileDisk":
        """The same files as a machine finds them that starts again: all of them last."""
        restarted = FileDisk(self._root, self._stepwise)
        restarted._assign_inodes(self._root)
        for path, inode in list(restarted._inodes.items()):
            if inode in restarted._synced_names:
                restarted._synced_names[inode] = restarted._children(path)
            else:
                restarted._synced_content[inode] = path.read_bytes()
        restarted.records = self.records
        return restarted

    def content(self) -> str:
        """What lies on the disk and what of it lasts, as text for a fingerprint."""
        live = sorted(
            (str(path.relative_to(self._root)), inode, b"" if path.is_dir() else path.read_bytes())
            for path, inode in self._inodes.items()
            if path.exists()
        )
        return f"{live} {sorted(self._synced_names.items())} {sorted(self._synced_content.items())}"
