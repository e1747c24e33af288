"""The lender: lends proxies the coins by which extra go's are paid, and never more than there are.

The sum that must hold, and the ways that were weighed: docs/lending.md.
"""

import dataclasses
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.duties as duties
import dykeswitch.settings as settings
import dykeswitch.timeline.slots as slots

# The part of the floor that is lent: what is left is for requests on the wire as a window begins.
LENT_PART: typing.Final = 0.95
# Who had no extra go lately gets a few coins, as long as they leave some for who needs them.
QUIET_MOST: typing.Final = 3
QUIET_PART: typing.Final = 0.75
# What an ask says it wants: nothing, a few to have at hand, or so many.
NOTHING: typing.Final = 0
QUIET: typing.Final = 1
WANT_MOST: typing.Final = 1_000_000


@dataclasses.dataclass(slots=True)
class Account:
    """What one borrower may still owe of one part, and what it asked for last."""

    turn: int = -1
    want: int = 0
    got: int = 0
    asked: float = -1e9
    # Coins, and until when they may be owed.
    outs: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def out(self, now: float) -> int:
        """The most that may be owed now."""
        return max((coins for coins, until in self.outs if until > now), default=0)

    def pressed(self, now: float, span: float) -> bool:
        """Whether its borrower asked for more than a few within a span."""
        return self.want > QUIET and now - self.asked < span

    def cut(self, bound: int, now: float) -> None:
        """The borrower holds itself to no more than this."""
        self.outs = [(min(coins, bound), until) for coins, until in self.outs if until > now and bound]

    def put(self, coins: int, until: float) -> None:
        # What runs out sooner and is no more than this says nothing.
        self.outs = [out for out in self.outs if out[0] > coins]
        self.outs.append((coins, until))


@dataclasses.dataclass(slots=True)
class Book:
    """Who has what of one slot's services, under one fence."""

    fence: int
    services: dict[str, dict[str, Account]] = dataclasses.field(default_factory=dict)


class Ask(typing.NamedTuple):
    """One borrower's wish for one part of one service's floor."""

    service: str
    part: int
    want: int
    # What is lent to it now, and what it holds itself to until it is answered.
    lent: int
    bound: int


def read_ask(raw: object) -> Ask:
    """An ask off the wire; ValueError if it is none."""
    if not isinstance(raw, (list, tuple)) or len(raw) != 5 or not isinstance(raw[0], str):
        raise ValueError("no ask")
    counts = raw[1:]
    if any(not isinstance(n, int) or isinstance(n, bool) or not 0 <= n <= WANT_MOST for n in counts):
        raise ValueError("an ask's counts")
    if counts[0] >= slots.PARTS:
        raise ValueError("an ask's part")
    return Ask(raw[0], *counts)


class Lender:
    """Lends for the services of the slots that are ours."""

    def __init__(self, config: settings.Settings, clock: ports.Clock, duty: duties.Duties) -> None:
        self._config = config
        self._clock = clock
        self._duty = duty
        self._books: dict[int, Book] = {}
        # Asks that were lent to, refused for want of coins, or not answered at all.
        self.lent = 0
        self.refused = 0
        self.passed_over = 0

    def kinds(self) -> dict[str, frames.Handler]:
        return {"borrow": self._on_borrow, "loans": self._on_loans}

    def part(self, part: int) -> int:
        """How many coins of a service's floor one part has."""
        whole = int(self._config.extra_floor * LENT_PART)
        return (whole + slots.PARTS - 1 - part) // slots.PARTS

    async def _on_borrow(self, body: frames.Body) -> frames.Result:
        who, turn = str(body["who"])[:256], int(body["turn"])
        asks = [read_ask(raw) for raw in body["asks"]]
        # From here to the answer nothing waits: what was sure of the fence is so still.
        loans = [self._loan(who, turn, ask) for ask in asks]
        return outcome.Success({"span": self._config.loan_duration_s, "loans": loans})

    def _loan(self, who: str, turn: int, ask: Ask) -> list[int]:
        """The coins lent and the fence; nothing at all if it is not ours to say."""
        slot = slots.lend_slot(ask.service, ask.part)
        hold = self._duty.hold(slot)
        if hold is None:
            self.passed_over += 1
            return []
        now = self._clock.now()
        book = self._books.get(slot)
        if book is None or book.fence != hold.fence:
            # Somebody else lent meanwhile, or may have: what we knew is worth nothing.
            book = self._books[slot] = Book(hold.fence)
        storage = book.services.setdefault(ask.service, {})
        account = storage.get(who) or Account()
        if turn <= account.turn:
            # A late or repeated ask: what it says of its sender is no longer so.
            self.passed_over += 1
            return []
        account.turn, account.asked, account.want = turn, now, ask.want
        account.cut(ask.bound, now)
        until = now + self._config.loan_duration_s + self._config.loan_lapse_s
        coins = 0
        if ask.want != NOTHING:
            coins = self._coins(storage, who, account, ask, now, self._waits(hold) > 0)
        if coins:
            account.put(coins, until)
            self.lent += 1
        elif ask.want != NOTHING:
            self.refused += 1
        account.got = coins
        storage[who] = account
        _clear(book, ask.service, now, self._config.loan_duration_s)
        return [coins, hold.fence]

    def _waits(self, hold: duties.Hold) -> float:
        """How long until nothing can be out that the slot's owner before us lent."""
        if hold.fence == 1:
            return 0.0
        return max(0.0, hold.since + self._config.takeover_wait_s - self._clock.now())

    def _coins(
        self, storage: dict[str, Account], who: str, account: Account, ask: Ask, now: float, waits: bool
    ) -> int:
        """How many coins a borrower may have now."""
        if waits:
            # What it still has of the lender before us is out anyway, and may stay so.
            lent = min(ask.lent, self.part(ask.part))
            if who in storage:
                return min(lent, account.out(now))
            account.put(ask.bound, now + self._config.loan_lapse_s)
            return lent
        whole = self.part(ask.part)
        others = {name: a for name, a in storage.items() if name != who}
        out = sum(a.out(now) for a in others.values())
        pressed = [a for a in others.values() if a.pressed(now, self._config.loan_duration_s)]
        share = max(1, whole // (len(pressed) + 1))
        short = any(a.got < min(a.want, share) for a in pressed)
        if ask.want == QUIET:
            few = int(whole * QUIET_PART)
            quiet = sum(1 for a in others.values() if a.want == QUIET and a.out(now))
            level = 1 if short else min(QUIET_MOST, max(1, few // (quiet + 1)))
            return max(0, min(level, few - out))
        most = max(0, whole - out)
        if short:
            return min(ask.want, share, most)
        # Half of what is free, so that who comes next finds some.
        have = min(account.out(now), most)
        return min(ask.want, have + (most - have + 1) // 2)

    def remove_expired(self) -> None:
        """Let go of what is over, also for services that nobody asks for any more."""
        now = self._clock.now()
        for book in self._books.values():
            for service in list(book.services):
                _clear(book, service, now, self._config.loan_duration_s)

    async def _on_loans(self, body: frames.Body) -> frames.Result:
        return outcome.Success({"rows": self.rows()})

    def rows(self) -> list[list[typing.Any]]:
        """For each service and part: lender, fence, borrowers, lent now, out, coins in all, wait left."""
        now = self._clock.now()
        found: list[list[typing.Any]] = []
        for slot, book in sorted(self._books.items()):
            hold = self._duty.hold(slot)
            if hold is None or hold.fence != book.fence:
                continue
            part = (slot - slots.PROBE) // slots.BUCKETS
            for service, storage in sorted(book.services.items()):
                outs = [a.out(now) for a in storage.values()]
                lent = [
                    max((c for c, until in a.outs if until - self._config.loan_lapse_s > now), default=0)
                    for a in storage.values()
                ]
                wait = round(self._waits(hold), 1)
                many = sum(1 for n in lent if n)
                sums = [sum(lent), sum(outs), self.part(part)]
                found.append([service, part, self._config.name, book.fence, many, *sums, wait])
        return found

    def sums(self) -> tuple[int, int]:
        """Coins lent now, and all that count as out."""
        rows = self.rows()
        return sum(row[5] for row in rows), sum(row[6] for row in rows)


def _clear(book: Book, service: str, now: float, span: float) -> None:
    """Keep accounts that have something out, and those pressed lately; let go of the rest."""
    storage = book.services[service]
    for name, account in list(storage.items()):
        if not account.pressed(now, span) and not account.out(now):
            del storage[name]
    if not storage:
        del book.services[service]
