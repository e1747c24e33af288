"""Shapes of fleets: the two that the brief names, and two by which selection is judged."""

import dataclasses
import typing

import dykeswitch.standin.nature as profiles


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service: its endpoints, its rate, its rule."""

    name: str
    endpoints: int
    rate: float
    path: str
    method: str
    work_s: float
    # What its endpoints are like, each with a pace of its own; none: plain ones.
    profile: profiles.EndpointProfile | None = None
    # Within which time an answer is worth most, and a caller's expiry; none: the fleet's own.
    aim_s: float = 0.0
    expiry_s: float = 0.0

    @property
    def load(self) -> float:
        """The part of its slots that is at work in the mean; 0 where it has no bound."""
        if self.profile is None or not self.profile.slots:
            return 0.0
        pace = sum(profiles.PACES) / 2
        return self.rate * self.work_s * pace / (self.endpoints * self.profile.slots)

    @property
    def writing(self) -> bool:
        """Whether its requests change something."""
        return self.method == "POST"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A fleet: proxies, cores, zones, services."""

    name: str
    proxies: int
    cores: int
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    # How much longer it takes between two zones, one way.
    far_s: float = 0.0
    # For how long callers' connections may rest, where its layout says so.
    idle_s: float | None = None

    def scaled_down(self, part: float) -> "Shape":
        """A part of the fleet at the same load: fewer proxies, endpoints and requests."""

        def few(many: int, least: int) -> int:
            return max(least, round(many * part))

        services = []
        for s in self.services:
            endpoints = few(s.endpoints, 2)
            services.append(
                dataclasses.replace(s, endpoints=endpoints, rate=s.rate * endpoints / s.endpoints)
            )
        proxies = few(self.proxies, 1)
        return dataclasses.replace(self, proxies=proxies, services=tuple(services))

    def slowed_down(self, by: float) -> "Shape":
        """The whole fleet at the same load with fewer requests, each of which takes longer."""
        services = tuple(
            dataclasses.replace(
                s,
                rate=s.rate / by,
                work_s=s.work_s * by,
                aim_s=s.aim_s * by,
                expiry_s=s.expiry_s * by,
            )
            for s in self.services
        )
        return dataclasses.replace(self, services=services)

    def layout(self) -> dict[str, typing.Any]:
        """The layout an operator would send for it."""
        return {
            **({"bounds": {"idle_s": self.idle_s}} if self.idle_s is not None else {}),
            "services": {s.name: {"probe": "/healthz", "expiry_s": 10} for s in self.services},
            "rules": [
                {
                    "name": f"{s.name}-rule",
                    "path": s.path,
                    "service": s.name,
                    "writing": s.writing,
                    "max_tries": 3,
                }
                for s in self.services
            ],
        }

    @property
    def rate(self) -> float:
        """Requests a second of all services."""
        return sum(s.rate for s in self.services)


# Services that rules move requests between, so that who was reached tells the layout.
SLOTS: typing.Final = tuple(ServiceShape(f"slot{n}", 1, 0, f"/slot{n}", "GET", 0.005) for n in range(5))
# Requests of all the kinds that such rules tell apart: method, host, path.
ROUTE_CHECKS: typing.Final = (
    ("GET", "", "/rove"),
    ("OPTIONS", "", "/rove"),
    ("GET", "rove.test", "/rove"),
    ("GET", "", "/rove/extra"),
)


def rotating_layout(doc: dict[str, typing.Any], turn: int) -> dict[str, typing.Any]:
    """The same layout with rules that send some requests elsewhere with each turn."""
    services = {s.name: {"probe": "/healthz", "expiry_s": 10} for s in SLOTS[:4]}
    rules: list[dict[str, typing.Any]] = [{"path": "/rove", "service": SLOTS[turn % 4].name}]
    # Rules by method and by host come and go, and so does a whole service.
    if turn % 3:
        rules.append({"path": "/rove", "methods": ["OPTIONS"], "service": SLOTS[(turn + 1) % 4].name})
    if turn % 2:
        rules.append({"path": "/rove", "host": "rove.test", "service": SLOTS[(turn + 2) % 4].name})
    if turn % 4 < 2:
        services[SLOTS[4].name] = {"probe": "/healthz", "expiry_s": 10}
        rules.append({"path": "/rove/extra", "service": SLOTS[4].name})
    return {**doc, "services": {**doc["services"], **services}, "rules": [*doc["rules"], *rules]}


ZONES: typing.Final = ("z1", "z2", "z3", "z4")

GHENT: typing.Final = Shape(
    "ghent",
    11,
    3,
    ZONES,
    (
        ServiceShape("pages", 14, 200, "/pages", "GET", 0.03),
        ServiceShape("thumbs", 11, 130, "/thumbs", "GET", 0.015),
        ServiceShape("exports", 10, 80, "/exports", "POST", 0.08),
    ),
)
LIMA: typing.Final = Shape(
    "lima",
    10,
    3,
    ZONES,
    (
        ServiceShape("prices", 12, 140, "/prices", "GET", 0.015),
        ServiceShape("plants", 10, 60, "/plants", "POST", 0.06),
        ServiceShape("reports", 9, 40, "/reports", "GET", 0.05),
    ),
)
# Small, for failures that need no large fleet to show.
BROOK: typing.Final = Shape(
    "brook",
    4,
    3,
    ZONES[:3],
    (
        ServiceShape("notes", 8, 110, "/notes", "GET", 0.02),
        ServiceShape("orders", 7, 90, "/orders", "POST", 0.05),
    ),
)
# Endpoints as they are in earnest: two slots each and a short queue, unequal in speed,
# work that spreads, slower when pressed and just after their start, telling their burden.
EARNEST: typing.Final = profiles.EndpointProfile(
    slots=2,
    queue=4,
    press=1.3,
    spread=0.35,
    tail=4.0,
    warm_by=2.5,
    warm_s=4.0,
    tells=True,
    probe_s=0.002,
    stops=True,
    drops=True,
    pipes_most=100,
    hello_s=0.001,
    idle_s=10.0,
    close_share=0.002,
)
DELTA: typing.Final = Shape(
    "delta",
    11,
    3,
    ZONES,
    (
        ServiceShape("sheets", 15, 250, "/sheets", "GET", 0.06, EARNEST, 0.2, 0.8),
        ServiceShape("prints", 9, 115, "/prints", "POST", 0.08, EARNEST, 0.26, 1.0),
        ServiceShape("covers", 11, 78, "/covers", "GET", 0.15, EARNEST, 0.45, 1.6),
    ),
    0.0006,
)
# Many proxies before many endpoints: each proxy sees little of each endpoint.
ESTUARY: typing.Final = Shape(
    "estuary",
    90,
    5,
    ("z1", "z2", "z3", "z4", "z5", "z6"),
    (
        ServiceShape("maps", 54, 620, "/maps", "GET", 0.09, EARNEST, 0.3, 1.2),
        ServiceShape("bookings", 32, 270, "/bookings", "POST", 0.12, EARNEST, 0.4, 1.6),
        ServiceShape("tides", 44, 230, "/tides", "GET", 0.2, EARNEST, 0.6, 2.4),
    ),
    0.001,
)
# By which selection is judged: unequal endpoints, somewhat over half at work.
UNEQUAL: typing.Final = {"delta": DELTA, "estuary": ESTUARY}
SHAPES: typing.Final = {"ghent": GHENT, "lima": LIMA, "brook": BROOK, **UNEQUAL}
