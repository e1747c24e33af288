"""Traces as text, with comments and one event per line. Printed traces can be replayed."""

import typing

import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.scopes as scopes

COMMENT: typing.Final = "#"
SCOPE_PREFIX: typing.Final = "# scope"
SMALL: typing.Final = "small"
WIDE: typing.Final = "wide"


class RecordedTrace(typing.NamedTuple):
    """A trace with the scope and the form that it was found in."""

    scope: scopes.Scope
    form: str
    events: tuple[str, ...]

    @property
    def plan(self) -> executions.Plan:
        """The plan that the trace is an execution of."""
        return plan_of(self.scope, self.form)


def plan_of(scope: scopes.Scope, form: str) -> executions.Plan:
    """Return the plan of a scope by the name of its form."""
    return scope.small if form == SMALL else scope.wide


def write(scope: scopes.Scope, form: str, violation: executions.Violation) -> str:
    """Format a violation as text that people and `read` can read."""
    lines = [f"{SCOPE_PREFIX} {scope.name} {form}", f"{COMMENT} {violation.message}", *violation.trace]
    lines += [f"{COMMENT} {operation}" for operation in violation.history]
    return "\n".join(lines) + "\n"


def read(text: str) -> RecordedTrace:
    """Parse a trace; raises `ValueError` if the text is not a trace."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    scope_line = next((line for line in lines if line.startswith(SCOPE_PREFIX)), "")
    words = scope_line.removeprefix(SCOPE_PREFIX).split()
    if len(words) != 2 or words[0] not in scopes.SCOPES or words[1] not in (SMALL, WIDE):
        raise ValueError(f"not a trace: no line '{SCOPE_PREFIX} NAME {SMALL}|{WIDE}'")
    events = tuple(line for line in lines if not line.startswith(COMMENT))
    return RecordedTrace(scopes.SCOPES[words[0]], words[1], events)
