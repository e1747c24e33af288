"""Formats numbers and tables for the capacity page."""

import typing

Rows = list[list[str]]
# Axis labels of the variables whose names don't show their unit or meaning.
AXIS_LABELS: typing.Final = {
    "changes": "layout changes a minute",
    "marks": "marks a minute",
    "cores": "registries",
}


def format_number(value: float) -> str:
    """Format a number with three significant digits, or two below 0.001."""
    magnitude = abs(value)
    if magnitude >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if magnitude >= 0.001 or not magnitude else f"{value:.2g}"


def format_amount(value: float, unit: str) -> str:
    """Format a number with its unit, in powers of a thousand for bytes."""
    if unit == "core":
        return f"{format_number(value * 100)}% of a core" if value < 1 else f"{format_number(value)} cores"
    if unit == "MB":
        return f"{format_number(value)} MB" if value < 1e4 else f"{format_number(value / 1e3)} GB"
    if unit in ("B", "B/s"):
        for magnitude, prefix in ((1e9, "G"), (1e6, "M"), (1e3, "K")):
            if value >= magnitude:
                return f"{format_number(value / magnitude)} {prefix}{unit}"
    return f"{format_number(value)} {unit}"


def markdown_table(header: typing.Sequence[str], rows: Rows) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"
