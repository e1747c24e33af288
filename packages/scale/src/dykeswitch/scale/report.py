"""Fills the capacity page with tables and figures generated from the records alone.

A generated block is between `<!-- made: NAME -->` and `<!-- end -->`, and a figure within a line
is between `<!--= NAME -->` and `<!--/-->`. Everything else is prose and contains no figures.
"""

import re
import typing

import dykeswitch.scale.data_tables as data_tables
import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.derived as derived
import dykeswitch.scale.metrics as metrics
import dykeswitch.scale.tables as tables
import dykeswitch.scale.target as targets
from dykeswitch.scale.formatting import format_amount, format_number

BLOCK_PATTERN: typing.Final = re.compile(r"(<!-- made: ([a-z_]+) -->\n).*?(<!-- end -->)", re.S)
FIGURE_PATTERN: typing.Final = re.compile(r"(<!--= ([a-z0-9_]+) -->).*?(<!--/-->)", re.S)


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
    """Return every figure that prose can refer to, by name."""
    target = targets.TARGET
    values = {
        "nodes": f"{target.nodes:,}",
        "endpoints": f"{target.endpoints:,}",
        "services": str(target.services),
        "rules": f"{target.rules:,}",
        "tenants": f"{target.tenants:,}",
        "regions": str(target.regions),
        "zones": str(target.zones),
        "machines": str(target.machines),
        "restarts_day": str(target.restarts_day),
        "budget_bytes": format_amount(target.bytes_s, "B/s"),
        "budget_core": f"{target.core_share * 100:.1f}%",
        "budget_memory": format_amount(target.memory_mb, "MB"),
        "added_p99": f"{target.added_p99_ms} ms",
        "in_force": f"{target.in_force_s:.0f} s",
        "runs": str(len(data.all_runs)),
        "left_out": str(len(data.all_runs) - len(data.runs)),
    }
    for name, (value, unit) in derived.figures().items():
        values[name] = format_amount(value, unit) if unit else format_number(value)
    values.update(data_tables.data_path_figures(data))
    for role in ("proxy", "registry", "store"):
        values[f"{role}_bytes"] = format_amount(data.total(role), "B/s")
    for metric in metrics.METRICS:
        values[f"{metric.role}_{metric.name}"] = format_amount(
            data.extrapolations[metric.role, metric.name].value, metric.unit
        )
    return values


def fill(page: str, data: datasets.Dataset) -> str:
    """Return the page with each generated block and figure replaced by its current value."""
    values = figures(data)
    page = BLOCK_PATTERN.sub(lambda m: m[1] + BLOCKS[m[2]](data) + m[3], page)
    return FIGURE_PATTERN.sub(lambda m: m[1] + values[m[2]] + m[3], page)


def prose(page: str) -> str:
    """Return the hand-written part of the page, without generated blocks and figures."""
    return FIGURE_PATTERN.sub("", BLOCK_PATTERN.sub("", page))
