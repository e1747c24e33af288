"""The lender: lends proxies the tokens that retries are paid with, never more than there are.

A service's floor (the setting `extra_floor`) is divided into parts, and each part is lent by one
registry. docs/lending.md has the sum that must never be exceeded, and the alternatives considered.
"""

import dataclasses
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.duties as duties
import dykeswitch.settings as settings
import dykeswitch.timeline.slots as slots

# The share of a service's floor that is lent; the rest covers requests in transit as a window begins.
LENT_SHARE: typing.Final = 0.95
# A borrower that had no retry recently gets a small reserve, of at most so many tokens; all reserves
# together are limited to a share of the part, so that some is left for borrowers that need it.
MAX_RESERVE: typing.Final = 3
RESERVE_SHARE: typing.Final = 0.75
# What a loan request may want: no tokens, a small reserve, or this number of tokens (two and more).
WANT_NONE: typing.Final = 0
WANT_RESERVE: typing.Final = 1
MAX_COUNT: typing.Final = 1_000_000


@dataclasses.dataclass(slots=True)
class Account:
    """What one borrower may still owe of one part, and its last request."""

    last_sequence: int = -1
    last_want: int = 0
    last_granted: int = 0
    requested_at: float = -1e9
    # Numbers of tokens, each with the time until which it may be owed.
    debts: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def owed(self, now: float) -> int:
        """The most that may be owed now."""
        return max((tokens for tokens, until in self.debts if until > now), default=0)

    def is_demanding(self, now: float, window_s: float) -> bool:
        """Whether the borrower asked for more than a reserve within the last `window_s`."""
        return self.last_want > WANT_RESERVE and now - self.requested_at < window_s

    def limit_to(self, bound: int, now: float) -> None:
        """Lower the debts to the bound that the borrower has promised to observe."""
        self.debts = [(min(tokens, bound), until) for tokens, until in self.debts if until > now and bound]

    def record_loan(self, tokens: int, until: float) -> None:
        # Debts that end sooner and are no larger are covered by this one.
        self.debts = [debt for debt in self.debts if debt[0] > tokens]
        self.debts.append((tokens, until))


@dataclasses.dataclass(slots=True)
class LoanTable:
    """The borrowers' accounts for the services of one slot, under one fence."""

    fence: int
    services: dict[str, dict[str, Account]] = dataclasses.field(default_factory=dict)


class LoanRequest(typing.NamedTuple):
    """One borrower's request for tokens of one part of one service's floor."""

    service: str
    part: int
    want: int
    # What is lent to it now, and the bound it observes until it has an answer.
    lent: int
    bound: int


def read_loan_request(raw: object) -> LoanRequest:
    """Read a loan request from a call's body; raises `ValueError` if it is malformed."""
    if not isinstance(raw, (list, tuple)) or len(raw) != 5 or not isinstance(raw[0], str):
        raise ValueError("loan request: must be a service and four counts")
    counts = raw[1:]
    if any(not isinstance(n, int) or isinstance(n, bool) or not 0 <= n <= MAX_COUNT for n in counts):
        raise ValueError(f"loan request: counts must be integers from 0 to {MAX_COUNT}")
    if counts[0] >= slots.PARTS:
        raise ValueError(f"loan request: part must be below {slots.PARTS}")
    return LoanRequest(raw[0], *counts)


class Lender:
    """Lends tokens for the services of the slots that this registry owns."""

    def __init__(self, config: settings.Settings, clock: ports.Clock, assignments: duties.Duties) -> None:
        self._config = config
        self._clock = clock
        self._assignments = assignments
        self._tables: dict[int, LoanTable] = {}
        # How many requests were granted tokens, refused for lack of tokens, or left unanswered.
        self.granted_count = 0
        self.refused_count = 0
        self.ignored_count = 0

    def kinds(self) -> dict[str, frames.Handler]:
        return {"borrow": self._on_borrow, "loans": self._on_loans}

    def part_tokens(self, part: int) -> int:
        """How many tokens of a service's floor belong to one part."""
        total = int(self._config.extra_floor * LENT_SHARE)
        return (total + slots.PARTS - 1 - part) // slots.PARTS

    async def _on_borrow(self, body: frames.Body) -> frames.Result:
        borrower, sequence = str(body["who"])[:256], int(body["turn"])
        requests = [read_loan_request(raw) for raw in body["asks"]]
        # Nothing is awaited from here to the answer, so that a confirmed fence stays confirmed.
        loans = [self._grant(borrower, sequence, request) for request in requests]
        return outcome.Success({"span": self._config.loan_duration_s, "loans": loans})

    def _grant(self, borrower: str, sequence: int, request: LoanRequest) -> list[int]:
        """The tokens lent and the fence; empty if the request can't be answered here."""
        slot = slots.lend_slot(request.service, request.part)
        ownership = self._assignments.ownership(slot)
        if ownership is None:
            self.ignored_count += 1
            return []
        now = self._clock.now()
        table = self._tables.get(slot)
        if table is None or table.fence != ownership.fence:
            # Another registry may have lent in the meantime, so the old accounts are worthless.
            table = self._tables[slot] = LoanTable(ownership.fence)
        accounts = table.services.setdefault(request.service, {})
        account = accounts.get(borrower) or Account()
        if sequence <= account.last_sequence:
            # A late or repeated request: what it reports about the borrower is out of date.
            self.ignored_count += 1
            return []
        account.last_sequence, account.requested_at, account.last_want = sequence, now, request.want
        account.limit_to(request.bound, now)
        until = now + self._config.loan_duration_s + self._config.loan_lapse_s
        tokens = 0
        if request.want != WANT_NONE:
            tokens = self._grantable(
                accounts, borrower, account, request, now, self._takeover_wait_s(ownership) > 0
            )
        if tokens:
            account.record_loan(tokens, until)
            self.granted_count += 1
        elif request.want != WANT_NONE:
            self.refused_count += 1
        account.last_granted = tokens
        accounts[borrower] = account
        _remove_settled(table, request.service, now, self._config.loan_duration_s)
        return [tokens, ownership.fence]

    def _takeover_wait_s(self, ownership: duties.Ownership) -> float:
        """How long until no loan of the slot's previous owner can be outstanding."""
        if ownership.fence == 1:
            return 0.0
        return max(0.0, ownership.since + self._config.takeover_wait_s - self._clock.now())

    def _grantable(
        self,
        accounts: dict[str, Account],
        borrower: str,
        account: Account,
        request: LoanRequest,
        now: float,
        taking_over: bool,
    ) -> int:
        """How many tokens a borrower may have now."""
        if taking_over:
            # What the previous lender lent it is outstanding anyway, and may stay so.
            lent = min(request.lent, self.part_tokens(request.part))
            if borrower in accounts:
                return min(lent, account.owed(now))
            account.record_loan(request.bound, now + self._config.loan_lapse_s)
            return lent
        total = self.part_tokens(request.part)
        others = {name: a for name, a in accounts.items() if name != borrower}
        owed_by_others = sum(a.owed(now) for a in others.values())
        demanding = [a for a in others.values() if a.is_demanding(now, self._config.loan_duration_s)]
        fair_share = max(1, total // (len(demanding) + 1))
        others_short = any(a.last_granted < min(a.last_want, fair_share) for a in demanding)
        if request.want == WANT_RESERVE:
            reserve_total = int(total * RESERVE_SHARE)
            reserves = sum(1 for a in others.values() if a.last_want == WANT_RESERVE and a.owed(now))
            reserve = 1 if others_short else min(MAX_RESERVE, max(1, reserve_total // (reserves + 1)))
            return max(0, min(reserve, reserve_total - owed_by_others))
        available = max(0, total - owed_by_others)
        if others_short:
            return min(request.want, fair_share, available)
        # Half of what is free, so that the next borrower finds some.
        owed = min(account.owed(now), available)
        return min(request.want, owed + (available - owed + 1) // 2)

    def remove_expired(self) -> None:
        """Remove expired loans, also of services that nobody borrows for any more."""
        now = self._clock.now()
        for table in self._tables.values():
            for service in list(table.services):
                _remove_settled(table, service, now, self._config.loan_duration_s)

    async def _on_loans(self, body: frames.Body) -> frames.Result:
        return outcome.Success({"rows": self.rows()})

    def rows(self) -> list[list[typing.Any]]:
        """For each service and part: lender, fence, borrowers, tokens lent, owed and in all, wait left."""
        now = self._clock.now()
        rows: list[list[typing.Any]] = []
        for slot, table in sorted(self._tables.items()):
            ownership = self._assignments.ownership(slot)
            if ownership is None or ownership.fence != table.fence:
                continue
            part = (slot - slots.PROBE) // slots.BUCKETS
            for service, accounts in sorted(table.services.items()):
                owed = [a.owed(now) for a in accounts.values()]
                lent = [
                    max(
                        (tokens for tokens, until in a.debts if until - self._config.loan_lapse_s > now),
                        default=0,
                    )
                    for a in accounts.values()
                ]
                wait_s = round(self._takeover_wait_s(ownership), 1)
                borrowers = sum(1 for n in lent if n)
                sums = [sum(lent), sum(owed), self.part_tokens(part)]
                rows.append([service, part, self._config.name, table.fence, borrowers, *sums, wait_s])
        return rows

    def sums(self) -> tuple[int, int]:
        """The tokens lent now, and all that may still be owed."""
        rows = self.rows()
        return sum(row[5] for row in rows), sum(row[6] for row in rows)


def _remove_settled(table: LoanTable, service: str, now: float, window_s: float) -> None:
    """Remove the accounts that owe nothing and were not demanding recently."""
    accounts = table.services[service]
    for name, account in list(accounts.items()):
        if not account.is_demanding(now, window_s) and not account.owed(now):
            del accounts[name]
    if not accounts:
        del table.services[service]
