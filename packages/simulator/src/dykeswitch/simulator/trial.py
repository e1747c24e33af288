"""Many days under many seeds, with a printed verdict.

A tool for tests: it spreads the days over worker processes of its own.
"""

import collections
import concurrent.futures
import json
import pathlib
import random
import statistics
import tempfile
import time
import traceback
import typing

import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.standin.shape as shapes

# How many faults a mixed day has.
MIXED: typing.Final = 4


def one_day(
    shape: str, seed: int, faults: typing.Sequence[str], scale: float, tail: float = 20.0
) -> scenarios.Verdict:
    """One day in this process."""
    with tempfile.TemporaryDirectory(prefix="dykeswitch-sim-") as scratch:
        work = scenarios.day(shapes.SHAPES[shape], seed, pathlib.Path(scratch), faults, scale, tail)
        verdict: scenarios.Verdict = loops.run(work)
        return verdict


def _safe_day(job: tuple[str, int, tuple[str, ...], float]) -> scenarios.Verdict:
    try:
        return one_day(*job)
    except Exception:
        flaw = traceback.format_exc(limit=-4)
        return scenarios.Verdict(job[1], job[0], list(job[2]), {"no_crash": [flaw]}, {}, [])


def mixed(seed: int) -> tuple[str, ...]:
    """The faults of a mixed day, by its seed."""
    names = sorted(scenarios.FAULTS)
    rng = random.Random(seed)
    return tuple(rng.sample(names, MIXED))


def jobs_for(
    shape: str, seeds: typing.Sequence[int], faults: typing.Sequence[str], scale: float
) -> list[tuple[str, int, tuple[str, ...], float]]:
    """Each fault by itself, or mixed days where none is named."""
    if list(faults) == ["mixed"]:
        return [(shape, seed, mixed(seed), scale) for seed in seeds]
    return [(shape, seed, (fault,), scale) for fault in faults for seed in seeds]


def run(
    jobs: typing.Sequence[tuple[str, int, tuple[str, ...], float]], workers: int, say: bool = True
) -> dict[str, typing.Any]:
    """Run all days and sum them up."""
    begun = time.monotonic()
    broken: list[dict[str, typing.Any]] = []
    sums: collections.Counter[str] = collections.Counter()
    by_fault: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    excuses: collections.Counter[str] = collections.Counter()
    back: dict[str, list[float]] = collections.defaultdict(list)
    seeds = sorted({job[1] for job in jobs})
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for verdict in pool.map(_safe_day, jobs):
            name = "+".join(verdict.faults)
            for key in ("asked", "replied", "turned_away", "unknown", "no_reply", "run_twice", "late"):
                sums[key] += verdict.figures.get(key, 0)
                by_fault[name][key] += verdict.figures.get(key, 0)
            excuses.update(verdict.excuses)
            for fault, span in verdict.back_s.items():
                back[fault].append(span)
            if verdict.breaches:
                short = {k: [len(v), *v[:3]] for k, v in verdict.breaches.items()}
                broken.append({"seed": verdict.seed, "faults": verdict.faults, "breaches": short})
                if say:
                    print(json.dumps(broken[-1]), flush=True)
    return {
        "days": len(jobs),
        "days_with_a_breach": len(broken),
        "seeds": [seeds[0], seeds[-1]] if seeds else [],
        "sums": dict(sums),
        "excused": dict(excuses),
        # For each fault, the worst and the middle of how long after its end requests failed.
        "back_s": {
            fault: [max(spans), statistics.median(spans)]
            for fault, spans in sorted(back.items())
            if max(spans) > 0
        },
        "worst_turned_away": max(((c["turned_away"], n) for n, c in by_fault.items()), default=None),
        "took_s": round(time.monotonic() - begun, 1),
        "verdict": "held" if not broken else "broken",
    }
