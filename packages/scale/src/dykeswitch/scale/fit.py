"""Slopes out of records: for each figure a sum of terms, none of them below nothing."""

import dataclasses
import math
import re
import statistics
import typing

import numpy

Record = dict[str, typing.Any]
Sizes = typing.Mapping[str, float]
Reader = typing.Callable[[Record], float | None]

BASE: typing.Final = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """One figure as a sum of slope x size: bytes, shares or megabytes as its look gives them."""

    terms: tuple[str, ...]
    slopes: tuple[float, ...]
    # How far the runs lie from the sum, as a part of it.
    spread: float
    runs: int

    def at(self, sizes: Sizes) -> float:
        """The sum at a size."""
        return sum(s * term_value(t, sizes) for t, s in zip(self.terms, self.slopes))

    def parts(self, sizes: Sizes) -> dict[str, float]:
        """What each term adds to the sum at a size."""
        return {t: s * term_value(t, sizes) for t, s in zip(self.terms, self.slopes)}


def term_value(term: str, sizes: Sizes) -> float:
    """A term's worth at a size: variables joined by `*` and `/`."""
    found = 1.0
    for sign, name in re.findall(r"([*/]?)([a-z0-9]+)", term):
        size = 1.0 if name == BASE else float(sizes[name])
        found = found / size if sign == "/" else found * size
    return found


def fit(records: typing.Sequence[Record], look: Reader, terms: typing.Sequence[str]) -> Fit:
    """The sum of terms that lies nearest to the runs, each run's miss as a part of itself."""
    pairs = [(r["size"], v) for r in records if (v := look(r)) is not None and v > 0]
    rows = numpy.array([[term_value(t, size) for t in terms] for size, _ in pairs], dtype=float)
    told = numpy.array([v for _, v in pairs], dtype=float)
    scaled = rows / told[:, None]
    # Columns of like length, or a slope per rule would drown beside one per core.
    norms = numpy.linalg.norm(scaled, axis=0)
    norms[norms == 0] = 1.0
    slopes = _nonnegative_least_squares(scaled / norms, numpy.ones(len(pairs))) / norms
    miss = [float(rows[n] @ slopes) / told[n] - 1 for n in range(len(pairs))]
    spread = math.sqrt(statistics.fmean(m * m for m in miss)) if miss else 0.0
    return Fit(tuple(terms), tuple(float(s) for s in slopes), spread, len(pairs))


def _nonnegative_least_squares(
    rows: "numpy.ndarray[typing.Any, typing.Any]", want: "numpy.ndarray[typing.Any, typing.Any]"
) -> typing.Any:
    """Least squares without a slope below nothing (the active set of Lawson and Hanson)."""
    count = rows.shape[1]
    taken: list[int] = []
    best = numpy.zeros(count)
    for _ in range(count * 3):
        pull = rows.T @ (want - rows @ best)
        free = [n for n in range(count) if n not in taken and pull[n] > 1e-9]
        if not free:
            break
        taken.append(max(free, key=lambda n: float(pull[n])))
        while True:
            found = numpy.zeros(count)
            found[taken] = numpy.linalg.lstsq(rows[:, taken], want, rcond=None)[0]
            low = [n for n in taken if found[n] <= 0]
            if not low:
                best = found
                break
            step = min(best[n] / (best[n] - found[n]) for n in low)
            best = best + step * (found - best)
            taken = [n for n in taken if best[n] > 1e-12]
            if not taken:
                break
    return best


@dataclasses.dataclass(frozen=True, slots=True)
class Extrapolation:
    """A figure brought to a size: the sum, and the least and most with a turn left out."""

    fit: Fit
    value: float
    least: float
    most: float
    parts: dict[str, float]


def extrapolate(
    records: typing.Sequence[Record], look: Reader, terms: typing.Sequence[str], sizes: Sizes
) -> Extrapolation:
    """Bring a figure to a size; the range tells what one turn of runs more or less moves it by."""
    whole = fit(records, look, terms)
    value = whole.at(sizes)
    turns = sorted({r["turn"] for r in records})
    others = [value]
    if len(turns) > 1:
        for turn in turns:
            others.append(fit([r for r in records if r["turn"] != turn], look, terms).at(sizes))
    return Extrapolation(whole, value, min(others), max(others), whole.parts(sizes))
