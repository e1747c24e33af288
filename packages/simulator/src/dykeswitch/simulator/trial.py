"""Runs simulated days for many seeds and prints a verdict.

The days are distributed over worker processes.
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

# Number of faults in a mixed day.
MIXED_FAULTS: typing.Final = 4


def one_day(
    shape: str, seed: int, faults: typing.Sequence[str], scale: float, tail: float = 20.0
) -> scenarios.Verdict:
    """Run one day in this process."""
    with tempfile.TemporaryDirectory(prefix="dykeswitch-sim-") as scratch:
        work = scenarios.day(shapes.SHAPES[shape], seed, pathlib.Path(scratch), faults, scale, tail)
        verdict: scenarios.Verdict = loops.run(work)
        return verdict


def _safe_day(job: tuple[str, int, tuple[str, ...], float]) -> scenarios.Verdict:
    try:
        return one_day(*job)
    except Exception:
        error = traceback.format_exc(limit=-4)
        return scenarios.Verdict(job[1], job[0], list(job[2]), {"no_crash": [error]}, {}, [])


def mixed(seed: int) -> tuple[str, ...]:
    """Choose the faults of a mixed day by its seed."""
    names = sorted(scenarios.FAULTS)
    rng = random.Random(seed)
    return tuple(rng.sample(names, MIXED_FAULTS))


def jobs_for(
    shape: str, seeds: typing.Sequence[int], faults: typing.Sequence[str], scale: float
) -> list[tuple[str, int, tuple[str, ...], float]]:
    """Return one job per fault and seed, or one mixed day per seed if `faults` is just `mixed`."""
    if list(faults) == ["mixed"]:
        return [(shape, seed, mixed(seed), scale) for seed in seeds]
    return [(shape, seed, (fault,), scale) for fault in faults for seed in seeds]


def run(
    jobs: typing.Sequence[tuple[str, int, tuple[str, ...], float]], workers: int, print_breaches: bool = True
) -> dict[str, typing.Any]:
    """Run all days and return the summary."""
    started_at = time.monotonic()
    broken: list[dict[str, typing.Any]] = []
    sums: collections.Counter[str] = collections.Counter()
    by_fault: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    excuses: collections.Counter[str] = collections.Counter()
    recovery_times: dict[str, list[float]] = collections.defaultdict(list)
    seeds = sorted({job[1] for job in jobs})
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for verdict in pool.map(_safe_day, jobs):
            name = "+".join(verdict.faults)
            for key in ("asked", "replied", "turned_away", "unknown", "no_reply", "run_twice", "late"):
                sums[key] += verdict.figures.get(key, 0)
                by_fault[name][key] += verdict.figures.get(key, 0)
            excuses.update(verdict.excuses)
            for fault, recovery_s in verdict.back_s.items():
                recovery_times[fault].append(recovery_s)
            if verdict.breaches:
                shortened = {k: [len(v), *v[:3]] for k, v in verdict.breaches.items()}
                broken.append({"seed": verdict.seed, "faults": verdict.faults, "breaches": shortened})
                if print_breaches:
                    print(json.dumps(broken[-1]), flush=True)
    return {
        "days": len(jobs),
        "days_with_a_breach": len(broken),
        "seeds": [seeds[0], seeds[-1]] if seeds else [],
        "sums": dict(sums),
        "excused": dict(excuses),
        # For each fault, the maximum and median time after its end for which requests still failed.
        "back_s": {
            fault: [max(recoveries), statistics.median(recoveries)]
            for fault, recoveries in sorted(recovery_times.items())
            if max(recoveries) > 0
        },
        "worst_turned_away": max(((c["turned_away"], n) for n, c in by_fault.items()), default=None),
        "took_s": round(time.monotonic() - started_at, 1),
        "verdict": "held" if not broken else "broken",
    }
