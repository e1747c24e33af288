"""The operators' language: one grammar for questions and commands."""

import dataclasses
import typing

import dykeswitch.outcome as outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """A question about a subject, perhaps narrowed."""

    subject: str
    filters: tuple[tuple[str, str], ...] = ()

    def wants(self, name: str, value: str) -> bool:
        """Whether a value passes the filters of that name."""
        asked = [text for kind, text in self.filters if kind == name]
        return not asked or value in asked


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Where would this request go, and why?"""

    method: str
    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Trail:
    """What was done for this exchange, and why?"""

    exchange: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Take an endpoint out for a window of time."""

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
    """A command out of text, or the place of the fault and what was expected there."""
    # Brought in with the first question: a registry starts without its grammar.
    import dykeswitch.language.grammar as grammar

    return grammar.parse(text)


def table(columns: typing.Sequence[str], rows: typing.Sequence[typing.Sequence[object]]) -> str:
    """Rows as plain text in columns."""
    texts = [[str(c) for c in columns], *([_cell(c) for c in row] for row in rows)]
    wide = [max(len(line[n]) for line in texts) for n in range(len(columns))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(line, wide)).rstrip() for line in texts)


def _cell(raw: object) -> str:
    if raw is None:
        return "-"
    if isinstance(raw, float):
        return f"{raw:.1f}"
    return str(raw)
