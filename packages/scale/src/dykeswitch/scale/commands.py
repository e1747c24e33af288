"""The command `dykeswitch scale`."""

import argparse
import pathlib
import typing

# The command, and its earlier name.
NAMES: typing.Final = ("scale", "hollow")
RECORDS: typing.Final = pathlib.Path("docs/capacity/runs.jsonl")
PAGE: typing.Final = pathlib.Path("docs/CAPACITY.md")


def add_words(words: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """The command with its actions."""
    text = "measure what size costs: test fleets of many members in few processes"
    top = words.add_parser(NAMES[0], aliases=NAMES[1:], help=text, description=text)
    subs = top.add_subparsers(dest="act", required=True, metavar="ACT")
    text = "run sweeps of test fleets, each run a line in the output (some 45 s a run)"
    sub = subs.add_parser("run", help=text, description=text)
    sub.add_argument("--sweeps", default="all", help="'all' or some of the plan's, by comma")
    sub.add_argument("--first-turn", type=int, default=1)
    sub.add_argument("--turns", type=int, default=3, help="runs of each size (default 3)")
    sub.add_argument("--output", "--book", type=pathlib.Path, default=RECORDS)
    text = "on virtual time instead: bytes and delays alone, with no machine in them"
    sub.add_argument("--simulated", action="store_true", help=text)
    text = "measure what one proxy adds to a request, against endpoints called directly"
    sub = subs.add_parser("data", help=text, description=text)
    sub.add_argument("--first-turn", type=int, default=1)
    sub.add_argument("--turns", type=int, default=3, help="runs of each load (default 3)")
    sub.add_argument("--output", "--book", type=pathlib.Path, default=RECORDS.parent / "data.jsonl")
    text = "make the page's tables and plots anew out of the records beside it"
    sub = subs.add_parser("report", help=text, description=text)
    sub.add_argument("--page", type=pathlib.Path, default=PAGE)
    sub.add_argument("--records", type=pathlib.Path, default=RECORDS.parent)


def run(spoken: argparse.Namespace) -> int:
    """Carry out one action; the exit code."""
    # The daemons come by here too: they must not pay for what only this tool needs.
    if spoken.act == "report":
        import dykeswitch.scale.dataset as datasets
        import dykeswitch.scale.plots as plots
        import dykeswitch.scale.report as reports

        data = datasets.load(datasets.read(spoken.records))
        spoken.page.write_text(reports.fill(spoken.page.read_text(), data))
        plots.draw(data, spoken.records)
        return 0
    import dykeswitch.scale.data_path as data_path
    import dykeswitch.scale.sweep as sweeps

    turns = range(spoken.first_turn, spoken.first_turn + spoken.turns)
    if spoken.act == "data":
        return 1 if data_path.run(turns, spoken.output) else 0
    names = list(sweeps.SWEEPS) if spoken.sweeps == "all" else spoken.sweeps.split(",")
    return 1 if sweeps.run(names, turns, spoken.output, spoken.simulated) else 0
