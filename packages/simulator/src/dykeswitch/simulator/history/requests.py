"""Checks of requests: which endpoints ran them, how often, and whether each got its own response."""

import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

# The most endpoints that one request may run on by the layouts of simulated fleets, and how many seconds
# beyond the client's deadline a time budget may extend.
MAX_ENDPOINTS_PER_REQUEST: typing.Final = 3
BUDGET_SLACK_S: typing.Final = 0.5
# For how many seconds after its deregistration was acknowledged an endpoint may still get requests.
LEAVE_S: typing.Final = 2.0


def started_count(history: record.History, name: str) -> int:
    """Return how many times an execution of a request started."""
    return max(len(history.executions.get(name, ())), len(history.execution_starts.get(name, ())))


def run_twice(history: record.History) -> list[str]:
    """A write runs at most once, also if its endpoint ended during the execution."""
    return [
        f"{request.name} ran {started_count(history, request.name)} times"
        for request in history.requests
        if request.writing and started_count(history, request.name) > 1
    ]


def told_not_done(history: record.History) -> list[str]:
    """A request answered with a hint to retry has not run and never will.

    The hint may come from the gateway or from an endpoint. A read on which an endpoint failed may have
    run before its client got the hint, but must not run after it.
    """
    return [
        f"{request.name} was answered with a retry hint at {request.ended_at:.3f} "
        f"and ran at {execution.at:.3f}"
        for request in history.requests
        if request.status >= 400 and request.retry_after
        for execution in history.executions.get(request.name, ())
        if request.writing or request.result or execution.at > request.ended_at
    ]


def refused_ran(history: record.History) -> list[str]:
    """A write refused by a gateway code, an endpoint's promise or a status has not run.

    A status counts as a promise only for clients that trust it and send the request again.
    """
    found = []
    for request in history.requests:
        if not request.writing or not started_count(history, request.name):
            continue
        refused_by_status = request.trusts_refusal and request.status in clients.PROMISES
        if request.result in record.REFUSAL_CODES or request.promised or refused_by_status:
            found.append(f"{request.name} was refused with {request.status} {request.result} and ran")
    return found


def whole_replies(history: record.History) -> list[str]:
    """No response is that of another request, and none is cut short but looks complete."""
    return [
        f"{request.name}: {request.mismatch}"
        for request in [*history.requests, *history.route_checks.values()]
        if request.mismatch
    ]


def own_replies(history: record.History) -> list[str]:
    """No response belongs to another exchange, whatever its status."""
    return [
        f"{request.name}: {request.foreign_id}"
        for request in [*history.requests, *history.route_checks.values()]
        if request.foreign_id
    ]


def asked_for(history: record.History) -> list[str]:
    """Endpoints run only requests that clients sent, with the same id and content."""
    requests = {sent.name: sent for sent in history.requests} | history.route_checks
    found = [
        f"'{name}' reached {endpoint} at {at:.3f}, and no client sent it"
        for at, name, endpoint in history.arrivals
        if name not in requests
    ]
    for execution_log in (history.execution_starts, history.executions):
        for name, executions in execution_log.items():
            request = requests.get(name)
            for execution in executions:
                if request is None:
                    found.append(
                        f"{execution.endpoint} ran '{name}' at {execution.at:.3f}, and no client sent it"
                    )
                elif execution.content and request.content and execution.content != request.content:
                    found.append(
                        f"{execution.endpoint} ran '{execution.content}' where '{request.content}' was sent"
                    )
    return found


def right_owner(history: record.History) -> list[str]:
    """No request reaches an endpoint of another service than its own."""
    service = {request.name: request.service for request in history.requests}
    return [
        f"{request_id} reached {name} of {history.owners.get(name)} at {at:.3f}"
        for at, request_id, name in history.arrivals
        if request_id in service and history.owners.get(name) != service[request_id]
    ]


def not_after_leaving(history: record.History) -> list[str]:
    """No request reaches an endpoint later than 2 s after its deregistration was acknowledged."""
    return [
        f"{request_id} reached {name} {at - history.left[name]:.2f} s after it left"
        for at, request_id, name in history.arrivals
        if name in history.left and at - history.left[name] > LEAVE_S
    ]


def not_while_paused(history: record.History) -> list[str]:
    """No request reaches an endpoint later than 2 s after the start of its planned pause."""
    return [
        f"{request_id} reached {name} at {at:.2f}, paused from {p.started_at:.2f} to {p.ended_at:.2f}"
        for p in history.paused
        for at, request_id, name in history.arrivals
        if name == p.name and p.started_at + LEAVE_S < at < p.ended_at
    ]


def tries_bounded(history: record.History) -> list[str]:
    """No request runs on more endpoints than its rule allows."""
    return [
        f"{request.name} ran on {len(endpoints)} endpoints"
        for request in history.requests
        if len(
            endpoints := {execution.endpoint for execution in history.execution_starts.get(request.name, ())}
        )
        > MAX_ENDPOINTS_PER_REQUEST
    ]


def no_time_added(history: record.History) -> list[str]:
    """No endpoint gets more time than the client gave, and no later attempt more than is left of it.

    A receiver can not know for how long a slow link or a frozen machine delayed a request. Therefore
    a later attempt is compared with the deadline of the first one, and only while links were stable.
    """
    time_budgets: dict[str, list[observations.TimeBudget]] = {}
    for budget in sorted(history.time_budgets, key=lambda budget: budget.at):
        time_budgets.setdefault(budget.request_id, []).append(budget)
    found = []
    for request in history.requests:
        given_s = request.expiry_s or history.expiry_s
        for budget in (request_budgets := time_budgets.get(request.name, [])):
            first = request_budgets[0]
            deadline = max(first.at + first.duration_s, request.started_at + given_s)
            exceeds_given = budget.duration_s > given_s + BUDGET_SLACK_S
            is_later_attempt = budget.links_stable and budget.at > first.at + BUDGET_SLACK_S
            if exceeds_given or (
                is_later_attempt and budget.at + budget.duration_s > deadline + BUDGET_SLACK_S
            ):
                found.append(
                    f"{request.name}, of {given_s:.1f} s, was passed on with {budget.duration_s:.2f} s"
                )
    return found
