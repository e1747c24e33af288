"""The prober: probes the endpoints of its slots periodically, and publishes the results as marks."""

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
POINT_RESULT_RECEIVED: typing.Final = 21
MAX_PROBES_IN_FLIGHT: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of the last probe of an endpoint."""

    finished_at: float
    # Why the probe failed, or None if it succeeded.
    reason: str | None


class Prober:
    """Probes the endpoints in the slots that this registry owns."""

    def __init__(
        self,
        name: str,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        assignments: duties.Duties,
        probe_path: typing.Callable[[str], str],
        note: typing.Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._config = config
        self._machine = machine
        self._clock = machine.clock
        self._timeline = timeline
        self._marks = marks
        self._assignments = assignments
        self._probe_path = probe_path
        self._note = note
        self._due_at: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self.results: dict[str, ProbeResult] = {}
        self.probes = 0

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for entry in self._endpoints_to_probe():
                    self._in_flight.add(entry.key)
                    group.create_task(self._probe(entry))
                await self._clock.sleep(self._config.tick_interval_s)

    def _endpoints_to_probe(self) -> list[timelines.Entry]:
        """Endpoints to probe now: those that are due, and those whose mark is about to expire."""
        now = self._clock.now()
        to_probe: list[timelines.Entry] = []
        up = [
            entry for entry in self._timeline.all(timelines.ENDPOINT) if entry.fields["state"] == timelines.UP
        ]
        names = {e.key for e in up}
        self._due_at = {name: at for name, at in self._due_at.items() if name in names}
        self.results = {name: result for name, result in self.results.items() if name in names}
        for entry in up:
            slot = slots.probe_slot(entry.key)
            if self._assignments.fence(slot) is None or entry.key in self._in_flight:
                continue
            due_at = self._due_at.setdefault(entry.key, now)
            mark = self._marks.mark_of(entry.key)
            if mark is not None:
                # Probe before the mark expires, so that no client's request has to be the test.
                due_at = min(due_at, mark.expiry - self._config.probe_timeout_s * 1.5)
            if due_at <= now and len(self._in_flight) < MAX_PROBES_IN_FLIGHT:
                self._due_at[entry.key] = now + self._config.probe_interval_s
                to_probe.append(entry)
        return to_probe

    async def _probe(self, entry: timelines.Entry) -> None:
        slot = slots.probe_slot(entry.key)
        fence = self._assignments.fence(slot)
        started_at = self._clock.now()
        previous_mark = self._marks.mark_of(entry.key)
        try:
            reason = await self._run_probe(entry)
            self._machine.fault_points.hit(POINT_RESULT_RECEIVED)
            if self._stale(started_at) or fence is None:
                return
            self.probes += 1
            self.results[entry.key] = ProbeResult(self._clock.now(), reason)
            duty: timelines.Fields = {"slot": slot, "fence": fence}
            if reason is not None:
                self._marks.set_down(entry.key, reason, self._name, duty)
                self._note("mark", f"{entry.key}: {reason}")
            elif previous_mark is not None:
                # The probe only disproves a mark that was already there when it began.
                current_mark = self._marks.mark_of(entry.key)
                if current_mark is not None and current_mark.stamp == previous_mark.stamp:
                    self._marks.clear(entry.key, self._name, duty)
                    self._note("mark cleared", entry.key)
        finally:
            self._in_flight.discard(entry.key)

    def _stale(self, started_at: float) -> bool:
        """Whether this process was frozen during the probe, so that its result is out of date."""
        limit_s = self._config.connect_timeout_s + self._config.probe_timeout_s + self._config.clock_gap_s
        return self._clock.now() - started_at > limit_s

    async def _run_probe(self, entry: timelines.Entry) -> str | None:
        """Send one semantic probe on a new connection; returns the reason of a failure, or None."""
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
        except connections.EndpointConnectionError as error:
            return error.reason
        connection.close()
        return None
