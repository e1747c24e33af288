"""A whole fleet of real processes on one machine.

The three programs start no processes themselves. This test tool acts as the platform: it starts them,
watches their readiness and stops them by their process ids.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import typing

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.standin.caller as clients
import dykeswitch.standin.port_block as port_block
import dykeswitch.standin.relay as relays
import dykeswitch.standin.shape as shapes
from dykeswitch.standin.light_web import LightWeb
from dykeswitch.standin.process import Host, Process

__all__ = ["Fleet", "Host", "LightWeb", "Process", "free_ports", "running", "show"]


def free_ports(count: int) -> list[int]:
    """Return ports on which nobody listens at the moment."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    numbers = [s.getsockname()[1] for s in sockets]
    for sock in sockets:
        sock.close()
    return numbers


class Fleet:
    """The processes, stand-in endpoints and stand-in clients of one shape."""

    def __init__(
        self, shape: shapes.Shape, folder: pathlib.Path, seed: int, check_routes: bool = False
    ) -> None:
        self.shape = shape
        # Services for requests that each layout routes to another one; empty without route checks.
        self.slots = shapes.ROUTE_CHECK_SERVICES if check_routes else ()
        self.folder = folder
        self.rng = random.Random(seed)
        self.machine: ports.Machine = real.machine()
        self.machine = self.machine._replace(web=LightWeb(self.machine.net))
        self.record = clients.TrafficRecord(self.machine.clock)
        self.cores: list[tuple[Process, Process]] = []
        self.proxies: list[Process] = []
        self.hosts: list[Host] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.relay = relays.Relay()
        self.initial_layout: dict[str, typing.Any] = {}
        self.initial_version = 0
        # Of each process behind the relay: the address it advertises, and the one it listens at.
        self._relayed_addresses: dict[str, tuple[str, str]] = {}
        self._build()
        self.clients = clients.Clients(
            shape, self.machine, [p.web for p in self.proxies], self.record, self.rng
        )

    def _build(self) -> None:
        shape = self.shape
        self._ports = port_block.PortBlock()
        members = [self.address() for _ in range(shape.cores)]
        stores = [self.address() for _ in range(shape.cores)]
        for n in range(shape.cores):
            self.cores.append(self._core(f"core{n}", n, members[n], stores[n], members, stores))
        for n in range(shape.proxies):
            flags = {
                "name": f"proxy{n}",
                "zone": shape.zones[n % len(shape.zones)],
                "member": self.address(),
                "web": self.address(),
                "seeds": ",".join(members),
            }
            self._listen_behind_relay(flags)
            self.proxies.append(Process("proxy", f"proxy{n}", flags, self.folder))
        for service in (*shape.services, *self.slots):
            for n in range(service.endpoints):
                self.host(f"{service.name}-{n}", service, n, self.address())

    def _core(
        self, name: str, n: int, member: str, store: str, seeds: list[str], founders: list[str]
    ) -> tuple[Process, Process]:
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        zone = self.shape.zones[n % len(self.shape.zones)]
        registry_flags = {
            "name": name,
            "zone": zone,
            "member": member,
            "web": self.address(),
            "store": store,
            "seeds": ",".join(seeds),
            "founders": ",".join(founders),
        }
        self._listen_behind_relay(registry_flags)
        store_flags = {"name": f"{name}-store", "store": store, "web": self.address(), "data": str(data)}
        return (
            Process("registry", name, registry_flags, self.folder),
            Process("store", f"{name}-store", store_flags, self.folder),
        )

    def _listen_behind_relay(self, flags: dict[str, str]) -> None:
        """Let a process listen behind the relay, if calls between processes may be cut."""
        if self.slots:
            flags["listen"] = self.address()
            self._relayed_addresses[flags["name"]] = (flags["member"], flags["listen"])

    async def change_addresses(self, proxy: Process) -> None:
        """Give a proxy other addresses while it doesn't run, and make them known to the platform."""
        proxy.flags["member"], proxy.flags["web"] = self.address(), self.address()
        if self.slots:
            self._listen_behind_relay(proxy.flags)
            await self.relay.open(proxy.name, *self._relayed_addresses[proxy.name])
        self.clients.add_proxy(proxy.web)

    def address(self) -> str:
        """Return another free address."""
        return self._ports.address()

    def host(self, name: str, service: shapes.ServiceShape, n: int, address: str, **more: typing.Any) -> Host:
        """Add another stand-in endpoint, not yet started."""
        spec = {
            "service": service.name,
            "spot": address,
            "zone": self.shape.zones[n % len(self.shape.zones)],
            "registries": [registry.web for registry, _ in self.cores],
            "work_s": service.work_s,
            **more,
        }
        if service.profile is not None:
            spec["nature"] = dataclasses.asdict(service.profile.with_random_pace(self.rng))
        host = Host(name, spec, self.folder)
        self.hosts.append(host)
        return host

    def collect_records(self) -> tuple[list[tuple[float, str, str]], dict[str, float]]:
        """Read the endpoints' logs into the record.

        Returns:
            The arrivals of requests (time, request id, endpoint), and when each endpoint left.
        """
        arrivals: list[tuple[float, str, str]] = []
        left: dict[str, float] = {}
        self.record.executions.clear()
        for host in self.hosts:
            for kind, at, target in host.lines():
                request_id = clients.request_id_in(target)
                if kind == "run":
                    execution = clients.Execution(request_id, host.name, host.spec["service"], at)
                    self.record.executions[request_id].append(execution)
                elif kind == "hit":
                    arrivals.append((at, request_id, host.name))
                else:
                    left[host.name] = at
        return sorted(arrivals), left

    def spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine beside the fleet, until the fleet stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def processes(self) -> list[Process]:
        """Return every process: cores, proxies, endpoints."""
        return [p for pair in self.cores for p in pair] + self.proxies + list(self.hosts)

    async def start(self) -> float:
        """Start all, send the layout and wait until every proxy is ready; return how long it took."""
        started_at = self.machine.clock.now()
        for name, (address, inner) in self._relayed_addresses.items():
            await self.relay.open(name, address, inner)
        for process in self.processes():
            process.start()
        self.spawn(self.clients.watch_readiness())
        layout = self.shape.layout()
        self.initial_layout = shapes.rotating_layout(layout, 0) if self.slots else layout
        self.initial_version = await self.apply(self.initial_layout)
        await self.until(lambda: len(self.clients.ready) == len(self.proxies), 60, "all proxies ready")
        await self._until_known(60)
        return self.machine.clock.now() - started_at

    async def _until_known(self, timeout_s: float) -> None:
        """Wait until the first registry knows every endpoint; it may still be starting when others serve."""
        deadline = self.machine.clock.now() + timeout_s
        while True:
            try:
                if await self.known_endpoint_count() >= len(self.hosts):
                    return
            except OSError:
                # It doesn't listen yet: two of three registries were enough for all steps before this one.
                pass
            if self.machine.clock.now() > deadline:
                raise TimeoutError("every endpoint known to the first registry")
            await self.machine.clock.sleep(0.05)

    async def known_endpoint_count(self) -> int:
        """Return how many endpoints the first registry knows to be up."""
        response = await self.machine.web.request("GET", self.cores[0][0].web, "/v1/endpoints", [], b"", 5)
        return sum(1 for endpoint in json.loads(response.body)["endpoints"] if endpoint["state"] == "up")

    async def until(self, predicate: typing.Callable[[], bool], timeout_s: float, what: str) -> float:
        """Wait until a predicate holds; return how many seconds it took."""
        started_at = self.machine.clock.now()
        while not predicate():
            if self.machine.clock.now() - started_at > timeout_s:
                raise TimeoutError(what)
            await self.machine.clock.sleep(0.02)
        return self.machine.clock.now() - started_at

    async def apply(self, layout: dict[str, typing.Any], timeout_s: float = 60) -> int:
        """Send a layout until some registry has accepted it; return its version."""
        deadline = self.machine.clock.now() + timeout_s
        data = json.dumps(layout).encode()
        failure = ""
        while self.machine.clock.now() < deadline:
            for registry, _ in self.cores:
                try:
                    response = await self.machine.web.request("PUT", registry.web, "/v1/layout", [], data, 5)
                except (OSError, TimeoutError) as error:
                    failure = str(error)
                    continue
                if response.status == 200:
                    return int(json.loads(response.body)["version"])
                failure = response.body.decode()
            await self.machine.clock.sleep(0.2)
        raise TimeoutError(f"no registry accepted the layout within {timeout_s} s: {failure}")

    async def layout_versions(self) -> list[int]:
        """Return the layout version that each proxy serves by; -1 for one that doesn't answer."""

        async def version_of(proxy: Process) -> int:
            try:
                response = await self.machine.web.request("GET", proxy.web, "/readyz", [], b"", 1)
                return int(json.loads(response.body)["layout"])
            except (OSError, TimeoutError):
                return -1

        return list(await asyncio.gather(*(version_of(p) for p in self.proxies)))

    async def stop(self) -> None:
        """End every process: endpoints at once, the others in order, and by force if they take too long."""
        for task in list(self._tasks):
            task.cancel()
        self.relay.close()
        self._ports.close()
        for host in self.hosts:
            host.send_signal(signal.SIGKILL)
        for process in self.processes():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self.processes():
            if process.started and await process.wait_exit(10) is None:
                process.send_signal(signal.SIGKILL)
                await process.wait_exit(5)


@contextlib.asynccontextmanager
async def running(
    shape: shapes.Shape,
    seed: int,
    keep: bool = False,
    check_routes: bool = False,
    folder: pathlib.Path | None = None,
) -> typing.AsyncIterator[Fleet]:
    """Provide a fleet, not yet started, and stop it at the end whatever happens.

    The folder of its logs and data is removed, unless it is given or `keep` is set.
    """
    keep = keep or folder is not None
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-fleet-"))
    fleet = Fleet(shape, folder, seed, check_routes)
    try:
        yield fleet
    finally:
        await fleet.stop()
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)


async def show(name: str, duration_s: float, seed: int, scale: float) -> dict[str, typing.Any]:
    """Start a fleet, send its traffic for a while, and return the figures."""
    async with running(shapes.SHAPES[name], seed) as fleet:
        startup_s = await fleet.start()
        addresses: dict[str, list[str]] = {}
        for host in fleet.hosts:
            addresses.setdefault(str(host.spec["service"]), []).append(str(host.spec["spot"]))
        direct_record = await clients.run_direct_traffic(
            fleet.shape, fleet.machine, addresses, fleet.rng, duration_s / 2, scale
        )
        base = clients.summarize(direct_record, 10.0)
        await fleet.clients.run_traffic(duration_s, scale)
        fleet.collect_records()
        figures = clients.summarize(fleet.record, 10.0)
        versions = await fleet.layout_versions()
        head = {"shape": name, "up_s": round(startup_s, 2), "processes": len(fleet.processes())}
        ratio = {
            key: round(figures[key] / base[key], 2)
            for key in ("p50_ms", "p99_ms")
            if figures[key] and base[key]
        }
        direct = {key: base[key] for key in ("asked", "replied", "p50_ms", "p99_ms")}
        return {
            **head,
            **figures,
            "layouts": sorted(set(versions)),
            "endpoints_called_directly": direct,
            "ratio_to_direct": ratio,
        }
