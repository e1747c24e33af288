"""The voter: one disk's part in the register. It promises, accepts and remembers."""

import asyncio
import dataclasses
import random
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.storage as storage

DISK_KEY: typing.Final = "@disk"
SET_KEY: typing.Final = "@set"
KEY_MOST: typing.Final = 64


def _key_of(body: frames.Body) -> str:
    key = body["key"]
    # Each key is a folder on the disk: only names that the register has are given one.
    if not isinstance(key, str) or not 0 < len(key) <= KEY_MOST or not key.isascii():
        raise ValueError("not a key")
    if key in (DISK_KEY, SET_KEY):
        raise ValueError("not a key of the register")
    return key


@dataclasses.dataclass(slots=True)
class Seat:
    """What the disk knows of one key."""

    promised: register.Ballot = register.ZERO
    ballot: register.Ballot = register.ZERO
    value: register.Value = register.BLANK
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def record(self) -> list[typing.Any]:
        return [list(self.promised), list(self.ballot), self.value.wire()]


class Voter:
    """Votes for one disk; every answer that binds it is synced first."""

    def __init__(self, disk: ports.Disk, points: ports.Points, rng: random.Random) -> None:
        self._disk = disk
        self._rng = rng
        self._storage = storage.Storage(disk, points)
        self._seats: dict[str, Seat] = {}
        self._set = register.NOBODY
        self._set_lock = asyncio.Lock()
        self.disk_id = ""
        self.damaged = ""

    async def open(self) -> None:
        """Read the disk; a disk never used before gets its random id."""
        records = await self._disk.run(self._storage.open)
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
            name = f"{self._rng.getrandbits(64):016x}"
            await self._put(DISK_KEY, name)
            self.disk_id = name

    @property
    def members(self) -> register.MemberSet:
        return self._set

    def seated(self) -> bool:
        return self.disk_id in self._set.disks()

    def blank(self) -> bool:
        """Never seated and never voted, but for rounds that were to seat it."""
        return self._set.epoch == 0 and not any(
            key != register.MEMBERS and seat.promised != register.ZERO for key, seat in self._seats.items()
        )

    def kinds(self) -> dict[str, frames.Handle]:
        """The calls a store answers."""
        return {
            "state": self._state,
            "prepare": self._prepare,
            "accept": self._accept,
            "read": self._read,
            "keys": self._keys,
            "install": self._install,
        }

    async def _put(self, key: str, record: typing.Any) -> None:
        # After a failed write the disk's content is not known: it votes no more.
        if self.damaged:
            raise OSError(self.damaged)
        try:
            await self._disk.run(lambda: self._storage.put(key, record))
        except OSError as flaw:
            self.damaged = str(flaw)
            raise

    def _barred(self, body: frames.Body, key: str) -> outcome.Bad | None:
        if self.damaged:
            return outcome.bad("disk_fault", self.damaged)
        if body["disk"] != self.disk_id:
            return outcome.bad("other_disk", self.disk_id)
        # Under an older set a majority might be counted that no longer is one.
        if int(body["epoch"]) < self._set.epoch:
            return outcome.bad("old_epoch", str(self._set.epoch))
        # A new disk may take part only in the round that seats it.
        if key != register.MEMBERS and not self.seated():
            return outcome.bad("not_seated", self.disk_id)
        return None

    async def _state(self, body: frames.Body) -> frames.Result:
        return outcome.Good(
            {
                "disk": self.disk_id,
                "blank": self.blank(),
                "seated": self.seated(),
                "set": self._set.wire(),
                "damaged": self.damaged,
            }
        )

    async def _prepare(self, body: frames.Body) -> frames.Result:
        key = _key_of(body)
        ballot = register.ballot_of(body["ballot"])
        seat = self._seats.setdefault(key, Seat())
        async with seat.lock:
            barred = self._barred(body, key)
            if barred is not None:
                return barred
            if ballot <= seat.promised:
                return outcome.bad("outvoted", str(seat.promised[0]))
            try:
                await self._put(key, [list(ballot), list(seat.ballot), seat.value.wire()])
            except OSError as flaw:
                return outcome.bad("disk_fault", str(flaw))
            seat.promised = ballot
            # The set may have moved while we synced: then this promise is void.
            barred = self._barred(body, key)
            if barred is not None:
                return barred
            return outcome.Good({"ballot": list(seat.ballot), "value": seat.value.wire()})

    async def _accept(self, body: frames.Body) -> frames.Result:
        key = _key_of(body)
        ballot = register.ballot_of(body["ballot"])
        value = register.value_of(body["value"])
        seat = self._seats.setdefault(key, Seat())
        async with seat.lock:
            barred = self._barred(body, key)
            if barred is not None:
                return barred
            if ballot < seat.promised:
                return outcome.bad("outvoted", str(seat.promised[0]))
            try:
                await self._put(key, [list(ballot), list(ballot), value.wire()])
            except OSError as flaw:
                return outcome.bad("disk_fault", str(flaw))
            seat.promised = seat.ballot = ballot
            seat.value = value
            barred = self._barred(body, key)
            if barred is not None:
                return barred
            return outcome.Good({})

    async def _read(self, body: frames.Body) -> frames.Result:
        key = _key_of(body)
        seat = self._seats.setdefault(key, Seat())
        async with seat.lock:
            barred = self._barred(body, key)
            if barred is not None:
                return barred
            page: frames.Body = {"ballot": list(seat.ballot), "version": seat.value.version}
            # A reader that holds this very ballot's value needs no second copy.
            if list(seat.ballot) != body.get("have"):
                page["value"] = seat.value.wire()
            return outcome.Good(page)

    async def _keys(self, body: frames.Body) -> frames.Result:
        barred = self._barred(body, "")
        if barred is not None:
            return barred
        return outcome.Good({"keys": sorted(k for k, s in self._seats.items() if s.ballot != register.ZERO)})

    async def _install(self, body: frames.Body) -> frames.Result:
        """Take up a committed member set; only a higher epoch moves it."""
        fresh = register.set_of(body["set"])
        async with self._set_lock:
            if body["disk"] != self.disk_id:
                return outcome.bad("other_disk", self.disk_id)
            if fresh.epoch > self._set.epoch:
                try:
                    await self._put(SET_KEY, fresh.wire())
                except OSError as flaw:
                    return outcome.bad("disk_fault", str(flaw))
                self._set = fresh
            return outcome.Good({"epoch": self._set.epoch})
