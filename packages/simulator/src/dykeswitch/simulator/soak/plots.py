"""Plots of a soak over time: requests, errors, descriptors, memory and the acts."""

import collections
import pathlib
import typing

import matplotlib

matplotlib.use("svg")
import matplotlib.axes
import matplotlib.pyplot as pyplot

import dykeswitch.simulator.realengine as realengine

MEGABYTE: typing.Final = 1024 * 1024
SIZE_INCHES: typing.Final = (12, 12)
COLORS: typing.Final = ("tab:blue", "tab:orange", "tab:green", "tab:red", "tab:purple", "tab:brown")


def _rates(day: realengine.Day) -> tuple[list[int], list[int], list[int]]:
    """Return the seconds, the requests started in each, and how many of these failed."""
    started: collections.Counter[int] = collections.Counter()
    failed: collections.Counter[int] = collections.Counter()
    for request in day.stage.story.requests:
        second = int(request.started_at - day.started_at)
        started[second] += 1
        failed[second] += request.status != 200 and request.left_at is None
    seconds = sorted(started)
    return seconds, [started[s] for s in seconds], [failed[s] for s in seconds]


def _mark_acts(axes: matplotlib.axes.Axes, day: realengine.Day) -> None:
    tracks = sorted({act.track for act in day.acts})
    for act in day.acts:
        row = tracks.index(act.track)
        axes.broken_barh(
            [(act.begun, act.ended - act.begun)], (row, 0.8), facecolors=COLORS[row % len(COLORS)]
        )
        axes.text(act.begun, row + 0.3, act.act, fontsize=5)
    axes.set_yticks([row + 0.4 for row in range(len(tracks))], tracks)


def draw(day: realengine.Day, path: pathlib.Path) -> None:
    """Draw all plots into one file."""
    figure, (requests, errors, connections, memory, acts) = pyplot.subplots(
        5, 1, sharex=True, figsize=SIZE_INCHES
    )
    seconds, started, failed = _rates(day)
    requests.plot(seconds, started)
    requests.set_ylabel("requests per second")
    errors.plot(seconds, failed, color="tab:red")
    errors.set_ylabel("failed requests")
    times = [usage.at - day.started_at for usage in day.resource_samples]
    connections.plot(times, [usage.descriptors for usage in day.resource_samples])
    connections.set_ylabel("descriptors")
    memory.plot(times, [usage.memory_bytes / MEGABYTE for usage in day.resource_samples])
    memory.set_ylabel("memory, MB")
    _mark_acts(acts, day)
    acts.set_xlabel("seconds since the first act")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
