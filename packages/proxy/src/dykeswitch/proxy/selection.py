"""Selection: only among endpoints that no mark stands against."""

import dataclasses
import random
import typing

import dykeswitch.timeline as timeline

# Another zone's endpoint must be this much less burdened to be preferred.
FAR: typing.Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A planned pause as a proxy uses it."""

    endpoint: str
    reason: str


class Selector:
    """Selects an endpoint for a go."""

    def __init__(
        self, line: timeline.Timeline, marks: timeline.Marks, zone: str, dice: random.Random
    ) -> None:
        self._line = line
        self._marks = marks
        self._zone = zone
        self._dice = dice
        self.flights: dict[str, int] = {}
        self.paused: typing.Callable[[str], str | None] = lambda endpoint: None
        self._services: dict[str, set[str]] = {}
        line.on_change(self._note)

    def _note(self, entry: timeline.Entry) -> None:
        if entry.kind != timeline.ENDPOINT:
            return
        for names in self._services.values():
            names.discard(entry.key)
        if entry.fields["state"] == timeline.UP:
            self._services.setdefault(str(entry.fields["service"]), set()).add(entry.key)

    def up(self, service: str) -> list[timeline.Entry]:
        """Endpoints of a service that neither left, lapsed nor are planned away."""
        found = []
        for name in sorted(self._services.get(service, ())):
            entry = self._line.get(timeline.ENDPOINT, name)
            if entry is not None and entry.fields["state"] == timeline.UP and self.paused(name) is None:
                found.append(entry)
        return found

    def usable(self, endpoint: timeline.Entry) -> bool:
        """Whether a selected endpoint may still be sent to."""
        now = self._line.get(timeline.ENDPOINT, endpoint.key)
        return (
            now is not None
            and now.fields["state"] == timeline.UP
            and now.fields["address"] == endpoint.fields["address"]
            and now.fields["service"] == endpoint.fields["service"]
            and self.paused(endpoint.key) is None
        )

    def select(self, service: str, tried: set[str]) -> timeline.Entry | None:
        """The endpoint for the next go."""
        every = self.up(service)
        fresh = [e for e in every if e.key not in tried]
        sound = [e for e in fresh if self._marks.down(e.key) is None]
        if sound:
            return self._lighter(sound)
        if any(self._marks.down(e.key) is None for e in every):
            # The only unmarked ones have been tried by this very exchange.
            return None
        # The source leaves open what to do when every endpoint is marked. Sending
        # nothing would make a wrong mark an outage, so the one whose mark ends
        # first is asked: each exchange tries it at most once.
        if fresh:
            return min(fresh, key=lambda e: (self._ends(e.key), e.key))
        return None

    def _ends(self, endpoint: str) -> float:
        mark = self._marks.down(endpoint)
        return mark.expiry if mark is not None else 0.0

    def _lighter(self, sound: list[timeline.Entry]) -> timeline.Entry:
        """The less burdened of two drawn by lot, so that proxies do not herd."""
        pair = self._dice.sample(sound, min(2, len(sound)))
        return min(pair, key=self.score)

    def score(self, entry: timeline.Entry) -> float:
        burden = max(0.0, float(entry.fields.get("burden", 0.0)))
        near = 1.0 if entry.fields.get("zone") == self._zone else FAR
        return (1 + self.flights.get(entry.key, 0)) * (1 + burden) * near

    def open_in(self, service: str, now: float) -> float:
        """Seconds until the first of a service's marks runs out."""
        ends = [self._ends(e.key) - now for e in self.up(service)]
        return min((s for s in ends if s > 0), default=0.0)
