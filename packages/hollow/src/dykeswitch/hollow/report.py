"""The page of capacity: tables and figures between markers, made from the records alone.

In the page a block stands between `<!-- made: NAME -->` and `<!-- end -->`, a figure in a
line between `<!--= NAME -->` and `<!--/-->`. All else is prose and holds no figure.
"""

import dataclasses
import pathlib
import re
import statistics
import typing

import dykeswitch.hollow.fit as fits
import dykeswitch.hollow.looks as looks
import dykeswitch.hollow.target as targets
import dykeswitch.hollow.worked as worked

Record = fits.Record
Rows = list[list[str]]

BEFORE: typing.Final = "before"
BLOCK: typing.Final = re.compile(r"(<!-- made: ([a-z_]+) -->\n).*?(<!-- end -->)", re.S)
INLINE: typing.Final = re.compile(r"(<!--= ([a-z0-9_]+) -->).*?(<!--/-->)", re.S)
VARIABLES: typing.Final = ("nodes", "endpoints", "services", "rules", "changes", "marks", "cores")
# What an added variable is measured in, for people.
WORDS: typing.Final = {"changes": "layout changes a minute", "marks": "marks a minute", "cores": "registries"}


def number(value: float) -> str:
    """A figure as people read it: three digits that count."""
    size = abs(value)
    if size >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if size >= 0.001 or not size else f"{value:.2g}"


def amount(value: float, unit: str) -> str:
    """A figure with its unit: bytes in powers of a thousand, cores, megabytes."""
    if unit == "core":
        return f"{number(value * 100)}% of a core" if value < 1 else f"{number(value)} cores"
    if unit == "MB":
        return f"{number(value)} MB" if value < 1e4 else f"{number(value / 1e3)} GB"
    if unit in ("B", "B/s"):
        for size, sign in ((1e9, "G"), (1e6, "M"), (1e3, "K")):
            if value >= size:
                return f"{number(value / size)} {sign}{unit}"
    return f"{number(value)} {unit}"


def table(head: typing.Sequence[str], rows: Rows) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Book:
    """All records, and each figure brought to the target."""

    # Those whose herds never stood still; slopes are of these.
    runs: list[Record]
    every: list[Record]
    # Of earlier commits, to compare with at the same sizes.
    before: list[Record]
    others: list[Record]
    reaches: dict[tuple[str, str], fits.Reach]

    def total(self, role: str, pick: typing.Callable[[fits.Reach], float] = lambda r: r.value) -> float:
        """Bytes a second of all kinds of a role at the target."""
        return sum(
            pick(self.reaches[role, f.name]) for f in looks.FIGURES if f.role == role and f.unit == "B/s"
        )


def load(records: typing.Sequence[Record]) -> Book:
    every = [r for r in records if r["kind"] == "run" and r["book"] != BEFORE]
    before = [r for r in records if r["kind"] == "run" and r["book"] == BEFORE]
    runs = [r for r in every if not looks.strained(r)]
    sizes = targets.sizes()
    reaches = {(f.role, f.name): fits.reach(runs, f.look, f.terms, sizes) for f in looks.FIGURES}
    return Book(runs, every, before, [r for r in records if r["kind"] != "run"], reaches)


# Blocks.


def _target(book: Book) -> str:
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


def _budgets(book: Book) -> str:
    t = targets.TARGET
    rows = []

    def row(role: str, what: str, unit: str, value: float, least: float, most: float, limit: float) -> None:
        over = value / limit
        verdict = f"**over {number(over)} times**" if over > 1 else f"within ({number(over * 100)}%)"
        span = f"{amount(least, unit)} to {amount(most, unit)}"
        rows.append([role, what, amount(value, unit), span, amount(limit, unit), verdict])

    def reach(role: str, what: str, unit: str, limit: float) -> None:
        r = book.reaches[role, what]
        row(role, what, unit, r.value, r.least, r.most, limit)

    def wire(role: str, limit: float) -> None:
        total = [book.total(role), book.total(role, lambda r: r.least), book.total(role, lambda r: r.most)]
        row(role, "bytes, both ways", "B/s", total[0], total[1], total[2], limit)

    wire("proxy", t.bytes_s)
    reach("proxy", "processor", "core", t.core_share)
    reach("proxy", "memory", "MB", t.memory_mb)
    for role in ("registry", "store"):
        # One process runs on one core at most; its wire and memory are set against a node's.
        wire(role, t.bytes_s)
        reach(role, "processor", "core", 1.0)
        reach(role, "memory", "MB", t.memory_mb)
    return table(("role", "what", "at the target", "a turn left out", "budget", "verdict"), rows)


def _slopes(book: Book) -> str:
    sizes = targets.sizes()
    rows = []
    for f in looks.FIGURES:
        r = book.reaches[f.role, f.name]
        for term, slope in zip(r.fit.terms, r.fit.slopes):
            if not slope:
                continue
            part = r.parts[term]
            most = max(fits.worth(term, run["size"]) for run in book.runs)
            far = fits.worth(term, sizes) / most if most else 0.0
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


def _points(book: Book) -> str:
    rows = []
    groups = _by_size(book.every)
    for key in sorted(groups):
        runs = groups[key]

        def mid(look: fits.Look, runs: list[Record] = runs) -> str:
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
                f"{len(runs)}, {sum(map(looks.strained, runs))}",
                mid(lambda r: sum(looks.by_group(r["roles"]["hollow"]).values()) / 1000),
                mid(lambda r: r["roles"]["proxy"]["core_share"] * 100),
                mid(lambda r: r["roles"]["hollow"]["core_share"] * 100),
                mid(lambda r: r["roles"]["proxy"]["memory_mb"]),
                mid(lambda r: sum(looks.by_group(r["roles"]["registry"]).values()) / 1000),
                mid(lambda r: r["roles"]["registry"]["core_share"] * 100),
                mid(lambda r: r["roles"]["registry"]["memory_mb"]),
                mid(lambda r: r["roles"]["store"]["core_share"] * 100),
                mid(lambda r: r["roles"]["hollow"]["wait_share"] * 100),
            ]
        )
    head = (
        "nodes endpoints services rules changes marks registries",
        "runs, left out",
        "proxy KB/s",
        "proxy % of a core",
        "hollow proxy %",
        "proxy MB",
        "registry KB/s",
        "registry %",
        "registry MB",
        "store %",
        "herds stood waiting %",
    )
    return table(head, rows)


def _spans(book: Book) -> str:
    rows = []
    groups = _by_size(book.every)
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
        row.append(number(statistics.median(100 * r["roles"]["hollow"]["wait_share"] for r in runs)))
        rows.append(row)
    head = (
        "nodes endpoints services rules changes marks registries",
        "layout in force everywhere, s (p50 / p99 / worst)",
        "drain known",
        "mark known",
        "herd ready after a start",
        "after a kill",
        "herds stood waiting %",
    )
    return table(head, rows)


def _commits(book: Book) -> str:
    found: dict[str, int] = {}
    for record in [*book.before, *book.every, *book.others]:
        found[record["commit"]] = found.get(record["commit"], 0) + 1
    return table(("commit", "records"), [[c, str(n)] for c, n in found.items()])


def _before(book: Book) -> str:
    rows = []
    old = _by_size([r for r in book.before if not looks.strained(r)])
    new = _by_size(book.runs)
    for key in sorted(set(old) & set(new)):
        row = [" ".join(f"{v:g}" for v in key), f"{len(old[key])}, {len(new[key])}"]
        for look in (
            lambda r: sum(looks.by_group(r["roles"]["hollow"]).values()) / 1000,
            lambda r: r["roles"]["proxy"]["core_share"] * 100,
            lambda r: sum(looks.by_group(r["roles"]["registry"]).values()) / 1000,
            lambda r: r["roles"]["registry"]["core_share"] * 100,
        ):
            row.append(f"{_span([look(r) for r in old[key]])} to {_span([look(r) for r in new[key]])}")
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


def _median(found: typing.Iterable[float]) -> float:
    return statistics.median(list(found) or [0.0])


def _span(found: typing.Sequence[float]) -> str:
    if not found:
        return "-"
    middle = number(statistics.median(found))
    return middle if len(found) < 2 else f"{middle} ({number(min(found))} to {number(max(found))})"


def _data_runs(book: Book, sampled: bool) -> dict[tuple[int, float], list[Record]]:
    found: dict[tuple[int, float], list[Record]] = {}
    for record in book.others:
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


def _data(book: Book) -> str:
    rows = []
    for (ends, rate), records in _data_runs(book, False).items():
        proxied = rate / 3
        row = [f"{ends} endpoints, {proxied:.0f}/s", str(len(records))]
        row.append(_span([r["proxy_ms"] for r in records]))
        for name in ("relay", "proxy kept", "proxy idle", "proxy fresh", "proxy"):
            parts = []
            for part in ("p50_s", "p99_s"):
                found = [v for r in records if (v := _added(r, name, part)) is not None]
                parts.append(_span(found))
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


def _profile(book: Book) -> str:
    parts: dict[str, float] = {}
    spent = []
    for records in _data_runs(book, True).values():
        for record in records:
            for part, count in record["sampled"]["parts"].items():
                parts[part] = parts.get(part, 0.0) + count
    for records in _data_runs(book, False).values():
        spent += [r["proxy_ms"] for r in records]
    whole = sum(parts.values()) or 1.0
    each = _median(spent)
    rows = [
        [part, f"{100 * count / whole:.0f}%", number(each * count / whole)]
        for part, count in sorted(parts.items(), key=lambda p: -p[1])
    ]
    return table(("part", "share of samples", "ms of the processor a request"), rows)


BLOCKS: typing.Final[dict[str, typing.Callable[[Book], str]]] = {
    "target": _target,
    "budgets": _budgets,
    "slopes": _slopes,
    "points": _points,
    "spans": _spans,
    "before": _before,
    "data": _data,
    "profile": _profile,
    "commits": _commits,
}


def _data_figures(book: Book) -> dict[str, str]:
    """Figures of the data path; a dash where nothing was measured."""
    runs = [r for records in _data_runs(book, False).values() for r in records]
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


def figures(book: Book) -> dict[str, str]:
    """Every figure that a line of prose may hold, by name."""
    t = targets.TARGET
    found = {
        "nodes": f"{t.nodes:,}",
        "endpoints": f"{t.endpoints:,}",
        "services": str(t.services),
        "rules": f"{t.rules:,}",
        "tenants": f"{t.tenants:,}",
        "regions": str(t.regions),
        "zones": str(t.zones),
        "machines": str(t.machines),
        "restarts_day": str(t.restarts_day),
        "budget_bytes": amount(t.bytes_s, "B/s"),
        "budget_core": f"{t.core_share * 100:.1f}%",
        "budget_memory": amount(t.memory_mb, "MB"),
        "added_p99": f"{t.added_p99_ms} ms",
        "in_force": f"{t.in_force_s:.0f} s",
        "runs": str(len(book.every)),
        "left_out": str(len(book.every) - len(book.runs)),
    }
    for name, (value, unit) in worked.figures().items():
        found[name] = amount(value, unit) if unit else number(value)
    found.update(_data_figures(book))
    for role in ("proxy", "registry", "store"):
        found[f"{role}_bytes"] = amount(book.total(role), "B/s")
    for f in looks.FIGURES:
        found[f"{f.role}_{f.name}"] = amount(book.reaches[f.role, f.name].value, f.unit)
    return found


def fill(page: str, book: Book) -> str:
    """The page with every made block and figure as the records have it."""
    known = figures(book)
    page = BLOCK.sub(lambda m: m[1] + BLOCKS[m[2]](book) + m[3], page)
    return INLINE.sub(lambda m: m[1] + known[m[2]] + m[3], page)


def prose(page: str) -> str:
    """What a person wrote: the page less all that is made."""
    return INLINE.sub("", BLOCK.sub("", page))


def read(folder: pathlib.Path) -> list[Record]:
    """Every record in a folder, books in the order of their names."""
    import dykeswitch.hollow.sweep as sweeps

    books = sorted(folder.glob("*.jsonl"))
    return [{**record, "book": book.stem} for book in books for record in sweeps.read(book)]
