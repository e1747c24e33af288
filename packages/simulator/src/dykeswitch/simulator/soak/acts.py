"""What a soak does beyond the acts of `trial --real`: the same in series, on many processes."""

import asyncio
import math
import signal
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.realfaults as realfaults
import dykeswitch.standin.caller as clients
import dykeswitch.standin.fleet as real
from dykeswitch.simulator.realstage import RealStage

# Between two steps of a series, in seconds.
GAP_LEAST_S: typing.Final = 0.5
GAP_MOST_S: typing.Final = 3.0
# How long a process has for an orderly stop until the hard signal; and how often a series goes on.
STOP_S: typing.Final = histories.GRACE_S + 1.5
ROW: typing.Final = 5
# How long callers come in one manner.
MANNER_S: typing.Final = 5.0


def _gap(stage: RealStage) -> float:
    return stage.rng.uniform(GAP_LEAST_S, GAP_MOST_S)


async def end_in_order(stage: RealStage, process: real.Process) -> None:
    """An orderly stop with its grace; one that needs the hard signal is told of."""
    begun = stage.now
    # Until it is back; the stage says when.
    stage.story.closed.append(histories.Span(process.web, begun, math.inf))
    # One that is not up yet has nothing in hand, and no handler perhaps: any end is in order.
    was_up = process.is_up()
    process.send_signal(signal.SIGTERM)
    code = await process.wait_exit(STOP_S)
    stage.story.stops.append(histories.Span(process.web, begun, stage.now))
    if code is None:
        stage.story.crashes.append(f"{process.name} had to be killed {STOP_S} s after SIGTERM")
        await stage.kill(process)
    elif code != 0 and (was_up or code != -signal.SIGTERM):
        stage.story.crashes.append(f"{process.name} ended with {code} on SIGTERM")


async def roll_proxies(stage: RealStage) -> None:
    """Every proxy stops and comes back; up to half of them are on their way at once."""
    away = asyncio.Semaphore(max(1, len(stage.fleet.proxies) // 2))

    async def one(proxy: real.Process) -> None:
        async with away:
            await end_in_order(stage, proxy)
            stage.again(proxy)
            await _until_ready(stage, proxy)

    async with asyncio.TaskGroup() as group:
        for proxy in list(stage.fleet.proxies):
            group.create_task(one(proxy))
            await asyncio.sleep(_gap(stage))


async def _until_ready(stage: RealStage, proxy: real.Process) -> None:
    """Wait until the platform has seen a proxy ready, as whoever rolls a fleet does."""
    begun = stage.now
    while (  # noqa: ASYNC110
        proxy.web not in stage.fleet.clients.ready and stage.now - begun < histories.RECOVER_S
    ):
        await asyncio.sleep(0.1)


async def stop_with_work_in_hand(stage: RealStage) -> None:
    """A proxy stops while it has requests that take from one to four seconds."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    services = stage.fleet.shape.services
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(service, proxy.web, f"&work={span}"))
        for service in services
        for span in (1, 2, 4)
    ]
    await asyncio.sleep(0.3)
    await end_in_order(stage, proxy)
    await asyncio.gather(*requests)
    stage.again(proxy)
    await _until_ready(stage, proxy)


async def move_proxy(stage: RealStage) -> None:
    """A proxy stops and comes back at another address among its fellows."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    await end_in_order(stage, proxy)
    await stage.fleet.change_addresses(proxy)
    stage.again(proxy)
    await _until_ready(stage, proxy)


async def freeze_proxies_in_turn(stage: RealStage) -> None:
    """One proxy after another stands still for a moment."""
    for proxy in stage.rng.sample(stage.fleet.proxies, min(3, len(stage.fleet.proxies))):
        begun = stage.now
        proxy.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stage.rng.uniform(0.2, 2.5))
        proxy.send_signal(signal.SIGCONT)
        stage.mark_gone([proxy], begun)
        await asyncio.sleep(_gap(stage))


async def roll_registries(stage: RealStage) -> None:
    """Every registry stops and comes back, one after the other."""
    for registry, _ in list(stage.fleet.cores):
        await end_in_order(stage, registry)
        stage.again(registry)
        await asyncio.sleep(2.0 + _gap(stage))


async def row_of_changes(stage: RealStage) -> None:
    """Layouts in a row, by whichever core."""
    for _ in range(ROW):
        await stage.put(stage.core())
        await asyncio.sleep(stage.rng.uniform(0.1, 1.0))
    await stage.get(stage.core())


async def broken_changes(stage: RealStage) -> None:
    """Layouts that are not valid, and one that is."""
    for _ in range(ROW):
        broken = stage.layout()
        broken["rules"].append({"path": "/x", "service": "nobody-knows"})
        put = await stage.put(stage.core(), broken)
        stage.story.broken_bodies.add(put.body)
        await asyncio.sleep(0.2)
    await stage.put(stage.core())


async def odd_endpoints(stage: RealStage) -> None:
    """Endpoints that hang, reset or refuse come, and go again."""
    services = stage.fleet.shape.services
    reading = [service for service in services if not service.writing]
    hosts = [
        stage.new_host(
            stage.rng.choice(reading).name,
            stage.fleet.address(),
            fault=stage.rng.choice(("hang", "reset", "promise", "status_502")),
            share=0.5,
        )
        for _ in range(2)
    ]
    await asyncio.sleep(4.0)
    for host in hosts:
        host.send_signal(signal.SIGTERM)
        await host.wait_exit(8)


async def row_of_hangups(stage: RealStage) -> None:
    """SIGHUP again and again, to whoever runs: starting, serving or stopping."""
    for _ in range(4 * ROW):
        processes = [*stage.fleet.proxies, *(process for core in stage.fleet.cores for process in core)]
        running = [process for process in processes if process.running()]
        if running:
            stage.rng.choice(running).send_signal(signal.SIGHUP)
        await asyncio.sleep(stage.rng.uniform(0.05, 0.6))


async def row_of_repeated_stops(stage: RealStage) -> None:
    """SIGTERM once more, to proxies and registries that are stopping already."""
    for _ in range(4 * ROW):
        processes = [*stage.fleet.proxies, *(registry for registry, _ in stage.fleet.cores)]
        stopping = [process for process in processes if process.running() and process.end_requested]
        if stopping:
            stage.rng.choice(stopping).send_signal(signal.SIGTERM)
        await asyncio.sleep(stage.rng.uniform(0.1, 0.6))


def with_behavior(**behavior: typing.Any) -> realfaults.Act:
    """Callers that come in one manner for a while."""

    async def act(stage: RealStage) -> None:
        stage.fleet.clients.behavior = clients.ClientBehavior(**behavior)
        await asyncio.sleep(MANNER_S)
        stage.fleet.clients.behavior = clients.ClientBehavior()

    return act


ACTS: typing.Final[dict[str, realfaults.Act]] = {
    **realfaults.ACTS,
    "roll_proxies": roll_proxies,
    "stop_with_work_in_hand": stop_with_work_in_hand,
    "move_proxy": move_proxy,
    "freeze_proxies_in_turn": freeze_proxies_in_turn,
    "roll_registries": roll_registries,
    "row_of_changes": row_of_changes,
    "broken_changes": broken_changes,
    "odd_endpoints": odd_endpoints,
    "row_of_hangups": row_of_hangups,
    "row_of_repeated_stops": row_of_repeated_stops,
    "callers_leave": with_behavior(kept_share=0.9, leave_share=0.6, leave_within_s=0.1),
    # So few requests over so many kept connections that each rests for long between two.
    "callers_rest": with_behavior(kept_share=1.0),
    "callers_try_again": with_behavior(kept_share=0.7, tries=2),
    "callers_stay": with_behavior(kept_share=0.95),
}
