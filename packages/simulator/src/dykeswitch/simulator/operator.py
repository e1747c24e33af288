"""A simulated operator: sends each order to random registries until it has a final answer.

Operators reach the registries over links that lose answers and may deliver an order a second
time, long after it was sent. The fleet records every answer to an operator, and the checker judges
them; the operator itself checks only that its orders are settled in time.
"""

import asyncio
import dataclasses
import random
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.observations as observations

# How long an operator waits for an answer, and the least and the longest pause before it sends the same
# order again.
ANSWER_TIMEOUT_S: typing.Final = 1.5
PAUSE_S: typing.Final = 0.1
MAX_PAUSE_S: typing.Final = 1.0
# For how long a registry that gave no answer is avoided.
AVOID_S: typing.Final = 5.0
# An order without a final answer after this time counts as a failure of the gateway.
ORDER_TIMEOUT_S: typing.Final = 20.0
# How many orders one operator has in progress at once.
MAX_CONCURRENT_ORDERS: typing.Final = 4
# Statuses that settle an order; after any other one the same order is sent again.
FINAL_STATUSES: typing.Final = frozenset({200, 400, 409, 412, 422})

NewLayout = typing.Callable[[], dict[str, typing.Any]]


class UnsettledError(Exception):
    """An order had no final answer, or a read no success, within `ORDER_TIMEOUT_S`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """How the links between an operator and the registries treat orders and answers."""

    # The share of answers that are lost on the way back, also those to accepted orders.
    lost_answers: float = 0.0
    # The share of orders that arrive a second time, and within how many seconds.
    duplicates: float = 0.0
    duplicate_s: float = 6.0


class Operator:
    """One operator, with layouts and a random generator of its own."""

    def __init__(
        self, fleet: fleets.SimFleet, rng: random.Random, new_layout: NewLayout, conditions: Conditions
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._new_layout = new_layout
        self._conditions = conditions
        # Until when each registry that gave no answer is avoided.
        self._avoid_until: dict[str, float] = {}
        self._duplicates: list[asyncio.Task[observations.LayoutPut]] = []

    def _choose_core(self) -> machines.Core:
        """Choose a random registry; those that gave no answer recently only if there are no others."""
        now = self._fleet.clock.now()
        responsive = [
            core for core in self._fleet.cores if self._avoid_until.get(core.registry.name, 0.0) <= now
        ]
        return self._rng.choice(responsive or self._fleet.cores)

    def _note_silence(self, core: machines.Core, status: int) -> None:
        """Avoid a registry for a while if it gave no answer."""
        if not status:
            self._avoid_until[core.registry.name] = self._fleet.clock.now() + AVOID_S

    async def order(self, layout: dict[str, typing.Any], match: int | None = None) -> observations.LayoutPut:
        """Send the same order, each time to a random registry, until it has a final answer."""
        started_at = self._fleet.clock.now()
        pause = PAUSE_S
        while True:
            core = self._choose_core()
            lose_answer = self._rng.random() < self._conditions.lost_answers
            put = await self._fleet.put(layout, core, match, ANSWER_TIMEOUT_S, lose_answer)
            self._note_silence(core, put.status)
            if self._rng.random() < self._conditions.duplicates:
                delay_s = self._rng.uniform(0.0, self._conditions.duplicate_s)
                self._duplicates.append(asyncio.create_task(self._deliver_again(layout, match, delay_s)))
            if put.status in FINAL_STATUSES:
                return put
            if self._fleet.clock.now() - started_at > ORDER_TIMEOUT_S:
                raise UnsettledError(
                    f"an order of {started_at:.2f} had no final answer in {ORDER_TIMEOUT_S:.0f} s"
                )
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_PAUSE_S)

    async def _deliver_again(
        self, layout: dict[str, typing.Any], match: int | None, delay_s: float
    ) -> observations.LayoutPut:
        """Deliver an earlier order a second time; its answer is lost."""
        await asyncio.sleep(delay_s)
        return await self._fleet.put(layout, self._choose_core(), match, ANSWER_TIMEOUT_S, lose_answer=True)

    async def read(self) -> observations.LayoutRead:
        """Read the newest layout from random registries until one answers."""
        started_at = self._fleet.clock.now()
        while True:
            core = self._choose_core()
            read = await self._fleet.get(core, ANSWER_TIMEOUT_S)
            self._note_silence(core, read.status)
            if read.status == 200:
                return read
            if self._fleet.clock.now() - started_at > ORDER_TIMEOUT_S:
                raise UnsettledError(f"a read of {started_at:.2f} had no answer in {ORDER_TIMEOUT_S:.0f} s")
            await asyncio.sleep(PAUSE_S)

    async def change(self) -> observations.LayoutPut:
        """Change the newest layout; after a conflict, start again from the layout that won."""
        while True:
            newest = await self.read()
            put = await self.order(self._new_layout(), newest.version)
            if put.status == 200:
                return put

    async def changes(self, count: int, at_once: int = MAX_CONCURRENT_ORDERS) -> None:
        """Make `count` changes, `at_once` of them in parallel."""
        remaining = count

        async def change_repeatedly() -> None:
            nonlocal remaining
            while remaining > 0:
                remaining -= 1
                await self.change()

        await asyncio.gather(*(change_repeatedly() for _ in range(at_once)))

    async def finish(self) -> None:
        """Wait until every second delivery of an order has happened."""
        await asyncio.gather(*self._duplicates)
