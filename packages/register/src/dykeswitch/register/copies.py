"""The copies of a key on the disks: read from a majority, compared and repaired."""

import asyncio
import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.quorum as quorums


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCopies:
    """The copies of a key as they were read from disks of a member set."""

    key: str
    members: register.MemberSet
    # The newest ballot among the copies, its value, and the disks that have it.
    ballot: register.Ballot
    value: register.Value
    holders: tuple[str, ...]
    # Whether all copies have this ballot: then nothing newer was decided before the read.
    identical: bool


class Copies:
    """Reads and repairs copies on behalf of one registry."""

    def __init__(self, quorum: quorums.Quorum) -> None:
        self._quorum = quorum
        # The highest ballot known for each key, with its value.
        self._known: dict[str, tuple[register.Ballot, register.Value]] = {}

    def remember(self, key: str, ballot: register.Ballot, value: register.Value) -> None:
        """Remembers the value of a ballot, unless a higher ballot of the key is known."""
        if key not in self._known or self._known[key][0] < ballot:
            self._known[key] = (ballot, value)

    async def read_majority(self, key: str) -> KeyCopies | quorums.Answers[messages.ReadReply]:
        """Reads the copies of a majority; returns the answers if there are too few."""
        members, cached = self._quorum.members, self._known.get(key)
        answers = await self._quorum.call_all(
            members.groups, self._read_request(key, cached), messages.ReadReply
        )
        if not answers.has_majorities():
            return answers
        newest = max(copy.ballot for copy in answers.replies.values())
        value = self._value_of_ballot(key, newest, answers.replies, cached)
        holders = tuple(disk for disk, copy in answers.replies.items() if copy.ballot == newest)
        return KeyCopies(key, members, newest, value, holders, len(holders) == len(answers.replies))

    async def complete(self, key_copies: KeyCopies) -> quorums.Answers[messages.Accepted]:
        """Brings a ballot's value to a majority by sending its original accept again.

        A ballot has one value, and a majority promised it before its first accept was sent, so sending
        that accept again does no more than its proposer may have done. Unlike a write under a new
        ballot it outvotes nobody, however many registries do it at once.
        """
        answered = dict.fromkeys(key_copies.holders, messages.Accepted())
        if key_copies.members is not self._quorum.members:
            # The member set has changed since: the key has to be read again.
            return quorums.Answers(key_copies.members.groups, {}, [])
        groups = self._quorum.groups_for(key_copies.key, key_copies.value)
        accept = messages.Accept(
            key_copies.key, key_copies.ballot, key_copies.value, key_copies.members.epoch, quorums.ANY_DISK
        )
        return await self._quorum.call_others(groups, accept, messages.Accepted, answered)

    async def keys(self) -> list[str] | None:
        """Every key ever accepted, or None if too few stores answer to be certain."""
        members = self._quorum.members
        request = messages.Keys(members.epoch, quorums.ANY_DISK)
        answers = await self._quorum.call_all(members.groups, request, messages.KeysReply)
        if not answers.has_majorities():
            return None
        return sorted({key for reply in answers.replies.values() for key in reply.keys})

    async def read_all(self, key: str) -> dict[str, messages.ReadReply]:
        """The copy of a key on each reachable disk, waiting for all rather than for a majority."""
        request = self._read_request(key, self._known.get(key))
        return await self._quorum.call_each(request, messages.ReadReply)

    async def versions(self) -> dict[str, dict[str, int]]:
        """The version of each key on each disk that answers."""
        keys = await self.keys() or []
        found = await asyncio.gather(*(self.read_all(key) for key in keys))
        versions: dict[str, dict[str, int]] = {}
        for key, copies in zip(keys, found):
            for disk, copy in copies.items():
                versions.setdefault(disk, {})[key] = copy.version
        return versions

    async def find_outdated(self, key: str) -> tuple[KeyCopies, tuple[str, ...]] | None:
        """The newest copy of a key and the disks with an older one; None if all copies are the same."""
        members, cached = self._quorum.members, self._known.get(key)
        copies = await self.read_all(key)
        newest = max((copy.ballot for copy in copies.values()), default=register.ZERO_BALLOT)
        outdated = tuple(disk for disk, copy in copies.items() if copy.ballot != newest)
        if not outdated:
            return None
        value = self._value_of_ballot(key, newest, copies, cached)
        holders = tuple(disk for disk in copies if disk not in outdated)
        return KeyCopies(key, members, newest, value, holders, identical=False), outdated

    async def send_accept(self, key_copies: KeyCopies, disks: typing.Iterable[str]) -> bool:
        """Sends a ballot's original accept again to some disks; returns whether all of them accepted."""
        addresses = key_copies.members.disks()
        accept = messages.Accept(
            key_copies.key, key_copies.ballot, key_copies.value, key_copies.members.epoch, quorums.ANY_DISK
        )
        results = await asyncio.gather(
            *(
                self._quorum.call(
                    disk, self._quorum.address(disk, addresses[disk]), accept, messages.Accepted
                )
                for disk in disks
            )
        )
        return all(isinstance(result, outcome.Success) for result in results)

    def _read_request(self, key: str, cached: tuple[register.Ballot, register.Value] | None) -> messages.Read:
        ballot = None if cached is None else cached[0]
        return messages.Read(key, self._quorum.members.epoch, quorums.ANY_DISK, ballot)

    def _value_of_ballot(
        self,
        key: str,
        ballot: register.Ballot,
        copies: typing.Mapping[str, messages.ReadReply],
        cached: tuple[register.Ballot, register.Value] | None,
    ) -> register.Value:
        """The value of a ballot.

        Disks omit the value from their reply if its ballot is that of `cached`, which is what was known
        when the read was sent.
        """
        if cached is not None and cached[0] == ballot:
            return cached[1]
        values = (copy.value for copy in copies.values() if copy.ballot == ballot)
        value = next((value for value in values if value is not None), register.INITIAL_VALUE)
        self.remember(key, ballot, value)
        return value
