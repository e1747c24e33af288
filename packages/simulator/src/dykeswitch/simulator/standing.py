"""Checks which layouts were in force when, by the services that requests reached.

The rule matcher here is independent of the one of the proxies and simply tries every rule, so
that a fault of one is not hidden by the same fault in the other.
"""

import bisect
import dataclasses
import json
import math
import typing

import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

LayoutDocument = dict[str, typing.Any]
# On how many endpoints a request may run if its rule has no `max_tries`.
DEFAULT_MAX_TRIES: typing.Final = 3


@dataclasses.dataclass(slots=True)
class Standing:
    """A layout, the time from which it may be in force, and the time when a newer one surely is."""

    version: int | None
    started_at: float
    superseded_at: float
    layout: LayoutDocument
    rule_cache: dict[tuple[str, str, str], LayoutDocument | None] = dataclasses.field(default_factory=dict)

    def rule(self, request: clients.Request) -> LayoutDocument | None:
        """Return the rule of this layout for a request, if there is one."""
        key = (request.method, request.host, request.path)
        if key not in self.rule_cache:
            self.rule_cache[key] = match_rule(self.layout, *key)
        return self.rule_cache[key]

    def service(self, request: clients.Request) -> str:
        """Return the service to which this layout sends a request; empty if no rule matches."""
        rule = self.rule(request)
        return str(rule["service"]) if rule is not None else ""

    def allows_another(self, request: clients.Request, execution_count: int) -> bool:
        """Whether this layout allows another attempt after a request has run `execution_count` times."""
        rule = self.rule(request)
        if rule is None or rule.get("writing"):
            return False
        return execution_count < int(rule.get("max_tries", DEFAULT_MAX_TRIES))

    def may_be_in_force(self, started_at: float, ended_at: float, slack: float) -> bool:
        return self.started_at <= ended_at and started_at <= self.superseded_at + slack


def match_rule(layout: LayoutDocument, method: str, host: str, path: str) -> LayoutDocument | None:
    """Return the most specific rule that matches, if there is one."""
    best: tuple[tuple[bool, int, bool], LayoutDocument] | None = None
    for rule in layout["rules"]:
        prefix = str(rule.get("path", "/"))
        path_matches = path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")
        host_matches = not rule.get("host") or rule["host"] == host
        method_matches = not rule.get("methods") or method in rule["methods"]
        if path_matches and host_matches and method_matches:
            rank = (bool(rule.get("host")), len(prefix), bool(rule.get("methods")))
            if best is None or rank > best[0]:
                best = (rank, rule)
    return best[1] if best else None


def all_standings(puts: typing.Sequence[observations.LayoutPut]) -> list[Standing]:
    """Return every layout that may have been in force at some time."""
    accepted = sorted((p for p in puts if p.status == 200), key=lambda p: p.version)
    found: list[Standing] = []
    for put in accepted:
        # A repeated order has the same version, so it does not supersede the layout.
        superseded_at = min((p.ended_at for p in accepted if p.version > put.version), default=math.inf)
        found.append(Standing(put.version, put.started_at, superseded_at, json.loads(put.body)))
    for put in puts:
        # Without an answer, or if the outcome is unknown, it may have been in force until a change that
        # was sent later was accepted.
        if put.status in (0, 504):
            replaced_at = min((p.ended_at for p in accepted if p.started_at > put.ended_at), default=math.inf)
            try:
                found.append(Standing(None, put.started_at, replaced_at, json.loads(put.body)))
            except ValueError:
                continue
    return found


def wrong_service(
    standings: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    arrivals: typing.Sequence[tuple[float, str, str]],
    owners: dict[str, str],
    slack: float,
) -> list[str]:
    """Report requests that reached a service to which no layout in force at that time sent them."""
    found = []
    for at, name, endpoint in arrivals:
        request = route_checks.get(name)
        if request is None:
            continue
        service = owners.get(endpoint, "")
        if service not in {s.service(request) for s in standings if s.may_be_in_force(at, at, slack)}:
            ever = [s.version for s in standings if s.started_at <= at and s.service(request) == service]
            since = f"as only the earlier layouts {ever} allow" if ever else "which no layout allows"
            found.append(
                f"{name} ({request.method} {request.host}{request.path}) "
                f"reached {service} at {at:.2f}, {since}"
            )
    return found


def wrong_refusal(
    standings: typing.Sequence[Standing], route_checks: dict[str, clients.Request], slack: float
) -> list[str]:
    """Report requests that were refused for want of a rule while every layout in force had one."""
    return [
        f"{request.name} ({request.method} {request.host}{request.path}) "
        f"was answered {request.result} at {request.ended_at:.2f}"
        for request in route_checks.values()
        if request.result == 101
        and all(
            s.service(request)
            for s in standings
            if s.may_be_in_force(request.started_at, request.ended_at, slack)
        )
    ]


def run_again(
    standings: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    execution_starts: typing.Mapping[str, typing.Sequence[clients.Execution]],
    slack: float,
) -> list[str]:
    """Report requests that ran again although no layout in force at that time allowed it."""
    found = []
    for name, request in route_checks.items():
        for execution_count, execution in enumerate(
            sorted(execution_starts.get(name, ()), key=lambda execution: execution.at)
        ):
            if execution_count and not any(
                s.allows_another(request, execution_count)
                for s in standings
                if s.may_be_in_force(execution.at, execution.at, slack)
            ):
                found.append(
                    f"{name} ({request.method} {request.host}{request.path}) ran again at {execution.at:.2f}"
                )
    return found


def order_violations(
    standings: typing.Sequence[Standing],
    route_checks: dict[str, clients.Request],
    arrivals: typing.Sequence[tuple[float, str, str]],
    owners: dict[str, str],
    slack: float,
    order_s: float,
) -> list[str]:
    """Report requests routed by an older layout than the same proxy had used before."""
    found = []
    # For each proxy, the times at which it is proven to use a version or a later one.
    proven: dict[str, list[tuple[float, int]]] = {}
    for at, name, endpoint in sorted(arrivals):
        request = route_checks.get(name)
        if request is None:
            continue
        service = owners.get(endpoint, "")
        candidates = [
            s for s in standings if s.may_be_in_force(at, at, slack) and s.service(request) == service
        ]
        # A layout with an unknown outcome has no known version and proves nothing.
        if not candidates or any(s.version is None for s in candidates):
            continue
        proven_versions = proven.setdefault(request.address, [])
        # Two requests that are on their way at the same time may arrive in either order.
        position = bisect.bisect_left(proven_versions, (at - order_s, 0))
        proven_version = proven_versions[position - 1][1] if position else 0
        versions = sorted(s.version for s in candidates if s.version is not None)
        if versions[-1] < proven_version:
            text = f"{request.address} used version {versions[-1]} at {at:.3f} after version {proven_version}"
            found.append(f"{name}: {text}")
        highest_proven = proven_versions[-1][1] if proven_versions else 0
        lowest_new = next((v for v in versions if v >= highest_proven), highest_proven)
        proven_versions.append((at, max(highest_proven, lowest_new)))
    return found
