"""The proposer: prepares and accepts at a majority of every group of the member set."""

import asyncio
import contextlib
import dataclasses
import random
import typing

import cbor2

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages

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
Ask = messages.Prepare | messages.Accept | messages.Read | messages.Keys
Answer = typing.TypeVar("Answer", bound=messages.Reply)

# Stands in a message until it is addressed to one of the disks.
ANY_DISK: typing.Final = ""


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

    async def _ask(
        self, disk: str, address: str, ask: Ask, answer: type[Answer]
    ) -> outcome.Good[Answer] | outcome.Bad:
        """Ask one disk; an answer that is malformed counts as none."""
        body = messages.encode(dataclasses.replace(ask, disk=disk))
        result = await self._caller.ask(address, ask.KIND, body, self._wait)
        if isinstance(result, outcome.Bad):
            return result
        try:
            return outcome.Good(messages.decode(answer, result.value))
        except ValueError as flaw:
            return outcome.bad("bad_frame", f"{address}: {flaw}")

    async def _all(
        self, groups: Groups, ask: Ask, answer: type[Answer]
    ) -> tuple[dict[str, Answer], list[outcome.Bad]]:
        """Ask every disk of the groups; return once each group has its majority or can't."""
        addresses = {disk: self.addresses.get(disk, address) for group in groups for disk, address in group}
        yes: dict[str, Answer] = {}
        no: dict[str, outcome.Bad] = {}
        news = asyncio.Event()

        async def one(disk: str, address: str) -> None:
            result = await self._ask(disk, address, ask, answer)
            if isinstance(result, outcome.Good):
                yes[disk] = result.value
            else:
                no[disk] = result
            news.set()

        def settled() -> bool:
            possible = addresses.keys() - no.keys()
            return register.carried(groups, yes) or not register.carried(groups, possible)

        tasks = [asyncio.create_task(one(disk, address)) for disk, address in addresses.items()]
        try:
            while not settled():
                news.clear()
                await news.wait()
        finally:
            # A straggler's answer is no longer needed, but its vote still helps:
            # let calls that run end by themselves.
            self._leave(tasks)
        return yes, list(no.values())

    def _leave(self, tasks: typing.Iterable["asyncio.Task[None]"]) -> None:
        """Hold calls that nobody waits for any more until they end."""
        for task in tasks:
            if not task.done():
                self._late.add(task)
                task.add_done_callback(self._late.discard)

    async def _refusals(self, no: list[outcome.Bad]) -> bool:
        """Learn from refusals; true if another try under new knowledge makes sense."""
        again = False
        for bad in no:
            if bad.code.tag == "outvoted":
                again = self._outvoted(bad.why) or again
            elif bad.code.tag == "old_epoch":
                again = await self.learn() or again
        return again

    def _outvoted(self, why: str) -> bool:
        """Take up the counter of a higher ballot, if it is one that a later ballot can pass."""
        if not why.isascii() or not why.isdigit() or not register.whole(int(why) + 1):
            return False
        self._count = max(self._count, int(why))
        return True

    async def learn(self, more: typing.Iterable[str] = ()) -> bool:
        """Ask the stores we know of for a newer member set; one that has it is enough."""
        addresses = {self.addresses.get(d, s) for d, s in self.members.disks().items()} | set(more)
        before = self.members.epoch
        news = asyncio.Event()

        async def one(address: str) -> None:
            result = await self._caller.ask(address, "state", {}, self._wait)
            if isinstance(result, outcome.Good):
                with contextlib.suppress(ValueError, TypeError, AttributeError, KeyError, OverflowError):
                    self.adopt(register.set_of(result.value["set"]))
            news.set()

        tasks = [asyncio.create_task(one(address)) for address in sorted(addresses)]
        try:
            while self.members.epoch == before and not all(task.done() for task in tasks):
                news.clear()
                await news.wait()
        finally:
            self._leave(tasks)
        return self.members.epoch > before

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
            ask = messages.Prepare(key, ballot, epoch, ANY_DISK)
            yes, no = await self._all(groups, ask, messages.Promise)
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
                ask = dataclasses.replace(ask, ballot=ballot)
                more, no = await self._all(wide, ask, messages.Promise)
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
            accept = messages.Accept(key, ballot, fresh, epoch, ANY_DISK)
            accepted, no = await self._all(wide, accept, messages.Accepted)
            self._points.hit(POINT_AFTER_ACCEPT)
            if register.carried(wide, accepted):
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
            ask = self._read_of(key, have)
            yes, no = await self._all(groups, ask, messages.ReadReply)
            if not register.carried(groups, yes):
                if await self._refusals(no):
                    continue
                return _reason(no)
            ballots = {copy.ballot for copy in yes.values()}
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

    def _read_of(self, key: str, have: tuple[register.Ballot, register.Value] | None) -> messages.Read:
        return messages.Read(key, self.members.epoch, ANY_DISK, None if have is None else have[0])

    def _keep(
        self,
        key: str,
        ballot: register.Ballot,
        yes: dict[str, messages.ReadReply],
        have: tuple[register.Ballot, register.Value] | None,
    ) -> register.Value:
        """The value read; `have` is what we held when we asked, for whose sake it may be left out."""
        if have is not None and have[0] == ballot:
            return have[1]
        value = next((copy.value for copy in yes.values() if copy.value is not None), register.BLANK)
        if key not in self._held or self._held[key][0] < ballot:
            self._held[key] = (ballot, value)
        return value

    async def keys(self) -> list[str] | None:
        """Every key ever accepted, or nothing when too few stores answer to be sure."""
        groups = self.members.groups
        ask = messages.Keys(self.members.epoch, ANY_DISK)
        yes, _ = await self._all(groups, ask, messages.KeysReply)
        if not register.carried(groups, yes):
            return None
        return sorted({key for reply in yes.values() for key in reply.keys})

    async def sweep_copies(self) -> int:
        """Write every key again to all disks that hold an older copy of it."""
        before = self.mended
        for key in await self.keys() or []:
            copies = await self._everyone(key)
            if len({copy.ballot for copy in copies.values()}) > 1:
                self.mended += 1
                await self.change(key, lambda now: now)
        return self.mended - before

    async def copies(self) -> dict[str, dict[str, int]]:
        """For each disk that answers, which version of each key it holds."""
        keys = await self.keys() or []
        found = await asyncio.gather(*(self._everyone(key) for key in keys))
        versions: dict[str, dict[str, int]] = {}
        for key, copies in zip(keys, found):
            for disk, copy in copies.items():
                versions.setdefault(disk, {})[key] = copy.version
        return versions

    async def _everyone(self, key: str) -> dict[str, messages.ReadReply]:
        """Each reachable disk's copy of a key, waiting for all rather than a majority."""
        addresses = {d: self.addresses.get(d, s) for d, s in self.members.disks().items()}
        ask = self._read_of(key, self._held.get(key))
        results = await asyncio.gather(
            *(self._ask(disk, address, ask, messages.ReadReply) for disk, address in addresses.items())
        )
        return {
            disk: result.value for disk, result in zip(addresses, results) if isinstance(result, outcome.Good)
        }


def decode_set(value: register.Value) -> register.MemberSet:
    """The member set out of the register's own key."""
    return register.set_of(cbor2.loads(value.body)) if value.body else register.NOBODY


def encode_set(members: register.MemberSet) -> bytes:
    """A member set as the body of the register's own key."""
    return cbor2.dumps(members.wire())


def _highest(yes: dict[str, messages.Promise]) -> tuple[register.Ballot, register.Value]:
    best = max(yes.values(), key=lambda promise: promise.ballot, default=None)
    if best is None or best.ballot == register.ZERO:
        return register.ZERO, register.BLANK
    return best.ballot, best.value


def _reason(no: list[outcome.Bad]) -> outcome.Bad:
    seen = ", ".join(sorted({f"{bad.code.tag}" for bad in no}))
    return outcome.bad("no_majority", seen)
