"""Calls from one registry to the stores of the member set, until each group has a majority."""

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

# Placeholder in a request that is not addressed to a particular disk yet.
ANY_DISK: typing.Final = ""
OUTVOTED: typing.Final = "outvoted"
OLD_EPOCH: typing.Final = "old_epoch"
# Refusals by disks that know a later ballot or member set. After one, the other disks are waited for only
# during this fraction of a call timeout.
SUPERSEDED: typing.Final = (OUTVOTED, OLD_EPOCH)
SUPERSEDED_WAIT_FRACTION: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Answers(typing.Generic[Answer]):
    """The replies of the disks of some groups, by disk id, and the refusals of the others."""

    groups: Groups
    replies: dict[str, Answer]
    refusals: list[outcome.Failure]

    def has_majorities(self) -> bool:
        """Whether each group has a majority of replies."""
        return register.has_majorities(self.groups, self.replies)

    def failure(self) -> outcome.Failure:
        """The failure to report when there is no majority."""
        codes = ", ".join(sorted({failure.code.tag for failure in self.refusals}))
        return outcome.failure("no_majority", codes)

    def outvoted(self) -> bool:
        """Whether a disk had promised a higher ballot."""
        return any(failure.code.tag == OUTVOTED for failure in self.refusals)


class Quorum:
    """The member set as one registry knows it, and calls to its disks."""

    def __init__(self, call_client: frames.CallClient, clock: ports.Clock, call_timeout_s: float) -> None:
        self._call_client = call_client
        self._clock = clock
        self._call_timeout_s = call_timeout_s
        self.members = register.EMPTY_MEMBER_SET
        # Where a disk was last seen, which takes precedence over its address in the member set.
        self.addresses: dict[str, ports.Address] = {}
        # References to calls whose replies come too late to count, until they finish.
        self._late_calls: set[asyncio.Task[None]] = set()

    def adopt(self, newer: register.MemberSet) -> bool:
        """Adopts a committed member set if it is newer."""
        if newer.epoch > self.members.epoch:
            self.members = newer
            return True
        return False

    def address(self, disk: str, listed_address: str) -> ports.Address:
        """The address of a disk: where it was last seen, otherwise `listed_address`."""
        return self.addresses.get(disk) or ports.address_of(listed_address)

    async def call(
        self, disk: str, address: ports.Address, request: DiskRequest, reply_type: type[Answer]
    ) -> outcome.Success[Answer] | outcome.Failure:
        """Calls one disk; a malformed reply counts as a failure."""
        body = messages.encode(dataclasses.replace(request, disk=disk))
        result = await self._call_client.call(address, request.KIND, body, self._call_timeout_s)
        if isinstance(result, outcome.Failure):
            return result
        try:
            return outcome.Success(messages.decode(reply_type, result.value))
        except ValueError as error:
            return outcome.failure("bad_frame", f"{address}: {error}")

    async def call_each(self, request: DiskRequest, reply_type: type[Answer]) -> dict[str, Answer]:
        """The replies of all disks that answer in time, not only of a majority."""
        addresses = {
            disk_id: self.address(disk_id, listed_address)
            for disk_id, listed_address in self.members.disks().items()
        }
        results = await asyncio.gather(
            *(self.call(disk, address, request, reply_type) for disk, address in addresses.items())
        )
        return {
            disk: result.value
            for disk, result in zip(addresses, results)
            if isinstance(result, outcome.Success)
        }

    async def call_all(
        self, groups: Groups, request: DiskRequest, reply_type: type[Answer]
    ) -> Answers[Answer]:
        """Calls every disk of the groups; returns once each group has a majority or can't get one."""
        return await self.call_others(groups, request, reply_type, {})

    async def call_others(
        self,
        groups: Groups,
        request: DiskRequest,
        reply_type: type[Answer],
        answered: typing.Mapping[str, Answer],
    ) -> Answers[Answer]:
        """Calls the disks that are not in `answered`; returns these replies and the new ones.

        Once a disk has reported a higher ballot or a later member set, the others are waited for only a
        moment longer: the next attempt is worth more than the reply of a silent disk.
        """
        replies: dict[str, Answer] = dict(answered)
        refusals: dict[str, outcome.Failure] = {}
        disks = {disk: listed_address for group in groups for disk, listed_address in group}
        progress = asyncio.Event()

        async def call_one(disk: str, address: ports.Address) -> None:
            result = await self.call(disk, address, request, reply_type)
            if isinstance(result, outcome.Success):
                replies[disk] = result.value
            else:
                refusals[disk] = result
            progress.set()

        def settled() -> bool:
            possible = disks.keys() - refusals.keys()
            return register.has_majorities(groups, replies) or not register.has_majorities(groups, possible)

        until: float | None = None
        tasks = [
            asyncio.create_task(call_one(disk, self.address(disk, listed_address)))
            for disk, listed_address in disks.items()
            if disk not in replies
        ]
        try:
            while not settled():
                progress.clear()
                if until is None and any(failure.code.tag in SUPERSEDED for failure in refusals.values()):
                    until = self._clock.now() + self._call_timeout_s * SUPERSEDED_WAIT_FRACTION
                async with asyncio.timeout(None if until is None else max(0.0, until - self._clock.now())):
                    await progress.wait()
        except TimeoutError:
            pass
        finally:
            # A late reply is no longer needed, but the vote still helps: let the remaining calls finish.
            self._keep_until_done(tasks)
        return Answers(groups, dict(replies), list(refusals.values()))

    def _keep_until_done(self, tasks: typing.Iterable["asyncio.Task[None]"]) -> None:
        """Keeps references to calls that nobody awaits any more until they finish."""
        for task in tasks:
            if not task.done():
                self._late_calls.add(task)
                task.add_done_callback(self._late_calls.discard)

    async def learn(self, extra_addresses: typing.Iterable[ports.Address] = ()) -> bool:
        """Asks the known stores for a newer member set; returns as soon as one has it."""
        addresses = {
            self.address(disk, listed_address) for disk, listed_address in self.members.disks().items()
        } | set(extra_addresses)
        before = self.members.epoch
        progress = asyncio.Event()

        async def call_one(address: ports.Address) -> None:
            result = await self._call_client.call(address, "state", {}, self._call_timeout_s)
            if isinstance(result, outcome.Success):
                with contextlib.suppress(ValueError, TypeError, AttributeError, KeyError, OverflowError):
                    self.adopt(register.decode_member_set(result.value["set"]))
            progress.set()

        tasks = [asyncio.create_task(call_one(address)) for address in sorted(addresses)]
        try:
            while self.members.epoch == before and not all(task.done() for task in tasks):
                progress.clear()
                await progress.wait()
        finally:
            self._keep_until_done(tasks)
        return self.members.epoch > before

    def groups_for(self, key: str, value: register.Value | None) -> Groups:
        """The groups that must all accept when the value of a key is written."""
        groups = self.members.groups
        if key == register.MEMBERS_KEY and value is not None and value.body:
            # A member set is written to majorities of both the current set and the new one.
            new_groups = register.member_set_from_body(value).groups
            groups = groups + tuple(group for group in new_groups if group not in groups)
        return groups
