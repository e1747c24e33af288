"""Checks of the service as a whole: bounded retries, no dropped or refused requests, recovery in time."""

import bisect
import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.standin.caller as clients

# The bound on extra attempts: in each window of `WINDOW_S` seconds `EXTRA_SHARE` of the requests plus
# `EXTRA_FLOOR`.
WINDOW_S: typing.Final = 10.0
EXTRA_SHARE: typing.Final = 0.2
EXTRA_FLOOR: typing.Final = 60
# How long a mark on an endpoint lasts, and how late a response may be, in seconds.
MARK_S: typing.Final = 5.0
DEADLINE_SLACK_S: typing.Final = 0.5
# A request that is sent just as its connection is closed fails within so many seconds.
CROSSING_S: typing.Final = 0.2
# The largest share of all requests that one excuse may cover; above it the day proves nothing.
MAX_EXCUSED_SHARE: typing.Final = 1 / 3


def _extra_windows(history: record.History) -> typing.Iterator[tuple[str, float, int, int]]:
    """Yield windows with extra attempts: service, start, number of extra attempts and of requests."""
    service = {sent.name: sent.service for sent in history.requests}
    request_times: dict[str, list[float]] = {}
    for request in history.requests:
        request_times.setdefault(request.service, []).append(request.started_at)
    seen: set[str] = set()
    extra: dict[str, list[float]] = {}
    # Attempts that the wrong endpoint rejected count too.
    for at, name, _ in sorted([*history.arrivals, *history.misdirected]):
        if name in seen and name in service:
            extra.setdefault(service[name], []).append(at)
        seen.add(name)
    for name, times in extra.items():
        sorted_request_times = sorted(request_times.get(name, []))
        for first in times:
            # One window that starts with the extra attempt, and one that ends with it.
            for window_start, window_end in ((first, first + WINDOW_S), (first - WINDOW_S, first)):
                extra_count = bisect.bisect_right(times, window_end) - bisect.bisect_left(times, window_start)
                request_count = bisect.bisect_right(sorted_request_times, window_end) - bisect.bisect_left(
                    sorted_request_times, window_start
                )
                yield name, window_start, extra_count, request_count


def extra_bound(history: record.History) -> list[str]:
    """Extra attempts stay within a fifth of the requests plus sixty in any ten seconds."""
    return [
        f"{name}: {extra_count} extra attempts on {request_count} requests from {window_start:.2f}"
        for name, window_start, extra_count, request_count in _extra_windows(history)
        if extra_count > EXTRA_SHARE * request_count + EXTRA_FLOOR
    ]


def floor_used(history: record.History) -> float:
    """Return the most extra attempts in any window beyond the share of its requests."""
    return max(
        (
            extra_count - EXTRA_SHARE * request_count
            for _, _, extra_count, request_count in _extra_windows(history)
        ),
        default=0.0,
    )


def not_dropped(history: record.History) -> list[str]:
    """An orderly stop drops no request in progress."""
    crossing = crossed_a_close(history)
    return [
        f"{request.name}: {request.error}"
        for request in history.requests
        for span in history.stops
        if request.error
        and request.address == span.name
        and request.started_at <= span.ended_at
        and request.ended_at >= span.started_at
        if request.name not in crossing
    ]


def crossed_a_close(history: record.History) -> set[str]:
    """Return requests that failed soon as a stop closed or refused their connection.

    They had not reached any endpoint.
    """
    if not history.closed:
        return set()
    arrived = {name for _, name, _ in [*history.arrivals, *history.misdirected]}
    return {
        request.name
        for request in history.requests
        if request.error
        and request.name not in arrived
        and request.ended_at - request.started_at <= CROSSING_S + history.link_delay_s
        for span in history.closed
        if span.name == request.address and span.contains(request.ended_at)
    }


def _lost_with_machine(history: record.History, request: clients.Request) -> bool:
    """Whether a request was in progress at a proxy, or sent to it, while it was down or frozen."""
    return any(
        span.name == request.address
        and span.started_at <= request.ended_at
        and span.ended_at >= request.started_at
        for span in history.gone
    )


def excuses(history: record.History) -> dict[str, int]:
    """Return how many requests each excuse covers."""
    return {
        "crossed a close": len(crossed_a_close(history)),
        "machine gone": sum(
            1 for request in history.requests if request.error and _lost_with_machine(history, request)
        ),
        "service failing": sum(
            1
            for request in history.requests
            if _turned_away(request) and _service_was_failing(history, request)
        ),
        "came to a cut-off machine all the same": sum(
            1
            for request in history.requests
            if _turned_away(request) and request.name in history.ignoring_readiness
        ),
    }


def excuses_bounded(history: record.History) -> list[str]:
    """No excuse covers a large share of the requests, as such a day proves little."""
    return [
        f"'{excuse}' covers {count} of {len(history.requests)}"
        for excuse, count in excuses(history).items()
        if count > MAX_EXCUSED_SHARE * len(history.requests)
    ]


def broken_explained(history: record.History) -> list[str]:
    """A client's connection breaks only when the proxy at its other end is down or closes it."""
    crossing = crossed_a_close(history)
    return [
        f"{request.name} by {request.address} at {request.started_at:.2f}: {request.error}"
        for request in history.requests
        if request.error and not _lost_with_machine(history, request) and request.name not in crossing
    ]


def _turned_away(request: clients.Request) -> bool:
    return request.result in record.REFUSAL_CODES


def _service_was_failing(history: record.History, request: clients.Request) -> bool:
    """Whether no endpoint of the service could answer; marks last a little longer than that."""
    return any(
        span.name == request.service and span.contains(request.started_at, MARK_S) for span in history.failing
    )


def not_turned_away(history: record.History) -> list[str]:
    """The gateway itself turns away no more than a few requests."""
    turned_away = [
        request
        for request in history.requests
        if _turned_away(request)
        and not _service_was_failing(history, request)
        and request.name not in history.ignoring_readiness
    ]
    if len(turned_away) <= history.max_turned_away:
        return []
    return [
        f"{len(turned_away)} turned away, first {turned_away[0].name} "
        f"at {turned_away[0].started_at:.2f} with {turned_away[0].result}"
    ]


def recovered(history: record.History) -> list[str]:
    """From 15 s after the last fault on, every request is answered."""
    found = [
        f"{request.name} at {request.started_at:.2f} got {request.status} {request.result} {request.error}"
        for request in [*history.requests, *history.route_checks.values()]
        if request.started_at > history.faults_ended_at + record.RECOVER_S
        and request.left_at is None
        and (request.status not in (200, 404) or request.mismatch)
    ]
    return found + [
        f"{request.name} at {request.started_at:.2f} found no rule"
        for request in history.requests
        if request.status == 404
    ]


def back_after(history: record.History, since: float, until: float) -> float:
    """Return how many seconds after `since` the last request failed that started before `until`."""
    failures = [
        request.started_at
        for request in [*history.requests, *history.route_checks.values()]
        if since < request.started_at < until
        and (request.status not in (200, 404) or request.mismatch)
        and request.left_at is None
        and request.name not in history.ignoring_readiness
    ]
    return max(failures, default=since) - since


def back_by_fault(
    history: record.History, spans: typing.Sequence[tuple[str, float, float]]
) -> dict[str, float]:
    """Return for each fault for how long requests still failed after its end, before the next fault.

    `spans` has the name, the start and the end of each fault.
    """
    nexts = [*(started_at for _, started_at, _ in spans[1:]), history.end]
    return {
        name: round(back_after(history, ended_at, until), 2)
        for (name, _, ended_at), until in zip(spans, nexts)
    }


def in_time(history: record.History) -> list[str]:
    """Every client has a response by its deadline."""
    return [
        f"{request.name} took {request.ended_at - request.started_at:.2f} s"
        for request in history.requests
        if request.ended_at - request.started_at > (request.expiry_s or history.expiry_s) + DEADLINE_SLACK_S
        # A machine that lost power closes no connection; its clients count under an excuse.
        and not (request.error and _lost_with_machine(history, request))
    ]


def no_crash(history: record.History) -> list[str]:
    """No program ended by an error of its own."""
    return list(history.crashes)


def nothing_leaked(history: record.History) -> list[str]:
    """After a day and a quiet time the programs have no more resources in use than before."""
    return list(history.leaks)
