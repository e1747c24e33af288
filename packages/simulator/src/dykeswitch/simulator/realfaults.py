"""The faults that are run on real processes, by name."""

import asyncio
import pathlib
import shutil
import signal
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.standin.fleet as real
from dykeswitch.simulator.realstage import RealStage

Act = typing.Callable[[RealStage], typing.Awaitable[None]]


async def kill_proxy(stage: RealStage) -> None:
    """A proxy is killed and restarted."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    started_at = stage.now
    await stage.kill(proxy)
    await asyncio.sleep(1)
    stage.restart(proxy)
    stage.mark_gone([proxy], started_at)
    await asyncio.sleep(3)


async def kill_herd(stage: RealStage) -> None:
    """Half the proxies are killed at once and restarted."""
    killed = stage.rng.sample(stage.fleet.proxies, len(stage.fleet.proxies) // 2)
    started_at = stage.now
    for proxy in killed:
        await stage.kill(proxy)
    await asyncio.sleep(1)
    for proxy in killed:
        stage.restart(proxy)
    stage.mark_gone(killed, started_at)
    await asyncio.sleep(4)


async def restart_in_turn(stage: RealStage) -> None:
    """Proxies are stopped gracefully and restarted, one after another."""
    for proxy in stage.fleet.proxies[:3]:
        started_at = stage.now
        proxy.send_signal(signal.SIGTERM)
        code = await proxy.wait_exit(7.5)
        stage.story.stops.append(histories.Span(proxy.web, started_at, stage.now))
        stage.notes[f"stop {proxy.name}"] = [code, round(stage.now - started_at, 2)]
        if code != 0:
            stage.story.crashes.append(f"{proxy.name} exited with {code}")
            await stage.kill(proxy)
        stage.restart(proxy)
        await asyncio.sleep(2)


async def freeze_proxy(stage: RealStage) -> None:
    """A proxy is frozen while the layout changes and an endpoint leaves."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    started_at = stage.now
    proxy.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live_hosts())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(4)
    proxy.send_signal(signal.SIGCONT)
    stage.mark_gone([proxy], started_at)
    await asyncio.sleep(3)


async def isolate_proxy(stage: RealStage) -> None:
    """A proxy is cut off from all nodes while its clients stay, a rule changes and an endpoint leaves."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    names = [p.name for p in stage.fleet.proxies] + [registry.name for registry, _ in stage.fleet.cores]
    stage.fleet.relay.cut([proxy.name], names)
    sending = asyncio.create_task(_keep_sending(stage, proxy, 9.0))
    await asyncio.sleep(0.5)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live_hosts())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(5.0)
    if not stage.fleet.relay.blocked_count:
        stage.story.crashes.append("the cut kept back no packets")
    await stage.fleet.relay.heal()
    await sending
    await asyncio.sleep(2.0)


async def _keep_sending(stage: RealStage, proxy: real.Process, duration_s: float) -> None:
    """Send requests to one proxy continuously, whether or not the platform or it reports it ready."""
    clients, end = stage.fleet.clients, stage.now + duration_s

    async def send_ignoring_readiness() -> None:
        request = await clients.send_request(stage.rng.choice(stage.fleet.shape.services), proxy.web)
        stage.story.ignoring_readiness.add(request.name)

    async with asyncio.TaskGroup() as group:
        while stage.now < end:
            await asyncio.sleep(0.1)
            group.create_task(send_ignoring_readiness())
            group.create_task(clients.check_route(proxy.web))


async def cut_proxies_from_cores(stage: RealStage) -> None:
    """Half the proxies reach no core but still reach the other half of the proxies."""
    half = stage.rng.sample(stage.fleet.proxies, len(stage.fleet.proxies) // 2)
    stage.fleet.relay.cut([p.name for p in half], [registry.name for registry, _ in stage.fleet.cores])
    await asyncio.sleep(2.0)
    await stage.put(stage.core())
    await asyncio.sleep(4.0)
    await stage.fleet.relay.heal()
    await asyncio.sleep(2.0)


async def split_registries(stage: RealStage) -> None:
    """Registries reach proxies and stores, but not each other."""
    names = [registry.name for registry, _ in stage.fleet.cores]
    stage.fleet.relay.cut(names, names)
    await asyncio.sleep(1.0)
    await asyncio.gather(*(stage.put(core) for core in stage.fleet.cores))
    await asyncio.sleep(4.0)
    await stage.fleet.relay.heal()
    await stage.get(stage.core())
    await asyncio.sleep(2.0)


async def kill_core_after_ack(stage: RealStage) -> None:
    """A core is killed right after it acknowledged a layout."""
    core = stage.core()
    await stage.put(core)
    for process in core:
        await stage.kill(process)
    await stage.get(stage.core())
    await asyncio.sleep(3)
    for process in reversed(core):
        process.start()
    await asyncio.sleep(3)
    await stage.get(core)


async def wipe_disk_after_ack(stage: RealStage) -> None:
    """A store loses its disk right after its core acknowledged a layout."""
    core = stage.core()
    await stage.put(core)
    store = core[1]
    await stage.kill(store)
    data = pathlib.Path(store.flags["data"])
    await asyncio.to_thread(shutil.rmtree, data)
    await asyncio.to_thread(data.mkdir)
    await asyncio.sleep(1)
    store.start()
    started_at = stage.now

    async def voting() -> bool:
        try:
            response = await stage.fleet.machine.web.request("GET", store.web, "/readyz", [], b"", 1)
        except (OSError, TimeoutError):
            return False
        return response.status == 200

    while not await voting():
        if stage.now - started_at > 15:
            stage.story.crashes.append("a wiped store did not vote again within 15 s")
            return
        await asyncio.sleep(0.1)
    stage.notes["wiped store seated after s"] = round(stage.now - started_at, 2)
    await asyncio.sleep(2)
    await stage.get(core)


async def kill_endpoint(stage: RealStage) -> None:
    """An endpoint is killed and replaced."""
    host = stage.rng.choice(stage.live_hosts())
    await stage.kill(host)
    await asyncio.sleep(2)
    stage.new_host(host.spec["service"], stage.fleet.address())
    await asyncio.sleep(2)


async def roll_endpoints(stage: RealStage) -> None:
    """Endpoints of a service are replaced one after another."""
    service = stage.rng.choice(stage.fleet.shape.services).name
    for host in stage.live_hosts(service)[:3]:
        stage.new_host(service, stage.fleet.address())
        await asyncio.sleep(1.5)
        host.send_signal(signal.SIGTERM)
        await host.wait_exit(8)


async def hand_over_address(stage: RealStage) -> None:
    """An endpoint's address goes to another service."""
    host = stage.rng.choice(stage.live_hosts())
    other = stage.rng.choice([s for s in stage.fleet.shape.services if s.name != host.spec["service"]])
    await stage.kill(host)
    stage.new_host(other.name, host.spec["spot"])
    stage.new_host(host.spec["service"], stage.fleet.address())
    await asyncio.sleep(5)


async def freeze_registry(stage: RealStage) -> None:
    """A registry is frozen for a while."""
    registry = stage.core()[0]
    registry.send_signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    registry.send_signal(signal.SIGCONT)
    await asyncio.sleep(2)


async def race_operators(stage: RealStage) -> None:
    """Four concurrent layouts, then an invalid one."""
    await asyncio.gather(*(stage.put(stage.core()) for _ in range(4)))
    invalid = stage.layout()
    invalid["rules"].append({"path": "/x", "service": "nobody-knows"})
    put = await stage.put(stage.core(), invalid)
    stage.story.broken_bodies.add(put.body)
    await stage.get(stage.core())


async def large_layout(stage: RealStage) -> None:
    """A layout of several megabytes."""
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 900}", "service": service} for n in range(4000)]
    put = await stage.put(stage.core(), doc)
    stage.notes["large layout"] = {
        "bytes": len(put.body),
        "status": put.status,
        "took_s": round(put.ended_at - put.started_at, 2),
    }
    await asyncio.sleep(3)
    await stage.put(stage.core())


async def stop_cores_in_turn(stage: RealStage) -> None:
    """Graceful stops of every registry and store, one after another, during layout changes."""
    for core in stage.fleet.cores:
        for process in core:
            started_at = stage.now
            changing = asyncio.create_task(stage.put(stage.core()))
            process.send_signal(signal.SIGTERM)
            code = await process.wait_exit(histories.GRACE_S + 1)
            stage.notes[f"stop {process.name}"] = [code, round(stage.now - started_at, 2)]
            if code != 0:
                stage.story.crashes.append(f"{process.name} exited with {code}")
                await stage.kill(process)
            await changing
            stage.restart(process)
            await asyncio.sleep(3)
    await stage.get(stage.core())


async def stop_with_long_work(stage: RealStage) -> None:
    """Requests with 3, 5 and 8 s of work are in progress when SIGTERM arrives."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    writing = next(s for s in stage.fleet.shape.services if s.writing)
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(writing, proxy.web, f"&work={work_s}"))
        for work_s in (3, 5, 8)
    ]
    await asyncio.sleep(0.2)
    started_at = stage.now
    proxy.send_signal(signal.SIGTERM)
    code = await proxy.wait_exit(histories.GRACE_S + 1)
    elapsed_s = stage.now - started_at
    stage.story.stops.append(histories.Span(proxy.web, started_at, stage.now))
    answered = await asyncio.gather(*requests)
    results = [(request.status, request.result, request.retry_after) for request in answered]
    stage.notes["long work over a stop"] = [code, round(elapsed_s, 2), results]
    if results != [(200, 0, False), (200, 0, False), (504, 109, False)] or elapsed_s > histories.GRACE_S:
        stage.story.crashes.append(
            f"requests in progress across a graceful stop of {elapsed_s:.2f} s got {results}"
        )
    stage.restart(proxy)
    await asyncio.sleep(3)


async def restart_all_cores(stage: RealStage) -> None:
    """All cores are killed right after a layout was acknowledged, and restarted."""
    await stage.put(stage.core())
    for core in stage.fleet.cores:
        for process in core:
            process.send_signal(signal.SIGKILL)
    await asyncio.sleep(2)
    for core in stage.fleet.cores:
        for process in reversed(core):
            process.start()
    await asyncio.sleep(5)
    await stage.get(stage.core())


ACTS: typing.Final[dict[str, Act]] = {
    "kill_proxy": kill_proxy,
    "kill_herd": kill_herd,
    "restart_in_turn": restart_in_turn,
    "stop_with_long_work": stop_with_long_work,
    "stop_cores_in_turn": stop_cores_in_turn,
    "freeze_proxy": freeze_proxy,
    "isolate_proxy": isolate_proxy,
    "cut_proxies_from_cores": cut_proxies_from_cores,
    "split_registries": split_registries,
    "kill_core_after_ack": kill_core_after_ack,
    "wipe_disk_after_ack": wipe_disk_after_ack,
    "kill_endpoint": kill_endpoint,
    "roll_endpoints": roll_endpoints,
    "hand_over_address": hand_over_address,
    "freeze_registry": freeze_registry,
    "race_operators": race_operators,
    "large_layout": large_layout,
    "restart_all_cores": restart_all_cores,
}
