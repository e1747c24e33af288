"""Lending of extra go's: real lenders, duties and borrowers on virtual time, and all that can befall them.

The register is a stone that is there or not; what carries exchanges is left out: each proxy
spends all that it is let. `tests/test_days.py` has whole fleets.
"""

import asyncio
import bisect
import dataclasses
import pathlib
import random
import typing

import hypothesis
import hypothesis.strategies as some
import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.borrower as borrowers
import dykeswitch.proxy.budget as budgets
import dykeswitch.register as register
import dykeswitch.registry.duties as duties
import dykeswitch.registry.lender as lenders
import dykeswitch.settings as settings
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.timeline as timelines
import dykeswitch.timeline.slots as slots

FLOOR: typing.Final = 20
# What is lent of it; nothing here is on the wire as a window begins.
LENT: typing.Final = 19
CONFIG: typing.Final = settings.Settings(extra_floor=FLOOR)
SERVICE: typing.Final = "pages"


class _Stone:
    """A register of one value, out of reach for those that are apart."""

    def __init__(self) -> None:
        self.value = register.INITIAL_VALUE
        self.apart: set[str] = set()


class _Hand:
    """One registry's way to the register."""

    def __init__(self, stone: _Stone, name: str, clock: typing.Any, rng: random.Random) -> None:
        self._stone = stone
        self._name = name
        self._clock = clock
        self._rng = rng

    async def read(self, key: str) -> outcome.Success[register.Value] | outcome.Failure:
        return await self.change(key, lambda now: now)

    async def change(self, key: str, step: typing.Any) -> outcome.Success[register.Value] | outcome.Failure:
        await self._clock.sleep(self._rng.uniform(0.001, 0.2))
        if self._name in self._stone.apart:
            await self._clock.sleep(1.0)
            return outcome.failure("no_majority")
        self._stone.value = seen = step(self._stone.value)
        await self._clock.sleep(self._rng.uniform(0.001, 0.2))
        return outcome.Success(seen)


class _Registry:
    """A registry with nothing but its duties and its lending."""

    def __init__(
        self, town: "Town", name: str, address: str, machine: typing.Any, rng: random.Random
    ) -> None:
        self._town = town
        self._address = address
        self._machine = machine
        self.name = name
        self.boot_id = f"{rng.getrandbits(32):08x}"
        self.timeline = timelines.Timeline(name, machine.clock, CONFIG.forget_s)
        hand: typing.Any = _Hand(town.stone, name, machine.clock, rng)
        self.duties = duties.Duties(name, self.boot_id, CONFIG, self.timeline, hand)
        self.lender = lenders.Lender(CONFIG, machine.clock, self.duties)

    async def run(self) -> None:
        server = frames.CallServer(self.lender.kinds(), lambda event, what: None)
        await self._machine.net.listen(self._address, server.serve)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._beat())
            while True:
                await self._machine.clock.sleep(CONFIG.dead_after_s / 2)
                await self.duties.reconcile(sorted({self.name, *_cores(self.timeline)}))
                self.lender.remove_expired()

    async def _beat(self) -> None:
        fields = dict.fromkeys(("spot", "web", "store"), self._address) | {"zone": "z", "boot": self.boot_id}
        while True:
            self.timeline.write(timelines.CORE, self.name, dict(fields), CONFIG.dead_after_s)
            await self._machine.clock.sleep(CONFIG.dead_after_s / 6)

    def stop(self) -> None:
        return None


class _Proxy:
    """A proxy that spends whatever it is let, and has requests as the town has."""

    def __init__(self, town: "Town", name: str, machine: typing.Any, rng: random.Random) -> None:
        self._town = town
        self._clock = machine.clock
        self._rng = rng
        self._over = asyncio.Event()
        self.timeline = timelines.Timeline(name, machine.clock, CONFIG.forget_s)
        self.budgets: dict[str, budgets.Budget] = {}
        self.borrower = borrowers.Borrower(
            name,
            f"{rng.getrandbits(48):012x}",
            CONFIG,
            self.timeline,
            frames.CallClient(machine.net),
            lambda: _cores(self.timeline),
            lambda: self.budgets,
        )

    async def run(self) -> None:
        budget = self.budgets[SERVICE] = budgets.Budget(CONFIG, self.borrower.since)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self.borrower.run()), group.create_task(self._live(budget))]
            await self._over.wait()
            await self.borrower.give_back()
            for task in tasks:
                task.cancel()

    async def _live(self, budget: budgets.Budget) -> None:
        while True:
            await self._clock.sleep(self._rng.uniform(0.0, 0.2))
            now = self._clock.now()
            # Few, lest what requests earn hides what is spent beyond the loans.
            if self._town.asking and self._rng.random() < 0.1:
                self._town.asked.append(now)
                budget.request()
            while self._town.pressed and budget.take(now):
                self._town.spent.append(now)

    def stop(self) -> None:
        self._over.set()


def _cores(timeline: timelines.Timeline) -> dict[str, ports.Address]:
    return {e.key: ports.address_of(e.fields["spot"]) for e in timeline.all(timelines.CORE)}


class Town:
    """Three registries, some proxies, news between them, and a record of what was spent."""

    def __init__(self, seed: int, scratch: pathlib.Path, proxies: int = 4) -> None:
        self.world = worlds.World(seed, scratch)
        self.clock = self.world.machine_for("outside").clock
        self.stone = _Stone()
        self.registries = [self._add(n) for n in range(3)]
        self.proxies = [self._proxy(n) for n in range(proxies)]
        self.asked: list[float] = []
        self.spent: list[float] = []
        self.asking = True
        self.pressed = True

    def _add(self, n: int) -> worlds.Node:
        name, address = f"core{n}", self.world.address()
        return self.world.add(
            "registry", name, lambda machine, log, rng: _Registry(self, name, address, machine, rng)
        )

    def _proxy(self, n: int) -> worlds.Node:
        return self.world.add(
            "proxy", f"proxy{n}", lambda machine, log, rng: _Proxy(self, f"proxy{n}", machine, rng)
        )

    def start(self) -> None:
        for node in (*self.registries, *self.proxies):
            node.start()

    async def gossip(self) -> None:
        """What urgent news and shuffles bring about."""
        while True:
            await asyncio.sleep(0.25)
            nodes = [n for n in self.world.nodes.values() if n.up and n.daemon and not n.host.frozen]
            for one in nodes:
                told = one.daemon.timeline.entries_since(0)
                for two in nodes:
                    if one is not two and self.world.links.connected(one.name, two.name):
                        two.daemon.timeline.merge(told)

    def most_over(self) -> float:
        """The most by which extra go's of any window went beyond the share of its requests."""
        spent, asked = sorted(self.spent), sorted(self.asked)
        most = 0.0
        for first in spent:
            for low, high in ((first, first + CONFIG.extra_window_s), (first - CONFIG.extra_window_s, first)):
                many = bisect.bisect_right(spent, high) - bisect.bisect_left(spent, low)
                base = bisect.bisect_right(asked, high) - bisect.bisect_left(asked, low)
                most = max(most, many - CONFIG.extra_share * base)
        return most


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that befalls the town from a moment on, for a span."""

    at: float
    what: str
    which: int
    span: float

    async def run(self, town: Town) -> None:
        await asyncio.sleep(self.at)
        undo = EVENTS[self.what](town, self.which)
        await asyncio.sleep(self.span)
        undo()


Undo = typing.Callable[[], None]


def _of(nodes: list[worlds.Node], which: int) -> worlds.Node:
    return nodes[which % len(nodes)]


def _killed(nodes: list[worlds.Node]) -> Undo:
    for node in nodes:
        node.kill()

    def undo() -> None:
        for node in nodes:
            node.restart()

    return undo


def _frozen(node: worlds.Node) -> Undo:
    node.freeze()
    return node.thaw


def _apart(town: Town, which: int) -> Undo:
    """One registry is on the side that has no majority; proxies reach it still."""
    one = _of(town.registries, which).name
    town.stone.apart.add(one)
    others = [n.name for n in town.registries if n.name != one]
    town.world.links.cut([one], others)

    def undo() -> None:
        town.stone.apart.discard(one)
        for other in others:
            town.world.links.cuts -= {(one, other), (other, one)}

    return undo


def _split(town: Town, which: int) -> Undo:
    """A registry and half the proxies on one side, without a majority; the rest on the other."""
    here = [_of(town.registries, which).name, *(n.name for n in town.proxies[which % 2 :: 2])]
    there = [name for name in town.world.nodes if name not in here]
    town.stone.apart.add(here[0])
    town.world.links.cut(here, there)

    def undo() -> None:
        town.stone.apart.discard(here[0])
        town.world.links.heal()

    return undo


def _cut(town: Town, which: int) -> Undo:
    one, two = _of(town.proxies, which).name, _of(town.registries, which // 7).name
    town.world.links.cut([one], [two])

    def undo() -> None:
        town.world.links.cuts -= {(one, two), (two, one)}
        for connection in list(town.world.links.connections):
            connection.flush()

    return undo


def _slow(town: Town, which: int) -> Undo:
    name = _of([*town.registries, *town.proxies], which).name
    town.world.links.slow[name] = 0.45

    def undo() -> None:
        town.world.links.slow.pop(name, None)

    return undo


def _stopped(town: Town, which: int) -> Undo:
    node = _of(town.proxies, which)
    if node.daemon is not None:
        node.daemon.stop()
    return node.restart


def _asking(town: Town, which: int) -> Undo:
    """Requests end, and what was earned by them must have been spent within the floor."""
    town.asking = False
    return lambda: setattr(town, "asking", True)


def _calm(town: Town, which: int) -> Undo:
    town.pressed = False
    return lambda: setattr(town, "pressed", True)


EVENTS: typing.Final[dict[str, typing.Callable[[Town, int], Undo]]] = {
    "kill a proxy": lambda town, which: _killed([_of(town.proxies, which)]),
    "kill half the proxies": lambda town, which: _killed(town.proxies[which % 2 :: 2]),
    "kill a registry": lambda town, which: _killed([_of(town.registries, which)]),
    "kill all registries": lambda town, which: _killed(town.registries),
    "freeze a proxy": lambda town, which: _frozen(_of(town.proxies, which)),
    "freeze a registry": lambda town, which: _frozen(_of(town.registries, which)),
    "set a registry apart": _apart,
    "split the town": _split,
    "cut a proxy from a registry": _cut,
    "slow a machine": _slow,
    "stop a proxy": _stopped,
    "end requests": _asking,
    "press no more": _calm,
}


def _live(events: typing.Sequence[Event], seed: int, span: float, scratch: pathlib.Path) -> Town:
    """A town's day."""

    async def main() -> Town:
        town = Town(seed, scratch)
        town.start()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(town.gossip())]
            tasks += [group.create_task(event.run(town)) for event in events]
            await asyncio.sleep(span)
            for task in tasks:
                task.cancel()
        flaws = [node.crash for node in town.world.nodes.values() if node.crash]
        assert not flaws
        return town

    found: Town = loops.run(main())
    return found


def test_a_calm_town_uses_all_that_is_lent(tmp_path: pathlib.Path) -> None:
    town = _live([], 1, 30.0, tmp_path)
    assert town.most_over() <= LENT
    # The floor is really there to be used, and soon after the start.
    assert town.most_over() > LENT * 0.8
    assert min(town.spent) - 1000.0 < CONFIG.dead_after_s


@hypothesis.settings(
    derandomize=True, max_examples=40, deadline=None, suppress_health_check=list(hypothesis.HealthCheck)
)
@hypothesis.given(
    some.lists(
        some.builds(
            Event,
            some.floats(3.0, 50.0),
            some.sampled_from(sorted(EVENTS)),
            some.integers(0, 20),
            some.floats(0.1, 14.0),
        ),
        min_size=1,
        max_size=8,
    ),
    some.integers(0, 1000),
)
def test_no_window_has_more_than_its_share_and_what_is_lent(
    tmp_path_factory: pytest.TempPathFactory, events: list[Event], seed: int
) -> None:
    town = _live(events, seed, 65.0, tmp_path_factory.mktemp("town"))
    assert town.most_over() <= LENT + 1e-6


Wreck = typing.Callable[[pytest.MonkeyPatch], None]


def _lends_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(lenders.Lender, "_waits", lambda self, hold: 0.0)


def _sure_for_ever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "fence_max_age_s", property(lambda self: 1e9))
    # Only the old proof: a new lender waits as long as it would.
    patch.setattr(settings.Settings, "takeover_wait_s", property(lambda self: 21.5))


def _counts_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    settle = borrowers.Borrower._settle

    def late(self: borrowers.Borrower, wish: typing.Any, budget: typing.Any, coins: int, end: float) -> None:
        settle(self, wish, budget, coins, self._clock.now() + self._config.loan_duration_s)

    patch.setattr(borrowers.Borrower, "_settle", late)


def _spent_is_over_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "loan_lapse_s", property(lambda self: 0.0))


def _spent_comes_back_soon(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "attempt_counts_s", property(lambda self: self.extra_window_s / 2))


def _forgets_what_it_owes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(budgets.Budget, "bound", budgets.Budget.part)


def _shrinks_are_free_at_once(patch: pytest.MonkeyPatch) -> None:
    put = lenders.Account.put

    def only(self: lenders.Account, coins: int, until: float) -> None:
        self.outs = []
        put(self, coins, until)

    patch.setattr(lenders.Account, "put", only)


DAYS: typing.Final[list[tuple[Wreck, list[Event]]]] = [
    (
        _lends_at_once,
        [Event(10.0, "kill all registries", 0, 0.5), Event(10.0, "kill half the proxies", 0, 0.5)],
    ),
    (_sure_for_ever, [Event(10.0, "split the town", 0, 30.0)]),
    (
        _counts_from_the_answer,
        # Asks are long on their way: an answer lies waiting as the freeze ends, and the loan is over.
        [Event(4.0, "slow a machine", n, 60.0) for n in range(3, 7)]
        + [Event(12.0 + n, "freeze a proxy", n, 19.0) for n in range(2)],
    ),
    (_spent_is_over_at_once, [Event(10.0, "kill half the proxies", n, 0.5) for n in range(2)]),
    (_spent_comes_back_soon, []),
    (_forgets_what_it_owes, []),
    (_shrinks_are_free_at_once, []),
]


@pytest.mark.parametrize(("wreck", "events"), DAYS)
def test_without_its_guard_a_window_has_more(
    wreck: Wreck,
    events: list[Event],
    tmp_path_factory: pytest.TempPathFactory,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same day holds with it, and breaks without."""

    def over(seed: int) -> bool:
        return _live(events, seed, 65.0, tmp_path_factory.mktemp("town")).most_over() > LENT + 1e-6

    with monkeypatch.context() as patch:
        wreck(patch)
        broken = next((seed for seed in range(8) if over(seed)), None)
    assert broken is not None
    assert not over(broken)


class _Sure:
    """Duties that are ours, under a fence that a test moves."""

    def __init__(self, fence: int, since: float) -> None:
        self.now: duties.Hold | None = duties.Hold(fence, since, since)

    def hold(self, slot: int) -> duties.Hold | None:
        return self.now


class _Time:
    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at


class _Desk:
    """One lender, asked straight."""

    def __init__(self, fence: int = 1) -> None:
        self.time = _Time()
        self.duty = _Sure(fence, self.time.at)
        duty: typing.Any = self.duty
        clock: typing.Any = self.time
        self.lender = lenders.Lender(CONFIG, clock, duty)
        self._turns: dict[str, int] = {}

    def ask(
        self, who: str, want: int, lent: int = 0, bound: int | None = None, turn: int | None = None
    ) -> int:
        self._turns[who] = self._turns.get(who, 0) + 1 if turn is None else turn
        ask = lenders.Ask(SERVICE, 0, want, lent, lent if bound is None else bound)
        said = self.lender._loan(who, self._turns[who], ask)
        return said[0] if said else -1


def test_quiet_ones_leave_some_for_who_needs_it() -> None:
    desk = _Desk()
    # Seven coins in this third: five may lie with those that have no need of them.
    assert [desk.ask(f"p{n}", lenders.QUIET) for n in range(4)] == [3, 2, 0, 0]
    assert desk.ask("pressed", 9) == 1
    assert desk.ask("pressed", 9, lent=1) == 2
    assert desk.ask("pressed", 9, lent=2) == 2
    # A second one is short of its share: the quiet one is left with one coin at its next ask.
    assert desk.ask("short", 9) == 0
    assert desk.ask("p0", lenders.QUIET, lent=3) == 1
    # Only once it says so itself is what it had free: the answer may have been lost.
    assert desk.ask("short", 9) == 0
    assert desk.ask("p0", lenders.QUIET, lent=1) == 1
    assert desk.ask("short", 9) == 2


def test_what_is_given_back_is_free_at_once_but_for_what_was_spent() -> None:
    desk = _Desk()
    assert desk.ask("a", 9) == 4
    assert desk.ask("a", lenders.NOTHING, lent=0, bound=1) == 0
    assert desk.ask("b", 9) == 3
    assert desk.ask("b", 9, lent=3) == 5
    assert desk.ask("b", 9, lent=5) == 6
    assert desk.ask("b", 9, lent=6) == 6
    # The coin that was spent is free when no window can hold it any more.
    desk.time.at += CONFIG.loan_duration_s + CONFIG.loan_lapse_s + 0.01
    assert desk.ask("c", 9) == 4


def test_a_late_or_repeated_ask_is_not_answered_and_changes_nothing() -> None:
    desk = _Desk()
    assert desk.ask("a", 9, turn=5) == 4
    for turn in (5, 4):
        # It says that nothing is held: that was so before the loan above.
        assert desk.ask("a", 9, lent=0, turn=turn) == -1
    assert desk.ask("b", 9) == 2


def test_a_new_lender_keeps_on_what_is_held_and_no_more() -> None:
    desk = _Desk(fence=2)
    assert desk.ask("a", 9, lent=3) == 3
    assert desk.ask("a", 9, lent=3) == 3
    assert desk.ask("b", 9) == 0
    # What ran out meanwhile is not lent again, even to who still owes it.
    assert desk.ask("c", 9, lent=0, bound=2) == 0
    desk.time.at += CONFIG.takeover_wait_s - 0.01
    assert desk.ask("b", 9) == 0
    desk.time.at += 0.02
    assert desk.ask("b", 9) > 0


def test_a_lender_that_lost_its_slot_between_forgets_its_book() -> None:
    desk = _Desk()
    assert desk.ask("a", 9) == 4
    desk.duty.now = duties.Hold(3, desk.time.at, desk.time.at)
    assert desk.ask("b", 9) == 0
    assert desk.ask("a", 9, lent=4) == 4
    desk.duty.now = None
    assert desk.ask("a", 9, lent=4) == -1


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        ["s", 0, 1, 0],
        ["s", 3, 1, 0, 0],
        ["s", 0, -1, 0, 0],
        [1, 0, 1, 0, 0],
        ["s", 0, True, 0, 0],
    ],
)
def test_an_ask_that_is_none_is_refused(raw: object) -> None:
    with pytest.raises(ValueError):
        lenders.read_ask(raw)


def test_a_lender_that_is_forgotten_before_it_is_asked_ends_nothing(tmp_path: pathlib.Path) -> None:
    """A freeze between choosing a lender and calling it: nobody is known to live when it is over."""

    async def main() -> None:
        world = worlds.World(3, tmp_path)
        machine = world.machine_for("proxy0")
        address = world.address()
        asked: list[frames.Body] = []

        async def borrow(body: frames.Body) -> frames.Result:
            asked.append(body)
            return outcome.failure("no_majority")

        server = frames.CallServer({"borrow": borrow}, lambda event, what: None)
        await world.machine_for("core0").net.listen(address, server.serve)
        timeline = timelines.Timeline("proxy0", machine.clock, CONFIG.forget_s)
        for part in range(slots.PARTS):
            key = str(slots.lend_slot(SERVICE, part))
            timeline.write(timelines.FENCE, key, {"owner": "core0/1", "fence": 1}, 60.0)
        known = [{"core0": address}]
        budget: dict[str, budgets.Budget] = {}
        borrower = borrowers.Borrower(
            "proxy0",
            "1",
            CONFIG,
            timeline,
            frames.CallClient(machine.net),
            lambda: known.pop() if known else {},
            lambda: budget,
        )
        budget[SERVICE] = budgets.Budget(CONFIG, borrower.since)
        budget[SERVICE].request()
        running = asyncio.create_task(borrower.run())
        await asyncio.sleep(2.0)
        assert not running.done()
        assert asked
        running.cancel()

    loops.run(main())


@pytest.mark.parametrize("span", [10**400, -1, True, "3", None, float("nan")])
def test_an_odd_span_of_a_loan_is_none(span: object) -> None:
    assert borrowers._span({"span": span}, 7.5) == (7.5 if span == 10**400 else 0.0)
