"""Simulated disks whose operations are events of the model.

Power can be lost between any two steps of an operation.
"""

import asyncio
import dataclasses
import pathlib
import shutil
import typing

import dykeswitch.explorer.fingerprint as fingerprint

T = typing.TypeVar("T")


class PowerLostError(OSError):
    """The machine lost power before this step."""


@dataclasses.dataclass(slots=True)
class PendingWork:
    """A disk operation that has not been performed yet."""

    run: typing.Callable[[], object]
    completion: asyncio.Future[typing.Any]


@fingerprint.exclude_from_fingerprint
class MemoryDisk:
    """A disk without files, whose operations are atomic."""

    def __init__(self, stepwise: bool) -> None:
        # Whether each operation waits for an event of its own or is performed immediately.
        self._stepwise = stepwise
        # The record of each key, encoded as CBOR.
        self.records: dict[str, bytes] = {}
        self.pending: list[PendingWork] = []
        self.voted_before = False

    @property
    def root(self) -> pathlib.Path:
        """The root folder; this disk has none."""
        raise NotImplementedError("this disk has no files")

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's content durable."""
        raise NotImplementedError("this disk has no files")

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make the names in a folder durable."""
        raise NotImplementedError("this disk has no files")

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder."""
        raise NotImplementedError("this disk has no files")

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or folder."""
        raise NotImplementedError("this disk has no files")

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Perform an operation when the search chooses its event."""
        if not self._stepwise:
            return work()
        operation = PendingWork(work, asyncio.get_running_loop().create_future())
        self.pending.append(operation)
        result: T = await operation.completion
        return result

    def run_next(self) -> None:
        """Perform the operation that has been pending longest."""
        operation = self.pending.pop(0)
        try:
            result = operation.run()
        except Exception as error:  # The caller handles any error of the operation.
            operation.completion.set_exception(error)
            return
        operation.completion.set_result(result)

    def stop(self) -> None:
        """Discard all pending operations when the process ends."""
        self.pending.clear()

    def content(self) -> str:
        """Describe the content of the disk for a fingerprint."""
        return f"{self.voted_before} {sorted(self.records.items())}"


# Identifies a file or folder; unlike its path, it stays the same when it is renamed.
Inode = int

TORN_CONTENT: typing.Final = b"\x00torn"
# Used in place of a name: the unsynced change is one of a file's own content.
FILE_CONTENT: typing.Final = ""
# Upper bound for the number of steps of a store's disk operation.
MAX_STEPS: typing.Final = 9


@dataclasses.dataclass(frozen=True, slots=True)
class UnsyncedChange:
    """A change of a name in a folder, or of a file's content, that no sync has made durable."""

    # The folder that has the name, or the file whose content changed.
    inode: Inode
    name: str
    # What the name refers to after the change; None if the name was removed.
    child: Inode | None

    def text(self) -> str:
        """Return a short description, which is part of event keys in traces."""
        if self.name == FILE_CONTENT:
            return f"bytes of file {self.inode}"
        return f"{'removal of ' if self.child is None else ''}{self.name} in folder {self.inode}"


class FileDisk(MemoryDisk):
    """A disk with real files that also tracks what a power loss would leave of them.

    Each name that was created, renamed or removed since its folder was last synced, and each
    file's content written since the file was last synced, may be kept or lost independently.
    """

    def __init__(self, root: pathlib.Path, stepwise: bool) -> None:
        super().__init__(stepwise)
        self._root = root
        root.mkdir(parents=True, exist_ok=True)
        self._inodes: dict[pathlib.Path, Inode] = {root: 0}
        self._next_inode = 1
        # The durable state: each folder's names and each file's content as of the last sync.
        self._synced_names: dict[Inode, dict[str, Inode]] = {0: {}}
        self._synced_content: dict[Inode, bytes] = {}
        # The steps done in the current operation, and the step before which power is lost.
        self._step_count = 0
        self._power_loss_step: int | None = None

    @property
    def root(self) -> pathlib.Path:
        """The root folder of the files."""
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
        """Make a file's content durable."""
        self._begin_step()
        self._synced_content[self._inode_of(path)] = path.read_bytes()

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make the names in a folder durable."""
        self._begin_step()
        self._synced_names[self._inode_of(path)] = self._children(path)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder."""
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
        """Assign inodes to a path and everything below it."""
        self._inode_of(path)
        if path.is_dir():
            for child in sorted(path.iterdir()):
                self._assign_inodes(child)

    def cut_power(self, power_loss_step: int) -> list[UnsyncedChange]:
        """Perform the next operation up to a step; returns the changes that may be kept or lost."""
        if self.pending:
            self._step_count, self._power_loss_step = 0, power_loss_step
            try:
                self.pending[0].run()
            except OSError:
                # Power is lost regardless of how the operation handles the error.
                pass
            self._power_loss_step = None
        self._assign_inodes(self._root)
        return self._unsynced_changes()

    def _unsynced_changes(self) -> list[UnsyncedChange]:
        """Return every change of a name or of a file's content that is not durable yet."""
        found: list[UnsyncedChange] = []
        paths = {inode: path for path, inode in self._inodes.items()}
        for folder_inode, synced in sorted(self._synced_names.items()):
            # Each name of a folder that is no longer in the live tree counts as removed.
            live = self._children(paths[folder_inode]) if folder_inode in paths else {}
            for name in sorted(synced.keys() | live.keys()):
                if synced.get(name) != live.get(name):
                    found.append(UnsyncedChange(folder_inode, name, live.get(name)))
        for file_inode, path in sorted(paths.items()):
            if (
                file_inode not in self._synced_names
                and self._synced_content.get(file_inode) != path.read_bytes()
            ):
                found.append(UnsyncedChange(file_inode, FILE_CONTENT, file_inode))
        return found

    def reachable(self, kept: list[UnsyncedChange], undecided: list[UnsyncedChange]) -> set[Inode]:
        """Return everything that can be reached with the kept and any of the undecided changes."""
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
        """Reduce the files to the synced state plus the changes that are kept."""
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
                # Content that was never synced may be anything: a torn write stands for it.
                (path / name).write_bytes(self._synced_content.get(child, TORN_CONTENT))

    def after_restart(self) -> "FileDisk":
        """Return the disk as found by a restarted machine: all remaining files are durable."""
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
        """Describe the content and the durable state of the disk for a fingerprint."""
        live = sorted(
            (str(path.relative_to(self._root)), inode, b"" if path.is_dir() else path.read_bytes())
            for path, inode in self._inodes.items()
            if path.exists()
        )
        return f"{live} {sorted(self._synced_names.items())} {sorted(self._synced_content.items())}"
