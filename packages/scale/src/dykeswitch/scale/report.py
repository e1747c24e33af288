"""The page of capacity: tables and figures between markers, made from the records alone.

In the page a block stands between `<!-- made: NAME -->` and `<!-- end -->`, a figure in a
line between `<!--= NAME -->` and `<!--/-->`. All else is prose and holds no figure.
"""

import re
import typing

import dykeswitch.scale.data_tables as data_tables
import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.derived as derived
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.tables as tables
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import amount, number

BLOCK: typing.Final = re.compile(r"(<!-- made: ([a-z_]+) -->\n).*?(<!-- end -->)", re.S)
INLINE: typing.Final = re.compile(r"(<!--= ([a-z0-9_]+) -->).*?(<!--/-->)", re.S)


BLOCKS: typing.Final[dict[str, typing.Callable[[datasets.Dataset], str]]] = {
    "target": tables.target,
    "budgets": tables.budgets,
    "slopes": tables.slopes,
    "points": tables.points,
    "spans": tables.delays,
    "before": tables.comparison,
    "data": data_tables.data_path,
    "profile": data_tables.profile,
    "commits": tables.commits,
}


def figures(data: datasets.Dataset) -> dict[str, str]:
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
        "runs": str(len(data.every)),
        "left_out": str(len(data.every) - len(data.runs)),
    }
    for name, (value, unit) in derived.figures().items():
        found[name] = amount(value, unit) if unit else number(value)
    found.update(data_tables.data_path_figures(data))
    for role in ("proxy", "registry", "store"):
        found[f"{role}_bytes"] = amount(data.total(role), "B/s")
    for f in metrics.METRICS:
        found[f"{f.role}_{f.name}"] = amount(data.extrapolations[f.role, f.name].value, f.unit)
    return found


def fill(page: str, data: datasets.Dataset) -> str:
    """The page with every made block and figure as the records have it."""
    known = figures(data)
    page = BLOCK.sub(lambda m: m[1] + BLOCKS[m[2]](data) + m[3], page)
    return INLINE.sub(lambda m: m[1] + known[m[2]] + m[3], page)


def prose(page: str) -> str:
    """What a person wrote: the page less all that is made."""
    return INLINE.sub("", BLOCK.sub("", page))
