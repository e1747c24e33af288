"""Calls of one registry to the stores of the member set, until a majority of each group answered."""

import asyncio
import contextlib
import dataclasses
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages

Groups = tuple[tuple[tuple[str, str], ...], ...]
DiskRequest = messages.Prepare | messages.Accept | messages.Read | messages.Keys
Answer = typing.TypeVar("Answer", bound=messages.Reply)

# Stands in a message until it is addressed to one of the disks.
ANY_DISK: typing.Final = ""
OUTVOTED: typing.Final = "outvoted"
OLD_EPOCH: typing.Final = "old_epoch"
# Refusals by disks that know of something later, and for which part of a call's span the other
# disks are waited for after one.
SUPERSEDED: typing.Final = (OUTVOTED, OLD_EPOCH)
SUPERSEDED_WAIT: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Answers(typing.Generic[Answer]):
    """What the disks of some groups answered, by disk, and the refusals of the others."""

    groups: Groups
    yes: dict[str, Answer]
    no: list[outcome.Failure]

    def has_majorities(self) -> bool:
        """Whether each group has its majority."""
        return register.has_majorities(self.groups, self.yes)

    def failure(self) -> outcome.Failure:
        """Why there is no majority."""
        seen = ", ".join(sorted({failure.code.tag for failure in self.no}))
        return outcome.failure("no_majority", seen)

    def outvoted(self) -> bool:
        """Whether a disk had promised a higher ballot."""
        return any(failure.code.tag == OUTVOTED for failure in self.no)


class Quorum:
    """The member set as one registry knows it, and calls to its disks."""

    def __init__(self, call_client: frames.CallClient, clock: ports.Clock, wait: float) -> None:
        self._call_client = call_client
        self._clock = clock
        self._wait = wait
        self.members = register.EMPTY_MEMBER_SET
        # Where a disk was last seen, which beats the address in the member set.
        self.addresses: dict[str, ports.Address] = {}
        # Calls whose answer came too late to count, held until they end.
        self._late: set[asyncio.Task[None]] = set()

    def adopt(self, fresh: register.MemberSet) -> bool:
        """Take up a committed member set if it is newer."""
        if fresh.epoch > self.members.epoch:
            self.members = fresh
            return True
        return False

    def address(self, disk: str, told: str) -> ports.Address:
        """Where a disk is reached: as it was seen last, or as the member set tells."""
        return self.addresses.get(disk) or ports.address_of(told)

    async def call(
        self, disk: str, address: ports.Address, request: DiskRequest, answer: type[Answer]
    ) -> outcome.Success[Answer] | outcome.Failure:
        """Ask one disk; an answer that is malformed counts as none."""
        body = messages.encode(dataclasses.replace(request, disk=disk))
        result = await self._call_client.call(address, request.KIND, body, self._wait)
        if isinstance(result, outcome.Failure):
            return result
        try:
            return outcome.Success(messages.decode(answer, result.value))
        except ValueError as flaw:
            return outcome.failure("bad_frame", f"{address}: {flaw}")

    async def call_each(self, request: DiskRequest, answer: type[Answer]) -> dict[str, Answer]:
        """The answers of all disks that answer in time, rather than of a majority."""
        addresses = {d: self.address(d, told) for d, told in self.members.disks().items()}
        results = await asyncio.gather(
            *(self.call(disk, address, request, answer) for disk, address in addresses.items())
        )
        return {
            disk: result.value
            for disk, result in zip(addresses, results)
            if isinstance(result, outcome.Success)
        }

    async def call_all(self, groups: Groups, request: DiskRequest, answer: type[Answer]) -> Answers[Answer]:
        """Ask every disk of the groups; return once each group has its majority or can't."""
        return await self.call_others(groups, request, answer, {})

    async def call_others(
        self,
        groups: Groups,
        request: DiskRequest,
        answer: type[Answer],
        answered: typing.Mapping[str, Answer],
    ) -> Answers[Answer]:
        """The same for the disks that have not answered yet; the answers of all.

        Once a disk has told of a higher ballot or a later set, the others are waited for only a
        moment longer: the next try is worth more than the answer of one that is silent.
        """
        yes: dict[str, Answer] = dict(answered)
        no: dict[str, outcome.Failure] = {}
        disks = {disk: told for group in groups for disk, told in group}
        news = asyncio.Event()

        async def one(disk: str, address: ports.Address) -> None:
            result = await self.call(disk, address, request, answer)
            if isinstance(result, outcome.Success):
                yes[disk] = result.value
            else:
                no[disk] = result
            news.set()

        def settled() -> bool:
            possible = disks.keys() - no.keys()
            return register.has_majorities(groups, yes) or not register.has_majorities(groups, possible)

        end: float | None = None
        tasks = [
            asyncio.create_task(one(disk, self.address(disk, told)))
            for disk, told in disks.items()
            if disk not in yes
        ]
        try:
            while not settled():
                news.clear()
                if end is None and any(failure.code.tag in SUPERSEDED for failure in no.values()):
                    end = self._clock.now() + self._wait * SUPERSEDED_WAIT
                async with asyncio.timeout(None if end is None else max(0.0, end - self._clock.now())):
                    await news.wait()
        except TimeoutError:
            pass
        finally:
            # A straggler's answer is no longer needed, but its vote still helps:
            # let calls that run end by themselves.
            self._leave(tasks)
        return Answers(groups, dict(yes), list(no.values()))

    def _leave(self, tasks: typing.Iterable["asyncio.Task[None]"]) -> None:
        """Hold calls that nobody waits for any more until they end."""
        for task in tasks:
            if not task.done():
                self._late.add(task)
                task.add_done_callback(self._late.discard)

    async def learn(self, more: typing.Iterable[ports.Address] = ()) -> bool:
        """Ask the stores we know of for a newer member set; one that has it is enough."""
        addresses = {self.address(d, s) for d, s in self.members.disks().items()} | set(more)
        before = self.members.epoch
        news = asyncio.Event()

        async def one(address: ports.Address) -> None:
            result = await self._call_client.call(address, "state", {}, self._wait)
            if isinstance(result, outcome.Success):
                with contextlib.suppress(ValueError, TypeError, AttributeError, KeyError, OverflowError):
                    self.adopt(register.decode_member_set(result.value["set"]))
            news.set()

        tasks = [asyncio.create_task(one(address)) for address in sorted(addresses)]
        try:
            while self.members.epoch == before and not all(task.done() for task in tasks):
                news.clear()
                await news.wait()
        finally:
            self._leave(tasks)
        return self.members.epoch > before

    def groups_for(self, key: str, value: register.Value | None) -> Groups:
        """The groups of which each must take part in a write of a key's value."""
        groups = self.members.groups
        if key == register.MEMBERS_KEY and value is not None and value.body:
            # A member set is written to majorities of both the old set and its own.
            extra = register.member_set_from_body(value).groups
            groups = groups + tuple(g for g in extra if g not in groups)
        return groups
