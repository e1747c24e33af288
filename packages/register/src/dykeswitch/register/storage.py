"""What a store keeps on disk, by generations of `dbm.dumb`.

`dbm.dumb` syncs nothing and overwrites in place, so no generation is ever changed:
each write makes a fresh one beside the old, syncs its files and folder, renames it
into place, syncs the parent, and only then drops the old one.

A process may be killed between two of these steps and its successor see names that no
folder sync has covered. `Storage.open` therefore syncs every folder before it reads: nothing
is answered from, and no older generation dropped, that a loss of power could still undo.
"""

import dbm.dumb
import hashlib
import pathlib
import typing

import cbor2

import dykeswitch.ports as ports

# Numbered points at which a test may inject a fault, in the order they are passed.
POINT_BEFORE: typing.Final = 1
POINT_WRITTEN: typing.Final = 2
POINT_FILES_SYNCED: typing.Final = 3
POINT_FOLDER_SYNCED: typing.Final = 4
POINT_RENAMED: typing.Final = 5
POINT_PARENT_SYNCED: typing.Final = 6
POINT_OLD_DROPPED: typing.Final = 7

FIELD: typing.Final = b"record"
SEAL: typing.Final = b"seal"
BASE_NAME: typing.Final = "register"
# Where the records of a vote that was taken away are put, to be dropped.
RETIRED_NAME: typing.Final = "register-retired"
# Tells that records were once erased here.
MARKER_NAME: typing.Final = "voted-before"
GENERATION_PREFIX: typing.Final = "g"
WORK_PREFIX: typing.Final = "tmp"


class StorageDamageError(Exception):
    """A generation that was switched to can't be read: the disk itself is at fault."""


class NotWrittenError(OSError):
    """A write failed before its rename: the older record is in force, as if nothing was asked."""


class Storage:
    """Records by key, each write synced before it returns."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        self._disk = disk
        self._fault_points = fault_points
        self._base = disk.root / BASE_NAME
        self._retired = disk.root / RETIRED_NAME
        self._marker = disk.root / MARKER_NAME
        self._gens: dict[str, int] = {}
        # Folders of keys whose names in the base are sure to last.
        self._lasting: set[pathlib.Path] = set()

    def open(self) -> dict[str, typing.Any]:
        """Every record, made to last before it is told; a damaged one is raised, never skipped."""
        # What was set aside is a vote that was taken away: it is never read again.
        self._disk.drop(self._retired)
        self._base.mkdir(parents=True, exist_ok=True)
        self._disk.sync_folder(self._disk.root)
        self._disk.sync_folder(self._base)
        records: dict[str, typing.Any] = {}
        self._gens = {}
        for folder in sorted(self._base.iterdir()):
            if folder.is_dir():
                self._open_key(folder, records)
                self._lasting.add(folder)
        return records

    def _open_key(self, folder: pathlib.Path, records: dict[str, typing.Any]) -> None:
        try:
            key = bytes.fromhex(folder.name).decode()
        except ValueError as flaw:
            raise StorageDamageError(f"{folder}: no folder of ours") from flaw
        # The newest generation may have been renamed by a process that was killed before it
        # synced the name. Older ones are dropped below, so the name must last first.
        self._disk.sync_folder(folder)
        names = sorted(path.name for path in folder.iterdir())
        gens = [name for name in names if name.startswith(GENERATION_PREFIX)]
        if gens:
            # The newest one was synced before its name existed: if it does not
            # check, older ones would be a promise taken back. Refuse instead.
            records[key] = self._load(folder / gens[-1])
            self._gens[key] = _number_of(folder / gens[-1])
        for name in names:
            # What was never switched to was never acknowledged.
            if name.startswith(WORK_PREFIX) or name in gens[:-1]:
                self._disk.drop(folder / name)

    def _load(self, path: pathlib.Path) -> typing.Any:
        try:
            with dbm.dumb.open(str(path / "db"), "r") as book:
                data, seal = book[FIELD], book[SEAL]
        except (OSError, KeyError, ValueError, SyntaxError) as flaw:
            raise StorageDamageError(f"{path}: {flaw}") from flaw
        if hashlib.sha256(data).digest() != seal:
            raise StorageDamageError(f"{path}: checksum does not match")
        return cbor2.loads(data)

    def put(self, key: str, record: typing.Any) -> None:
        """Write one record and make it last before returning.

        Raises `NotWrittenError` if the older record is sure to be in force, and a plain `OSError`
        if it is not known which of the two is.
        """
        folder = self._base / key.encode().hex()
        gen = self._gens.get(key, 0) + 1
        try:
            work = self._prepare(folder, gen, cbor2.dumps(record))
        except OSError as flaw:
            raise NotWrittenError(str(flaw)) from flaw
        self._disk.rename(work, _generation(folder, gen))
        self._fault_points.hit(POINT_RENAMED)
        self._disk.sync_folder(folder)
        self._fault_points.hit(POINT_PARENT_SYNCED)
        self._gens[key] = gen
        if gen > 1:
            self._disk.drop(_generation(folder, gen - 1))
        self._fault_points.hit(POINT_OLD_DROPPED)

    def voted_before(self) -> bool:
        """Whether a replica with a vote was once erased from this disk."""
        return self._marker.exists()

    def erase(self) -> None:
        """Drop every record; one rename decides, after the disk was marked as used."""
        self._marker.write_bytes(b"1")
        self._disk.sync_file(self._marker)
        self._disk.sync_folder(self._disk.root)
        self._disk.drop(self._retired)
        self._disk.rename(self._base, self._retired)
        self._disk.sync_folder(self._disk.root)
        self._gens.clear()
        self._lasting.clear()
        self._disk.drop(self._retired)
        self._base.mkdir()
        self._disk.sync_folder(self._disk.root)

    def _prepare(self, folder: pathlib.Path, gen: int, data: bytes) -> pathlib.Path:
        """A synced generation under a name that no reader looks at."""
        self._fault_points.hit(POINT_BEFORE)
        if folder not in self._lasting:
            # It may be there already, from a write that failed before its name was synced.
            folder.mkdir(exist_ok=True)
            self._disk.sync_folder(self._base)
            self._lasting.add(folder)
        work = folder / f"{WORK_PREFIX}{gen}"
        self._disk.drop(work)
        work.mkdir()
        with dbm.dumb.open(str(work / "db"), "n") as book:
            book[FIELD] = data
            book[SEAL] = hashlib.sha256(data).digest()
        self._fault_points.hit(POINT_WRITTEN)
        for path in sorted(work.iterdir()):
            self._disk.sync_file(path)
        self._fault_points.hit(POINT_FILES_SYNCED)
        self._disk.sync_folder(work)
        self._fault_points.hit(POINT_FOLDER_SYNCED)
        return work


def _generation(folder: pathlib.Path, gen: int) -> pathlib.Path:
    return folder / f"{GENERATION_PREFIX}{gen:012d}"


def _number_of(path: pathlib.Path) -> int:
    try:
        return int(path.name[len(GENERATION_PREFIX) :])
    except ValueError as flaw:
        raise StorageDamageError(f"{path}: no generation of ours") from flaw
