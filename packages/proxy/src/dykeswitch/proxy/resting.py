"""Limits how long connections to a service's endpoints may be idle before they are used again.

Endpoints announce when they close an idle connection, but some drop it earlier and reset it on the next
request. A request that must not be repeated is lost that way. After one such reset a proxy therefore
avoids connections that were idle for about as long, to any endpoint of the service, for a while.
"""

import dataclasses
import math
import typing

# Share of the idle time at an observed reset that is still allowed. An endpoint that drops connections
# does so earlier than the reset happened to show.
IDLE_SAFETY_FACTOR: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """The longest idle time allowed, in seconds, and until when it applies by the local clock."""

    max_idle_s: float
    until: float


class IdleLimits:
    """One proxy's idle limits by service."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._limits: dict[str, Limit] = {}

    def record_reset(self, service: str, idle_s: float, now: float) -> None:
        """Record that a connection was reset when it was used after being idle."""
        max_idle_s = min(idle_s * IDLE_SAFETY_FACTOR, self.max_idle_s(service, now))
        self._limits[service] = Limit(max_idle_s, now + self._memory_s)

    def max_idle_s(self, service: str, now: float) -> float:
        """Return the longest idle time, in seconds, after which a connection may still be used."""
        limit = self._limits.get(service)
        return limit.max_idle_s if limit is not None and now < limit.until else math.inf
