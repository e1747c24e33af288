"""Fuzzing of all that comes off the wire, by hypothesis: bounded in CI, long by command.

A target is a strategy for cases and a check that raises when a case breaks something. CI
plays each target with the same cases every time; `dykeswitch fuzz` plays them by a seed until
its time is over. Hypothesis is a tool of development, so nothing but this package loads it.
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
    answers.ANSWERS,
)
# One round of a target in a long run: short enough that all of them get their turn.
ROUND_EXAMPLES: typing.Final = 50


@dataclasses.dataclass(slots=True)
class Report:
    """What a run came to: cases by target, and what failed."""

    seed: int
    cases: dict[str, int] = dataclasses.field(default_factory=dict)
    failures: list[str] = dataclasses.field(default_factory=list)


def play(target: targets.Target, settings: hypothesis.settings, seed: int | None = None) -> int:
    """Play one target; how many cases it had. Raises what the first failing case raised."""
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


def bounded(target: targets.Target) -> hypothesis.settings:
    """The settings of CI: the same few cases each time."""
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
    """Play the targets in turn until the time is over; one that failed is not played again."""
    report = Report(seed, {target.name: 0 for target in chosen})
    left = list(chosen)
    end = now() + seconds
    for turn in itertools.count():
        for target in list(left):
            if now() >= end:
                return report
            if not _round(target, seed + turn, report):
                left.remove(target)
        if not left:
            return report
    raise AssertionError("turns have no end")


def _round(target: targets.Target, seed: int, report: Report) -> bool:
    """Play some cases of one target; whether all of them passed."""
    examples = min(target.examples, ROUND_EXAMPLES)
    try:
        report.cases[target.name] += play(target, _settings(examples, derandomize=False), seed)
    except Exception as error:
        notes = " ".join(getattr(error, "__notes__", ()))
        report.failures.append(f"{target.name}, seed {seed}: {type(error).__name__}: {error} {notes}")
        return False
    return True
