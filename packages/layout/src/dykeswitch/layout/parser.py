"""Converts an operator's document into a checked layout, or reports every fault in it."""

import asyncio
import json
import typing

import dykeswitch.outcome as outcome
from dykeswitch.layout import checker
from dykeswitch.layout.model import DEFAULT_PROBE, Layout, Rule, Service
from dykeswitch.layout.schema import BoundsDoc, LayoutDoc, RuleDoc, ServiceDoc, ShareDoc

DUPLICATE_RULE_MODES: typing.Final = ("fault", "first")
# Number of rules that are read before other tasks get to run.
RULES_PER_STEP: typing.Final = 100

Read = outcome.Success[Layout] | outcome.Failure
# What a rule matches: host, path and method.
RequestMatch = tuple[str, str, str]


def read(data: bytes) -> Read:
    """Reads a layout from JSON, or returns every fault with its path."""
    raw = _parse(data)
    return raw if isinstance(raw, outcome.Failure) else check(raw.value)


async def read_cooperatively(data: bytes) -> Read:
    """Reads a layout from JSON and lets other tasks run, as a large one takes longer than they may wait."""
    raw = _parse(data)
    if isinstance(raw, outcome.Failure):
        return raw
    return await check_cooperatively(raw.value)


async def check_cooperatively(raw: object) -> Read:
    """Checks a layout as a whole and lets other tasks run in between."""
    steps = _check(raw)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return typing.cast(Read, stop.value)
        await asyncio.sleep(0)


def _parse(data: bytes) -> outcome.Success[object] | outcome.Failure:
    try:
        return outcome.Success(json.loads(data))
    except (ValueError, RecursionError) as error:
        return outcome.failure("bad_json", str(error)[:200])


def check(raw: object) -> Read:
    """Checks a layout as a whole."""
    steps = _check(raw)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return typing.cast(Read, stop.value)


def _check(raw: object) -> typing.Generator[None, None, Read]:
    """Checks a layout as a generator that yields after each short step."""
    checks = checker.Checker()
    if not isinstance(raw, dict):
        return outcome.failure("bad_layout", faults=("layout: must be an object",))
    checks.keys("", raw, LayoutDoc.__annotations__)
    checks.integer("number", raw.get("number"), 0, checker.MAX_NUMBER)
    if raw.get("doubles", "fault") not in DUPLICATE_RULE_MODES:
        checks.fault("doubles", f"must be one of {', '.join(DUPLICATE_RULE_MODES)}")
    _check_limits(checks, raw.get("bounds", {}))
    services = _services(checks, raw.get("services"))
    rules = yield from _rules(checks, raw.get("rules"), services, raw.get("doubles") == "first")
    if checks.faults:
        return outcome.failure("bad_layout", faults=tuple(checks.faults))
    layout = Layout(services, typing.cast(LayoutDoc, raw))
    for index, rule in enumerate(rules):
        if index % (RULES_PER_STEP * 10) == 0:
            yield
        layout.add(rule)
    return outcome.Success(layout)


def _check_limits(checks: checker.Checker, raw: object) -> None:
    if not isinstance(raw, dict):
        checks.fault("bounds", "must be an object")
        return
    checks.keys("bounds", raw, BoundsDoc.__annotations__)
    for key in ("head_most", "body_most"):
        checks.integer(f"bounds.{key}", raw.get(key), 1, checker.MAX_BYTES)
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
        checks.attempts(f"{path}.max_tries", doc.get("max_tries"))
        max_connections = checks.integer(f"{path}.pipes_most", doc.get("pipes_most"), 1, checker.MAX_NUMBER)
        services[name] = Service(
            name, checks.path(f"{path}.probe", doc.get("probe"), DEFAULT_PROBE), max_connections
        )
    return services


def _rules(
    checks: checker.Checker, raw: object, services: dict[str, Service], allow_duplicates: bool
) -> typing.Generator[None, None, list[Rule]]:
    rules: list[Rule] = []
    first_by_match: dict[RequestMatch, int] = {}
    if not isinstance(raw, list):
        checks.fault("rules", "must be a list" if raw is not None else "missing")
        return rules
    for index, doc in enumerate(raw):
        if index % RULES_PER_STEP == 0:
            yield
        path = f"rules[{index}]"
        if not isinstance(doc, dict):
            checks.fault(path, "must be an object")
            continue
        rule = _rule(checks, path, doc, index)
        _check_services(checks, path, rule, services)
        earlier = _earlier_rules(first_by_match, rule, index)
        # If two rules match the same requests, the choice between them would be arbitrary. This is a
        # fault, unless the operator states that the first rule applies.
        if not earlier:
            rules.append(rule)
        elif not allow_duplicates:
            for first in earlier:
                checks.fault(path, f"matches the same requests as rules[{first}]")
    return rules


def _check_services(checks: checker.Checker, path: str, rule: Rule, services: typing.Collection[str]) -> None:
    if rule.service and rule.service not in services:
        checks.fault(f"{path}.service", f"no such service '{rule.service}'")
    for name, _ in rule.split:
        if name not in services:
            checks.fault(f"{path}.split", f"no such service '{name}'")


def _earlier_rules(first_by_match: dict[RequestMatch, int], rule: Rule, index: int) -> list[int]:
    """The rules that already match some of the same requests, one for each shared method."""
    first_rules = [
        first_by_match.setdefault((rule.host, rule.path, method), index)
        for method in sorted(rule.methods) or [""]
    ]
    return [first for first in first_rules if first != index]


def _rule(checks: checker.Checker, path: str, doc: dict[str, object], index: int) -> Rule:
    checks.keys(path, doc, RuleDoc.__annotations__)
    host = checks.text(f"{path}.host", doc.get("host")).lower()
    if host and (not set(host) <= checker.TOKEN_CHARACTERS or len(host) > 253):
        checks.fault(f"{path}.host", "must be a host name without a port")
    split = _split(checks, f"{path}.split", doc.get("split"))
    if "service" not in doc and not split:
        checks.fault(f"{path}.service", "missing")
    if "service" in doc and split:
        checks.fault(f"{path}.split", "can't be combined with 'service'")
    methods = doc.get("methods", [])
    if not isinstance(methods, list) or not all(
        isinstance(method, str) and method in checker.METHODS for method in methods
    ):
        checks.fault(f"{path}.methods", f"must be a list of {', '.join(sorted(checker.METHODS))}")
        methods = []
    writing = doc.get("writing")
    if writing is not None and not isinstance(writing, bool):
        checks.fault(f"{path}.writing", "must be true or false")
        writing = None
    return Rule(
        name=checks.name(f"{path}.name", doc["name"]) if "name" in doc else f"rule-{index}",
        host=host,
        path=checks.path(f"{path}.path", doc.get("path"), "/"),
        methods=frozenset(methods),
        service=checks.name(f"{path}.service", doc["service"]) if "service" in doc else "",
        writing=writing,
        expiry_s=checks.duration(f"{path}.expiry_s", doc.get("expiry_s")),
        request_s=checks.duration(f"{path}.request_s", doc.get("request_s")),
        max_tries=checks.attempts(f"{path}.max_tries", doc.get("max_tries")),
        split=split,
        aim_s=checks.duration(f"{path}.aim_s", doc.get("aim_s")),
        rank=checks.integer(f"{path}.rank", doc.get("rank", 1), 0, checker.MAX_RANK) or 0,
    )


def _split(checks: checker.Checker, path: str, raw: object) -> tuple[tuple[str, float], ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list) or not raw:
        checks.fault(path, "must be a list of services with weights")
        return ()
    shares = []
    for index, doc in enumerate(raw):
        if not isinstance(doc, dict):
            checks.fault(f"{path}[{index}]", "must be an object")
            continue
        checks.keys(f"{path}[{index}]", doc, ShareDoc.__annotations__)
        weight = doc.get("weight")
        if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < 1e12:
            checks.fault(f"{path}[{index}].weight", "must be a number from 0")
            weight = 0.0
        shares.append((checks.name(f"{path}[{index}].service", doc.get("service")), float(weight)))
    return tuple(shares)
