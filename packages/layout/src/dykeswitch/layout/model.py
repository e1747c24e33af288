"""A checked layout, as the programs use it."""

import dataclasses
import json
import random
import typing

from dykeswitch.layout.schema import LayoutDoc, ServiceDoc

# Methods that are safe according to the HTTP standard: repeating them does no harm.
SAFE_METHODS: typing.Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
DEFAULT_PROBE: typing.Final = "/healthz"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of a layout."""

    name: str
    probe: str
    # Maximum number of connections to an endpoint from all proxies together, if the operator sets one.
    pipes_most: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits for client requests, in bytes and seconds; None where the operator sets none."""

    head_most: int | None = None
    body_most: int | None = None
    head_s: float | None = None
    idle_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A routing rule of a layout."""

    name: str
    host: str
    path: str
    methods: frozenset[str]
    service: str
    writing: bool | None
    expiry_s: float | None
    request_s: float | None
    max_tries: int | None
    # Services with their weights, if requests are split over several services.
    split: tuple[tuple[str, float], ...] = ()
    # Target response time in seconds: within it a response has its full value for the client.
    aim_s: float | None = None
    # Priority when not all requests can be served: 0 goes before 1.
    rank: int = 1

    def services(self) -> tuple[str, ...]:
        """Every service that may get a request under this rule."""
        return tuple(name for name, weight in self.split if weight > 0) if self.split else (self.service,)

    def draw(self, rng: random.Random) -> str:
        """The service for one request: a random choice by weight if the rule is split."""
        if not self.split:
            return self.service
        names, weights = zip(*self.split)
        if not sum(weights):
            return ""
        return str(rng.choices(names, weights)[0])

    def writes(self, method: str) -> bool:
        """Whether requests write: as stated by the rule, otherwise derived from the method."""
        return self.writing if self.writing is not None else method not in SAFE_METHODS


class Layout:
    """A checked layout, indexed so that the cost of a match depends on the depth of the path."""

    def __init__(self, services: dict[str, Service], doc: LayoutDoc) -> None:
        self.services = services
        self.rules: list[Rule] = []
        self.doc = doc
        # The operator's number of this layout, if layouts are numbered: the highest number wins.
        self.number = doc.get("number")
        self.bounds = Bounds(**doc.get("bounds", {}))
        self._index: dict[str, dict[str, list[Rule]]] = {}

    def add(self, rule: Rule) -> None:
        """Adds a rule while the layout is being built."""
        self.rules.append(rule)
        self._index.setdefault(rule.host, {}).setdefault(rule.path, []).append(rule)

    def match(self, host: str, path: str, method: str) -> Rule | None:
        """The most specific rule: one with a host before one without, then longer path, then method."""
        for name in (host.partition(":")[0].lower(), ""):
            paths = self._index.get(name)
            if paths is None:
                continue
            for prefix in prefixes(path):
                rules = paths.get(prefix)
                if rules is None:
                    continue
                for rule in rules:
                    if method in rule.methods:
                        return rule
                for rule in rules:
                    if not rule.methods:
                        return rule
        return None


def prefixes(path: str) -> typing.Iterator[str]:
    """Yields every prefix of a path that ends at a segment, the longest first."""
    yield path
    end = len(path)
    while end > 0:
        slash = path.rfind("/", 0, end)
        if slash < 0:
            return
        # The path "/a/b" matches both "/a/" and "/a".
        if slash + 1 != len(path):
            yield path[: slash + 1]
        if slash > 0:
            yield path[:slash]
        end = slash


def serialize(layout: Layout) -> bytes:
    """The canonical encoding of a layout: two layouts are equal if their encodings are."""
    return json.dumps(layout.doc, sort_keys=True, separators=(",", ":"), ensure_ascii=True).encode()


def limits(layout: Layout, rule: Rule, service: str = "") -> ServiceDoc:
    """The limits of a rule; those of the chosen service apply where the rule has none."""
    doc = layout.doc["services"].get(service or rule.service, {})
    merged: ServiceDoc = {}
    expiry_s = rule.expiry_s if rule.expiry_s is not None else doc.get("expiry_s")
    request_s = rule.request_s if rule.request_s is not None else doc.get("request_s")
    max_tries = rule.max_tries if rule.max_tries is not None else doc.get("max_tries")
    if expiry_s is not None:
        merged["expiry_s"] = float(expiry_s)
    if request_s is not None:
        merged["request_s"] = float(request_s)
    if max_tries is not None:
        merged["max_tries"] = max_tries
    return merged
