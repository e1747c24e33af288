"""The voter: one disk's part in the register. It promises, accepts and remembers.

Every answer that binds the disk is synced first, one write of a key at a time. Nothing but a
vote waits for the disk: what is read comes from memory, which moves only after a sync, so it
is always durable. While a write takes longer than `STALL_S`, further votes are refused at once
rather than queued behind it; a refusal binds nobody.
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
import dykeswitch.register.records as durable
import dykeswitch.register.replica as replicas
import dykeswitch.register.storage as storage

DISK_KEY: typing.Final = messages.DISK_KEY
SET_KEY: typing.Final = messages.SET_KEY
# How long a write may take before the disk counts as stalled.
STALL_S: typing.Final = durable.STALL_S


@dataclasses.dataclass(slots=True)
class KeyState:
    """What the disk knows of one key; changed only once it is durable."""

    promised: register.Ballot = register.ZERO_BALLOT
    ballot: register.Ballot = register.ZERO_BALLOT
    value: register.Value = register.INITIAL_VALUE
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def record(self) -> list[typing.Any]:
        """The seat as it stands on the disk."""
        return [list(self.promised), list(self.ballot), self.value.to_wire()]


class _RefusedError(Exception):
    """A vote that is not given."""

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.code.text)
        self.failure = failure


class Voter:
    """Votes for one disk; every answer that binds it is synced first."""

    def __init__(
        self,
        disk: ports.Disk,
        fault_points: ports.FaultPoints,
        rng: random.Random,
        site: replicas.Site | None = None,
    ) -> None:
        self._site = site or replicas.Site()
        self._rng = rng
        self._records = durable.Records(disk, fault_points)
        self._key_states: dict[str, KeyState] = {}
        self._set = register.EMPTY_MEMBER_SET
        self._set_lock = asyncio.Lock()
        self.disk_id = ""
        # Set when its process is asked to stop: the vote is to be handed over.
        self.leaving = False

    async def open(self) -> None:
        """Read the disk; a disk never used before gets its random id.

        Raises `OSError` when the disk does not serve; it may then be called again.
        """
        records = await self._records.open()
        self._key_states.clear()
        for key, record in records.items():
            if key == DISK_KEY:
                self.disk_id = str(record)
            elif key == SET_KEY:
                self._set = register.decode_member_set(record)
            else:
                promised, ballot, value = record
                self._key_states[key] = KeyState(
                    register.decode_ballot(promised),
                    register.decode_ballot(ballot),
                    register.decode_value(value),
                )
        if not self.disk_id:
            # A disk with votes but no id is not blank: someone removed a part of it.
            if records:
                raise storage.StorageDamageError("the disk's id is gone but its records are not")
            await self._draw_id()

    async def _draw_id(self) -> None:
        name = f"{self._rng.getrandbits(64):016x}"
        await self._records.put(DISK_KEY, name)
        self.disk_id = name

    @property
    def members(self) -> register.MemberSet:
        """The member set that is in force on this disk."""
        return self._set

    @property
    def disk_fault(self) -> str:
        """Why this disk gives no vote at present, or nothing."""
        return self._records.disk_fault

    def has_vote(self) -> bool:
        """Whether this disk is in the member set that it knows."""
        return self.disk_id in self._set.disks()

    def is_replaced(self) -> bool:
        """Whether the set it knows of takes its vote away, or is about to."""
        return self._set.epoch > 0 and all(disk != self.disk_id for disk, _ in self._set.groups[-1])

    def never_voted(self) -> bool:
        """The disk never had a vote: such stores may found a member set."""
        return self.is_vacant() and not self._records.voted_before

    def is_vacant(self) -> bool:
        """Never seated and never voted in this life, but for rounds that were to seat it."""
        return self._set.epoch == 0 and not any(
            key != register.MEMBERS_KEY and key_state.promised != register.ZERO_BALLOT
            for key, key_state in self._key_states.items()
        )

    def kinds(self) -> dict[str, frames.Handler]:
        """The calls a store answers."""
        return {
            "state": self._state,
            messages.Prepare.KIND: self._prepare,
            messages.Accept.KIND: self._accept,
            messages.Read.KIND: self._read,
            messages.Keys.KIND: self._keys,
            messages.Install.KIND: self._install,
            messages.Retire.KIND: self._retire,
        }

    async def _vote(self, key: str, record: typing.Any) -> None:
        try:
            await self._records.put(key, record)
        except OSError as flaw:
            raise _RefusedError(outcome.failure("disk_fault", str(flaw))) from flaw

    async def _turn(self, lock: asyncio.Lock) -> None:
        """Take a lock, or refuse: nothing is queued behind a stalled disk."""
        if self._records.stalled():
            raise _RefusedError(outcome.failure("disk_fault", self.disk_fault))
        if not lock.locked():
            await lock.acquire()
            return
        try:
            async with asyncio.timeout(STALL_S):
                await lock.acquire()
        except TimeoutError:
            raise _RefusedError(outcome.failure("disk_fault", "other votes are under way")) from None

    def _barred(self, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        """Why this disk may not answer, if it may not."""
        if not self._records.content_known:
            return outcome.failure("disk_fault", self._records.fault)
        if disk != self.disk_id:
            return outcome.failure("other_disk", self.disk_id)
        # Under an older set a majority might be counted that no longer is one.
        if epoch < self._set.epoch:
            return outcome.failure("old_epoch", str(self._set.epoch))
        # A new disk may take part only in the round that seats it.
        if key != register.MEMBERS_KEY and not self.has_vote():
            return outcome.failure("not_seated", self.disk_id)
        return None

    def _check(self, key: str, disk: str, epoch: int) -> None:
        """Refuse what this disk may not answer."""
        barred = self._barred(key, disk, epoch)
        if barred is not None:
            raise _RefusedError(barred)

    async def _state(self, body: frames.Body) -> frames.Result:
        return outcome.Success(self.state().encode())

    def state(self) -> replicas.ReplicaState:
        """What the store tells of its replica."""
        return replicas.ReplicaState(
            disk=self.disk_id,
            blank=self.never_voted(),
            erased=self.is_vacant() and self._records.voted_before,
            seated=self.has_vote(),
            members=self._set,
            damaged=self.disk_fault,
            site=self._site,
            leaving=self.leaving,
        )

    async def _prepare(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Prepare, body)
        try:
            return _good(await self._promise(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _promise(self, request: messages.Prepare) -> messages.Promise:
        self._check(request.key, request.disk, request.epoch)
        key_state = self._key_states.setdefault(request.key, KeyState())
        await self._turn(key_state.lock)
        try:
            self._check(request.key, request.disk, request.epoch)
            if request.ballot <= key_state.promised:
                raise _RefusedError(outcome.failure("outvoted", str(key_state.promised[0])))
            fresh = KeyState(request.ballot, key_state.ballot, key_state.value)
            await self._vote(request.key, fresh.record())
            key_state.promised = request.ballot
            # The set may have moved while we synced: then this promise is void.
            self._check(request.key, request.disk, request.epoch)
            return messages.Promise(key_state.ballot, key_state.value)
        finally:
            key_state.lock.release()

    async def _accept(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Accept, body)
        try:
            return _good(await self._take_up(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _take_up(self, request: messages.Accept) -> messages.Accepted:
        self._check(request.key, request.disk, request.epoch)
        key_state = self._key_states.setdefault(request.key, KeyState())
        await self._turn(key_state.lock)
        try:
            self._check(request.key, request.disk, request.epoch)
            if request.ballot < key_state.promised:
                raise _RefusedError(outcome.failure("outvoted", str(key_state.promised[0])))
            if request.ballot == key_state.ballot != register.ZERO_BALLOT:
                # Taken before, and durable: whoever sends it once more costs the disk nothing.
                return messages.Accepted()
            fresh = KeyState(request.ballot, request.ballot, request.value)
            await self._vote(request.key, fresh.record())
            key_state.promised = key_state.ballot = request.ballot
            key_state.value = request.value
            # The set may have moved while we synced: then this vote is void.
            self._check(request.key, request.disk, request.epoch)
            return messages.Accepted()
        finally:
            key_state.lock.release()

    async def _read(self, body: frames.Body) -> frames.Result:
        """Answer from what is durable, also while a write of the key is under way.

        That write is told to nobody before it is synced, so to answer without it is to answer
        as if asked before it: no reader has seen it, and no proposer counts it.
        """
        request = messages.decode(messages.Read, body)
        try:
            self._check(request.key, request.disk, request.epoch)
        except _RefusedError as refusal:
            return refusal.failure
        key_state = self._key_states.get(request.key) or KeyState()
        # A reader that holds this very ballot's value needs no second copy.
        value = None if key_state.ballot == request.have else key_state.value
        return _good(messages.ReadReply(key_state.ballot, key_state.value.version, value))

    async def _keys(self, body: frames.Body) -> frames.Result:
        request = messages.decode(messages.Keys, body)
        try:
            self._check("", request.disk, request.epoch)
        except _RefusedError as refusal:
            return refusal.failure
        accepted = sorted(
            key for key, key_state in self._key_states.items() if key_state.ballot != register.ZERO_BALLOT
        )
        return _good(messages.KeysReply(tuple(accepted)))

    async def _install(self, body: frames.Body) -> frames.Result:
        """Take up a committed member set; only a higher epoch moves it."""
        request = messages.decode(messages.Install, body)
        try:
            return _good(await self._move_to(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _move_to(self, request: messages.Install) -> messages.Installed:
        if request.disk != self.disk_id:
            raise _RefusedError(outcome.failure("other_disk", self.disk_id))
        await self._turn(self._set_lock)
        try:
            if request.members.epoch > self._set.epoch:
                await self._vote(SET_KEY, request.members.to_wire())
                self._set = request.members
            return messages.Installed(self._set.epoch)
        finally:
            self._set_lock.release()

    async def _retire(self, body: frames.Body) -> frames.Result:
        """Give up a vote that a later set took away: the disk is emptied and draws a new id.

        It is only asked for once a majority of the set in force holds that set, so that
        nobody needs this replica to learn of it.
        """
        request = messages.decode(messages.Retire, body)
        try:
            return _good(await self._give_up(request))
        except _RefusedError as refusal:
            return refusal.failure

    async def _give_up(self, request: messages.Retire) -> messages.Retired:
        await self._turn(self._set_lock)
        try:
            if request.disk != self.disk_id:
                raise _RefusedError(outcome.failure("other_disk", self.disk_id))
            if not self._records.content_known:
                raise _RefusedError(outcome.failure("disk_fault", self._records.fault))
            told = request.members
            if told.epoch < self._set.epoch or told.is_joint() or self.disk_id in told.disks():
                raise _RefusedError(outcome.failure("conflict", f"epoch {self._set.epoch}"))
            await self._erase()
            return messages.Retired(self.disk_id)
        finally:
            self._set_lock.release()

    async def _erase(self) -> None:
        # From here on no call for the old id is answered, and none of its writes is made.
        self.disk_id = ""
        self._key_states = {}
        self._set = register.EMPTY_MEMBER_SET
        try:
            await self._records.erase()
            await self._draw_id()
        except OSError as flaw:
            # Neither the old replica nor a new one: only a start can tell what is left.
            self._records.content_known = False
            raise _RefusedError(outcome.failure("disk_fault", str(flaw))) from flaw


def _good(reply: messages.Reply) -> frames.Result:
    return outcome.Success(messages.encode(reply))
