"""A whole fleet in the simulator, of either shape, with its operators and callers."""

import asyncio
import contextvars
import json
import math
import pathlib
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.layout.documents as documents
import dykeswitch.ports as ports
import dykeswitch.proxy.program as proxies
import dykeswitch.registry.program as registries
import dykeswitch.settings as settings
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.net as nets
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.web as webs
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.caller as clients
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes
import dykeswitch.store.program as stores

FOUNDERS: typing.Final = 3


class SimFleet:
    """Everything the brief names, on virtual time."""

    def __init__(
        self,
        shape: shapes.Shape,
        seed: int,
        scratch: pathlib.Path,
        scale: float = 0.1,
        bounds: dict[str, typing.Any] | None = None,
        check_routes: bool = False,
        known: int | None = None,
        sealed: bool = False,
    ) -> None:
        # How the proxies speak with endpoints: these may be known to seal their successes.
        self._adapter = machines.SealedEndpoints() if sealed else adapters.DefaultAdapter()
        # How many of the cores all are told of at first; the rest have to be learnt.
        self._known = known
        self.world = worlds.World(seed, scratch)
        self.world.links.far_s = shape.far_s
        self.shape = shape
        self.scale = scale
        self.rng = random.Random(seed + 2)
        self._bounds = bounds or {}
        # Whether requests are sent that each layout moves to another service.
        self.slots = shapes.ROUTE_CHECK_SERVICES if check_routes else ()
        self.outside = self.world.machine_for("outside")
        self.clock = self.outside.clock
        self.record = clients.TrafficRecord(self.clock)
        self.cores: list[machines.Core] = []
        self.edges: list[machines.Edge] = []
        self.endpoints: dict[str, endpoints.Endpoint] = {}
        self.hosts: dict[str, loops.Host] = {}
        self.left: dict[str, float] = {}
        self.arrivals: list[tuple[float, str, str]] = []
        # Requests that came to an endpoint and were meant for another.
        self.misdirected: list[tuple[float, str, str]] = []
        self.budgets: list[observations.TimeBudget] = []
        self.puts: list[observations.LayoutPut] = []
        self.reads: list[observations.LayoutRead] = []
        self.samples: list[observations.Sample] = []
        self._boots: dict[str, int] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._build()
        self.clients = clients.Clients(
            shape, self.outside, [e.web for e in self.edges], self.record, self.rng
        )

    def settings(self, **own: typing.Any) -> settings.Settings:
        """A program's settings: those of all, and its own."""
        return settings.Settings(**{**self._bounds, **own})

    def _build(self) -> None:
        world, shape = self.world, self.shape
        self.member_addresses = [world.address() for _ in range(shape.cores)]
        self.store_addresses = [world.address() for _ in range(shape.cores)]
        for n in range(shape.cores):
            self.cores.append(self.core(f"core{n}", n, self.member_addresses[n], self.store_addresses[n]))
        for n in range(shape.proxies):
            self.edges.append(self.edge(f"proxy{n}", n))
        for service in (*shape.services, *self.slots):
            for n in range(service.endpoints):
                self.endpoint(f"{service.name}-{n}", service, world.address(), n)

    def core(self, name: str, n: int, member: str, store: str, seeds: tuple[str, ...] = ()) -> machines.Core:
        """A core; also one that comes later, with the old seeds in its settings."""
        world = self.world
        web = world.address()
        zone = self.shape.zones[n % len(self.shape.zones)]
        told = slice(self._known)
        shared = {
            "seeds": seeds or tuple(self.member_addresses[told]),
            "founders": tuple(self.store_addresses[told]),
        }
        first = self.settings(name=name, zone=zone, member=member, web=web, store=store, **shared)
        second = self.settings(name=f"{name}-store", zone=zone, store=store, web=world.address(), data="-")
        keeper = world.add(
            "store",
            f"{name}-store",
            lambda machine, log, rng: stores.Store(second, machine, machines.disk_of(keeper), log, rng),
        )
        world.links.zones |= {name: zone, f"{name}-store": zone}
        keeper.disk = disks.SimDisk(world.folder(), world.rng)
        registry = world.add(
            "registry",
            name,
            lambda machine, log, rng: registries.Registry(first, machine, log, rng),
        )
        return machines.Core(registry, keeper, member, web, store, zone)

    def edge(self, name: str, n: int, web: str = "") -> machines.Edge:
        """A proxy's machine; also one that comes later, or in another's place."""
        world = self.world
        config = self.settings(
            name=name,
            zone=self.shape.zones[n % len(self.shape.zones)],
            member=world.address(),
            web=web or world.address(),
            seeds=tuple(self.member_addresses[: self._known]),
        )
        world.links.zones[name] = config.zone

        def build(machine: ports.Machine, log: typing.Any, rng: random.Random) -> proxies.Proxy:
            self._boots[name] = self._boots.get(name, 0) + 1
            return proxies.Proxy(config, machine, log, rng, self._adapter)

        return machines.Edge(world.add("proxy", name, build), config.web, config.zone)

    def endpoint(self, name: str, service: shapes.ServiceShape, address: str, n: int) -> endpoints.Endpoint:
        """One more endpoint, on a machine of its own that runs no program of ours."""
        machine = self.world.machine_for(name)
        zone = self.shape.zones[n % len(self.shape.zones)]
        self.world.links.zones[name] = zone
        rng = random.Random(self.world.rng.getrandbits(64))
        made = endpoints.Endpoint(
            name,
            service.name,
            address,
            zone,
            machine,
            lambda: [core.web for core in self.cores],
            rng,
            service.work_s,
            on_execution=self.record.record_execution,
            on_arrival=self._record_arrival,
            profile=profiles.PLAIN if service.profile is None else service.profile.with_random_pace(rng),
            on_start=self.record.record_start,
            on_misdirected=self._record_misdirected,
        )
        self.endpoints[name] = made
        return made

    def _record_arrival(self, endpoint: endpoints.Endpoint, method: str, target: str) -> None:
        name = clients.request_id_in(target)
        self.arrivals.append((self.clock.now(), name, endpoint.name))
        # One that is told of no end may work for ever.
        span = math.inf if endpoint.time_budget_s is None else endpoint.time_budget_s
        self.budgets.append(observations.TimeBudget(self.clock.now(), name, span, self.world.links.stable()))

    def _record_misdirected(self, endpoint: endpoints.Endpoint, method: str, target: str) -> None:
        self.misdirected.append((self.clock.now(), clients.request_id_in(target), endpoint.name))

    def wake(self, endpoint: endpoints.Endpoint, silent_s: float = 0.0) -> None:
        """Let an endpoint listen, and beat after a silence, on its own machine."""
        host = loops.Host(endpoint.name)
        self.hosts[endpoint.name] = host
        endpoint.move_to_machine(self.machine_on(host))
        context = contextvars.Context()
        context.run(loops.HOST.set, host)

        async def live() -> None:
            await endpoint.open()
            await asyncio.sleep(silent_s)
            await endpoint.send_heartbeats()

        self._keep(self.world.loop.create_task(live(), context=context))

    def machine_on(self, host: loops.Host) -> ports.Machine:
        """What the programs of one machine see of it."""
        links = self.world.links
        return ports.Machine(
            worlds.SimClock(self.world.loop),
            nets.SimNetwork(links, host),
            webs.SimWeb(links, host),
            worlds.SimFaultPoints(),
        )

    def kill_endpoint(self, name: str) -> None:
        """The process ends: pipes are reset, beats stop."""
        host = self.hosts[name]
        host.dead = True
        links = self.world.links
        links.reset_host(name)
        links.listeners = {s: e for s, e in links.listeners.items() if e[0] is not host}
        self.endpoints[name].heartbeats_enabled = False
        for task in list(host.tasks):
            task.cancel()

    async def drain_endpoint(self, name: str, grace: float = 3.0) -> None:
        """Leave politely, finish what runs, then end."""
        if await self.endpoints[name].leave():
            self.left[name] = self.clock.now()
        await asyncio.sleep(grace)
        self.kill_endpoint(name)

    def _keep(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> asyncio.Task[typing.Any]:
        """Run something beside the day, for as long as it lasts."""
        task = asyncio.get_running_loop().create_task(work)
        self._keep(task)
        return task

    # Starting.

    async def start(self) -> float:
        """Start all, send the layout, wait until every proxy is ready."""
        begun = self.clock.now()
        for core in self.cores:
            core.store.start()
            core.registry.start()
        for edge in self.edges:
            edge.node.start()
        for endpoint in list(self.endpoints.values()):
            self.wake(endpoint)
        self.spawn(self.clients.watch_readiness())
        self.spawn(self._sample())
        first = self.shape.layout()
        await self.apply(shapes.rotating_layout(first, 0) if self.slots else first)
        await self.until(lambda: len(self.clients.ready) == len(self.edges), 30, "all proxies ready")
        await self.until(self._all_known, 30, "all endpoints known to all proxies")
        return self.clock.now() - begun

    def _all_known(self) -> bool:
        return all(
            len(edge.node.daemon.carrier.selector.up(service.name)) == service.endpoints
            for edge in self.edges
            for service in self.shape.services
        )

    async def until(self, test: typing.Callable[[], bool], wait: float, what: str) -> float:
        """Wait until something is so; how long that took. Raises `TimeoutError`."""
        begun = self.clock.now()
        while not test():
            if self.clock.now() - begun > wait:
                raise TimeoutError(what)
            await asyncio.sleep(0.02)
        return self.clock.now() - begun

    # Operators.

    async def put(
        self,
        layout: dict[str, typing.Any],
        core: machines.Core,
        match: int | None = None,
        wait: float = 5.0,
        lose_answer: bool = False,
    ) -> observations.LayoutPut:
        """Send an order to one core, whose answer may be lost on its way though it was taken."""
        body = json.dumps(layout, sort_keys=True)
        put = observations.LayoutPut(self.clock.now(), body, match)
        self.puts.append(put)
        fields = [] if match is None else [("if-match", f'"{match}"')]
        try:
            reply = await self.outside.web.request("PUT", core.web, "/v1/layout", fields, body.encode(), wait)
        except (OSError, TimeoutError):
            put.ended_at = self.clock.now()
            return put
        put.ended_at = self.clock.now()
        if lose_answer:
            put.lost_status = reply.status
            return put
        put.status = reply.status
        if reply.status == 200:
            put.version = int(json.loads(reply.body)["version"])
        return put

    async def get(self, core: machines.Core, wait: float = 5.0) -> observations.LayoutRead:
        """Read the newest layout from one core."""
        got = observations.LayoutRead(self.clock.now())
        self.reads.append(got)
        try:
            reply = await self.outside.web.request("GET", core.web, "/v1/layout", [], b"", wait)
        except (OSError, TimeoutError):
            got.ended_at = self.clock.now()
            return got
        got.ended_at = self.clock.now()
        got.status = reply.status
        if reply.status == 200:
            got.version = int(reply.header("dykeswitch-version") or 0)
            got.body = json.dumps(json.loads(reply.body), sort_keys=True)
        return got

    async def query(self, text: str, core: machines.Core, wait: float = 5.0) -> dict[str, typing.Any] | None:
        """One sentence of the operators' language to one registry."""
        body = json.dumps({"text": text, "by": "operator"}).encode()
        try:
            reply = await self.outside.web.request("POST", core.web, "/v1/query", [], body, wait)
        except (OSError, TimeoutError):
            return None
        return dict(json.loads(reply.body)) if reply.status == 200 else None

    async def apply(self, layout: dict[str, typing.Any], wait: float = 30.0) -> int:
        """Send a layout to one core after another until it is taken."""
        end = self.clock.now() + wait
        while self.clock.now() < end:
            for core in list(self.cores):
                put = await self.put(layout, core)
                if put.status == 200:
                    return put.version
            await asyncio.sleep(0.1)
        raise TimeoutError("no registry took the layout")

    # Watching.

    async def _sample(self) -> None:
        """See every 50 ms what each proxy carries and whether it would serve by it."""
        while True:
            now = self.clock.now()
            for edge in self.edges:
                node = edge.node
                daemon = node.daemon
                if daemon is None or node.host.dead or node.host.frozen:
                    continue
                self.samples.append(
                    observations.Sample(
                        now,
                        node.name,
                        self._boots.get(node.name, 0),
                        daemon.documents.version(documents.LAYOUT),
                        daemon.ready() is None,
                    )
                )
            await asyncio.sleep(0.05)
