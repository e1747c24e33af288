"""All records of the runs, and each metric extrapolated to the target."""

import dataclasses
import pathlib
import typing

import dykeswitch.scale.fit as fits
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.target as targets

Record = fits.Record
BEFORE: typing.Final = "before"


@dataclasses.dataclass(frozen=True, slots=True)
class Dataset:
    """All records, and each figure brought to the target."""

    # Those whose workers never stood still; slopes are of these.
    runs: list[Record]
    every: list[Record]
    # Of earlier commits, to compare with at the same sizes.
    before: list[Record]
    others: list[Record]
    extrapolations: dict[tuple[str, str], fits.Extrapolation]

    def total(
        self, role: str, pick: typing.Callable[[fits.Extrapolation], float] = lambda r: r.value
    ) -> float:
        """Bytes a second of all kinds of a role at the target."""
        return sum(
            pick(self.extrapolations[role, f.name])
            for f in metrics.METRICS
            if f.role == role and f.unit == "B/s"
        )


def load(records: typing.Sequence[Record]) -> Dataset:
    """Sort the records, and extrapolate each metric to the target."""
    every = [r for r in records if r["kind"] == "run" and r["file"] != BEFORE]
    before = [r for r in records if r["kind"] == "run" and r["file"] == BEFORE]
    runs = [r for r in every if not metrics.strained(r)]
    sizes = targets.sizes()
    extrapolations = {
        (f.role, f.name): fits.extrapolate(runs, f.look, f.terms, sizes) for f in metrics.METRICS
    }
    return Dataset(runs, every, before, [r for r in records if r["kind"] != "run"], extrapolations)


def read(folder: pathlib.Path) -> list[Record]:
    """Every record in a folder, files in the order of their names."""
    import dykeswitch.scale.sweep as sweeps

    files = sorted(folder.glob("*.jsonl"))
    return [{**record, "file": file.stem} for file in files for record in sweeps.read(file)]
