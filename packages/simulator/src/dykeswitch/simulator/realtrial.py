"""The brief's failures on real processes, with the simulator's own checker as judge."""

import asyncio
import copy
import json
import pathlib
import shutil
import signal
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.stage as stages
import dykeswitch.standin.caller as callers
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes


class RealStage:
    """One fleet of real processes under a day of faults."""

    def __init__(self, fleet: real.Fleet) -> None:
        self.fleet = fleet
        self.clock = fleet.machine.clock
        self.rng = fleet.rng
        self.story = histories.History()
        self.marker = 0
        self.fresh = 0
        self.notes: dict[str, typing.Any] = {}
        self._boots: dict[str, int] = {}

    @property
    def now(self) -> float:
        return self.clock.now()

    def layout(self) -> dict[str, typing.Any]:
        self.marker += 1
        doc = shapes.roving(copy.deepcopy(self.fleet.shape.layout()), self.marker)
        doc["rules"].append({"path": f"/marker-{self.marker}", "service": self.fleet.shape.services[0].name})
        return doc

    def core(self) -> tuple[real.Process, real.Process]:
        return self.rng.choice(self.fleet.cores)

    async def put(
        self, core: tuple[real.Process, real.Process], doc: dict[str, typing.Any] | None = None
    ) -> fleets.Put:
        body = json.dumps(doc or self.layout(), sort_keys=True)
        put = fleets.Put(self.now, body, None)
        self.story.puts.append(put)
        try:
            reply = await self.fleet.machine.web.ask("PUT", core[0].web, "/v1/layout", [], body.encode(), 5)
            put.status = reply.status
            if reply.status == 200:
                put.version = int(json.loads(reply.body)["version"])
        except (OSError, TimeoutError):
            put.status = 0
        put.ended = self.now
        return put

    async def get(self, core: tuple[real.Process, real.Process]) -> fleets.Got:
        got = fleets.Got(self.now)
        self.story.gots.append(got)
        try:
            reply = await self.fleet.machine.web.ask("GET", core[0].web, "/v1/layout", [], b"", 5)
            got.status = reply.status
            if reply.status == 200:
                got.version = int(reply.head("dykeswitch-version") or 0)
                got.body = json.dumps(json.loads(reply.body), sort_keys=True)
        except (OSError, TimeoutError):
            got.status = 0
        got.ended = self.now
        return got

    async def sample(self) -> None:
        """Ask each proxy four times a second what it carries."""

        async def one(proxy: real.Process) -> None:
            boot = self._boots.get(proxy.name, 0)
            at = self.now
            try:
                reply = await self.fleet.machine.web.ask("GET", proxy.web, "/readyz", [], b"", 0.5)
                page = json.loads(reply.body)
            except (OSError, TimeoutError, ValueError):
                return
            # What it said was so at some moment of the call: judge by the earliest.
            ready = bool(page["ready"])
            self.story.samples.append(fleets.Sample(at, proxy.name, boot, page["layout"], ready))

        while True:
            await asyncio.gather(*(one(p) for p in self.fleet.proxies if p.running()))
            await self.clock.sleep(0.25)

    def gone(self, proxies: typing.Iterable[real.Process], begun: float) -> None:
        """Proxies were gone or frozen until now: what callers lost by it is excused."""
        for proxy in proxies:
            span = histories.Span(proxy.web, begun, self.now + stages.PLATFORM_S)
            self.story.gone.append(span)

    async def kill(self, process: real.Process) -> None:
        process.tell(signal.SIGKILL)
        await process.gone(5)

    def again(self, process: real.Process) -> None:
        self._boots[process.name] = self._boots.get(process.name, 0) + 1
        process.start()

    def new_host(self, service: str, address: str) -> real.Host:
        self.fresh += 1
        shape = next(s for s in self.fleet.shape.services if s.name == service)
        host = self.fleet.host(f"{service}-new{self.fresh}", shape, self.fresh, address)
        host.start()
        return host

    def live(self, service: str = "") -> list[real.Host]:
        kept = {s.name for s in self.fleet.slots}
        every = [h for h in self.fleet.hosts if h.running() and h.spec["service"] not in kept]
        return [h for h in every if service in ("", h.spec["service"])]


Act = typing.Callable[[RealStage], typing.Awaitable[None]]


async def kill_proxy(stage: RealStage) -> None:
    proxy = stage.rng.choice(stage.fleet.proxies)
    begun = stage.now
    await stage.kill(proxy)
    await asyncio.sleep(1)
    stage.again(proxy)
    stage.gone([proxy], begun)
    await asyncio.sleep(3)


async def kill_herd(stage: RealStage) -> None:
    herd = stage.rng.sample(stage.fleet.proxies, len(stage.fleet.proxies) // 2)
    begun = stage.now
    for proxy in herd:
        await stage.kill(proxy)
    await asyncio.sleep(1)
    for proxy in herd:
        stage.again(proxy)
    stage.gone(herd, begun)
    await asyncio.sleep(4)


async def restart_in_turn(stage: RealStage) -> None:
    for proxy in stage.fleet.proxies[:3]:
        begun = stage.now
        proxy.tell(signal.SIGTERM)
        code = await proxy.gone(7.5)
        stage.story.stops.append(histories.Span(proxy.web, begun, stage.now))
        stage.notes[f"stop {proxy.name}"] = [code, round(stage.now - begun, 2)]
        if code != 0:
            stage.story.crashes.append(f"{proxy.name} ended with {code}")
            await stage.kill(proxy)
        stage.again(proxy)
        await asyncio.sleep(2)


async def freeze_proxy(stage: RealStage) -> None:
    proxy = stage.rng.choice(stage.fleet.proxies)
    begun = stage.now
    proxy.tell(signal.SIGSTOP)
    await asyncio.sleep(1)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.tell(signal.SIGTERM)
    await asyncio.sleep(4)
    proxy.tell(signal.SIGCONT)
    stage.gone([proxy], begun)
    await asyncio.sleep(3)


async def isolate_proxy(stage: RealStage) -> None:
    """Cut off from every other node, while callers hold on to it, a rule moves, one leaves."""
    proxy = stage.rng.choice(stage.fleet.proxies)
    names = [p.name for p in stage.fleet.proxies] + [registry.name for registry, _ in stage.fleet.cores]
    stage.fleet.relay.cut([proxy.name], names)
    holding = asyncio.create_task(_hold_on(stage, proxy, 9.0))
    await asyncio.sleep(0.5)
    await stage.put(stage.core())
    host = stage.rng.choice(stage.live())
    stage.new_host(host.spec["service"], stage.fleet.address())
    host.tell(signal.SIGTERM)
    await asyncio.sleep(5.0)
    if not stage.fleet.relay.held:
        stage.story.crashes.append("the cut held nothing back")
    await stage.fleet.relay.heal()
    await holding
    await asyncio.sleep(2.0)


async def _hold_on(stage: RealStage, proxy: real.Process, span: float) -> None:
    """Callers that come to one proxy all the time, whatever the platform or it may say."""
    crowd, end = stage.fleet.callers, stage.now + span

    async def rude() -> None:
        ask = await crowd.ask(stage.rng.choice(stage.fleet.shape.services), proxy.web)
        stage.story.rude.add(ask.name)

    async with asyncio.TaskGroup() as group:
        while stage.now < end:
            await asyncio.sleep(0.1)
            group.create_task(rude())
            group.create_task(crowd.rove(proxy.web))


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
            reply = await stage.fleet.machine.web.ask("GET", store.web, "/readyz", [], b"", 1)
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
    host = stage.rng.choice(stage.live())
    await stage.kill(host)
    await asyncio.sleep(2)
    stage.new_host(host.spec["service"], stage.fleet.address())
    await asyncio.sleep(2)


async def roll_endpoints(stage: RealStage) -> None:
    service = stage.rng.choice(stage.fleet.shape.services).name
    for host in stage.live(service)[:3]:
        stage.new_host(service, stage.fleet.address())
        await asyncio.sleep(1.5)
        host.tell(signal.SIGTERM)
        await host.gone(8)


async def hand_over_address(stage: RealStage) -> None:
    host = stage.rng.choice(stage.live())
    other = stage.rng.choice([s for s in stage.fleet.shape.services if s.name != host.spec["service"]])
    await stage.kill(host)
    stage.new_host(other.name, host.spec["spot"])
    stage.new_host(host.spec["service"], stage.fleet.address())
    await asyncio.sleep(5)


async def freeze_registry(stage: RealStage) -> None:
    registry = stage.core()[0]
    registry.tell(signal.SIGSTOP)
    await asyncio.sleep(5)
    registry.tell(signal.SIGCONT)
    await asyncio.sleep(2)


async def race_operators(stage: RealStage) -> None:
    await asyncio.gather(*(stage.put(stage.core()) for _ in range(4)))
    broken = stage.layout()
    broken["rules"].append({"path": "/x", "service": "nobody-knows"})
    put = await stage.put(stage.core(), broken)
    stage.story.broken_bodies.add(put.body)
    await stage.get(stage.core())


async def large_layout(stage: RealStage) -> None:
    doc = stage.layout()
    service = stage.fleet.shape.services[0].name
    doc["rules"] += [{"path": f"/large/{n}/{'x' * 900}", "service": service} for n in range(4000)]
    put = await stage.put(stage.core(), doc)
    stage.notes["large layout"] = {
        "bytes": len(put.body),
        "status": put.status,
        "took_s": round(put.ended - put.begun, 2),
    }
    await asyncio.sleep(3)
    await stage.put(stage.core())


async def stop_cores_in_turn(stage: RealStage) -> None:
    """Orderly stops of every registry and store, layouts coming meanwhile."""
    for core in stage.fleet.cores:
        for process in core:
            begun = stage.now
            changing = asyncio.create_task(stage.put(stage.core()))
            process.tell(signal.SIGTERM)
            code = await process.gone(histories.GRACE_S + 1)
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
    asks = [
        asyncio.create_task(stage.fleet.callers.ask(writing, proxy.web, f"&work={span}"))
        for span in (3, 5, 8)
    ]
    await asyncio.sleep(0.2)
    begun = stage.now
    proxy.tell(signal.SIGTERM)
    code = await proxy.gone(histories.GRACE_S + 1)
    took = stage.now - begun
    stage.story.stops.append(histories.Span(proxy.web, begun, stage.now))
    done = await asyncio.gather(*asks)
    seen = [(a.status, a.result, a.retry_after) for a in done]
    stage.notes["long work over a stop"] = [code, round(took, 2), seen]
    if seen != [(200, 0, False), (200, 0, False), (504, 109, False)] or took > histories.GRACE_S:
        stage.story.crashes.append(f"work in hand at an orderly stop of {took:.2f} s got {seen}")
    stage.again(proxy)
    await asyncio.sleep(3)


async def restart_all_cores(stage: RealStage) -> None:
    await stage.put(stage.core())
    for core in stage.fleet.cores:
        for process in core:
            process.tell(signal.SIGKILL)
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


def _spread(story: histories.History) -> list[float]:
    """For each accepted change, when the last proxy that was ready carried it, at the latest."""
    took = []
    for put in story.puts:
        if put.status != 200:
            continue
        late = [s.at for s in story.samples if s.ready and s.at > put.ended and s.layout < put.version]
        took.append(max((at - put.ended for at in late if at - put.ended < 30), default=0.0))
    return took


async def day(name: str, acts: typing.Sequence[str], seed: int, scale: float) -> dict[str, typing.Any]:
    """A fleet of real processes, its traffic, the acts in turn, then calm and a verdict."""
    shape = shapes.SHAPES[name]
    async with real.running(shape, seed, roving=True) as fleet:
        stage = RealStage(fleet)
        begun = stage.now
        up = await fleet.start()
        body = json.dumps(fleet.first, sort_keys=True)
        first = fleets.Put(begun, body, None, stage.now, 200, fleet.first_version)
        stage.story.puts.append(first)
        fleet.spawn(stage.sample())
        # Until every duty has its owner.
        await asyncio.sleep(scenarios.SETTLED_S)
        traffic = asyncio.create_task(fleet.callers.drive(100000.0, scale))
        roving = asyncio.create_task(fleet.callers.rove_for_ever(scenarios.ROVES))
        await asyncio.sleep(3)
        spans: list[tuple[str, float, float]] = []
        for act in acts:
            begun = stage.now
            await ACTS[act](stage)
            spans.append((act, begun, stage.now))
            await asyncio.sleep(1)
        story = stage.story
        # Processes are scheduled by the machine: what they do is seen a little later.
        story.wire_s = 0.25
        story.calm = stage.now
        await asyncio.sleep(histories.RECOVER_S + 5)
        fleet.callers.halt()
        await asyncio.gather(traffic, roving)
        story.hits, story.left = fleet.gather()
        story.asks = list(fleet.record.asks.values())
        story.roves = fleet.record.roves
        story.runs = dict(fleet.record.runs)
        story.owners = {h.name: h.spec["service"] for h in fleet.hosts}
        story.end = stage.now
        breaches = histories.judge(story)
        return {
            "shape": name,
            "acts": list(acts),
            "seed": seed,
            "scale": scale,
            "up_s": round(up, 2),
            **callers.tally(fleet.record, story.expiry_s),
            "layout_spread_worst_s": round(max(_spread(story), default=0.0), 2),
            "changes": sum(1 for p in story.puts if p.status == 200),
            "roves": len(story.roves),
            "floor_used": round(histories.floor_used(story), 1),
            "excused": histories.excuses(story),
            "back_s": histories.back_by_fault(story, spans),
            "notes": stage.notes,
            "breaches": {k: [len(v), *v[:4]] for k, v in breaches.items()},
            "verdict": "held" if not breaches else "broken",
        }
