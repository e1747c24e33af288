"""Searches every order of events of a small scope."""

import dataclasses
import time

import dykeswitch.explorer.events as events
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.fingerprint as fingerprint


@dataclasses.dataclass(frozen=True, slots=True)
class Asleep:
    """An event that need not be taken: an order that begins with it was searched already."""

    hosts: frozenset[str]
    fault: bool
    # Whether a client asked or was told something by it: their order is what is judged.
    asks: bool
    tells: bool

    def commutes(self, other: "Asleep") -> bool:
        """Whether both orders of two events lead to one state."""
        if self.hosts & other.hosts or (self.fault and other.fault):
            return False
        return not (self.asks and other.tells) and not (self.tells and other.asks)


Sleep = dict[str, Asleep]


@dataclasses.dataclass(slots=True)
class _Node:
    """A state on the path that is being searched."""

    sleep: Sleep
    todo: list[str]


class Exhaustive:
    """Depth-first search of every order of events.

    A state that was seen is not searched again. Sleep sets leave out orders that differ only in
    events that commute; a state seen under a smaller sleep set is searched anew for what the
    first visit left asleep (Godefroid's state-space caching).
    """

    def __init__(
        self, plan: executions.Plan, seconds: float, progress: executions.Progress | None = None
    ) -> None:
        self._plan = plan
        self._seconds = seconds
        self._progress = progress
        self._seen: dict[bytes, frozenset[str]] = {}
        self._known: dict[bytes, fingerprint.HostState] = {}
        self._path: list[_Node] = []
        self._taken: list[str] = []
        self.figures = executions.Figures()

    def run(self, most_executions: int | None = None) -> executions.Figures:
        """Search until all is seen, something breaks, or time or executions are used up."""
        begin, spent = time.monotonic(), time.process_time()
        more = True
        while more and self.figures.violation is None:
            self._execute()
            more = self._backtrack()
            self.figures.seconds = time.monotonic() - begin
            self.figures.processor_seconds = time.process_time() - spent
            if self.figures.seconds > self._seconds or self.figures.executions == most_executions:
                break
        self.figures.complete = not more and self.figures.cut_short == 0
        return self.figures

    def _execute(self) -> None:
        """Take the path again and go on from its end to an end or to a state seen."""
        figures = self.figures
        figures.executions += 1
        execution = executions.Execution(self._plan, self._known)
        try:
            if not self._path:
                self._visit(execution, {})
            for depth, key in enumerate(self._taken):
                self._take(execution, key, depth)
            while self._path[-1].todo:
                if len(self._taken) >= self._plan.most_events:
                    figures.cut_short += 1
                    self._path[-1].todo.clear()
                    break
                self._taken.append(self._path[-1].todo.pop(0))
                self._take(execution, self._taken[-1], len(self._taken) - 1)
            figures.violation = execution.violation()
        finally:
            execution.close()
        if self._progress is not None and figures.executions % 200 == 0:
            self._progress(figures)

    def _take(self, execution: executions.Execution, key: str, depth: int) -> None:
        event = next(event for event in execution.enabled() if event.key == key)
        history = execution.world.history
        asked, answered = history.asked, history.answered
        fresh = depth + 1 == len(self._path)
        answered_host = next(iter(event.hosts)) if fresh and event.kind is events.Kind.ANSWER else None
        before = execution.world.host_state(answered_host) if answered_host is not None else None
        execution.perform(event, judge=fresh)
        self.figures.events += 1
        if not fresh:
            return
        this = Asleep(event.hosts, event.costs, history.asked > asked, history.answered > answered)
        above = self._path[depth]
        sleep = {name: other for name, other in above.sleep.items() if other.commutes(this)}
        above.sleep[key] = this
        if answered_host is not None and before is not None and not this.asks and not this.tells:
            # An answer that nobody waits for changes nothing, so it may as well come first;
            # what else may become of the same call stays to be tried.
            if execution.world.host_state(answered_host).lost_only_a_child(before):
                call = key.partition(": ")[2]
                above.todo = [other for other in above.todo if other.partition(": ")[2] == call]
        self._visit(execution, sleep)

    def _visit(self, execution: executions.Execution, sleep: Sleep) -> None:
        figures = self.figures
        figures.depth = max(figures.depth, len(self._path))
        enabled = [event.key for event in execution.enabled()]
        digest = execution.world.digest()
        slept = self._seen.get(digest)
        if slept is None:
            figures.states += 1
            self._seen[digest] = frozenset(sleep)
            todo = [key for key in enabled if key not in sleep]
        else:
            self._seen[digest] = slept & frozenset(sleep)
            todo = [key for key in enabled if key in slept and key not in sleep]
        self._path.append(_Node(sleep, todo))

    def _backtrack(self) -> bool:
        """Back to the last state with events left; false where there is none."""
        while self._path and not self._path[-1].todo:
            self._path.pop()
            if self._taken:
                self._taken.pop()
        if not self._path:
            return False
        self._taken.append(self._path[-1].todo.pop(0))
        return True
