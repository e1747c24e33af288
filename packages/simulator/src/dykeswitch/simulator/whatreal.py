"""Runs a what-if variant on a fleet of real processes, to validate the simulator."""

import asyncio
import signal
import typing

import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.whatif as whatif
import dykeswitch.standin.caller as clients
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes

# The figures that are compared between both kinds of fleet.
COMPARED: typing.Final = ("replied_share", "unknown", "turned_away", "machine_gone", "p50_ms", "p99_ms")


def _processes(fleet: real.Fleet, event: whatif.Event) -> list[real.Process]:
    """Return the processes that an event applies to."""
    matching: list[real.Process] = []
    for registry, store in fleet.cores:
        if (event.target, event.name) in (("core", registry.name), ("zone", registry.flags["zone"])):
            matching += [store, registry]
    for proxy in fleet.proxies:
        if (event.target, event.name) in (("proxy", proxy.name), ("zone", proxy.flags["zone"])):
            matching.append(proxy)
    for host in fleet.hosts:
        addresses = {"zone": host.spec["zone"], "service": host.spec["service"], "endpoint": host.name}
        if addresses.get(event.target) == event.name:
            matching.append(host)
    return matching


async def _play(fleet: real.Fleet, event: whatif.Event) -> None:
    await asyncio.sleep(event.start_s)
    killed = _processes(fleet, event)
    for process in killed:
        process.send_signal(signal.SIGKILL)
    await asyncio.gather(*(process.wait_exit(5) for process in killed))
    await asyncio.sleep(event.duration_s)
    for process in killed:
        process.start()


async def run(
    shape: shapes.Shape, variant: whatif.Variant, seed: int, duration_s: float, scale: float
) -> dict[str, typing.Any]:
    """Return what clients of real processes see; each event is played as SIGKILL and a later restart."""
    async with real.running(shape, seed) as fleet:
        await fleet.start()
        await asyncio.sleep(scenarios.SETTLED_S)
        for event in variant.events:
            fleet.spawn(_play(fleet, event))
        await fleet.clients.run_traffic(duration_s, scale)
        fleet.collect_records()
        return whatif.combine("real processes", [clients.summarize(fleet.record, 10.0)])


def compare(simulated: dict[str, typing.Any], measured: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the figures of both side by side."""
    return {key: {"simulated": simulated[key], "real": measured[key]} for key in COMPARED}
