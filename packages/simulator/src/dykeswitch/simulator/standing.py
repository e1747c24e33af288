"""Which layouts stood when, judged by the services that requests reached.

The matcher here is written apart from the proxies' own, by trying every rule, so that
neither can hide the other's fault.
"""

import bisect
import dataclasses
import json
import math
import typing

import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

Doc = dict[str, typing.Any]
# How many endpoints a request may run on where its rule says nothing.
TRIES: typing.Final = 3


@dataclasses.dataclass(slots=True)
class Standing:
    """A layout, from when on it may be seen and from when on a newer one is surely there."""

    version: int | None
    started_at: float
    over: float
    doc: Doc
    known: dict[tuple[str, str, str], Doc | None] = dataclasses.field(default_factory=dict)

    def rule(self, request: clients.Request) -> Doc | None:
        """The rule of this layout for a request, if there is one."""
        key = (request.method, request.host, request.path)
        if key not in self.known:
            self.known[key] = wanted(self.doc, *key)
        return self.known[key]

    def service(self, request: clients.Request) -> str:
        """The service that this layout sends a request to; empty if to none."""
        rule = self.rule(request)
        return str(rule["service"]) if rule is not None else ""

    def allows_another(self, request: clients.Request, execution_count: int) -> bool:
        """Whether this layout lets a request that has run so many times run once more."""
        rule = self.rule(request)
        if rule is None or rule.get("writing"):
            return False
        return execution_count < int(rule.get("max_tries", TRIES))

    def may_show(self, begun: float, ended: float, slack: float) -> bool:
        return self.started_at <= ended and begun <= self.over + slack


def wanted(doc: Doc, method: str, host: str, path: str) -> Doc | None:
    """The most particular rule that fits, if any does."""
    best: tuple[tuple[bool, int, bool], Doc] | None = None
    for rule in doc["rules"]:
        stem = str(rule.get("path", "/"))
        under = path == stem or path.startswith(stem if stem.endswith("/") else stem + "/")
        named = not rule.get("host") or rule["host"] == host
        meant = not rule.get("methods") or method in rule["methods"]
        if under and named and meant:
            rank = (bool(rule.get("host")), len(stem), bool(rule.get("methods")))
            if best is None or rank > best[0]:
                best = (rank, rule)
    return best[1] if best else None


def all_of(puts: typing.Sequence[observations.LayoutPut]) -> list[Standing]:
    """Every layout that may ever have stood."""
    good = sorted((p for p in puts if p.status == 200), key=lambda p: p.version)
    found: list[Standing] = []
    for put in good:
        # A repeat of a layout has its version, and does not end its life.
        over = min((p.ended_at for p in good if p.version > put.version), default=math.inf)
        found.append(Standing(put.version, put.started_at, over, json.loads(put.body)))
    for put in puts:
        # No answer, or "unknown": it may have been taken up until a later change was.
        if put.status in (0, 504):
            later = min((p.ended_at for p in good if p.started_at > put.ended_at), default=math.inf)
            try:
                found.append(Standing(None, put.started_at, later, json.loads(put.body)))
            except ValueError:
                continue
    return found


def wrong_service(
    stood: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    arrivals: typing.Sequence[tuple[float, str, str]],
    owners: dict[str, str],
    slack: float,
) -> list[str]:
    """Requests that reached a service to which no layout standing at that moment sent them."""
    found = []
    for at, name, endpoint in arrivals:
        request = route_checks.get(name)
        if request is None:
            continue
        service = owners.get(endpoint, "")
        if service not in {s.service(request) for s in stood if s.may_show(at, at, slack)}:
            ever = [s.version for s in stood if s.started_at <= at and s.service(request) == service]
            since = f"as did only layouts {ever} before" if ever else "as no layout ever did"
            found.append(
                f"{name} ({request.method} {request.host}{request.path}) "
                f"reached {service} at {at:.2f}, {since}"
            )
    return found


def wrong_refusal(
    stood: typing.Sequence[Standing], route_checks: dict[str, clients.Request], slack: float
) -> list[str]:
    """Requests told that there is no rule for them while every layout had one."""
    return [
        f"{a.name} ({a.method} {a.host}{a.path}) was told {a.result} at {a.ended_at:.2f}"
        for a in route_checks.values()
        if a.result == 101 and all(s.service(a) for s in stood if s.may_show(a.started_at, a.ended_at, slack))
    ]


def run_again(
    stood: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    execution_starts: typing.Mapping[str, typing.Sequence[clients.Execution]],
    slack: float,
) -> list[str]:
    """Requests that ran once more though no layout standing at that moment let them."""
    found = []
    for name, request in route_checks.items():
        for execution_count, execution in enumerate(
            sorted(execution_starts.get(name, ()), key=lambda execution: execution.at)
        ):
            if execution_count and not any(
                s.allows_another(request, execution_count)
                for s in stood
                if s.may_show(execution.at, execution.at, slack)
            ):
                found.append(
                    f"{name} ({request.method} {request.host}{request.path}) ran again at {execution.at:.2f}"
                )
    return found


def slips(
    stood: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    arrivals: typing.Sequence[tuple[float, str, str]],
    owners: dict[str, str],
    slack: float,
    order_s: float,
) -> list[str]:
    """Requests that went by an older layout than the same proxy had gone by before."""
    found = []
    # For each proxy, the moments at which it is proven to go by a version or a later one.
    proven: dict[str, list[tuple[float, int]]] = {}
    for at, name, endpoint in sorted(arrivals):
        request = route_checks.get(name)
        if request is None:
            continue
        service = owners.get(endpoint, "")
        fits = [s for s in stood if s.may_show(at, at, slack) and s.service(request) == service]
        # A layout of unknown outcome proves nothing of versions.
        if not fits or any(s.version is None for s in fits):
            continue
        steps = proven.setdefault(request.address, [])
        # Two requests on their way at once may arrive in either order.
        n = bisect.bisect_left(steps, (at - order_s, 0))
        floor = steps[n - 1][1] if n else 0
        versions = sorted(s.version for s in fits if s.version is not None)
        if versions[-1] < floor:
            text = f"{request.address} went by {versions[-1]} at {at:.3f} after it had gone by {floor}"
            found.append(f"{name}: {text}")
        top = steps[-1][1] if steps else 0
        least = next((v for v in versions if v >= top), top)
        steps.append((at, max(top, least)))
    return found
