"""What is read out of a run's record, and which sizes each figure is a sum of."""

import dataclasses
import typing

import dykeswitch.scale.fit as fits
from dykeswitch.scale.size import HEADLESS

Record = fits.Record

# Kinds of messages by what they are for; what is not named is "other".
GROUPS: typing.Final[dict[str, str]] = {
    "poll": "polls",
    "shuffle": "shuffles",
    "tell": "pushes",
    "paper": "papers",
    "confirm": "confirming",
    "read": "register",
    "prepare": "register",
    "accept": "register",
    "keys": "register",
    "state": "register",
    "install": "register",
}


def strained(record: Record) -> bool:
    """Whether headless proxies stood still in the steady window: then the machine was measured."""
    return bool(record["roles"][HEADLESS].get("frozen"))


def by_group(role: dict[str, typing.Any]) -> dict[str, float]:
    """Bytes a second by group of kinds, both ways."""
    found: dict[str, float] = {}
    for key, rate in role["rates"].items():
        if key.startswith("frames_") and key.endswith("_bytes"):
            group = GROUPS.get(key.split("_")[2], "other")
            found[group] = found.get(group, 0.0) + rate
    return found


def beat_bytes(record: Record) -> float:
    """Bytes a second of beats at one registry, HTTP both ways."""
    rates = record["roles"]["endpoint"]["rates"]
    each = rates.get("beat_sent_bytes", 0.0) + rates.get("beat_got_bytes", 0.0)
    return float(each * record["size"]["endpoints"] / record["size"]["cores"])


def proxy_bytes(group: str) -> fits.Reader:
    """Reads a headless proxy's bytes a second in a group of message kinds."""
    return lambda r: by_group(r["roles"][HEADLESS]).get(group)


def registry_bytes(group: str) -> fits.Reader:
    """Reads a registry's bytes a second in a group of message kinds."""
    if group == "beats":
        return beat_bytes
    return lambda r: by_group(r["roles"]["registry"]).get(group)


def store_bytes(group: str) -> fits.Reader:
    """Reads a store's bytes a second in a group of message kinds."""
    return lambda r: by_group(r["roles"]["store"]).get(group)


def role_figure(role: str, name: str) -> fits.Reader:
    """Reads one figure of a role, as the record names it."""
    return lambda r: float(r["roles"][role][name])


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One figure of a role: its unit, its look, its terms."""

    role: str
    name: str
    unit: str
    look: fits.Reader
    terms: tuple[str, ...]


METRICS: typing.Final = (
    Metric(
        "proxy",
        "polls",
        "B/s",
        proxy_bytes("polls"),
        ("1", "cores", "cores*endpoints", "cores*nodes", "cores*marks", "cores*changes"),
    ),
    Metric("proxy", "shuffles", "B/s", proxy_bytes("shuffles"), ("1", "endpoints", "nodes", "marks")),
    Metric("proxy", "pushes", "B/s", proxy_bytes("pushes"), ("1", "endpoints", "nodes", "marks", "changes")),
    Metric("proxy", "papers", "B/s", proxy_bytes("papers"), ("changes", "changes*rules")),
    Metric(
        "proxy",
        "processor",
        "core",
        role_figure("proxy", "core_share"),
        (
            "1",
            "cores",
            "endpoints",
            "cores*endpoints",
            "endpoints*endpoints",
            "nodes",
            "marks",
            "changes",
            "changes*rules",
        ),
    ),
    Metric(
        "proxy",
        "memory",
        "MB",
        role_figure("proxy", "memory_mb"),
        ("1", "endpoints", "nodes", "rules", "services"),
    ),
    Metric(
        "registry",
        "polls",
        "B/s",
        registry_bytes("polls"),
        ("nodes", "nodes*endpoints", "nodes*nodes", "nodes*marks", "nodes*changes"),
    ),
    Metric(
        "registry",
        "shuffles",
        "B/s",
        registry_bytes("shuffles"),
        ("1", "endpoints", "nodes", "nodes*endpoints/cores", "nodes*nodes/cores"),
    ),
    Metric(
        "registry",
        "pushes",
        "B/s",
        registry_bytes("pushes"),
        ("1", "endpoints", "nodes", "marks", "nodes*marks", "changes", "nodes*changes"),
    ),
    Metric(
        "registry",
        "papers",
        "B/s",
        registry_bytes("papers"),
        ("changes*nodes/cores", "changes*rules*nodes/cores"),
    ),
    Metric(
        "registry",
        "register",
        "B/s",
        registry_bytes("register"),
        ("1", "cores", "changes*cores", "changes*rules*cores"),
    ),
    Metric("registry", "beats", "B/s", registry_bytes("beats"), ("endpoints/cores",)),
    Metric(
        "registry",
        "processor",
        "core",
        role_figure("registry", "core_share"),
        (
            "1",
            "cores",
            "nodes",
            "endpoints",
            "endpoints/cores",
            "nodes*endpoints",
            "endpoints*endpoints",
            "nodes*marks",
            "changes",
            "nodes*changes",
            "changes*rules",
        ),
    ),
    Metric(
        "registry",
        "memory",
        "MB",
        role_figure("registry", "memory_mb"),
        ("1", "endpoints", "nodes", "rules", "services"),
    ),
    Metric("store", "register", "B/s", store_bytes("register"), ("1", "cores", "changes", "changes*rules")),
    Metric(
        "store",
        "processor",
        "core",
        role_figure("store", "core_share"),
        ("1", "cores", "changes", "changes*rules"),
    ),
    Metric("store", "memory", "MB", role_figure("store", "memory_mb"), ("1", "rules")),
)
