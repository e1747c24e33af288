"""Tables of the sweeps."""

import re
import statistics
import typing

import dykeswitch.scale.data_tables as data_tables
import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import amount, number, table
from dykeswitch.scale.size import HEADLESS

Record = fits.Record
VARIABLES: typing.Final = ("nodes", "endpoints", "services", "rules", "changes", "marks", "cores")


def target(data: datasets.Dataset) -> str:
    """The target as it was given."""
    t, sizes = targets.TARGET, targets.sizes()
    rows = [
        ["nodes before endpoints", f"{t.nodes:,}"],
        ["endpoints, in services", f"{t.endpoints:,}, {t.services}"],
        ["rules (routes), tenants", f"{t.rules:,}, {t.tenants:,}"],
        ["requests at peak", f"{t.requests_s:,}/s, {t.requests_s / t.nodes:.0f}/s a node"],
        ["added at p99", f"{t.added_p99_ms} ms"],
        ["regions, zones", f"{t.regions}, {t.zones}"],
        [
            "layout changes",
            f"{t.changes_day:,} a day: one every {targets.DAY_S / t.changes_day:.0f} s,"
            f" in force everywhere within {t.in_force_s:.0f} s",
        ],
        [
            "a node's part for control",
            f"{t.core_share * 100:.1f}% of a core, {t.memory_mb:.0f} MB, {t.bytes_s / 1000:.0f} KB/s",
        ],
        ["machines for control", str(t.machines)],
        ["failures, restarts", f"{t.failures_day} and {t.restarts_day} a day"],
        ["marks spread over the day (worked out)", f"{sizes['marks']:.2g} a minute"],
    ]
    return table(("what", "how much"), rows)


def budgets(data: datasets.Dataset) -> str:
    """Each role at the target against its budget."""
    t = targets.TARGET
    rows = []

    def row(role: str, what: str, unit: str, value: float, least: float, most: float, limit: float) -> None:
        over = value / limit
        verdict = f"**over {number(over)} times**" if over > 1 else f"within ({number(over * 100)}%)"
        duration = f"{amount(least, unit)} to {amount(most, unit)}"
        rows.append([role, what, amount(value, unit), duration, amount(limit, unit), verdict])

    def extrapolate(role: str, what: str, unit: str, limit: float) -> None:
        r = data.extrapolations[role, what]
        row(role, what, unit, r.value, r.least, r.most, limit)

    def wire(role: str, limit: float) -> None:
        total = [data.total(role), data.total(role, lambda r: r.least), data.total(role, lambda r: r.most)]
        row(role, "bytes, both ways", "B/s", total[0], total[1], total[2], limit)

    wire("proxy", t.bytes_s)
    extrapolate("proxy", "processor", "core", t.core_share)
    extrapolate("proxy", "memory", "MB", t.memory_mb)
    for role in ("registry", "store"):
        # One process runs on one core at most; its wire and memory are set against a node's.
        wire(role, t.bytes_s)
        extrapolate(role, "processor", "core", 1.0)
        extrapolate(role, "memory", "MB", t.memory_mb)
    return table(("role", "what", "at the target", "a turn left out", "budget", "verdict"), rows)


def slopes(data: datasets.Dataset) -> str:
    """The terms of each metric, and how far they are extrapolated."""
    sizes = targets.sizes()
    rows = []
    for f in metrics.METRICS:
        r = data.extrapolations[f.role, f.name]
        for term, slope in zip(r.fit.terms, r.fit.slopes):
            if not slope:
                continue
            part = r.parts[term]
            most = max(fits.term_value(term, run["size"]) for run in data.runs)
            far = fits.term_value(term, sizes) / most if most else 0.0
            name = "base" if term == fits.BASE else term.replace("*", " x ").replace("/", " / ")
            rows.append(
                [
                    f.role,
                    f.name,
                    name,
                    amount(slope, f.unit) if f.unit != "core" else f"{number(slope * 1e6)} µcore",
                    _runs_of(term),
                    f"{r.fit.spread * 100:.0f}%",
                    f"{number(far)} x",
                    amount(part, f.unit),
                    f"{100 * part / r.value:.0f}%",
                ]
            )
    head = ("role", "figure", "term", "slope", "sweeps", "spread", "extrapolated", "at the target", "share")
    return table(head, rows)


def _runs_of(term: str) -> str:
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
    """The runs by size: bytes, processor time, memory."""
    rows = []
    groups = _by_size(data.every)
    for key in sorted(groups):
        runs = groups[key]

        def mid(look: fits.Reader, runs: list[Record] = runs) -> str:
            found = sorted(v for r in runs if (v := look(r)) is not None)
            if not found:
                return "-"
            middle = statistics.median(found)
            return (
                number(middle)
                if len(found) < 2
                else (f"{number(middle)} ({number(found[0])} to {number(found[-1])})")
            )

        rows.append(
            [
                " ".join(f"{v:g}" for v in key),
                f"{len(runs)}, {sum(map(metrics.strained, runs))}",
                mid(lambda r: sum(metrics.by_group(r["roles"][HEADLESS]).values()) / 1000),
                mid(lambda r: r["roles"]["proxy"]["core_share"] * 100),
                mid(lambda r: r["roles"][HEADLESS]["core_share"] * 100),
                mid(lambda r: r["roles"]["proxy"]["memory_mb"]),
                mid(lambda r: sum(metrics.by_group(r["roles"]["registry"]).values()) / 1000),
                mid(lambda r: r["roles"]["registry"]["core_share"] * 100),
                mid(lambda r: r["roles"]["registry"]["memory_mb"]),
                mid(lambda r: r["roles"]["store"]["core_share"] * 100),
                mid(lambda r: r["roles"][HEADLESS]["wait_share"] * 100),
            ]
        )
    head = (
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
    return table(head, rows)


def delays(data: datasets.Dataset) -> str:
    """The runs by size: how long news, starts and recoveries take."""
    rows = []
    groups = _by_size(data.every)
    for key in sorted(groups):
        runs = groups[key]
        row = [" ".join(f"{v:g}" for v in key)]
        for what in ("layout", "drain", "mark", "start", "recovery"):
            found = [r[what] for r in runs if r[what].get("count")]
            missing = sum(r[what].get("missing", 0) for r in runs)
            if not found:
                row.append("-")
                continue
            told = [statistics.median(f[k] for f in found) for k in ("p50_s", "p99_s")]
            told.append(max(f["worst_s"] for f in found))
            row.append(" / ".join(f"{v:.2f}" for v in told) + (f", {missing} missing" if missing else ""))
        row.append(number(statistics.median(100 * r["roles"][HEADLESS]["wait_share"] for r in runs)))
        rows.append(row)
    head = (
        "nodes endpoints services rules changes marks registries",
        "layout in force everywhere, s (p50 / p99 / worst)",
        "drain known",
        "mark known",
        "worker ready after a start",
        "after a kill",
        "workers stood waiting %",
    )
    return table(head, rows)


def commits(data: datasets.Dataset) -> str:
    """How many records each commit gave."""
    found: dict[str, int] = {}
    for record in [*data.before, *data.every, *data.others]:
        found[record["commit"]] = found.get(record["commit"], 0) + 1
    return table(("commit", "records"), [[c, str(n)] for c, n in found.items()])


def comparison(data: datasets.Dataset) -> str:
    """Runs of earlier commits against today's at the same sizes."""
    rows = []
    old = _by_size([r for r in data.before if not metrics.strained(r)])
    new = _by_size(data.runs)
    for key in sorted(set(old) & set(new)):
        row = [" ".join(f"{v:g}" for v in key), f"{len(old[key])}, {len(new[key])}"]
        for look in (
            lambda r: sum(metrics.by_group(r["roles"][HEADLESS]).values()) / 1000,
            lambda r: r["roles"]["proxy"]["core_share"] * 100,
            lambda r: sum(metrics.by_group(r["roles"]["registry"]).values()) / 1000,
            lambda r: r["roles"]["registry"]["core_share"] * 100,
        ):
            was = data_tables.median_and_range([look(r) for r in old[key]])
            now = data_tables.median_and_range([look(r) for r in new[key]])
            row.append(f"{was} to {now}")
        rows.append(row)
    head = (
        "nodes endpoints services rules changes marks registries",
        "runs",
        "proxy KB/s",
        "proxy % of a core",
        "registry KB/s",
        "registry %",
    )
    return table(head, rows)
