"""A checked layout, as the programs use it."""

import dataclasses
import json
import random
import typing

from dykeswitch.layout.schema import LayoutDoc, ServiceDoc

# Methods that the HTTP standard calls safe: they may be run any number of times.
READING: typing.Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
DEFAULT_PROBE: typing.Final = "/healthz"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as the programs use it."""

    name: str
    probe: str
    # How many pipes an endpoint takes from all of us together, where the operator says.
    pipes_most: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What callers may send (bytes) and how long they may take (seconds); nothing where unsaid."""

    head_most: int | None = None
    body_most: int | None = None
    head_s: float | None = None
    idle_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A rule as the programs use it."""

    name: str
    host: str
    path: str
    methods: frozenset[str]
    service: str
    writing: bool | None
    expiry_s: float | None
    request_s: float | None
    max_tries: int | None
    # Services with their weights, where requests are split over several.
    split: tuple[tuple[str, float], ...] = ()
    # The span in seconds within which a reply is worth its whole to the caller.
    aim_s: float | None = None
    # What goes first when not all can be served: 0 before 1.
    rank: int = 1

    def services(self) -> tuple[str, ...]:
        """Every service that a request under this rule may go to."""
        return tuple(name for name, weight in self.split if weight > 0) if self.split else (self.service,)

    def draw(self, rng: random.Random) -> str:
        """The service of one request: drawn by weight where the rule is split."""
        if not self.split:
            return self.service
        names, weights = zip(*self.split)
        if not sum(weights):
            return ""
        return str(rng.choices(names, weights)[0])

    def writes(self, method: str) -> bool:
        """Stated by the rule, else told by the method."""
        return self.writing if self.writing is not None else method not in READING


class Layout:
    """A checked layout, indexed so that a match costs the depth of the path."""

    def __init__(self, services: dict[str, Service], doc: LayoutDoc) -> None:
        self.services = services
        self.rules: list[Rule] = []
        self.doc = doc
        # The operator's own number, where layouts are numbered: the highest wins.
        self.number = doc.get("number")
        self.bounds = Bounds(**doc.get("bounds", {}))
        self._index: dict[str, dict[str, list[Rule]]] = {}

    def add(self, rule: Rule) -> None:
        """One rule more, while the layout is being made."""
        self.rules.append(rule)
        self._index.setdefault(rule.host, {}).setdefault(rule.path, []).append(rule)

    def match(self, host: str, path: str, method: str) -> Rule | None:
        """The most particular rule: host before none, longer path, then methods."""
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
    """Every prefix of a path that ends at a segment, the longest first."""
    yield path
    at = len(path)
    while at > 0:
        cut = path.rfind("/", 0, at)
        if cut < 0:
            return
        # "/a/b" is under both "/a/" and "/a".
        if cut + 1 != len(path):
            yield path[: cut + 1]
        if cut > 0:
            yield path[:cut]
        at = cut


def serialize(layout: Layout) -> bytes:
    """The one spelling of a layout by which two are told to be the same."""
    return json.dumps(layout.doc, sort_keys=True, separators=(",", ":"), ensure_ascii=True).encode()


def limits(layout: Layout, rule: Rule, service: str = "") -> ServiceDoc:
    """A rule's bounds, with those of the service drawn where it has none of its own."""
    doc = layout.doc["services"].get(service or rule.service, {})
    merged: ServiceDoc = {}
    expiry = rule.expiry_s if rule.expiry_s is not None else doc.get("expiry_s")
    request = rule.request_s if rule.request_s is not None else doc.get("request_s")
    tries = rule.max_tries if rule.max_tries is not None else doc.get("max_tries")
    if expiry is not None:
        merged["expiry_s"] = float(expiry)
    if request is not None:
        merged["request_s"] = float(request)
    if tries is not None:
        merged["max_tries"] = tries
    return merged
