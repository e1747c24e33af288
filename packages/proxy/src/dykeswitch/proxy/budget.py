"""The budget of extra go's: what this proxy may spend of what registries lend."""

import collections
import math
import typing

import dykeswitch.settings as settings

# Fractions of coins that are no more than rounding.
CRUMB: typing.Final = 1e-9


class Loan(typing.NamedTuple):
    """Coins of one part of a service's floor, ours until a moment of our own clock."""

    coins: int
    end: float


def _nobody() -> None:
    """Nobody borrows for this service yet."""


class Budget:
    """Extra go's toward one service.

    Each extra go owes a coin. A request pays a share of one back, and what is not paid
    back falls away once it has left the window. As no more is ever owed than is lent, in
    any window: extras <= share x requests in the window + what all proxies may owe.
    """

    def __init__(self, config: settings.Settings, borrowing_since: typing.Callable[[], float | None]) -> None:
        self._share = config.extra_share
        self._attempt_counts_s = config.attempt_counts_s
        # Since when we borrow at all, if we do.
        self._borrowing_since = borrowing_since
        self._loans: dict[int, Loan] = {}
        # When each coin was spent, and how much of it is owed; the oldest first.
        self._owed: collections.deque[tuple[float, float]] = collections.deque()
        self._sum = 0.0
        self.requests = 0
        self.taken = 0
        self.refused = 0
        # Called when a loan is missed; and whether the next request is to call it.
        self.stir: typing.Callable[[], None] = _nobody
        self.idle = True

    def request(self) -> None:
        """A caller's request came in for the service."""
        self.requests += 1
        if self.idle:
            self.idle = False
            self.stir()
        left = self._share
        # The newest first: the oldest will fall away by itself before long.
        while self._owed and left > CRUMB:
            at, owed = self._owed.pop()
            paid = min(owed, left)
            left -= paid
            self._sum -= paid
            if owed - paid > CRUMB:
                self._owed.append((at, owed - paid))

    def affords(self, now: float) -> bool:
        """Whether one more extra attempt could be paid for now."""
        return self._borrowing_since() is not None and self.owed(now) + 1 <= self.lent(now) + CRUMB

    def take(self, now: float) -> bool:
        """Whether one more extra go may be made, and if so it is counted."""
        if not self.affords(now):
            self.refused += 1
            self.stir()
            return False
        self.taken += 1
        self._owed.append((now, 1.0))
        self._sum += 1.0
        if self._sum + 1 > self.lent(now) + CRUMB:
            # That was the last one: the next should find another.
            self.stir()
        return True

    def owed(self, now: float) -> float:
        """Coins spent within the window that no request has paid back."""
        while self._owed and now - self._owed[0][0] >= self._attempt_counts_s:
            self._sum -= self._owed.popleft()[1]
        if not self._owed:
            self._sum = 0.0
        return self._sum

    def lent(self, now: float) -> int:
        """Coins lent to us now, by all lenders together."""
        return sum(self.part(part, now) for part in self._loans)

    def part(self, part: int, now: float) -> int:
        """Coins of one part lent to us now."""
        loan = self._loans.get(part)
        return loan.coins if loan is not None and now < loan.end else 0

    def lend(self, part: int, coins: int, end: float) -> None:
        """Take up a loan of one part, in place of the one before."""
        if coins:
            self._loans[part] = Loan(coins, end)
        else:
            self._loans.pop(part, None)

    def bound(self, part: int, now: float) -> int:
        """How much of one part's coins we hold ourselves to from now on, until we hear of a loan.

        What we owe beyond all that is lent to us now was lent by some part that shrank or ended
        since. Nobody knows which: it is told to each.
        """
        over = math.ceil(self.owed(now) - self.lent(now) - CRUMB)
        return self.part(part, now) + max(0, over)
