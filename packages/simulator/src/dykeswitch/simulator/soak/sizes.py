"""How large a fleet this machine bears: short of half of its memory, and of 300 processes."""

import dataclasses
import pathlib
import typing

import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

PROCESSES_MOST: typing.Final = 300
MEMORY_SHARE: typing.Final = 0.5
# What one process of ours takes at the most, measured (50 MB), in bytes, and what callers take.
PROCESS_BYTES: typing.Final = 55 * 1024 * 1024
CALLERS_BYTES: typing.Final = 256 * 1024 * 1024
KILOBYTE: typing.Final = 1024
# How a part of a shape is made smaller until it fits, and where that ends.
SHRINK: typing.Final = 0.97
LEAST_PART: typing.Final = 0.01

# Endpoints that give up work whose caller closed the connection, as most of the users' do.
SOAKED: typing.Final = profiles.EndpointProfile(drops=True, idle_s=10.0)
# Small enough for a run beside all other tests.
PUDDLE: typing.Final = shapes.Shape(
    "puddle",
    3,
    3,
    ("z1", "z2", "z3"),
    (
        shapes.ServiceShape("leaves", 3, 60, "/leaves", "GET", 0.03),
        shapes.ServiceShape("orders", 3, 40, "/orders", "POST", 0.05),
    ),
)
SHAPES: typing.Final = {PUDDLE.name: PUDDLE, **shapes.SHAPES}


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Memory of this machine, in bytes."""

    total: int
    used: int


def memory() -> Memory:
    """Memory as the system tells it."""
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    told = {line.split(":")[0]: int(line.split()[1]) * KILOBYTE for line in lines}
    return Memory(told["MemTotal"], told["MemTotal"] - told["MemAvailable"])


def processes_most(now: Memory) -> int:
    """How many processes may run beside what runs already."""
    free = now.total * MEMORY_SHARE - now.used - CALLERS_BYTES
    return max(0, min(PROCESSES_MOST - 1, int(free / PROCESS_BYTES)))


def processes(shape: shapes.Shape) -> int:
    """How many processes a fleet of a shape has, with the endpoints that rules move requests to."""
    endpoints = sum(service.endpoints for service in (*shape.services, *shapes.ROUTE_CHECK_SERVICES))
    return shape.proxies + 2 * shape.cores + endpoints


def sized(shape: shapes.Shape, nodes: int) -> shapes.Shape:
    """A shape of about so many processes, or as it is if 0; its endpoints drop work that is broken off."""
    services = tuple(dataclasses.replace(service, profile=SOAKED) for service in shape.services)
    whole = dataclasses.replace(shape, services=services)
    if not nodes:
        return whole
    fixed = 2 * whole.cores + sum(slot.endpoints for slot in shapes.ROUTE_CHECK_SERVICES)
    part = max(0.0, nodes - fixed) / (processes(whole) - fixed)
    made = whole.scaled_down(part)
    # Rounding may add a few, and the least of everything may still be more than was asked for.
    while processes(made) > nodes and part > LEAST_PART:
        part *= SHRINK
        made = whole.scaled_down(part)
    return made
