"""A whole simulated fleet of a given shape, with its endpoints, operators and clients."""

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

FOUNDER_COUNT: typing.Final = 3


class SimFleet:
    """Cores, proxies, endpoints, clients and operators on virtual time."""

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
        # With `sealed`, the proxies expect a seal on every success of an endpoint.
        self._adapter = machines.SealedEndpoints() if sealed else adapters.DefaultAdapter()
        # How many cores are in the settings of each program, all if None; it has to discover the others.
        self._known_core_count = known
        self.world = worlds.World(seed, scratch)
        self.world.links.far_s = shape.far_s
        self.shape = shape
        self.scale = scale
        self.rng = random.Random(seed + 2)
        self._bounds = bounds or {}
        # The services of route checks: requests that each new layout sends to another service.
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
        # Requests that reached an endpoint other than the one they were meant for.
        self.misdirected: list[tuple[float, str, str]] = []
        self.budgets: list[observations.TimeBudget] = []
        self.puts: list[observations.LayoutPut] = []
        self.reads: list[observations.LayoutRead] = []
        self.samples: list[observations.Sample] = []
        self._boot_counts: dict[str, int] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._build()
        self.clients = clients.Clients(
            shape, self.outside, [e.web for e in self.edges], self.record, self.rng
        )

    def settings(self, **own: typing.Any) -> settings.Settings:
        """Return the settings of a program: those of the whole fleet, then its own."""
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
        """Create a core; one that is added later may get other seeds in its settings."""
        world = self.world
        web = world.address()
        zone = self.shape.zones[n % len(self.shape.zones)]
        known_cores = slice(self._known_core_count)
        shared = {
            "seeds": seeds or tuple(self.member_addresses[known_cores]),
            "founders": tuple(self.store_addresses[known_cores]),
        }
        registry_config = self.settings(name=name, zone=zone, member=member, web=web, store=store, **shared)
        store_config = self.settings(
            name=f"{name}-store", zone=zone, store=store, web=world.address(), data="-"
        )
        node = world.add(
            "store",
            f"{name}-store",
            lambda machine, log, rng: stores.Store(store_config, machine, machines.disk_of(node), log, rng),
        )
        world.links.zones |= {name: zone, f"{name}-store": zone}
        node.disk = disks.SimDisk(world.folder(), world.rng)
        registry = world.add(
            "registry",
            name,
            lambda machine, log, rng: registries.Registry(registry_config, machine, log, rng),
        )
        return machines.Core(registry, node, member, web, store, zone)

    def edge(self, name: str, n: int, web: str = "") -> machines.Edge:
        """Create an edge machine; one that is added later may take over the web address of another."""
        world = self.world
        config = self.settings(
            name=name,
            zone=self.shape.zones[n % len(self.shape.zones)],
            member=world.address(),
            web=web or world.address(),
            seeds=tuple(self.member_addresses[: self._known_core_count]),
        )
        world.links.zones[name] = config.zone

        def build(machine: ports.Machine, log: typing.Any, rng: random.Random) -> proxies.Proxy:
            self._boot_counts[name] = self._boot_counts.get(name, 0) + 1
            return proxies.Proxy(config, machine, log, rng, self._adapter)

        return machines.Edge(world.add("proxy", name, build), config.web, config.zone)

    def endpoint(self, name: str, service: shapes.ServiceShape, address: str, n: int) -> endpoints.Endpoint:
        """Create an endpoint on a machine of its own, which runs none of the gateway's programs."""
        machine = self.world.machine_for(name)
        zone = self.shape.zones[n % len(self.shape.zones)]
        self.world.links.zones[name] = zone
        rng = random.Random(self.world.rng.getrandbits(64))
        created = endpoints.Endpoint(
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
        self.endpoints[name] = created
        return created

    def _record_arrival(self, endpoint: endpoints.Endpoint, method: str, target: str) -> None:
        request_id = clients.request_id_in(target)
        self.arrivals.append((self.clock.now(), request_id, endpoint.name))
        # Without a time budget the endpoint may work for an unlimited time.
        duration_s = math.inf if endpoint.time_budget_s is None else endpoint.time_budget_s
        self.budgets.append(
            observations.TimeBudget(self.clock.now(), request_id, duration_s, self.world.links.stable())
        )

    def _record_misdirected(self, endpoint: endpoints.Endpoint, method: str, target: str) -> None:
        self.misdirected.append((self.clock.now(), clients.request_id_in(target), endpoint.name))

    def start_endpoint(self, endpoint: endpoints.Endpoint, silent_s: float = 0.0) -> None:
        """Start an endpoint on its machine; its heartbeats begin after `silent_s` seconds."""
        host = loops.Host(endpoint.name)
        self.hosts[endpoint.name] = host
        endpoint.move_to_machine(self.machine_on(host))
        context = contextvars.Context()
        context.run(loops.CURRENT_HOST.set, host)

        async def run_endpoint() -> None:
            await endpoint.open()
            await asyncio.sleep(silent_s)
            await endpoint.send_heartbeats()

        self._track_task(self.world.loop.create_task(run_endpoint(), context=context))

    def machine_on(self, host: loops.Host) -> ports.Machine:
        """Return the ports of a machine, as its programs use them."""
        links = self.world.links
        return ports.Machine(
            worlds.SimClock(self.world.loop),
            nets.SimNetwork(links, host),
            webs.SimWeb(links, host),
            worlds.SimFaultPoints(),
        )

    def kill_endpoint(self, name: str) -> None:
        """End an endpoint's process: its connections are reset, and its heartbeats stop."""
        host = self.hosts[name]
        host.dead = True
        links = self.world.links
        links.reset_host(name)
        links.listeners = {s: e for s, e in links.listeners.items() if e[0] is not host}
        self.endpoints[name].heartbeats_enabled = False
        for task in list(host.tasks):
            task.cancel()

    async def drain_endpoint(self, name: str, grace: float = 3.0) -> None:
        """Deregister an endpoint, let running requests finish for `grace` seconds, then end it."""
        if await self.endpoints[name].leave():
            self.left[name] = self.clock.now()
        await asyncio.sleep(grace)
        self.kill_endpoint(name)

    def _track_task(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]) -> asyncio.Task[typing.Any]:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._track_task(task)
        return task

    async def start(self) -> float:
        """Start all, send the layout, and wait until every proxy is ready; returns the seconds it took."""
        started_at = self.clock.now()
        for core in self.cores:
            core.store.start()
            core.registry.start()
        for edge in self.edges:
            edge.node.start()
        for endpoint in list(self.endpoints.values()):
            self.start_endpoint(endpoint)
        self.spawn(self.clients.watch_readiness())
        self.spawn(self._sample())
        first_layout = self.shape.layout()
        await self.apply(shapes.rotating_layout(first_layout, 0) if self.slots else first_layout)
        await self.until(lambda: len(self.clients.ready) == len(self.edges), 30, "all proxies ready")
        await self.until(self._all_known, 30, "all endpoints known to all proxies")
        return self.clock.now() - started_at

    def _all_known(self) -> bool:
        return all(
            len(edge.node.daemon.carrier.selector.up(service.name)) == service.endpoints
            for edge in self.edges
            for service in self.shape.services
        )

    async def until(self, test: typing.Callable[[], bool], wait: float, what: str) -> float:
        """Wait until `test` is true and return the seconds it took; raises `TimeoutError` after `wait`."""
        started_at = self.clock.now()
        while not test():
            if self.clock.now() - started_at > wait:
                raise TimeoutError(what)
            await asyncio.sleep(0.02)
        return self.clock.now() - started_at

    async def put(
        self,
        layout: dict[str, typing.Any],
        core: machines.Core,
        match: int | None = None,
        wait: float = 5.0,
        lose_answer: bool = False,
    ) -> observations.LayoutPut:
        """Send an order to one core; its answer may be lost on the way, although the order was accepted."""
        body = json.dumps(layout, sort_keys=True)
        put = observations.LayoutPut(self.clock.now(), body, match)
        self.puts.append(put)
        fields = [] if match is None else [("if-match", f'"{match}"')]
        try:
            response = await self.outside.web.request(
                "PUT", core.web, "/v1/layout", fields, body.encode(), wait
            )
        except (OSError, TimeoutError):
            put.ended_at = self.clock.now()
            return put
        put.ended_at = self.clock.now()
        if lose_answer:
            put.lost_status = response.status
            return put
        put.status = response.status
        if response.status == 200:
            put.version = int(json.loads(response.body)["version"])
        return put

    async def get(self, core: machines.Core, wait: float = 5.0) -> observations.LayoutRead:
        """Read the newest layout from one core."""
        read = observations.LayoutRead(self.clock.now())
        self.reads.append(read)
        try:
            response = await self.outside.web.request("GET", core.web, "/v1/layout", [], b"", wait)
        except (OSError, TimeoutError):
            read.ended_at = self.clock.now()
            return read
        read.ended_at = self.clock.now()
        read.status = response.status
        if response.status == 200:
            read.version = int(response.header("dykeswitch-version") or 0)
            read.body = json.dumps(json.loads(response.body), sort_keys=True)
        return read

    async def query(self, text: str, core: machines.Core, wait: float = 5.0) -> dict[str, typing.Any] | None:
        """Send one sentence of the operators' language to one registry."""
        body = json.dumps({"text": text, "by": "operator"}).encode()
        try:
            response = await self.outside.web.request("POST", core.web, "/v1/query", [], body, wait)
        except (OSError, TimeoutError):
            return None
        return dict(json.loads(response.body)) if response.status == 200 else None

    async def apply(self, layout: dict[str, typing.Any], wait: float = 30.0) -> int:
        """Send a layout to one core after another until one accepts it; returns its version."""
        end = self.clock.now() + wait
        while self.clock.now() < end:
            for core in list(self.cores):
                put = await self.put(layout, core)
                if put.status == 200:
                    return put.version
            await asyncio.sleep(0.1)
        raise TimeoutError("no registry accepted the layout in time")

    async def _sample(self) -> None:
        """Record the layout version and readiness of each proxy every 50 ms."""
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
                        self._boot_counts.get(node.name, 0),
                        daemon.documents.version(documents.LAYOUT),
                        daemon.ready() is None,
                    )
                )
            await asyncio.sleep(0.05)
