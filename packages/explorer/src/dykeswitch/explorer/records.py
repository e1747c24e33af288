"""The records on a store's disk, written by the real `Storage` or by an atomic substitute.

`ObservedStorage` is the real class with real files; it only records what was written.
`AtomicStorage` fulfils the contract that the `power` scope checks for the real class: a put is
all or nothing, and durable once it has returned. It uses no files, which take half a millisecond
per put. Scopes without power loss during writes use it.
"""

import contextlib
import functools
import typing

import cbor2

import dykeswitch.explorer.disk as disks
import dykeswitch.explorer.fingerprint as fingerprint
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.storage as storage


class Record(typing.NamedTuple):
    """The record of a key on a disk."""

    promised: register.Ballot
    ballot: register.Ballot
    value: register.Value


class ObservedStorage(storage.Storage):
    """The real storage, which also copies each durable record to `FileDisk.records`."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        super().__init__(disk, fault_points)
        assert isinstance(disk, disks.FileDisk)
        self._observed = disk

    def open(self) -> dict[str, typing.Any]:
        """Return every record on the disk."""
        records = super().open()
        self._observed.records = {key: cbor2.dumps(record) for key, record in records.items()}
        return records

    def put(self, key: str, record: typing.Any) -> None:
        """Write a record durably."""
        super().put(key, record)
        self._observed.records[key] = cbor2.dumps(record)

    def erase(self) -> None:
        """Delete every record."""
        super().erase()
        self._observed.records.clear()


@fingerprint.exclude_from_fingerprint
class AtomicStorage:
    """Records in memory, each written atomically."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        assert isinstance(disk, disks.MemoryDisk)
        self._disk = disk

    def open(self) -> dict[str, typing.Any]:
        """Return every record on the disk."""
        return {key: cbor2.loads(data) for key, data in self._disk.records.items()}

    def put(self, key: str, record: typing.Any) -> None:
        """Write a record durably."""
        self._disk.records[key] = cbor2.dumps(record)

    def voted_before(self) -> bool:
        """Return whether a replica with a vote was once erased from this disk."""
        return self._disk.voted_before

    def erase(self) -> None:
        """Delete every record, and remember that records were erased."""
        self._disk.voted_before = True
        self._disk.records.clear()


@contextlib.contextmanager
def use_storage_class(storage_type: type) -> typing.Iterator[None]:
    """Use the given storage class for voters that are created within the context."""
    original = storage.Storage
    storage.Storage = storage_type  # type: ignore[misc, assignment]
    try:
        yield
    finally:
        storage.Storage = original  # type: ignore[misc]


class View(typing.NamedTuple):
    """The decoded records of a disk."""

    disk: str
    members: register.MemberSet
    keys: dict[str, Record]


def view(raw: dict[str, bytes]) -> View:
    """Decode the records of a disk."""
    disk, members, keys = "", register.EMPTY_MEMBER_SET, {}
    for key, data in raw.items():
        if key == messages.DISK_KEY:
            disk = str(cbor2.loads(data))
        elif key == messages.SET_KEY:
            members = register.decode_member_set(cbor2.loads(data))
        else:
            keys[key] = _record(data)
    return View(disk, members, keys)


@functools.lru_cache(4096)
def _record(data: bytes) -> Record:
    promised, ballot, value = cbor2.loads(data)[:3]
    return Record(
        register.decode_ballot(promised), register.decode_ballot(ballot), register.decode_value(value)
    )
