"""`dykeswitch`: one command line for all."""

import argparse
import asyncio
import json
import sys
import typing

import dykeswitch.cli.daemons as daemons
import dykeswitch.cli.operate as operate
import dykeswitch.settings as settings
import dykeswitch.simulator.realtrial as realtrials
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.trial as trials
import dykeswitch.standin.fleet as fleets


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="dykeswitch", description="An API gateway that repairs itself.")
    words = top.add_subparsers(dest="word", required=True, metavar="COMMAND")
    for program, text in (
        ("proxy", "run a proxy: carries exchanges to endpoints"),
        ("registry", "run a registry: takes beats, layouts and queries"),
        ("store", "run a store: keeps the register on disk"),
    ):
        sub = words.add_parser(program, help=text, description=text)
        settings.add_flags(sub)
    operate.add_words(words)
    text = "start a whole fleet on this machine, send it traffic, print the figures"
    sub = words.add_parser("fleet", help=text, description=text)
    sub.add_argument("shape", choices=["ghent", "lima"])
    sub.add_argument("--span", type=float, default=20.0, help="seconds of traffic (default 20)")
    sub.add_argument("--scale", type=float, default=1.0, help="times the shape's rate (default 1)")
    sub.add_argument("--seed", type=int, default=1)
    text = "bring about the brief's failures in the simulator under many seeds; judge each day"
    sub = words.add_parser("trial", help=text, description=text)
    sub.add_argument("shape", choices=["ghent", "lima"])
    sub.add_argument(
        "--faults",
        default="all",
        help=f"'all' (each by itself), 'mixed', or some of: {', '.join(scenarios.FAULTS)}",
    )
    sub.add_argument(
        "--real",
        action="store_true",
        help=f"on real processes instead, all acts in one day: {', '.join(realtrials.ACTS)}",
    )
    sub.add_argument("--first-seed", type=int, default=1)
    sub.add_argument("--seeds", type=int, default=3, help="how many seeds (default 3)")
    sub.add_argument("--scale", type=float, default=0.1, help="times the shape's rate (default 0.1)")
    sub.add_argument("--workers", type=int, default=8)
    return top


def _real_trial(spoken: argparse.Namespace) -> int:
    acts = list(realtrials.ACTS) if spoken.faults == "all" else spoken.faults.split(",")
    unknown = [a for a in acts if a not in realtrials.ACTS]
    if unknown:
        sys.stderr.write(f"dykeswitch: no such act: {', '.join(unknown)}\n")
        return 2
    held = True
    for seed in range(spoken.first_seed, spoken.first_seed + spoken.seeds):
        figures = asyncio.run(realtrials.day(spoken.shape, acts, seed, spoken.scale))
        print(json.dumps(figures, indent=2), flush=True)
        held = held and figures["verdict"] == "held"
    return 0 if held else 1


def _trial(spoken: argparse.Namespace) -> int:
    if spoken.real:
        return _real_trial(spoken)
    faults = list(scenarios.FAULTS) if spoken.faults == "all" else spoken.faults.split(",")
    unknown = [f for f in faults if f not in scenarios.FAULTS and f != "mixed"]
    if unknown:
        sys.stderr.write(f"dykeswitch: no such fault: {', '.join(unknown)}\n")
        return 2
    seeds = range(spoken.first_seed, spoken.first_seed + spoken.seeds)
    figures = trials.run(trials.jobs_for(spoken.shape, seeds, faults, spoken.scale), spoken.workers)
    print(json.dumps(figures, indent=2))
    return 0 if figures["verdict"] == "held" else 1


def main(argv: typing.Sequence[str] | None = None) -> int:
    spoken = parser().parse_args(argv)
    if spoken.word in ("query", "apply", "fetch", "compare", "check"):
        return operate.run(spoken)
    if spoken.word == "fleet":
        figures = asyncio.run(fleets.show(spoken.shape, spoken.span, spoken.seed, spoken.scale))
        print(json.dumps(figures, indent=2))
        return 0
    if spoken.word == "trial":
        return _trial(spoken)
    return daemons.run(spoken.word, spoken)


if __name__ == "__main__":
    sys.exit(main())
