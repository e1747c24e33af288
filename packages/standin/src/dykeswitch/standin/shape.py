"""Shapes of fleets: those of the requirements, a small one, and two to judge endpoint selection by."""

import dataclasses
import typing

import dykeswitch.standin.nature as profiles


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service: its endpoints, its rate, its rule.

    Attributes:
        name: The name of the service.
        endpoints: How many endpoints it has.
        rate: Requests per second.
        path: The path prefix of its rule.
        method: The method of its requests.
        work_s: How long an endpoint works on one request on average, at pace 1.
        profile: What its endpoints are like, each with a pace of its own; None for plain ones.
        aim_s: Within which time a response is worth most; 0 for none.
        expiry_s: The time limit of its clients; 0 for the fleet's own.
    """

    name: str
    endpoints: int
    rate: float
    path: str
    method: str
    work_s: float
    profile: profiles.EndpointProfile | None = None
    aim_s: float = 0.0
    expiry_s: float = 0.0

    @property
    def load(self) -> float:
        """The share of its slots in use on average; 0 if they are not limited."""
        if self.profile is None or not self.profile.slots:
            return 0.0
        mean_pace = sum(profiles.PACE_RANGE) / 2
        return self.rate * self.work_s * mean_pace / (self.endpoints * self.profile.slots)

    @property
    def writing(self) -> bool:
        """Whether its requests change something."""
        return self.method == "POST"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A fleet: proxies, cores, zones, services.

    Attributes:
        name: The name of the shape.
        proxies: How many proxies it has.
        cores: How many cores it has, each a registry with its store.
        zones: The zones over which all are spread.
        services: Its services.
        far_s: How much longer a message takes between two zones, one way.
        idle_s: How long connections of clients may be idle, for its layout to say; None to leave it out.
    """

    name: str
    proxies: int
    cores: int
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    far_s: float = 0.0
    idle_s: float | None = None

    def scaled_down(self, factor: float) -> "Shape":
        """Return a smaller fleet at the same load: fewer proxies, endpoints and requests."""

        def scaled(count: int, minimum: int) -> int:
            return max(minimum, round(count * factor))

        services = []
        for s in self.services:
            endpoints = scaled(s.endpoints, 2)
            services.append(
                dataclasses.replace(s, endpoints=endpoints, rate=s.rate * endpoints / s.endpoints)
            )
        proxies = scaled(self.proxies, 1)
        return dataclasses.replace(self, proxies=proxies, services=tuple(services))

    def slowed_down(self, factor: float) -> "Shape":
        """Return the whole fleet at the same load with fewer requests, each of which takes longer."""
        services = tuple(
            dataclasses.replace(
                s,
                rate=s.rate / factor,
                work_s=s.work_s * factor,
                aim_s=s.aim_s * factor,
                expiry_s=s.expiry_s * factor,
            )
            for s in self.services
        )
        return dataclasses.replace(self, services=services)

    def layout(self) -> dict[str, typing.Any]:
        """Return the layout that an operator would send for it."""
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
        """Requests per second of all services."""
        return sum(s.rate for s in self.services)


# Services between which rules move requests: the one that was reached shows which layout was in force.
ROUTE_CHECK_SERVICES: typing.Final = tuple(
    ServiceShape(f"slot{n}", 1, 0, f"/slot{n}", "GET", 0.005) for n in range(5)
)
# Requests of every kind that such rules distinguish: method, host, path.
ROUTE_CHECKS: typing.Final = (
    ("GET", "", "/rove"),
    ("OPTIONS", "", "/rove"),
    ("GET", "rove.test", "/rove"),
    ("GET", "", "/rove/extra"),
)


def rotating_layout(doc: dict[str, typing.Any], turn: int) -> dict[str, typing.Any]:
    """Return the layout with rules added that route some requests to another service with each turn."""
    services = {s.name: {"probe": "/healthz", "expiry_s": 10} for s in ROUTE_CHECK_SERVICES[:4]}
    rules: list[dict[str, typing.Any]] = [{"path": "/rove", "service": ROUTE_CHECK_SERVICES[turn % 4].name}]
    # Rules by method and by host are there at some turns only, and so is a whole service.
    if turn % 3:
        rules.append(
            {"path": "/rove", "methods": ["OPTIONS"], "service": ROUTE_CHECK_SERVICES[(turn + 1) % 4].name}
        )
    if turn % 2:
        rules.append(
            {"path": "/rove", "host": "rove.test", "service": ROUTE_CHECK_SERVICES[(turn + 2) % 4].name}
        )
    if turn % 4 < 2:
        services[ROUTE_CHECK_SERVICES[4].name] = {"probe": "/healthz", "expiry_s": 10}
        rules.append({"path": "/rove/extra", "service": ROUTE_CHECK_SERVICES[4].name})
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
# Small, for failures that show without a large fleet.
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
# Realistic endpoints: two slots each and a short queue, unequal in speed, work of varying length,
# slower under load and just after their start; they report their load.
REALISTIC: typing.Final = profiles.EndpointProfile(
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
        ServiceShape("sheets", 15, 250, "/sheets", "GET", 0.06, REALISTIC, 0.2, 0.8),
        ServiceShape("prints", 9, 115, "/prints", "POST", 0.08, REALISTIC, 0.26, 1.0),
        ServiceShape("covers", 11, 78, "/covers", "GET", 0.15, REALISTIC, 0.45, 1.6),
    ),
    0.0006,
)
# Many proxies and many endpoints: each proxy sends few requests to each endpoint.
ESTUARY: typing.Final = Shape(
    "estuary",
    90,
    5,
    ("z1", "z2", "z3", "z4", "z5", "z6"),
    (
        ServiceShape("maps", 54, 620, "/maps", "GET", 0.09, REALISTIC, 0.3, 1.2),
        ServiceShape("bookings", 32, 270, "/bookings", "POST", 0.12, REALISTIC, 0.4, 1.6),
        ServiceShape("tides", 44, 230, "/tides", "GET", 0.2, REALISTIC, 0.6, 2.4),
    ),
    0.001,
)
# To judge endpoint selection by: unequal endpoints, with somewhat over half of the slots in use.
UNEQUAL: typing.Final = {"delta": DELTA, "estuary": ESTUARY}
SHAPES: typing.Final = {"ghent": GHENT, "lima": LIMA, "brook": BROOK, **UNEQUAL}
