"""One execution of a plan: its world, its trace and the violation that it finds."""

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


# A function that sets up a world.
Build = typing.Callable[[worlds.World], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What an execution sets up, and which faults it allows."""

    build: Build
    settings: nodes.Settings
    # Executions are cut short after this many events; `Figures.cut_short` counts them.
    max_events: int = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, the events that led to it and the history of operations."""

    message: str
    trace: Trace
    history: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Figures:
    """The results of a search."""

    # Distinct states; random schedules do not count them.
    states: int = 0
    executions: int = 0
    events: int = 0
    depth: int = 0
    cut_short: int = 0
    seconds: float = 0.0
    processor_seconds: float = 0.0
    # Whether an exhaustive search has covered the whole scope.
    complete: bool = False
    violation: Violation | None = None


Progress = typing.Callable[[Figures], None]


class Execution:
    """One execution, from the set-up of its world on."""

    def __init__(self, plan: Plan, host_states: dict[bytes, fingerprint.HostState] | None = None) -> None:
        self._plan = plan
        self._scratch_folder: pathlib.Path | None = None
        if plan.settings.real_files:
            self._scratch_folder = pathlib.Path(tempfile.mkdtemp(prefix="explore-"))
        self.world = worlds.World(plan.settings, self._scratch_folder or pathlib.Path("none"), host_states)
        self.trace: list[str] = []
        with self._use_storage_class():
            plan.build(self.world)
            self.world.loop.run_until_idle()

    def _use_storage_class(self) -> typing.ContextManager[None]:
        real = self._plan.settings.real_files
        return records.use_storage_class(records.ObservedStorage if real else records.AtomicStorage)

    def enabled(self) -> list[events.Event]:
        """Return the events that can happen next; none after a violation."""
        return [] if self.world.violation else choices.enabled(self.world)

    def perform(self, event: events.Event, check_invariants: bool = True) -> None:
        """Perform an event; the invariants need not be checked again while a path is repeated."""
        self.trace.append(event.key)
        answer_count_before = self.world.history.answer_count
        with self._use_storage_class():
            self.world.perform(event, check_invariants)
        if (
            check_invariants
            and self.world.history.answer_count != answer_count_before
            and not histories.linearizable(self.world.history)
        ):
            self.world.record_violation("I9 no order of the operations explains their answers")

    def violation(self) -> Violation | None:
        """Return the violation, if there is one."""
        if not self.world.violation:
            return None
        operations = tuple(operation.text() for _, operation in sorted(self.world.history.operations.items()))
        return Violation(self.world.violation, tuple(self.trace), operations)

    def close(self) -> None:
        """Release the resources of the execution."""
        self.world.close()
        if self._scratch_folder is not None:
            shutil.rmtree(self._scratch_folder, ignore_errors=True)
