"""Report of a soak: figures and findings as JSON and text, and plots if matplotlib is installed."""

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
# The figures that the text of the report lists.
TEXT_FIGURES: typing.Final = ("asked", "replied", "left", "turned_away", "no_reply", "changes", "excused")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The outcome of one soak."""

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
    def passed(self) -> bool:
        """Whether every check passed."""
        return str(self.figures["verdict"]) == "held"

    def text(self) -> str:
        """Return a summary of a few lines."""
        lines = [
            f"seed {self.seed} on {self.shape}, {self.processes} processes, {self.seconds:.0f} s: "
            f"{self.figures['verdict']}",
            ", ".join(f"{name} {self.figures[name]}" for name in TEXT_FIGURES),
            f"acts: {', '.join(f'{name} {count}' for name, count in sorted(self.acts.items()))}",
            f"at most {self.memory_most_mb:.0f} MB and {self.descriptors_most} descriptors",
        ]
        for check, found in self.figures["breaches"].items():
            lines.append(f"BROKEN {check}: {found[0]}; first: {'; '.join(map(str, found[1:3]))}")
        if not self.passed:
            lines.append(f"logs, plan and records of the endpoints: {self.folder}")
        return "\n".join(lines)


def create(plan: plans.Plan, day: realengine.Day, folder: pathlib.Path) -> Report:
    """Create the report of a day that was run."""
    return Report(
        plan.seed,
        plan.shape,
        max((usage.processes for usage in day.resource_samples), default=0),
        plan.seconds,
        dict(collections.Counter(act.act for act in day.acts)),
        realtrials.figures(day),
        round(max((usage.memory_bytes for usage in day.resource_samples), default=0) / MEGABYTE, 1),
        max((usage.descriptors for usage in day.resource_samples), default=0),
        str(folder),
    )


def write(report: Report, day: realengine.Day, folder: pathlib.Path) -> None:
    """Write the report into the soak's folder in all formats."""
    document = {**dataclasses.asdict(report), "played": [dataclasses.asdict(act) for act in day.acts]}
    (folder / REPORT_FILE).write_text(json.dumps(document, indent=1, default=str) + "\n")
    (folder / TEXT_FILE).write_text(report.text() + "\n")
    try:
        # The plot library is a development dependency, which production machines do not have.
        import dykeswitch.simulator.soak.plots as plots
    except ImportError:
        return
    plots.draw(day, folder / PLOT_FILE)
