"""Failures of the network: one-way cuts, loss, slow wires, a whole zone."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

Names = list[str]


def _sides(stage: stages.Stage) -> dict[str, Names]:
    """Every kind of machine, by name."""
    return {
        "registries": [c.registry.name for c in stage.fleet.cores],
        "stores": [c.store.name for c in stage.fleet.cores],
        "proxies": stage.edge_names(),
        "endpoints": stage.live_endpoints(),
    }


# Pairs of kinds between which calls are made, in the direction of the call.
PAIRS: typing.Final = (
    ("proxies", "registries"),
    ("registries", "proxies"),
    ("proxies", "proxies"),
    ("registries", "registries"),
    ("registries", "stores"),
    ("endpoints", "registries"),
    ("proxies", "endpoints"),
    ("registries", "endpoints"),
)


async def cut_one_way(stage: stages.Stage) -> None:
    """Some of one kind lose one direction towards some of another; each pair in turn."""
    for near, far in stage.rng.sample(PAIRS, 4):
        sides = _sides(stage)
        ones = stage.rng.sample(sides[near], max(1, len(sides[near]) // 3))
        twos = stage.rng.sample(sides[far], max(1, len(sides[far]) // 3))
        if stage.rng.random() < 0.5:
            ones, twos = twos, ones
        stage.note(f"{near} to {far}: {ones[:3]} can not send to {twos[:3]}")
        stage.links.cut(ones, twos, both=False)
        await asyncio.sleep(1.0)
        await stage.fleet.put(stage.layout(), stage.core(), wait=3.0)
        await asyncio.sleep(2.0)
        stage.links.heal()
        await asyncio.sleep(1.0)


async def cut_endpoint_from_proxies(stage: stages.Stage) -> None:
    """Proxies do not reach an endpoint whose probes all succeed."""
    name = stage.rng.choice(stage.live_endpoints())
    stage.links.cut(stage.edge_names(), [name], both=stage.rng.random() < 0.5)
    await asyncio.sleep(6.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def cut_endpoint_from_cores(stage: stages.Stage) -> None:
    """The cores do not reach an endpoint that serves: it is marked, lapses, and comes back."""
    name = stage.rng.choice(stage.live_endpoints())
    stage.links.cut(stage.core_names(), [name], both=stage.rng.random() < 0.5)
    await asyncio.sleep(6.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def cut_core_from_its_store(stage: stages.Stage) -> None:
    core = stage.core()
    stage.links.cut([core.registry.name], [core.store.name])
    await asyncio.sleep(1.0)
    await stage.change(core)
    await stage.fleet.get(core)
    await asyncio.sleep(4.0)
    stage.links.heal()
    await stage.fleet.get(core)


async def lose_packets(stage: stages.Stage) -> None:
    """One packet in twenty is lost everywhere, and some machines are far away."""
    slow = stage.rng.sample(stage.edge_names() + stage.core_names() + stage.live_endpoints(), 4)
    stage.links.loss = 0.05
    stage.links.slow = dict.fromkeys(slow, 0.05)
    # A packet that was lost comes half a second late, and a call takes several.
    stage.story.link_delay_s = 0.75
    for _ in range(3):
        await stage.change()
        await asyncio.sleep(2.0)
    stage.links.loss = 0.0
    stage.links.slow = {}


async def lose_zone(stage: stages.Stage) -> None:
    """A whole zone goes dark, with its core, edges and endpoints, and comes back."""
    fleet = stage.fleet
    zones = [z for z in fleet.shape.zones if any(c.zone == z for c in fleet.cores)]
    zone = stage.rng.choice(zones)
    cores = [c for c in fleet.cores if c.zone == zone]
    edges = [e for e in stage.up_edges() if e.zone == zone]
    names = [n for n in stage.live_endpoints() if fleet.endpoints[n].zone == zone]
    slots = [n for n, e in fleet.endpoints.items() if e.zone == zone and e in _slots(stage)]
    begun = stage.now
    await stage.change(cores[0])
    for node in [n for c in cores for n in (c.store, c.registry)] + [e.node for e in edges]:
        node.lose_power()
    for name in names + slots:
        stage.links.powered_off.add(name)
        fleet.kill_endpoint(name)
    await asyncio.sleep(3.0)
    await stage.change()
    await asyncio.sleep(4.0)
    for node in [n for c in cores for n in (c.store, c.registry)] + [e.node for e in edges]:
        node.restart()
    for name in names + slots:
        stage.links.powered_off.discard(name)
        fleet.start_endpoint(fleet.endpoints[name])
    stage.mark_gone(edges, begun)
    await asyncio.sleep(4.0)
    await fleet.get(cores[0])


def _slots(stage: stages.Stage) -> list[typing.Any]:
    kept = {s.name for s in stage.fleet.slots}
    return [e for e in stage.fleet.endpoints.values() if e.service in kept]


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "cut_one_way": cut_one_way,
    "cut_endpoint_from_proxies": cut_endpoint_from_proxies,
    "cut_endpoint_from_cores": cut_endpoint_from_cores,
    "cut_core_from_its_store": cut_core_from_its_store,
    "lose_packets": lose_packets,
    "lose_zone": lose_zone,
}
