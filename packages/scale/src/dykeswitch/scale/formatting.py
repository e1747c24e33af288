"""How figures are written for people."""

import typing

Rows = list[list[str]]
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
    """A table in Markdown."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"
