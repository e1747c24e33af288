"""The checker: judges a recorded history by each point of the brief."""

import bisect
import dataclasses
import hashlib
import math
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.standing as standing
import dykeswitch.standin.caller as callers

# The brief's own figures.
LEAVE_S: typing.Final = 2.0
LAYOUT_S: typing.Final = 2.0
SPAN_S: typing.Final = 10.0
EXTRA_SHARE: typing.Final = 0.2
EXTRA_FLOOR: typing.Final = 60
RECOVER_S: typing.Final = 15.0
GRACE_S: typing.Final = 6.0
MARK_S: typing.Final = 5.0
LATE_S: typing.Final = 0.5
# How much later than it was sent a request may be seen, and two in which order.
SLACK_S: typing.Final = 0.1
ORDER_S: typing.Final = 0.05
# The part of all requests that excuses may cover before the day proves nothing.
EXCUSED_SHARE: typing.Final = 1 / 3
# Our own codes that turn a request away.
AWAY: typing.Final = (102, 103, 104, 111, 112, 114, 116)
# Answers by which an operator's order is refused for good.
REFUSALS: typing.Final = (400, 409, 412, 422)


@dataclasses.dataclass(slots=True)
class Span:
    """A stretch of time in which something was so for one machine."""

    name: str
    begun: float
    ended: float

    def holds(self, at: float, slack: float = 0.0) -> bool:
        return self.begun <= at <= self.ended + slack


@dataclasses.dataclass(slots=True)
class History:
    """All that was recorded of one run."""

    asks: list[callers.Ask] = dataclasses.field(default_factory=list)
    runs: dict[str, list[callers.Run]] = dataclasses.field(default_factory=dict)
    # When work began, where endpoints say so: a run that its endpoint's end cut off counts.
    starts: dict[str, list[callers.Run]] = dataclasses.field(default_factory=dict)
    hits: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    # Requests that were meant for another endpoint, and turned away by the one they reached.
    turned: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    puts: list[fleets.Put] = dataclasses.field(default_factory=list)
    gots: list[fleets.Got] = dataclasses.field(default_factory=list)
    # What each core answers to a read once all is calm.
    read_back: list[fleets.Got] = dataclasses.field(default_factory=list)
    samples: list[fleets.Sample] = dataclasses.field(default_factory=list)
    # Requests that each layout sends elsewhere, and how late wires may bring them.
    roves: dict[str, callers.Ask] = dataclasses.field(default_factory=dict)
    wire_s: float = 0.0
    # Machines of proxies that were gone or frozen, by the proxy's address; and services
    # of which no endpoint could answer. What callers lost by these is excused, and counted.
    gone: list[Span] = dataclasses.field(default_factory=list)
    failing: list[Span] = dataclasses.field(default_factory=list)
    # Proxies cut off whose callers come all the same, whatever they are told.
    rude: set[str] = dataclasses.field(default_factory=set)
    # Orderly stops, by the proxy's address.
    stops: list[Span] = dataclasses.field(default_factory=list)
    # Planned pauses: an endpoint's name, when confirmed, when it ends.
    paused: list[Span] = dataclasses.field(default_factory=list)
    broken_bodies: set[str] = dataclasses.field(default_factory=set)
    crashes: list[str] = dataclasses.field(default_factory=list)
    # What the fleet still held after the calm, beyond what it held before.
    leaks: list[str] = dataclasses.field(default_factory=list)
    expiry_s: float = 10.0
    away_most: int = 5
    # When the last fault was over, and when traffic ended.
    calm: float = 0.0
    end: float = 0.0


Check = typing.Callable[[History], list[str]]


def _begun(story: History, name: str) -> int:
    """How many times work on a request began."""
    return max(len(story.runs.get(name, ())), len(story.starts.get(name, ())))


def run_twice(story: History) -> list[str]:
    """A writing request runs at most once, also where its endpoint ended amid it."""
    return [
        f"{a.name} ran {_begun(story, a.name)} times"
        for a in story.asks
        if a.writing and _begun(story, a.name) > 1
    ]


def told_not_done(story: History) -> list[str]:
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


def refused_ran(story: History) -> list[str]:
    """A write that was refused has not run: by our code, an endpoint's promise, or its status.

    A status is a promise only to callers that take it for one, and ask anew by it.
    """
    found = []
    for ask in story.asks:
        if not ask.writing or not _begun(story, ask.name):
            continue
        by_status = ask.trusts and ask.status in callers.PROMISES
        if ask.result in AWAY or ask.promised or by_status:
            found.append(f"{ask.name} was refused with {ask.status} {ask.result} and ran")
    return found


def whole_replies(story: History) -> list[str]:
    """No one else's answer, and none that is cut yet looks complete."""
    return [f"{a.name}: {a.wrong}" for a in [*story.asks, *story.roves.values()] if a.wrong]


def own_replies(story: History) -> list[str]:
    """No answer belongs to another exchange, whatever its status."""
    return [f"{a.name}: {a.others}" for a in [*story.asks, *story.roves.values()] if a.others]


def asked_for(story: History) -> list[str]:
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


def right_owner(story: History) -> list[str]:
    """No request reaches a service that no layout sent it to."""
    service = {a.name: a.service for a in story.asks}
    return [
        f"{ask} reached {name} of {story.owners.get(name)} at {at:.3f}"
        for at, ask, name in story.hits
        if ask in service and story.owners.get(name) != service[ask]
    ]


def not_after_leaving(story: History) -> list[str]:
    """No request reaches an endpoint over 2 s after we learned that it leaves."""
    return [
        f"{ask} reached {name} {at - story.left[name]:.2f} s after it left"
        for at, ask, name in story.hits
        if name in story.left and at - story.left[name] > LEAVE_S
    ]


def not_while_paused(story: History) -> list[str]:
    """No request reaches an endpoint over 2 s into its planned pause."""
    return [
        f"{ask} reached {name} at {at:.2f}, planned away from {p.begun:.2f} to {p.ended:.2f}"
        for p in story.paused
        for at, ask, name in story.hits
        if name == p.name and p.begun + LEAVE_S < at < p.ended
    ]


def _accepted(story: History) -> list[fleets.Put]:
    return [p for p in story.puts if p.status == 200]


def layout_in_time(story: History) -> list[str]:
    """Every proxy that is ready carries a change within 2 s."""
    puts = sorted(_accepted(story), key=lambda p: p.ended)
    times = [p.ended for p in puts]
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


def layout_never_back(story: History) -> list[str]:
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


def layout_by_traffic(story: History) -> list[str]:
    """Each request reached the service of a layout that stood within the last 2 s."""
    stood = standing.all_of(story.puts)
    slack = LAYOUT_S + SLACK_S + story.wire_s
    found = standing.wrong_service(stood, story.roves, story.hits, story.owners, slack)
    return found + standing.wrong_refusal(stood, story.roves, slack)


def layout_order_by_traffic(story: History) -> list[str]:
    """No request went by an older layout than its proxy had gone by before."""
    stood = standing.all_of(story.puts)
    slack, order = LAYOUT_S + SLACK_S + story.wire_s, ORDER_S + story.wire_s
    return standing.slips(stood, story.roves, story.hits, story.owners, slack, order)


Fact = tuple[float, float, int, str]


Order = tuple[str, int | None]


def _first_sent(story: History) -> dict[Order, float]:
    """When each order was first sent: sent again to the same version it is still one order."""
    first: dict[Order, float] = {}
    for put in story.puts:
        order = (put.body, put.match)
        first[order] = min(put.begun, first.get(order, put.begun))
    return first


def _told(story: History) -> list[Fact]:
    """What operators were told of versions: begun, ended, the version and its layout."""
    first = _first_sent(story)
    facts = [
        (p.begun if p.match is None else first[p.body, p.match], p.ended, p.version, p.body)
        for p in _accepted(story)
    ]
    facts += [(g.begun, g.ended, g.version, g.body) for g in story.gots if g.status == 200]
    # "There is none" is an answer too: that of version 0.
    return facts + [(g.begun, g.ended, 0, "") for g in story.gots if g.status == 404]


def one_body_per_version(story: History) -> list[str]:
    """No two layouts are ever confirmed or read under one number."""
    bodies: dict[int, str] = {}
    return [
        f"version {version} had two bodies, told at {ended:.3f}"
        for _, ended, version, body in _told(story)
        if bodies.setdefault(version, body) != body
    ]


def never_refused_again(story: History) -> list[str]:
    """An order that was taken is never refused when the same is sent again."""
    taken: dict[str, float] = {}
    for put in story.puts:
        if 200 in (put.status, put.lost_status):
            taken[put.body] = min(put.ended, taken.get(put.body, put.ended))
    for got in story.gots:
        if got.status == 200:
            taken[got.body] = min(got.ended, taken.get(got.body, got.ended))
    return [
        f"an order sent again at {p.begun:.3f} got {p.status or p.lost_status}, and was known to be "
        f"taken at {taken[p.body]:.3f}"
        for p in story.puts
        if (p.status or p.lost_status) in REFUSALS and taken.get(p.body, math.inf) <= p.begun
    ]


def read_back(story: History) -> list[str]:
    """Once all is calm, every core reads back what was acknowledged last, or what came after it."""
    top = max((p.version for p in _accepted(story)), default=0)
    return [
        f"a core answered {g.status} with version {g.version} at {g.ended:.2f}, {top} was acknowledged"
        for g in story.read_back
        if g.status != 200 or g.version < top
    ]


def register_holds(story: History) -> list[str]:
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
    for put in _accepted(story):
        if put.match is not None and put.version != put.match + 1:
            found.append(f"a change to {put.match} made {put.version}")
    return found


def broken_refused(story: History) -> list[str]:
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


def _extra_windows(story: History) -> typing.Iterator[tuple[str, float, int, int]]:
    """Windows in which extra goes came: service, begin, how many, and on how many requests."""
    service = {a.name: a.service for a in story.asks}
    asked: dict[str, list[float]] = {}
    for ask in story.asks:
        asked.setdefault(ask.service, []).append(ask.begun)
    seen: set[str] = set()
    extra: dict[str, list[float]] = {}
    # Such as were turned away arrived all the same.
    for at, name, _ in sorted([*story.hits, *story.turned]):
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


def extra_bound(story: History) -> list[str]:
    """Extra goes stay within a fifth plus sixty in any ten seconds."""
    return [
        f"{name}: {many} extra on {base} asked from {low:.2f}"
        for name, low, many, base in _extra_windows(story)
        if many > EXTRA_SHARE * base + EXTRA_FLOOR
    ]


def floor_used(story: History) -> float:
    """The most of the floor that extra goes took in any window, beyond the share of its requests."""
    return max((many - EXTRA_SHARE * base for _, _, many, base in _extra_windows(story)), default=0.0)


def not_dropped(story: History) -> list[str]:
    """A request at work is not dropped by an orderly stop."""
    return [
        f"{a.name}: {a.flaw}"
        for a in story.asks
        for s in story.stops
        if a.flaw and a.address == s.name and a.begun <= s.ended and a.ended >= s.begun
    ]


def _lost_with_machine(story: History, ask: callers.Ask) -> bool:
    """Whether a proxy was killed or frozen while it had a request in hand, or still was asked."""
    return any(s.name == ask.address and s.begun <= ask.ended and s.ended >= ask.begun for s in story.gone)


def excuses(story: History) -> dict[str, int]:
    """How many requests each excuse covers."""
    return {
        "machine gone": sum(1 for a in story.asks if a.flaw and _lost_with_machine(story, a)),
        "service failing": sum(1 for a in story.asks if _away(a) and _of_failing(story, a)),
        "came to a cut-off machine all the same": sum(
            1 for a in story.asks if _away(a) and a.name in story.rude
        ),
    }


def excuses_bounded(story: History) -> list[str]:
    """A day on which excuses cover much of what was asked proves little."""
    return [
        f"'{why}' covers {many} of {len(story.asks)}"
        for why, many in excuses(story).items()
        if many > EXCUSED_SHARE * len(story.asks)
    ]


def broken_explained(story: History) -> list[str]:
    """A caller's pipe breaks only with the machine at its other end."""
    return [
        f"{a.name} by {a.address} at {a.begun:.2f}: {a.flaw}"
        for a in story.asks
        if a.flaw and not _lost_with_machine(story, a)
    ]


def _away(ask: callers.Ask) -> bool:
    return ask.result in AWAY


def _of_failing(story: History, ask: callers.Ask) -> bool:
    """Whether no endpoint of the service could have answered; marks outlast that a little."""
    return any(s.name == ask.service and s.holds(ask.begun, MARK_S) for s in story.failing)


def not_turned_away(story: History) -> list[str]:
    """The gateway turns away no more than a handful by itself."""
    away = [a for a in story.asks if _away(a) and not _of_failing(story, a) and a.name not in story.rude]
    if len(away) <= story.away_most:
        return []
    return [f"{len(away)} turned away, first {away[0].name} at {away[0].begun:.2f} with {away[0].result}"]


def recovered(story: History) -> list[str]:
    """From 15 s after the last fault on, everything is answered."""
    found = [
        f"{a.name} at {a.begun:.2f} got {a.status} {a.result} {a.flaw}"
        for a in [*story.asks, *story.roves.values()]
        if a.begun > story.calm + RECOVER_S and (a.status not in (200, 404) or a.wrong)
    ]
    return found + [f"{a.name} at {a.begun:.2f} found no rule" for a in story.asks if a.status == 404]


def back_after(story: History, since: float, until: float) -> float:
    """How long after a moment the last request failed that began before the next fault."""
    bad = [
        a.begun
        for a in [*story.asks, *story.roves.values()]
        if since < a.begun < until and (a.status not in (200, 404) or a.wrong) and a.name not in story.rude
    ]
    return max(bad, default=since) - since


def back_by_fault(story: History, spans: typing.Sequence[tuple[str, float, float]]) -> dict[str, float]:
    """For each fault, begun and over, how long requests failed after it and before the next."""
    nexts = [*(begun for _, begun, _ in spans[1:]), story.end]
    return {name: round(back_after(story, over, until), 2) for (name, _, over), until in zip(spans, nexts)}


def in_time(story: History) -> list[str]:
    """Every caller has an answer by its expiry."""
    return [
        f"{a.name} took {a.ended - a.begun:.2f} s"
        for a in story.asks
        if a.ended - a.begun > (a.expiry_s or story.expiry_s) + LATE_S
        # A machine that went dark says nothing; its caller counts under an excuse.
        and not (a.flaw and _lost_with_machine(story, a))
    ]


def no_crash(story: History) -> list[str]:
    """No program ended by itself."""
    return list(story.crashes)


def nothing_leaked(story: History) -> list[str]:
    """After a day and some calm the programs hold no more than before it."""
    return list(story.leaks)


def refused_rightly(story: History) -> list[str]:
    """Who is told to have lost a race has lost one."""
    found = []
    for put in story.puts:
        if put.status != 412 or put.match is None:
            continue
        stood = any(p.version == put.match and p.ended < put.begun for p in _accepted(story))
        moved = any(
            (p.version > put.match if p.status == 200 else p.status in (0, 504)) and p.begun < put.ended
            for p in story.puts
            if p is not put
        )
        if stood and not moved:
            found.append(f"a change to {put.match} at {put.begun:.2f} lost a race that nobody else ran")
    return found


CHECKS: typing.Final[dict[str, Check]] = {
    "run_twice": run_twice,
    "told_not_done": told_not_done,
    "refused_ran": refused_ran,
    "whole_replies": whole_replies,
    "own_replies": own_replies,
    "asked_for": asked_for,
    "right_owner": right_owner,
    "not_after_leaving": not_after_leaving,
    "not_while_paused": not_while_paused,
    "layout_in_time": layout_in_time,
    "layout_never_back": layout_never_back,
    "layout_by_traffic": layout_by_traffic,
    "layout_order_by_traffic": layout_order_by_traffic,
    "register_holds": register_holds,
    "one_body_per_version": one_body_per_version,
    "never_refused_again": never_refused_again,
    "read_back": read_back,
    "broken_refused": broken_refused,
    "refused_rightly": refused_rightly,
    "extra_bound": extra_bound,
    "not_dropped": not_dropped,
    "not_turned_away": not_turned_away,
    "broken_explained": broken_explained,
    "excuses_bounded": excuses_bounded,
    "recovered": recovered,
    "in_time": in_time,
    "no_crash": no_crash,
    "nothing_leaked": nothing_leaked,
}


def digest(story: History) -> str:
    """A digest of all that was recorded, to the last bit of every moment."""
    return hashlib.sha256(repr(story).encode()).hexdigest()


def judge(story: History) -> dict[str, list[str]]:
    """Every breach, by the point it breaks."""
    return {name: found for name, check in CHECKS.items() if (found := check(story))}
