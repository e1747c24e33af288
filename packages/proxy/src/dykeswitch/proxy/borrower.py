"""The borrower: asks registries for the coins that this proxy's extra go's are paid with.

One call to a lender holds the asks of all services; see docs/lending.md.
"""

import asyncio
import contextlib
import dataclasses
import functools
import math
import typing
import zlib

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.budget as budgets
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines
import dykeswitch.timeline.slots as slots

# Which part of a loan is over when it is renewed.
RENEW: typing.Final = 1 / 3
# How much longer each next wait is after a refusal, and the longest with nothing pressing, in loans.
LONGER: typing.Final = 2
REST_MOST: typing.Final = 32
# What an ask wants: nothing, a few coins to have at hand, or so many (two and more).
NOTHING: typing.Final = 0
QUIET: typing.Final = 1
WANT_MOST: typing.Final = 100_000

Lookup = typing.Callable[[], typing.Mapping[str, budgets.Budget]]


@dataclasses.dataclass(slots=True)
class Side:
    """One part of one service's floor, as we ask for it."""

    asked: float = -1e9
    # For how long to wait after an ask: when extra go's are missed, and when not.
    haste: float = 0.0
    rest: float = 0.0


def _sides() -> list[Side]:
    return [Side() for _ in range(slots.PARTS)]


@dataclasses.dataclass(slots=True)
class Need:
    """How much we need extra go's toward one service."""

    # What the budget had counted when we last looked, and when that last moved.
    requests: int = 0
    taken: int = 0
    refused: int = 0
    active: float = -1e9
    pressed: float = -1e9
    # Extra go's refused since we last asked.
    lack: int = 0
    # Which part a quiet one asks, counted from our own.
    turn: int = 0
    # When to look again.
    due: float = 0.0
    sides: list[Side] = dataclasses.field(default_factory=_sides)


class Wish(typing.NamedTuple):
    """One ask on its way."""

    service: str
    part: int
    want: int
    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lender:
    """A registry that is asked for loans, where it was known to be when it was chosen."""

    name: str
    address: ports.Address


class Borrower:
    """Borrows for every service that this proxy carries."""

    def __init__(
        self,
        name: str,
        boot_id: str,
        config: settings.Settings,
        timeline: timelines.Timeline,
        call_client: frames.CallClient,
        cores: typing.Callable[[], dict[str, ports.Address]],
        lookup: Lookup,
    ) -> None:
        # One that starts anew is another borrower: what it had before still counts.
        self._who = f"{name}/{boot_id}"
        self._home = zlib.crc32(name.encode()) % slots.PARTS
        self._config = config
        self._renew = config.loan_duration_s * RENEW
        self._clock = timeline.clock
        self._timeline = timeline
        self._call_client = call_client
        self._cores = cores
        self._lookup = lookup
        self._needs: dict[str, Need] = {}
        self._flying: set[str] = set()
        self._turn = 0
        self._news = asyncio.Event()
        self._since: float | None = None
        self._over = False
        self.counts: dict[str, int] = {"loans_asked": 0, "loans_got": 0, "loans_refused": 0}

    def since(self) -> float | None:
        """Since when we borrow, if we do."""
        return self._since

    def borrowed(self) -> int:
        """Coins lent to us now, for all services together."""
        now = self._clock.now()
        return sum(budget.lent(now) for budget in self._lookup().values())

    async def run(self) -> None:
        """Borrow for ever: what is due each tick, what is missed at once."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._news.clear()
                for lender, wishes in self._wishes().items():
                    self._flying.add(lender.name)
                    group.create_task(self._ask(lender, wishes))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._config.tick_interval_s):
                        await self._news.wait()
                # What is missed at the same moment goes into one call.
                await self._clock.sleep(self._config.tick_interval_s / 20)

    async def give_back(self) -> None:
        """Spend no more, and say so: what was not spent can be lent to others at once.

        Only for a moment: a lender that does not answer must not hold up an orderly stop.
        """
        self._over = True
        self._since = None
        self._flying.clear()
        for need in self._needs.values():
            need.due = 0.0
        calls = [self._ask(lender, wishes) for lender, wishes in self._wishes().items()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._config.tick_interval_s):
                await asyncio.gather(*calls)

    # What to ask for.

    def _wishes(self) -> dict[Lender, list[Wish]]:
        """What is due to be asked, by the lender that it is asked of."""
        now = self._clock.now()
        found: dict[Lender, list[Wish]] = {}
        cores: dict[str, ports.Address] = {}
        for service, budget in self._lookup().items():
            need = self._needs.get(service)
            if need is None:
                need = self._needs[service] = Need()
                budget.stir = functools.partial(self._stir, need)
            if now < need.due:
                continue
            cores = cores or self._cores()
            self._look(need, budget, now)
            # Idle and with nothing to give back: the next request wakes us.
            need.due = math.inf if budget.idle else now + self._renew
            asked = False
            for part, want in enumerate(self._wants(need, budget, now)):
                if want == NOTHING and not budget.part(part, now):
                    continue
                wish = Wish(service, part, want, slots.lend_slot(service, part))
                lender = self._lender(wish, need, cores, now)
                if lender is not None:
                    found.setdefault(lender, []).append(wish)
                    need.sides[part].asked = now
                    asked = True
            if asked:
                need.lack = 0
        return found

    def _stir(self, need: Need) -> None:
        """An extra go was refused, the last coin spent, or a request came after an idle time."""
        need.due = 0.0
        self._news.set()

    def _look(self, need: Need, budget: budgets.Budget, now: float) -> None:
        """See what came in and what was spent since we last looked."""
        window = self._config.extra_window_s
        if budget.requests != need.requests:
            need.active = now
        if (budget.taken, budget.refused) != (need.taken, need.refused):
            if now - need.pressed >= window:
                # Whoever waited long because nothing pressed need not any more.
                need.sides = _sides()
            need.pressed = now
        need.lack += budget.refused - need.refused
        need.requests, need.taken, need.refused = budget.requests, budget.taken, budget.refused
        budget.idle = now - need.active >= window

    def _wants(self, need: Need, budget: budgets.Budget, now: float) -> list[int]:
        """How much we want of each part."""
        wants = [NOTHING] * slots.PARTS
        if self._over or budget.idle:
            return wants
        if now - need.pressed < self._config.extra_window_s:
            want = math.ceil(budget.owed(now)) + need.lack + 1
            return [min(max(QUIET + 1, want), WANT_MOST)] * slots.PARTS
        wants[(self._home + need.turn) % slots.PARTS] = QUIET
        return wants

    def _lender(
        self, wish: Wish, need: Need, cores: typing.Mapping[str, ports.Address], now: float
    ) -> Lender | None:
        """The registry to ask now, if it is time to, and it is known and not at work for us."""
        side = need.sides[wish.part]
        due = side.asked + (side.haste if need.lack else side.rest)
        if wish.want != NOTHING and now < due:
            need.due = min(need.due, due)
            return None
        entry = self._timeline.get(timelines.FENCE, str(wish.slot))
        name = "" if entry is None else str(entry.fields["owner"]).rpartition("/")[0]
        if name in cores and name not in self._flying:
            return Lender(name, cores[name])
        need.due = min(need.due, now + self._config.tick_interval_s)
        return None

    # Asking.

    async def _ask(self, lender: Lender, wishes: list[Wish]) -> None:
        """One call to one lender, and what comes of it."""
        # What we are lent runs from here on: the lender counts from when it answers.
        now = self._clock.now()
        self._turn += 1
        self.counts["loans_asked"] += len(wishes)
        pairs = [(wish, self._lookup()[wish.service]) for wish in wishes]
        for wish, budget in pairs:
            # Given back before it is said: from here on we hold ourselves to it.
            if wish.want == NOTHING:
                budget.lend(wish.part, 0, now)
        asks = [[w.service, w.part, w.want, b.part(w.part, now), b.bound(w.part, now)] for w, b in pairs]
        body: frames.Body = {"who": self._who, "turn": self._turn, "asks": asks}
        try:
            result = await self._call_client.call(lender.address, "borrow", body, self._config.call_timeout_s)
        finally:
            self._flying.discard(lender.name)
        page = result.value if isinstance(result, outcome.Success) else {}
        loans = page.get("loans")
        if not isinstance(loans, list) or len(loans) != len(wishes):
            loans = [[]] * len(wishes)
        for (wish, budget), loan in zip(pairs, loans):
            if wish.want != NOTHING and not self._over:
                self._settle(
                    wish, budget, self._coins(wish, loan), now + _span(page, self._config.loan_duration_s)
                )

    def _coins(self, wish: Wish, loan: object) -> int | None:
        """What a lender said to one wish; nothing where it could not say, or is the lender no more."""
        if not isinstance(loan, (list, tuple)) or len(loan) != 2:
            return None
        coins, fence = loan
        if not isinstance(coins, int) or not isinstance(fence, int) or not 0 <= coins <= WANT_MOST:
            return None
        entry = self._timeline.get(timelines.FENCE, str(wish.slot))
        return None if entry is not None and int(entry.fields["fence"]) > fence else coins

    def _settle(self, wish: Wish, budget: budgets.Budget, coins: int | None, end: float) -> None:
        """Take up what a lender said, and settle when to ask it again."""
        now = self._clock.now()
        need = self._needs[wish.service]
        side = need.sides[wish.part]
        had = budget.part(wish.part, now)
        later = min(max(side.haste, self._config.tick_interval_s) * LONGER, self._renew)
        need.due = min(need.due, now)
        if coins is None:
            side.haste = side.rest = later
        else:
            budget.lend(wish.part, coins, end)
            # Where it grew more may be had at once.
            side.haste = self._config.tick_interval_s if coins > had else later
        if coins:
            self.counts["loans_got"] += 1
            self._since = now if self._since is None else self._since
            side.rest = self._renew
            return
        self.counts["loans_refused"] += 1
        if wish.want == QUIET and not budget.part(wish.part, now):
            # Another may have some for us.
            need.turn += 1
        if coins is not None:
            # With none anywhere, who misses none asks less and less often.
            longer = min(max(side.rest, self._renew) * LONGER, self._config.loan_duration_s * REST_MOST)
            side.rest = longer if wish.want == QUIET else self._renew


def _span(page: frames.Body, most: float) -> float:
    """For how long a lender lends, as far as that can be."""
    span = page.get("span")
    if isinstance(span, bool) or not isinstance(span, (int, float)) or not span > 0:
        return 0.0
    # Compared before it is converted: a whole number may be too large for a float.
    return float(min(span, most))
