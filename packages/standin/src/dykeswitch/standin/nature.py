"""What an endpoint is like: how much it takes on, how fast it works, how it keeps pipes.

A nature is what an endpoint is built with; what goes wrong with it is its plan
(`dykeswitch.standin.faults`). The plain nature takes on all that comes.
"""

import dataclasses
import math
import random
import typing

# What becomes of a request that finds slots and queue full.
REFUSE: typing.Final = "refuse"
RESET: typing.Final = "reset"
HANG: typing.Final = "hang"
FULL: typing.Final = (REFUSE, RESET, HANG)
# Between how many times as slow as their service says the endpoints of one service are.
PACES: typing.Final = (0.5, 1.6)
# The part of the slots from which on an endpoint that is pressed slows down.
PRESSED_FROM: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointProfile:
    """All times in seconds; factors multiply the work of the service."""

    # Requests at work at once (none: as many as come), how many more wait, what the rest get.
    slots: int | None = None
    queue: int = 0
    full: str = REFUSE
    # How slow it is by itself, and how much more so with every slot taken.
    pace: float = 1.0
    press: float = 1.0
    # How far work spreads: evenly from half to one and a half if 0, else log-normal, and by
    # which times its middle a piece of work is bounded.
    spread: float = 0.0
    tail: float = 6.0
    # So many times as slow for so long after its start.
    warm_by: float = 1.0
    warm_s: float = 0.0
    # Whether each reply tells its burden, and what a probe costs in work.
    tells: bool = False
    probe_s: float = 0.0
    # Whether it stops at a request's expiry, and gives up work whose caller closed the pipe.
    stops: bool = False
    drops: bool = False
    # The most pipes at once, and while requests wait; how long a fresh one holds a slot.
    pipes_most: int | None = None
    pipes_pressed: int | None = None
    hello_s: float = 0.0
    # When idle pipes are closed, which part of replies end their pipe, and after how long
    # idle pipes are forgotten without a word.
    idle_s: float | None = None
    close_share: float = 0.0
    forgets_s: float | None = None
    # Which part of beats comes late, and by how much at most.
    late_share: float = 0.0
    late_s: float = 0.0
    # Whether beats tell `slots`, `count`, `warm_s` and `draining`.
    tells_more: bool = False

    def drawn(self, rng: random.Random) -> "EndpointProfile":
        """The same with a pace of its own, as the endpoints of one service have."""
        return dataclasses.replace(self, pace=self.pace * rng.uniform(*PACES))

    def span(self, work_s: float, rng: random.Random) -> float:
        """How long one piece of work takes that takes `work_s` in the mean."""
        if not self.spread:
            return work_s * self.pace * (0.5 + rng.random())
        # The mean stays where it was, however far the work spreads.
        draw = math.exp(self.spread * rng.gauss(0.0, 1.0) - self.spread**2 / 2)
        return work_s * self.pace * min(self.tail, draw)

    def drag(self, running: int, age: float) -> float:
        """How many times as slow it is with so many at work, so long after its start."""
        drag = self.warm_by if age < self.warm_s else 1.0
        if self.slots and self.press > 1.0:
            part = running / self.slots
            drag *= 1.0 + (self.press - 1.0) * max(0.0, part - PRESSED_FROM) / (1.0 - PRESSED_FROM)
        return drag


PLAIN: typing.Final = EndpointProfile()
