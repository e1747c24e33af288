"""The faults of a day on real processes, each with its name."""

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
    """A proxy is killed and comes back."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    begun = stage.now
    await stage.kill(proxy)
    await asyncio.sleep(1)
    stage.again(proxy)
    stage.mark_gone([proxy], begun)
    await asyncio.sleep(3)


async def kill_herd(stage: RealStage) -> None:
    """Half of the proxies are killed at once and come back."""
    killed = stage.rng.sample(stage.fleet.proxies, len(stage.fleet.proxies) // 2)
    begun = stage.now
    for proxy in killed:
        await stage.kill(proxy)
    await asyncio.sleep(1)
    for proxy in killed:
        stage.again(proxy)
    stage.mark_gone(killed, begun)
    await asyncio.sleep(4)


async def restart_in_turn(stage: RealStage) -> None:
    """Proxies stop in order and come back, one after the other."""
    for proxy in stage.fleet.proxies[:3]:
        begun = stage.now
        proxy.send_signal(signal.SIGTERM)
        code = await proxy.wait_exit(7.5)
        stage.story.stops.append(histories.Span(proxy.web, begun, stage.now))
        stage.notes[f"stop {proxy.name}"] = [code, round(stage.now - begun, 2)]
        if code != 0:
            stage.story.crashes.append(f"{proxy.name} ended with {code}")
            await stage.kill(proxy)
        stage.again(proxy)
        await asyncio.sleep(2)


async def freeze_proxy(stage: RealStage) -> None:
    """A proxy is frozen while a layout and an endpoint change."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    begun = stage.now
    proxy.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(4)
    proxy.send_signal(signal.SIGCONT)
    stage.mark_gone([proxy], begun)
    await asyncio.sleep(3)


async def isolate_proxy(stage: RealStage) -> None:
    """Cut off from every other node, while callers hold on to it, a rule moves, one leaves."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    names = [p.name for p in stage.fleet.proxies] + [registry.name for registry, _ in stage.fleet.cores]
    stage.fleet.relay.cut([proxy.name], names)
    holding = asyncio.create_task(_keep_sending(stage, proxy, 9.0))
    await asyncio.sleep(0.5)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(5.0)
    if not stage.fleet.relay.blocked_count:
        stage.story.crashes.append("the cut held nothing back")
    await stage.fleet.relay.heal()
    await holding
    await asyncio.sleep(2.0)


async def _keep_sending(stage: RealStage, proxy: real.Process, span: float) -> None:
    """Callers that come to one proxy all the time, whatever the platform or it may say."""
    crowd, end = stage.fleet.clients, stage.now + span

    async def send_ignoring_readiness() -> None:
        request = await crowd.send_request(stage.rng.choice(stage.fleet.shape.services), proxy.web)
        stage.story.ignoring_readiness.add(request.name)

    async with asyncio.TaskGroup() as group:
        while stage.now < end:
            await asyncio.sleep(0.1)
            group.create_task(send_ignoring_readiness())
            group.create_task(crowd.check_route(proxy.web))


async def cut_proxies_from_cores(stage: RealStage) -> None:
    """Half the proxies lose every core but still reach the other half."""
    half = stage.rng.sample(stage.fleet.proxies, len(stage.fleet.proxies) // 2)
    stage.fleet.relay.cut([p.name for p in half], [registry.name for registry, _ in stage.fleet.cores])
    await asyncio.sleep(2.0)
    await stage.put(stage.core())
    await asyncio.sleep(4.0)
    await stage.fleet.relay.heal()
    await asyncio.sleep(2.0)


async def split_registries(stage: RealStage) -> None:
    """Registries reach proxies and stores, and not each other."""
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
    begun = stage.now

    async def seated() -> bool:
        try:
            reply = await stage.fleet.machine.web.request("GET", store.web, "/readyz", [], b"", 1)
        except (OSError, TimeoutError):
            return False
        return reply.status == 200

    while not await seated():
        if stage.now - begun > 15:
            stage.story.crashes.append("a wiped store was not seated within 15 s")
            return
        await asyncio.sleep(0.1)
    stage.notes["wiped store seated after s"] = round(stage.now - begun, 2)
    await asyncio.sleep(2)
    await stage.get(core)


async def kill_endpoint(stage: RealStage) -> None:
    """An endpoint is killed, and another comes."""
    host = stage.rng.choice(stage.live())
    await stage.kill(host)
    await asyncio.sleep(2)
    stage.new_host(host.spec["service"], stage.fleet.address())
    await asyncio.sleep(2)


async def roll_endpoints(stage: RealStage) -> None:
    """Endpoints of a service are replaced, one after the other."""
    service = stage.rng.choice(stage.fleet.shape.services).name
    for host in stage.live(service)[:3]:
        stage.new_host(service, stage.fleet.address())
        await asyncio.sleep(1.5)
        host.send_signal(signal.SIGTERM)
        await host.wait_exit(8)


async def hand_over_address(stage: RealStage) -> None:
    """An endpoint's address goes to another service."""
    host = stage.rng.choice(stage.live())
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
    """Four layouts at once, and one that is broken."""
    await asyncio.gather(*(stage.put(stage.core()) for _ in range(4)))
    broken = stage.layout()
    broken["rules"].append({"path": "/x", "service": "nobody-knows"})
    put = await stage.put(stage.core(), broken)
    stage.story.broken_bodies.add(put.body)
    await stage.get(stage.core())


async def large_layout(stage: RealStage) -> None:
    """A layout of some megabytes."""
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
    """Orderly stops of every registry and store, layouts coming meanwhile."""
    for core in stage.fleet.cores:
        for process in core:
            begun = stage.now
            changing = asyncio.create_task(stage.put(stage.core()))
            process.send_signal(signal.SIGTERM)
            code = await process.wait_exit(histories.GRACE_S + 1)
            stage.notes[f"stop {process.name}"] = [code, round(stage.now - begun, 2)]
            if code != 0:
                stage.story.crashes.append(f"{process.name} ended with {code}")
                await stage.kill(process)
            await changing
            stage.again(process)
            await asyncio.sleep(3)
    await stage.get(stage.core())


async def stop_with_long_work(stage: RealStage) -> None:
    """Work of 3, 5 and 8 s is in hand when the polite signal comes."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    writing = next(s for s in stage.fleet.shape.services if s.writing)
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(writing, proxy.web, f"&work={span}"))
        for span in (3, 5, 8)
    ]
    await asyncio.sleep(0.2)
    begun = stage.now
    proxy.send_signal(signal.SIGTERM)
    code = await proxy.wait_exit(histories.GRACE_S + 1)
    took = stage.now - begun
    stage.story.stops.append(histories.Span(proxy.web, begun, stage.now))
    done = await asyncio.gather(*requests)
    seen = [(a.status, a.result, a.retry_after) for a in done]
    stage.notes["long work over a stop"] = [code, round(took, 2), seen]
    if seen != [(200, 0, False), (200, 0, False), (504, 109, False)] or took > histories.GRACE_S:
        stage.story.crashes.append(f"work in hand at an orderly stop of {took:.2f} s got {seen}")
    stage.again(proxy)
    await asyncio.sleep(3)


async def restart_all_cores(stage: RealStage) -> None:
    """All cores are killed right after they acknowledged a layout."""
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
