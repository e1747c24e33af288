"""The register: one value a key, written to a majority of disks and read from one.

There is no leader and no log. `Ballot` orders tries, `Value` carries a version that
rises by one with each change, and `MemberSet` says which disks have a vote.
"""

import dataclasses
import typing

import cbor2

import dykeswitch.ports as ports

# A proposer's try: a counter, then the proposer's own id to part equals.
Ballot = tuple[int, str]
ZERO_BALLOT: typing.Final[Ballot] = (0, "")

# The register's own key for the member set; it is moved by other rules than the rest.
MEMBERS_KEY: typing.Final = "@members"
MAX_OPS: typing.Final = 24
# The most that a key's user may have remembered beside its body, in bytes.
MAX_MEMORY_BYTES: typing.Final = 32768
MAX_COUNT: typing.Final = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """What a key holds: a version, a body and the latest changes by their ids."""

    version: int
    body: bytes
    # Change ids with the version each made: settles "outcome unknown" honestly.
    ops: tuple[tuple[str, int], ...] = ()
    # What the key's user remembers of earlier changes; changed in one step with the body.
    memory: bytes = b""

    def to_wire(self) -> list[typing.Any]:
        fields: list[typing.Any] = [self.version, self.body, [list(op) for op in self.ops]]
        # Left out where there is none: such values look as they did before there was a memory.
        return [*fields, self.memory] if self.memory else fields

    def version_of(self, op: str) -> int | None:
        """The version that a change made, if this value still remembers it."""
        for name, version in self.ops:
            if name == op:
                return version
        return None

    def successor(self, body: bytes, op: str, memory: bytes | None = None) -> "Value":
        """The value after one more change; its memory is kept unless another is given."""
        version = self.version + 1
        ops = (*self.ops, (op, version))[-MAX_OPS:]
        return Value(version, body, ops, self.memory if memory is None else memory)


INITIAL_VALUE: typing.Final = Value(0, b"")


def decode_value(raw: typing.Any) -> Value:
    """A value off the wire."""
    version, body, ops, *more = raw
    if not is_count(version) or not isinstance(body, bytes) or len(ops) > MAX_OPS:
        raise ValueError("not a value")
    if len(more) > 1 or any(not isinstance(part, bytes) or len(part) > MAX_MEMORY_BYTES for part in more):
        raise ValueError("not a value")
    if any(not isinstance(name, str) or not is_count(made) for name, made in ops):
        raise ValueError("not a value")
    return Value(version, body, tuple((name, made) for name, made in ops), *more)


def decode_ballot(raw: typing.Any) -> Ballot:
    """A ballot off the wire."""
    count, name = raw
    if not is_count(count) or not isinstance(name, str):
        raise ValueError("not a ballot")
    return (count, name)


def is_count(raw: object) -> bool:
    """Whether something is a count that the system could have come to."""
    return isinstance(raw, int) and not isinstance(raw, bool) and 0 <= raw < MAX_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSet:
    """The disks that vote: one group, or two while one set gives way to the next."""

    epoch: int
    # Each group maps a disk's id to the address its store was last known at.
    groups: tuple[tuple[tuple[str, str], ...], ...]

    def to_wire(self) -> list[typing.Any]:
        return [self.epoch, [[list(pair) for pair in group] for group in self.groups]]

    def disks(self) -> dict[str, ports.Address]:
        """Each disk with a vote, and the address that the set tells of its store."""
        return {disk: ports.address_of(told) for group in self.groups for disk, told in group}

    def is_joint(self) -> bool:
        return len(self.groups) > 1


EMPTY_MEMBER_SET: typing.Final = MemberSet(0, ())


def decode_member_set(raw: typing.Any) -> MemberSet:
    """A member set off the wire."""
    epoch, groups = raw
    # A set without a voter, or one whose epoch nobody could ever pass, would end the register.
    if not is_count(epoch) or (epoch and not (1 <= len(groups) <= 2 and all(groups))):
        raise ValueError("not a member set")
    for group in groups:
        if any(
            not disk or not isinstance(disk, str) or ports.address_fault(address) for disk, address in group
        ):
            raise ValueError("not a member set")
    return MemberSet(epoch, tuple(tuple((str(d), str(s)) for d, s in group) for group in groups))


def majority(group: tuple[tuple[str, str], ...], yes: typing.Collection[str]) -> bool:
    """Whether more than half of a group's disks are among the given ones."""
    return sum(1 for disk, _ in group if disk in yes) * 2 > len(group)


def has_majorities(groups: typing.Iterable[tuple[tuple[str, str], ...]], yes: typing.Collection[str]) -> bool:
    """Whether every group has its majority."""
    return all(majority(group, yes) for group in groups)


def member_set_from_body(value: Value) -> MemberSet:
    """The member set out of the register's own key."""
    return decode_member_set(cbor2.loads(value.body)) if value.body else EMPTY_MEMBER_SET


def member_set_to_body(members: MemberSet) -> bytes:
    """A member set as the body of the register's own key."""
    return cbor2.dumps(members.to_wire())
