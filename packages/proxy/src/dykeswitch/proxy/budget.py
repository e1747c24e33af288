"""The budget of extra attempts: the retry tokens that registries lend to this proxy."""

import collections
import math
import typing

import dykeswitch.settings as settings

# Fractions of a token up to this are rounding errors.
ROUNDING_TOLERANCE: typing.Final = 1e-9


class Loan(typing.NamedTuple):
    """Tokens of one part of a service's floor, lent until a time on this proxy's clock."""

    tokens: int
    expires_at: float


def _ignore() -> None:
    """Do nothing: no borrower is attached to the budget yet."""


class Budget:
    """Budget of extra attempts for one service.

    Each extra attempt incurs a debt of one token. A request pays back a share of a token, and a debt
    that is not paid back lapses once it has left the window. The debt never exceeds the tokens that
    are lent, so in any window: extra attempts <= share x requests in the window + the most that all
    proxies may owe.
    """

    def __init__(self, config: settings.Settings, borrowing_since: typing.Callable[[], float | None]) -> None:
        self._share = config.extra_share
        self._attempt_counts_s = config.attempt_counts_s
        # Returns the time since when this proxy borrows, or None.
        self._borrowing_since = borrowing_since
        self._loans: dict[int, Loan] = {}
        # The time of each extra attempt and its debt that is left, the oldest first.
        self._debts: collections.deque[tuple[float, float]] = collections.deque()
        self._total_debt = 0.0
        self.requests = 0
        self.taken = 0
        self.refused = 0
        # Called when a loan is needed. While `idle` is set, the next request calls it as well.
        self.wake_borrower: typing.Callable[[], None] = _ignore
        self.idle = True

    def record_request(self) -> None:
        """Record a client's request for the service."""
        self.requests += 1
        if self.idle:
            self.idle = False
            self.wake_borrower()
        left = self._share
        # Newest debts first, since the oldest ones will soon lapse without a payment.
        while self._debts and left > ROUNDING_TOLERANCE:
            spent_at, debt = self._debts.pop()
            paid = min(debt, left)
            left -= paid
            self._total_debt -= paid
            if debt - paid > ROUNDING_TOLERANCE:
                self._debts.append((spent_at, debt - paid))

    def affords(self, now: float) -> bool:
        """Return whether the budget covers one more extra attempt."""
        return (
            self._borrowing_since() is not None and self.owed(now) + 1 <= self.lent(now) + ROUNDING_TOLERANCE
        )

    def take(self, now: float) -> bool:
        """Spend a token on an extra attempt; return False if the budget does not cover it."""
        if not self.affords(now):
            self.refused += 1
            self.wake_borrower()
            return False
        self.taken += 1
        self._debts.append((now, 1.0))
        self._total_debt += 1.0
        if self._total_debt + 1 > self.lent(now) + ROUNDING_TOLERANCE:
            # That was the last token: borrow more for the next extra attempt.
            self.wake_borrower()
        return True

    def owed(self, now: float) -> float:
        """Return the tokens spent within the window that no request has paid back."""
        while self._debts and now - self._debts[0][0] >= self._attempt_counts_s:
            self._total_debt -= self._debts.popleft()[1]
        if not self._debts:
            self._total_debt = 0.0
        return self._total_debt

    def lent(self, now: float) -> int:
        """Return the tokens that all lenders together lend to this proxy now."""
        return sum(self.part(part, now) for part in self._loans)

    def part(self, part: int, now: float) -> int:
        """Return the tokens of one part that are lent to this proxy now."""
        loan = self._loans.get(part)
        return loan.tokens if loan is not None and now < loan.expires_at else 0

    def lend(self, part: int, tokens: int, expires_at: float) -> None:
        """Replace the loan of one part."""
        if tokens:
            self._loans[part] = Loan(tokens, expires_at)
        else:
            self._loans.pop(part, None)

    def bound(self, part: int, now: float) -> int:
        """Return the most tokens of one part that this proxy may owe until the next loan arrives.

        A debt beyond the current loans stems from a loan that has shrunk or ended since. It is not known
        which part that loan was of, so the excess is reported to the lender of each part.
        """
        excess = math.ceil(self.owed(now) - self.lent(now) - ROUNDING_TOLERANCE)
        return self.part(part, now) + max(0, excess)
