"""Plots of the sweeps as SVG: the runs, and the sum of slopes through them."""

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

# The same records give the very same bytes: no ids by lot, no date, text kept as text.
matplotlib.rcParams.update({"svg.hashsalt": "dykeswitch", "svg.fonttype": "none", "font.size": 8})

Record = dict[str, typing.Any]
SWEPT: typing.Final = ("nodes", "endpoints", "services", "rules", "changes", "marks", "cores")


def _alike(run: Record, name: str) -> bool:
    """Whether a run differs from the base in nothing but one variable."""
    base = dataclasses.asdict(sweeps.BASE)
    return all(run["size"][k] == base[k] for k in base if k != name)


def draw(data: datasets.Dataset, folder: pathlib.Path) -> list[pathlib.Path]:
    """One sheet for each role: a panel for each variable and figure."""
    made = []
    for role in ("proxy", "registry", "store"):
        path = folder / f"{role}.svg"
        _sheet(data, role, path)
        made.append(path)
    return made


def _sheet(data: datasets.Dataset, role: str, path: pathlib.Path) -> None:
    panels: list[tuple[str, str, typing.Callable[[Record], float], typing.Callable[[Record], float]]] = []
    wire = [f for f in metrics.METRICS if f.role == role and f.unit == "B/s"]

    def told(run: Record) -> float:
        return sum(f.look(run) or 0.0 for f in wire) / 1000

    def summed(size: Record) -> float:
        return sum(data.extrapolations[role, f.name].fit.at(size) for f in wire) / 1000

    panels.append(("KB/s", "bytes", told, summed))
    for name, unit, times in (("processor", "% of a core", 100.0), ("memory", "MB", 1.0)):
        figure = next(f for f in metrics.METRICS if (f.role, f.name) == (role, name))

        panels.append((unit, name, _scaled(figure.look, times), _fitted(data, figure, times)))
    sheet, grid = pyplot.subplots(len(panels), len(SWEPT), figsize=(2.3 * len(SWEPT), 2.1 * len(panels)))
    for n, (unit, name, look, fitted) in enumerate(panels):
        for m, swept in enumerate(SWEPT):
            _panel(grid[n][m], data, swept, look, fitted)
            grid[n][m].set_xlabel(formatting.WORDS.get(swept, swept))
            if m == 0:
                grid[n][m].set_ylabel(f"{name}, {unit}")
    sheet.tight_layout()
    sheet.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(sheet)


def _scaled(look: fits.Reader, times: float) -> typing.Callable[[Record], float]:
    return lambda run: (look(run) or 0.0) * times


def _fitted(data: datasets.Dataset, figure: metrics.Metric, times: float) -> typing.Callable[[Record], float]:
    return lambda size: data.extrapolations[figure.role, figure.name].fit.at(size) * times


def _panel(
    axes: typing.Any,
    data: datasets.Dataset,
    swept: str,
    look: typing.Callable[[Record], float],
    fitted: typing.Callable[[Record], float],
) -> None:
    points: dict[float, list[float]] = {}
    for run in data.runs:
        if _alike(run, swept):
            points.setdefault(float(run["size"][swept]), []).append(look(run))
    sizes = sorted(points)
    for size in sizes:
        axes.plot([size] * len(points[size]), points[size], "o", color="tab:blue", markersize=3)
    axes.plot(sizes, [statistics.median(points[s]) for s in sizes], ":", color="tab:blue", linewidth=0.8)
    base = dataclasses.asdict(sweeps.BASE)
    axes.plot(sizes, [fitted({**base, swept: s}) for s in sizes], color="tab:red", linewidth=1)
    axes.set_ylim(bottom=0)
