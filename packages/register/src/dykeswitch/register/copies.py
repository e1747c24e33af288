"""The copies of a key on the disks: read at a majority, compared, and brought together."""

import asyncio
import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.quorum as quorums


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """What a majority of each group of a member set holds of a key."""

    key: str
    members: register.MemberSet
    # The newest ballot among the copies, its value, and the disks that hold it.
    ballot: register.Ballot
    value: register.Value
    holding: tuple[str, ...]
    # Whether all copies bear it: then nothing newer was decided before we looked.
    alike: bool


class Copies:
    """Looks at the copies on behalf of one registry."""

    def __init__(self, quorum: quorums.Quorum) -> None:
        self._quorum = quorum
        # The highest ballot that we know of each key, with its value.
        self._held: dict[str, tuple[register.Ballot, register.Value]] = {}

    def hold(self, key: str, ballot: register.Ballot, value: register.Value) -> None:
        """Keep in mind what value a ballot bears, if none of a higher one is."""
        if key not in self._held or self._held[key][0] < ballot:
            self._held[key] = (ballot, value)

    async def look(self, key: str) -> Look | quorums.Answers[messages.ReadReply]:
        """The copies of a majority, or the answers that are too few."""
        members, have = self._quorum.members, self._held.get(key)
        answers = await self._quorum.call_all(members.groups, self._read_of(key, have), messages.ReadReply)
        if not answers.has_majorities():
            return answers
        newest = max(copy.ballot for copy in answers.yes.values())
        value = self._value_of(key, newest, answers.yes, have)
        holding = tuple(disk for disk, copy in answers.yes.items() if copy.ballot == newest)
        return Look(key, members, newest, value, holding, len(holding) == len(answers.yes))

    async def complete(self, look: Look) -> quorums.Answers[messages.Accepted]:
        """Bring a ballot's value to a majority by sending its own accept once more.

        A ballot bears one value, and a majority promised it before the first accept went out, so
        whoever sends that accept again does no more than its proposer may have done. Unlike a
        write under a fresh ballot it outvotes nobody, however many do it at once.
        """
        answered = dict.fromkeys(look.holding, messages.Accepted())
        if look.members is not self._quorum.members:
            # The set has moved on: it is to be looked at anew.
            return quorums.Answers(look.members.groups, {}, [])
        groups = self._quorum.groups_for(look.key, look.value)
        accept = messages.Accept(look.key, look.ballot, look.value, look.members.epoch, quorums.ANY_DISK)
        return await self._quorum.call_others(groups, accept, messages.Accepted, answered)

    async def keys(self) -> list[str] | None:
        """Every key ever accepted, or nothing when too few stores answer to be sure."""
        members = self._quorum.members
        request = messages.Keys(members.epoch, quorums.ANY_DISK)
        answers = await self._quorum.call_all(members.groups, request, messages.KeysReply)
        if not answers.has_majorities():
            return None
        return sorted({key for reply in answers.yes.values() for key in reply.keys})

    async def everyone(self, key: str) -> dict[str, messages.ReadReply]:
        """Each reachable disk's copy of a key, waiting for all rather than a majority."""
        request = self._read_of(key, self._held.get(key))
        return await self._quorum.call_each(request, messages.ReadReply)

    async def versions(self) -> dict[str, dict[str, int]]:
        """For each disk that answers, which version of each key it holds."""
        keys = await self.keys() or []
        found = await asyncio.gather(*(self.everyone(key) for key in keys))
        versions: dict[str, dict[str, int]] = {}
        for key, copies in zip(keys, found):
            for disk, copy in copies.items():
                versions.setdefault(disk, {})[key] = copy.version
        return versions

    async def unlike(self, key: str) -> tuple[Look, tuple[str, ...]] | None:
        """The newest copy of a key and the disks that hold an older one; nothing where all are alike."""
        members, have = self._quorum.members, self._held.get(key)
        copies = await self.everyone(key)
        newest = max((copy.ballot for copy in copies.values()), default=register.ZERO_BALLOT)
        older = tuple(disk for disk, copy in copies.items() if copy.ballot != newest)
        if not older:
            return None
        value = self._value_of(key, newest, copies, have)
        holding = tuple(disk for disk in copies if disk not in older)
        return Look(key, members, newest, value, holding, alike=False), older

    async def spread(self, look: Look, disks: typing.Iterable[str]) -> bool:
        """Send a ballot's own accept once more to some disks; whether all of them took it."""
        addresses = look.members.disks()
        accept = messages.Accept(look.key, look.ballot, look.value, look.members.epoch, quorums.ANY_DISK)
        results = await asyncio.gather(
            *(
                self._quorum.call(
                    disk, self._quorum.address(disk, addresses[disk]), accept, messages.Accepted
                )
                for disk in disks
            )
        )
        return all(isinstance(result, outcome.Success) for result in results)

    def _read_of(self, key: str, have: tuple[register.Ballot, register.Value] | None) -> messages.Read:
        ballot = None if have is None else have[0]
        return messages.Read(key, self._quorum.members.epoch, quorums.ANY_DISK, ballot)

    def _value_of(
        self,
        key: str,
        ballot: register.Ballot,
        copies: typing.Mapping[str, messages.ReadReply],
        have: tuple[register.Ballot, register.Value] | None,
    ) -> register.Value:
        """A ballot's value; `have` is what we held when we asked, for whose sake it may be left out."""
        if have is not None and have[0] == ballot:
            return have[1]
        told = (copy.value for copy in copies.values() if copy.ballot == ballot)
        value = next((value for value in told if value is not None), register.INITIAL_VALUE)
        self.hold(key, ballot, value)
        return value
