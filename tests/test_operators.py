"""Eight concurrent operators at different registries, with lost answers and failing machines."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import typing

import pytest

import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.order_memory as order_memory
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.shape as shapes

PAGES: typing.Final = shapes.ServiceShape("pages", 1, 20, "/pages", "GET", 0.05)
SMALL: typing.Final = shapes.Shape("small", 1, 3, ("z1", "z2"), (PAGES,))
OPERATOR_COUNT: typing.Final = 8
ORDERS_EACH: typing.Final = 10
# The share of answers that are lost.
LOST_SHARE: typing.Final = 0.5
TIMEOUT_S: typing.Final = 1.0
MAX_ATTEMPTS: typing.Final = 40
# The status codes that end an order, at any registry.
FINAL_STATUSES: typing.Final = (200, 400, 409, 412, 413, 422)


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """An order and its final status and version, or 0 if no attempt had a final answer."""

    body: str
    number: int | None
    match: int | None
    status: int
    version: int


def _layout(path: str, number: int | None = None) -> dict[str, typing.Any]:
    doc = SMALL.layout()
    doc["rules"].append({"path": f"/{path}", "service": "pages"})
    return doc if number is None else {**doc, "number": number}


class Operators:
    """Operators that send orders to any registry, and repeat them after a lost answer."""

    def __init__(self, fleet: fleets.SimFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.sent: list[Sent] = []

    async def send(self, doc: dict[str, typing.Any], match: int | None = None) -> Sent:
        """Send an order to one registry after another, until there is a final answer."""
        status = version = 0
        for _ in range(MAX_ATTEMPTS):
            core = self._rng.choice(self._fleet.cores)
            put = await self._fleet.put(doc, core, match, TIMEOUT_S)
            if self._rng.random() >= LOST_SHARE and put.status in FINAL_STATUSES:
                status, version = put.status, put.version
                break
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        sent = Sent(json.dumps(doc, sort_keys=True), doc.get("number"), match, status, version)
        self.sent.append(sent)
        return sent

    async def newest(self) -> observations.LayoutRead:
        """Read the newest layout from any registry that answers."""
        for _ in range(MAX_ATTEMPTS):
            read = await self._fleet.get(self._rng.choice(self._fleet.cores), TIMEOUT_S)
            if read.status == 200:
                return read
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no registry returned the layout in {MAX_ATTEMPTS} attempts")


async def _inject_faults(fleet: fleets.SimFleet) -> None:
    """Cut off one core after another, and have it lose power, while orders are sent."""
    while True:
        for core in fleet.cores:
            others = [name for other in fleet.cores if other is not core for name in other.names()]
            fleet.world.links.cut(core.names(), others)
            await asyncio.sleep(4.0)
            fleet.world.links.heal()
            await asyncio.sleep(2.0)
            core.registry.lose_power()
            core.store.lose_power()
            await asyncio.sleep(1.5)
            core.store.restart()
            core.registry.restart()
            await asyncio.sleep(3.0)


async def _memory(fleet: fleets.SimFleet) -> order_memory.OrderMemory:
    found = await fleet.cores[0].registry.daemon.parts.proposer.read(documents.LAYOUT)
    assert isinstance(found.value, register.Value)
    return order_memory.read(found.value.memory, found.value.version)


def _run(
    folder: pathlib.Path,
    seed: int,
    work: typing.Callable[[fleets.SimFleet, Operators], typing.Awaitable[None]],
) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, seed, folder)
        await fleet.start()
        faults = fleet.spawn(_inject_faults(fleet))
        operators = Operators(fleet, seed)
        await work(fleet, operators)
        faults.cancel()
        fleet.world.links.heal()
        for core in fleet.cores:
            for node in (core.store, core.registry):
                if not node.up:
                    node.restart()
        await asyncio.sleep(5.0)

    loops.run(main())


def test_numbered_orders_are_never_refused_and_the_highest_stands(tmp_path: pathlib.Path) -> None:
    seed = 1

    async def work(fleet: fleets.SimFleet, operators: Operators) -> None:
        rng = random.Random(seed)

        async def operator(name: int) -> None:
            for n in range(ORDERS_EACH):
                # Numbers rise by unequal steps and differ between operators; some arrive much too late.
                number = 1 + (n * OPERATOR_COUNT + name) * 7 + rng.randrange(7)
                sent = await operators.send(_layout(f"n{number}", number))
                assert sent.status == 200, sent

        await asyncio.gather(*(operator(name) for name in range(OPERATOR_COUNT)))
        highest = max(operators.sent, key=lambda sent: sent.number or 0)
        read = await operators.newest()
        assert read.body == highest.body
        # A repeated order is recognized by any registry that answers.
        for sent in rng.sample(operators.sent, 20):
            assert (await operators.send(json.loads(sent.body))).status == 200
        assert (await operators.newest()).body == highest.body

    _run(tmp_path, seed, work)


def _forget_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the guard, so that the register remembers no orders."""
    monkeypatch.setattr(order_memory.Ledger, "digest", lambda self, number: None)


@pytest.mark.parametrize("guarded", [True, False])
def test_of_two_operators_with_one_number_one_is_confirmed(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not guarded:
        _forget_orders(monkeypatch)

    async def work(fleet: fleets.SimFleet, operators: Operators) -> None:
        async def operator(name: int) -> None:
            for n in range(ORDERS_EACH):
                # Four operators share each number, each with a different layout.
                await operators.send(_layout(f"n{n}-{name}", 10 * n + name // 4 + 1))

        await asyncio.gather(*(operator(name) for name in range(OPERATOR_COUNT)))
        confirmed = collections.defaultdict(set)
        for sent in operators.sent:
            assert sent.status in (200, 409), sent
            if sent.status == 200:
                confirmed[sent.number].add(sent.body)
        assert len(confirmed) == 2 * ORDERS_EACH
        assert ({len(bodies) for bodies in confirmed.values()} == {1}) is guarded
        newest = await operators.newest()
        assert newest.body in confirmed[max(n for n in confirmed if n is not None)]

    _run(tmp_path, 3, work)


def _wrongly_answered(sent: Sent, ledger: order_memory.Ledger) -> bool:
    """Whether an order was confirmed but not stored, or refused but stored."""
    assert sent.match is not None
    digest = _stored_digest(sent)
    if sent.status == 200:
        return sent.version != sent.match + 1 or dict(ledger.digests).get(sent.version) != digest
    return digest in {stored_digest for _, stored_digest in ledger.digests}


@pytest.mark.parametrize("guarded", [True, False])
def test_orders_with_if_match_are_confirmed_once_and_refused_only_if_never_taken(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not guarded:
        _forget_orders(monkeypatch)

    async def work(fleet: fleets.SimFleet, operators: Operators) -> None:
        async def operator(name: int) -> None:
            for n in range(ORDERS_EACH):
                newest = await operators.newest()
                await operators.send(_layout(f"m{n}-{name}"), newest.version)

        await asyncio.gather(*(operator(name) for name in range(OPERATOR_COUNT)))
        ledger = (await _memory(fleet)).by_version
        assert len(ledger.digests) <= order_memory.ENTRIES_KEPT and ledger.floor == 0
        assert {sent.status for sent in operators.sent} == {200, 412}
        wrong = [sent for sent in operators.sent if _wrongly_answered(sent, ledger)]
        assert (wrong == []) is guarded

    _run(tmp_path, 5, work)


def _stored_digest(sent: Sent) -> bytes:
    """The digest of an order's body, as stored in the register."""
    checked = layouts.check(json.loads(sent.body))
    assert isinstance(checked, outcome.Success)
    return order_memory.digest_of(layouts.serialize(checked.value))
