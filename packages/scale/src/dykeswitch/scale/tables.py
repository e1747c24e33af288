"""Tables of the capacity page that are made from the sweeps."""

import re
import statistics
import typing

import dykeswitch.scale.data_tables as data_tables
import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import format_amount, format_number, markdown_table
from dykeswitch.scale.size import HEADLESS

Record = fits.Record
VARIABLES: typing.Final = ("nodes", "endpoints", "services", "rules", "changes", "marks", "cores")


def target(data: datasets.Dataset) -> str:
    """Make the table of the target as given."""
    given, sizes = targets.TARGET, targets.sizes()
    rows = [
        ["nodes before endpoints", f"{given.nodes:,}"],
        ["endpoints, in services", f"{given.endpoints:,}, {given.services}"],
        ["rules (routes), tenants", f"{given.rules:,}, {given.tenants:,}"],
        ["requests at peak", f"{given.requests_s:,}/s, {given.requests_s / given.nodes:.0f}/s a node"],
        ["added at p99", f"{given.added_p99_ms} ms"],
        ["regions, zones", f"{given.regions}, {given.zones}"],
        [
            "layout changes",
            f"{given.changes_day:,} a day: one every {targets.DAY_S / given.changes_day:.0f} s,"
            f" in force everywhere within {given.in_force_s:.0f} s",
        ],
        [
            "a node's part for control",
            f"{given.core_share * 100:.1f}% of a core, {given.memory_mb:.0f} MB,"
            f" {given.bytes_s / 1000:.0f} KB/s",
        ],
        ["machines for control", str(given.machines)],
        ["failures, restarts", f"{given.failures_day} and {given.restarts_day} a day"],
        ["marks spread over the day (worked out)", f"{sizes['marks']:.2g} a minute"],
    ]
    return markdown_table(("what", "how much"), rows)


def budgets(data: datasets.Dataset) -> str:
    """Make the table of each role's usage at the target and its budget."""
    given = targets.TARGET
    rows = []

    def add_row(
        role: str, what: str, unit: str, value: float, minimum: float, maximum: float, limit: float
    ) -> None:
        over = value / limit
        verdict = (
            f"**over {format_number(over)} times**" if over > 1 else f"within ({format_number(over * 100)}%)"
        )
        value_range = f"{format_amount(minimum, unit)} to {format_amount(maximum, unit)}"
        rows.append(
            [role, what, format_amount(value, unit), value_range, format_amount(limit, unit), verdict]
        )

    def add_metric(role: str, what: str, unit: str, limit: float) -> None:
        extrapolation = data.extrapolations[role, what]
        add_row(role, what, unit, extrapolation.value, extrapolation.minimum, extrapolation.maximum, limit)

    def add_bytes(role: str, limit: float) -> None:
        totals = [
            data.total(role),
            data.total(role, lambda e: e.minimum),
            data.total(role, lambda e: e.maximum),
        ]
        add_row(role, "bytes, both ways", "B/s", totals[0], totals[1], totals[2], limit)

    add_bytes("proxy", given.bytes_s)
    add_metric("proxy", "processor", "core", given.core_share)
    add_metric("proxy", "memory", "MB", given.memory_mb)
    for role in ("registry", "store"):
        # A process uses at most one core. Its bytes and memory are compared with a node's budget.
        add_bytes(role, given.bytes_s)
        add_metric(role, "processor", "core", 1.0)
        add_metric(role, "memory", "MB", given.memory_mb)
    return markdown_table(("role", "what", "at the target", "a turn left out", "budget", "verdict"), rows)


def slopes(data: datasets.Dataset) -> str:
    """Make the table of each metric's terms, their slopes, and how far they are extrapolated."""
    sizes = targets.sizes()
    rows = []
    for metric in metrics.METRICS:
        extrapolation = data.extrapolations[metric.role, metric.name]
        for term, slope in zip(extrapolation.fit.terms, extrapolation.fit.slopes):
            if not slope:
                continue
            contribution = extrapolation.contributions[term]
            maximum = max(fits.term_value(term, run["size"]) for run in data.runs)
            factor = fits.term_value(term, sizes) / maximum if maximum else 0.0
            name = "base" if term == fits.BASE else term.replace("*", " x ").replace("/", " / ")
            rows.append(
                [
                    metric.role,
                    metric.name,
                    name,
                    format_amount(slope, metric.unit)
                    if metric.unit != "core"
                    else f"{format_number(slope * 1e6)} µcore",
                    _sweeps_of(term),
                    f"{extrapolation.fit.spread * 100:.0f}%",
                    f"{format_number(factor)} x",
                    format_amount(contribution, metric.unit),
                    f"{100 * contribution / extrapolation.value:.0f}%",
                ]
            )
    header = ("role", "figure", "term", "slope", "sweeps", "spread", "extrapolated", "at the target", "share")
    return markdown_table(header, rows)


def _sweeps_of(term: str) -> str:
    names = [n for n in re.findall(r"[a-z0-9]+", term) if n != fits.BASE]
    if len(names) > 1:
        return ", ".join([*dict.fromkeys(names), "cross"])
    return names[0] if names else "base"


def _by_size(runs: typing.Sequence[Record]) -> dict[tuple[float, ...], list[Record]]:
    groups: dict[tuple[float, ...], list[Record]] = {}
    for run in runs:
        groups.setdefault(tuple(float(run["size"][v]) for v in VARIABLES), []).append(run)
    return groups


def points(data: datasets.Dataset) -> str:
    """Make the table of bytes, processor time and memory of the runs by size."""
    rows = []
    groups = _by_size(data.all_runs)
    for key in sorted(groups):
        runs = groups[key]

        def format_median(reader: fits.MetricReader, runs: list[Record] = runs) -> str:
            values = sorted(v for run in runs if (v := reader(run)) is not None)
            if not values:
                return "-"
            middle = statistics.median(values)
            return (
                format_number(middle)
                if len(values) < 2
                else (f"{format_number(middle)} ({format_number(values[0])} to {format_number(values[-1])})")
            )

        rows.append(
            [
                " ".join(f"{v:g}" for v in key),
                f"{len(runs)}, {sum(map(metrics.is_stalled, runs))}",
                format_median(lambda r: sum(metrics.bytes_by_group(r["roles"][HEADLESS]).values()) / 1000),
                format_median(lambda r: r["roles"]["proxy"]["core_share"] * 100),
                format_median(lambda r: r["roles"][HEADLESS]["core_share"] * 100),
                format_median(lambda r: r["roles"]["proxy"]["memory_mb"]),
                format_median(lambda r: sum(metrics.bytes_by_group(r["roles"]["registry"]).values()) / 1000),
                format_median(lambda r: r["roles"]["registry"]["core_share"] * 100),
                format_median(lambda r: r["roles"]["registry"]["memory_mb"]),
                format_median(lambda r: r["roles"]["store"]["core_share"] * 100),
                format_median(lambda r: r["roles"][HEADLESS]["wait_share"] * 100),
            ]
        )
    header = (
        "nodes endpoints services rules changes marks registries",
        "runs, left out",
        "proxy KB/s",
        "proxy % of a core",
        "headless proxy %",
        "proxy MB",
        "registry KB/s",
        "registry %",
        "registry MB",
        "store %",
        "workers stood waiting %",
    )
    return markdown_table(header, rows)


def delays(data: datasets.Dataset) -> str:
    """Make the table of the delays of updates, starts and recoveries by size."""
    rows = []
    groups = _by_size(data.all_runs)
    for key in sorted(groups):
        runs = groups[key]
        row = [" ".join(f"{v:g}" for v in key)]
        for what in ("layout", "drain", "mark", "start", "recovery"):
            values = [run[what] for run in runs if run[what].get("count")]
            missing = sum(run[what].get("missing", 0) for run in runs)
            if not values:
                row.append("-")
                continue
            quantiles = [statistics.median(delay[k] for delay in values) for k in ("p50_s", "p99_s")]
            quantiles.append(max(delay["worst_s"] for delay in values))
            row.append(
                " / ".join(f"{v:.2f}" for v in quantiles) + (f", {missing} missing" if missing else "")
            )
        row.append(
            format_number(statistics.median(100 * run["roles"][HEADLESS]["wait_share"] for run in runs))
        )
        rows.append(row)
    header = (
        "nodes endpoints services rules changes marks registries",
        "layout in force everywhere, s (p50 / p99 / worst)",
        "drain known",
        "mark known",
        "worker ready after a start",
        "after a kill",
        "workers stood waiting %",
    )
    return markdown_table(header, rows)


def commits(data: datasets.Dataset) -> str:
    """Make the table of the number of records by commit."""
    counts: dict[str, int] = {}
    for record in [*data.earlier_runs, *data.all_runs, *data.other_records]:
        counts[record["commit"]] = counts.get(record["commit"], 0) + 1
    return markdown_table(("commit", "records"), [[c, str(n)] for c, n in counts.items()])


def comparison(data: datasets.Dataset) -> str:
    """Make the table that compares runs of earlier commits with current ones of the same sizes."""
    rows = []
    old = _by_size([run for run in data.earlier_runs if not metrics.is_stalled(run)])
    new = _by_size(data.runs)
    for key in sorted(set(old) & set(new)):
        row = [" ".join(f"{v:g}" for v in key), f"{len(old[key])}, {len(new[key])}"]
        for reader in (
            lambda run: sum(metrics.bytes_by_group(run["roles"][HEADLESS]).values()) / 1000,
            lambda run: run["roles"]["proxy"]["core_share"] * 100,
            lambda run: sum(metrics.bytes_by_group(run["roles"]["registry"]).values()) / 1000,
            lambda run: run["roles"]["registry"]["core_share"] * 100,
        ):
            old_text = data_tables.median_and_range([reader(run) for run in old[key]])
            new_text = data_tables.median_and_range([reader(run) for run in new[key]])
            row.append(f"{old_text} to {new_text}")
        rows.append(row)
    header = (
        "nodes endpoints services rules changes marks registries",
        "runs",
        "proxy KB/s",
        "proxy % of a core",
        "registry KB/s",
        "registry %",
    )
    return markdown_table(header, rows)
