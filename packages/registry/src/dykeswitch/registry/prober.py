"""The prober: checks every endpoint of our slots on a schedule, and says so in marks."""

import asyncio
import dataclasses
import typing

import dykeswitch.layout as layouts
import dykeswitch.ports as ports
import dykeswitch.registry.duties as duties
import dykeswitch.settings as settings
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines
import dykeswitch.timeline.slots as slots

# Numbered points at which a test may inject a fault.
POINT_RESULT_IN_HAND: typing.Final = 21
FLIGHTS_MOST: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What the last probe of an endpoint found."""

    at: float
    reason: str | None


class Prober:
    """Probes the endpoints of the slots that are ours."""

    def __init__(
        self,
        name: str,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        duty: duties.Duties,
        probe_path: typing.Callable[[str], str],
        note: typing.Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._config = config
        self._machine = machine
        self._clock = machine.clock
        self._timeline = timeline
        self._marks = marks
        self._duty = duty
        self._probe_path = probe_path
        self._note = note
        self._due: dict[str, float] = {}
        self._flying: set[str] = set()
        self.seen: dict[str, Seen] = {}
        self.probes = 0

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for entry in self._ripe():
                    self._flying.add(entry.key)
                    group.create_task(self._probe(entry))
                await self._clock.sleep(self._config.tick_interval_s)

    def _ripe(self) -> list[timelines.Entry]:
        """Endpoints to probe now: those due, and those whose mark is about to run out."""
        now = self._clock.now()
        ripe: list[timelines.Entry] = []
        up = [e for e in self._timeline.all(timelines.ENDPOINT) if e.fields["state"] == timelines.UP]
        names = {e.key for e in up}
        self._due = {name: at for name, at in self._due.items() if name in names}
        self.seen = {name: seen for name, seen in self.seen.items() if name in names}
        for entry in up:
            slot = slots.probe_slot(entry.key)
            if self._duty.fence(slot) is None or entry.key in self._flying:
                continue
            due = self._due.setdefault(entry.key, now)
            mark = self._marks.mark_of(entry.key)
            if mark is not None:
                # Look before the mark ends, so that no caller is the one to find out.
                due = min(due, mark.expiry - self._config.probe_timeout_s * 1.5)
            if due <= now and len(self._flying) < FLIGHTS_MOST:
                self._due[entry.key] = now + self._config.probe_interval_s
                ripe.append(entry)
        return ripe

    async def _probe(self, entry: timelines.Entry) -> None:
        slot = slots.probe_slot(entry.key)
        fence = self._duty.fence(slot)
        begun = self._clock.now()
        standing = self._marks.mark_of(entry.key)
        try:
            reason = await self._look(entry)
            self._machine.fault_points.hit(POINT_RESULT_IN_HAND)
            if self._stale(begun) or fence is None:
                return
            self.probes += 1
            self.seen[entry.key] = Seen(self._clock.now(), reason)
            duty: timelines.Fields = {"slot": slot, "fence": fence}
            if reason is not None:
                self._marks.set_down(entry.key, reason, self._name, duty)
                self._note("mark", f"{entry.key}: {reason}")
            elif standing is not None:
                # Only a mark that stood before we looked is answered by the look.
                now_mark = self._marks.mark_of(entry.key)
                if now_mark is not None and now_mark.stamp == standing.stamp:
                    self._marks.clear(entry.key, self._name, duty)
                    self._note("mark cleared", entry.key)
        finally:
            self._flying.discard(entry.key)

    def _stale(self, begun: float) -> bool:
        """Whether a result lay in our hand while we were frozen: it says nothing of today."""
        most = self._config.connect_timeout_s + self._config.probe_timeout_s + self._config.clock_gap_s
        return self._clock.now() - begun > most

    async def _look(self, entry: timelines.Entry) -> str | None:
        """One semantic probe on a fresh pipe; the reason it failed, or nothing."""
        path = self._probe_path(str(entry.fields["service"])) or layouts.DEFAULT_PROBE
        address = str(entry.fields["address"])
        try:
            connection = await connections.open_verified(
                self._machine.net,
                self._clock,
                entry.key,
                address,
                path,
                self._config.connect_timeout_s,
                self._config.probe_timeout_s,
            )
        except connections.EndpointConnectionError as flaw:
            return flaw.reason
        connection.close()
        return None
