"""Failures of the network: one-way cuts, packet loss, slow links, loss of a whole zone."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages

Names = list[str]


def _names_by_kind(stage: stages.Stage) -> dict[str, Names]:
    """Return the names of the machines of each kind."""
    return {
        "registries": [c.registry.name for c in stage.fleet.cores],
        "stores": [c.store.name for c in stage.fleet.cores],
        "proxies": stage.edge_names(),
        "endpoints": stage.live_endpoints(),
    }


# The kinds of machines that call each other: caller, callee.
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
    """Some machines of one kind cannot send to some of another; four pairs of kinds in turn."""
    for sender, receiver in stage.rng.sample(PAIRS, 4):
        names_by_kind = _names_by_kind(stage)
        senders = stage.rng.sample(names_by_kind[sender], max(1, len(names_by_kind[sender]) // 3))
        receivers = stage.rng.sample(names_by_kind[receiver], max(1, len(names_by_kind[receiver]) // 3))
        if stage.rng.random() < 0.5:
            senders, receivers = receivers, senders
        stage.note(f"{sender} to {receiver}: {senders[:3]} cannot send to {receivers[:3]}")
        stage.links.cut(senders, receivers, both=False)
        await asyncio.sleep(1.0)
        await stage.fleet.put(stage.layout(), stage.core(), wait=3.0)
        await asyncio.sleep(2.0)
        stage.links.heal()
        await asyncio.sleep(1.0)


async def cut_endpoint_from_proxies(stage: stages.Stage) -> None:
    """Proxies cannot reach an endpoint whose probes all succeed."""
    name = stage.rng.choice(stage.live_endpoints())
    stage.links.cut(stage.edge_names(), [name], both=stage.rng.random() < 0.5)
    await asyncio.sleep(6.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def cut_endpoint_from_cores(stage: stages.Stage) -> None:
    """The cores cannot reach a working endpoint: it is marked, expires, and returns."""
    name = stage.rng.choice(stage.live_endpoints())
    stage.links.cut(stage.core_names(), [name], both=stage.rng.random() < 0.5)
    await asyncio.sleep(6.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def cut_core_from_its_store(stage: stages.Stage) -> None:
    """A registry and the store of its core cannot reach each other."""
    core = stage.core()
    stage.links.cut([core.registry.name], [core.store.name])
    await asyncio.sleep(1.0)
    await stage.change(core)
    await stage.fleet.get(core)
    await asyncio.sleep(4.0)
    stage.links.heal()
    await stage.fleet.get(core)


async def lose_packets(stage: stages.Stage) -> None:
    """One packet in twenty is lost everywhere, and some machines have slow links."""
    slow = stage.rng.sample(stage.edge_names() + stage.core_names() + stage.live_endpoints(), 4)
    stage.links.loss = 0.05
    stage.links.slow = dict.fromkeys(slow, 0.05)
    # A lost packet is resent half a second later, and a call needs several packets.
    stage.story.link_delay_s = 0.75
    for _ in range(3):
        await stage.change()
        await asyncio.sleep(2.0)
    stage.links.loss = 0.0
    stage.links.slow = {}


async def lose_zone(stage: stages.Stage) -> None:
    """A whole zone with its cores, proxies and endpoints loses power, and returns."""
    fleet = stage.fleet
    zones = [z for z in fleet.shape.zones if any(c.zone == z for c in fleet.cores)]
    zone = stage.rng.choice(zones)
    cores = [c for c in fleet.cores if c.zone == zone]
    edges = [e for e in stage.up_edges() if e.zone == zone]
    names = [n for n in stage.live_endpoints() if fleet.endpoints[n].zone == zone]
    slots = [n for n, e in fleet.endpoints.items() if e.zone == zone and e in _slots(stage)]
    started_at = stage.now
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
    stage.mark_gone(edges, started_at)
    await asyncio.sleep(4.0)
    await fleet.get(cores[0])


def _slots(stage: stages.Stage) -> list[typing.Any]:
    rotated = {s.name for s in stage.fleet.slots}
    return [e for e in stage.fleet.endpoints.values() if e.service in rotated]


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "cut_one_way": cut_one_way,
    "cut_endpoint_from_proxies": cut_endpoint_from_proxies,
    "cut_endpoint_from_cores": cut_endpoint_from_cores,
    "cut_core_from_its_store": cut_core_from_its_store,
    "lose_packets": lose_packets,
    "lose_zone": lose_zone,
}
