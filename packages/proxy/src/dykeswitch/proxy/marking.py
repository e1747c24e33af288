"""Passive health checks: marks endpoints whose attempts fail."""

import dykeswitch.logs as logs
import dykeswitch.ports as ports
import dykeswitch.proxy.counters as counters
import dykeswitch.proxy.selection as selection
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.timeline as timelines


class Marker:
    """Marks endpoints as unhealthy when they fail too often."""

    def __init__(
        self,
        config: settings.Settings,
        clock: ports.Clock,
        marks: timelines.Marks,
        selector: selection.Selector,
        counts: counters.Counters,
        log: logs.Log,
    ) -> None:
        self._name = config.name
        self._clock = clock
        self._marks = marks
        self._selector = selector
        self._counts = counts
        self._log = log
        self._strikes = soundness.FailureTracker(config.mark_s)

    def record_success(self, endpoint: str) -> None:
        """Record a successful response of an endpoint."""
        self._strikes.record_success(endpoint, self._clock.now())

    def record_failure(self, endpoint: str, fault: soundness.Fault, promised: bool = False) -> None:
        """Record a failure: selection avoids the endpoint, which is marked once it fails too often."""
        # An endpoint that refuses with a promise is full, which selection has recorded already.
        if not promised:
            self._selector.record_failure(endpoint)
        if self._strikes.record_failure(endpoint, fault, self._clock.now()):
            self._counts.add("marks")
            self._marks.set_down(endpoint, fault.reason, self._name)
            self._log.warning("mark", endpoint=endpoint, reason=fault.reason)
