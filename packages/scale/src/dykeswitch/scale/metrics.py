"""The metrics read from the record of a run, and the terms that each one is fitted to."""

import dataclasses
import typing

import dykeswitch.scale.fit as fits
from dykeswitch.scale.size import HEADLESS

Record = fits.Record

# Groups of message kinds by purpose; a kind that isn't listed belongs to "other".
GROUP_BY_KIND: typing.Final[dict[str, str]] = {
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


def is_stalled(record: Record) -> bool:
    """Return whether headless proxies froze during the window.

    Such a run measures an overloaded machine instead of the program.
    """
    return bool(record["roles"][HEADLESS].get("frozen"))


def bytes_by_group(role: dict[str, typing.Any]) -> dict[str, float]:
    """Return a role's bytes per second by group of message kinds, both directions added."""
    totals: dict[str, float] = {}
    for key, rate in role["rates"].items():
        if key.startswith("frames_") and key.endswith("_bytes"):
            group = GROUP_BY_KIND.get(key.split("_")[2], "other")
            totals[group] = totals.get(group, 0.0) + rate
    return totals


def heartbeat_bytes(record: Record) -> float:
    """Return the bytes per second of heartbeats at one registry, HTTP in both directions."""
    rates = record["roles"]["endpoint"]["rates"]
    endpoint_rate = rates.get("beat_sent_bytes", 0.0) + rates.get("beat_got_bytes", 0.0)
    return float(endpoint_rate * record["size"]["endpoints"] / record["size"]["cores"])


def proxy_bytes(group: str) -> fits.MetricReader:
    """Return a reader of a headless proxy's bytes per second in a group of message kinds."""
    return lambda r: bytes_by_group(r["roles"][HEADLESS]).get(group)


def registry_bytes(group: str) -> fits.MetricReader:
    """Return a reader of a registry's bytes per second in a group of message kinds."""
    if group == "beats":
        return heartbeat_bytes
    return lambda r: bytes_by_group(r["roles"]["registry"]).get(group)


def store_bytes(group: str) -> fits.MetricReader:
    """Return a reader of a store's bytes per second in a group of message kinds."""
    return lambda r: bytes_by_group(r["roles"]["store"]).get(group)


def role_metric(role: str, name: str) -> fits.MetricReader:
    """Return a reader of one figure of a role, by its name in the record."""
    return lambda r: float(r["roles"][role][name])


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One metric of a role: its unit, its reader, and the terms to fit."""

    role: str
    name: str
    unit: str
    reader: fits.MetricReader
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
        role_metric("proxy", "core_share"),
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
        role_metric("proxy", "memory_mb"),
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
        role_metric("registry", "core_share"),
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
        role_metric("registry", "memory_mb"),
        ("1", "endpoints", "nodes", "rules", "services"),
    ),
    Metric("store", "register", "B/s", store_bytes("register"), ("1", "cores", "changes", "changes*rules")),
    Metric(
        "store",
        "processor",
        "core",
        role_metric("store", "core_share"),
        ("1", "cores", "changes", "changes*rules"),
    ),
    Metric("store", "memory", "MB", role_metric("store", "memory_mb"), ("1", "rules")),
)
