"""`dykeswitch explore`: model checking of the register, its member sets and the documents."""

import argparse
import dataclasses
import json
import pathlib
import sys
import typing

import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.exhaustive as exhaustive
import dykeswitch.explorer.randomised as randomised
import dykeswitch.explorer.replay as replay
import dykeswitch.explorer.scopes as scopes
import dykeswitch.explorer.trace as traces

COMMAND: typing.Final = "explore"
EXIT_CLEAN: typing.Final = 0
EXIT_VIOLATION: typing.Final = 1
EXIT_USAGE: typing.Final = 2


def add_commands(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command and its flags."""
    text = "explore orders of messages, faults and restarts of the register; exit code 1 on a violation"
    subparser = subparsers.add_parser(COMMAND, help=text, description=text)
    names = "; ".join(f"{scope.name}: {scope.description}" for scope in scopes.SCOPES.values())
    subparser.add_argument("--scope", choices=list(scopes.SCOPES), help=names)
    subparser.add_argument("--seed", type=int, default=1, help="seed of the random schedules (default 1)")
    text = "duration of each of the two searches, the exhaustive and the random one (default 60)"
    subparser.add_argument("--seconds", type=float, default=60.0, help=text)
    subparser.add_argument(
        "--schedules", type=int, default=1000, help="number of random schedules (default 1000)"
    )
    text = "'small' searches every order of a small form, 'wide' samples schedules of a larger one"
    subparser.add_argument("--form", choices=[traces.SMALL, traces.WIDE, "both"], default="both", help=text)
    text = "execute a printed trace and report what it violates"
    subparser.add_argument("--replay", type=pathlib.Path, metavar="TRACE", help=text)


def run(args: argparse.Namespace) -> int:
    """Explore, or replay a trace; return the exit code."""
    if args.replay is not None:
        return _replay(args.replay)
    if args.scope is None:
        sys.stderr.write("dykeswitch: explore needs --scope or --replay\n")
        return EXIT_USAGE
    scope = scopes.SCOPES[args.scope]
    for form in (traces.SMALL, traces.WIDE):
        if args.form in (form, "both"):
            figures = _search(scope, form, args)
            if _report(scope, form, figures) != EXIT_CLEAN:
                return EXIT_VIOLATION
    return EXIT_CLEAN


def _search(scope: scopes.Scope, form: str, args: argparse.Namespace) -> executions.Figures:
    if form == traces.SMALL:
        return exhaustive.Exhaustive(scope.small, args.seconds, _progress).run()
    return randomised.Randomised(scope.wide, args.seed, _progress).run(args.schedules, args.seconds)


def _progress(figures: executions.Figures) -> None:
    states = f"{figures.states} states, " if figures.states else ""
    sys.stderr.write(f"\r{states}{figures.executions} executions, {figures.seconds:.0f} s ")
    sys.stderr.flush()


def _report(scope: scopes.Scope, form: str, figures: executions.Figures) -> int:
    sys.stderr.write("\n")
    violation = figures.violation
    page = dataclasses.asdict(dataclasses.replace(figures, violation=None))
    del page["violation"]
    page["seconds"] = round(figures.seconds, 1)
    page["processor_seconds"] = round(figures.processor_seconds, 1)
    print(f"{traces.COMMENT} {scope.name} {form}: {json.dumps(page)}", flush=True)
    if violation is None:
        return EXIT_CLEAN
    sys.stderr.write(f"{violation.message}: shrinking a trace of {len(violation.trace)} events\n")
    print(traces.write(scope, form, replay.shrink(traces.plan_of(scope, form), violation)), end="")
    return EXIT_VIOLATION


def _replay(path: pathlib.Path) -> int:
    try:
        recorded = traces.read(path.read_text())
    except (OSError, ValueError) as error:
        sys.stderr.write(f"dykeswitch: {path}: {error}\n")
        return EXIT_USAGE
    violation = replay.replay(recorded.plan, recorded.events)
    if violation is None:
        print(f"{traces.COMMENT} no violation")
        return EXIT_CLEAN
    print(traces.write(recorded.scope, recorded.form, violation), end="")
    return EXIT_VIOLATION
