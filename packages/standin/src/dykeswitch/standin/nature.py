"""Profiles of endpoints: their capacity, their speed, and how they keep connections.

A profile is what an endpoint is built with; what goes wrong with it is its fault plan
(`dykeswitch.standin.faults`). The plain profile accepts every request.
"""

import dataclasses
import math
import random
import typing

# What happens to a request that finds slots and queue full.
REFUSE: typing.Final = "refuse"
RESET: typing.Final = "reset"
HANG: typing.Final = "hang"
FULL: typing.Final = (REFUSE, RESET, HANG)
# Range of the factors by which the endpoints of one service are slower than the service's usual time.
PACE_RANGE: typing.Final = (0.5, 1.6)
# Share of the slots in use above which an endpoint slows down by its `press`.
PRESS_THRESHOLD: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointProfile:
    """What an endpoint is like; all times are in seconds, and factors multiply the service's work.

    Attributes:
        slots: How many requests are worked on at once; None for no limit.
        queue: How many more requests may wait for a slot.
        full: What happens to a request beyond slots and queue, of `FULL`.
        pace: The factor of the endpoint itself.
        press: The further factor with every slot in use.
        spread: How far the work varies: evenly from 0.5 to 1.5 times the mean if 0, else log-normally.
        tail: The factor of the mean that no log-normal piece of work exceeds.
        warm_by: The factor for `warm_s` after the start.
        warm_s: How long the endpoint warms up.
        tells: Whether each response reports the load.
        probe_s: How much work a probe takes.
        stops: Whether work stops at the deadline of its request.
        drops: Whether work is dropped once the client has closed the connection.
        pipes_most: The most connections at once; None for no limit.
        pipes_pressed: The most connections while requests wait for a slot; None for `pipes_most` then too.
        hello_s: How long a new connection takes up a slot.
        idle_s: After how long idle connections are closed; None for never.
        close_share: The share of responses that end their connection.
        forgets_s: After how long idle connections are dropped without notice to the client; None for never.
        late_share: The share of heartbeats that are delayed.
        late_s: The longest such delay.
        tells_more: Whether heartbeats report `slots`, `count`, `warm_s` and `draining`.
    """

    slots: int | None = None
    queue: int = 0
    full: str = REFUSE
    pace: float = 1.0
    press: float = 1.0
    spread: float = 0.0
    tail: float = 6.0
    warm_by: float = 1.0
    warm_s: float = 0.0
    tells: bool = False
    probe_s: float = 0.0
    stops: bool = False
    drops: bool = False
    pipes_most: int | None = None
    pipes_pressed: int | None = None
    hello_s: float = 0.0
    idle_s: float | None = None
    close_share: float = 0.0
    forgets_s: float | None = None
    late_share: float = 0.0
    late_s: float = 0.0
    tells_more: bool = False

    def with_random_pace(self, rng: random.Random) -> "EndpointProfile":
        """Return a copy with a pace of its own, as the endpoints of one service differ in speed."""
        return dataclasses.replace(self, pace=self.pace * rng.uniform(*PACE_RANGE))

    def work_duration_s(self, work_s: float, rng: random.Random) -> float:
        """Return the time of one piece of work that takes `work_s` on average."""
        if not self.spread:
            return work_s * self.pace * (0.5 + rng.random())
        # A log-normal factor whose mean is 1 for any spread.
        factor = math.exp(self.spread * rng.gauss(0.0, 1.0) - self.spread**2 / 2)
        return work_s * self.pace * min(self.tail, factor)

    def slowdown(self, running: int, age_s: float) -> float:
        """Return the factor with so many requests at work, so long after the start."""
        factor = self.warm_by if age_s < self.warm_s else 1.0
        if self.slots and self.press > 1.0:
            used_share = running / self.slots
            factor *= 1.0 + (self.press - 1.0) * max(0.0, used_share - PRESS_THRESHOLD) / (
                1.0 - PRESS_THRESHOLD
            )
        return factor


PLAIN: typing.Final = EndpointProfile()
