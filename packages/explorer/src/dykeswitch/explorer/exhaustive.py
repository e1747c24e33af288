"""Exhaustive search over every order of events in a small scope."""

import dataclasses
import time

import dykeswitch.explorer.events as events
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.fingerprint as fingerprint


@dataclasses.dataclass(frozen=True, slots=True)
class SleepEntry:
    """An event in a sleep set: orders that begin with it have already been searched."""

    hosts: frozenset[str]
    uses_budget: bool
    # Whether the event made a client send a request or get an answer: the linearizability check
    # depends on the order of requests and answers.
    has_request: bool
    has_answer: bool

    def commutes_with(self, other: "SleepEntry") -> bool:
        """Return whether both orders of the two events lead to the same state."""
        if self.hosts & other.hosts or (self.uses_budget and other.uses_budget):
            return False
        return not (self.has_request and other.has_answer) and not (self.has_answer and other.has_request)


SleepSet = dict[str, SleepEntry]


@dataclasses.dataclass(slots=True)
class _Node:
    """A state on the current path of the search."""

    sleep_set: SleepSet
    untried: list[str]


class Exhaustive:
    """Depth-first search of every order of events.

    A visited state is not searched again. Sleep sets skip orders that differ only in events that
    commute. A state that is visited again with a smaller sleep set is searched for the events
    that earlier visits skipped (Godefroid's state-space caching).
    """

    def __init__(
        self, plan: executions.Plan, seconds: float, progress: executions.Progress | None = None
    ) -> None:
        self._plan = plan
        self._seconds = seconds
        self._progress = progress
        self._sleep_sets_by_state: dict[bytes, frozenset[str]] = {}
        self._host_states: dict[bytes, fingerprint.HostState] = {}
        self._path: list[_Node] = []
        self._path_keys: list[str] = []
        self.figures = executions.Figures()

    def run(self, max_executions: int | None = None) -> executions.Figures:
        """Search until all states are visited, a violation is found, or a limit is reached."""
        started_at, cpu_started_at = time.monotonic(), time.process_time()
        has_more = True
        while has_more and self.figures.violation is None:
            self._execute()
            has_more = self._backtrack()
            self.figures.seconds = time.monotonic() - started_at
            self.figures.processor_seconds = time.process_time() - cpu_started_at
            if self.figures.seconds > self._seconds or self.figures.executions == max_executions:
                break
        self.figures.complete = not has_more and self.figures.cut_short == 0
        return self.figures

    def _execute(self) -> None:
        """Repeat the current path, then extend it to a final or already visited state."""
        figures = self.figures
        figures.executions += 1
        execution = executions.Execution(self._plan, self._host_states)
        try:
            if not self._path:
                self._visit(execution, {})
            for depth, key in enumerate(self._path_keys):
                self._perform(execution, key, depth)
            while self._path[-1].untried:
                if len(self._path_keys) >= self._plan.max_events:
                    figures.cut_short += 1
                    self._path[-1].untried.clear()
                    break
                self._path_keys.append(self._path[-1].untried.pop(0))
                self._perform(execution, self._path_keys[-1], len(self._path_keys) - 1)
            figures.violation = execution.violation()
        finally:
            execution.close()
        if self._progress is not None and figures.executions % 200 == 0:
            self._progress(figures)

    def _perform(self, execution: executions.Execution, key: str, depth: int) -> None:
        event = next(event for event in execution.enabled() if event.key == key)
        history = execution.world.history
        requests_before, answers_before = history.request_count, history.answer_count
        is_new = depth + 1 == len(self._path)
        answered_host = next(iter(event.hosts)) if is_new and event.kind is events.Kind.ANSWER else None
        state_before = execution.world.host_state(answered_host) if answered_host is not None else None
        execution.perform(event, check_invariants=is_new)
        self.figures.events += 1
        if not is_new:
            return
        entry = SleepEntry(
            event.hosts,
            event.uses_budget,
            history.request_count > requests_before,
            history.answer_count > answers_before,
        )
        parent = self._path[depth]
        sleep_set = {name: other for name, other in parent.sleep_set.items() if other.commutes_with(entry)}
        parent.sleep_set[key] = entry
        if (
            answered_host is not None
            and state_before is not None
            and not entry.has_request
            and not entry.has_answer
        ):
            # An answer that no task waits for changes nothing, so it can come first without loss
            # of generality; the other outcomes of the same call still have to be tried.
            if execution.world.host_state(answered_host).only_child_finished(state_before):
                call_label = key.partition(": ")[2]
                parent.untried = [other for other in parent.untried if other.partition(": ")[2] == call_label]
        self._visit(execution, sleep_set)

    def _visit(self, execution: executions.Execution, sleep_set: SleepSet) -> None:
        figures = self.figures
        figures.depth = max(figures.depth, len(self._path))
        enabled = [event.key for event in execution.enabled()]
        digest = execution.world.digest()
        earlier_sleep_set = self._sleep_sets_by_state.get(digest)
        if earlier_sleep_set is None:
            figures.states += 1
            self._sleep_sets_by_state[digest] = frozenset(sleep_set)
            untried = [key for key in enabled if key not in sleep_set]
        else:
            self._sleep_sets_by_state[digest] = earlier_sleep_set & frozenset(sleep_set)
            untried = [key for key in enabled if key in earlier_sleep_set and key not in sleep_set]
        self._path.append(_Node(sleep_set, untried))

    def _backtrack(self) -> bool:
        """Return to the last state with untried events; False if there is none."""
        while self._path and not self._path[-1].untried:
            self._path.pop()
            if self._path_keys:
                self._path_keys.pop()
        if not self._path:
            return False
        self._path_keys.append(self._path[-1].untried.pop(0))
        return True
