"""The two shapes of fleet that the brief names, with their services and rates."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service: its endpoints, its rate, its rule."""

    name: str
    endpoints: int
    rate: float
    path: str
    method: str
    work_s: float

    @property
    def writing(self) -> bool:
        return self.method == "POST"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A fleet: proxies, cores, zones, services."""

    name: str
    proxies: int
    cores: int
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]

    def layout(self) -> dict[str, typing.Any]:
        """The layout an operator would send for it."""
        return {
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
        return sum(s.rate for s in self.services)


# Services that rules move requests between, so that who was reached tells the layout.
SLOTS: typing.Final = tuple(ServiceShape(f"slot{n}", 1, 0, f"/slot{n}", "GET", 0.005) for n in range(5))
# Requests of all the kinds that such rules tell apart: method, host, path.
ROVES: typing.Final = (
    ("GET", "", "/rove"),
    ("OPTIONS", "", "/rove"),
    ("GET", "rove.test", "/rove"),
    ("GET", "", "/rove/extra"),
)


def roving(doc: dict[str, typing.Any], turn: int) -> dict[str, typing.Any]:
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
    return {"services": {**doc["services"], **services}, "rules": [*doc["rules"], *rules]}


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
SHAPES: typing.Final = {"ghent": GHENT, "lima": LIMA}
