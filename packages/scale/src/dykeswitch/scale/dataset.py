"""Reads the records of the runs and extrapolates each metric to the target."""

import dataclasses
import pathlib
import typing

import dykeswitch.scale.fit as fits
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.target as targets

Record = fits.Record
# The stem of the file with the runs of earlier commits.
EARLIER_FILE: typing.Final = "before"


@dataclasses.dataclass(frozen=True, slots=True)
class Dataset:
    """The records, and each metric extrapolated to the target."""

    # The runs in which no headless proxy stalled; the slopes are fitted to these.
    runs: list[Record]
    all_runs: list[Record]
    # Runs of earlier commits, for comparison at the same sizes.
    earlier_runs: list[Record]
    other_records: list[Record]
    extrapolations: dict[tuple[str, str], fits.Extrapolation]

    def total(
        self, role: str, select: typing.Callable[[fits.Extrapolation], float] = lambda r: r.value
    ) -> float:
        """Return a role's bytes per second at the target, summed over all kinds of messages."""
        return sum(
            select(self.extrapolations[role, metric.name])
            for metric in metrics.METRICS
            if metric.role == role and metric.unit == "B/s"
        )


def load(records: typing.Sequence[Record]) -> Dataset:
    """Divide the records by kind and extrapolate each metric to the target."""
    all_runs = [r for r in records if r["kind"] == "run" and r["file"] != EARLIER_FILE]
    earlier_runs = [r for r in records if r["kind"] == "run" and r["file"] == EARLIER_FILE]
    runs = [r for r in all_runs if not metrics.is_stalled(r)]
    sizes = targets.sizes()
    extrapolations = {
        (metric.role, metric.name): fits.extrapolate(runs, metric.reader, metric.terms, sizes)
        for metric in metrics.METRICS
    }
    return Dataset(runs, all_runs, earlier_runs, [r for r in records if r["kind"] != "run"], extrapolations)


def read(folder: pathlib.Path) -> list[Record]:
    """Return every record in a folder, with the files in the order of their names."""
    import dykeswitch.scale.sweep as sweeps

    files = sorted(folder.glob("*.jsonl"))
    return [{**record, "file": file.stem} for file in files for record in sweeps.read(file)]
