"""The shelf: what a store keeps on disk, by generations of `dbm.dumb`.

`dbm.dumb` syncs nothing and overwrites in place, so no generation is ever changed:
each write makes a fresh one beside the old, syncs its files and folder, renames it
into place, syncs the parent, and only then drops the old one.
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


class Damage(Exception):
    """A generation that was switched to can't be read: the disk itself is at fault."""


class Storage:
    """Records by key, each write synced before it returns."""

    def __init__(self, disk: ports.Disk, points: ports.Points) -> None:
        self._disk = disk
        self._points = points
        self._base = disk.root / "register"
        self._gens: dict[str, int] = {}

    def open(self) -> dict[str, typing.Any]:
        """Every record on the shelf; a damaged one is raised, never skipped."""
        fresh = not self._base.exists()
        self._base.mkdir(parents=True, exist_ok=True)
        if fresh:
            self._disk.sync_folder(self._disk.root)
        records: dict[str, typing.Any] = {}
        for folder in sorted(self._base.iterdir()):
            if not folder.is_dir():
                continue
            key = bytes.fromhex(folder.name).decode()
            gens = sorted(p for p in folder.iterdir() if p.name.startswith("g"))
            for path in folder.iterdir():
                # What was never switched to was never acknowledged.
                if path.name.startswith("tmp"):
                    self._disk.drop(path)
            if not gens:
                continue
            # The newest one was synced before its name existed: if it does not
            # check, older ones would be a promise taken back. Refuse instead.
            records[key] = self._load(gens[-1])
            self._gens[key] = int(gens[-1].name[1:])
            for path in gens[:-1]:
                self._disk.drop(path)
        return records

    def _load(self, path: pathlib.Path) -> typing.Any:
        try:
            with dbm.dumb.open(str(path / "db"), "r") as book:
                data, seal = book[FIELD], book[SEAL]
        except (OSError, KeyError, ValueError, SyntaxError) as flaw:
            raise Damage(f"{path}: {flaw}") from flaw
        if hashlib.sha256(data).digest() != seal:
            raise Damage(f"{path}: checksum does not match")
        return cbor2.loads(data)

    def put(self, key: str, record: typing.Any) -> None:
        """Write one record and make it last before returning."""
        self._points.hit(POINT_BEFORE)
        folder = self._base / key.encode().hex()
        if not folder.exists():
            folder.mkdir()
            self._disk.sync_folder(self._base)
        gen = self._gens.get(key, 0) + 1
        work = folder / f"tmp{gen}"
        self._disk.drop(work)
        work.mkdir()
        data = cbor2.dumps(record)
        with dbm.dumb.open(str(work / "db"), "n") as book:
            book[FIELD] = data
            book[SEAL] = hashlib.sha256(data).digest()
        self._points.hit(POINT_WRITTEN)
        for path in sorted(work.iterdir()):
            self._disk.sync_file(path)
        self._points.hit(POINT_FILES_SYNCED)
        self._disk.sync_folder(work)
        self._points.hit(POINT_FOLDER_SYNCED)
        final = folder / f"g{gen:012d}"
        self._disk.rename(work, final)
        self._points.hit(POINT_RENAMED)
        self._disk.sync_folder(folder)
        self._points.hit(POINT_PARENT_SYNCED)
        if gen > 1:
            self._disk.drop(folder / f"g{gen - 1:012d}")
        self._gens[key] = gen
        self._points.hit(POINT_OLD_DROPPED)
