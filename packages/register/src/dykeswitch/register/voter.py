"""The voter of one disk: promises and accepts ballots (an acceptor in terms of Paxos).

Every reply that commits the disk to something is synced first, with one write at a time for each key.
Only votes wait for the disk: reads are answered from memory, which is updated only after a sync and is
therefore always durable. While a write takes longer than `STALL_S`, further votes are refused
immediately instead of queued behind it; a refusal commits the disk to nothing.
"""

import asyncio
import dataclasses
import random
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.records as replica_records
import dykeswitch.register.replica as replicas
import dykeswitch.register.storage as storage

DISK_KEY: typing.Final = messages.DISK_KEY
SET_KEY: typing.Final = messages.SET_KEY
# A disk counts as stalled when a write takes longer than this.
STALL_S: typing.Final = replica_records.STALL_S


@dataclasses.dataclass(slots=True)
class KeyState:
    """The state of one key on this disk; updated only once it is durable."""

    promised: register.Ballot = register.ZERO_BALLOT
    ballot: register.Ballot = register.ZERO_BALLOT
    value: register.Value = register.INITIAL_VALUE
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def to_record(self) -> list[typing.Any]:
        """The state as it is stored on the disk."""
        return [list(self.promised), list(self.ballot), self.value.to_wire()]


class _RefusedError(Exception):
    """A request was refused."""

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.code.text)
        self.failure = failure


class Voter:
    """Votes for one disk; every reply that commits the disk is synced first."""

    def __init__(
        self,
        disk: ports.Disk,
        fault_points: ports.FaultPoints,
        rng: random.Random,
        site: replicas.Site | None = None,
    ) -> None:
        self._site = site or replicas.Site()
        self._rng = rng
        self._records = replica_records.Records(disk, fault_points)
        self._key_states: dict[str, KeyState] = {}
        self._members = register.EMPTY_MEMBER_SET
        self._members_lock = asyncio.Lock()
        self.disk_id = ""
        # Set when the process is asked to stop: the vote should be handed over.
        self.leaving = False

    async def open(self) -> None:
        """Reads the disk and gives a disk that was never used before a random id.

        Raises `OSError` if the disk does not work; it may then be called again.
        """
        records = await self._records.open()
        self._key_states.clear()
        for key, record in records.items():
            if key == DISK_KEY:
                self.disk_id = str(record)
            elif key == SET_KEY:
                self._members = register.decode_member_set(record)
            else:
                promised, ballot, value = record
                self._key_states[key] = KeyState(
                    register.decode_ballot(promised),
                    register.decode_ballot(ballot),
                    register.decode_value(value),
                )
        if not self.disk_id:
            # A disk with votes but no id is not a blank one: some of its data was removed.
            if records:
                raise storage.StorageDamageError("the disk has records but its id is missing")
            await self._generate_id()

    async def _generate_id(self) -> None:
        name = f"{self._rng.getrandbits(64):016x}"
        await self._records.put(DISK_KEY, name)
        self.disk_id = name

    @property
    def members(self) -> register.MemberSet:
        """The member set that is in force on this disk."""
        return self._members

    @property
    def disk_fault(self) -> str:
        """Why this disk can't vote at present, or an empty string."""
        return self._records.disk_fault

    def has_vote(self) -> bool:
        """Whether this disk is in the member set that it knows."""
        return self.disk_id in self._members.disks()

    def is_replaced(self) -> bool:
        """Whether the member set that this disk knows removes its vote now or in its next step."""
        return self._members.epoch > 0 and all(disk != self.disk_id for disk, _ in self._members.groups[-1])

    def never_voted(self) -> bool:
        """Whether the disk never had a vote. Only such disks may found a member set."""
        return self.is_vacant() and not self._records.voted_before

    def is_vacant(self) -> bool:
        """Whether the disk has not voted since it was last emptied.

        It has adopted no member set and promised nothing, except in the rounds that give it a vote.
        """
        return self._members.epoch == 0 and not any(
            key != register.MEMBERS_KEY and key_state.promised != register.ZERO_BALLOT
            for key, key_state in self._key_states.items()
        )

    def kinds(self) -> dict[str, frames.Handler]:
        """The handlers of the calls that a store answers."""
        return {
            "state": self._state,
            messages.Prepare.KIND: self._prepare,
            messages.Accept.KIND: self._accept,
            messages.Read.KIND: self._read,
            messages.Keys.KIND: self._keys,
            messages.Install.KIND: self._install,
            messages.Retire.KIND: self._retire,
        }

    async def _write_record(self, key: str, record: typing.Any) -> None:
        try:
            await self._records.put(key, record)
        except OSError as error:
            raise _RefusedError(outcome.failure("disk_fault", str(error))) from error

    async def _acquire(self, lock: asyncio.Lock) -> None:
        """Acquires a lock, or refuses: no request is queued behind a stalled disk."""
        if self._records.stalled():
            raise _RefusedError(outcome.failure("disk_fault", self.disk_fault))
        if not lock.locked():
            await lock.acquire()
            return
        try:
            async with asyncio.timeout(STALL_S):
                await lock.acquire()
        except TimeoutError:
            raise _RefusedError(outcome.failure("disk_fault", "other votes are in progress")) from None

    def _refusal(self, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        """Why this disk may not answer a request, or None if it may."""
        if not self._records.content_known:
            return outcome.failure("disk_fault", self._records.fault)
        if disk != self.disk_id:
            return outcome.failure("other_disk", self.disk_id)
        # Under an older member set, disks could be counted as a majority that are no longer one.
        if epoch < self._members.epoch:
            return outcome.failure("old_epoch", str(self._members.epoch))
        # A new disk may take part only in the round that gives it a vote.
        if key != register.MEMBERS_KEY and not self.has_vote():
            return outcome.failure("not_seated", self.disk_id)
        return None

    def _check(self, key: str, disk: str, epoch: int) -> None:
        """Refuses a request that this disk may not answer."""
        refusal = self._refusal(key, disk, epoch)
        if refusal is not None:
            raise _RefusedError(refusal)

    async def _state(self, body: frames.Body) -> frames.Result:
        return outcome.Success(self.state().encode())

    def state(self) -> replicas.ReplicaState:
        """What the store reports about its replica."""
        return replicas.ReplicaState(
            disk=self.disk_id,
            blank=self.never_voted(),
            erased=self.is_vacant() and self._records.voted_before,
            seated=self.has_vote(),
            members=self._members,
            damaged=self.disk_fault,
            site=self._site,
            leaving=self.leaving,
        )

    async def _prepare(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Prepare, body)
        try:
            return _success(await self._promise(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _promise(self, request: messages.Prepare) -> messages.Promise:
        self._check(request.key, request.disk, request.epoch)
        key_state = self._key_states.setdefault(request.key, KeyState())
        await self._acquire(key_state.lock)
        try:
            self._check(request.key, request.disk, request.epoch)
            if request.ballot <= key_state.promised:
                raise _RefusedError(outcome.failure("outvoted", str(key_state.promised[0])))
            updated = KeyState(request.ballot, key_state.ballot, key_state.value)
            await self._write_record(request.key, updated.to_record())
            key_state.promised = request.ballot
            # If the member set changed during the sync, this promise is void.
            self._check(request.key, request.disk, request.epoch)
            return messages.Promise(key_state.ballot, key_state.value)
        finally:
            key_state.lock.release()

    async def _accept(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Accept, body)
        try:
            return _success(await self._accept_value(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _accept_value(self, request: messages.Accept) -> messages.Accepted:
        self._check(request.key, request.disk, request.epoch)
        key_state = self._key_states.setdefault(request.key, KeyState())
        await self._acquire(key_state.lock)
        try:
            self._check(request.key, request.disk, request.epoch)
            if request.ballot < key_state.promised:
                raise _RefusedError(outcome.failure("outvoted", str(key_state.promised[0])))
            if request.ballot == key_state.ballot != register.ZERO_BALLOT:
                # Accepted before and durable: sending it again costs the disk nothing.
                return messages.Accepted()
            updated = KeyState(request.ballot, request.ballot, request.value)
            await self._write_record(request.key, updated.to_record())
            key_state.promised = key_state.ballot = request.ballot
            key_state.value = request.value
            # If the member set changed during the sync, this vote is void.
            self._check(request.key, request.disk, request.epoch)
            return messages.Accepted()
        finally:
            key_state.lock.release()

    async def _read(self, body: frames.Body) -> frames.Result:
        """Answers with the durable value, also while a write of the key is in progress.

        That write is reported to nobody before it is synced. Answering without it is the same as if the
        read had come before the write: no reader has seen it and no proposer counts it.
        """
        request = messages.decode(messages.Read, body)
        try:
            self._check(request.key, request.disk, request.epoch)
        except _RefusedError as refusal:
            return refusal.failure
        key_state = self._key_states.get(request.key) or KeyState()
        # The reader already has the value of this ballot.
        value = None if key_state.ballot == request.have else key_state.value
        return _success(messages.ReadReply(key_state.ballot, key_state.value.version, value))

    async def _keys(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Keys, body)
        try:
            self._check("", request.disk, request.epoch)
        except _RefusedError as refusal:
            return refusal.failure
        accepted = sorted(
            key for key, key_state in self._key_states.items() if key_state.ballot != register.ZERO_BALLOT
        )
        return _success(messages.KeysReply(tuple(accepted)))

    async def _install(self, body: frames.Body) -> frames.Result:
        """Adopts a committed member set if its epoch is higher than the current one."""
        request = messages.decode(messages.Install, body)
        try:
            return _success(await self._adopt_members(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _adopt_members(self, request: messages.Install) -> messages.Installed:
        if request.disk != self.disk_id:
            raise _RefusedError(outcome.failure("other_disk", self.disk_id))
        await self._acquire(self._members_lock)
        try:
            if request.members.epoch > self._members.epoch:
                await self._write_record(SET_KEY, request.members.to_wire())
                self._members = request.members
            return messages.Installed(self._members.epoch)
        finally:
            self._members_lock.release()

    async def _retire(self, body: frames.Body) -> frames.Result:
        """Gives up a vote that a later set removed: empties the disk and gives it a new id.

        This is requested only once a majority of the member set in force stores that set, so that
        nobody needs this replica to learn of it.
        """
        request = messages.decode(messages.Retire, body)
        try:
            return _success(await self._retire_replica(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _retire_replica(self, request: messages.Retire) -> messages.Retired:
        await self._acquire(self._members_lock)
        try:
            if request.disk != self.disk_id:
                raise _RefusedError(outcome.failure("other_disk", self.disk_id))
            if not self._records.content_known:
                raise _RefusedError(outcome.failure("disk_fault", self._records.fault))
            members = request.members
            if members.epoch < self._members.epoch or members.is_joint() or self.disk_id in members.disks():
                raise _RefusedError(outcome.failure("conflict", f"epoch {self._members.epoch}"))
            await self._erase()
            return messages.Retired(self.disk_id)
        finally:
            self._members_lock.release()

    async def _erase(self) -> None:
        # From here on no call for the old id is answered and none of its writes is made.
        self.disk_id = ""
        self._key_states = {}
        self._members = register.EMPTY_MEMBER_SET
        try:
            await self._records.erase()
            await self._generate_id()
        except OSError as error:
            # The disk holds neither the old replica nor a new one for certain; a restart has to read it.
            self._records.content_known = False
            raise _RefusedError(outcome.failure("disk_fault", str(error))) from error


def _success(reply: messages.Reply) -> frames.Result:
    return outcome.Success(messages.encode(reply))
