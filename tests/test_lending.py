"""Lending of retry tokens: real lenders, slot assignments and borrowers in virtual time, under faults.

The register is a stub that can be out of reach. No requests are carried: each proxy spends all
the tokens that its budget allows. `tests/test_days.py` tests whole fleets.
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
# The tokens that are lent of the floor. The rest is for requests that are on the wire when a window
# begins; there are none here.
LENT: typing.Final = 19
CONFIG: typing.Final = settings.Settings(extra_floor=FLOOR)
SERVICE: typing.Final = "pages"


class _StubRegister:
    """A register with one value, which isolated registries cannot reach."""

    def __init__(self) -> None:
        self.value = register.INITIAL_VALUE
        self.isolated: set[str] = set()


class _RegisterClient:
    """One registry's access to the register."""

    def __init__(
        self, stub_register: _StubRegister, name: str, clock: typing.Any, rng: random.Random
    ) -> None:
        self._stub_register = stub_register
        self._name = name
        self._clock = clock
        self._rng = rng

    async def read(self, key: str) -> outcome.Success[register.Value] | outcome.Failure:
        return await self.change(key, lambda now: now)

    async def change(self, key: str, step: typing.Any) -> outcome.Success[register.Value] | outcome.Failure:
        await self._clock.sleep(self._rng.uniform(0.001, 0.2))
        if self._name in self._stub_register.isolated:
            await self._clock.sleep(1.0)
            return outcome.failure("no_majority")
        self._stub_register.value = seen = step(self._stub_register.value)
        await self._clock.sleep(self._rng.uniform(0.001, 0.2))
        return outcome.Success(seen)


class _Registry:
    """A registry that only keeps its slot assignments and lends tokens."""

    def __init__(
        self, cluster: "Cluster", name: str, address: str, machine: typing.Any, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._address = address
        self._machine = machine
        self.name = name
        self.boot_id = f"{rng.getrandbits(32):08x}"
        self.timeline = timelines.Timeline(name, machine.clock, CONFIG.forget_s)
        register_client: typing.Any = _RegisterClient(cluster.stub_register, name, machine.clock, rng)
        self.duties = duties.Duties(name, self.boot_id, CONFIG, self.timeline, register_client)
        self.lender = lenders.Lender(CONFIG, machine.clock, self.duties)

    async def run(self) -> None:
        server = frames.CallServer(self.lender.kinds(), lambda event, what: None)
        await self._machine.net.listen(self._address, server.serve)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_heartbeats())
            while True:
                await self._machine.clock.sleep(CONFIG.dead_after_s / 2)
                await self.duties.reconcile(sorted({self.name, *_cores(self.timeline)}))
                self.lender.remove_expired()

    async def _send_heartbeats(self) -> None:
        fields = dict.fromkeys(("spot", "web", "store"), self._address) | {"zone": "z", "boot": self.boot_id}
        while True:
            self.timeline.write(timelines.CORE, self.name, dict(fields), CONFIG.dead_after_s)
            await self._machine.clock.sleep(CONFIG.dead_after_s / 6)

    def stop(self) -> None:
        return None


class _Proxy:
    """A proxy that spends all its tokens, and gets requests while the cluster does."""

    def __init__(self, cluster: "Cluster", name: str, machine: typing.Any, rng: random.Random) -> None:
        self._cluster = cluster
        self._clock = machine.clock
        self._rng = rng
        self._stopping = asyncio.Event()
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
        budget = self.budgets[SERVICE] = budgets.Budget(CONFIG, self.borrower.borrowing_since)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self.borrower.run()), group.create_task(self._run_traffic(budget))]
            await self._stopping.wait()
            await self.borrower.give_back()
            for task in tasks:
                task.cancel()

    async def _run_traffic(self, budget: budgets.Budget) -> None:
        while True:
            await self._clock.sleep(self._rng.uniform(0.0, 0.2))
            now = self._clock.now()
            # Few requests, so that what they pay back does not hide tokens spent beyond the loans.
            if self._cluster.sending_requests and self._rng.random() < 0.1:
                self._cluster.request_times.append(now)
                budget.record_request()
            while self._cluster.needs_retries and budget.take(now):
                self._cluster.extra_attempt_times.append(now)

    def stop(self) -> None:
        self._stopping.set()


def _cores(timeline: timelines.Timeline) -> dict[str, ports.Address]:
    return {e.key: ports.address_of(e.fields["spot"]) for e in timeline.all(timelines.CORE)}


class Cluster:
    """Three registries and some proxies with gossip between them, and a record of extra attempts."""

    def __init__(self, seed: int, scratch: pathlib.Path, proxies: int = 4) -> None:
        self.world = worlds.World(seed, scratch)
        self.clock = self.world.machine_for("outside").clock
        self.stub_register = _StubRegister()
        self.registries = [self._add_registry(n) for n in range(3)]
        self.proxies = [self._add_proxy(n) for n in range(proxies)]
        self.request_times: list[float] = []
        self.extra_attempt_times: list[float] = []
        self.sending_requests = True
        self.needs_retries = True

    def _add_registry(self, n: int) -> worlds.Node:
        name, address = f"core{n}", self.world.address()
        return self.world.add(
            "registry", name, lambda machine, log, rng: _Registry(self, name, address, machine, rng)
        )

    def _add_proxy(self, n: int) -> worlds.Node:
        return self.world.add(
            "proxy", f"proxy{n}", lambda machine, log, rng: _Proxy(self, f"proxy{n}", machine, rng)
        )

    def start(self) -> None:
        for node in (*self.registries, *self.proxies):
            node.start()

    async def gossip(self) -> None:
        """Spread timeline entries between the nodes, as urgent updates and shuffles do."""
        while True:
            await asyncio.sleep(0.25)
            nodes = [n for n in self.world.nodes.values() if n.up and n.daemon and not n.host.frozen]
            for source in nodes:
                entries = source.daemon.timeline.entries_since(0)
                for target in nodes:
                    if source is not target and self.world.links.connected(source.name, target.name):
                        target.daemon.timeline.merge(entries)

    def most_over(self) -> float:
        """Return the largest excess, over all windows, of extra attempts over the share of the requests."""
        attempts, requests = sorted(self.extra_attempt_times), sorted(self.request_times)
        max_excess = 0.0
        for first in attempts:
            for low, high in ((first, first + CONFIG.extra_window_s), (first - CONFIG.extra_window_s, first)):
                attempt_count = bisect.bisect_right(attempts, high) - bisect.bisect_left(attempts, low)
                request_count = bisect.bisect_right(requests, high) - bisect.bisect_left(requests, low)
                max_excess = max(max_excess, attempt_count - CONFIG.extra_share * request_count)
        return max_excess


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault, or another change, that starts at a time and lasts for a while."""

    start_s: float
    kind: str
    index: int
    duration_s: float

    async def run(self, cluster: Cluster) -> None:
        await asyncio.sleep(self.start_s)
        undo = EVENTS[self.kind](cluster, self.index)
        await asyncio.sleep(self.duration_s)
        undo()


Undo = typing.Callable[[], None]


def _pick(nodes: list[worlds.Node], index: int) -> worlds.Node:
    return nodes[index % len(nodes)]


def _kill(nodes: list[worlds.Node]) -> Undo:
    for node in nodes:
        node.kill()

    def undo() -> None:
        for node in nodes:
            node.restart()

    return undo


def _freeze(node: worlds.Node) -> Undo:
    node.freeze()
    return node.thaw


def _isolate(cluster: Cluster, index: int) -> Undo:
    """Cut one registry off from the majority; proxies still reach it."""
    name = _pick(cluster.registries, index).name
    cluster.stub_register.isolated.add(name)
    others = [n.name for n in cluster.registries if n.name != name]
    cluster.world.links.cut([name], others)

    def undo() -> None:
        cluster.stub_register.isolated.discard(name)
        for other in others:
            cluster.world.links.cuts -= {(name, other), (other, name)}

    return undo


def _split(cluster: Cluster, index: int) -> Undo:
    """Cut off one registry and half of the proxies, without a majority, from all other nodes."""
    minority = [_pick(cluster.registries, index).name, *(n.name for n in cluster.proxies[index % 2 :: 2])]
    majority = [name for name in cluster.world.nodes if name not in minority]
    cluster.stub_register.isolated.add(minority[0])
    cluster.world.links.cut(minority, majority)

    def undo() -> None:
        cluster.stub_register.isolated.discard(minority[0])
        cluster.world.links.heal()

    return undo


def _cut(cluster: Cluster, index: int) -> Undo:
    proxy, registry = _pick(cluster.proxies, index).name, _pick(cluster.registries, index // 7).name
    cluster.world.links.cut([proxy], [registry])

    def undo() -> None:
        cluster.world.links.cuts -= {(proxy, registry), (registry, proxy)}
        for connection in list(cluster.world.links.connections):
            connection.flush()

    return undo


def _slow(cluster: Cluster, index: int) -> Undo:
    name = _pick([*cluster.registries, *cluster.proxies], index).name
    cluster.world.links.slow[name] = 0.45

    def undo() -> None:
        cluster.world.links.slow.pop(name, None)

    return undo


def _stop(cluster: Cluster, index: int) -> Undo:
    node = _pick(cluster.proxies, index)
    if node.daemon is not None:
        node.daemon.stop()
    return node.restart


def _end_requests(cluster: Cluster, index: int) -> Undo:
    """Stop the requests: extra attempts must then stay within the floor."""
    cluster.sending_requests = False
    return lambda: setattr(cluster, "sending_requests", True)


def _end_retries(cluster: Cluster, index: int) -> Undo:
    cluster.needs_retries = False
    return lambda: setattr(cluster, "needs_retries", True)


EVENTS: typing.Final[dict[str, typing.Callable[[Cluster, int], Undo]]] = {
    "kill a proxy": lambda cluster, index: _kill([_pick(cluster.proxies, index)]),
    "kill half the proxies": lambda cluster, index: _kill(cluster.proxies[index % 2 :: 2]),
    "kill a registry": lambda cluster, index: _kill([_pick(cluster.registries, index)]),
    "kill all registries": lambda cluster, index: _kill(cluster.registries),
    "freeze a proxy": lambda cluster, index: _freeze(_pick(cluster.proxies, index)),
    "freeze a registry": lambda cluster, index: _freeze(_pick(cluster.registries, index)),
    "set a registry apart": _isolate,
    "split the town": _split,
    "cut a proxy from a registry": _cut,
    "slow a machine": _slow,
    "stop a proxy": _stop,
    "end requests": _end_requests,
    "press no more": _end_retries,
}


def _live(events: typing.Sequence[Event], seed: int, duration_s: float, scratch: pathlib.Path) -> Cluster:
    """Run a cluster through some events."""

    async def main() -> Cluster:
        cluster = Cluster(seed, scratch)
        cluster.start()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(cluster.gossip())]
            tasks += [group.create_task(event.run(cluster)) for event in events]
            await asyncio.sleep(duration_s)
            for task in tasks:
                task.cancel()
        crashes = [node.crash for node in cluster.world.nodes.values() if node.crash]
        assert not crashes
        return cluster

    found: Cluster = loops.run(main())
    return found


def test_a_calm_town_uses_all_that_is_lent(tmp_path: pathlib.Path) -> None:
    cluster = _live([], 1, 30.0, tmp_path)
    assert cluster.most_over() <= LENT
    # The floor can be used nearly in full, and soon after the start.
    assert cluster.most_over() > LENT * 0.8
    assert min(cluster.extra_attempt_times) - 1000.0 < CONFIG.dead_after_s


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
    # Hypothesis derives the examples of a derandomized test from the code of its body, so a renamed
    # variable here would test other examples.
    town = _live(events, seed, 65.0, tmp_path_factory.mktemp("town"))
    assert town.most_over() <= LENT + 1e-6


RemoveGuard = typing.Callable[[pytest.MonkeyPatch], None]


def _lends_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(lenders.Lender, "_takeover_wait_s", lambda self, ownership: 0.0)


def _sure_for_ever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "fence_max_age_s", property(lambda self: 1e9))
    # Only the fence's age is unlimited: a new lender still waits as long as usual.
    patch.setattr(settings.Settings, "takeover_wait_s", property(lambda self: 21.5))


def _counts_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    apply_loan = borrowers.Borrower._apply_loan

    def apply_late(
        self: borrowers.Borrower, request: typing.Any, budget: typing.Any, tokens: int, expires_at: float
    ) -> None:
        apply_loan(self, request, budget, tokens, self._clock.now() + self._config.loan_duration_s)

    patch.setattr(borrowers.Borrower, "_apply_loan", apply_late)


def _spent_is_over_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "loan_lapse_s", property(lambda self: 0.0))


def _spent_comes_back_soon(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(settings.Settings, "attempt_counts_s", property(lambda self: self.extra_window_s / 2))


def _forgets_what_it_owes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(budgets.Budget, "bound", budgets.Budget.part)


def _shrinks_are_free_at_once(patch: pytest.MonkeyPatch) -> None:
    put = lenders.Account.record_loan

    def put_alone(self: lenders.Account, coins: int, until: float) -> None:
        self.debts = []
        put(self, coins, until)

    patch.setattr(lenders.Account, "record_loan", put_alone)


GUARDS: typing.Final[list[tuple[RemoveGuard, list[Event]]]] = [
    (
        _lends_at_once,
        [Event(10.0, "kill all registries", 0, 0.5), Event(10.0, "kill half the proxies", 0, 0.5)],
    ),
    (_sure_for_ever, [Event(10.0, "split the town", 0, 30.0)]),
    (
        _counts_from_the_answer,
        # Calls are slow: when the freeze ends, a reply is waiting whose loan has expired.
        [Event(4.0, "slow a machine", n, 60.0) for n in range(3, 7)]
        + [Event(12.0 + n, "freeze a proxy", n, 19.0) for n in range(2)],
    ),
    (_spent_is_over_at_once, [Event(10.0, "kill half the proxies", n, 0.5) for n in range(2)]),
    (_spent_comes_back_soon, []),
    (_forgets_what_it_owes, []),
    (_shrinks_are_free_at_once, []),
]


@pytest.mark.parametrize(("remove_guard", "events"), GUARDS)
def test_without_its_guard_a_window_has_more(
    remove_guard: RemoveGuard,
    events: list[Event],
    tmp_path_factory: pytest.TempPathFactory,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same events keep the bound with the guard, and break it without the guard."""

    def exceeds(seed: int) -> bool:
        return _live(events, seed, 65.0, tmp_path_factory.mktemp("town")).most_over() > LENT + 1e-6

    with monkeypatch.context() as patch:
        remove_guard(patch)
        broken = next((seed for seed in range(8) if exceeds(seed)), None)
    assert broken is not None
    assert not exceeds(broken)


class _FixedDuties:
    """Slots that are assigned to the lender, under a fence that the test sets."""

    def __init__(self, fence: int, since: float) -> None:
        self.current: duties.Ownership | None = duties.Ownership(fence, since, since)

    def ownership(self, slot: int) -> duties.Ownership | None:
        return self.current


class _FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> float:
        return self.now_s


class _LenderHarness:
    """One lender that is called directly."""

    def __init__(self, fence: int = 1) -> None:
        self.clock = _FakeClock()
        self.duties = _FixedDuties(fence, self.clock.now_s)
        assigned: typing.Any = self.duties
        clock: typing.Any = self.clock
        self.lender = lenders.Lender(CONFIG, clock, assigned)
        self._turns: dict[str, int] = {}

    def ask(
        self, borrower: str, want: int, lent: int = 0, bound: int | None = None, turn: int | None = None
    ) -> int:
        self._turns[borrower] = self._turns.get(borrower, 0) + 1 if turn is None else turn
        request = lenders.LoanRequest(SERVICE, 0, want, lent, lent if bound is None else bound)
        reply = self.lender._grant(borrower, self._turns[borrower], request)
        return reply[0] if reply else -1


def test_quiet_ones_leave_some_for_who_needs_it() -> None:
    harness = _LenderHarness()
    # This third of the floor has seven tokens. Borrowers that do not need any may have five of them.
    assert [harness.ask(f"p{n}", lenders.WANT_RESERVE) for n in range(4)] == [3, 2, 0, 0]
    assert harness.ask("pressed", 9) == 1
    assert harness.ask("pressed", 9, lent=1) == 2
    assert harness.ask("pressed", 9, lent=2) == 2
    # A second borrower gets less than its share, so the quiet one keeps one token at its next request.
    assert harness.ask("short", 9) == 0
    assert harness.ask("p0", lenders.WANT_RESERVE, lent=3) == 1
    # Its other tokens are free only once it confirms that, since the reply may have been lost.
    assert harness.ask("short", 9) == 0
    assert harness.ask("p0", lenders.WANT_RESERVE, lent=1) == 1
    assert harness.ask("short", 9) == 2


def test_what_is_given_back_is_free_at_once_but_for_what_was_spent() -> None:
    harness = _LenderHarness()
    assert harness.ask("a", 9) == 4
    assert harness.ask("a", lenders.WANT_NONE, lent=0, bound=1) == 0
    assert harness.ask("b", 9) == 3
    assert harness.ask("b", 9, lent=3) == 5
    assert harness.ask("b", 9, lent=5) == 6
    assert harness.ask("b", 9, lent=6) == 6
    # The spent token is free once no window can include it any more.
    harness.clock.now_s += CONFIG.loan_duration_s + CONFIG.loan_lapse_s + 0.01
    assert harness.ask("c", 9) == 4


def test_a_late_or_repeated_ask_is_not_answered_and_changes_nothing() -> None:
    harness = _LenderHarness()
    assert harness.ask("a", 9, turn=5) == 4
    for turn in (5, 4):
        # The request states that nothing is lent to it, as it was before the loan above.
        assert harness.ask("a", 9, lent=0, turn=turn) == -1
    assert harness.ask("b", 9) == 2


def test_a_new_lender_keeps_on_what_is_held_and_no_more() -> None:
    harness = _LenderHarness(fence=2)
    assert harness.ask("a", 9, lent=3) == 3
    assert harness.ask("a", 9, lent=3) == 3
    assert harness.ask("b", 9) == 0
    # A loan that expired meanwhile is not renewed, even if its tokens are still owed.
    assert harness.ask("c", 9, lent=0, bound=2) == 0
    harness.clock.now_s += CONFIG.takeover_wait_s - 0.01
    assert harness.ask("b", 9) == 0
    harness.clock.now_s += 0.02
    assert harness.ask("b", 9) > 0


def test_a_lender_that_lost_its_slot_between_forgets_its_book() -> None:
    harness = _LenderHarness()
    assert harness.ask("a", 9) == 4
    harness.duties.current = duties.Ownership(3, harness.clock.now_s, harness.clock.now_s)
    assert harness.ask("b", 9) == 0
    assert harness.ask("a", 9, lent=4) == 4
    harness.duties.current = None
    assert harness.ask("a", 9, lent=4) == -1


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
        lenders.read_loan_request(raw)


def test_a_lender_that_is_forgotten_before_it_is_asked_ends_nothing(tmp_path: pathlib.Path) -> None:
    """A proxy freezes between choosing a lender and calling it, and then knows no live registry."""

    async def main() -> None:
        world = worlds.World(3, tmp_path)
        machine = world.machine_for("proxy0")
        address = world.address()
        calls: list[frames.Body] = []

        async def borrow(body: frames.Body) -> frames.Result:
            calls.append(body)
            return outcome.failure("no_majority")

        server = frames.CallServer({"borrow": borrow}, lambda event, what: None)
        await world.machine_for("core0").net.listen(address, server.serve)
        timeline = timelines.Timeline("proxy0", machine.clock, CONFIG.forget_s)
        for part in range(slots.PARTS):
            key = str(slots.lend_slot(SERVICE, part))
            timeline.write(timelines.FENCE, key, {"owner": "core0/1", "fence": 1}, 60.0)
        known_cores = [{"core0": address}]
        by_service: dict[str, budgets.Budget] = {}
        borrower = borrowers.Borrower(
            "proxy0",
            "1",
            CONFIG,
            timeline,
            frames.CallClient(machine.net),
            lambda: known_cores.pop() if known_cores else {},
            lambda: by_service,
        )
        by_service[SERVICE] = budgets.Budget(CONFIG, borrower.borrowing_since)
        by_service[SERVICE].record_request()
        running = asyncio.create_task(borrower.run())
        await asyncio.sleep(2.0)
        assert not running.done()
        assert calls
        running.cancel()

    loops.run(main())


@pytest.mark.parametrize("span", [10**400, -1, True, "3", None, float("nan")])
def test_an_odd_span_of_a_loan_is_none(span: object) -> None:
    assert borrowers._loan_duration_s({"span": span}, 7.5) == (7.5 if span == 10**400 else 0.0)
