"""Layouts: what operators send, checked as a whole and compiled into rules."""

import asyncio
import dataclasses
import json
import random
import typing

import dykeswitch.outcome as outcome


class ServiceDoc(typing.TypedDict, total=False):
    """One service as the operator writes it."""

    probe: str
    expiry_s: float
    request_s: float
    max_tries: int
    pipes_most: int


class ShareDoc(typing.TypedDict):
    """One service's part of a rule that is split over several."""

    service: str
    weight: float


class RuleDoc(typing.TypedDict, total=False):
    """One rule as the operator writes it."""

    name: str
    host: str
    path: str
    methods: list[str]
    service: str
    split: list[ShareDoc]
    writing: bool
    expiry_s: float
    request_s: float
    max_tries: int
    aim_s: float
    rank: int


class BoundsDoc(typing.TypedDict, total=False):
    """What callers may send, and how long they may take or stay idle: bytes and seconds."""

    head_most: int
    body_most: int
    head_s: float
    idle_s: float


class LayoutDoc(typing.TypedDict, total=False):
    """A whole layout as the operator writes it; `services` and `rules` must be there."""

    services: dict[str, ServiceDoc]
    rules: list[RuleDoc]
    number: int
    bounds: BoundsDoc
    doubles: str


# Methods that the HTTP standard calls safe: they may be run any number of times.
READING: typing.Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
METHODS: typing.Final = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"})
TOKEN: typing.Final = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
FAULTS_MOST: typing.Final = 200
TRIES_MOST: typing.Final = 100
RANK_MOST: typing.Final = 1000
NUMBER_MOST: typing.Final = 2**53
BYTES_MOST: typing.Final = 2**40
DOUBLES: typing.Final = ("fault", "first")
DEFAULT_PROBE: typing.Final = "/healthz"
# How many rules are read at a stretch before others have their turn.
STRETCH: typing.Final = 100


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


class _Checker:
    """Collects every fault with the path of where it stands."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def fault(self, path: str, text: str) -> None:
        if len(self.faults) < FAULTS_MOST:
            self.faults.append(f"{path}: {text}")

    def keys(self, path: str, raw: dict[str, object], known: typing.Collection[str]) -> None:
        for key in raw:
            if key not in known:
                self.fault(f"{path}.{key}" if path else key, "unknown key")

    def text(self, path: str, raw: object, default: str = "") -> str:
        if raw is None:
            return default
        if not isinstance(raw, str):
            self.fault(path, "must be text")
            return default
        return raw

    def name(self, path: str, raw: object) -> str:
        text = self.text(path, raw)
        # A name that is there and says nothing names nothing.
        if (raw is None or isinstance(raw, str)) and (not text or len(text) > 128 or not set(text) <= TOKEN):
            self.fault(path, "must be 1 to 128 letters, digits, '-', '_' or '.'")
        return text

    def span(self, path: str, raw: object) -> float | None:
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, (int, float)) or not 0 < raw <= 3600:
            self.fault(path, "must be a number of seconds over 0 and up to 3600")
            return None
        return float(raw)

    def tries(self, path: str, raw: object) -> int | None:
        return self.whole(path, raw, 1, TRIES_MOST)

    def whole(self, path: str, raw: object, least: int, most: int) -> int | None:
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, int) or not least <= raw <= most:
            self.fault(path, f"must be a whole number from {least} to {most}")
            return None
        return raw

    def path(self, path: str, raw: object, default: str) -> str:
        text = self.text(path, raw, default)
        if not text.startswith("/") or any(c in text for c in "?#") or not text.isascii() or " " in text:
            self.fault(path, "must start with '/' and hold no '?', '#', blank or non-ASCII letter")
        return text


Read = outcome.Good[Layout] | outcome.Bad


def read(data: bytes) -> Read:
    """A layout out of JSON, or every fault in it by its path."""
    raw = _parse(data)
    return raw if isinstance(raw, outcome.Bad) else check(raw.value)


async def read_gently(data: bytes) -> Read:
    """The same, letting others have their turn: a large one takes longer than a caller should wait."""
    raw = _parse(data)
    if isinstance(raw, outcome.Bad):
        return raw
    return await check_gently(raw.value)


async def check_gently(raw: object) -> Read:
    """Check a layout as a whole, letting others have their turn."""
    steps = _check(raw)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return typing.cast(Read, end.value)
        await asyncio.sleep(0)


def _parse(data: bytes) -> outcome.Good[object] | outcome.Bad:
    try:
        return outcome.Good(json.loads(data))
    except (ValueError, RecursionError) as flaw:
        return outcome.bad("bad_json", str(flaw)[:200])


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
    see = _Checker()
    if not isinstance(raw, dict):
        return outcome.bad("bad_layout", faults=("layout: must be an object",))
    see.keys("", raw, LayoutDoc.__annotations__)
    see.whole("number", raw.get("number"), 0, NUMBER_MOST)
    if raw.get("doubles", "fault") not in DOUBLES:
        see.fault("doubles", f"must be one of {', '.join(DOUBLES)}")
    _bounds(see, raw.get("bounds", {}))
    services = _services(see, raw.get("services"))
    rules = yield from _rules(see, raw.get("rules"), services, raw.get("doubles") == "first")
    if see.faults:
        return outcome.bad("bad_layout", faults=tuple(see.faults))
    layout = Layout(services, typing.cast(LayoutDoc, raw))
    for n, rule in enumerate(rules):
        if n % (STRETCH * 10) == 0:
            yield
        layout.add(rule)
    return outcome.Good(layout)


def _bounds(see: _Checker, raw: object) -> None:
    if not isinstance(raw, dict):
        see.fault("bounds", "must be an object")
        return
    see.keys("bounds", raw, BoundsDoc.__annotations__)
    for key in ("head_most", "body_most"):
        see.whole(f"bounds.{key}", raw.get(key), 1, BYTES_MOST)
    for key in ("head_s", "idle_s"):
        see.span(f"bounds.{key}", raw.get(key))


def _services(see: _Checker, raw: object) -> dict[str, Service]:
    services: dict[str, Service] = {}
    if not isinstance(raw, dict):
        see.fault("services", "must be an object" if raw is not None else "missing")
        return services
    for name, doc in raw.items():
        path = f"services.{name}"
        see.name(path, name)
        if not isinstance(doc, dict):
            see.fault(path, "must be an object")
            continue
        see.keys(path, doc, ServiceDoc.__annotations__)
        see.span(f"{path}.expiry_s", doc.get("expiry_s"))
        see.span(f"{path}.request_s", doc.get("request_s"))
        see.tries(f"{path}.max_tries", doc.get("max_tries"))
        most = see.whole(f"{path}.pipes_most", doc.get("pipes_most"), 1, NUMBER_MOST)
        services[name] = Service(name, see.path(f"{path}.probe", doc.get("probe"), DEFAULT_PROBE), most)
    return services


def _rules(
    see: _Checker, raw: object, services: dict[str, Service], doubles: bool
) -> typing.Generator[None, None, list[Rule]]:
    rules: list[Rule] = []
    taken: dict[tuple[str, str, str], int] = {}
    if not isinstance(raw, list):
        see.fault("rules", "must be a list" if raw is not None else "missing")
        return rules
    for n, doc in enumerate(raw):
        if n % STRETCH == 0:
            yield
        path = f"rules[{n}]"
        if not isinstance(doc, dict):
            see.fault(path, "must be an object")
            continue
        rule = _rule(see, path, doc, n)
        if rule.service and rule.service not in services:
            see.fault(f"{path}.service", f"no such service '{rule.service}'")
        for name, _ in rule.split:
            if name not in services:
                see.fault(f"{path}.split", f"no such service '{name}'")
        # Two rules for the same requests would leave the choice to chance: a fault, unless
        # the operator says that the first one has them.
        twice = False
        for method in sorted(rule.methods) or [""]:
            first = taken.setdefault((rule.host, rule.path, method), n)
            twice = twice or first != n
            if first != n and not doubles:
                see.fault(path, f"matches the same requests as rules[{first}]")
        if not twice:
            rules.append(rule)
    return rules


def _rule(see: _Checker, path: str, doc: dict[str, object], n: int) -> Rule:
    see.keys(path, doc, RuleDoc.__annotations__)
    host = see.text(f"{path}.host", doc.get("host")).lower()
    if host and (not set(host) <= TOKEN or len(host) > 253):
        see.fault(f"{path}.host", "must be a host's name without a port")
    split = _split(see, f"{path}.split", doc.get("split"))
    if "service" not in doc and not split:
        see.fault(f"{path}.service", "missing")
    if "service" in doc and split:
        see.fault(f"{path}.split", "stands beside a service; one of the two decides")
    methods = doc.get("methods", [])
    if not isinstance(methods, list) or not all(isinstance(m, str) and m in METHODS for m in methods):
        see.fault(f"{path}.methods", f"must be a list out of {', '.join(sorted(METHODS))}")
        methods = []
    writing = doc.get("writing")
    if writing is not None and not isinstance(writing, bool):
        see.fault(f"{path}.writing", "must be true or false")
        writing = None
    return Rule(
        name=see.name(f"{path}.name", doc["name"]) if "name" in doc else f"rule-{n}",
        host=host,
        path=see.path(f"{path}.path", doc.get("path"), "/"),
        methods=frozenset(methods),
        service=see.name(f"{path}.service", doc["service"]) if "service" in doc else "",
        writing=writing,
        expiry_s=see.span(f"{path}.expiry_s", doc.get("expiry_s")),
        request_s=see.span(f"{path}.request_s", doc.get("request_s")),
        max_tries=see.tries(f"{path}.max_tries", doc.get("max_tries")),
        split=split,
        aim_s=see.span(f"{path}.aim_s", doc.get("aim_s")),
        rank=see.whole(f"{path}.rank", doc.get("rank", 1), 0, RANK_MOST) or 0,
    )


def _split(see: _Checker, path: str, raw: object) -> tuple[tuple[str, float], ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list) or not raw:
        see.fault(path, "must be a list of services with weights")
        return ()
    found = []
    for n, doc in enumerate(raw):
        if not isinstance(doc, dict):
            see.fault(f"{path}[{n}]", "must be an object")
            continue
        see.keys(f"{path}[{n}]", doc, ShareDoc.__annotations__)
        weight = doc.get("weight")
        if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < 1e12:
            see.fault(f"{path}[{n}].weight", "must be a number from 0")
            weight = 0.0
        found.append((see.name(f"{path}[{n}].service", doc.get("service")), float(weight)))
    return tuple(found)


def pack(layout: Layout) -> bytes:
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
