"""From the operator's document to a checked layout, or to every fault in it."""

import asyncio
import json
import typing

import dykeswitch.outcome as outcome
from dykeswitch.layout import checker
from dykeswitch.layout.model import DEFAULT_PROBE, Layout, Rule, Service
from dykeswitch.layout.schema import BoundsDoc, LayoutDoc, RuleDoc, ServiceDoc, ShareDoc

DOUBLES: typing.Final = ("fault", "first")
# How many rules are read at a stretch before others have their turn.
RULES_PER_TURN: typing.Final = 100

Read = outcome.Success[Layout] | outcome.Failure
# What a rule matches: host, path and method.
Requests = tuple[str, str, str]


def read(data: bytes) -> Read:
    """A layout out of JSON, or every fault in it by its path."""
    raw = _parse(data)
    return raw if isinstance(raw, outcome.Failure) else check(raw.value)


async def read_cooperatively(data: bytes) -> Read:
    """The same, letting others have their turn: a large one takes longer than a caller should wait."""
    raw = _parse(data)
    if isinstance(raw, outcome.Failure):
        return raw
    return await check_cooperatively(raw.value)


async def check_cooperatively(raw: object) -> Read:
    """Check a layout as a whole, letting others have their turn."""
    steps = _check(raw)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return typing.cast(Read, end.value)
        await asyncio.sleep(0)


def _parse(data: bytes) -> outcome.Success[object] | outcome.Failure:
    try:
        return outcome.Success(json.loads(data))
    except (ValueError, RecursionError) as flaw:
        return outcome.failure("bad_json", str(flaw)[:200])


def check(raw: object) -> Read:
    """Check a layout as a whole."""
    steps = _check(raw)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return typing.cast(Read, end.value)


def _check(raw: object) -> typing.Generator[None, None, Read]:
    """The check in stretches, each short."""
    checks = checker.Checker()
    if not isinstance(raw, dict):
        return outcome.failure("bad_layout", faults=("layout: must be an object",))
    checks.keys("", raw, LayoutDoc.__annotations__)
    checks.whole("number", raw.get("number"), 0, checker.NUMBER_MOST)
    if raw.get("doubles", "fault") not in DOUBLES:
        checks.fault("doubles", f"must be one of {', '.join(DOUBLES)}")
    _bounds(checks, raw.get("bounds", {}))
    services = _services(checks, raw.get("services"))
    rules = yield from _rules(checks, raw.get("rules"), services, raw.get("doubles") == "first")
    if checks.faults:
        return outcome.failure("bad_layout", faults=tuple(checks.faults))
    layout = Layout(services, typing.cast(LayoutDoc, raw))
    for n, rule in enumerate(rules):
        if n % (RULES_PER_TURN * 10) == 0:
            yield
        layout.add(rule)
    return outcome.Success(layout)


def _bounds(checks: checker.Checker, raw: object) -> None:
    if not isinstance(raw, dict):
        checks.fault("bounds", "must be an object")
        return
    checks.keys("bounds", raw, BoundsDoc.__annotations__)
    for key in ("head_most", "body_most"):
        checks.whole(f"bounds.{key}", raw.get(key), 1, checker.BYTES_MOST)
    for key in ("head_s", "idle_s"):
        checks.duration(f"bounds.{key}", raw.get(key))


def _services(checks: checker.Checker, raw: object) -> dict[str, Service]:
    services: dict[str, Service] = {}
    if not isinstance(raw, dict):
        checks.fault("services", "must be an object" if raw is not None else "missing")
        return services
    for name, doc in raw.items():
        path = f"services.{name}"
        checks.name(path, name)
        if not isinstance(doc, dict):
            checks.fault(path, "must be an object")
            continue
        checks.keys(path, doc, ServiceDoc.__annotations__)
        checks.duration(f"{path}.expiry_s", doc.get("expiry_s"))
        checks.duration(f"{path}.request_s", doc.get("request_s"))
        checks.tries(f"{path}.max_tries", doc.get("max_tries"))
        most = checks.whole(f"{path}.pipes_most", doc.get("pipes_most"), 1, checker.NUMBER_MOST)
        services[name] = Service(name, checks.path(f"{path}.probe", doc.get("probe"), DEFAULT_PROBE), most)
    return services


def _rules(
    checks: checker.Checker, raw: object, services: dict[str, Service], doubles: bool
) -> typing.Generator[None, None, list[Rule]]:
    rules: list[Rule] = []
    taken: dict[Requests, int] = {}
    if not isinstance(raw, list):
        checks.fault("rules", "must be a list" if raw is not None else "missing")
        return rules
    for n, doc in enumerate(raw):
        if n % RULES_PER_TURN == 0:
            yield
        path = f"rules[{n}]"
        if not isinstance(doc, dict):
            checks.fault(path, "must be an object")
            continue
        rule = _rule(checks, path, doc, n)
        _check_services(checks, path, rule, services)
        earlier = _earlier_rules(taken, rule, n)
        # Two rules for the same requests would leave the choice to chance: a fault, unless
        # the operator says that the first one has them.
        if not earlier:
            rules.append(rule)
        elif not doubles:
            for first in earlier:
                checks.fault(path, f"matches the same requests as rules[{first}]")
    return rules


def _check_services(checks: checker.Checker, path: str, rule: Rule, services: typing.Collection[str]) -> None:
    if rule.service and rule.service not in services:
        checks.fault(f"{path}.service", f"no such service '{rule.service}'")
    for name, _ in rule.split:
        if name not in services:
            checks.fault(f"{path}.split", f"no such service '{name}'")


def _earlier_rules(taken: dict[Requests, int], rule: Rule, n: int) -> list[int]:
    """The rules that have some of the same requests already, one for each method they share."""
    firsts = [taken.setdefault((rule.host, rule.path, m), n) for m in sorted(rule.methods) or [""]]
    return [first for first in firsts if first != n]


def _rule(checks: checker.Checker, path: str, doc: dict[str, object], n: int) -> Rule:
    checks.keys(path, doc, RuleDoc.__annotations__)
    host = checks.text(f"{path}.host", doc.get("host")).lower()
    if host and (not set(host) <= checker.TOKEN or len(host) > 253):
        checks.fault(f"{path}.host", "must be a host's name without a port")
    split = _split(checks, f"{path}.split", doc.get("split"))
    if "service" not in doc and not split:
        checks.fault(f"{path}.service", "missing")
    if "service" in doc and split:
        checks.fault(f"{path}.split", "stands beside a service; one of the two decides")
    methods = doc.get("methods", [])
    if not isinstance(methods, list) or not all(isinstance(m, str) and m in checker.METHODS for m in methods):
        checks.fault(f"{path}.methods", f"must be a list out of {', '.join(sorted(checker.METHODS))}")
        methods = []
    writing = doc.get("writing")
    if writing is not None and not isinstance(writing, bool):
        checks.fault(f"{path}.writing", "must be true or false")
        writing = None
    return Rule(
        name=checks.name(f"{path}.name", doc["name"]) if "name" in doc else f"rule-{n}",
        host=host,
        path=checks.path(f"{path}.path", doc.get("path"), "/"),
        methods=frozenset(methods),
        service=checks.name(f"{path}.service", doc["service"]) if "service" in doc else "",
        writing=writing,
        expiry_s=checks.duration(f"{path}.expiry_s", doc.get("expiry_s")),
        request_s=checks.duration(f"{path}.request_s", doc.get("request_s")),
        max_tries=checks.tries(f"{path}.max_tries", doc.get("max_tries")),
        split=split,
        aim_s=checks.duration(f"{path}.aim_s", doc.get("aim_s")),
        rank=checks.whole(f"{path}.rank", doc.get("rank", 1), 0, checker.RANK_MOST) or 0,
    )


def _split(checks: checker.Checker, path: str, raw: object) -> tuple[tuple[str, float], ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list) or not raw:
        checks.fault(path, "must be a list of services with weights")
        return ()
    found = []
    for n, doc in enumerate(raw):
        if not isinstance(doc, dict):
            checks.fault(f"{path}[{n}]", "must be an object")
            continue
        checks.keys(f"{path}[{n}]", doc, ShareDoc.__annotations__)
        weight = doc.get("weight")
        if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < 1e12:
            checks.fault(f"{path}[{n}].weight", "must be a number from 0")
            weight = 0.0
        found.append((checks.name(f"{path}[{n}].service", doc.get("service")), float(weight)))
    return tuple(found)
