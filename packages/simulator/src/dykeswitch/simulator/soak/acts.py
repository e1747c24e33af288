"""The acts of a soak in addition to those of `trial --real`: repeated and applied to many processes."""

import asyncio
import math
import signal
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.realfaults as realfaults
import dykeswitch.standin.caller as clients
import dykeswitch.standin.fleet as real
from dykeswitch.simulator.realstage import RealStage

# Pause between two steps of a series.
MIN_GAP_S: typing.Final = 0.5
MAX_GAP_S: typing.Final = 3.0
# Time for a graceful stop before SIGKILL, and the number of repetitions in a series.
STOP_TIMEOUT_S: typing.Final = histories.GRACE_S + 1.5
REPETITIONS: typing.Final = 5
# How long clients keep one behavior.
BEHAVIOR_S: typing.Final = 5.0


def _random_gap(stage: RealStage) -> float:
    return stage.rng.uniform(MIN_GAP_S, MAX_GAP_S)


async def stop_gracefully(stage: RealStage, process: real.Process) -> None:
    """Stop a process with SIGTERM; report a crash if it needs SIGKILL or exits with an error."""
    started_at = stage.now
    # Closed until the process is back; `RealStage.restart` sets the end.
    stage.story.closed.append(histories.Span(process.web, started_at, math.inf))
    # A process that is not up yet has no requests and perhaps no signal handler: it may die of SIGTERM.
    was_up = process.is_up()
    process.send_signal(signal.SIGTERM)
    code = await process.wait_exit(STOP_TIMEOUT_S)
    stage.story.stops.append(histories.Span(process.web, started_at, stage.now))
    if code is None:
        stage.story.crashes.append(f"{process.name} had to be killed {STOP_TIMEOUT_S} s after SIGTERM")
        await stage.kill(process)
    elif code != 0 and (was_up or code != -signal.SIGTERM):
        stage.story.crashes.append(f"{process.name} exited with {code} on SIGTERM")


async def roll_proxies(stage: RealStage) -> None:
    """Every proxy is stopped and restarted, up to half of them at the same time."""
    permits = asyncio.Semaphore(max(1, len(stage.fleet.proxies) // 2))

    async def restart_proxy(proxy: real.Process) -> None:
        async with permits:
            await stop_gracefully(stage, proxy)
            stage.restart(proxy)
            await _wait_ready(stage, proxy)

    async with asyncio.TaskGroup() as group:
        for proxy in list(stage.fleet.proxies):
            group.create_task(restart_proxy(proxy))
            await asyncio.sleep(_random_gap(stage))


async def _wait_ready(stage: RealStage, proxy: real.Process) -> None:
    """Wait until the platform has seen a proxy ready, as a rolling restart does."""
    started_at = stage.now
    while (  # noqa: ASYNC110
        proxy.web not in stage.fleet.clients.ready and stage.now - started_at < histories.RECOVER_S
    ):
        await asyncio.sleep(0.1)


async def stop_with_work_in_hand(stage: RealStage) -> None:
    """A proxy stops while it has requests that take one to four seconds."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    services = stage.fleet.shape.services
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(service, proxy.web, f"&work={work_s}"))
        for service in services
        for work_s in (1, 2, 4)
    ]
    await asyncio.sleep(0.3)
    await stop_gracefully(stage, proxy)
    await asyncio.gather(*requests)
    stage.restart(proxy)
    await _wait_ready(stage, proxy)


async def move_proxy(stage: RealStage) -> None:
    """A proxy is stopped and restarted at new addresses."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    await stop_gracefully(stage, proxy)
    await stage.fleet.change_addresses(proxy)
    stage.restart(proxy)
    await _wait_ready(stage, proxy)


async def freeze_proxies_in_turn(stage: RealStage) -> None:
    """Up to three proxies are frozen briefly, one after another."""
    for proxy in stage.rng.sample(stage.fleet.proxies, min(3, len(stage.fleet.proxies))):
        started_at = stage.now
        proxy.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stage.rng.uniform(0.2, 2.5))
        proxy.send_signal(signal.SIGCONT)
        stage.mark_gone([proxy], started_at)
        await asyncio.sleep(_random_gap(stage))


async def roll_registries(stage: RealStage) -> None:
    """Every registry is stopped and restarted, one after another."""
    for registry, _ in list(stage.fleet.cores):
        await stop_gracefully(stage, registry)
        stage.restart(registry)
        await asyncio.sleep(2.0 + _random_gap(stage))


async def row_of_changes(stage: RealStage) -> None:
    """Several layouts in succession, each through any core."""
    for _ in range(REPETITIONS):
        await stage.put(stage.core())
        await asyncio.sleep(stage.rng.uniform(0.1, 1.0))
    await stage.get(stage.core())


async def broken_changes(stage: RealStage) -> None:
    """Several invalid layouts, then a valid one."""
    for _ in range(REPETITIONS):
        invalid = stage.layout()
        invalid["rules"].append({"path": "/x", "service": "nobody-knows"})
        put = await stage.put(stage.core(), invalid)
        stage.story.broken_bodies.add(put.body)
        await asyncio.sleep(0.2)
    await stage.put(stage.core())


async def odd_endpoints(stage: RealStage) -> None:
    """Endpoints that hang, reset, refuse or fail are started and stopped."""
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
    """Repeated SIGHUP to random processes, whether starting, serving or stopping."""
    for _ in range(4 * REPETITIONS):
        processes = [*stage.fleet.proxies, *(process for core in stage.fleet.cores for process in core)]
        running = [process for process in processes if process.running()]
        if running:
            stage.rng.choice(running).send_signal(signal.SIGHUP)
        await asyncio.sleep(stage.rng.uniform(0.05, 0.6))


async def row_of_repeated_stops(stage: RealStage) -> None:
    """Another SIGTERM to proxies and registries that are already stopping."""
    for _ in range(4 * REPETITIONS):
        processes = [*stage.fleet.proxies, *(registry for registry, _ in stage.fleet.cores)]
        stopping = [process for process in processes if process.running() and process.end_requested]
        if stopping:
            stage.rng.choice(stopping).send_signal(signal.SIGTERM)
        await asyncio.sleep(stage.rng.uniform(0.1, 0.6))


def with_behavior(**behavior: typing.Any) -> realfaults.Act:
    """Give the clients another behavior for a while."""

    async def act(stage: RealStage) -> None:
        stage.fleet.clients.behavior = clients.ClientBehavior(**behavior)
        await asyncio.sleep(BEHAVIOR_S)
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
    # Few requests over many kept connections, so that each connection is idle for long between two.
    "callers_rest": with_behavior(kept_share=1.0),
    "callers_try_again": with_behavior(kept_share=0.7, tries=2),
    "callers_stay": with_behavior(kept_share=0.95),
}
