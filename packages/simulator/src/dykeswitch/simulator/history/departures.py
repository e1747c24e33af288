"""Checks of callers that leave: nothing goes on for them that need not."""

import dykeswitch.simulator.history.record as record
import dykeswitch.standin.caller as clients

# How long after its caller left a request may still reach an endpoint or be worked on, in seconds.
NOTICE_S = 0.5


def _left(story: record.History) -> list[tuple[clients.Request, float]]:
    """Requests whose callers left, each with the moment from which on nothing may be done for it."""
    return [
        (request, _heard_at(story, request, request.left_at) + NOTICE_S + story.wire_s)
        for request in story.requests
        if request.left_at is not None
    ]


def _heard_at(story: record.History, request: clients.Request, left_at: float) -> float:
    """When the proxy could hear of a departure: one that stands still hears of it when it wakes."""
    woken = [span.ended_at for span in story.gone if span.name == request.address and span.holds(left_at)]
    return max([left_at, *woken])


def nothing_sent_for_nobody(story: record.History) -> list[str]:
    """No request reaches an endpoint over half a second after its caller left."""
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for at, name, endpoint in [*story.arrivals, *story.misdirected]:
        arrivals.setdefault(name, []).append((at, endpoint))
    return [
        f"{request.name} reached {endpoint} at {at:.3f}, its caller left at {request.left_at:.3f}"
        for request, end in _left(story)
        for at, endpoint in arrivals.get(request.name, ())
        if at > end
    ]


def nothing_run_for_nobody(story: record.History) -> list[str]:
    """No endpoint works on for a caller that left, where the request may be repeated."""
    return [
        f"{execution.endpoint} worked on {request.name} until {execution.at:.3f}, "
        f"its caller left at {request.left_at:.3f}"
        for request, end in _left(story)
        if not request.writing
        for execution in story.executions.get(request.name, ())
        if execution.at > end
    ]
