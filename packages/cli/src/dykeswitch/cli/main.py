"""`dykeswitch`: one command line for all."""

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

Words: typing.TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add_programs(words: Words) -> None:
    """The three programs of the gateway."""
    for program, text in (
        ("proxy", "run a proxy: carries exchanges to endpoints"),
        ("registry", "run a registry: takes beats, layouts and queries"),
        ("store", "run a store: keeps the register on disk"),
    ):
        sub = words.add_parser(program, help=text, description=text)
        settings.add_flags(sub)


def _add_fleet(words: Words) -> None:
    """A whole fleet of real processes."""
    text = "start a whole fleet on this machine, send it traffic, print the figures"
    sub = words.add_parser("fleet", help=text, description=text)
    sub.add_argument("shape", choices=list(shapes.SHAPES))
    sub.add_argument("--duration", "--span", type=float, default=20.0, help="seconds of traffic (default 20)")
    sub.add_argument("--scale", type=float, default=1.0, help="times the shape's rate (default 1)")
    sub.add_argument("--seed", type=int, default=1)


def _add_simulate(words: Words) -> None:
    """What-if questions."""
    text = "ask what if: what callers would see under a script of events, and why"
    sub = words.add_parser("simulate", help=text, description=text)
    sub.add_argument("shape", choices=list(shapes.SHAPES))
    event = "'AT TARGET NAME ACT SPAN', as '5 zone z1 down 10'; may be given more than once"
    sub.add_argument("--event", action="append", default=[], help=event)
    sub.add_argument("--set", action="append", default=[], metavar="NAME=VALUE", help="a setting")
    sub.add_argument("--versus-event", action="append", default=[], help="events of a second variant")
    sub.add_argument("--versus-set", action="append", default=[], metavar="NAME=VALUE", help="its settings")
    sub.add_argument("--duration", "--span", type=float, default=30.0, help="seconds of traffic (default 30)")
    sub.add_argument("--scale", type=float, default=0.2, help="times the shape's rate (default 0.2)")
    sub.add_argument("--seeds", type=int, default=3, help="seeds, the same for both variants")
    text = "play the first variant on real processes too ('down' events only) and set both side by side"
    sub.add_argument("--real", action="store_true", help=text)


def _add_trial(words: Words) -> None:
    """Days of failures."""
    text = "bring about the brief's failures in the simulator under many seeds; judge each day"
    sub = words.add_parser("trial", help=text, description=text)
    sub.add_argument("shape", choices=list(shapes.SHAPES))
    names = ", ".join(scenarios.FAULTS)
    later = ", ".join(scenarios.KNOWN_FAILING)
    sub.add_argument(
        "--faults",
        default="all",
        help=f"'all' (each by itself), 'mixed', 'known-failing', or some of: {names}; not held yet: {later}",
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


def _add_worth(words: Words) -> None:
    """What a fleet of unequal endpoints is worth."""
    text = "what a fleet of unequal endpoints is worth to its callers, simulated at its full rate"
    sub = words.add_parser("worth", help=text, description=text)
    sub.add_argument("shape", choices=list(shapes.UNEQUAL))
    sub.add_argument("--first-seed", type=int, default=1)
    sub.add_argument("--seeds", type=int, default=3, help="how many seeds (default 3)")
    sub.add_argument("--duration", "--span", type=float, default=20.0, help="seconds of traffic (default 20)")
    text = "a part of the fleet at the same load (default 1, all of it)"
    sub.add_argument("--part", type=float, default=1.0, help=text)
    text = "so many times fewer requests, each so many times as long (default 1)"
    sub.add_argument("--slower", type=float, default=1.0, help=text)
    sub.add_argument("--workers", type=int, default=3)


def _add_fuzz(words: Words) -> None:
    """Odd input to the programs."""
    text = "send odd frames, bodies and answers to the programs until the time is over"
    sub = words.add_parser("fuzz", help=text, description=text)
    sub.add_argument("--seconds", type=float, default=60.0, help="how long (default 60)")
    sub.add_argument("--seed", type=int, default=1, help="the same seed plays the same cases (default 1)")


def parser() -> argparse.ArgumentParser:
    """The whole command line."""
    top = argparse.ArgumentParser(prog="dykeswitch", description="An API gateway that repairs itself.")
    words = top.add_subparsers(dest="word", required=True, metavar="COMMAND")
    _add_programs(words)
    operate.add_words(words)
    _add_fleet(words)
    _add_simulate(words)
    _add_trial(words)
    scale.add_words(words)
    explore.add_words(words)
    soak.add_words(words)
    _add_worth(words)
    _add_fuzz(words)
    return top


def _variant(name: str, events: list[str], sets: list[str]) -> whatif.Variant | str:
    """A variant out of flags, or what is wrong with them."""
    read = [whatif.read_event(text) for text in events]
    for found in read:
        if isinstance(found, str):
            return found
    raw: dict[str, object] = {}
    for text in sets:
        key, _, value = text.partition("=")
        try:
            raw[key] = float(value) if "." in value or key.endswith("_s") else int(value)
        except ValueError:
            return f"'{text}' is not NAME=NUMBER"
    # The same check as for any settings, less what only a real process needs.
    base = {"name": "x", "store": "127.0.0.1:1", "web": "127.0.0.1:2", "data": "-"}
    checked = settings.check("store", {**raw, **base})
    if isinstance(checked, outcome.Failure):
        return "; ".join(checked.faults)
    return whatif.Variant(name, tuple(e for e in read if isinstance(e, whatif.Event)), dict(raw))


def _simulate(spoken: argparse.Namespace) -> int:
    sides = [_variant("first", spoken.event, spoken.set)]
    if spoken.versus_event or spoken.versus_set:
        sides.append(_variant("second", spoken.versus_event, spoken.versus_set))
    seeds = range(1, spoken.seeds + 1)
    pages: list[dict[str, object]] = []
    for side in sides:
        if isinstance(side, str):
            sys.stderr.write(f"dykeswitch: {side}\n")
            return 2
        pages.append(whatif.simulate(shapes.SHAPES[spoken.shape], side, seeds, spoken.duration, spoken.scale))
    first = sides[0]
    if spoken.real and isinstance(first, whatif.Variant):
        if any(event.act != "down" for event in first.events):
            sys.stderr.write("dykeswitch: --real plays 'down' events only\n")
            return 2
        shape = shapes.SHAPES[spoken.shape]
        found = asyncio.run(whatreal.run(shape, first, 1, spoken.duration, spoken.scale))
        print(json.dumps([pages[0], found, whatreal.compare(pages[0], found)], indent=2))
        return 0
    if len(pages) == 2:
        pages.append({"second less first": whatif.difference(pages[0], pages[1])})
    print(json.dumps(pages, indent=2))
    return 0


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
    # "coming" is the earlier name of the table of failures that are known not to be held.
    known_failing = scenarios.KNOWN_FAILING
    tables = {"all": scenarios.FAULTS, "known-failing": known_failing, "coming": known_failing}
    faults = list(tables.get(spoken.faults, spoken.faults.split(",")))
    unknown = [f for f in faults if f not in scenarios.ALL and f != "mixed"]
    if unknown:
        sys.stderr.write(f"dykeswitch: no such fault: {', '.join(unknown)}\n")
        return 2
    seeds = range(spoken.first_seed, spoken.first_seed + spoken.seeds)
    figures = trials.run(trials.jobs_for(spoken.shape, seeds, faults, spoken.scale), spoken.workers)
    print(json.dumps(figures, indent=2))
    return 0 if figures["verdict"] == "held" else 1


def _worth(spoken: argparse.Namespace) -> int:
    shape = shapes.UNEQUAL[spoken.shape]
    if spoken.part != 1.0:
        shape = shape.scaled_down(spoken.part)
    if spoken.slower != 1.0:
        shape = shape.slowed_down(spoken.slower)
    seeds = range(spoken.first_seed, spoken.first_seed + spoken.seeds)
    page = worths.over_seeds(shape, seeds, spoken.duration, workers=spoken.workers)
    head = {"shape": shape.name, "proxies": shape.proxies, "seeds": list(seeds), "span_s": spoken.duration}
    print(json.dumps({**head, **page}, indent=2))
    return 0


def _fuzz(spoken: argparse.Namespace) -> int:
    try:
        # Hypothesis is a tool of development: an installed gateway need not have it.
        import dykeswitch.cli.fuzz as fuzz
    except ModuleNotFoundError as flaw:
        sys.stderr.write(f"dykeswitch: fuzzing needs {flaw.name}: see requirements-dev.txt\n")
        return 2
    report = fuzz.run(spoken.seconds, spoken.seed)
    print(json.dumps(dataclasses.asdict(report), indent=2))
    return 1 if report.failures else 0


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run one command; its exit code."""
    spoken = parser().parse_args(argv)
    if spoken.word in ("query", "apply", "fetch", "compare", "check"):
        return operate.run(spoken)
    if spoken.word == explore.WORD:
        return explore.run(spoken)
    if spoken.word == soak.WORD:
        return soak.run(spoken)
    if spoken.word in scale.NAMES:
        return scale.run(spoken)
    if spoken.word == "fleet":
        figures = asyncio.run(fleets.show(spoken.shape, spoken.duration, spoken.seed, spoken.scale))
        print(json.dumps(figures, indent=2))
        return 0
    if spoken.word == "simulate":
        return _simulate(spoken)
    if spoken.word == "trial":
        return _trial(spoken)
    if spoken.word == "worth":
        return _worth(spoken)
    if spoken.word == "fuzz":
        return _fuzz(spoken)
    return daemons.run(spoken.word, spoken)


if __name__ == "__main__":
    sys.exit(main())
