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
class Work:
    """A piece of work that waits for its disk."""

    run: typing.Callable[[], object]
    done: asyncio.Future[typing.Any]


@fingerprint.leave_out
class MemoryDisk:
    """A disk whose every piece of work is whole or absent."""

    def __init__(self, stepwise: bool) -> None:
        # Whether work waits for an event of its own, or is done as it is asked for.
        self._stepwise = stepwise
        # Each key's record, as cbor2.
        self.records: dict[str, bytes] = {}
        self.waiting: list[Work] = []
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
        piece = Work(work, asyncio.get_running_loop().create_future())
        self.waiting.append(piece)
        result: T = await piece.done
        return result

    def do_next(self) -> None:
        """Do the piece of work that has waited longest."""
        piece = self.waiting.pop(0)
        try:
            result = piece.run()
        except Exception as flaw:  # Whatever it is, it is the caller's to handle.
            piece.done.set_exception(flaw)
            return
        piece.done.set_result(result)

    def stop(self) -> None:
        """The process ends; what waited is never done."""
        self.waiting.clear()

    def content(self) -> str:
        """What lies on the disk, as text for a fingerprint."""
        return f"{self.voted_before} {sorted(self.records.items())}"


# A thing on disk that keeps its number when it is renamed.
Number = int

TORN: typing.Final = b"\x00torn"
# In place of a name: the loose change is that of a file's own bytes.
BYTES: typing.Final = ""
# No piece of work that a store does has more steps than this.
MOST_STEPS: typing.Final = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Loose:
    """A change of one name in one folder, or of one file's bytes, that no sync has made last."""

    holder: Number
    name: str
    # What the name stands for after the change; nothing where it was removed.
    child: Number | None

    def text(self) -> str:
        """The change in a few words."""
        if self.name == BYTES:
            return f"bytes of file {self.holder}"
        return f"{'removal of ' if self.child is None else ''}{self.name} in folder {self.holder}"


class FileDisk(MemoryDisk):
    """Real files, and beside them what a loss of power would leave.

    Each name that was made, renamed or removed since its folder was synced, and each file's
    bytes written since the file was synced, may be kept or lost by itself.
    """

    def __init__(self, root: pathlib.Path, stepwise: bool) -> None:
        super().__init__(stepwise)
        self._root = root
        root.mkdir(parents=True, exist_ok=True)
        self._numbers: dict[pathlib.Path, Number] = {root: 0}
        self._next = 1
        # What lasts: each folder's names and each file's bytes, as of their last sync.
        self._names: dict[Number, dict[str, Number]] = {0: {}}
        self._bytes: dict[Number, bytes] = {}
        # Steps of the running piece of work, and the one before which power is lost.
        self._steps = 0
        self._fatal_step: int | None = None

    @property
    def root(self) -> pathlib.Path:
        """Where the files lie; this disk has none."""
        return self._root

    def _number(self, path: pathlib.Path) -> Number:
        if path not in self._numbers:
            self._numbers[path] = self._next
            if path.is_dir():
                self._names[self._next] = {}
            self._next += 1
        return self._numbers[path]

    def _step(self) -> None:
        if self._fatal_step is not None and self._steps >= self._fatal_step:
            raise PowerLostError("power lost")
        self._steps += 1

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's bytes last."""
        self._step()
        self._bytes[self._number(path)] = path.read_bytes()

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make a folder's names last."""
        self._step()
        self._names[self._number(path)] = self._children(path)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Give a file or folder another name."""
        self._step()
        self._number_all(old)
        moved = {p: n for p, n in self._numbers.items() if p == old or old in p.parents}
        for path, number in moved.items():
            del self._numbers[path]
            self._numbers[new / path.relative_to(old) if path != old else new] = number
        old.rename(new)

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or folder."""
        self._step()
        for known in [p for p in self._numbers if p == path or path in p.parents]:
            del self._numbers[known]
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)

    def _children(self, folder: pathlib.Path) -> dict[str, Number]:
        return {child.name: self._number(child) for child in sorted(folder.iterdir())}

    def _number_all(self, path: pathlib.Path) -> None:
        """Give a number to all that lies at and under a path."""
        self._number(path)
        if path.is_dir():
            for child in sorted(path.iterdir()):
                self._number_all(child)

    def cut_power(self, fatal_step: int) -> list[Loose]:
        """Do the next piece of work up to a step; hand back what may be kept or lost."""
        if self.waiting:
            self._steps, self._fatal_step = 0, fatal_step
            try:
                self.waiting[0].run()
            except OSError:
                # The power went, whatever the work makes of it.
                pass
            self._fatal_step = None
        self._number_all(self._root)
        return self._loose()

    def _loose(self) -> list[Loose]:
        """Every change of a name, or of a file's bytes, that no sync has made last."""
        found: list[Loose] = []
        paths = {number: path for path, number in self._numbers.items()}
        for holder, lasting in sorted(self._names.items()):
            # A folder that is gone from the live tree has lost its names one by one.
            live = self._children(paths[holder]) if holder in paths else {}
            for name in sorted(lasting.keys() | live.keys()):
                if lasting.get(name) != live.get(name):
                    found.append(Loose(holder, name, live.get(name)))
        for number, path in sorted(paths.items()):
            if number not in self._names and self._bytes.get(number) != path.read_bytes():
                found.append(Loose(number, BYTES, number))
        return found

    def reached(self, kept: list[Loose], undecided: list[Loose]) -> set[Number]:
        """What may be on the disk by these changes and any of those; all else is out of reach."""
        found: set[Number] = set()
        ahead = [0]
        while ahead:
            number = ahead.pop()
            if number in found:
                continue
            found.add(number)
            ahead += self._names.get(number, {}).values()
            ahead += [c.child for c in kept + undecided if c.holder == number and c.child is not None]
        return found

    def lose_power(self, kept: typing.Collection[Loose]) -> None:
        """Leave what was synced, and of the rest what is named."""
        paths = {number: path for path, number in self._numbers.items()}
        for change in kept:
            if change.name == BYTES:
                self._bytes[change.holder] = paths[change.holder].read_bytes()
            elif change.child is None:
                self._names[change.holder].pop(change.name, None)
            else:
                self._names[change.holder][change.name] = change.child
        left = self._root.with_name(self._root.name + "-left")
        self._leave(0, left)
        shutil.rmtree(self._root)
        left.rename(self._root)

    def _leave(self, number: Number, path: pathlib.Path) -> None:
        path.mkdir()
        for name, child in sorted(self._names[number].items()):
            if child in self._names:
                self._leave(child, path / name)
            else:
                # Bytes that were never synced may be anything: here, a torn part.
                (path / name).write_bytes(self._bytes.get(child, TORN))

    def woken(self) -> "FileDisk":
        """The same files as a machine finds them that starts again: all of them last."""
        fresh = FileDisk(self._root, self._stepwise)
        fresh._number_all(self._root)
        for path, number in list(fresh._numbers.items()):
            if number in fresh._names:
                fresh._names[number] = fresh._children(path)
            else:
                fresh._bytes[number] = path.read_bytes()
        fresh.records = self.records
        return fresh

    def content(self) -> str:
        """What lies on the disk and what of it lasts, as text for a fingerprint."""
        live = sorted(
            (str(path.relative_to(self._root)), number, b"" if path.is_dir() else path.read_bytes())
            for path, number in self._numbers.items()
            if path.exists()
        )
        return f"{live} {sorted(self._names.items())} {sorted(self._bytes.items())}"
