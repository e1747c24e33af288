"""Checks of requests: who ran them, how often, and whose reply came back."""

import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

# The most endpoints that one request may run on, by the layouts of simulated fleets; and how much later
# than its caller's expiry an endpoint may be told that it may work, in seconds.
TRIES_MOST: typing.Final = 3
HANDED_SLACK_S: typing.Final = 0.5
# For how many seconds after its end was acknowledged an endpoint may still get requests.
LEAVE_S: typing.Final = 2.0


def begun(story: record.History, name: str) -> int:
    """How many times work on a request began."""
    return max(len(story.executions.get(name, ())), len(story.execution_starts.get(name, ())))


def run_twice(story: record.History) -> list[str]:
    """A writing request runs at most once, also where its endpoint ended amid it."""
    return [
        f"{a.name} ran {begun(story, a.name)} times"
        for a in story.requests
        if a.writing and begun(story, a.name) > 1
    ]


def told_not_done(story: record.History) -> list[str]:
    """Who is told to try again, by us or by an endpoint's own words, has not run and never will.

    A reading request that an endpoint failed on may have run before it was told; not after.
    """
    return [
        f"{a.name} was told to try again at {a.ended_at:.3f} and ran at {execution.at:.3f}"
        for a in story.requests
        if a.status >= 400 and a.retry_after
        for execution in story.executions.get(a.name, ())
        if a.writing or a.result or execution.at > a.ended_at
    ]


def refused_ran(story: record.History) -> list[str]:
    """A write that was refused has not run: by our code, an endpoint's promise, or its status.

    A status is a promise only to callers that take it for one, and ask anew by it.
    """
    found = []
    for request in story.requests:
        if not request.writing or not begun(story, request.name):
            continue
        by_status = request.trusts_refusal and request.status in clients.PROMISES
        if request.result in record.AWAY or request.promised or by_status:
            found.append(f"{request.name} was refused with {request.status} {request.result} and ran")
    return found


def whole_replies(story: record.History) -> list[str]:
    """No one else's answer, and none that is cut yet looks complete."""
    return [f"{a.name}: {a.mismatch}" for a in [*story.requests, *story.route_checks.values()] if a.mismatch]


def own_replies(story: record.History) -> list[str]:
    """No answer belongs to another exchange, whatever its status."""
    return [
        f"{a.name}: {a.foreign_id}" for a in [*story.requests, *story.route_checks.values()] if a.foreign_id
    ]


def asked_for(story: record.History) -> list[str]:
    """Endpoints run what callers asked for, under the ids they gave, and nothing else."""
    requests = {a.name: a for a in story.requests} | story.route_checks
    found = [
        f"'{name}' reached {endpoint} at {at:.3f}, and nobody asked it"
        for at, name, endpoint in story.arrivals
        if name not in requests
    ]
    for book in (story.execution_starts, story.executions):
        for name, executions in book.items():
            request = requests.get(name)
            for execution in executions:
                if request is None:
                    found.append(
                        f"{execution.endpoint} ran '{name}' at {execution.at:.3f}, and nobody asked it"
                    )
                elif execution.content and request.content and execution.content != request.content:
                    found.append(
                        f"{execution.endpoint} ran '{execution.content}' where '{request.content}' was asked"
                    )
    return found


def right_owner(story: record.History) -> list[str]:
    """No request reaches a service that no layout sent it to."""
    service = {a.name: a.service for a in story.requests}
    return [
        f"{request_id} reached {name} of {story.owners.get(name)} at {at:.3f}"
        for at, request_id, name in story.arrivals
        if request_id in service and story.owners.get(name) != service[request_id]
    ]


def not_after_leaving(story: record.History) -> list[str]:
    """No request reaches an endpoint over 2 s after we learned that it leaves."""
    return [
        f"{request_id} reached {name} {at - story.left[name]:.2f} s after it left"
        for at, request_id, name in story.arrivals
        if name in story.left and at - story.left[name] > LEAVE_S
    ]


def not_while_paused(story: record.History) -> list[str]:
    """No request reaches an endpoint over 2 s into its planned pause."""
    return [
        f"{request_id} reached {name} at {at:.2f}, planned away from {p.started_at:.2f} to {p.ended_at:.2f}"
        for p in story.paused
        for at, request_id, name in story.arrivals
        if name == p.name and p.started_at + LEAVE_S < at < p.ended_at
    ]


def tries_bounded(story: record.History) -> list[str]:
    """No request runs on more endpoints than its rule allows."""
    return [
        f"{request.name} ran on {len(endpoints)} endpoints"
        for request in story.requests
        if len(
            endpoints := {execution.endpoint for execution in story.execution_starts.get(request.name, ())}
        )
        > TRIES_MOST
    ]


def no_time_added(story: record.History) -> list[str]:
    """No endpoint is handed more time than its caller gave, nor a later one more than is left of it.

    How long a request was held up by a link, or by a machine that stood still, nobody can know who
    gets it: a later attempt is held against the first one's end where links were calm.
    """
    time_budgets: dict[str, list[observations.TimeBudget]] = {}
    for one in sorted(story.time_budgets, key=lambda one: one.at):
        time_budgets.setdefault(one.request_id, []).append(one)
    found = []
    for request in story.requests:
        given_s = request.expiry_s or story.expiry_s
        for one in (all_budgets := time_budgets.get(request.name, [])):
            first = all_budgets[0]
            end = max(first.at + first.duration_s, request.started_at + given_s)
            longer = one.duration_s > given_s + HANDED_SLACK_S
            later = one.links_stable and one.at > first.at + HANDED_SLACK_S
            if longer or (later and one.at + one.duration_s > end + HANDED_SLACK_S):
                found.append(f"{request.name}, of {given_s:.1f} s, was handed on with {one.duration_s:.2f} s")
    return found
