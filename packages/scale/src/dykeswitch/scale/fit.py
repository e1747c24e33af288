"""Fits metrics to the records of runs, each as a sum of terms with non-negative slopes."""

import dataclasses
import math
import re
import statistics
import typing

import numpy

Record = dict[str, typing.Any]
Sizes = typing.Mapping[str, float]
MetricReader = typing.Callable[[Record], float | None]

BASE: typing.Final = "1"


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """One metric as a sum of slope x term, in the unit that its reader returns."""

    terms: tuple[str, ...]
    slopes: tuple[float, ...]
    # Root mean square of the relative errors of the sum against the runs.
    spread: float
    runs: int

    def value_at(self, sizes: Sizes) -> float:
        """Return the sum at a size."""
        return sum(s * term_value(t, sizes) for t, s in zip(self.terms, self.slopes))

    def contributions(self, sizes: Sizes) -> dict[str, float]:
        """Return what each term adds to the sum at a size."""
        return {t: s * term_value(t, sizes) for t, s in zip(self.terms, self.slopes)}


def term_value(term: str, sizes: Sizes) -> float:
    """Return the value of a term, which is variables joined by `*` and `/`, at a size."""
    value = 1.0
    for operator, name in re.findall(r"([*/]?)([a-z0-9]+)", term):
        size = 1.0 if name == BASE else float(sizes[name])
        value = value / size if operator == "/" else value * size
    return value


def fit(records: typing.Sequence[Record], reader: MetricReader, terms: typing.Sequence[str]) -> Fit:
    """Fit the sum of terms to the runs by least squares of the relative errors."""
    pairs = [(r["size"], v) for r in records if (v := reader(r)) is not None and v > 0]
    rows = numpy.array([[term_value(t, size) for t in terms] for size, _ in pairs], dtype=float)
    values = numpy.array([v for _, v in pairs], dtype=float)
    scaled = rows / values[:, None]
    # Normalise the columns; otherwise a slope per rule would be lost beside one per core.
    norms = numpy.linalg.norm(scaled, axis=0)
    norms[norms == 0] = 1.0
    slopes = _nonnegative_least_squares(scaled / norms, numpy.ones(len(pairs))) / norms
    errors = [float(rows[n] @ slopes) / values[n] - 1 for n in range(len(pairs))]
    spread = math.sqrt(statistics.fmean(m * m for m in errors)) if errors else 0.0
    return Fit(tuple(terms), tuple(float(s) for s in slopes), spread, len(pairs))


def _nonnegative_least_squares(
    rows: "numpy.ndarray[typing.Any, typing.Any]", goal: "numpy.ndarray[typing.Any, typing.Any]"
) -> typing.Any:
    """Solve least squares with non-negative slopes (active-set method of Lawson and Hanson)."""
    count = rows.shape[1]
    active: list[int] = []
    slopes = numpy.zeros(count)
    for _ in range(count * 3):
        gradient = rows.T @ (goal - rows @ slopes)
        free = [n for n in range(count) if n not in active and gradient[n] > 1e-9]
        if not free:
            break
        active.append(max(free, key=lambda n: float(gradient[n])))
        while True:
            candidate = numpy.zeros(count)
            candidate[active] = numpy.linalg.lstsq(rows[:, active], goal, rcond=None)[0]
            nonpositive = [n for n in active if candidate[n] <= 0]
            if not nonpositive:
                slopes = candidate
                break
            step = min(slopes[n] / (slopes[n] - candidate[n]) for n in nonpositive)
            slopes = slopes + step * (candidate - slopes)
            active = [n for n in active if slopes[n] > 1e-12]
            if not active:
                break
    return slopes


@dataclasses.dataclass(frozen=True, slots=True)
class Extrapolation:
    """A metric at a given size, with its minimum and maximum when one turn is left out."""

    fit: Fit
    value: float
    minimum: float
    maximum: float
    contributions: dict[str, float]


def extrapolate(
    records: typing.Sequence[Record], reader: MetricReader, terms: typing.Sequence[str], sizes: Sizes
) -> Extrapolation:
    """Extrapolate a metric to a size.

    The range from minimum to maximum shows how much the value depends on a single turn of runs.
    """
    full_fit = fit(records, reader, terms)
    value = full_fit.value_at(sizes)
    turns = sorted({r["turn"] for r in records})
    values = [value]
    if len(turns) > 1:
        for turn in turns:
            values.append(fit([r for r in records if r["turn"] != turn], reader, terms).value_at(sizes))
    return Extrapolation(full_fit, value, min(values), max(values), full_fit.contributions(sizes))
