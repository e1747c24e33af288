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
class Seat:
    """What the disk knows of one key; changed only once it is durable."""

    promised: register.Ballot = register.ZERO
    ballot: register.Ballot = register.ZERO
    value: register.Value = register.BLANK
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def record(self) -> list[typing.Any]:
        """The seat as it stands on the disk."""
        return [list(self.promised), list(self.ballot), self.value.wire()]


class _RefusedError(Exception):
    """A vote that is not given."""

    def __init__(self, bad: outcome.Bad) -> None:
        super().__init__(bad.code.text)
        self.bad = bad


class Voter:
    """Votes for one disk; every answer that binds it is synced first."""

    def __init__(
        self,
        disk: ports.Disk,
        points: ports.Points,
        rng: random.Random,
        site: replicas.Site | None = None,
    ) -> None:
        self._site = site or replicas.Site()
        self._rng = rng
        self._records = durable.Records(disk, points)
        self._seats: dict[str, Seat] = {}
        self._set = register.NOBODY
        self._set_lock = asyncio.Lock()
        self.disk_id = ""
        # Set when its process is asked to stop: the vote is to be handed over.
        self.leaving = False

    async def open(self) -> None:
        """Read the disk; a disk never used before gets its random id.

        Raises `OSError` when the disk does not serve; it may then be called again.
        """
        records = await self._records.open()
        self._seats.clear()
        for key, record in records.items():
            if key == DISK_KEY:
                self.disk_id = str(record)
            elif key == SET_KEY:
                self._set = register.set_of(record)
            else:
                promised, ballot, value = record
                self._seats[key] = Seat(
                    register.ballot_of(promised), register.ballot_of(ballot), register.value_of(value)
                )
        if not self.disk_id:
            # A disk with votes but no id is not blank: someone removed a part of it.
            if records:
                raise storage.Damage("the disk's id is gone but its records are not")
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
    def damaged(self) -> str:
        """Why this disk gives no vote at present, or nothing."""
        return self._records.damaged

    def seated(self) -> bool:
        """Whether this disk is in the member set that it knows."""
        return self.disk_id in self._set.disks()

    def replaced(self) -> bool:
        """Whether the set it knows of takes its vote away, or is about to."""
        return self._set.epoch > 0 and all(disk != self.disk_id for disk, _ in self._set.groups[-1])

    def blank(self) -> bool:
        """The disk never had a vote: such stores may found a member set."""
        return self.vacant() and not self._records.voted_before

    def vacant(self) -> bool:
        """Never seated and never voted in this life, but for rounds that were to seat it."""
        return self._set.epoch == 0 and not any(
            key != register.MEMBERS and seat.promised != register.ZERO for key, seat in self._seats.items()
        )

    def kinds(self) -> dict[str, frames.Handle]:
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
            raise _RefusedError(outcome.bad("disk_fault", str(flaw))) from flaw

    async def _turn(self, lock: asyncio.Lock) -> None:
        """Take a lock, or refuse: nothing is queued behind a stalled disk."""
        if self._records.stalled():
            raise _RefusedError(outcome.bad("disk_fault", self.damaged))
        if not lock.locked():
            await lock.acquire()
            return
        try:
            async with asyncio.timeout(STALL_S):
                await lock.acquire()
        except TimeoutError:
            raise _RefusedError(outcome.bad("disk_fault", "other votes are under way")) from None

    def _barred(self, key: str, disk: str, epoch: int) -> outcome.Bad | None:
        """Why this disk may not answer, if it may not."""
        if not self._records.content_known:
            return outcome.bad("disk_fault", self._records.fault)
        if disk != self.disk_id:
            return outcome.bad("other_disk", self.disk_id)
        # Under an older set a majority might be counted that no longer is one.
        if epoch < self._set.epoch:
            return outcome.bad("old_epoch", str(self._set.epoch))
        # A new disk may take part only in the round that seats it.
        if key != register.MEMBERS and not self.seated():
            return outcome.bad("not_seated", self.disk_id)
        return None

    def _check(self, key: str, disk: str, epoch: int) -> None:
        """Refuse what this disk may not answer."""
        barred = self._barred(key, disk, epoch)
        if barred is not None:
            raise _RefusedError(barred)

    async def _state(self, body: frames.Body) -> frames.Result:
        return outcome.Good(self.state().encode())

    def state(self) -> replicas.ReplicaState:
        """What the store tells of its replica."""
        return replicas.ReplicaState(
            disk=self.disk_id,
            blank=self.blank(),
            erased=self.vacant() and self._records.voted_before,
            seated=self.seated(),
            members=self._set,
            damaged=self.damaged,
            site=self._site,
            leaving=self.leaving,
        )

    async def _prepare(self, body: frames.Body) -> frames.Result:
        ask = messages.decode(messages.Prepare, body)
        try:
            return _good(await self._promise(ask))
        except _RefusedError as refusal:
            return refusal.bad

    async def _promise(self, ask: messages.Prepare) -> messages.Promise:
        self._check(ask.key, ask.disk, ask.epoch)
        seat = self._seats.setdefault(ask.key, Seat())
        await self._turn(seat.lock)
        try:
            self._check(ask.key, ask.disk, ask.epoch)
            if ask.ballot <= seat.promised:
                raise _RefusedError(outcome.bad("outvoted", str(seat.promised[0])))
            fresh = Seat(ask.ballot, seat.ballot, seat.value)
            await self._vote(ask.key, fresh.record())
            seat.promised = ask.ballot
            # The set may have moved while we synced: then this promise is void.
            self._check(ask.key, ask.disk, ask.epoch)
            return messages.Promise(seat.ballot, seat.value)
        finally:
            seat.lock.release()

    async def _accept(self, body: frames.Body) -> frames.Result:
        ask = messages.decode(messages.Accept, body)
        try:
            return _good(await self._take_up(ask))
        except _RefusedError as refusal:
            return refusal.bad

    async def _take_up(self, ask: messages.Accept) -> messages.Accepted:
        self._check(ask.key, ask.disk, ask.epoch)
        seat = self._seats.setdefault(ask.key, Seat())
        await self._turn(seat.lock)
        try:
            self._check(ask.key, ask.disk, ask.epoch)
            if ask.ballot < seat.promised:
                raise _RefusedError(outcome.bad("outvoted", str(seat.promised[0])))
            if ask.ballot == seat.ballot != register.ZERO:
                # Taken before, and durable: whoever sends it once more costs the disk nothing.
                return messages.Accepted()
            fresh = Seat(ask.ballot, ask.ballot, ask.value)
            await self._vote(ask.key, fresh.record())
            seat.promised = seat.ballot = ask.ballot
            seat.value = ask.value
            # The set may have moved while we synced: then this vote is void.
            self._check(ask.key, ask.disk, ask.epoch)
            return messages.Accepted()
        finally:
            seat.lock.release()

    async def _read(self, body: frames.Body) -> frames.Result:
        """Answer from what is durable, also while a write of the key is under way.

        That write is told to nobody before it is synced, so to answer without it is to answer
        as if asked before it: no reader has seen it, and no proposer counts it.
        """
        ask = messages.decode(messages.Read, body)
        try:
            self._check(ask.key, ask.disk, ask.epoch)
        except _RefusedError as refusal:
            return refusal.bad
        seat = self._seats.get(ask.key) or Seat()
        # A reader that holds this very ballot's value needs no second copy.
        value = None if seat.ballot == ask.have else seat.value
        return _good(messages.ReadReply(seat.ballot, seat.value.version, value))

    async def _keys(self, body: frames.Body) -> frames.Result:
        ask = messages.decode(messages.Keys, body)
        try:
            self._check("", ask.disk, ask.epoch)
        except _RefusedError as refusal:
            return refusal.bad
        accepted = sorted(key for key, seat in self._seats.items() if seat.ballot != register.ZERO)
        return _good(messages.KeysReply(tuple(accepted)))

    async def _install(self, body: frames.Body) -> frames.Result:
        """Take up a committed member set; only a higher epoch moves it."""
        ask = messages.decode(messages.Install, body)
        try:
            return _good(await self._move_to(ask))
        except _RefusedError as refusal:
            return refusal.bad

    async def _move_to(self, ask: messages.Install) -> messages.Installed:
        if ask.disk != self.disk_id:
            raise _RefusedError(outcome.bad("other_disk", self.disk_id))
        await self._turn(self._set_lock)
        try:
            if ask.members.epoch > self._set.epoch:
                await self._vote(SET_KEY, ask.members.wire())
                self._set = ask.members
            return messages.Installed(self._set.epoch)
        finally:
            self._set_lock.release()

    async def _retire(self, body: frames.Body) -> frames.Result:
        """Give up a vote that a later set took away: the disk is emptied and draws a new id.

        It is only asked for once a majority of the set in force holds that set, so that
        nobody needs this replica to learn of it.
        """
        ask = messages.decode(messages.Retire, body)
        try:
            return _good(await self._give_up(ask))
        except _RefusedError as refusal:
            return refusal.bad

    async def _give_up(self, ask: messages.Retire) -> messages.Retired:
        await self._turn(self._set_lock)
        try:
            if ask.disk != self.disk_id:
                raise _RefusedError(outcome.bad("other_disk", self.disk_id))
            if not self._records.content_known:
                raise _RefusedError(outcome.bad("disk_fault", self._records.fault))
            told = ask.members
            if told.epoch < self._set.epoch or told.joint() or self.disk_id in told.disks():
                raise _RefusedError(outcome.bad("conflict", f"epoch {self._set.epoch}"))
            await self._erase()
            return messages.Retired(self.disk_id)
        finally:
            self._set_lock.release()

    async def _erase(self) -> None:
        # From here on no call for the old id is answered, and none of its writes is made.
        self.disk_id = ""
        self._seats = {}
        self._set = register.NOBODY
        try:
            await self._records.erase()
            await self._draw_id()
        except OSError as flaw:
            # Neither the old replica nor a new one: only a start can tell what is left.
            self._records.content_known = False
            raise _RefusedError(outcome.bad("disk_fault", str(flaw))) from flaw


def _good(reply: messages.Reply) -> frames.Result:
    return outcome.Good(messages.encode(reply))
