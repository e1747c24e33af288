"""Tables and figures of the data path: the cost of a proxied request."""

import statistics
import typing

import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import format_number, markdown_table

Record = fits.Record


def _median(values: typing.Iterable[float]) -> float:
    return statistics.median(list(values) or [0.0])


def median_and_range(values: typing.Sequence[float]) -> str:
    """Format the median of values with their minimum and maximum."""
    if not values:
        return "-"
    middle = format_number(statistics.median(values))
    return (
        middle
        if len(values) < 2
        else f"{middle} ({format_number(min(values))} to {format_number(max(values))})"
    )


def _runs_by_load(data: datasets.Dataset, sampled: bool) -> dict[tuple[int, float], list[Record]]:
    runs_by_load: dict[tuple[int, float], list[Record]] = {}
    for record in data.other_records:
        if record["kind"] == "data" and record["sampled_run"] is sampled:
            runs_by_load.setdefault((record["endpoints"], record["rate"]), []).append(record)
    return dict(sorted(runs_by_load.items()))


def _added_ms(record: Record, connection_kind: str, quantile: str, base: str = "direct kept") -> float | None:
    """Return what a kind of connection adds to a direct call over a kept connection, in milliseconds.

    The result is None with fewer than 20 requests of that kind. With fewer than 20 requests of kind
    `base`, all direct requests are the base.
    """
    durations = record["took"]
    if connection_kind not in durations or durations[connection_kind]["count"] < 20:
        return None
    base = base if base in durations and durations[base]["count"] >= 20 else "direct"
    return float(durations[connection_kind][quantile] - durations[base][quantile]) * 1000


def data_path(data: datasets.Dataset) -> str:
    """Make the table of the cost of a proxied request by load."""
    rows = []
    for (endpoints, rate), records in _runs_by_load(data, False).items():
        proxy_rate = rate / 3
        row = [f"{endpoints} endpoints, {proxy_rate:.0f}/s", str(len(records))]
        row.append(median_and_range([r["proxy_ms"] for r in records]))
        for connection_kind in ("relay", "proxy kept", "proxy idle", "proxy fresh", "proxy"):
            parts = []
            for quantile in ("p50_s", "p99_s"):
                values = [v for r in records if (v := _added_ms(r, connection_kind, quantile)) is not None]
                parts.append(median_and_range(values))
            row.append(" / ".join(parts))
        row.append(format_number(100 * _median(r["proxy_wait_share"] for r in records)))
        rows.append(row)
    header = (
        "load on the proxy",
        "runs",
        "processor, ms a request",
        "a bare relay adds, ms (p50 / p99)",
        "the proxy adds, pipe kept",
        "pipe idle, proven anew",
        "pipe fresh",
        "all",
        "proxy stood waiting for a core, %",
    )
    return markdown_table(header, rows)


def profile(data: datasets.Dataset) -> str:
    """Make the table of a proxy's processor time by part of the program."""
    parts: dict[str, float] = {}
    request_ms = []
    for records in _runs_by_load(data, True).values():
        for record in records:
            for part, count in record["sampled"]["parts"].items():
                parts[part] = parts.get(part, 0.0) + count
    for records in _runs_by_load(data, False).values():
        request_ms += [r["proxy_ms"] for r in records]
    total = sum(parts.values()) or 1.0
    median_ms = _median(request_ms)
    rows = [
        [part, f"{100 * count / total:.0f}%", format_number(median_ms * count / total)]
        for part, count in sorted(parts.items(), key=lambda p: -p[1])
    ]
    return markdown_table(("part", "share of samples", "ms of the processor a request"), rows)


def data_path_figures(data: datasets.Dataset) -> dict[str, str]:
    """Return the figures of the data path by name, with a dash where nothing was measured."""
    runs = [r for records in _runs_by_load(data, False).values() for r in records]
    figures = {}
    for name, connection_kind in (
        ("relay", "relay"),
        ("kept", "proxy kept"),
        ("idle", "proxy idle"),
        ("fresh", "proxy fresh"),
    ):
        for quantile in ("p50", "p99"):
            added = [v for r in runs if (v := _added_ms(r, connection_kind, f"{quantile}_s")) is not None]
            figures[f"added_{name}_{quantile}"] = f"{format_number(_median(added))} ms" if added else "-"
            figures[f"least_{name}_{quantile}"] = f"{format_number(min(added))} ms" if added else "-"
    median_ms = _median(r["proxy_ms"] for r in runs)
    figures["request_ms"] = f"{format_number(median_ms)} ms"
    peak = targets.TARGET.requests_s / targets.TARGET.nodes
    figures["request_cores"] = f"{format_number(median_ms / 1000 * peak)} of a core"
    figures["request_most"] = f"{format_number(1000 / median_ms)}/s" if median_ms else "-"
    return figures
