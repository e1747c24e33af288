"""The proposer: prepares and accepts at a majority of every group of the member set."""

import asyncio
import dataclasses
import random
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.copies as copies
import dykeswitch.register.messages as messages
import dykeswitch.register.quorum as quorums
import dykeswitch.register.shared_reads as shared_reads

# Numbered points at which a test may inject a fault.
POINT_BEFORE_PREPARE: typing.Final = 11
POINT_BEFORE_ACCEPT: typing.Final = 12
POINT_AFTER_ACCEPT: typing.Final = 13

# How many waits a change may take in all before its operator is told.
WAITS: typing.Final = 4
# A read that meets a promise to a later change looks again so many times before it mends.
LOOKS: typing.Final = 2
# For which part of a call's span a read waits for the one before it, and one of our changes for
# our others of the same key.
READ_OVERLAP: typing.Final = 0.05
QUEUE_WAITS: typing.Final = 2
# The wait before a change is tried again: the span of the try that failed at least, doubled with
# each time that it was outvoted, within parts of a call's span.
RETRY_LEAST: typing.Final = 0.02
RETRY_MOST: typing.Final = 0.5
RETRY_DOUBLINGS: typing.Final = 4

Read = outcome.Success[register.Value] | outcome.Failure
Step = typing.Callable[[register.Value], register.Value | outcome.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """What came of one ballot."""

    # The end of the change, if this ballot decided it.
    decided: Read | None = None
    failure: outcome.Failure = outcome.failure("no_majority")
    # Whether a disk may have accepted a new value under it.
    sent: bool = False
    # Whether a disk had promised a higher one.
    outvoted: bool = False


class Proposer:
    """Changes and reads of the register on behalf of one registry."""

    def __init__(
        self,
        name: str,
        call_client: frames.CallClient,
        clock: ports.Clock,
        fault_points: ports.FaultPoints,
        wait: float,
        rng: random.Random,
    ) -> None:
        # The name must be new with each start, so that no ballot is ever used twice.
        self._name = name
        self._clock = clock
        self._fault_points = fault_points
        self._wait = wait
        self._rng = rng
        self._count = 0
        self.quorum = quorums.Quorum(call_client, clock, wait)
        self.copies = copies.Copies(self.quorum)
        # How many copies were found apart and brought together.
        self.repaired = 0
        self._reads = shared_reads.SharedReads(self._read, wait * READ_OVERLAP)
        # Our changes of one key go one after the other: side by side they would outvote each other.
        self._turns: dict[str, asyncio.Lock] = {}

    @property
    def members(self) -> register.MemberSet:
        """The latest committed member set that is known here."""
        return self.quorum.members

    def _ballot(self) -> register.Ballot:
        self._count += 1
        return (self._count, self._name)

    async def _learn_from(self, no: list[outcome.Failure]) -> bool:
        """Learn from refusals; true if another try under new knowledge makes sense."""
        again = False
        for failure in no:
            if failure.code.tag == quorums.OUTVOTED:
                again = self._outvoted(failure.detail) or again
            elif failure.code.tag == quorums.OLD_EPOCH:
                again = await self.quorum.learn() or again
        return again

    def _outvoted(self, detail: str) -> bool:
        """Take up the counter of a higher ballot, if it is one that a later ballot can pass."""
        if not detail.isascii() or not detail.isdigit() or not register.is_count(int(detail) + 1):
            return False
        self._count = max(self._count, int(detail))
        return True

    async def change(self, key: str, step: Step) -> Read:
        """Move a key by compare-and-set; the step may refuse, and is run on each try."""
        end = self._clock.now() + self._wait * WAITS
        turn = self._turns.setdefault(key, asyncio.Lock())
        try:
            async with asyncio.timeout(self._wait * QUEUE_WAITS):
                await turn.acquire()
        except TimeoutError:
            return outcome.failure("no_majority", "other changes are under way")
        try:
            return await self._change(key, step, end)
        finally:
            turn.release()

    async def _change(self, key: str, step: Step, end: float) -> Read:
        """Try until it is decided or the time is up; one change of a key at a time comes here."""
        sent = False
        outvoted = 0
        while True:
            begun = self._clock.now()
            attempt = await self._attempt(key, step)
            if attempt.decided is not None:
                return attempt.decided
            sent = sent or attempt.sent
            if self._clock.now() >= end or not self.members.groups:
                break
            outvoted += attempt.outvoted
            await self._clock.sleep(self._retry_s(self._clock.now() - begun, outvoted))
            if self._clock.now() >= end:
                break
        if sent:
            return outcome.failure("unknown", "the register may or may not have taken it")
        return attempt.failure

    async def _attempt(self, key: str, step: Step) -> _Attempt:
        """One ballot: prepare at a majority, take the step, and have a majority accept."""
        members = self.members
        groups = members.groups
        if not groups:
            return _Attempt(failure=outcome.failure("no_majority", "no member set known"))
        ballot = self._ballot()
        self._fault_points.hit(POINT_BEFORE_PREPARE)
        request = messages.Prepare(key, ballot, members.epoch, quorums.ANY_DISK)
        promises = await self.quorum.call_all(groups, request, messages.Promise)
        if not promises.has_majorities():
            return await self._failed(promises)
        best, now = _highest(promises.yes)
        fresh = step(now)
        refused = fresh if isinstance(fresh, outcome.Failure) else None
        if isinstance(fresh, outcome.Failure):
            # A refusal may be told only once what it rests on is held by a majority, and
            # no earlier try of the same change, ours or another's, can still win: what
            # stands is written again under this ballot before we say so.
            fresh = now
        wide = self.quorum.groups_for(key, fresh)
        if wide != groups:
            # The accept goes out under this very ballot: the counter may be moved by
            # another change of ours while we wait.
            ballot = self._ballot()
            request = dataclasses.replace(request, ballot=ballot)
            promises = await self.quorum.call_all(wide, request, messages.Promise)
            if not promises.has_majorities():
                return await self._failed(promises)
            if _highest(promises.yes)[0] > best:
                return _Attempt()
        if members.epoch != self.members.epoch:
            return _Attempt()
        self._fault_points.hit(POINT_BEFORE_ACCEPT)
        accept = messages.Accept(key, ballot, fresh, members.epoch, quorums.ANY_DISK)
        accepted = await self.quorum.call_all(wide, accept, messages.Accepted)
        self._fault_points.hit(POINT_AFTER_ACCEPT)
        if not accepted.has_majorities():
            return await self._failed(accepted, sent=refused is None)
        self.copies.hold(key, ballot, fresh)
        return _Attempt(decided=refused if refused is not None else outcome.Success(fresh))

    async def _failed(self, answers: quorums.Answers[typing.Any], sent: bool = False) -> _Attempt:
        """An attempt that too few disks took part in; what they told is learnt."""
        await self._learn_from(answers.no)
        return _Attempt(failure=answers.failure(), sent=sent, outvoted=answers.outvoted())

    def _retry_s(self, took_s: float, outvoted: int) -> float:
        """How long to wait before the next try: by chance, so that two that race part."""
        least = max(took_s, self._wait * RETRY_LEAST)
        longest = least * float(2 ** min(outvoted, RETRY_DOUBLINGS))
        return min(longest, self._wait * RETRY_MOST) * self._rng.random()

    async def read(self, key: str) -> Read:
        """The newest value; copies that disagree are brought together before the answer.

        Callers that ask at about the same time are answered by one round.
        """
        return await self._reads.read(key)

    async def _read(self, key: str) -> Read:
        end = self._clock.now() + self._wait * WAITS
        disputes = 0
        while self.members.groups:
            begun = self._clock.now()
            look = await self.copies.look(key)
            if not isinstance(look, copies.Look):
                if self._clock.now() < end and await self._learn_from(look.no):
                    continue
                return look.failure()
            # Our next change begins above it: else it is outvoted once for certain.
            self._count = max(self._count, look.ballot[0])
            if look.alike or await self._completed(look):
                return outcome.Success(look.value)
            disputes += 1
            if disputes > LOOKS:
                repaired = await self._repair(key)
                if repaired is not None:
                    return repaired
            if self._clock.now() >= end:
                return outcome.failure("no_majority", "the copies are in dispute")
            # A later change may be under way: to outvote it at once would help nobody.
            await self._clock.sleep(self._retry_s(self._clock.now() - begun, disputes))
        return outcome.failure("no_majority", "no member set known")

    async def _completed(self, look: copies.Look) -> bool:
        """Whether a majority holds the newest copy, once it was sent to those that lacked it."""
        answers = await self.copies.complete(look)
        if answers.has_majorities():
            return True
        await self._learn_from(answers.no)
        return False

    async def _repair(self, key: str) -> Read | None:
        """Try once to write what stands under a ballot of our own; nothing where it is not decided.

        Then it is time to look again: somebody else may have mended it meanwhile.
        """
        turn = self._turns.setdefault(key, asyncio.Lock())
        if turn.locked():
            async with turn:
                return None
        async with turn:
            self.repaired += 1
            return (await self._attempt(key, lambda now: now)).decided

    async def repair_copies(self) -> int:
        """Bring the newest copy of every key to all disks that hold an older one."""
        before = self.repaired
        for key in await self.copies.keys() or []:
            unlike = await self.copies.unlike(key)
            if unlike is None:
                continue
            self.repaired += 1
            if not await self.copies.spread(*unlike):
                # One of them promised a later ballot: only a later one still can bring them together.
                await self.change(key, lambda now: now)
        return self.repaired - before


def _highest(yes: dict[str, messages.Promise]) -> tuple[register.Ballot, register.Value]:
    best = max(yes.values(), key=lambda promise: promise.ballot, default=None)
    if best is None or best.ballot == register.ZERO_BALLOT:
        return register.ZERO_BALLOT, register.INITIAL_VALUE
    return best.ballot, best.value
