"""Fuzzing, with hypothesis, of everything that is received from the network.

A target is a strategy that generates cases and a check that raises if a case breaks something.
CI runs each target with the same few cases every time; `dykeswitch fuzz` generates cases from a
seed until its time is over. Hypothesis is a development dependency, so only this package imports it.
"""

import dataclasses
import itertools
import time
import typing

import hypothesis

import dykeswitch.cli.fuzz.answers as answers
import dykeswitch.cli.fuzz.outside as outside
import dykeswitch.cli.fuzz.registry as registry
import dykeswitch.cli.fuzz.replies as replies
import dykeswitch.cli.fuzz.store as store
import dykeswitch.cli.fuzz.target as targets

TARGETS: typing.Final[tuple[targets.Target, ...]] = (
    store.FRAMES,
    store.CALLS,
    registry.CALLS,
    replies.REPLIES_OF_MEMBERS,
    outside.REQUESTS,
    outside.HEARTBEATS,
    answers.RESPONSES,
)
# Cases in one round of a target in a long run; few enough that all targets get their turn.
ROUND_EXAMPLES: typing.Final = 50


@dataclasses.dataclass(slots=True)
class Report:
    """The result of a run: the number of cases of each target, and the failures."""

    seed: int
    cases: dict[str, int] = dataclasses.field(default_factory=dict)
    failures: list[str] = dataclasses.field(default_factory=list)


def run_target(target: targets.Target, settings: hypothesis.settings, seed: int | None = None) -> int:
    """Run one target and return the number of its cases; raises the error of the first failing case."""
    count = 0

    def check(case: typing.Any) -> None:
        nonlocal count
        count += 1
        target.check(case)

    test = settings(hypothesis.given(target.cases)(check))
    if seed is not None:
        test = hypothesis.seed(seed)(test)
    test()
    return count


def ci_settings(target: targets.Target) -> hypothesis.settings:
    """Return the settings of CI, which give the same few cases each time."""
    return _settings(target.examples, derandomize=True)


def _settings(examples: int, derandomize: bool) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=examples,
        derandomize=derandomize,
        database=None,
        deadline=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run(
    seconds: float,
    seed: int,
    chosen: typing.Sequence[targets.Target] = TARGETS,
    now: typing.Callable[[], float] = time.monotonic,
) -> Report:
    """Run the targets in turn until the time is over; a target that has failed isn't run again."""
    report = Report(seed, {target.name: 0 for target in chosen})
    remaining = list(chosen)
    end = now() + seconds
    for turn in itertools.count():
        for target in list(remaining):
            if now() >= end:
                return report
            if not _run_round(target, seed + turn, report):
                remaining.remove(target)
        if not remaining:
            return report
    raise AssertionError("unreachable: the loop over turns only ends by return")


def _run_round(target: targets.Target, seed: int, report: Report) -> bool:
    """Run some cases of one target; returns whether all of them passed."""
    examples = min(target.examples, ROUND_EXAMPLES)
    try:
        report.cases[target.name] += run_target(target, _settings(examples, derandomize=False), seed)
    except Exception as error:
        notes = " ".join(getattr(error, "__notes__", ()))
        report.failures.append(f"{target.name}, seed {seed}: {type(error).__name__}: {error} {notes}")
        return False
    return True
