"""Checks of requests: who ran them, how often, and whose reply came back."""

import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as callers

# The most endpoints that one request may run on, by the layouts of simulated fleets; and how much later
# than its caller's expiry an endpoint may be told that it may work, in seconds.
TRIES_MOST: typing.Final = 3
HANDED_SLACK_S: typing.Final = 0.5
# For how many seconds after its end was acknowledged an endpoint may still get requests.
LEAVE_S: typing.Final = 2.0


def begun(story: record.History, name: str) -> int:
    """How many times work on a request began."""
    return max(len(story.runs.get(name, ())), len(story.starts.get(name, ())))


def run_twice(story: record.History) -> list[str]:
    """A writing request runs at most once, also where its endpoint ended amid it."""
    return [
        f"{a.name} ran {begun(story, a.name)} times"
        for a in story.asks
        if a.writing and begun(story, a.name) > 1
    ]


def told_not_done(story: record.History) -> list[str]:
    """Who is told to try again, by us or by an endpoint's own words, has not run and never will.

    A reading request that an endpoint failed on may have run before it was told; not after.
    """
    return [
        f"{a.name} was told to try again at {a.ended:.3f} and ran at {run.at:.3f}"
        for a in story.asks
        if a.status >= 400 and a.retry_after
        for run in story.runs.get(a.name, ())
        if a.writing or a.result or run.at > a.ended
    ]


def refused_ran(story: record.History) -> list[str]:
    """A write that was refused has not run: by our code, an endpoint's promise, or its status.

    A status is a promise only to callers that take it for one, and ask anew by it.
    """
    found = []
    for ask in story.asks:
        if not ask.writing or not begun(story, ask.name):
            continue
        by_status = ask.trusts and ask.status in callers.PROMISES
        if ask.result in record.AWAY or ask.promised or by_status:
            found.append(f"{ask.name} was refused with {ask.status} {ask.result} and ran")
    return found


def whole_replies(story: record.History) -> list[str]:
    """No one else's answer, and none that is cut yet looks complete."""
    return [f"{a.name}: {a.wrong}" for a in [*story.asks, *story.roves.values()] if a.wrong]


def own_replies(story: record.History) -> list[str]:
    """No answer belongs to another exchange, whatever its status."""
    return [f"{a.name}: {a.others}" for a in [*story.asks, *story.roves.values()] if a.others]


def asked_for(story: record.History) -> list[str]:
    """Endpoints run what callers asked for, under the ids they gave, and nothing else."""
    asks = {a.name: a for a in story.asks} | story.roves
    found = [
        f"'{name}' reached {endpoint} at {at:.3f}, and nobody asked it"
        for at, name, endpoint in story.hits
        if name not in asks
    ]
    for book in (story.starts, story.runs):
        for name, runs in book.items():
            ask = asks.get(name)
            for run in runs:
                if ask is None:
                    found.append(f"{run.endpoint} ran '{name}' at {run.at:.3f}, and nobody asked it")
                elif run.said and ask.said and run.said != ask.said:
                    found.append(f"{run.endpoint} ran '{run.said}' where '{ask.said}' was asked")
    return found


def right_owner(story: record.History) -> list[str]:
    """No request reaches a service that no layout sent it to."""
    service = {a.name: a.service for a in story.asks}
    return [
        f"{ask} reached {name} of {story.owners.get(name)} at {at:.3f}"
        for at, ask, name in story.hits
        if ask in service and story.owners.get(name) != service[ask]
    ]


def not_after_leaving(story: record.History) -> list[str]:
    """No request reaches an endpoint over 2 s after we learned that it leaves."""
    return [
        f"{ask} reached {name} {at - story.left[name]:.2f} s after it left"
        for at, ask, name in story.hits
        if name in story.left and at - story.left[name] > LEAVE_S
    ]


def not_while_paused(story: record.History) -> list[str]:
    """No request reaches an endpoint over 2 s into its planned pause."""
    return [
        f"{ask} reached {name} at {at:.2f}, planned away from {p.begun:.2f} to {p.ended:.2f}"
        for p in story.paused
        for at, ask, name in story.hits
        if name == p.name and p.begun + LEAVE_S < at < p.ended
    ]


def tries_bounded(story: record.History) -> list[str]:
    """No request runs on more endpoints than its rule allows."""
    return [
        f"{ask.name} ran on {len(endpoints)} endpoints"
        for ask in story.asks
        if len(endpoints := {run.endpoint for run in story.starts.get(ask.name, ())}) > TRIES_MOST
    ]


def no_time_added(story: record.History) -> list[str]:
    """No endpoint is handed more time than its caller gave, nor a later one more than is left of it.

    How long a request was held up by a link, or by a machine that stood still, nobody can know who
    gets it: a later attempt is held against the first one's end where links were calm.
    """
    handed: dict[str, list[observations.Handed]] = {}
    for one in sorted(story.handed, key=lambda one: one.at):
        handed.setdefault(one.ask, []).append(one)
    found = []
    for ask in story.asks:
        given_s = ask.expiry_s or story.expiry_s
        for one in (all_handed := handed.get(ask.name, [])):
            first = all_handed[0]
            end = max(first.at + first.span_s, ask.begun + given_s)
            longer = one.span_s > given_s + HANDED_SLACK_S
            later = one.calm and one.at > first.at + HANDED_SLACK_S
            if longer or (later and one.at + one.span_s > end + HANDED_SLACK_S):
                found.append(f"{ask.name}, of {given_s:.1f} s, was handed on with {one.span_s:.2f} s")
    return found
