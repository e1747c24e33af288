"""Chooses the size of a fleet for this machine: under half of its memory and under 300 processes."""

import dataclasses
import pathlib
import typing

import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

MAX_PROCESSES: typing.Final = 300
MEMORY_SHARE: typing.Final = 0.5
# Memory of one process (it uses up to 50 MB), and of the clients.
PROCESS_BYTES: typing.Final = 55 * 1024 * 1024
CLIENTS_BYTES: typing.Final = 256 * 1024 * 1024
KILOBYTE: typing.Final = 1024
# The factor by which a shape is scaled down until it fits, and the smallest scale that is tried.
SHRINK: typing.Final = 0.97
MIN_PART: typing.Final = 0.01

# Endpoints that cancel work when its client closes the connection, as most of the users' endpoints do.
SOAKED: typing.Final = profiles.EndpointProfile(drops=True, idle_s=10.0)
# Small enough to run alongside all other tests.
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
    """Read the memory usage from the operating system."""
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    values = {line.split(":")[0]: int(line.split()[1]) * KILOBYTE for line in lines}
    return Memory(values["MemTotal"], values["MemTotal"] - values["MemAvailable"])


def max_processes(now: Memory) -> int:
    """Return how many processes may run in addition to what runs already."""
    free = now.total * MEMORY_SHARE - now.used - CLIENTS_BYTES
    return max(0, min(MAX_PROCESSES - 1, int(free / PROCESS_BYTES)))


def processes(shape: shapes.Shape) -> int:
    """Return the number of processes of a fleet, including the endpoints that rules rotate requests to."""
    endpoints = sum(service.endpoints for service in (*shape.services, *shapes.ROUTE_CHECK_SERVICES))
    return shape.proxies + 2 * shape.cores + endpoints


def scaled_to(shape: shapes.Shape, nodes: int) -> shapes.Shape:
    """Return a shape of about `nodes` processes, or unscaled if 0; its endpoints cancel aborted work."""
    services = tuple(dataclasses.replace(service, profile=SOAKED) for service in shape.services)
    unscaled = dataclasses.replace(shape, services=services)
    if not nodes:
        return unscaled
    fixed = 2 * unscaled.cores + sum(slot.endpoints for slot in shapes.ROUTE_CHECK_SERVICES)
    part = max(0.0, nodes - fixed) / (processes(unscaled) - fixed)
    scaled = unscaled.scaled_down(part)
    # Rounding may add a few processes, and even the minimum of each kind may be more than `nodes`.
    while processes(scaled) > nodes and part > MIN_PART:
        part *= SHRINK
        scaled = unscaled.scaled_down(part)
    return scaled
