"""A what-if question put to a fleet of real processes, to hold the simulator to it."""

import asyncio
import signal
import typing

import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.whatif as whatif
import dykeswitch.standin.caller as clients
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes

# What both kinds of fleet tell, and by how much the real one may differ.
ALIKE: typing.Final = ("replied_share", "unknown", "turned_away", "machine_gone", "p50_ms", "p99_ms")


def _processes(fleet: real.Fleet, event: whatif.Event) -> list[real.Process]:
    """Whom an event is about."""
    found: list[real.Process] = []
    for registry, store in fleet.cores:
        if (event.target, event.name) in (("core", registry.name), ("zone", registry.flags["zone"])):
            found += [store, registry]
    for proxy in fleet.proxies:
        if (event.target, event.name) in (("proxy", proxy.name), ("zone", proxy.flags["zone"])):
            found.append(proxy)
    for host in fleet.hosts:
        addresses = {"zone": host.spec["zone"], "service": host.spec["service"], "endpoint": host.name}
        if addresses.get(event.target) == event.name:
            found.append(host)
    return found


async def _play(fleet: real.Fleet, event: whatif.Event) -> None:
    await asyncio.sleep(event.at)
    gone = _processes(fleet, event)
    for process in gone:
        process.send_signal(signal.SIGKILL)
    await asyncio.gather(*(process.wait_exit(5) for process in gone))
    await asyncio.sleep(event.span)
    for process in gone:
        process.start()


async def ask(
    shape: shapes.Shape, variant: whatif.Variant, seed: int, span: float, scale: float
) -> dict[str, typing.Any]:
    """What callers of real processes see; only what a signal can do is played."""
    async with real.running(shape, seed) as fleet:
        await fleet.start()
        await asyncio.sleep(scenarios.SETTLED_S)
        for event in variant.events:
            fleet.spawn(_play(fleet, event))
        await fleet.clients.run_traffic(span, scale)
        fleet.collect_records()
        return whatif.page("real processes", [clients.summarize(fleet.record, 10.0)])


def compare(simulated: dict[str, typing.Any], found: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """The same figures of both, side by side."""
    return {key: {"simulated": simulated[key], "real": found[key]} for key in ALIKE}
