"""The proposer: prepares and accepts at a majority of every group of the member set."""

import asyncio
import random
import typing

import cbor2

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register

# Numbered points at which a test may inject a fault.
POINT_BEFORE_PREPARE: typing.Final = 11
POINT_BEFORE_ACCEPT: typing.Final = 12
POINT_AFTER_ACCEPT: typing.Final = 13

TRIES: typing.Final = 12
# How many waits a change may take in all before its operator is told.
WAITS: typing.Final = 4
# A read that meets a change under way looks again so many times before it mends.
LOOKS: typing.Final = 2

Read = outcome.Good[register.Value] | outcome.Bad
Step = typing.Callable[[register.Value], register.Value | outcome.Bad]
Groups = tuple[tuple[tuple[str, str], ...], ...]


class Proposer:
    """Changes and reads of the register on behalf of one registry."""

    def __init__(
        self,
        name: str,
        caller: frames.Caller,
        clock: ports.Clock,
        points: ports.Points,
        wait: float,
        rng: random.Random,
    ) -> None:
        # The name must be new with each start, so that no ballot is ever used twice.
        self._name = name
        self._caller = caller
        self._clock = clock
        self._points = points
        self._wait = wait
        self._rng = rng
        self._count = 0
        self.members = register.NOBODY
        # Where a disk was last seen, which beats the address in the member set.
        self.addresses: dict[str, str] = {}
        self._held: dict[str, tuple[register.Ballot, register.Value]] = {}
        self.mended = 0
        # Calls whose answer came too late to count, held until they end.
        self._late: set[asyncio.Task[None]] = set()

    def adopt(self, fresh: register.MemberSet) -> bool:
        """Take up a committed member set if it is newer."""
        if fresh.epoch > self.members.epoch:
            self.members = fresh
            return True
        return False

    def _ballot(self) -> register.Ballot:
        self._count += 1
        return (self._count, self._name)

    async def _all(
        self, groups: Groups, kind: str, body: frames.Body
    ) -> tuple[dict[str, frames.Body], list[outcome.Bad]]:
        """Ask every disk of the groups; return once each group has its majority or can't."""
        addresses = {disk: self.addresses.get(disk, address) for group in groups for disk, address in group}
        yes: dict[str, frames.Body] = {}
        no: list[outcome.Bad] = []
        # Disks that have not refused: without a majority of them there is nothing to wait for.
        hopeful = set(addresses)
        news = asyncio.Event()

        async def one(disk: str, address: str) -> None:
            result = await self._caller.ask(address, kind, {**body, "disk": disk}, self._wait)
            if isinstance(result, outcome.Good):
                yes[disk] = result.value
            else:
                no.append(result)
                hopeful.discard(disk)
            news.set()

        tasks = [asyncio.create_task(one(disk, address)) for disk, address in addresses.items()]
        try:
            while not register.carried(groups, yes) and register.carried(groups, hopeful):
                news.clear()
                await news.wait()
        finally:
            # A straggler's answer is no longer needed, but its vote still helps:
            # let calls that run end by themselves.
            for task in tasks:
                if not task.done():
                    self._late.add(task)
                    task.add_done_callback(self._late.discard)
        return yes, no

    async def _refusals(self, no: list[outcome.Bad]) -> bool:
        """Learn from refusals; true if another try under new knowledge makes sense."""
        again = False
        for bad in no:
            if bad.code.tag == "outvoted":
                self._count = max(self._count, int(bad.why))
                again = True
            elif bad.code.tag == "old_epoch":
                again = await self.learn() or again
        return again

    async def learn(self, more: typing.Iterable[str] = ()) -> bool:
        """Ask the stores we know of for a newer member set."""
        addresses = {self.addresses.get(d, s) for d, s in self.members.disks().items()} | set(more)
        results = await asyncio.gather(
            *(self._caller.ask(s, "state", {}, self._wait) for s in sorted(addresses))
        )
        moved = False
        for result in results:
            if isinstance(result, outcome.Good):
                moved = self.adopt(register.set_of(result.value["set"])) or moved
        return moved

    def _groups_for(self, key: str, value: register.Value | None) -> Groups:
        groups = self.members.groups
        if key == register.MEMBERS and value is not None and value.body:
            # A member set is written to majorities of both the old set and its own.
            extra = decode_set(value).groups
            groups = groups + tuple(g for g in extra if g not in groups)
        return groups

    async def change(self, key: str, step: Step) -> Read:
        """Move a key by compare-and-set; the step may refuse, and is run on each try."""
        sent = False
        why = outcome.bad("no_majority")
        end = self._clock.now() + self._wait * WAITS
        trial = 0
        while not trial or self._clock.now() < end:
            trial += 1
            if trial > 1:
                # Longer with each try, and by chance, so that two that race part.
                await self._clock.sleep(self._wait * 0.02 * min(trial, TRIES) * self._rng.random())
            if not self.members.groups:
                return outcome.bad("unknown") if sent else outcome.bad("no_majority", "no member set known")
            epoch = self.members.epoch
            groups = self.members.groups
            ballot = self._ballot()
            self._points.hit(POINT_BEFORE_PREPARE)
            ask: frames.Body = {"key": key, "ballot": list(ballot), "epoch": epoch}
            yes, no = await self._all(groups, "prepare", ask)
            if not register.carried(groups, yes):
                why = _reason(no)
                await self._refusals(no)
                continue
            best, now = _highest(yes)
            fresh = step(now)
            refused = fresh if isinstance(fresh, outcome.Bad) else None
            if isinstance(fresh, outcome.Bad):
                # A refusal may be told only once what it rests on is held by a majority, and
                # no earlier try of the same change, ours or another's, can still win: what
                # stands is written again under this ballot before we say so.
                fresh = now
            wide = self._groups_for(key, fresh)
            if wide != groups:
                # The accept goes out under this very ballot: the counter may be moved by
                # another change of ours while we wait.
                ballot = self._ballot()
                more, no = await self._all(wide, "prepare", {**ask, "ballot": list(ballot)})
                if not register.carried(wide, more):
                    why = _reason(no)
                    await self._refusals(no)
                    continue
                if _highest(more)[0] > best:
                    continue
            if epoch != self.members.epoch:
                continue
            self._points.hit(POINT_BEFORE_ACCEPT)
            sent = sent or refused is None
            yes, no = await self._all(
                wide,
                "accept",
                {"key": key, "ballot": list(ballot), "value": fresh.wire(), "epoch": epoch},
            )
            self._points.hit(POINT_AFTER_ACCEPT)
            if register.carried(wide, yes):
                if key not in self._held or self._held[key][0] < ballot:
                    self._held[key] = (ballot, fresh)
                return refused if refused is not None else outcome.Good(fresh)
            why = _reason(no)
            await self._refusals(no)
        if sent:
            return outcome.bad("unknown", "the register may or may not have taken it")
        return why

    async def read(self, key: str) -> Read:
        """The newest value; copies that disagree are mended before the answer."""
        for look in range(TRIES):
            groups = self.members.groups
            if not groups:
                return outcome.bad("no_majority", "no member set known")
            have = self._held.get(key)
            ask: frames.Body = {"key": key, "epoch": self.members.epoch}
            if have is not None:
                ask["have"] = list(have[0])
            yes, no = await self._all(groups, "read", ask)
            if not register.carried(groups, yes):
                if await self._refusals(no):
                    continue
                return _reason(no)
            ballots = {register.ballot_of(body["ballot"]) for body in yes.values()}
            # Our next change begins above them: else it is outvoted once for certain.
            self._count = max(self._count, *(count for count, _ in ballots))
            if len(ballots) == 1:
                # Everyone in a majority holds this very ballot: it is the newest.
                return outcome.Good(self._keep(key, ballots.pop(), yes, have))
            # A change may be under way: to mend at once would only outvote it.
            if look < LOOKS:
                await self._clock.sleep(self._wait * 0.05 * (1 + look) * self._rng.random())
                continue
            self.mended += 1
            return await self.change(key, lambda now: now)
        return outcome.bad("no_majority")

    def _keep(
        self,
        key: str,
        ballot: register.Ballot,
        yes: dict[str, frames.Body],
        have: tuple[register.Ballot, register.Value] | None,
    ) -> register.Value:
        """The value read; `have` is what we held when we asked, for whose sake it may be left out."""
        if have is not None and have[0] == ballot:
            return have[1]
        raw = next((body["value"] for body in yes.values() if "value" in body), None)
        value = register.BLANK if raw is None else register.value_of(raw)
        if key not in self._held or self._held[key][0] < ballot:
            self._held[key] = (ballot, value)
        return value

    async def keys(self) -> list[str] | None:
        """Every key ever accepted, or nothing when too few stores answer to be sure."""
        yes, _ = await self._all(self.members.groups, "keys", {"epoch": self.members.epoch})
        if not register.carried(self.members.groups, yes):
            return None
        return sorted({k for body in yes.values() for k in body["keys"]})

    async def sweep_copies(self) -> int:
        """Write every key again to all disks that hold an older copy of it."""
        before = self.mended
        for key in await self.keys() or []:
            yes, _ = await self._everyone(key)
            if len({register.ballot_of(body["ballot"]) for body in yes.values()}) > 1:
                self.mended += 1
                await self.change(key, lambda now: now)
        return self.mended - before

    async def _everyone(self, key: str) -> tuple[dict[str, frames.Body], int]:
        """Each reachable disk's ballot for a key, waiting for all rather than a majority."""
        addresses = {d: self.addresses.get(d, s) for d, s in self.members.disks().items()}
        have = self._held.get(key)
        ask: frames.Body = {"key": key, "epoch": self.members.epoch}
        if have is not None:
            ask["have"] = list(have[0])
        results = await asyncio.gather(
            *(self._caller.ask(s, "read", {**ask, "disk": d}, self._wait) for d, s in addresses.items())
        )
        yes = {d: r.value for d, r in zip(addresses, results) if isinstance(r, outcome.Good)}
        return yes, len(addresses)


def decode_set(value: register.Value) -> register.MemberSet:
    """The member set out of the register's own key."""
    return register.set_of(cbor2.loads(value.body)) if value.body else register.NOBODY


def encode_set(members: register.MemberSet) -> bytes:
    """A member set as the body of the register's own key."""
    return cbor2.dumps(members.wire())


def _highest(yes: dict[str, frames.Body]) -> tuple[register.Ballot, register.Value]:
    best = register.ZERO
    value = register.BLANK
    for body in yes.values():
        ballot = register.ballot_of(body["ballot"])
        if ballot > best:
            best, value = ballot, register.value_of(body["value"])
    return best, value


def _reason(no: list[outcome.Bad]) -> outcome.Bad:
    seen = ", ".join(sorted({f"{bad.code.tag}" for bad in no}))
    return outcome.bad("no_majority", seen)
