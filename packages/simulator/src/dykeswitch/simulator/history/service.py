"""Checks of service: extra tries within bounds, nothing dropped, nobody turned away, back in time."""

import bisect
import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.standin.caller as clients

# The bound on extra tries: in each window of so many seconds a share of the requests, and so many more.
SPAN_S: typing.Final = 10.0
EXTRA_SHARE: typing.Final = 0.2
EXTRA_FLOOR: typing.Final = 60
# The life of a mark, and how late an answer may be, in seconds.
MARK_S: typing.Final = 5.0
LATE_S: typing.Final = 0.5
# Within how many seconds a request that crosses the close of its connection is back.
CROSSING_S: typing.Final = 0.2
# The part of all requests that excuses may cover before the day proves nothing.
EXCUSED_SHARE: typing.Final = 1 / 3


def _extra_windows(story: record.History) -> typing.Iterator[tuple[str, float, int, int]]:
    """Windows in which extra goes came: service, begin, how many, and on how many requests."""
    service = {a.name: a.service for a in story.requests}
    asked: dict[str, list[float]] = {}
    for request in story.requests:
        asked.setdefault(request.service, []).append(request.started_at)
    seen: set[str] = set()
    extra: dict[str, list[float]] = {}
    # Such as were turned away arrived all the same.
    for at, name, _ in sorted([*story.arrivals, *story.misdirected]):
        if name in seen and name in service:
            extra.setdefault(service[name], []).append(at)
        seen.add(name)
    for name, times in extra.items():
        begun = sorted(asked.get(name, []))
        for first in times:
            # Windows that begin with an extra go and such that end with one.
            for low, high in ((first, first + SPAN_S), (first - SPAN_S, first)):
                many = bisect.bisect_right(times, high) - bisect.bisect_left(times, low)
                base = bisect.bisect_right(begun, high) - bisect.bisect_left(begun, low)
                yield name, low, many, base


def extra_bound(story: record.History) -> list[str]:
    """Extra goes stay within a fifth plus sixty in any ten seconds."""
    return [
        f"{name}: {many} extra on {base} asked from {low:.2f}"
        for name, low, many, base in _extra_windows(story)
        if many > EXTRA_SHARE * base + EXTRA_FLOOR
    ]


def floor_used(story: record.History) -> float:
    """The most of the floor that extra goes took in any window, beyond the share of its requests."""
    return max((many - EXTRA_SHARE * base for _, _, many, base in _extra_windows(story)), default=0.0)


def not_dropped(story: record.History) -> list[str]:
    """A request at work is not dropped by an orderly stop."""
    crossed = crossed_a_close(story)
    return [
        f"{a.name}: {a.error}"
        for a in story.requests
        for s in story.stops
        if a.error and a.address == s.name and a.started_at <= s.ended_at and a.ended_at >= s.started_at
        if a.name not in crossed
    ]


def crossed_a_close(story: record.History) -> set[str]:
    """Requests whose connection a stop closed, or never opened, soon and before any endpoint had them."""
    if not story.closed:
        return set()
    arrived = {name for _, name, _ in [*story.arrivals, *story.misdirected]}
    return {
        a.name
        for a in story.requests
        if a.error and a.name not in arrived and a.ended_at - a.started_at <= CROSSING_S + story.wire_s
        for s in story.closed
        if s.name == a.address and s.holds(a.ended_at)
    }


def _lost_with_machine(story: record.History, request: clients.Request) -> bool:
    """Whether a proxy was killed or frozen while it had a request in hand, or still was asked."""
    return any(
        s.name == request.address and s.started_at <= request.ended_at and s.ended_at >= request.started_at
        for s in story.gone
    )


def excuses(story: record.History) -> dict[str, int]:
    """How many requests each excuse covers."""
    return {
        "crossed a close": len(crossed_a_close(story)),
        "machine gone": sum(1 for a in story.requests if a.error and _lost_with_machine(story, a)),
        "service failing": sum(1 for a in story.requests if _away(a) and _of_failing(story, a)),
        "came to a cut-off machine all the same": sum(
            1 for a in story.requests if _away(a) and a.name in story.ignoring_readiness
        ),
    }


def excuses_bounded(story: record.History) -> list[str]:
    """A day on which excuses cover much of what was asked proves little."""
    return [
        f"'{why}' covers {many} of {len(story.requests)}"
        for why, many in excuses(story).items()
        if many > EXCUSED_SHARE * len(story.requests)
    ]


def broken_explained(story: record.History) -> list[str]:
    """A caller's pipe breaks only with the machine at its other end."""
    crossed = crossed_a_close(story)
    return [
        f"{a.name} by {a.address} at {a.started_at:.2f}: {a.error}"
        for a in story.requests
        if a.error and not _lost_with_machine(story, a) and a.name not in crossed
    ]


def _away(request: clients.Request) -> bool:
    return request.result in record.AWAY


def _of_failing(story: record.History, request: clients.Request) -> bool:
    """Whether no endpoint of the service could have answered; marks outlast that a little."""
    return any(s.name == request.service and s.holds(request.started_at, MARK_S) for s in story.failing)


def not_turned_away(story: record.History) -> list[str]:
    """The gateway turns away no more than a handful by itself."""
    away = [
        a
        for a in story.requests
        if _away(a) and not _of_failing(story, a) and a.name not in story.ignoring_readiness
    ]
    if len(away) <= story.away_most:
        return []
    return [
        f"{len(away)} turned away, first {away[0].name} at {away[0].started_at:.2f} with {away[0].result}"
    ]


def recovered(story: record.History) -> list[str]:
    """From 15 s after the last fault on, everything is answered."""
    found = [
        f"{a.name} at {a.started_at:.2f} got {a.status} {a.result} {a.error}"
        for a in [*story.requests, *story.route_checks.values()]
        if a.started_at > story.faults_ended_at + record.RECOVER_S
        and a.left_at is None
        and (a.status not in (200, 404) or a.mismatch)
    ]
    return found + [
        f"{a.name} at {a.started_at:.2f} found no rule" for a in story.requests if a.status == 404
    ]


def back_after(story: record.History, since: float, until: float) -> float:
    """How long after a moment the last request failed that began before the next fault."""
    bad = [
        a.started_at
        for a in [*story.requests, *story.route_checks.values()]
        if since < a.started_at < until
        and (a.status not in (200, 404) or a.mismatch)
        and a.left_at is None
        and a.name not in story.ignoring_readiness
    ]
    return max(bad, default=since) - since


def back_by_fault(
    story: record.History, spans: typing.Sequence[tuple[str, float, float]]
) -> dict[str, float]:
    """For each fault, begun and over, how long requests failed after it and before the next."""
    nexts = [*(begun for _, begun, _ in spans[1:]), story.end]
    return {name: round(back_after(story, over, until), 2) for (name, _, over), until in zip(spans, nexts)}


def in_time(story: record.History) -> list[str]:
    """Every caller has an answer by its expiry."""
    return [
        f"{a.name} took {a.ended_at - a.started_at:.2f} s"
        for a in story.requests
        if a.ended_at - a.started_at > (a.expiry_s or story.expiry_s) + LATE_S
        # A machine that went dark says nothing; its caller counts under an excuse.
        and not (a.error and _lost_with_machine(story, a))
    ]


def no_crash(story: record.History) -> list[str]:
    """No program ended by itself."""
    return list(story.crashes)


def nothing_leaked(story: record.History) -> list[str]:
    """After a day and some calm the programs hold no more than before it."""
    return list(story.leaks)
