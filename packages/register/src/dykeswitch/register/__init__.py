"""A replicated register: one value per key, written to and read from majorities of the disks.

There is no leader and no log. `Ballot` orders the attempts of proposers, `Value` carries a version that
increases by one with each change, and `MemberSet` names the disks that have a vote.
"""

import dataclasses
import typing

import cbor2

import dykeswitch.ports as ports

# One attempt of a proposer: a counter, then the proposer's id, which breaks ties.
Ballot = tuple[int, str]
ZERO_BALLOT: typing.Final[Ballot] = (0, "")

# The register's own key for the member set. It is changed by different rules than other keys.
MEMBERS_KEY: typing.Final = "@members"
MAX_OPS: typing.Final = 24
# Limit of the memory that the user of a key may keep beside the body.
MAX_MEMORY_BYTES: typing.Final = 32768
MAX_COUNT: typing.Final = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """The value of a key: a version, a body and the ids of the latest changes."""

    version: int
    body: bytes
    # Change ids, each with the version that the change made. They show whether a change with an unknown
    # outcome took effect.
    ops: tuple[tuple[str, int], ...] = ()
    # What the user of the key remembers of earlier changes. It changes in one step with the body.
    memory: bytes = b""

    def to_wire(self) -> list[typing.Any]:
        fields: list[typing.Any] = [self.version, self.body, [list(op) for op in self.ops]]
        # Omitted when empty, so that such values are encoded as before this field was introduced.
        return [*fields, self.memory] if self.memory else fields

    def version_of(self, op: str) -> int | None:
        """The version that a change made, or None if this value no longer remembers the change."""
        for name, version in self.ops:
            if name == op:
                return version
        return None

    def successor(self, body: bytes, op: str, memory: bytes | None = None) -> "Value":
        """The value after one more change; keeps the memory unless a new one is given."""
        version = self.version + 1
        ops = (*self.ops, (op, version))[-MAX_OPS:]
        return Value(version, body, ops, self.memory if memory is None else memory)


INITIAL_VALUE: typing.Final = Value(0, b"")


def decode_value(raw: typing.Any) -> Value:
    """Decodes and checks a value from the wire; raises `ValueError` if it is malformed."""
    version, body, ops, *optional = raw
    if not is_count(version) or not isinstance(body, bytes) or len(ops) > MAX_OPS:
        raise ValueError("not a valid value")
    if len(optional) > 1 or any(
        not isinstance(part, bytes) or len(part) > MAX_MEMORY_BYTES for part in optional
    ):
        raise ValueError("not a valid value")
    if any(not isinstance(name, str) or not is_count(made) for name, made in ops):
        raise ValueError("not a valid value")
    return Value(version, body, tuple((name, made) for name, made in ops), *optional)


def decode_ballot(raw: typing.Any) -> Ballot:
    """Decodes and checks a ballot from the wire; raises `ValueError` if it is malformed."""
    count, name = raw
    if not is_count(count) or not isinstance(name, str):
        raise ValueError("not a valid ballot")
    return (count, name)


def is_count(raw: object) -> bool:
    """Whether `raw` is a count within the range that the system can reach."""
    return isinstance(raw, int) and not isinstance(raw, bool) and 0 <= raw < MAX_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSet:
    """The disks that vote: one group, or two (a joint set) while one set replaces another."""

    epoch: int
    # Each group maps a disk's id to the last known address of its store.
    groups: tuple[tuple[tuple[str, str], ...], ...]

    def to_wire(self) -> list[typing.Any]:
        return [self.epoch, [[list(pair) for pair in group] for group in self.groups]]

    def disks(self) -> dict[str, ports.Address]:
        """Each voting disk with the address of its store according to this set."""
        return {disk: ports.address_of(address) for group in self.groups for disk, address in group}

    def is_joint(self) -> bool:
        return len(self.groups) > 1


EMPTY_MEMBER_SET: typing.Final = MemberSet(0, ())


def decode_member_set(raw: typing.Any) -> MemberSet:
    """Decodes and checks a member set from the wire; raises `ValueError` if it is malformed."""
    epoch, groups = raw
    # A set without voters, or with an epoch that no later set could exceed, would make the register
    # unusable.
    if not is_count(epoch) or (epoch and not (1 <= len(groups) <= 2 and all(groups))):
        raise ValueError("not a valid member set")
    for group in groups:
        if any(
            not disk or not isinstance(disk, str) or ports.address_fault(address) for disk, address in group
        ):
            raise ValueError("not a valid member set")
    return MemberSet(epoch, tuple(tuple((str(d), str(s)) for d, s in group) for group in groups))


def majority(group: tuple[tuple[str, str], ...], disks: typing.Collection[str]) -> bool:
    """Whether more than half of the disks of a group are among the given ones."""
    return sum(1 for disk, _ in group if disk in disks) * 2 > len(group)


def has_majorities(
    groups: typing.Iterable[tuple[tuple[str, str], ...]], disks: typing.Collection[str]
) -> bool:
    """Whether the given disks include a majority of every group."""
    return all(majority(group, disks) for group in groups)


def member_set_from_body(value: Value) -> MemberSet:
    """Decodes the member set that is stored under the register's own key."""
    return decode_member_set(cbor2.loads(value.body)) if value.body else EMPTY_MEMBER_SET


def member_set_to_body(members: MemberSet) -> bytes:
    """Encodes a member set as the body of the register's own key."""
    return cbor2.dumps(members.to_wire())
