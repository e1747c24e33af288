"""One execution of a plan: its world, its trace, and what it breaks."""

import dataclasses
import pathlib
import shutil
import tempfile
import typing

import dykeswitch.explorer.choices as choices
import dykeswitch.explorer.events as events
import dykeswitch.explorer.fingerprint as fingerprint
import dykeswitch.explorer.history as histories
import dykeswitch.explorer.nodes as nodes
import dykeswitch.explorer.records as records
import dykeswitch.explorer.world as worlds

Trace = tuple[str, ...]


# Sets up a world.
Build = typing.Callable[[worlds.World], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is executed, and what it may meet."""

    build: Build
    settings: nodes.Settings
    # An execution that has so many events is cut short; the figures tell how many were.
    most_events: int = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """What broke, and the events that led to it."""

    what: str
    trace: Trace
    history: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Figures:
    """What a search did."""

    # Different states; random schedules do not count them.
    states: int = 0
    executions: int = 0
    events: int = 0
    depth: int = 0
    cut_short: int = 0
    seconds: float = 0.0
    processor_seconds: float = 0.0
    # Whether an exhaustive search has come to its end.
    complete: bool = False
    violation: Violation | None = None


Progress = typing.Callable[[Figures], None]


class Execution:
    """One execution from the start."""

    def __init__(self, plan: Plan, known: dict[bytes, fingerprint.HostState] | None = None) -> None:
        self._plan = plan
        self._folder: pathlib.Path | None = None
        if plan.settings.real_files:
            self._folder = pathlib.Path(tempfile.mkdtemp(prefix="explore-"))
        self.world = worlds.World(plan.settings, self._folder or pathlib.Path("none"), known)
        self.trace: list[str] = []
        with self._storage():
            plan.build(self.world)
            self.world.loop.run_until_idle()

    def _storage(self) -> typing.ContextManager[None]:
        real = self._plan.settings.real_files
        return records.storage_class(records.ObservedStorage if real else records.AtomicStorage)

    def enabled(self) -> list[events.Event]:
        """What may happen next; nothing once an invariant is broken."""
        return [] if self.world.violation else choices.enabled(self.world)

    def perform(self, event: events.Event, judge: bool = True) -> None:
        """Let one event happen; it need not be judged where it was before."""
        self.trace.append(event.key)
        answered = self.world.history.answered
        with self._storage():
            self.world.perform(event, judge)
        if (
            judge
            and self.world.history.answered != answered
            and not histories.linearizable(self.world.history)
        ):
            self.world.violate("I9 no order of the operations explains their answers")

    def violation(self) -> Violation | None:
        """What broke, if anything did."""
        if not self.world.violation:
            return None
        told = tuple(operation.text() for _, operation in sorted(self.world.history.operations.items()))
        return Violation(self.world.violation, tuple(self.trace), told)

    def close(self) -> None:
        """Free what the execution holds."""
        self.world.close()
        if self._folder is not None:
            shutil.rmtree(self._folder, ignore_errors=True)
