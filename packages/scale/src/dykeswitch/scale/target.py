"""The required size in two years, and its values of the variables of the sweeps."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The requirements; durations are in seconds, rates as named."""

    nodes: int = 1200
    endpoints: int = 17000
    services: int = 620
    requests_s: int = 240000
    rules: int = 12000
    tenants: int = 33000
    added_p99_ms: float = 1.4
    regions: int = 5
    zones: int = 13
    changes_day: int = 5400
    in_force_s: float = 15.0
    core_share: float = 0.035
    memory_mb: float = 256.0
    bytes_s: float = 3000.0
    machines: int = 13
    failures_day: int = 78
    restarts_day: int = 940
    cut_off_s: float = 3600.0


TARGET: typing.Final = Target()
DAY_S: typing.Final = 86400.0


def sizes(target: Target = TARGET) -> dict[str, float]:
    """Return the target as values of the variables of the sweeps.

    One mark is counted for each endpoint whose machine fails, as a rate per minute averaged over
    the day; a rack or zone that fails at once is calculated separately.
    """
    endpoint_share = target.endpoints / (target.endpoints + target.nodes + target.machines)
    return {
        "nodes": target.nodes,
        "endpoints": target.endpoints,
        "services": target.services,
        "rules": target.rules,
        "changes": target.changes_day / DAY_S * 60,
        "marks": target.failures_day * endpoint_share / DAY_S * 60,
        "cores": target.machines,
    }
