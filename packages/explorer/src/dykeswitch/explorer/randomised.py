"""Random search over the schedules of a wide scope."""

import random
import time
import typing

import dykeswitch.explorer.events as events
import dykeswitch.explorer.execution as executions


class Randomised:
    """Random schedules by probabilistic concurrency testing (PCT), each with its own seed.

    Each channel between two hosts has a random priority, and the enabled event with the highest
    priority is performed. At a few random steps the channel of the chosen event drops to the
    lowest priority, and at a few others a random fault is performed.
    """

    PRIORITY_CHANGES: typing.Final = 4

    def __init__(self, plan: executions.Plan, seed: int, progress: executions.Progress | None = None) -> None:
        self._plan = plan
        self._seed = seed
        self._progress = progress
        # The steps for priority changes and faults are sampled from this range: an initial estimate
        # or, if that is longer, the longest execution so far.
        self._max_length = 40
        self.figures = executions.Figures()

    def run(self, schedules: int, seconds: float) -> executions.Figures:
        """Execute schedules until all are done, a violation is found or the time is up."""
        started_at, cpu_started_at = time.monotonic(), time.process_time()
        for number in range(schedules):
            self._execute(random.Random(f"{self._seed}/{number}"))
            self.figures.seconds = time.monotonic() - started_at
            self.figures.processor_seconds = time.process_time() - cpu_started_at
            if self.figures.violation is not None or self.figures.seconds > seconds:
                break
            if self._progress is not None and number % 50 == 0:
                self._progress(self.figures)
        return self.figures

    def _execute(self, rng: random.Random) -> None:
        fault_count = sum(self._plan.settings.budget.values())
        fault_steps = {rng.randrange(self._max_length) for _ in range(fault_count)}
        change_steps = {rng.randrange(self._max_length) for _ in range(self.PRIORITY_CHANGES)}
        priorities: dict[str, float] = {}
        execution = executions.Execution(self._plan)
        figures = self.figures
        figures.executions += 1
        try:
            while (enabled := execution.enabled()) and len(execution.trace) < self._plan.max_events:
                step = len(execution.trace)
                event = _choose_event(enabled, rng, priorities, step in fault_steps)
                if event is None:
                    break
                if step in change_steps:
                    priorities[_channel(event)] = min(priorities.values(), default=0.0) - 1.0
                execution.perform(event)
                figures.events += 1
            figures.depth = max(figures.depth, len(execution.trace))
            figures.cut_short += len(execution.trace) >= self._plan.max_events
            figures.violation = execution.violation()
            self._max_length = max(self._max_length, len(execution.trace))
        finally:
            execution.close()


def _channel(event: events.Event) -> str:
    """Return the channel of an event.

    Requests from one host to another form a channel, as do their replies; any other event is
    its own channel.
    """
    if event.kind in (events.Kind.DELIVER, events.Kind.ANSWER):
        kind, pair, _ = event.key.split(" ", 2)
        return f"{kind} {pair}"
    return event.key


def _choose_event(
    enabled: list[events.Event], rng: random.Random, priorities: dict[str, float], fault_due: bool
) -> events.Event | None:
    """Choose a random fault if one is due, otherwise the event with the highest priority."""
    faults = [event for event in enabled if event.uses_budget]
    if fault_due and faults:
        kind = rng.choice(sorted({event.kind.value for event in faults}))
        return rng.choice([event for event in faults if event.kind.value == kind])
    fault_free = [event for event in enabled if not event.uses_budget]
    if fault_free and fault_free[0].kind in (events.Kind.KEEP, events.Kind.DROP):
        return rng.choice(fault_free)
    for event in fault_free:
        priorities.setdefault(_channel(event), rng.random())
    return max(fault_free, key=lambda event: priorities[_channel(event)], default=None)
