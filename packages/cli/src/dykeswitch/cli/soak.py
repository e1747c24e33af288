"""`dykeswitch soak`: signals, restarts and changes in overlapping series, on real processes."""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import typing

import dykeswitch.simulator.soak.engine as engine
import dykeswitch.simulator.soak.plan as plans
import dykeswitch.simulator.soak.report as reports
import dykeswitch.simulator.soak.sizes as sizes

WORD: typing.Final = "soak"
EXIT_HELD: typing.Final = 0
EXIT_BROKEN: typing.Final = 1
EXIT_USAGE: typing.Final = 2
MINUTE_S: typing.Final = 60.0


def add_words(words: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """The command and its flags."""
    text = "soak a fleet of real processes in series of signals, restarts and changes that overlap"
    sub = words.add_parser(WORD, help=text, description=text)
    sub.add_argument("shape", nargs="?", choices=list(sizes.SHAPES), default=sizes.PUDDLE.name)
    sub.add_argument("--seed", type=int, default=1, help="what is done is drawn from it alone (default 1)")
    sub.add_argument("--seeds", type=int, default=1, help="so many seeds, one after the other (default 1)")
    sub.add_argument("--minutes", type=float, default=1.0, help="for how long acts begin (default 1)")
    sub.add_argument("--scale", type=float, default=0.3, help="times the shape's rate (default 0.3)")
    text = (
        "about how many processes; 0 for the shape as it is, -1 for as many as the machine bears (default 0)"
    )
    sub.add_argument("--nodes", type=int, default=0, help=text)
    text = "where plans, logs and reports go, a folder for each seed (default: a new one)"
    sub.add_argument("--folder", type=pathlib.Path, help=text)
    text = "play the plan again that a soak wrote into its folder"
    sub.add_argument("--replay", type=pathlib.Path, metavar="FOLDER", help=text)


def run(spoken: argparse.Namespace) -> int:
    """Soak, or replay; the exit code."""
    root = spoken.folder or pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-soak-"))
    most = sizes.max_processes(sizes.memory())
    try:
        given = [plans.read(spoken.replay)] if spoken.replay is not None else _drawn(spoken, most)
    except plans.PlanError as flaw:
        sys.stderr.write(f"dykeswitch: {flaw}\n")
        return EXIT_USAGE
    for plan in given:
        needed = sizes.processes(sizes.scaled_to(sizes.SHAPES[plan.shape], plan.nodes))
        if needed > most:
            sys.stderr.write(f"dykeswitch: {needed} processes are needed, this machine bears {most} now\n")
            return EXIT_USAGE
    held = [_one(plan, root / f"{plan.shape}-{plan.seed}") for plan in given]
    return EXIT_HELD if all(held) else EXIT_BROKEN


def _drawn(spoken: argparse.Namespace, most: int) -> list[plans.Plan]:
    """The plans of the seeds that were asked for, no larger than the machine bears."""
    nodes = most if spoken.nodes < 0 else min(spoken.nodes, most)
    seconds = spoken.minutes * MINUTE_S
    return [
        plans.generate(spoken.shape, seed, seconds, spoken.scale, nodes)
        for seed in range(spoken.seed, spoken.seed + spoken.seeds)
    ]


def _one(plan: plans.Plan, folder: pathlib.Path) -> bool:
    """Play one plan and tell of it; whether every check held."""
    folder.mkdir(parents=True, exist_ok=True)
    plan.write(folder)
    if sys.stderr.isatty():
        sys.stderr.write(f"seed {plan.seed}: {plan.seconds:.0f} s of acts, then calm; {folder}\n")
    day = asyncio.run(engine.play(plan, folder))
    report = reports.create(plan, day, folder)
    reports.write(report, day, folder)
    print(report.text(), flush=True)
    return report.passed
