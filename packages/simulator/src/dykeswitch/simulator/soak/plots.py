"""Plots of a soak over time: requests, errors, connections and memory, with the acts marked."""

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
COLOURS: typing.Final = ("tab:blue", "tab:orange", "tab:green", "tab:red", "tab:purple", "tab:brown")


def _rates(day: realengine.Day) -> tuple[list[int], list[int], list[int]]:
    """Seconds, requests begun in each, and those among them that brought no good answer."""
    begun: collections.Counter[int] = collections.Counter()
    failed: collections.Counter[int] = collections.Counter()
    for request in day.stage.story.requests:
        second = int(request.started_at - day.started_at)
        begun[second] += 1
        failed[second] += request.status != 200 and request.left_at is None
    seconds = sorted(begun)
    return seconds, [begun[s] for s in seconds], [failed[s] for s in seconds]


def _mark_acts(axes: matplotlib.axes.Axes, day: realengine.Day) -> None:
    tracks = sorted({act.track for act in day.acts})
    for act in day.acts:
        row = tracks.index(act.track)
        axes.broken_barh(
            [(act.begun, act.ended - act.begun)], (row, 0.8), facecolors=COLOURS[row % len(COLOURS)]
        )
        axes.text(act.begun, row + 0.3, act.act, fontsize=5)
    axes.set_yticks([row + 0.4 for row in range(len(tracks))], tracks)


def draw(day: realengine.Day, path: pathlib.Path) -> None:
    """Draw them into one file."""
    figure, (requests, errors, connections, memory, acts) = pyplot.subplots(
        5, 1, sharex=True, figsize=SIZE_INCHES
    )
    seconds, begun, failed = _rates(day)
    requests.plot(seconds, begun)
    requests.set_ylabel("requests a second")
    errors.plot(seconds, failed, color="tab:red")
    errors.set_ylabel("without a good answer")
    at = [held.at - day.started_at for held in day.held]
    connections.plot(at, [held.descriptors for held in day.held])
    connections.set_ylabel("descriptors")
    memory.plot(at, [held.memory_bytes / MEGABYTE for held in day.held])
    memory.set_ylabel("memory, MB")
    _mark_acts(acts, day)
    acts.set_xlabel("seconds from the first act")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
