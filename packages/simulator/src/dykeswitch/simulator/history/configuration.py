"""Checks of layouts: in force in time, never replaced by an older one, never invalid, never lost."""

import bisect
import math
import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.standing as standing

# Within how many seconds of its acknowledgement a change has to be in force.
LAYOUT_S: typing.Final = 2.0
# How many seconds after it was sent a request may be observed, and by how many seconds two requests may
# be observed in the wrong order.
SLACK_S: typing.Final = 0.1
ORDER_S: typing.Final = 0.05
# Statuses with which an order is finally refused.
REFUSALS: typing.Final = (400, 409, 412, 422)


def accepted(history: record.History) -> list[observations.LayoutPut]:
    """Return the orders that were acknowledged."""
    return [p for p in history.puts if p.status == 200]


def layout_in_time(history: record.History) -> list[str]:
    """Every proxy that is ready has a change within 2 s of its acknowledgement."""
    puts = sorted(accepted(history), key=lambda p: p.ended_at)
    times = [p.ended_at for p in puts]
    # This check uses the versions that proxies report; `layout_by_traffic` uses the arrivals at endpoints.
    highest_versions: list[int] = []
    for put in puts:
        highest_versions.append(max(put.version, highest_versions[-1] if highest_versions else 0))
    found = []
    for sample in history.samples:
        if not sample.ready:
            continue
        position = bisect.bisect_right(times, sample.at - LAYOUT_S)
        due_version = highest_versions[position - 1] if position else 0
        if sample.layout < due_version:
            found.append(
                f"{sample.proxy} had version {sample.layout} at {sample.at:.2f}, {due_version} was due"
            )
    return found


def layout_never_back(history: record.History) -> list[str]:
    """No proxy goes back to an older layout, not even after a restart."""
    highest: dict[str, int] = {}
    found = []
    for sample in history.samples:
        if not sample.ready:
            continue
        highest_version = highest.get(sample.proxy, 0)
        if sample.layout < highest_version:
            found.append(
                f"{sample.proxy} went from {highest_version} back to {sample.layout} at {sample.at:.2f}"
            )
        highest[sample.proxy] = max(highest_version, sample.layout)
    return found


def layout_by_traffic(history: record.History) -> list[str]:
    """Each request reached the service of a layout that was in force within the last 2 s."""
    stood = standing.all_standings(history.puts)
    slack = LAYOUT_S + SLACK_S + history.link_delay_s
    found = standing.wrong_service(stood, history.route_checks, history.arrivals, history.owners, slack)
    return found + standing.wrong_refusal(stood, history.route_checks, slack)


def layout_order_by_traffic(history: record.History) -> list[str]:
    """No request was routed by an older layout than its proxy had used before."""
    stood = standing.all_standings(history.puts)
    slack, order = LAYOUT_S + SLACK_S + history.link_delay_s, ORDER_S + history.link_delay_s
    return standing.order_violations(
        stood, history.route_checks, history.arrivals, history.owners, slack, order
    )


def not_run_again(history: record.History) -> list[str]:
    """No request runs again unless a layout in force within the last 2 s allowed it."""
    slack = LAYOUT_S + SLACK_S + history.link_delay_s
    return standing.run_again(
        standing.all_standings(history.puts), history.route_checks, history.execution_starts, slack
    )


# The start and end of a put or read, the version that it returned, and the body of that layout.
VersionReport = tuple[float, float, int, str]

# The body of an order and the version that it is based on.
Order = tuple[str, int | None]


def _first_sent(history: record.History) -> dict[Order, float]:
    """Return when each order was first sent: a repeat for the same version is the same order."""
    first: dict[Order, float] = {}
    for put in history.puts:
        order = (put.body, put.match)
        first[order] = min(put.started_at, first.get(order, put.started_at))
    return first


def _version_reports(history: record.History) -> list[VersionReport]:
    """Return the versions that operators received, by acknowledged orders and by reads."""
    first = _first_sent(history)
    reports = [
        (p.started_at if p.match is None else first[p.body, p.match], p.ended_at, p.version, p.body)
        for p in accepted(history)
    ]
    reports += [
        (read.started_at, read.ended_at, read.version, read.body)
        for read in history.reads
        if read.status == 200
    ]
    # A 404 reports that there is no layout, which is version 0.
    return reports + [(read.started_at, read.ended_at, 0, "") for read in history.reads if read.status == 404]


def one_body_per_version(history: record.History) -> list[str]:
    """No two different layouts are ever acknowledged or read under the same version."""
    bodies: dict[int, str] = {}
    return [
        f"version {version} had two bodies, the second reported at {ended_at:.3f}"
        for _, ended_at, version, body in _version_reports(history)
        if bodies.setdefault(version, body) != body
    ]


def never_refused_again(history: record.History) -> list[str]:
    """An accepted order is never refused when it is sent again."""
    accepted_at: dict[str, float] = {}
    for put in history.puts:
        if 200 in (put.status, put.lost_status):
            accepted_at[put.body] = min(put.ended_at, accepted_at.get(put.body, put.ended_at))
    for read in history.reads:
        if read.status == 200:
            accepted_at[read.body] = min(read.ended_at, accepted_at.get(read.body, read.ended_at))
    return [
        f"an order sent again at {p.started_at:.3f} got {p.status or p.lost_status}, but was known to be "
        f"accepted at {accepted_at[p.body]:.3f}"
        for p in history.puts
        if (p.status or p.lost_status) in REFUSALS and accepted_at.get(p.body, math.inf) <= p.started_at
    ]


def read_back(history: record.History) -> list[str]:
    """After the quiet time every core returns the last acknowledged version, or a later one."""
    highest_version = max((p.version for p in accepted(history)), default=0)
    return [
        f"a core answered {read.status} with version {read.version} at {read.ended_at:.2f}, "
        f"{highest_version} was acknowledged"
        for read in history.read_back
        if read.status != 200 or read.version < highest_version
    ]


def register_holds(history: record.History) -> list[str]:
    """Accepted layouts are not lost, reads never go back, and refused layouts are never in force."""
    found: list[str] = []
    reports = _version_reports(history)
    bodies = {body for _, _, _, body in reports}
    reported = sorted((ended_at, version) for _, ended_at, version, _ in reports)
    times = [ended_at for ended_at, _ in reported]
    highest_versions: list[int] = []
    for _, version in reported:
        highest_versions.append(max(version, highest_versions[-1] if highest_versions else 0))
    for started_at, _, version, _ in reports:
        position = bisect.bisect_left(times, started_at)
        if position and version < highest_versions[position - 1]:
            found.append(
                f"version {version} was reported at {started_at:.3f} "
                f"after {highest_versions[position - 1]} had been"
            )
    possibly_accepted = {p.body for p in history.puts if p.status in (0, 200, 504)}
    for put in history.puts:
        refused = put.status in (400, 409, 412, 422, 503)
        if refused and put.body in bodies and put.body not in possibly_accepted:
            found.append(f"a layout refused with {put.status} is in force all the same")
    for put in accepted(history):
        if put.match is not None and put.version != put.match + 1:
            found.append(f"a change of version {put.match} became version {put.version}")
    return found


def broken_refused(history: record.History) -> list[str]:
    """An invalid layout is never accepted, and a valid one is never refused as invalid."""
    found = [
        f"an invalid layout got {p.status}"
        for p in history.puts
        if p.body in history.broken_bodies and p.status in (200, 504)
    ]
    found += [
        f"a valid layout got {p.status}"
        for p in history.puts
        if p.body not in history.broken_bodies and p.status in (400, 422)
    ]
    return found


def refused_rightly(history: record.History) -> list[str]:
    """An order is refused for a conflict only if another order may have been accepted before it."""
    found = []
    for put in history.puts:
        if put.status != 412 or put.match is None:
            continue
        was_current = any(p.version == put.match and p.ended_at < put.started_at for p in accepted(history))
        superseded = any(
            (p.version > put.match if p.status == 200 else p.status in (0, 504))
            and p.started_at < put.ended_at
            for p in history.puts
            if p is not put
        )
        if was_current and not superseded:
            found.append(
                f"a change of version {put.match} at {put.started_at:.2f} had a conflict "
                "without a competing change"
            )
    return found
