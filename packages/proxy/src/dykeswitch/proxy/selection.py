"""Selection: only among endpoints that no mark stands against, by the finish to be expected.

The source picks any unmarked backend ("How Passive Health Checks Work"); which of them is free.
"""

import dataclasses
import math
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.proxy.preference as preference
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# How many replies weigh as much as what is thought of the whole service.
PRIOR: typing.Final = 4.0
# How many replies an endpoint's pace is the mean of, about.
MEMORY: typing.Final = 24.0
# Two finishes that differ by less are alike: the lot decides, so that proxies do not herd.
LOT: typing.Final = 0.1
# What a service is thought to take before any reply came, as a part of an exchange's most.
FIRST_PACE: typing.Final = 1 / 300
# Among how many endpoints one is selected, and how many of them are of the own zone at most. The
# work of a selection, and the connections an endpoint is asked for, stay the same however many
# endpoints a service has.
SUBSET_MOST: typing.Final = 16
SUBSET_NEAR_MOST: typing.Final = 12
# How many requests' paces one failure of an endpoint counts for, and how many failures at most: a
# proxy of many sees too little of one endpoint to mark it soon, and others may be as good.
FAILURE_COST: typing.Final = 1.0
FAILURES_MOST: typing.Final = 4.0
# An endpoint that has just started is thought to be so many times as slow.
WARM: typing.Final = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A planned pause as a proxy uses it."""

    endpoint: str
    reason: str


@dataclasses.dataclass(slots=True)
class Pace:
    """How long one request takes when it need not wait, in seconds: a mean that forgets."""

    total: float = 0.0
    count: float = 0.0

    def add(self, span: float) -> None:
        fade = 1 - 1 / MEMORY
        self.total = self.total * fade + span
        self.count = self.count * fade + 1

    def mean(self, prior: float) -> float:
        return (self.total + prior * PRIOR) / (self.count + PRIOR)


@dataclasses.dataclass(slots=True)
class Seen:
    """What one proxy knows of an endpoint's work."""

    pace: Pace = dataclasses.field(default_factory=Pace)
    # What others had there when it was last told, when that was, and what they have on the mean.
    others: float = 0.0
    at: float = -1e9
    usual: float = 0.0
    slots: int = 0
    # Until when it is slow, having just started.
    warm: float = -1e9
    # Failures, which fade, and the moment up to which they have faded.
    failures: float = 0.0
    failed_at: float = -1e9


class Selector:
    """Selects an endpoint for a go."""

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
        self.flights: dict[str, int] = {}
        self.paused: typing.Callable[[str], str | None] = lambda endpoint: None
        self._services: dict[str, set[str]] = {}
        self._preferences = preference.Preferences(config.name, config.zone)
        self._seen: dict[str, Seen] = {}
        self._paces: dict[str, Pace] = {}
        timeline.on_change(self._note)

    def _note(self, entry: timelines.Entry) -> None:
        if entry.kind != timelines.ENDPOINT:
            return
        for names in self._services.values():
            names.discard(entry.key)
        self._preferences.note(entry)
        if entry.fields["state"] == timelines.UP:
            self._services.setdefault(str(entry.fields["service"]), set()).add(entry.key)
            seen = self._seen.setdefault(entry.key, Seen())
            seen.slots = int(entry.fields.get("slots", 0)) or seen.slots
            warm = float(entry.fields.get("warm", 0.0))
            if warm and seen.warm < 0:
                seen.warm = self._timeline.clock.now() + warm
        elif entry.fields["state"] in timelines.FINAL_STATES:
            self._seen.pop(entry.key, None)

    def up(self, service: str) -> list[timelines.Entry]:
        """Endpoints of a service that neither left, lapsed nor are planned away."""
        found = []
        for name in sorted(self._services.get(service, ())):
            entry = self._timeline.get(timelines.ENDPOINT, name)
            if entry is not None and entry.fields["state"] == timelines.UP and self.paused(name) is None:
                found.append(entry)
        return found

    def usable(self, endpoint: timelines.Entry) -> bool:
        """Whether a selected endpoint may still be sent to."""
        now = self._timeline.get(timelines.ENDPOINT, endpoint.key)
        return (
            now is not None
            and now.fields["state"] == timelines.UP
            and now.fields["address"] == endpoint.fields["address"]
            and now.fields["service"] == endpoint.fields["service"]
            and self.paused(endpoint.key) is None
        )

    def select(self, service: str, tried: set[str], aim_s: float | None = None) -> timelines.Entry | None:
        """The endpoint for the next go."""
        subset = self._subset(service, tried)
        if subset:
            return self._soonest(service, subset, aim_s)
        every = self.up(service)
        if any(self._marks.mark_of(e.key) is None for e in every):
            # The only unmarked ones have been tried by this very exchange.
            return None
        # The source leaves open what to do when every endpoint is marked. Sending
        # nothing would make a wrong mark an outage, so the one whose mark ends
        # first is asked: each exchange tries it at most once.
        fresh = [e for e in every if e.key not in tried]
        if fresh:
            return min(fresh, key=lambda e: (self._ends(e.key), e.key))
        return None

    def has_another(self, service: str, tried: set[str]) -> bool:
        """Whether there is an unmarked endpoint besides those tried."""
        return bool(self._subset(service, tried))

    def _subset(self, service: str, tried: set[str]) -> list[timelines.Entry]:
        """The first few unmarked endpoints in this proxy's own order of preference."""
        near = self._first_open(self._preferences.near(service), tried, SUBSET_MOST)
        far_count = SUBSET_MOST - min(len(near), SUBSET_NEAR_MOST)
        far = self._first_open(self._preferences.far(service), tried, far_count)
        return near[: SUBSET_MOST - len(far)] + far

    def _first_open(self, names: typing.Sequence[str], tried: set[str], most: int) -> list[timelines.Entry]:
        """The first of some endpoints that are up, unmarked, not paused and not tried yet."""
        found: list[timelines.Entry] = []
        for name in names:
            if len(found) == most:
                break
            if name in tried:
                continue
            entry = self._timeline.get(timelines.ENDPOINT, name)
            if entry is None or entry.fields["state"] != timelines.UP:
                continue
            if self._marks.mark_of(name) is None and self.paused(name) is None:
                found.append(entry)
        return found

    def _ends(self, endpoint: str) -> float:
        mark = self._marks.mark_of(endpoint)
        return mark.expiry if mark is not None else 0.0

    def _soonest(self, service: str, sound: list[timelines.Entry], aim_s: float | None) -> timelines.Entry:
        """The one that is to finish first; another zone's must be sooner by a part of the aim."""
        base = self._base(service)
        far = self._config.far_share * (aim_s if aim_s is not None else base * 4)

        def cost(entry: timelines.Entry) -> float:
            span = self.finish_s(entry, base)
            if entry.fields.get("zone") != self._zone:
                span += far
            span += base * FAILURE_COST * self.failures(entry.key)
            return span + base * LOT * self._rng.random()

        return min(sound, key=cost)

    def _base(self, service: str) -> float:
        """What a request of a service takes, in seconds, as far as we know."""
        pace = self._paces.get(service)
        return (
            pace.mean(self._config.request_s * FIRST_PACE)
            if pace is not None
            else (self._config.request_s * FIRST_PACE)
        )

    def waiting(self, endpoint: str, base: float) -> float:
        """How many requests an endpoint is thought to have at this moment, ours among them."""
        own = self.flights.get(endpoint, 0)
        seen = self._seen.get(endpoint)
        if seen is None:
            return own
        # What was told fades into what is usual as fast as requests come and go.
        age = self._timeline.clock.now() - seen.at
        fresh = math.exp(-age / max(base, 1e-3))
        return own + seen.others * fresh + seen.usual * (1 - fresh)

    def finish_s(self, entry: timelines.Entry, base: float) -> float:
        """In how many seconds one more request is to be answered there."""
        seen = self._seen.get(entry.key) or Seen()
        pace = seen.pace.mean(base)
        if self._timeline.clock.now() < seen.warm:
            pace *= WARM
        # Endpoints that tell no slots are thought to share their strength among all.
        slots = seen.slots or 1
        told = max(0.0, float(entry.fields.get("burden", 0.0)))
        ahead = self.waiting(entry.key, base) + told * slots
        return pace * (1 + max(0.0, ahead + 1 - slots) / slots)

    def ahead(self, entry: timelines.Entry) -> float:
        """How many requests are thought to be before one that is sent now."""
        return self.waiting(entry.key, self._base(str(entry.fields["service"])))

    # What replies teach.

    def begun(self, endpoint: str) -> None:
        self.flights[endpoint] = self.flights.get(endpoint, 0) + 1

    def ended(self, endpoint: str) -> None:
        left = self.flights.get(endpoint, 0) - 1
        if left > 0:
            self.flights[endpoint] = left
        else:
            self.flights.pop(endpoint, None)

    def learn(self, endpoint: timelines.Entry, span: float, ahead: float, load: adapters.Load | None) -> None:
        """A reply came after a span (seconds), with so many ahead of it when it was sent."""
        service = str(endpoint.fields["service"])
        seen = self._seen.get(endpoint.key)
        if seen is None:
            return
        slots = load.slots if load is not None else seen.slots or 1
        work = span / (1 + max(0.0, ahead + 1 - slots) / max(1, slots))
        seen.pace.add(work)
        self._paces.setdefault(service, Pace()).add(work)
        if load is not None:
            # Our own exchange is still counted in flight, and done there.
            own = self.flights.get(endpoint.key, 1) - 1
            seen.others = max(0.0, load.running + load.waiting - own)
            seen.usual += (seen.others - seen.usual) / MEMORY
            seen.at = self._timeline.clock.now()
            seen.slots = max(1, load.slots)

    def full(self, endpoint: str) -> None:
        """It turned a request away: its queue is full for about as long as a request takes."""
        seen = self._seen.get(endpoint)
        if seen is not None:
            seen.others = max(seen.others, (seen.slots or 1) * 4.0)
            seen.at = self._timeline.clock.now()

    def failed(self, endpoint: str) -> None:
        """A go to it failed: for a while others that are about as good go first."""
        seen = self._seen.get(endpoint)
        if seen is not None:
            seen.failures = min(FAILURES_MOST, self.failures(endpoint) + 1)
            seen.failed_at = self._timeline.clock.now()

    def failures(self, endpoint: str) -> float:
        """The failures of an endpoint that still count; half of them after a mark's life."""
        seen = self._seen.get(endpoint)
        if seen is None or not seen.failures:
            return 0.0
        age = self._timeline.clock.now() - seen.failed_at
        faded: float = 0.5 ** (age / self._config.mark_s)
        return seen.failures * faded

    def open_in(self, service: str, now: float) -> float:
        """Seconds until the first of a service's marks runs out."""
        ends = [self._ends(e.key) - now for e in self.up(service)]
        return min((s for s in ends if s > 0), default=0.0)
