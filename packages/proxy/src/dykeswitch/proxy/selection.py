"""Selects the unmarked endpoint that is expected to answer a request first.

The requirements allow any unmarked endpoint ("How Passive Health Checks Work"); the choice among
them is free.
"""

import dataclasses
import math
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.proxy.preference as preference
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# Weight of the prior estimate in a mean, in samples.
PRIOR_WEIGHT: typing.Final = 4.0
# Approximate number of responses that a decaying mean covers.
MEAN_SAMPLES: typing.Final = 24.0
# Random addition to each cost, as a share of the typical service time. Endpoints whose costs differ
# by less are chosen among at random, so that proxies do not all pick the same one.
RANDOM_COST_SHARE: typing.Final = 0.1
# Service time assumed before the first response, as a share of the longest allowed request.
INITIAL_SERVICE_TIME_SHARE: typing.Final = 1 / 300
# Number of endpoints that one selection considers, and how many of them may be of the proxy's own
# zone. The limits keep the work of a selection, and the connections that each endpoint gets,
# independent of the number of endpoints of a service.
MAX_SUBSET_SIZE: typing.Final = 16
MAX_SUBSET_NEAR: typing.Final = 12
# Cost of one recent failure, in typical service times, and the most failures that count. One proxy
# of many sees too few requests to an endpoint to mark it soon, and others may be as good.
FAILURE_COST: typing.Final = 1.0
MAX_FAILURES: typing.Final = 4.0
# Factor on the service time of an endpoint that has just started.
WARM_UP_FACTOR: typing.Final = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A planned pause of an endpoint, as a proxy applies it."""

    endpoint: str
    reason: str


@dataclasses.dataclass(slots=True)
class ServiceTime:
    """Decaying mean of the time that a request takes without queueing, in seconds."""

    total: float = 0.0
    count: float = 0.0

    def add(self, duration_s: float) -> None:
        fade = 1 - 1 / MEAN_SAMPLES
        self.total = self.total * fade + duration_s
        self.count = self.count * fade + 1

    def mean(self, prior: float) -> float:
        return (self.total + prior * PRIOR_WEIGHT) / (self.count + PRIOR_WEIGHT)


@dataclasses.dataclass(slots=True)
class EndpointState:
    """What one proxy knows of the load and the failures of an endpoint."""

    service_time: ServiceTime = dataclasses.field(default_factory=ServiceTime)
    # Requests of other proxies at the endpoint: the last reported number, the time of that report,
    # and the mean number.
    other_requests: float = 0.0
    reported_at: float = -1e9
    mean_other_requests: float = 0.0
    slots: int = 0
    # The endpoint has just started and is slow until this time.
    warm_until: float = -1e9
    # The decaying number of failures, and the time up to which it has decayed.
    failures: float = 0.0
    failed_at: float = -1e9


class Selector:
    """Selects an endpoint for an attempt."""

    def __init__(
        self,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        config: settings.Settings,
        rng: random.Random,
    ) -> None:
        self._timeline = timeline
        self._marks = marks
        self._config = config
        self._zone = config.zone
        self._rng = rng
        # Number of this proxy's attempts in flight, by endpoint.
        self.in_flight: dict[str, int] = {}
        self.paused: typing.Callable[[str], str | None] = lambda endpoint: None
        self._services: dict[str, set[str]] = {}
        self._preferences = preference.Preferences(config.name, config.zone)
        self._endpoints: dict[str, EndpointState] = {}
        self._service_times: dict[str, ServiceTime] = {}
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        if entry.kind != timelines.ENDPOINT:
            return
        for names in self._services.values():
            names.discard(entry.key)
        self._preferences.apply(entry)
        if entry.fields["state"] == timelines.UP:
            self._services.setdefault(str(entry.fields["service"]), set()).add(entry.key)
            state = self._endpoints.setdefault(entry.key, EndpointState())
            state.slots = int(entry.fields.get("slots", 0)) or state.slots
            warm_s = float(entry.fields.get("warm", 0.0))
            if warm_s and state.warm_until < 0:
                state.warm_until = self._timeline.clock.now() + warm_s
        elif entry.fields["state"] in timelines.FINAL_STATES:
            self._endpoints.pop(entry.key, None)

    def up(self, service: str) -> list[timelines.Entry]:
        """Return the endpoints of a service that have neither left nor lapsed and are not paused."""
        found = []
        for name in sorted(self._services.get(service, ())):
            entry = self._timeline.get(timelines.ENDPOINT, name)
            if entry is not None and entry.fields["state"] == timelines.UP and self.paused(name) is None:
                found.append(entry)
        return found

    def usable(self, endpoint: timelines.Entry) -> bool:
        """Return whether requests may still be sent to a selected endpoint."""
        now = self._timeline.get(timelines.ENDPOINT, endpoint.key)
        return (
            now is not None
            and now.fields["state"] == timelines.UP
            and now.fields["address"] == endpoint.fields["address"]
            and now.fields["service"] == endpoint.fields["service"]
            and self.paused(endpoint.key) is None
        )

    def select(self, service: str, tried: set[str], aim_s: float | None = None) -> timelines.Entry | None:
        """Return the endpoint for the next attempt of an exchange, or None if there is none."""
        subset = self._subset(service, tried)
        if subset:
            return self._earliest_to_finish(service, subset, aim_s)
        every = self.up(service)
        if any(self._marks.mark_of(e.key) is None for e in every):
            # This exchange has tried all unmarked endpoints already.
            return None
        # The requirements do not say what to do when every endpoint is marked. Sending nothing
        # would turn a wrong mark into an outage, so the request goes to the endpoint whose mark
        # ends first. Each exchange tries an endpoint at most once.
        untried = [e for e in every if e.key not in tried]
        if untried:
            return min(untried, key=lambda e: (self._mark_expires_at(e.key), e.key))
        return None

    def has_another(self, service: str, tried: set[str]) -> bool:
        """Return whether there is an unmarked endpoint that has not been tried."""
        return bool(self._subset(service, tried))

    def _subset(self, service: str, tried: set[str]) -> list[timelines.Entry]:
        """Return the first available endpoints in this proxy's own order of preference."""
        near = self._first_available(self._preferences.near(service), tried, MAX_SUBSET_SIZE)
        far_count = MAX_SUBSET_SIZE - min(len(near), MAX_SUBSET_NEAR)
        far = self._first_available(self._preferences.far(service), tried, far_count)
        return near[: MAX_SUBSET_SIZE - len(far)] + far

    def _first_available(
        self, names: typing.Sequence[str], tried: set[str], max_count: int
    ) -> list[timelines.Entry]:
        """Return the first of some endpoints that are up, unmarked, not paused and not tried yet."""
        found: list[timelines.Entry] = []
        for name in names:
            if len(found) == max_count:
                break
            if name in tried:
                continue
            entry = self._timeline.get(timelines.ENDPOINT, name)
            if entry is None or entry.fields["state"] != timelines.UP:
                continue
            if self._marks.mark_of(name) is None and self.paused(name) is None:
                found.append(entry)
        return found

    def _mark_expires_at(self, endpoint: str) -> float:
        mark = self._marks.mark_of(endpoint)
        return mark.expiry if mark is not None else 0.0

    def _earliest_to_finish(
        self, service: str, candidates: list[timelines.Entry], aim_s: float | None
    ) -> timelines.Entry:
        """Return the endpoint that is expected to finish first.

        An endpoint of another zone has to be faster by a share of the aimed response time.
        """
        typical_s = self._typical_s(service)
        far_cost_s = self._config.far_share * (aim_s if aim_s is not None else typical_s * 4)

        def cost(entry: timelines.Entry) -> float:
            cost_s = self.finish_s(entry, typical_s)
            if entry.fields.get("zone") != self._zone:
                cost_s += far_cost_s
            cost_s += typical_s * FAILURE_COST * self.failures(entry.key)
            return cost_s + typical_s * RANDOM_COST_SHARE * self._rng.random()

        return min(candidates, key=cost)

    def _typical_s(self, service: str) -> float:
        """Return the estimated service time of a service's requests, in seconds."""
        service_time = self._service_times.get(service)
        return (
            service_time.mean(self._config.request_s * INITIAL_SERVICE_TIME_SHARE)
            if service_time is not None
            else (self._config.request_s * INITIAL_SERVICE_TIME_SHARE)
        )

    def waiting(self, endpoint: str, typical_s: float) -> float:
        """Return the estimated number of requests at an endpoint, this proxy's included."""
        own = self.in_flight.get(endpoint, 0)
        state = self._endpoints.get(endpoint)
        if state is None:
            return own
        # The reported number decays to the mean within the time that a typical request takes.
        age_s = self._timeline.clock.now() - state.reported_at
        fresh = math.exp(-age_s / max(typical_s, 1e-3))
        return own + state.other_requests * fresh + state.mean_other_requests * (1 - fresh)

    def finish_s(self, entry: timelines.Entry, typical_s: float) -> float:
        """Return the expected time until an endpoint would answer one more request, in seconds."""
        state = self._endpoints.get(entry.key) or EndpointState()
        service_time_s = state.service_time.mean(typical_s)
        if self._timeline.clock.now() < state.warm_until:
            service_time_s *= WARM_UP_FACTOR
        # An endpoint that reports no slots is assumed to share its capacity among all requests.
        slots = state.slots or 1
        reported_load = max(0.0, float(entry.fields.get("burden", 0.0)))
        ahead = self.waiting(entry.key, typical_s) + reported_load * slots
        return service_time_s * (1 + max(0.0, ahead + 1 - slots) / slots)

    def ahead(self, entry: timelines.Entry) -> float:
        """Return the estimated number of requests ahead of one that is sent now."""
        return self.waiting(entry.key, self._typical_s(str(entry.fields["service"])))

    # Learning from attempts.

    def attempt_started(self, endpoint: str) -> None:
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def attempt_ended(self, endpoint: str) -> None:
        left = self.in_flight.get(endpoint, 0) - 1
        if left > 0:
            self.in_flight[endpoint] = left
        else:
            self.in_flight.pop(endpoint, None)

    def learn(
        self, endpoint: timelines.Entry, duration_s: float, ahead: float, load: adapters.Load | None
    ) -> None:
        """Record a response, its duration, and the number of requests ahead when it was sent."""
        service = str(endpoint.fields["service"])
        state = self._endpoints.get(endpoint.key)
        if state is None:
            return
        slots = load.slots if load is not None else state.slots or 1
        service_time_s = duration_s / (1 + max(0.0, ahead + 1 - slots) / max(1, slots))
        state.service_time.add(service_time_s)
        self._service_times.setdefault(service, ServiceTime()).add(service_time_s)
        if load is not None:
            # This exchange is done at the endpoint, but is still counted as in flight here.
            own = self.in_flight.get(endpoint.key, 1) - 1
            state.other_requests = max(0.0, load.running + load.waiting - own)
            state.mean_other_requests += (state.other_requests - state.mean_other_requests) / MEAN_SAMPLES
            state.reported_at = self._timeline.clock.now()
            state.slots = max(1, load.slots)

    def record_full(self, endpoint: str) -> None:
        """Record that an endpoint turned a request away because its queue is full.

        The endpoint counts as full for about as long as a request takes.
        """
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.other_requests = max(state.other_requests, (state.slots or 1) * 4.0)
            state.reported_at = self._timeline.clock.now()

    def record_failure(self, endpoint: str) -> None:
        """Record a failed attempt: for a while, endpoints that are about as good are preferred."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.failures = min(MAX_FAILURES, self.failures(endpoint) + 1)
            state.failed_at = self._timeline.clock.now()

    def failures(self, endpoint: str) -> float:
        """Return the decaying number of failures of an endpoint; the half-life is a mark's lifetime."""
        state = self._endpoints.get(endpoint)
        if state is None or not state.failures:
            return 0.0
        age_s = self._timeline.clock.now() - state.failed_at
        faded: float = 0.5 ** (age_s / self._config.mark_s)
        return state.failures * faded

    def mark_expires_in_s(self, service: str, now: float) -> float:
        """Return the seconds until the first mark on an endpoint of a service expires."""
        times_left_s = [self._mark_expires_at(e.key) - now for e in self.up(service)]
        return min((s for s in times_left_s if s > 0), default=0.0)
