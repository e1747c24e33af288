"""Each fuzzing target with the cases of CI, which are few and the same every time."""

import itertools

import pytest

import dykeswitch.cli.fuzz as fuzz
import dykeswitch.cli.fuzz.target as targets


@pytest.mark.parametrize("target", fuzz.TARGETS, ids=lambda target: target.name)
def test_bounded(target: targets.Target) -> None:
    assert fuzz.run_target(target, fuzz.ci_settings(target)) >= min(target.examples, 4)


def test_the_same_cases_each_time() -> None:
    """CI is reproducible, and a seed generates the same cases again."""
    for seed in (None, 7):
        runs = []
        for _ in range(2):
            seen: list[object] = []
            original = fuzz.TARGETS[-1]
            target = targets.Target(original.name, original.cases, seen.append, 20)
            fuzz.run_target(
                target, fuzz.ci_settings(target) if seed is None else fuzz._settings(20, False), seed
            )
            runs.append(seen)
        assert runs[0] == runs[1]


def test_a_failing_case_is_told_and_the_others_go_on() -> None:
    """A run ends when its time is over, and its report names target, seed and error of a failure."""

    def fail(case: object) -> None:
        raise ValueError("broken by the test")

    passing = fuzz.TARGETS[-1]
    failing = targets.Target("broken", passing.cases, fail, 5)
    clock = itertools.count()
    report = fuzz.run(5, 3, [failing, passing], lambda: next(clock))
    assert len(report.failures) == 1
    assert report.failures[0].startswith("broken, seed 3: ValueError: broken by the test")
    assert report.cases[passing.name] > 0
