"""Checks of clients that leave: no needless work is done for them."""

import dykeswitch.simulator.history.record as record
import dykeswitch.standin.caller as clients

# For how many seconds after its client left a request may still reach an endpoint or be worked on.
NOTICE_S = 0.5


def _abandoned(history: record.History) -> list[tuple[clients.Request, float]]:
    """Return the requests whose clients left, each with the time after which no work is allowed."""
    return [
        (request, _noticed_at(history, request, request.left_at) + NOTICE_S + history.link_delay_s)
        for request in history.requests
        if request.left_at is not None
    ]


def _noticed_at(history: record.History, request: clients.Request, left_at: float) -> float:
    """Return when the proxy could notice a departure: a frozen proxy notices it when it resumes."""
    resumed_at = [
        span.ended_at for span in history.gone if span.name == request.address and span.contains(left_at)
    ]
    return max([left_at, *resumed_at])


def nothing_sent_for_nobody(history: record.History) -> list[str]:
    """No request reaches an endpoint later than `NOTICE_S` after its client left."""
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for at, name, endpoint in [*history.arrivals, *history.misdirected]:
        arrivals.setdefault(name, []).append((at, endpoint))
    return [
        f"{request.name} reached {endpoint} at {at:.3f}, its client left at {request.left_at:.3f}"
        for request, end in _abandoned(history)
        for at, endpoint in arrivals.get(request.name, ())
        if at > end
    ]


def nothing_run_for_nobody(history: record.History) -> list[str]:
    """No endpoint goes on working for a client that left, unless the request is a write."""
    return [
        f"{execution.endpoint} worked on {request.name} until {execution.at:.3f}, "
        f"its client left at {request.left_at:.3f}"
        for request, end in _abandoned(history)
        if not request.writing
        for execution in history.executions.get(request.name, ())
        if execution.at > end
    ]
