"""What `dykeswitch hollow` understands."""

import argparse
import pathlib
import typing

BOOK: typing.Final = pathlib.Path("docs/capacity/runs.jsonl")
PAGE: typing.Final = pathlib.Path("docs/CAPACITY.md")


def add_words(words: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """The commands of hollow fleets."""
    text = "measure what size costs: hollow fleets of many members in few processes"
    top = words.add_parser("hollow", help=text, description=text)
    subs = top.add_subparsers(dest="act", required=True, metavar="ACT")
    text = "run sweeps of hollow fleets, each run a line in the book (some 45 s a run)"
    sub = subs.add_parser("run", help=text, description=text)
    sub.add_argument("--sweeps", default="all", help="'all' or some of the plan's, by comma")
    sub.add_argument("--first-turn", type=int, default=1)
    sub.add_argument("--turns", type=int, default=3, help="runs of each size (default 3)")
    sub.add_argument("--book", type=pathlib.Path, default=BOOK)


def run(spoken: argparse.Namespace) -> int:
    """Obey; the exit code."""
    # The daemons come by here too: they must not pay for what only this tool needs.
    import dykeswitch.hollow.sweep as sweeps

    names = list(sweeps.SWEEPS) if spoken.sweeps == "all" else spoken.sweeps.split(",")
    turns = range(spoken.first_turn, spoken.first_turn + spoken.turns)
    return 1 if sweeps.run(names, turns, spoken.book) else 0
