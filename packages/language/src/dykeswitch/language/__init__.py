"""The operators' language: one grammar for queries and commands."""

import dataclasses
import typing

import dykeswitch.outcome as outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """A query about a subject, optionally with filters."""

    subject: str
    filters: tuple[tuple[str, str], ...] = ()

    def wants(self, name: str, value: str) -> bool:
        """Whether a value passes the filters of the given name."""
        allowed = [text for kind, text in self.filters if kind == name]
        return not allowed or value in allowed


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Explain where a request would be sent, and why."""

    method: str
    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Trail:
    """Explain what was done for an exchange, and why."""

    exchange: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Take an endpoint out of use for `for_s` seconds, beginning in `in_s` seconds."""

    endpoint: str
    for_s: float
    in_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End a planned pause."""

    pause: str


Command = Show | Explain | Trail | Pause | End


def parse(text: str) -> outcome.Success[Command] | outcome.Failure:
    """Parse a command, or report the position of the error and what was expected there."""
    # Imported at the first query, so that the grammar doesn't slow the start of a registry.
    import dykeswitch.language.grammar as grammar

    return grammar.parse(text)


def table(columns: typing.Sequence[str], rows: typing.Sequence[typing.Sequence[object]]) -> str:
    """Format rows as plain text in aligned columns."""
    lines = [[str(c) for c in columns], *([_cell(c) for c in row] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(columns))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(line, widths)).rstrip() for line in lines)


def _cell(raw: object) -> str:
    if raw is None:
        return "-"
    if isinstance(raw, float):
        return f"{raw:.1f}"
    return str(raw)
