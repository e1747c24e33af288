"""What the register remembers of the layouts it confirmed, to know an order sent again.

The memory travels inside the register's value, so it is changed in the same atomic step as
the layout itself. It holds digests in place of bodies and is bounded: the lowest entries
are evicted first, and `floor` says up to where nothing can be told any more.
"""

import dataclasses
import hashlib
import struct
import typing

import cbor2

# How many confirmed orders are remembered of each kind.
ENTRIES_KEPT: typing.Final = 512
DIGEST_BYTES: typing.Final = 8
ENTRY: typing.Final = struct.Struct(f">Q{DIGEST_BYTES}s")


def digest_of(body: bytes) -> bytes:
    """A short digest by which two bodies are told apart."""
    return hashlib.sha256(body).digest()[:DIGEST_BYTES]


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """Which body was confirmed under which number, for the highest numbers."""

    # Of numbers up to here nothing is known.
    floor: int = 0
    digests: tuple[tuple[int, bytes], ...] = ()

    def digest(self, number: int) -> bytes | None:
        """The digest of the body confirmed under a number."""
        return next((digest for known, digest in self.digests if known == number), None)

    def knows(self, number: int) -> bool:
        """Whether this ledger can tell if a body was confirmed under a number."""
        return number > self.floor

    def with_entry(self, number: int, digest: bytes) -> "Ledger":
        """This ledger with one more body confirmed; the lowest entry gives way when it is full."""
        entries = sorted({**dict(self.digests), number: digest}.items())
        evicted, kept = entries[:-ENTRIES_KEPT], entries[-ENTRIES_KEPT:]
        floor = max([self.floor, *(known for known, _ in evicted)])
        return Ledger(floor, tuple(kept))

    def to_wire(self) -> list[typing.Any]:
        """This ledger as it stands in the packed memory."""
        return [self.floor, b"".join(ENTRY.pack(number, digest) for number, digest in self.digests)]


def _ledger_of(raw: typing.Any) -> Ledger:
    floor, packed = raw
    return Ledger(int(floor), tuple(ENTRY.iter_unpack(packed)))


@dataclasses.dataclass(frozen=True, slots=True)
class OrderMemory:
    """The confirmed orders: those numbered by the operator, and the others by register version."""

    by_number: Ledger = Ledger()
    by_version: Ledger = Ledger()

    def pack(self) -> bytes:
        """The memory as the register holds it."""
        return cbor2.dumps([self.by_number.to_wire(), self.by_version.to_wire()])


def read(packed: bytes, version: int) -> OrderMemory:
    """The memory out of a register value of some version; one without has none up to there."""
    if not packed:
        return OrderMemory(Ledger(), Ledger(floor=version))
    by_number, by_version = cbor2.loads(packed)
    return OrderMemory(_ledger_of(by_number), _ledger_of(by_version))
