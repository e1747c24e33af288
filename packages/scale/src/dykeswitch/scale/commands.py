"""The command `dykeswitch scale`."""

import argparse
import pathlib
import typing

# The name of the command and its former name, which is kept as an alias.
NAMES: typing.Final = ("scale", "hollow")
RECORDS: typing.Final = pathlib.Path("docs/capacity/runs.jsonl")
PAGE: typing.Final = pathlib.Path("docs/CAPACITY.md")


def add_words(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command and its actions to the parser."""
    help_text = "measure the cost of fleet size, with test fleets of many members in a few processes"
    command_parser = subparsers.add_parser(NAMES[0], aliases=NAMES[1:], help=help_text, description=help_text)
    actions = command_parser.add_subparsers(dest="act", required=True, metavar="ACT")
    help_text = "run sweeps of test fleets; each run takes about 45 s and adds a line to the output"
    action_parser = actions.add_parser("run", help=help_text, description=help_text)
    action_parser.add_argument(
        "--sweeps", default="all", help="'all', or names of planned sweeps separated by commas"
    )
    action_parser.add_argument("--first-turn", type=int, default=1)
    action_parser.add_argument("--turns", type=int, default=3, help="runs of each size (default 3)")
    action_parser.add_argument("--output", "--book", type=pathlib.Path, default=RECORDS)
    help_text = "run on virtual time, which measures only bytes and delays, independent of the machine"
    action_parser.add_argument("--simulated", action="store_true", help=help_text)
    help_text = "measure what one proxy adds to a request, compared with calling endpoints directly"
    action_parser = actions.add_parser("data", help=help_text, description=help_text)
    action_parser.add_argument("--first-turn", type=int, default=1)
    action_parser.add_argument("--turns", type=int, default=3, help="runs of each load (default 3)")
    action_parser.add_argument("--output", "--book", type=pathlib.Path, default=RECORDS.parent / "data.jsonl")
    help_text = "regenerate the tables and plots of the page from the records beside it"
    action_parser = actions.add_parser("report", help=help_text, description=help_text)
    action_parser.add_argument("--page", type=pathlib.Path, default=PAGE)
    action_parser.add_argument("--records", type=pathlib.Path, default=RECORDS.parent)


def run(args: argparse.Namespace) -> int:
    """Run one action and return the exit code."""
    # The daemons import this module too, so dependencies of this tool alone are imported lazily.
    if args.act == "report":
        import dykeswitch.scale.dataset as datasets
        import dykeswitch.scale.plots as plots
        import dykeswitch.scale.report as reports

        data = datasets.load(datasets.read(args.records))
        args.page.write_text(reports.fill(args.page.read_text(), data))
        plots.draw(data, args.records)
        return 0
    import dykeswitch.scale.data_path as data_path
    import dykeswitch.scale.sweep as sweeps

    turns = range(args.first_turn, args.first_turn + args.turns)
    if args.act == "data":
        return 1 if data_path.run(turns, args.output) else 0
    names = list(sweeps.SWEEPS) if args.sweeps == "all" else args.sweeps.split(",")
    return 1 if sweeps.run(names, turns, args.output, args.simulated) else 0
