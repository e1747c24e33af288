"""`dykeswitch soak`: overlapping series of signals, restarts and changes on real processes."""

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

COMMAND: typing.Final = "soak"
EXIT_PASSED: typing.Final = 0
EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
SECONDS_PER_MINUTE: typing.Final = 60.0


def add_commands(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command and its flags."""
    text = "run a soak test: overlapping series of signals, restarts and changes on a fleet of real processes"
    subparser = subparsers.add_parser(COMMAND, help=text, description=text)
    subparser.add_argument("shape", nargs="?", choices=list(sizes.SHAPES), default=sizes.PUDDLE.name)
    subparser.add_argument("--seed", type=int, default=1, help="seed that determines all actions (default 1)")
    subparser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run (default 1)"
    )
    subparser.add_argument(
        "--minutes", type=float, default=1.0, help="how long new actions are started (default 1)"
    )
    subparser.add_argument(
        "--scale", type=float, default=0.3, help="multiplier of the request rate (default 0.3)"
    )
    text = (
        "approximate number of processes; 0 for those of the shape, -1 for as many as the machine can run"
        " (default 0)"
    )
    subparser.add_argument("--nodes", type=int, default=0, help=text)
    text = "folder for plans, logs and reports, with a subfolder for each seed (default: a new one)"
    subparser.add_argument("--folder", type=pathlib.Path, help=text)
    text = "run the plan again that an earlier soak test wrote to its folder"
    subparser.add_argument("--replay", type=pathlib.Path, metavar="FOLDER", help=text)


def run(args: argparse.Namespace) -> int:
    """Run the soak tests, or replay one; return the exit code."""
    root = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-soak-"))
    max_processes = sizes.max_processes(sizes.memory())
    try:
        chosen = [plans.read(args.replay)] if args.replay is not None else _plans(args, max_processes)
    except plans.PlanError as error:
        sys.stderr.write(f"dykeswitch: {error}\n")
        return EXIT_USAGE
    for plan in chosen:
        needed = sizes.processes(sizes.scaled_to(sizes.SHAPES[plan.shape], plan.nodes))
        if needed > max_processes:
            sys.stderr.write(
                f"dykeswitch: {needed} processes are needed, but this machine can run {max_processes} now\n"
            )
            return EXIT_USAGE
    passed = [_run_plan(plan, root / f"{plan.shape}-{plan.seed}") for plan in chosen]
    return EXIT_PASSED if all(passed) else EXIT_FAILED


def _plans(args: argparse.Namespace, max_processes: int) -> list[plans.Plan]:
    """Return the plans of the requested seeds, with at most `max_processes` processes."""
    nodes = max_processes if args.nodes < 0 else min(args.nodes, max_processes)
    seconds = args.minutes * SECONDS_PER_MINUTE
    return [
        plans.generate(args.shape, seed, seconds, args.scale, nodes)
        for seed in range(args.seed, args.seed + args.seeds)
    ]


def _run_plan(plan: plans.Plan, folder: pathlib.Path) -> bool:
    """Run one plan and report its result; returns whether every check passed."""
    folder.mkdir(parents=True, exist_ok=True)
    plan.write(folder)
    if sys.stderr.isatty():
        sys.stderr.write(
            f"seed {plan.seed}: {plan.seconds:.0f} s of actions, then a quiet period; output in {folder}\n"
        )
    day = asyncio.run(engine.play(plan, folder))
    report = reports.create(plan, day, folder)
    reports.write(report, day, folder)
    print(report.text(), flush=True)
    return report.passed
