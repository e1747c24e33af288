"""`dykeswitch`: the command line with all commands."""

import dykeswitch.cli.early  # noqa: F401 isort: skip

import argparse
import asyncio
import dataclasses
import json
import sys
import typing

import dykeswitch.cli.daemons as daemons
import dykeswitch.cli.explore as explore
import dykeswitch.cli.operate as operate
import dykeswitch.cli.soak as soak
import dykeswitch.outcome as outcome
import dykeswitch.scale.commands as scale
import dykeswitch.settings as settings
import dykeswitch.simulator.realtrial as realtrials
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.trial as trials
import dykeswitch.simulator.whatif as whatif
import dykeswitch.simulator.whatreal as whatreal
import dykeswitch.simulator.worth as worths
import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.shape as shapes

SubParsers: typing.TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add_programs(subparsers: SubParsers) -> None:
    """Add the commands that run the three programs of the gateway."""
    for program, text in (
        ("proxy", "run a proxy, which forwards requests to endpoints"),
        ("registry", "run a registry, which accepts heartbeats, layouts and queries"),
        ("store", "run a store, which keeps the register on disk"),
    ):
        subparser = subparsers.add_parser(program, help=text, description=text)
        settings.add_flags(subparser)


def _add_fleet(subparsers: SubParsers) -> None:
    """Add the command that runs a fleet of real processes."""
    text = "start a whole fleet on this machine, send it traffic and print the results"
    subparser = subparsers.add_parser("fleet", help=text, description=text)
    subparser.add_argument("shape", choices=list(shapes.SHAPES))
    subparser.add_argument(
        "--duration", "--span", type=float, default=20.0, help="seconds of traffic (default 20)"
    )
    subparser.add_argument(
        "--scale", type=float, default=1.0, help="multiplier of the shape's request rate (default 1)"
    )
    subparser.add_argument("--seed", type=int, default=1)


def _add_simulate(subparsers: SubParsers) -> None:
    """Add the command for what-if simulations."""
    text = "simulate what clients would see under a script of events, and explain why"
    subparser = subparsers.add_parser("simulate", help=text, description=text)
    subparser.add_argument("shape", choices=list(shapes.SHAPES))
    event = "'AT TARGET NAME ACT SPAN', for example '5 zone z1 down 10'; can be repeated"
    subparser.add_argument("--event", action="append", default=[], help=event)
    subparser.add_argument("--set", action="append", default=[], metavar="NAME=VALUE", help="a setting")
    subparser.add_argument("--versus-event", action="append", default=[], help="an event of a second variant")
    subparser.add_argument(
        "--versus-set", action="append", default=[], metavar="NAME=VALUE", help="a setting of it"
    )
    subparser.add_argument(
        "--duration", "--span", type=float, default=30.0, help="seconds of traffic (default 30)"
    )
    subparser.add_argument(
        "--scale", type=float, default=0.2, help="multiplier of the request rate (default 0.2)"
    )
    subparser.add_argument("--seeds", type=int, default=3, help="number of seeds, the same for both variants")
    text = "run the first variant on real processes too ('down' events only) and compare both"
    subparser.add_argument("--real", action="store_true", help=text)


def _add_trial(subparsers: SubParsers) -> None:
    """Add the command for trials under faults."""
    text = "inject the required faults in the simulator under many seeds and check each run"
    subparser = subparsers.add_parser("trial", help=text, description=text)
    subparser.add_argument("shape", choices=list(shapes.SHAPES))
    names = ", ".join(scenarios.FAULTS)
    known_failing = ", ".join(scenarios.KNOWN_FAILING)
    subparser.add_argument(
        "--faults",
        default="all",
        help=f"'all' (each by itself), 'mixed', 'known-failing', or some of: {names};"
        f" known to fail: {known_failing}",
    )
    subparser.add_argument(
        "--real",
        action="store_true",
        help=f"use real processes, with all actions in one run: {', '.join(realtrials.ACTS)}",
    )
    subparser.add_argument("--first-seed", type=int, default=1)
    subparser.add_argument("--seeds", type=int, default=3, help="how many seeds (default 3)")
    subparser.add_argument(
        "--scale", type=float, default=0.1, help="multiplier of the request rate (default 0.1)"
    )
    subparser.add_argument("--workers", type=int, default=8)


def _add_worth(subparsers: SubParsers) -> None:
    """Add the command that rates fleets of unequal endpoints."""
    text = "simulate a fleet of unequal endpoints at its full rate and report what it is worth to clients"
    subparser = subparsers.add_parser("worth", help=text, description=text)
    subparser.add_argument("shape", choices=list(shapes.UNEQUAL))
    subparser.add_argument("--first-seed", type=int, default=1)
    subparser.add_argument("--seeds", type=int, default=3, help="how many seeds (default 3)")
    subparser.add_argument(
        "--duration", "--span", type=float, default=20.0, help="seconds of traffic (default 20)"
    )
    text = "fraction of the fleet to simulate, at the same load (default 1, all of it)"
    subparser.add_argument("--part", type=float, default=1.0, help=text)
    text = "factor by which there are fewer requests and each takes longer (default 1)"
    subparser.add_argument("--slower", type=float, default=1.0, help=text)
    subparser.add_argument("--workers", type=int, default=3)


def _add_fuzz(subparsers: SubParsers) -> None:
    """Add the fuzzing command."""
    text = "send malformed frames, bodies and responses to the programs until the time is over"
    subparser = subparsers.add_parser("fuzz", help=text, description=text)
    subparser.add_argument("--seconds", type=float, default=60.0, help="duration (default 60)")
    subparser.add_argument(
        "--seed", type=int, default=1, help="the same seed gives the same cases (default 1)"
    )


def parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    top = argparse.ArgumentParser(prog="dykeswitch", description="An API gateway that repairs itself.")
    subparsers = top.add_subparsers(dest="word", required=True, metavar="COMMAND")
    _add_programs(subparsers)
    operate.add_commands(subparsers)
    _add_fleet(subparsers)
    _add_simulate(subparsers)
    _add_trial(subparsers)
    scale.add_words(subparsers)
    explore.add_commands(subparsers)
    soak.add_commands(subparsers)
    _add_worth(subparsers)
    _add_fuzz(subparsers)
    return top


def _variant(name: str, events: list[str], sets: list[str]) -> whatif.Variant | str:
    """Make a variant from flags, or return what is wrong with them."""
    parsed = [whatif.read_event(text) for text in events]
    for event in parsed:
        if isinstance(event, str):
            return event
    raw: dict[str, object] = {}
    for text in sets:
        key, _, value = text.partition("=")
        try:
            raw[key] = float(value) if "." in value or key.endswith("_s") else int(value)
        except ValueError:
            return f"'{text}' is not of the form NAME=NUMBER"
    # Checked like any settings; `base` fills in what only a real process needs.
    base = {"name": "x", "store": "127.0.0.1:1", "web": "127.0.0.1:2", "data": "-"}
    checked = settings.check("store", {**raw, **base})
    if isinstance(checked, outcome.Failure):
        return "; ".join(checked.faults)
    return whatif.Variant(name, tuple(e for e in parsed if isinstance(e, whatif.Event)), dict(raw))


def _simulate(args: argparse.Namespace) -> int:
    variants = [_variant("first", args.event, args.set)]
    if args.versus_event or args.versus_set:
        variants.append(_variant("second", args.versus_event, args.versus_set))
    seeds = range(1, args.seeds + 1)
    pages: list[dict[str, object]] = []
    for variant in variants:
        if isinstance(variant, str):
            sys.stderr.write(f"dykeswitch: {variant}\n")
            return 2
        pages.append(whatif.simulate(shapes.SHAPES[args.shape], variant, seeds, args.duration, args.scale))
    first = variants[0]
    if args.real and isinstance(first, whatif.Variant):
        if any(event.act != "down" for event in first.events):
            sys.stderr.write("dykeswitch: --real supports 'down' events only\n")
            return 2
        shape = shapes.SHAPES[args.shape]
        measured = asyncio.run(whatreal.run(shape, first, 1, args.duration, args.scale))
        print(json.dumps([pages[0], measured, whatreal.compare(pages[0], measured)], indent=2))
        return 0
    if len(pages) == 2:
        pages.append({"second less first": whatif.difference(pages[0], pages[1])})
    print(json.dumps(pages, indent=2))
    return 0


def _real_trial(args: argparse.Namespace) -> int:
    acts = list(realtrials.ACTS) if args.faults == "all" else args.faults.split(",")
    unknown = [a for a in acts if a not in realtrials.ACTS]
    if unknown:
        sys.stderr.write(f"dykeswitch: unknown action: {', '.join(unknown)}\n")
        return 2
    passed = True
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        figures = asyncio.run(realtrials.day(args.shape, acts, seed, args.scale))
        print(json.dumps(figures, indent=2), flush=True)
        passed = passed and figures["verdict"] == "held"
    return 0 if passed else 1


def _trial(args: argparse.Namespace) -> int:
    if args.real:
        return _real_trial(args)
    # "coming" is the former name of "known-failing".
    known_failing = scenarios.KNOWN_FAILING
    tables = {"all": scenarios.FAULTS, "known-failing": known_failing, "coming": known_failing}
    faults = list(tables.get(args.faults, args.faults.split(",")))
    unknown = [f for f in faults if f not in scenarios.ALL and f != "mixed"]
    if unknown:
        sys.stderr.write(f"dykeswitch: unknown fault: {', '.join(unknown)}\n")
        return 2
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    figures = trials.run(trials.jobs_for(args.shape, seeds, faults, args.scale), args.workers)
    print(json.dumps(figures, indent=2))
    return 0 if figures["verdict"] == "held" else 1


def _worth(args: argparse.Namespace) -> int:
    shape = shapes.UNEQUAL[args.shape]
    if args.part != 1.0:
        shape = shape.scaled_down(args.part)
    if args.slower != 1.0:
        shape = shape.slowed_down(args.slower)
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    page = worths.over_seeds(shape, seeds, args.duration, workers=args.workers)
    header = {"shape": shape.name, "proxies": shape.proxies, "seeds": list(seeds), "span_s": args.duration}
    print(json.dumps({**header, **page}, indent=2))
    return 0


def _fuzz(args: argparse.Namespace) -> int:
    try:
        # Hypothesis is a development dependency, which an installed gateway need not have.
        import dykeswitch.cli.fuzz as fuzz
    except ModuleNotFoundError as error:
        sys.stderr.write(f"dykeswitch: fuzzing needs the package {error.name}, see requirements-dev.txt\n")
        return 2
    report = fuzz.run(args.seconds, args.seed)
    print(json.dumps(dataclasses.asdict(report), indent=2))
    return 1 if report.failures else 0


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = parser().parse_args(argv)
    if args.word in ("query", "apply", "fetch", "compare", "check"):
        return operate.run(args)
    if args.word == explore.COMMAND:
        return explore.run(args)
    if args.word == soak.COMMAND:
        return soak.run(args)
    if args.word in scale.NAMES:
        return scale.run(args)
    if args.word == "fleet":
        figures = asyncio.run(fleets.show(args.shape, args.duration, args.seed, args.scale))
        print(json.dumps(figures, indent=2))
        return 0
    if args.word == "simulate":
        return _simulate(args)
    if args.word == "trial":
        return _trial(args)
    if args.word == "worth":
        return _worth(args)
    if args.word == "fuzz":
        return _fuzz(args)
    return daemons.run(args.word, args)


if __name__ == "__main__":
    sys.exit(main())
