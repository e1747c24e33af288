"""Executes a trace again, and makes one shorter."""

import typing

import dykeswitch.explorer.execution as executions


def replay(
    plan: executions.Plan, trace: typing.Sequence[str], to_the_end: bool = True
) -> executions.Violation | None:
    """Execute a trace; what can't happen is passed over, and the usual follows to the end."""
    execution = executions.Execution(plan)
    try:
        for key in trace:
            event = next((event for event in execution.enabled() if event.key == key), None)
            if event is not None:
                execution.perform(event)
        while to_the_end and len(execution.trace) < plan.most_events:
            usual = next((event for event in execution.enabled() if not event.costs), None)
            if usual is None:
                break
            execution.perform(usual)
        return execution.violation()
    finally:
        execution.close()


def shrink(plan: executions.Plan, violation: executions.Violation) -> executions.Violation:
    """The shortest trace found, by leaving out ever smaller parts, that breaks the same invariant."""
    best = violation
    name = violation.what.split()[0]
    size = max(1, len(best.trace) // 2)
    while True:
        start = 0
        shorter = False
        while start < len(best.trace):
            tried = best.trace[:start] + best.trace[start + size :]
            found = replay(plan, tried)
            if found is not None and found.what.split()[0] == name and len(found.trace) < len(best.trace):
                best, shorter = found, True
            else:
                start += size
        if size == 1 and not shorter:
            return best
        size = max(1, size // 2)
