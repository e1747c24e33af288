"""A stand-in operator: sends each order to any registry until it has a clear answer.

Operators reach the registries over links that lose answers and deliver an order a second
time, long after it was sent. Whatever an operator is told is recorded by the fleet and judged
by the checker; an operator itself judges only that its orders are settled in time.
"""

import asyncio
import dataclasses
import random
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.observations as observations

# How long an operator waits for one answer, and between two sendings of the same order.
ANSWER_S: typing.Final = 1.5
PAUSE_S: typing.Final = 0.1
PAUSE_MOST_S: typing.Final = 1.0
# For how long a registry that gave no answer is passed over.
AVOID_S: typing.Final = 5.0
# After this long an order without a clear answer counts as a fault of the system.
GIVE_UP_S: typing.Final = 20.0
# How many orders one operator has under way at once.
AT_ONCE: typing.Final = 4
# Answers that settle an order; after any other the same order is sent again.
CLEAR: typing.Final = frozenset({200, 400, 409, 412, 422})

NewLayout = typing.Callable[[], dict[str, typing.Any]]


class UnsettledError(Exception):
    """An order had no clear answer, or a read none at all, within the time for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the links between an operator and the registries do to orders and answers."""

    # The part of answers that are lost although the order was taken.
    lost_answers: float = 0.0
    # The part of orders that arrive a second time, and within how many seconds.
    duplicates: float = 0.0
    duplicate_s: float = 6.0


class Operator:
    """One operator with orders of its own."""

    def __init__(
        self, fleet: fleets.SimFleet, rng: random.Random, new_layout: NewLayout, conditions: Conditions
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._new_layout = new_layout
        self._conditions = conditions
        # Until when registries that gave no answer are passed over.
        self._silent: dict[str, float] = {}
        self._duplicates: list[asyncio.Task[observations.LayoutPut]] = []

    def _any_core(self) -> machines.Core:
        """Any registry but those that were silent just now, as long as there are others."""
        now = self._fleet.clock.now()
        heard = [core for core in self._fleet.cores if self._silent.get(core.registry.name, 0.0) <= now]
        return self._rng.choice(heard or self._fleet.cores)

    def _note(self, core: machines.Core, status: int) -> None:
        """Remember for a while that a registry gave no answer."""
        if not status:
            self._silent[core.registry.name] = self._fleet.clock.now() + AVOID_S

    async def order(self, layout: dict[str, typing.Any], match: int | None = None) -> observations.LayoutPut:
        """Send the very same order, each time to any registry, until its answer is clear."""
        begun = self._fleet.clock.now()
        pause = PAUSE_S
        while True:
            core = self._any_core()
            lose = self._rng.random() < self._conditions.lost_answers
            put = await self._fleet.put(layout, core, match, ANSWER_S, lose)
            self._note(core, put.status)
            if self._rng.random() < self._conditions.duplicates:
                wait = self._rng.uniform(0.0, self._conditions.duplicate_s)
                self._duplicates.append(asyncio.create_task(self._arrive_again(layout, match, wait)))
            if put.status in CLEAR:
                return put
            if self._fleet.clock.now() - begun > GIVE_UP_S:
                raise UnsettledError(f"an order of {begun:.2f} had no clear answer in {GIVE_UP_S:.0f} s")
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(2 * pause, PAUSE_MOST_S)

    async def _arrive_again(
        self, layout: dict[str, typing.Any], match: int | None, wait: float
    ) -> observations.LayoutPut:
        """An older order comes in a second time; nobody hears its answer."""
        await asyncio.sleep(wait)
        return await self._fleet.put(layout, self._any_core(), match, ANSWER_S, lose_answer=True)

    async def read(self) -> observations.LayoutRead:
        """What stands now, from whichever registry answers first."""
        begun = self._fleet.clock.now()
        while True:
            core = self._any_core()
            got = await self._fleet.get(core, ANSWER_S)
            self._note(core, got.status)
            if got.status == 200:
                return got
            if self._fleet.clock.now() - begun > GIVE_UP_S:
                raise UnsettledError(f"a read of {begun:.2f} had no answer in {GIVE_UP_S:.0f} s")
            await asyncio.sleep(PAUSE_S)

    async def change(self) -> observations.LayoutPut:
        """One change on top of what stands; one that lost its race is made anew on what won."""
        while True:
            newest = await self.read()
            put = await self.order(self._new_layout(), newest.version)
            if put.status == 200:
                return put

    async def changes(self, count: int, at_once: int = AT_ONCE) -> None:
        """Many changes, some of them under way at the same time."""
        left = count

        async def one_after_another() -> None:
            nonlocal left
            while left > 0:
                left -= 1
                await self.change()

        await asyncio.gather(*(one_after_another() for _ in range(at_once)))

    async def finish(self) -> None:
        """Wait until the last order that was to come twice has done so."""
        await asyncio.gather(*self._duplicates)
