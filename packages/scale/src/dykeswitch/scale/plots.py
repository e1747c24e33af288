"""Plots the sweeps as SVG: the runs, and the fitted sum of terms."""

import dataclasses
import pathlib
import statistics
import typing

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as pyplot

import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.formatting as formatting
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.sweep as sweeps

# The same records give the same bytes: fixed salt for ids, no date, and text kept as text.
matplotlib.rcParams.update({"svg.hashsalt": "dykeswitch", "svg.fonttype": "none", "font.size": 8})

Record = dict[str, typing.Any]
SWEPT_VARIABLES: typing.Final = ("nodes", "endpoints", "services", "rules", "changes", "marks", "cores")


def _differs_only_in(run: Record, name: str) -> bool:
    """Return whether a run differs from the base in no other variable than `name`."""
    base = dataclasses.asdict(sweeps.BASE)
    return all(run["size"][k] == base[k] for k in base if k != name)


def draw(data: datasets.Dataset, folder: pathlib.Path) -> list[pathlib.Path]:
    """Draw a figure for each role, with a panel for each variable and metric; return the files."""
    paths = []
    for role in ("proxy", "registry", "store"):
        path = folder / f"{role}.svg"
        _draw_role(data, role, path)
        paths.append(path)
    return paths


def _draw_role(data: datasets.Dataset, role: str, path: pathlib.Path) -> None:
    panels: list[tuple[str, str, typing.Callable[[Record], float], typing.Callable[[Record], float]]] = []
    byte_metrics = [m for m in metrics.METRICS if m.role == role and m.unit == "B/s"]

    def measured_kb(run: Record) -> float:
        return sum(m.reader(run) or 0.0 for m in byte_metrics) / 1000

    def fitted_kb(size: Record) -> float:
        return sum(data.extrapolations[role, m.name].fit.value_at(size) for m in byte_metrics) / 1000

    panels.append(("KB/s", "bytes", measured_kb, fitted_kb))
    for name, unit, factor in (("processor", "% of a core", 100.0), ("memory", "MB", 1.0)):
        metric = next(m for m in metrics.METRICS if (m.role, m.name) == (role, name))

        panels.append((unit, name, _scaled(metric.reader, factor), _fitted(data, metric, factor)))
    figure, grid = pyplot.subplots(
        len(panels), len(SWEPT_VARIABLES), figsize=(2.3 * len(SWEPT_VARIABLES), 2.1 * len(panels))
    )
    for row, (unit, name, reader, fitted) in enumerate(panels):
        for column, variable in enumerate(SWEPT_VARIABLES):
            _draw_panel(grid[row][column], data, variable, reader, fitted)
            grid[row][column].set_xlabel(formatting.AXIS_LABELS.get(variable, variable))
            if column == 0:
                grid[row][column].set_ylabel(f"{name}, {unit}")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(figure)


def _scaled(reader: fits.MetricReader, factor: float) -> typing.Callable[[Record], float]:
    return lambda run: (reader(run) or 0.0) * factor


def _fitted(
    data: datasets.Dataset, metric: metrics.Metric, factor: float
) -> typing.Callable[[Record], float]:
    return lambda size: data.extrapolations[metric.role, metric.name].fit.value_at(size) * factor


def _draw_panel(
    axes: typing.Any,
    data: datasets.Dataset,
    variable: str,
    reader: typing.Callable[[Record], float],
    fitted: typing.Callable[[Record], float],
) -> None:
    points: dict[float, list[float]] = {}
    for run in data.runs:
        if _differs_only_in(run, variable):
            points.setdefault(float(run["size"][variable]), []).append(reader(run))
    sizes = sorted(points)
    for size in sizes:
        axes.plot([size] * len(points[size]), points[size], "o", color="tab:blue", markersize=3)
    axes.plot(sizes, [statistics.median(points[s]) for s in sizes], ":", color="tab:blue", linewidth=0.8)
    base = dataclasses.asdict(sweeps.BASE)
    axes.plot(sizes, [fitted({**base, variable: s}) for s in sizes], color="tab:red", linewidth=1)
    axes.set_ylim(bottom=0)
