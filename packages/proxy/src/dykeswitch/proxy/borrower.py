"""The borrower: borrows the retry tokens for this proxy's extra attempts from the registries.

One call to a lender carries the loan requests for all services; see docs/lending.md.
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

# Share of a loan's duration after which the loan is renewed.
RENEW_AFTER_SHARE: typing.Final = 1 / 3
# Factor by which the wait grows after each refusal, and the longest wait while no extra attempts are
# needed, in loan durations.
BACKOFF_FACTOR: typing.Final = 2
MAX_WAIT_LOANS: typing.Final = 32
# What a loan request may want: nothing, a few tokens in reserve, or a number of tokens from 2 up.
WANT_NOTHING: typing.Final = 0
WANT_RESERVE: typing.Final = 1
MAX_WANT: typing.Final = 100_000

Lookup = typing.Callable[[], typing.Mapping[str, budgets.Budget]]


@dataclasses.dataclass(slots=True)
class PartState:
    """The timing of loan requests for one part of one service's floor."""

    asked_at: float = -1e9
    # Waits between two requests: while extra attempts are refused, and otherwise.
    urgent_wait_s: float = 0.0
    usual_wait_s: float = 0.0


def _new_parts() -> list[PartState]:
    return [PartState() for _ in range(slots.PARTS)]


@dataclasses.dataclass(slots=True)
class Demand:
    """The demand for extra attempts of one service."""

    # The budget's counters at the last update, and when they last changed.
    requests: int = 0
    taken: int = 0
    refused: int = 0
    requested_at: float = -1e9
    retried_at: float = -1e9
    # Extra attempts refused since the last loan request.
    refused_since_ask: int = 0
    # The part to borrow a reserve from, as an offset from this proxy's home part.
    part_offset: int = 0
    # When to check the demand again.
    due_at: float = 0.0
    parts: list[PartState] = dataclasses.field(default_factory=_new_parts)


class LoanRequest(typing.NamedTuple):
    """A request for a loan of one part of one service's floor."""

    service: str
    part: int
    want: int
    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lender:
    """A registry that lends tokens, with its address as known when it was chosen."""

    name: str
    address: ports.Address


class Borrower:
    """Borrows retry tokens for every service that this proxy carries requests to."""

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
        # A restarted proxy is a new borrower: the loans of the earlier process still count.
        self._borrower_id = f"{name}/{boot_id}"
        self._home_part = zlib.crc32(name.encode()) % slots.PARTS
        self._config = config
        self._renew_interval_s = config.loan_duration_s * RENEW_AFTER_SHARE
        self._clock = timeline.clock
        self._timeline = timeline
        self._call_client = call_client
        self._cores = cores
        self._lookup = lookup
        self._demands: dict[str, Demand] = {}
        # Names of the lenders with a call in progress.
        self._calling: set[str] = set()
        self._sequence = 0
        self._wake_up = asyncio.Event()
        self._borrowing_since: float | None = None
        self._stopped = False
        self.counts: dict[str, int] = {"loans_asked": 0, "loans_got": 0, "loans_refused": 0}

    def borrowing_since(self) -> float | None:
        """Return the time of the first loan, or None if there has been none."""
        return self._borrowing_since

    def borrowed(self) -> int:
        """Return the tokens that are lent to this proxy now, for all services together."""
        now = self._clock.now()
        return sum(budget.lent(now) for budget in self._lookup().values())

    async def run(self) -> None:
        """Send the due loan requests at each tick, and at once when tokens run out."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._wake_up.clear()
                for lender, requests in self._due_requests().items():
                    self._calling.add(lender.name)
                    group.create_task(self._call(lender, requests))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._config.tick_interval_s):
                        await self._wake_up.wait()
                # Collects the requests of the same moment into one call.
                await self._clock.sleep(self._config.tick_interval_s / 20)

    async def give_back(self) -> None:
        """Stop spending and return all loans, so that unspent tokens can be lent to others at once.

        Waits only for a moment, since a lender that does not answer must not delay an orderly stop.
        """
        self._stopped = True
        self._borrowing_since = None
        self._calling.clear()
        for demand in self._demands.values():
            demand.due_at = 0.0
        calls = [self._call(lender, requests) for lender, requests in self._due_requests().items()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._config.tick_interval_s):
                await asyncio.gather(*calls)

    # Choosing the loan requests.

    def _due_requests(self) -> dict[Lender, list[LoanRequest]]:
        """Return the loan requests that are due, by lender."""
        now = self._clock.now()
        found: dict[Lender, list[LoanRequest]] = {}
        cores: dict[str, ports.Address] = {}
        for service, budget in self._lookup().items():
            demand = self._demands.get(service)
            if demand is None:
                demand = self._demands[service] = Demand()
                budget.wake_borrower = functools.partial(self._wake, demand)
            if now < demand.due_at:
                continue
            cores = cores or self._cores()
            self._update_demand(demand, budget, now)
            # With an idle service and nothing to give back, the next request wakes the borrower.
            demand.due_at = math.inf if budget.idle else now + self._renew_interval_s
            asked = False
            for part, want in enumerate(self._wanted_tokens(demand, budget, now)):
                if want == WANT_NOTHING and not budget.part(part, now):
                    continue
                request = LoanRequest(service, part, want, slots.lend_slot(service, part))
                lender = self._lender_for(request, demand, cores, now)
                if lender is not None:
                    found.setdefault(lender, []).append(request)
                    demand.parts[part].asked_at = now
                    asked = True
            if asked:
                demand.refused_since_ask = 0
        return found

    def _wake(self, demand: Demand) -> None:
        """Check the demand now: the budget ran out of tokens, or a request came after an idle time."""
        demand.due_at = 0.0
        self._wake_up.set()

    def _update_demand(self, demand: Demand, budget: budgets.Budget, now: float) -> None:
        """Update the demand from the budget's counters."""
        window = self._config.extra_window_s
        if budget.requests != demand.requests:
            demand.requested_at = now
        if (budget.taken, budget.refused) != (demand.taken, demand.refused):
            if now - demand.retried_at >= window:
                # The waits grew while no extra attempts were needed, so they no longer apply.
                demand.parts = _new_parts()
            demand.retried_at = now
        demand.refused_since_ask += budget.refused - demand.refused
        demand.requests, demand.taken, demand.refused = budget.requests, budget.taken, budget.refused
        budget.idle = now - demand.requested_at >= window

    def _wanted_tokens(self, demand: Demand, budget: budgets.Budget, now: float) -> list[int]:
        """Return the wanted tokens of each part."""
        wants = [WANT_NOTHING] * slots.PARTS
        if self._stopped or budget.idle:
            return wants
        if now - demand.retried_at < self._config.extra_window_s:
            want = math.ceil(budget.owed(now)) + demand.refused_since_ask + 1
            return [min(max(WANT_RESERVE + 1, want), MAX_WANT)] * slots.PARTS
        wants[(self._home_part + demand.part_offset) % slots.PARTS] = WANT_RESERVE
        return wants

    def _lender_for(
        self, request: LoanRequest, demand: Demand, cores: typing.Mapping[str, ports.Address], now: float
    ) -> Lender | None:
        """Return the registry to call now.

        Returns None if the wait since the last request is not over, or if the lender is not known or
        has a call of this proxy in progress.
        """
        state = demand.parts[request.part]
        due_at = state.asked_at + (state.urgent_wait_s if demand.refused_since_ask else state.usual_wait_s)
        if request.want != WANT_NOTHING and now < due_at:
            demand.due_at = min(demand.due_at, due_at)
            return None
        entry = self._timeline.get(timelines.FENCE, str(request.slot))
        name = "" if entry is None else str(entry.fields["owner"]).rpartition("/")[0]
        if name in cores and name not in self._calling:
            return Lender(name, cores[name])
        demand.due_at = min(demand.due_at, now + self._config.tick_interval_s)
        return None

    # Calling lenders.

    async def _call(self, lender: Lender, requests: list[LoanRequest]) -> None:
        """Send loan requests to one lender in one call, and apply its reply."""
        # Here a loan's time starts before the call is sent. The lender's time starts at its reply,
        # so the lender never counts the loan as over before this proxy does.
        now = self._clock.now()
        self._sequence += 1
        self.counts["loans_asked"] += len(requests)
        pairs = [(request, self._lookup()[request.service]) for request in requests]
        for request, budget in pairs:
            # Given back before the lender is informed: this proxy is bound by it from here on.
            if request.want == WANT_NOTHING:
                budget.lend(request.part, 0, now)
        asks = [[r.service, r.part, r.want, b.part(r.part, now), b.bound(r.part, now)] for r, b in pairs]
        body: frames.Body = {"who": self._borrower_id, "turn": self._sequence, "asks": asks}
        try:
            result = await self._call_client.call(lender.address, "borrow", body, self._config.call_timeout_s)
        finally:
            self._calling.discard(lender.name)
        reply = result.value if isinstance(result, outcome.Success) else {}
        loans = reply.get("loans")
        if not isinstance(loans, list) or len(loans) != len(requests):
            loans = [[]] * len(requests)
        for (request, budget), loan in zip(pairs, loans):
            if request.want != WANT_NOTHING and not self._stopped:
                self._apply_loan(
                    request,
                    budget,
                    self._lent_tokens(request, loan),
                    now + _loan_duration_s(reply, self._config.loan_duration_s),
                )

    def _lent_tokens(self, request: LoanRequest, loan: object) -> int | None:
        """Return the tokens lent for one request.

        Returns None if the reply does not decide the request, or if its sender is no longer the lender.
        """
        if not isinstance(loan, (list, tuple)) or len(loan) != 2:
            return None
        tokens, fence = loan
        if not isinstance(tokens, int) or not isinstance(fence, int) or not 0 <= tokens <= MAX_WANT:
            return None
        entry = self._timeline.get(timelines.FENCE, str(request.slot))
        return None if entry is not None and int(entry.fields["fence"]) > fence else tokens

    def _apply_loan(
        self, request: LoanRequest, budget: budgets.Budget, tokens: int | None, expires_at: float
    ) -> None:
        """Apply a lender's reply to one request, and set the waits until the next request."""
        now = self._clock.now()
        demand = self._demands[request.service]
        state = demand.parts[request.part]
        tokens_before = budget.part(request.part, now)
        backoff_s = min(
            max(state.urgent_wait_s, self._config.tick_interval_s) * BACKOFF_FACTOR, self._renew_interval_s
        )
        demand.due_at = min(demand.due_at, now)
        if tokens is None:
            state.urgent_wait_s = state.usual_wait_s = backoff_s
        else:
            budget.lend(request.part, tokens, expires_at)
            # A loan that grew may grow further at once.
            state.urgent_wait_s = self._config.tick_interval_s if tokens > tokens_before else backoff_s
        if tokens:
            self.counts["loans_got"] += 1
            self._borrowing_since = now if self._borrowing_since is None else self._borrowing_since
            state.usual_wait_s = self._renew_interval_s
            return
        self.counts["loans_refused"] += 1
        if request.want == WANT_RESERVE and not budget.part(request.part, now):
            # Another part may have tokens left.
            demand.part_offset += 1
        if tokens is not None:
            # While no part has tokens left, a proxy that needs none asks less and less often.
            longer_s = min(
                max(state.usual_wait_s, self._renew_interval_s) * BACKOFF_FACTOR,
                self._config.loan_duration_s * MAX_WAIT_LOANS,
            )
            state.usual_wait_s = longer_s if request.want == WANT_RESERVE else self._renew_interval_s


def _loan_duration_s(reply: frames.Body, max_s: float) -> float:
    """Return a loan's duration from a lender's reply: at most `max_s`, and 0 if it is not valid."""
    duration_s = reply.get("span")
    if isinstance(duration_s, bool) or not isinstance(duration_s, (int, float)) or not duration_s > 0:
        return 0.0
    # Limited before the conversion, since an integer may be too large for a float.
    return float(min(duration_s, max_s))
