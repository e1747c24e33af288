"""Checks of callers that leave: nothing goes on for them that need not."""

import dykeswitch.simulator.history.record as record
import dykeswitch.standin.caller as callers

# How long after its caller left a request may still reach an endpoint or be worked on, in seconds.
NOTICE_S = 0.5


def _left(story: record.History) -> list[tuple[callers.Ask, float]]:
    """Requests whose callers left, each with the moment from which on nothing may be done for it."""
    return [
        (ask, _heard_at(story, ask, ask.left_at) + NOTICE_S + story.wire_s)
        for ask in story.asks
        if ask.left_at is not None
    ]


def _heard_at(story: record.History, ask: callers.Ask, left_at: float) -> float:
    """When the proxy could hear of a departure: one that stands still hears of it when it wakes."""
    woken = [span.ended for span in story.gone if span.name == ask.address and span.holds(left_at)]
    return max([left_at, *woken])


def nothing_sent_for_nobody(story: record.History) -> list[str]:
    """No request reaches an endpoint over half a second after its caller left."""
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for at, name, endpoint in [*story.hits, *story.turned]:
        arrivals.setdefault(name, []).append((at, endpoint))
    return [
        f"{ask.name} reached {endpoint} at {at:.3f}, its caller left at {ask.left_at:.3f}"
        for ask, end in _left(story)
        for at, endpoint in arrivals.get(ask.name, ())
        if at > end
    ]


def nothing_run_for_nobody(story: record.History) -> list[str]:
    """No endpoint works on for a caller that left, where the request may be repeated."""
    return [
        f"{run.endpoint} worked on {ask.name} until {run.at:.3f}, its caller left at {ask.left_at:.3f}"
        for ask, end in _left(story)
        if not ask.writing
        for run in story.runs.get(ask.name, ())
        if run.at > end
    ]
