"""What a soak tells: figures and findings as JSON and as text, plots where the library for them is."""

import collections
import dataclasses
import json
import pathlib
import typing

import dykeswitch.simulator.realengine as realengine
import dykeswitch.simulator.realtrial as realtrials
import dykeswitch.simulator.soak.plan as plans

REPORT_FILE: typing.Final = "report.json"
TEXT_FILE: typing.Final = "report.txt"
PLOT_FILE: typing.Final = "report.svg"
MEGABYTE: typing.Final = 1024 * 1024
# What the figures of a day tell that a soak's report repeats in its text.
TOLD: typing.Final = ("asked", "replied", "left", "turned_away", "no_reply", "changes", "excused")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What came of one soak."""

    seed: int
    shape: str
    processes: int
    seconds: float
    acts: dict[str, int]
    figures: dict[str, typing.Any]
    memory_most_mb: float
    descriptors_most: int
    folder: str

    @property
    def held(self) -> bool:
        """Whether every check held."""
        return str(self.figures["verdict"]) == "held"

    def text(self) -> str:
        """A few lines for a person."""
        lines = [
            f"seed {self.seed} on {self.shape}, {self.processes} processes, {self.seconds:.0f} s: "
            f"{self.figures['verdict']}",
            ", ".join(f"{name} {self.figures[name]}" for name in TOLD),
            f"acts: {', '.join(f'{name} {many}' for name, many in sorted(self.acts.items()))}",
            f"at the most {self.memory_most_mb:.0f} MB and {self.descriptors_most} descriptors",
        ]
        for check, found in self.figures["breaches"].items():
            lines.append(f"BROKEN {check}: {found[0]}; first: {'; '.join(map(str, found[1:3]))}")
        if not self.held:
            lines.append(f"logs, plan and all that endpoints noted: {self.folder}")
        return "\n".join(lines)


def of(plan: plans.Plan, day: realengine.Day, folder: pathlib.Path) -> Report:
    """The report of a day that was played."""
    return Report(
        plan.seed,
        plan.shape,
        max((held.processes for held in day.held), default=0),
        plan.seconds,
        dict(collections.Counter(act.act for act in day.acts)),
        realtrials.figures(day),
        round(max((held.memory_bytes for held in day.held), default=0) / MEGABYTE, 1),
        max((held.descriptors for held in day.held), default=0),
        str(folder),
    )


def write(report: Report, day: realengine.Day, folder: pathlib.Path) -> None:
    """Write it into the soak's folder, in every form."""
    page = {**dataclasses.asdict(report), "played": [dataclasses.asdict(act) for act in day.acts]}
    (folder / REPORT_FILE).write_text(json.dumps(page, indent=1, default=str) + "\n")
    (folder / TEXT_FILE).write_text(report.text() + "\n")
    try:
        # A tool of developers: a machine that only runs the programs has no library for plots.
        import dykeswitch.simulator.soak.plots as plots
    except ImportError:
        return
    plots.draw(day, folder / PLOT_FILE)
