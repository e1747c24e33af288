"""The memory of confirmed layouts, by which the register recognizes an order that is sent again.

The memory is part of the register's value, so it is changed in the same atomic step as the
layout itself. It stores digests instead of bodies and is bounded: the lowest entries are
evicted first, and `floor` is the highest number about which nothing is known any more.
"""

import dataclasses
import hashlib
import struct
import typing

import cbor2

# How many confirmed orders are remembered of each kind (by number, and by register version).
ENTRIES_KEPT: typing.Final = 512
DIGEST_BYTES: typing.Final = 8
ENTRY_FORMAT: typing.Final = struct.Struct(f">Q{DIGEST_BYTES}s")


def digest_of(body: bytes) -> bytes:
    """A short digest that distinguishes bodies."""
    return hashlib.sha256(body).digest()[:DIGEST_BYTES]


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """The digests of the bodies confirmed under the highest numbers."""

    # Nothing is known about numbers up to this one.
    floor: int = 0
    digests: tuple[tuple[int, bytes], ...] = ()

    def digest(self, number: int) -> bytes | None:
        """The digest of the body confirmed under a number."""
        return next((digest for entry_number, digest in self.digests if entry_number == number), None)

    def knows(self, number: int) -> bool:
        """Whether this ledger knows if a body was confirmed under a number."""
        return number > self.floor

    def with_entry(self, number: int, digest: bytes) -> "Ledger":
        """This ledger with one more confirmed body; the lowest entry is evicted when it is full."""
        entries = sorted({**dict(self.digests), number: digest}.items())
        evicted, kept = entries[:-ENTRIES_KEPT], entries[-ENTRIES_KEPT:]
        floor = max([self.floor, *(entry_number for entry_number, _ in evicted)])
        return Ledger(floor, tuple(kept))

    def to_wire(self) -> list[typing.Any]:
        """Encode this ledger for the packed memory."""
        return [self.floor, b"".join(ENTRY_FORMAT.pack(number, digest) for number, digest in self.digests)]


def _ledger_from_wire(raw: typing.Any) -> Ledger:
    floor, packed = raw
    return Ledger(int(floor), tuple(ENTRY_FORMAT.iter_unpack(packed)))


@dataclasses.dataclass(frozen=True, slots=True)
class OrderMemory:
    """The confirmed orders: numbered ones by the operator's number, others by register version."""

    by_number: Ledger = Ledger()
    by_version: Ledger = Ledger()

    def pack(self) -> bytes:
        """Encode the memory for storage in the register."""
        return cbor2.dumps([self.by_number.to_wire(), self.by_version.to_wire()])


def read(packed: bytes, version: int) -> OrderMemory:
    """Decode the memory of a register value; an empty one knows nothing up to the value's version."""
    if not packed:
        return OrderMemory(Ledger(), Ledger(floor=version))
    by_number, by_version = cbor2.loads(packed)
    return OrderMemory(_ledger_from_wire(by_number), _ledger_from_wire(by_version))
