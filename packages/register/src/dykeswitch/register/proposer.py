"""The proposer: runs ballots at a majority of every group of the member set."""

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

# Fault points: numbered points at which a test may inject a fault.
POINT_BEFORE_PREPARE: typing.Final = 11
POINT_BEFORE_ACCEPT: typing.Final = 12
POINT_AFTER_ACCEPT: typing.Final = 13

# A change reports an unknown outcome or a failure after this many call timeouts.
CHANGE_CALL_TIMEOUTS: typing.Final = 4
# A read that finds a promise to a later change reads again this many times before it runs a ballot of its
# own to repair the copies.
READS_BEFORE_REPAIR: typing.Final = 2
# Fraction of a call timeout that a read waits for the previous read of the key, and number of call
# timeouts that a change waits for this registry's other changes of the key.
READ_OVERLAP_FRACTION: typing.Final = 0.05
QUEUE_CALL_TIMEOUTS: typing.Final = 2
# The delay before a retry is a random part of the failed attempt's duration, doubled each time that it
# was outvoted. The duration counts as at least, and the result as at most, a fraction of the call
# timeout.
MIN_RETRY_FRACTION: typing.Final = 0.02
MAX_RETRY_FRACTION: typing.Final = 0.5
MAX_RETRY_DOUBLINGS: typing.Final = 4

Read = outcome.Success[register.Value] | outcome.Failure
Step = typing.Callable[[register.Value], register.Value | outcome.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """The result of one ballot."""

    # The result of the change, if this ballot decided it.
    decided: Read | None = None
    failure: outcome.Failure = outcome.failure("no_majority")
    # Whether a disk may have accepted a new value under this ballot.
    sent: bool = False
    # Whether a disk had promised a higher ballot.
    outvoted: bool = False


class Proposer:
    """Changes and reads the register on behalf of one registry."""

    def __init__(
        self,
        name: str,
        call_client: frames.CallClient,
        clock: ports.Clock,
        fault_points: ports.FaultPoints,
        call_timeout_s: float,
        rng: random.Random,
    ) -> None:
        # Must be unique for each start of the process, so that no ballot is ever used twice.
        self._name = name
        self._clock = clock
        self._fault_points = fault_points
        self._call_timeout_s = call_timeout_s
        self._rng = rng
        self._count = 0
        self.quorum = quorums.Quorum(call_client, clock, call_timeout_s)
        self.copies = copies.Copies(self.quorum)
        # Number of repairs of differing copies.
        self.repaired = 0
        self._shared_reads = shared_reads.SharedReads(self._read, call_timeout_s * READ_OVERLAP_FRACTION)
        # Changes of one key by this registry run one after another; concurrent ones would outvote each
        # other.
        self._change_locks: dict[str, asyncio.Lock] = {}

    @property
    def members(self) -> register.MemberSet:
        """The latest committed member set that is known here."""
        return self.quorum.members

    def _next_ballot(self) -> register.Ballot:
        self._count += 1
        return (self._count, self._name)

    async def _learn_from_refusals(self, refusals: list[outcome.Failure]) -> bool:
        """Learns from refusals; returns whether another attempt with the new knowledge makes sense."""
        should_retry = False
        for failure in refusals:
            if failure.code.tag == quorums.OUTVOTED:
                should_retry = self._adopt_counter(failure.detail) or should_retry
            elif failure.code.tag == quorums.OLD_EPOCH:
                should_retry = await self.quorum.learn() or should_retry
        return should_retry

    def _adopt_counter(self, detail: str) -> bool:
        """Adopts the counter of a higher ballot, if a later ballot can exceed it."""
        if not detail.isascii() or not detail.isdigit() or not register.is_count(int(detail) + 1):
            return False
        self._count = max(self._count, int(detail))
        return True

    async def change(self, key: str, step: Step) -> Read:
        """Changes a key by compare-and-set; `step` runs in each attempt and may refuse."""
        deadline = self._clock.now() + self._call_timeout_s * CHANGE_CALL_TIMEOUTS
        lock = self._change_locks.setdefault(key, asyncio.Lock())
        try:
            async with asyncio.timeout(self._call_timeout_s * QUEUE_CALL_TIMEOUTS):
                await lock.acquire()
        except TimeoutError:
            return outcome.failure("no_majority", "other changes of the key are in progress")
        try:
            return await self._change(key, step, deadline)
        finally:
            lock.release()

    async def _change(self, key: str, step: Step, deadline: float) -> Read:
        """Retries until the change is decided or the deadline has passed; one change of a key at a time."""
        sent = False
        outvoted = 0
        while True:
            started_at = self._clock.now()
            attempt = await self._attempt(key, step)
            if attempt.decided is not None:
                return attempt.decided
            sent = sent or attempt.sent
            if self._clock.now() >= deadline or not self.members.groups:
                break
            outvoted += attempt.outvoted
            await self._clock.sleep(self._retry_delay_s(self._clock.now() - started_at, outvoted))
            if self._clock.now() >= deadline:
                break
        if sent:
            return outcome.failure("unknown", "the change may or may not have been accepted")
        return attempt.failure

    async def _attempt(self, key: str, step: Step) -> _Attempt:
        """Runs one ballot: prepares at a majority, applies the step and has a majority accept."""
        members = self.members
        groups = members.groups
        if not groups:
            return _Attempt(failure=outcome.failure("no_majority", "no member set known"))
        ballot = self._next_ballot()
        self._fault_points.hit(POINT_BEFORE_PREPARE)
        request = messages.Prepare(key, ballot, members.epoch, quorums.ANY_DISK)
        promises = await self.quorum.call_all(groups, request, messages.Promise)
        if not promises.has_majorities():
            return await self._failed_attempt(promises)
        highest_ballot, current = _highest(promises.replies)
        updated = step(current)
        refusal = updated if isinstance(updated, outcome.Failure) else None
        if isinstance(updated, outcome.Failure):
            # A refusal may be reported only once the value on which it is based is stored by a majority,
            # and no earlier attempt at the same change, by this or another registry, can still win. So
            # the current value is written again under this ballot first.
            updated = current
        all_groups = self.quorum.groups_for(key, updated)
        if all_groups != groups:
            # The accept must carry the ballot that was promised: another change by this registry may
            # increase the counter in the meantime.
            ballot = self._next_ballot()
            request = dataclasses.replace(request, ballot=ballot)
            promises = await self.quorum.call_all(all_groups, request, messages.Promise)
            if not promises.has_majorities():
                return await self._failed_attempt(promises)
            if _highest(promises.replies)[0] > highest_ballot:
                return _Attempt()
        if members.epoch != self.members.epoch:
            return _Attempt()
        self._fault_points.hit(POINT_BEFORE_ACCEPT)
        accept = messages.Accept(key, ballot, updated, members.epoch, quorums.ANY_DISK)
        accepted = await self.quorum.call_all(all_groups, accept, messages.Accepted)
        self._fault_points.hit(POINT_AFTER_ACCEPT)
        if not accepted.has_majorities():
            return await self._failed_attempt(accepted, sent=refusal is None)
        self.copies.remember(key, ballot, updated)
        return _Attempt(decided=refusal if refusal is not None else outcome.Success(updated))

    async def _failed_attempt(self, answers: quorums.Answers[typing.Any], sent: bool = False) -> _Attempt:
        """The result of an attempt that too few disks took part in; learns from their refusals."""
        await self._learn_from_refusals(answers.refusals)
        return _Attempt(failure=answers.failure(), sent=sent, outvoted=answers.outvoted())

    def _retry_delay_s(self, attempt_s: float, outvoted: int) -> float:
        """The delay before the next attempt, randomized so that competing proposers diverge."""
        base_delay_s = max(attempt_s, self._call_timeout_s * MIN_RETRY_FRACTION)
        max_delay_s = base_delay_s * float(2 ** min(outvoted, MAX_RETRY_DOUBLINGS))
        return min(max_delay_s, self._call_timeout_s * MAX_RETRY_FRACTION) * self._rng.random()

    async def read(self, key: str) -> Read:
        """Returns the newest value; differing copies are repaired before the answer.

        Concurrent callers share one round of requests.
        """
        return await self._shared_reads.read(key)

    async def _read(self, key: str) -> Read:
        deadline = self._clock.now() + self._call_timeout_s * CHANGE_CALL_TIMEOUTS
        disputes = 0
        while self.members.groups:
            started_at = self._clock.now()
            key_copies = await self.copies.read_majority(key)
            if not isinstance(key_copies, copies.KeyCopies):
                if self._clock.now() < deadline and await self._learn_from_refusals(key_copies.refusals):
                    continue
                return key_copies.failure()
            # The next change starts above this ballot; otherwise it would certainly be outvoted once.
            self._count = max(self._count, key_copies.ballot[0])
            if key_copies.identical or await self._complete(key_copies):
                return outcome.Success(key_copies.value)
            disputes += 1
            if disputes > READS_BEFORE_REPAIR:
                repaired = await self._repair(key)
                if repaired is not None:
                    return repaired
            if self._clock.now() >= deadline:
                return outcome.failure("no_majority", "the copies differ and were not repaired in time")
            # A later change may be in progress; outvoting it immediately would help nobody.
            await self._clock.sleep(self._retry_delay_s(self._clock.now() - started_at, disputes))
        return outcome.failure("no_majority", "no member set known")

    async def _complete(self, key_copies: copies.KeyCopies) -> bool:
        """Sends the newest copy to the disks that lack it; returns whether a majority stores it then."""
        answers = await self.copies.complete(key_copies)
        if answers.has_majorities():
            return True
        await self._learn_from_refusals(answers.refusals)
        return False

    async def _repair(self, key: str) -> Read | None:
        """Tries once to rewrite the current value under a new ballot; None if it was not decided.

        None also if another change of the key was in progress, which may have repaired the copies. Then
        the copies have to be read again.
        """
        lock = self._change_locks.setdefault(key, asyncio.Lock())
        if lock.locked():
            async with lock:
                return None
        async with lock:
            self.repaired += 1
            return (await self._attempt(key, lambda now: now)).decided

    async def repair_copies(self) -> int:
        """Brings the newest copy of each key to disks with an older one; returns the number of repairs."""
        before = self.repaired
        for key in await self.copies.keys() or []:
            outdated = await self.copies.find_outdated(key)
            if outdated is None:
                continue
            self.repaired += 1
            if not await self.copies.send_accept(*outdated):
                # A disk promised a later ballot: only a ballot above that one can repair the copies.
                await self.change(key, lambda now: now)
        return self.repaired - before


def _highest(replies: dict[str, messages.Promise]) -> tuple[register.Ballot, register.Value]:
    best = max(replies.values(), key=lambda promise: promise.ballot, default=None)
    if best is None or best.ballot == register.ZERO_BALLOT:
        return register.ZERO_BALLOT, register.INITIAL_VALUE
    return best.ballot, best.value
