"""Durable records of a store, as generations of `dbm.dumb` files.

`dbm.dumb` syncs nothing and overwrites in place, so a generation is never changed: each write creates a
new one beside the old, syncs its files and its directory, renames it into place, syncs the parent, and
only then deletes the old one.

A process may be killed between two of these steps, and the next one may then see names that no
directory sync has covered. `Storage.open` therefore syncs every directory before it reads: nothing that
a power loss could still undo is used for an answer, and no older generation is deleted because of it.
"""

import dbm.dumb
import hashlib
import pathlib
import typing

import cbor2

import dykeswitch.ports as ports

# Fault points: numbered points at which a test may inject a fault, in the order in which a write passes
# them.
POINT_BEFORE: typing.Final = 1
POINT_WRITTEN: typing.Final = 2
POINT_FILES_SYNCED: typing.Final = 3
POINT_FOLDER_SYNCED: typing.Final = 4
POINT_RENAMED: typing.Final = 5
POINT_PARENT_SYNCED: typing.Final = 6
POINT_OLD_DROPPED: typing.Final = 7

RECORD_FIELD: typing.Final = b"record"
CHECKSUM_FIELD: typing.Final = b"seal"
BASE_NAME: typing.Final = "register"
# The records of a removed vote are moved here before they are deleted.
RETIRED_NAME: typing.Final = "register-retired"
# This file exists if records were once erased from the disk.
MARKER_NAME: typing.Final = "voted-before"
GENERATION_PREFIX: typing.Final = "g"
WORK_PREFIX: typing.Final = "tmp"


class StorageDamageError(Exception):
    """Committed records can't be read: the disk or its content is damaged."""


class NotWrittenError(OSError):
    """A write failed before its rename: the older record is still in force."""


class Storage:
    """Records by key; each write is synced before it returns."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        self._disk = disk
        self._fault_points = fault_points
        self._base = disk.root / BASE_NAME
        self._retired = disk.root / RETIRED_NAME
        self._marker = disk.root / MARKER_NAME
        self._generations: dict[str, int] = {}
        # Directories of keys whose entries in the base directory are known to be durable.
        self._durable_folders: set[pathlib.Path] = set()

    def open(self) -> dict[str, typing.Any]:
        """Reads every record after making it durable; raises on a damaged one, never skips it."""
        # These records belong to a removed vote and are never read again.
        self._disk.drop(self._retired)
        self._base.mkdir(parents=True, exist_ok=True)
        self._disk.sync_folder(self._disk.root)
        self._disk.sync_folder(self._base)
        records: dict[str, typing.Any] = {}
        self._generations = {}
        for folder in sorted(self._base.iterdir()):
            if folder.is_dir():
                self._read_key(folder, records)
                self._durable_folders.add(folder)
        return records

    def _read_key(self, folder: pathlib.Path, records: dict[str, typing.Any]) -> None:
        try:
            key = bytes.fromhex(folder.name).decode()
        except ValueError as error:
            raise StorageDamageError(f"{folder}: not the directory of a key") from error
        # The newest generation may have been renamed by a process that was killed before it synced the
        # new name. The name must be durable before the older generations are deleted below.
        self._disk.sync_folder(folder)
        names = sorted(path.name for path in folder.iterdir())
        generations = [name for name in names if name.startswith(GENERATION_PREFIX)]
        if generations:
            # The newest generation was synced before it got its name. If it is damaged, using an older
            # one would revoke a promise, so this raises instead.
            records[key] = self._read_record(folder / generations[-1])
            self._generations[key] = _generation_number(folder / generations[-1])
        for name in names:
            # A generation that was never renamed into place was never acknowledged.
            if name.startswith(WORK_PREFIX) or name in generations[:-1]:
                self._disk.drop(folder / name)

    def _read_record(self, path: pathlib.Path) -> typing.Any:
        try:
            with dbm.dumb.open(str(path / "db"), "r") as database:
                data, checksum = database[RECORD_FIELD], database[CHECKSUM_FIELD]
        except (OSError, KeyError, ValueError, SyntaxError) as error:
            raise StorageDamageError(f"{path}: {error}") from error
        if hashlib.sha256(data).digest() != checksum:
            raise StorageDamageError(f"{path}: checksum does not match")
        return cbor2.loads(data)

    def put(self, key: str, record: typing.Any) -> None:
        """Writes a record and makes it durable before returning.

        Raises `NotWrittenError` if the older record is certainly still in force, and another `OSError`
        if it is unknown which of the two is.
        """
        folder = self._base / key.encode().hex()
        generation = self._generations.get(key, 0) + 1
        try:
            work_path = self._write_generation(folder, generation, cbor2.dumps(record))
        except OSError as error:
            raise NotWrittenError(str(error)) from error
        self._disk.rename(work_path, _generation_path(folder, generation))
        self._fault_points.hit(POINT_RENAMED)
        self._disk.sync_folder(folder)
        self._fault_points.hit(POINT_PARENT_SYNCED)
        self._generations[key] = generation
        if generation > 1:
            self._disk.drop(_generation_path(folder, generation - 1))
        self._fault_points.hit(POINT_OLD_DROPPED)

    def voted_before(self) -> bool:
        """Whether a replica with a vote was once erased from this disk."""
        return self._marker.exists()

    def erase(self) -> None:
        """Deletes every record: marks the disk as used, then commits with one rename."""
        self._marker.write_bytes(b"1")
        self._disk.sync_file(self._marker)
        self._disk.sync_folder(self._disk.root)
        self._disk.drop(self._retired)
        self._disk.rename(self._base, self._retired)
        self._disk.sync_folder(self._disk.root)
        self._generations.clear()
        self._durable_folders.clear()
        self._disk.drop(self._retired)
        self._base.mkdir()
        self._disk.sync_folder(self._disk.root)

    def _write_generation(self, folder: pathlib.Path, generation: int, data: bytes) -> pathlib.Path:
        """Writes and syncs a generation under a temporary name that is never read."""
        self._fault_points.hit(POINT_BEFORE)
        if folder not in self._durable_folders:
            # It may exist already, from a write that failed before its name was synced.
            folder.mkdir(exist_ok=True)
            self._disk.sync_folder(self._base)
            self._durable_folders.add(folder)
        work_path = folder / f"{WORK_PREFIX}{generation}"
        self._disk.drop(work_path)
        work_path.mkdir()
        with dbm.dumb.open(str(work_path / "db"), "n") as database:
            database[RECORD_FIELD] = data
            database[CHECKSUM_FIELD] = hashlib.sha256(data).digest()
        self._fault_points.hit(POINT_WRITTEN)
        for path in sorted(work_path.iterdir()):
            self._disk.sync_file(path)
        self._fault_points.hit(POINT_FILES_SYNCED)
        self._disk.sync_folder(work_path)
        self._fault_points.hit(POINT_FOLDER_SYNCED)
        return work_path


def _generation_path(folder: pathlib.Path, generation: int) -> pathlib.Path:
    return folder / f"{GENERATION_PREFIX}{generation:012d}"


def _generation_number(path: pathlib.Path) -> int:
    try:
        return int(path.name[len(GENERATION_PREFIX) :])
    except ValueError as error:
        raise StorageDamageError(f"{path}: not a valid generation name") from error
