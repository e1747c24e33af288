"""Checks of configurations: in force in time, never back, never invalid, never lost."""

import bisect
import math
import typing

import dykeswitch.simulator.history.record as record
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.standing as standing

# Within how many seconds of its acknowledgement a change is in force.
LAYOUT_S: typing.Final = 2.0
# How much later than it was sent a request may be seen, and two in which order, in seconds.
SLACK_S: typing.Final = 0.1
ORDER_S: typing.Final = 0.05
# Answers by which an operator's order is refused for good.
REFUSALS: typing.Final = (400, 409, 412, 422)


def accepted(story: record.History) -> list[observations.LayoutPut]:
    """The orders that were acknowledged."""
    return [p for p in story.puts if p.status == 200]


def layout_in_time(story: record.History) -> list[str]:
    """Every proxy that is ready carries a change within 2 s."""
    puts = sorted(accepted(story), key=lambda p: p.ended_at)
    times = [p.ended_at for p in puts]
    # By what each proxy says of itself; by what reached endpoints, see `layout_by_traffic`.
    tops: list[int] = []
    for put in puts:
        tops.append(max(put.version, tops[-1] if tops else 0))
    found = []
    for sample in story.samples:
        if not sample.ready:
            continue
        at = bisect.bisect_right(times, sample.at - LAYOUT_S)
        want = tops[at - 1] if at else 0
        if sample.layout < want:
            found.append(f"{sample.proxy} carried {sample.layout} at {sample.at:.2f}, {want} was due")
    return found


def layout_never_back(story: record.History) -> list[str]:
    """No machine slips back to an older layout, not even over a restart."""
    best: dict[str, int] = {}
    found = []
    for sample in story.samples:
        if not sample.ready:
            continue
        top = best.get(sample.proxy, 0)
        if sample.layout < top:
            found.append(f"{sample.proxy} went from {top} back to {sample.layout} at {sample.at:.2f}")
        best[sample.proxy] = max(top, sample.layout)
    return found


def layout_by_traffic(story: record.History) -> list[str]:
    """Each request reached the service of a layout that stood within the last 2 s."""
    stood = standing.all_standings(story.puts)
    slack = LAYOUT_S + SLACK_S + story.wire_s
    found = standing.wrong_service(stood, story.route_checks, story.arrivals, story.owners, slack)
    return found + standing.wrong_refusal(stood, story.route_checks, slack)


def layout_order_by_traffic(story: record.History) -> list[str]:
    """No request went by an older layout than its proxy had gone by before."""
    stood = standing.all_standings(story.puts)
    slack, order = LAYOUT_S + SLACK_S + story.wire_s, ORDER_S + story.wire_s
    return standing.order_violations(stood, story.route_checks, story.arrivals, story.owners, slack, order)


def not_run_again(story: record.History) -> list[str]:
    """No request runs once more where no layout that stood within the last 2 s let it."""
    slack = LAYOUT_S + SLACK_S + story.wire_s
    return standing.run_again(standing.all_standings(story.puts), story.route_checks, story.execution_starts, slack)


Fact = tuple[float, float, int, str]


Order = tuple[str, int | None]


def _first_sent(story: record.History) -> dict[Order, float]:
    """When each order was first sent: sent again to the same version it is still one order."""
    first: dict[Order, float] = {}
    for put in story.puts:
        order = (put.body, put.match)
        first[order] = min(put.started_at, first.get(order, put.started_at))
    return first


def _told(story: record.History) -> list[Fact]:
    """What operators were told of versions: begun, ended, the version and its layout."""
    first = _first_sent(story)
    facts = [
        (p.started_at if p.match is None else first[p.body, p.match], p.ended_at, p.version, p.body)
        for p in accepted(story)
    ]
    facts += [(g.started_at, g.ended_at, g.version, g.body) for g in story.reads if g.status == 200]
    # "There is none" is an answer too: that of version 0.
    return facts + [(g.started_at, g.ended_at, 0, "") for g in story.reads if g.status == 404]


def one_body_per_version(story: record.History) -> list[str]:
    """No two layouts are ever confirmed or read under one number."""
    bodies: dict[int, str] = {}
    return [
        f"version {version} had two bodies, told at {ended:.3f}"
        for _, ended, version, body in _told(story)
        if bodies.setdefault(version, body) != body
    ]


def never_refused_again(story: record.History) -> list[str]:
    """An order that was taken is never refused when the same is sent again."""
    taken: dict[str, float] = {}
    for put in story.puts:
        if 200 in (put.status, put.lost_status):
            taken[put.body] = min(put.ended_at, taken.get(put.body, put.ended_at))
    for got in story.reads:
        if got.status == 200:
            taken[got.body] = min(got.ended_at, taken.get(got.body, got.ended_at))
    return [
        f"an order sent again at {p.started_at:.3f} got {p.status or p.lost_status}, and was known to be "
        f"taken at {taken[p.body]:.3f}"
        for p in story.puts
        if (p.status or p.lost_status) in REFUSALS and taken.get(p.body, math.inf) <= p.started_at
    ]


def read_back(story: record.History) -> list[str]:
    """Once all is calm, every core reads back what was acknowledged last, or what came after it."""
    top = max((p.version for p in accepted(story)), default=0)
    return [
        f"a core answered {g.status} with version {g.version} at {g.ended_at:.2f}, {top} was acknowledged"
        for g in story.read_back
        if g.status != 200 or g.version < top
    ]


def register_holds(story: record.History) -> list[str]:
    """Accepted layouts are neither lost nor read back older; refused ones never stand."""
    found: list[str] = []
    facts = _told(story)
    bodies = {body for _, _, _, body in facts}
    done = sorted((ended, version) for _, ended, version, _ in facts)
    times = [ended for ended, _ in done]
    tops: list[int] = []
    for _, version in done:
        tops.append(max(version, tops[-1] if tops else 0))
    for begun, _, version, _ in facts:
        at = bisect.bisect_left(times, begun)
        if at and version < tops[at - 1]:
            found.append(f"version {version} was told at {begun:.3f} after {tops[at - 1]} had been")
    settled = {p.body for p in story.puts if p.status in (0, 200, 504)}
    for put in story.puts:
        refused = put.status in (400, 409, 412, 422, 503)
        if refused and put.body in bodies and put.body not in settled:
            found.append(f"a layout refused with {put.status} stands all the same")
    for put in accepted(story):
        if put.match is not None and put.version != put.match + 1:
            found.append(f"a change to {put.match} made {put.version}")
    return found


def broken_refused(story: record.History) -> list[str]:
    """A broken layout is never accepted, and a good one never called broken."""
    found = [
        f"a broken layout got {p.status}"
        for p in story.puts
        if p.body in story.broken_bodies and p.status in (200, 504)
    ]
    found += [
        f"a good layout got {p.status}"
        for p in story.puts
        if p.body not in story.broken_bodies and p.status in (400, 422)
    ]
    return found


def refused_rightly(story: record.History) -> list[str]:
    """Who is told to have lost a race has lost one."""
    found = []
    for put in story.puts:
        if put.status != 412 or put.match is None:
            continue
        stood = any(p.version == put.match and p.ended_at < put.started_at for p in accepted(story))
        moved = any(
            (p.version > put.match if p.status == 200 else p.status in (0, 504))
            and p.started_at < put.ended_at
            for p in story.puts
            if p is not put
        )
        if stood and not moved:
            found.append(f"a change to {put.match} at {put.started_at:.2f} lost a race that nobody else ran")
    return found
