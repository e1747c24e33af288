"""Tables and figures of the data path."""

import statistics
import typing

import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import number, table

Record = fits.Record


def _median(found: typing.Iterable[float]) -> float:
    return statistics.median(list(found) or [0.0])


def median_and_range(found: typing.Sequence[float]) -> str:
    """A median with the least and the most, as people read it."""
    if not found:
        return "-"
    middle = number(statistics.median(found))
    return middle if len(found) < 2 else f"{middle} ({number(min(found))} to {number(max(found))})"


def _runs_by_load(data: datasets.Dataset, sampled: bool) -> dict[tuple[int, float], list[Record]]:
    found: dict[tuple[int, float], list[Record]] = {}
    for record in data.others:
        if record["kind"] == "data" and record["sampled_run"] is sampled:
            found.setdefault((record["endpoints"], record["rate"]), []).append(record)
    return dict(sorted(found.items()))


def _added(record: Record, name: str, part: str, base: str = "direct kept") -> float | None:
    """What a way adds to a call straight to an endpoint over a kept pipe, in milliseconds."""
    took = record["took"]
    if name not in took or took[name]["count"] < 20:
        return None
    base = base if base in took and took[base]["count"] >= 20 else "direct"
    return float(took[name][part] - took[base][part]) * 1000


def data_path(data: datasets.Dataset) -> str:
    """What carrying a request costs, by load."""
    rows = []
    for (ends, rate), records in _runs_by_load(data, False).items():
        proxied = rate / 3
        row = [f"{ends} endpoints, {proxied:.0f}/s", str(len(records))]
        row.append(median_and_range([r["proxy_ms"] for r in records]))
        for name in ("relay", "proxy kept", "proxy idle", "proxy fresh", "proxy"):
            parts = []
            for part in ("p50_s", "p99_s"):
                found = [v for r in records if (v := _added(r, name, part)) is not None]
                parts.append(median_and_range(found))
            row.append(" / ".join(parts))
        row.append(number(100 * _median(r["proxy_wait_share"] for r in records)))
        rows.append(row)
    head = (
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
    return table(head, rows)


def profile(data: datasets.Dataset) -> str:
    """Where a proxy's processor time goes."""
    parts: dict[str, float] = {}
    spent = []
    for records in _runs_by_load(data, True).values():
        for record in records:
            for part, count in record["sampled"]["parts"].items():
                parts[part] = parts.get(part, 0.0) + count
    for records in _runs_by_load(data, False).values():
        spent += [r["proxy_ms"] for r in records]
    whole = sum(parts.values()) or 1.0
    each = _median(spent)
    rows = [
        [part, f"{100 * count / whole:.0f}%", number(each * count / whole)]
        for part, count in sorted(parts.items(), key=lambda p: -p[1])
    ]
    return table(("part", "share of samples", "ms of the processor a request"), rows)


def data_path_figures(data: datasets.Dataset) -> dict[str, str]:
    """Figures of the data path; a dash where nothing was measured."""
    runs = [r for records in _runs_by_load(data, False).values() for r in records]
    found = {}
    for name, key in (
        ("relay", "relay"),
        ("kept", "proxy kept"),
        ("idle", "proxy idle"),
        ("fresh", "proxy fresh"),
    ):
        for part in ("p50", "p99"):
            added = [v for r in runs if (v := _added(r, key, f"{part}_s")) is not None]
            found[f"added_{name}_{part}"] = f"{number(_median(added))} ms" if added else "-"
            found[f"least_{name}_{part}"] = f"{number(min(added))} ms" if added else "-"
    each = _median(r["proxy_ms"] for r in runs)
    found["request_ms"] = f"{number(each)} ms"
    peak = targets.TARGET.requests_s / targets.TARGET.nodes
    found["request_cores"] = f"{number(each / 1000 * peak)} of a core"
    found["request_most"] = f"{number(1000 / each)}/s" if each else "-"
    return found
