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
