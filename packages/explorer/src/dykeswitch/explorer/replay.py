"""Replays and shrinks traces."""

import typing

import dykeswitch.explorer.execution as executions


def replay(
    plan: executions.Plan, trace: typing.Sequence[str], run_to_completion: bool = True
) -> executions.Violation | None:
    """Execute a trace, and then fault-free events until none is left.

    Events of the trace that cannot happen are skipped.
    """
    execution = executions.Execution(plan)
    try:
        for key in trace:
            event = next((event for event in execution.enabled() if event.key == key), None)
            if event is not None:
                execution.perform(event)
        while run_to_completion and len(execution.trace) < plan.max_events:
            next_event = next((event for event in execution.enabled() if not event.uses_budget), None)
            if next_event is None:
                break
            execution.perform(next_event)
        return execution.violation()
    finally:
        execution.close()


def shrink(plan: executions.Plan, violation: executions.Violation) -> executions.Violation:
    """Shrink a trace by removing ever smaller parts of it.

    Returns the shortest trace found that violates the same invariant.
    """
    shortest = violation
    invariant = violation.message.split()[0]
    part_size = max(1, len(shortest.trace) // 2)
    while True:
        offset = 0
        has_shrunk = False
        while offset < len(shortest.trace):
            candidate = shortest.trace[:offset] + shortest.trace[offset + part_size :]
            result = replay(plan, candidate)
            if (
                result is not None
                and result.message.split()[0] == invariant
                and len(result.trace) < len(shortest.trace)
            ):
                shortest, has_shrunk = result, True
            else:
                offset += part_size
        if part_size == 1 and not has_shrunk:
            return shortest
        part_size = max(1, part_size // 2)
