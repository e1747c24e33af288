"""`dykeswitch explore`: the model checker over the register, its member sets and documents."""

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

WORD: typing.Final = "explore"
EXIT_CLEAN: typing.Final = 0
EXIT_VIOLATION: typing.Final = 1
EXIT_USAGE: typing.Final = 2


def add_words(words: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """The command and its flags."""
    text = "explore orders of messages, faults and restarts of the register; exit code 1 on a violation"
    sub = words.add_parser(WORD, help=text, description=text)
    names = "; ".join(f"{scope.name}: {scope.description}" for scope in scopes.SCOPES.values())
    sub.add_argument("--scope", choices=list(scopes.SCOPES), help=names)
    sub.add_argument("--seed", type=int, default=1, help="of the random schedules (default 1)")
    text = "for each of the two searches, the exhaustive and the random one (default 60)"
    sub.add_argument("--seconds", type=float, default=60.0, help=text)
    sub.add_argument("--schedules", type=int, default=1000, help="random schedules (default 1000)")
    text = "'small' searches every order of a small form, 'wide' draws schedules of a wider one"
    sub.add_argument("--form", choices=[traces.SMALL, traces.WIDE, "both"], default="both", help=text)
    text = "execute a trace that was printed, and tell what it breaks"
    sub.add_argument("--replay", type=pathlib.Path, metavar="TRACE", help=text)


def run(spoken: argparse.Namespace) -> int:
    """Explore or replay; the exit code."""
    if spoken.replay is not None:
        return _replay(spoken.replay)
    if spoken.scope is None:
        sys.stderr.write("dykeswitch: explore needs --scope or --replay\n")
        return EXIT_USAGE
    scope = scopes.SCOPES[spoken.scope]
    for form in (traces.SMALL, traces.WIDE):
        if spoken.form in (form, "both"):
            figures = _search(scope, form, spoken)
            if _tell(scope, form, figures) != EXIT_CLEAN:
                return EXIT_VIOLATION
    return EXIT_CLEAN


def _search(scope: scopes.Scope, form: str, spoken: argparse.Namespace) -> executions.Figures:
    if form == traces.SMALL:
        return exhaustive.Exhaustive(scope.small, spoken.seconds, _progress).run()
    return randomised.Randomised(scope.wide, spoken.seed, _progress).run(spoken.schedules, spoken.seconds)


def _progress(figures: executions.Figures) -> None:
    states = f"{figures.states} states, " if figures.states else ""
    sys.stderr.write(f"\r{states}{figures.executions} executions, {figures.seconds:.0f} s ")
    sys.stderr.flush()


def _tell(scope: scopes.Scope, form: str, figures: executions.Figures) -> int:
    sys.stderr.write("\n")
    found = figures.violation
    page = dataclasses.asdict(dataclasses.replace(figures, violation=None))
    del page["violation"]
    page["seconds"] = round(figures.seconds, 1)
    page["processor_seconds"] = round(figures.processor_seconds, 1)
    print(f"{traces.COMMENT} {scope.name} {form}: {json.dumps(page)}", flush=True)
    if found is None:
        return EXIT_CLEAN
    sys.stderr.write(f"{found.message}: shrinking a trace of {len(found.trace)} events\n")
    print(traces.write(scope, form, replay.shrink(traces.plan_of(scope, form), found)), end="")
    return EXIT_VIOLATION


def _replay(path: pathlib.Path) -> int:
    try:
        recorded = traces.read(path.read_text())
    except (OSError, ValueError) as flaw:
        sys.stderr.write(f"dykeswitch: {path}: {flaw}\n")
        return EXIT_USAGE
    found = replay.replay(recorded.plan, recorded.events)
    if found is None:
        print(f"{traces.COMMENT} nothing is broken")
        return EXIT_CLEAN
    print(traces.write(recorded.scope, recorded.form, found), end="")
    return EXIT_VIOLATION
