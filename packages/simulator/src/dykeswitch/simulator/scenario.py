"""The failures of the brief, each as something done to a running fleet."""

import asyncio
import copy
import dataclasses
import pathlib
import random
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.history as histories
import dykeswitch.standin.caller as callers
import dykeswitch.standin.shape as shapes

Fault = typing.Callable[["Stage"], typing.Awaitable[None]]


class Stage:
    """One fleet under one day of faults."""

    def __init__(self, fleet: fleets.SimFleet, dice: random.Random) -> None:
        self.fleet = fleet
        self.dice = dice
        self.story = histories.History()
        self.marker = 0
        self.fresh = 0
        self.notes: list[tuple[float, str]] = []

    @property
    def now(self) -> float:
        return self.fleet.clock.now()

    def note(self, text: str) -> None:
        self.notes.append((round(self.now, 3), text))

    # Small helpers.

    def layout(self) -> dict[str, typing.Any]:
        """A layout like the standing one but for a mark of its own."""
        self.marker += 1
        doc = copy.deepcopy(self.fleet.shape.layout())
        doc["rules"].append(
            {"path": f"/marker-{self.marker}", "service": self.fleet.shape.services[0].name}
        )
        return doc

    def broken(self) -> dict[str, typing.Any]:
        doc = self.layout()
        kind = self.dice.randrange(3)
        if kind == 0:
            doc["rules"].append({"path": "/lost", "service": "nobody-knows"})
        elif kind == 1:
            doc["rules"].append(dict(doc["rules"][0]))
        else:
            doc["rulez"] = []
        return doc

    def up_edges(self) -> list[fleets.Edge]:
        return [e for e in self.fleet.edges if e.node.up]

    def core_names(self) -> list[str]:
        return [n for core in self.fleet.cores for n in core.names()]

    def edge_names(self) -> list[str]:
        return [e.node.name for e in self.fleet.edges]

    def live_endpoints(self, service: str = "") -> list[str]:
        fleet = self.fleet
        return sorted(
            n
            for n, e in fleet.endpoints.items()
            if n in fleet.hosts and not fleet.hosts[n].dead
            and n not in fleet.left and service in ("", e.service)
        )

    def new_endpoint(self, service: shapes.ServiceShape, spot: str, silent_s: float = 0.0) -> str:
        self.fresh += 1
        name = f"{service.name}-new{self.fresh}"
        made = self.fleet.endpoint(name, service, spot, self.fresh)
        self.fleet.wake(made, silent_s)
        return name

    def shape_of(self, service: str) -> shapes.ServiceShape:
        return next(s for s in self.fleet.shape.services if s.name == service)

    def off_line(self, edge: fleets.Edge, begun: float) -> None:
        self.story.cut_off.append(histories.Span(edge.node.name, begun, self.now))


# Endpoints.


async def roll_endpoints(stage: Stage) -> None:
    """A release: new ones come, old ones leave, one by one."""
    service = stage.dice.choice(stage.fleet.shape.services)
    for name in stage.live_endpoints(service.name)[:3]:
        stage.new_endpoint(service, stage.fleet.world.spot())
        await asyncio.sleep(1.0)
        await stage.fleet.drain_endpoint(name, 2.5)


async def kill_endpoint(stage: Stage) -> None:
    name = stage.dice.choice(stage.live_endpoints())
    old = stage.fleet.endpoints[name]
    stage.fleet.kill_endpoint(name)
    await asyncio.sleep(2.0)
    stage.new_endpoint(stage.shape_of(old.service), stage.fleet.world.spot())
    await asyncio.sleep(2.0)


async def hand_over_address(stage: Stage) -> None:
    """An endpoint ends and its address goes to another service, pipes still open."""
    name = stage.dice.choice(stage.live_endpoints())
    old = stage.fleet.endpoints[name]
    other = stage.dice.choice([s for s in stage.fleet.shape.services if s.name != old.service])
    stage.fleet.kill_endpoint(name)
    # It listens well before it first says who it is.
    stage.new_endpoint(other, old.spot, stage.dice.uniform(0.0, 2.0))
    await asyncio.sleep(0.5)
    stage.new_endpoint(stage.shape_of(old.service), stage.fleet.world.spot())
    await asyncio.sleep(4.0)


def misbehave(fault: str, many: int = 1, probe_too: bool = False) -> Fault:
    async def act(stage: Stage) -> None:
        service = stage.dice.choice(stage.fleet.shape.services)
        names = stage.dice.sample(stage.live_endpoints(service.name), many)
        for name in names:
            plan = stage.fleet.endpoints[name].plan
            plan.fault, plan.share, plan.probe_too = fault, 0.7, probe_too
        await asyncio.sleep(5.0)
        for name in names:
            stage.fleet.endpoints[name].plan.fault = "none"

    return act


async def fail_service(stage: Stage) -> None:
    """A whole service fails: nothing helps, and extra goes must stay bounded."""
    service = stage.dice.choice(stage.fleet.shape.services)
    names = stage.live_endpoints(service.name)
    for name in names:
        plan = stage.fleet.endpoints[name].plan
        plan.fault, plan.share = "status_502", 1.0
    await asyncio.sleep(8.0)
    for name in names:
        stage.fleet.endpoints[name].plan.fault = "none"


# Proxies.


async def kill_proxy(stage: Stage) -> None:
    edge = stage.dice.choice(stage.up_edges())
    edge.node.kill()
    await asyncio.sleep(1.0)
    edge.node.restart()
    await asyncio.sleep(2.0)


async def kill_herd(stage: Stage) -> None:
    edges = stage.up_edges()
    herd = stage.dice.sample(edges, len(edges) // 2)
    for edge in herd:
        edge.node.kill()
    await asyncio.sleep(1.5)
    for edge in herd:
        edge.node.restart()
    await asyncio.sleep(3.0)


async def restart_in_turn(stage: Stage) -> None:
    """Orderly stops, one machine after another."""
    for edge in stage.up_edges()[:4]:
        begun = stage.now
        if not await edge.node.stop(7.0):
            stage.note(f"{edge.node.name} had to be killed")
        stage.story.stops.append(histories.Span(edge.web, begun, stage.now))
        edge.node.restart()
        await asyncio.sleep(1.0)


async def freeze_proxy(stage: Stage) -> None:
    """Frozen over a change of layout and a leaving endpoint, then woken."""
    edge = stage.dice.choice(stage.up_edges())
    begun = stage.now
    edge.node.freeze()
    await asyncio.sleep(1.0)
    await stage.fleet.put(stage.layout(), stage.dice.choice(stage.fleet.cores))
    leaving = stage.dice.choice(stage.live_endpoints())
    service = stage.shape_of(stage.fleet.endpoints[leaving].service)
    stage.new_endpoint(service, stage.fleet.world.spot())
    await stage.fleet.drain_endpoint(leaving, 4.0)
    edge.node.thaw()
    stage.off_line(edge, begun)
    await asyncio.sleep(3.0)


async def isolate_proxy(stage: Stage) -> None:
    """Cut off from cores and from other proxies alike."""
    edge = stage.dice.choice(stage.up_edges())
    begun = stage.now
    stage.fleet.world.wires.cut([edge.node.name], stage.core_names() + stage.edge_names())
    await asyncio.sleep(1.0)
    await stage.fleet.put(stage.layout(), stage.dice.choice(stage.fleet.cores))
    await asyncio.sleep(4.0)
    stage.fleet.world.wires.heal()
    stage.off_line(edge, begun)
    await asyncio.sleep(2.0)


async def cut_proxies_from_cores(stage: Stage) -> None:
    """Half the proxies lose every core but still reach the other half."""
    edges = stage.dice.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    stage.fleet.world.wires.cut([e.node.name for e in edges], stage.core_names())
    await asyncio.sleep(2.0)
    await stage.fleet.put(stage.layout(), stage.dice.choice(stage.fleet.cores))
    await asyncio.sleep(4.0)
    stage.fleet.world.wires.heal()
    await asyncio.sleep(1.0)


# Cores.


def _core(stage: Stage) -> fleets.Core:
    return stage.dice.choice(stage.fleet.cores)


async def lose_store_power(stage: Stage) -> None:
    """Power goes right after a change was confirmed."""
    core = _core(stage)
    await stage.fleet.put(stage.layout(), core)
    core.store.lose_power()
    core.registry.lose_power()
    await stage.fleet.get(_core(stage))
    await asyncio.sleep(3.0)
    core.store.restart()
    core.registry.restart()
    await asyncio.sleep(2.0)
    await stage.fleet.get(core)


async def lose_store_disk(stage: Stage) -> None:
    """The disk goes right after a change was confirmed; an empty one comes."""
    core = _core(stage)
    await stage.fleet.put(stage.layout(), core)
    core.store.lose_power()
    core.store.wipe()
    await asyncio.sleep(1.0)
    core.store.restart()
    await _seated(stage)
    await stage.fleet.get(core)


async def _seated(stage: Stage) -> None:
    """Wait until every living store has a seat in one and the same set."""

    def so() -> bool:
        if any(c.store.daemon is None for c in stage.fleet.cores):
            return False
        voters = [c.store.daemon.voter for c in stage.fleet.cores]
        return all(v.seated() and not v.members.joint() for v in voters) and (
            len({v.members.epoch for v in voters}) == 1
        )

    begun = stage.now
    try:
        await stage.fleet.until(so, 15, "every store seated")
        stage.note(f"seated after {stage.now - begun:.2f} s")
    except TimeoutError:
        stage.story.crashes.append(f"a store was not seated within 15 s of {begun:.2f}")


async def swap_core(stage: Stage) -> None:
    """A core goes for good; an empty one comes at a new address, with old seeds."""
    fleet = stage.fleet
    old = _core(stage)
    await fleet.put(stage.layout(), old)
    old.store.lose_power()
    old.registry.lose_power()
    await asyncio.sleep(stage.dice.uniform(0.0, 4.0))
    fleet.cores.remove(old)
    stage.fresh += 1
    core = fleet.core(f"core-new{stage.fresh}", stage.fresh, fleet.world.spot(), fleet.world.spot())
    fleet.cores.append(core)
    core.store.start()
    core.registry.start()
    await _seated(stage)
    await fleet.get(core)


async def swap_two_cores(stage: Stage) -> None:
    await swap_core(stage)
    await swap_core(stage)


async def restart_all_cores(stage: Stage) -> None:
    await stage.fleet.put(stage.layout(), _core(stage))
    for core in stage.fleet.cores:
        core.registry.lose_power()
        core.store.lose_power()
    await asyncio.sleep(2.0)
    for core in stage.fleet.cores:
        core.store.restart()
        core.registry.restart()
    await asyncio.sleep(4.0)
    await stage.fleet.get(_core(stage))


async def jump_clock(stage: Stage) -> None:
    core = _core(stage)
    core.registry.clock.jump += stage.dice.choice([-86400.0, -3.0, 3.0, 86400.0])
    await asyncio.sleep(1.0)
    await stage.fleet.put(stage.layout(), core)
    await asyncio.sleep(1.0)


async def cut_one_core(stage: Stage) -> None:
    """One core is apart from all but one proxy, which restarts and reaches it alone."""
    core = _core(stage)
    others = [c for c in stage.fleet.cores if c is not core]
    names = [n for c in others for n in c.names()]
    edge = stage.dice.choice(stage.up_edges())
    rest = [e.node.name for e in stage.fleet.edges if e is not edge]
    stage.fleet.world.wires.cut(core.names(), names + rest, both=stage.dice.random() < 0.7)
    await asyncio.sleep(0.5)
    one, two = await asyncio.gather(
        stage.fleet.put(stage.layout(), core, wait=4.0), stage.fleet.put(stage.layout(), others[0])
    )
    stage.note(f"cut core said {one.status}, others said {two.status}")
    edge.node.kill()
    # A proxy that restarts now may reach only the core that lags.
    stage.fleet.world.wires.cut([edge.node.name], names + stage.edge_names())
    edge.node.restart()
    await asyncio.sleep(3.0)
    await stage.fleet.get(core, wait=3.0)
    stage.fleet.world.wires.heal()
    await asyncio.sleep(2.0)
    await stage.fleet.get(core)


async def split_all_cores(stage: Stage) -> None:
    names = [c.names() for c in stage.fleet.cores]
    for one in names:
        for two in names:
            if one is not two:
                stage.fleet.world.wires.cut(one, two)
    await asyncio.sleep(0.5)
    await stage.fleet.put(stage.layout(), _core(stage), wait=3.0)
    await asyncio.sleep(3.0)
    stage.fleet.world.wires.heal()
    await asyncio.sleep(2.0)
    await stage.fleet.get(_core(stage))


async def freeze_registry(stage: Stage) -> None:
    """The prober's owner freezes with results in hand, and wakes after the handover."""
    core = _core(stage)
    core.registry.freeze()
    await asyncio.sleep(6.0)
    core.registry.thaw()
    await asyncio.sleep(2.0)


async def freeze_store(stage: Stage) -> None:
    core = _core(stage)
    core.store.freeze()
    await stage.fleet.put(stage.layout(), _core(stage))
    await asyncio.sleep(2.0)
    core.store.thaw()
    await asyncio.sleep(1.0)


async def swap_while_split(stage: Stage) -> None:
    """Members change while cores are split."""
    fleet = stage.fleet
    old = _core(stage)
    old.store.lose_power()
    old.registry.lose_power()
    fleet.cores.remove(old)
    stage.fresh += 1
    core = fleet.core(f"core-new{stage.fresh}", stage.fresh, fleet.world.spot(), fleet.world.spot())
    fleet.cores.append(core)
    core.store.start()
    core.registry.start()
    await asyncio.sleep(stage.dice.uniform(2.5, 5.0))
    one = stage.dice.choice([c for c in fleet.cores if c is not core])
    fleet.world.wires.cut(one.names(), [n for c in fleet.cores if c is not one for n in c.names()])
    await asyncio.sleep(stage.dice.uniform(0.2, 3.0))
    await fleet.put(stage.layout(), core, wait=3.0)
    fleet.world.wires.heal()
    await _seated(stage)
    await fleet.get(one)


# Operators.


async def burst_layouts(stage: Stage) -> None:
    for _ in range(6):
        await stage.fleet.put(stage.layout(), _core(stage))
    await stage.fleet.get(_core(stage))


async def race_operators(stage: Stage) -> None:
    """Two at once, conditional and not, good and broken."""
    got = await stage.fleet.get(_core(stage))
    match = got.version if got.status == 200 else None
    await asyncio.gather(
        stage.fleet.put(stage.layout(), _core(stage), match),
        stage.fleet.put(stage.layout(), _core(stage), match),
    )
    await asyncio.gather(
        stage.fleet.put(stage.layout(), _core(stage)), stage.fleet.put(stage.layout(), _core(stage))
    )
    broken = stage.broken()
    put = await stage.fleet.put(broken, _core(stage))
    stage.story.broken_bodies.add(put.body)
    await stage.fleet.get(_core(stage))


async def plan_pause(stage: Stage) -> None:
    """A planned pause stands through probes, a clock that jumps, and all cores restarting."""
    name = stage.dice.choice(stage.live_endpoints())
    page = await stage.fleet.query(f'pause {name} for 14s because "new disk"', _core(stage))
    begun = stage.now
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.story.crashes.append("a planned pause was not taken")
        return
    # What is left of the fourteen seconds, less a little for the road.
    stage.story.paused.append(histories.Span(name, begun, begun + 13.0))
    await asyncio.sleep(2.0)
    await jump_clock(stage)
    await restart_all_cores(stage)
    for core in stage.fleet.cores:
        core.registry.clock.jump = 0.0
    page = await stage.fleet.query("show pauses", _core(stage))
    if page is None or not any(row[1] == name for row in page["rows"]):
        stage.story.crashes.append("a planned pause was lost by the restart of all cores")
    await asyncio.sleep(6.0)
    still = [e.node.name for e in stage.up_edges() if e.node.daemon._paused(name)]
    if still:
        stage.story.crashes.append(f"{still} still held the pause after its end")


async def large_layout(stage: Stage) -> None:
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 200}", "service": service} for n in range(3000)]
    await stage.fleet.put(doc, _core(stage))
    await asyncio.sleep(2.5)
    await stage.fleet.put(stage.layout(), _core(stage))


FAULTS: typing.Final[dict[str, Fault]] = {
    "roll_endpoints": roll_endpoints,
    "kill_endpoint": kill_endpoint,
    "hand_over_address": hand_over_address,
    "lose_replies": misbehave("lose", 2),
    "hang": misbehave("hang"),
    "hang_probes": misbehave("hang", 1, True),
    "garbage": misbehave("garbage", 2),
    "cut_bodies": misbehave("cut", 2),
    "wrong_id": misbehave("wrong_id", 1, True),
    "wrong_id_reply": misbehave("wrong_id", 1),
    "status_502": misbehave("status_502", 2),
    "promise": misbehave("promise", 2),
    "slow": misbehave("slow", 1),
    "fail_service": fail_service,
    "kill_proxy": kill_proxy,
    "kill_herd": kill_herd,
    "restart_in_turn": restart_in_turn,
    "freeze_proxy": freeze_proxy,
    "isolate_proxy": isolate_proxy,
    "cut_proxies_from_cores": cut_proxies_from_cores,
    "lose_store_power": lose_store_power,
    "lose_store_disk": lose_store_disk,
    "swap_core": swap_core,
    "swap_two_cores": swap_two_cores,
    "swap_while_split": swap_while_split,
    "restart_all_cores": restart_all_cores,
    "jump_clock": jump_clock,
    "cut_one_core": cut_one_core,
    "split_all_cores": split_all_cores,
    "freeze_registry": freeze_registry,
    "freeze_store": freeze_store,
    "burst_layouts": burst_layouts,
    "race_operators": race_operators,
    "large_layout": large_layout,
    "plan_pause": plan_pause,
}

# Faults under which callers of the failing service can not all be served.
UNSERVABLE: typing.Final = frozenset({"fail_service", "promise"})


@dataclasses.dataclass(slots=True)
class Verdict:
    """What came of one day."""

    seed: int
    shape: str
    faults: list[str]
    breaches: dict[str, list[str]]
    figures: dict[str, typing.Any]
    notes: list[tuple[float, str]]


async def day(
    shape: shapes.Shape,
    seed: int,
    scratch: pathlib.Path,
    faults: typing.Sequence[str],
    scale: float = 0.1,
    tail: float = 20.0,
    bounds: dict[str, typing.Any] | None = None,
) -> Verdict:
    """A fleet with traffic, some faults one after another, then calm."""
    fleet = fleets.SimFleet(shape, seed, scratch, scale, bounds)
    stage = Stage(fleet, random.Random(seed + 3))
    up = await fleet.start()
    traffic = fleet.spawn(fleet.callers.drive(100000.0, scale))
    await asyncio.sleep(1.0)
    for name in faults:
        stage.note(name)
        await FAULTS[name](stage)
        await asyncio.sleep(1.0)
    calm = stage.now
    await asyncio.sleep(tail)
    fleet.callers.halt()
    await traffic
    story = stage.story
    story.asks = list(fleet.record.asks.values())
    story.runs = dict(fleet.record.runs)
    story.hits = fleet.hits
    story.owners = {n: e.service for n, e in fleet.endpoints.items()}
    story.left = fleet.left
    story.puts, story.gots, story.samples = fleet.puts, fleet.gots, fleet.samples
    story.calm, story.end = calm, stage.now
    for node in fleet.world.nodes.values():
        if node.flaw:
            story.crashes.append(f"{node.name}: {node.flaw}")
    if UNSERVABLE & set(faults):
        story.away_most = len(story.asks)
    figures = callers.tally(fleet.record, story.expiry_s)
    figures["up_s"] = round(up, 2)
    figures["hits"] = len(fleet.hits)
    return Verdict(seed, shape.name, list(faults), histories.judge(story), figures, stage.notes)
