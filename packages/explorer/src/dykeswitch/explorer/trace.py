"""Traces as text: comments, and one event a line; what is printed can be replayed."""

import typing

import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.scopes as scopes

COMMENT: typing.Final = "#"
SCOPE_PREFIX: typing.Final = "# scope"
SMALL: typing.Final = "small"
WIDE: typing.Final = "wide"


class RecordedTrace(typing.NamedTuple):
    """A trace and where it was found."""

    scope: scopes.Scope
    form: str
    events: tuple[str, ...]

    @property
    def plan(self) -> executions.Plan:
        """What the trace is an execution of."""
        return plan_of(self.scope, self.form)


def plan_of(scope: scopes.Scope, form: str) -> executions.Plan:
    """A scope's plan by the name of its form."""
    return scope.small if form == SMALL else scope.wide


def write(scope: scopes.Scope, form: str, violation: executions.Violation) -> str:
    """A violation for a person to read and for `read` to take up."""
    lines = [f"{SCOPE_PREFIX} {scope.name} {form}", f"{COMMENT} {violation.message}", *violation.trace]
    lines += [f"{COMMENT} {operation}" for operation in violation.history]
    return "\n".join(lines) + "\n"


def read(text: str) -> RecordedTrace:
    """A trace out of its text; raises `ValueError` where it is none."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    scope_line = next((line for line in lines if line.startswith(SCOPE_PREFIX)), "")
    words = scope_line.removeprefix(SCOPE_PREFIX).split()
    if len(words) != 2 or words[0] not in scopes.SCOPES or words[1] not in (SMALL, WIDE):
        raise ValueError(f"no line '{SCOPE_PREFIX} NAME {SMALL}|{WIDE}'")
    events = tuple(line for line in lines if not line.startswith(COMMENT))
    return RecordedTrace(scopes.SCOPES[words[0]], words[1], events)
