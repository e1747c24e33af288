"""For how long connections to a service's endpoints may lie idle before they are used again.

Endpoints say when they close an idle connection, but some forget it sooner and reset whatever comes
on it next. A request that may not be repeated is lost by that, so one such reset makes a proxy
wary of connections that lay idle about as long, to any endpoint of the service, for a while.
"""

import dataclasses
import math
import typing

# Resets after so much of a rest and more are avoided once one was seen: who forgets connections does
# so sooner than it happened to show.
CAUTION: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """The longest rest allowed, in seconds, up to a moment of our own clock."""

    rest_s: float
    until: float


class RestLimits:
    """What one proxy learnt of each service's idle connections."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._limits: dict[str, Limit] = {}

    def reset(self, service: str, rested_s: float, now: float) -> None:
        """A connection that had lain idle for so long was reset when it was used."""
        rest_s = min(rested_s * CAUTION, self.longest(service, now))
        self._limits[service] = Limit(rest_s, now + self._memory_s)

    def longest(self, service: str, now: float) -> float:
        """The longest rest after which a connection may be used."""
        limit = self._limits.get(service)
        return limit.rest_s if limit is not None and now < limit.until else math.inf
