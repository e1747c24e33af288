"""A whole fleet of real processes on one machine.

The three programs start no process. This is a tool for tests that plays the
platform: it starts them, watches their readiness and stops them by their ids.
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
    """Ports that nobody listens on at the moment."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        socks.append(sock)
    found = [s.getsockname()[1] for s in socks]
    for sock in socks:
        sock.close()
    return found


class Fleet:
    """Processes, stand-in endpoints and stand-in callers of one shape."""

    def __init__(
        self, shape: shapes.Shape, folder: pathlib.Path, seed: int, check_routes: bool = False
    ) -> None:
        self.shape = shape
        # Whether requests are sent that each layout moves to another service.
        self.slots = shapes.SLOTS if check_routes else ()
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
        # The layout that the fleet begins with, and its version.
        self.first: dict[str, typing.Any] = {}
        self.first_version = 0
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
            self._relayed(flags)
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
        registry = {
            "name": name,
            "zone": zone,
            "member": member,
            "web": self.address(),
            "store": store,
            "seeds": ",".join(seeds),
            "founders": ",".join(founders),
        }
        self._relayed(registry)
        keeper = {"name": f"{name}-store", "store": store, "web": self.address(), "data": str(data)}
        return (
            Process("registry", name, registry, self.folder),
            Process("store", f"{name}-store", keeper, self.folder),
        )

    def _relayed(self, flags: dict[str, str]) -> None:
        """Where others may be cut off from it, a process listens behind the relay."""
        if self.slots:
            flags["listen"] = self.address()
            self._relayed_addresses[flags["name"]] = (flags["member"], flags["listen"])

    async def move(self, proxy: Process) -> None:
        """Give a proxy that does not run other addresses, which the platform learns of."""
        proxy.flags["member"], proxy.flags["web"] = self.address(), self.address()
        if self.slots:
            self._relayed(proxy.flags)
            await self.relay.open(proxy.name, *self._relayed_addresses[proxy.name])
        self.clients.add(proxy.web)

    def address(self) -> str:
        """One more free address."""
        return self._ports.address()

    def host(self, name: str, service: shapes.ServiceShape, n: int, address: str, **more: typing.Any) -> Host:
        """One more stand-in endpoint, not yet started."""
        spec = {
            "service": service.name,
            "spot": address,
            "zone": self.shape.zones[n % len(self.shape.zones)],
            "registries": [registry.web for registry, _ in self.cores],
            "work_s": service.work_s,
            **more,
        }
        if service.profile is not None:
            spec["nature"] = dataclasses.asdict(service.profile.drawn(self.rng))
        made = Host(name, spec, self.folder)
        self.hosts.append(made)
        return made

    def gather(self) -> tuple[list[tuple[float, str, str]], dict[str, float]]:
        """Bring the endpoints' own books into the record; hits and leavings."""
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
        """Run something beside the fleet, until it stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def processes(self) -> list[Process]:
        """Every process: cores, proxies, endpoints."""
        return [p for pair in self.cores for p in pair] + self.proxies + list(self.hosts)

    async def start(self) -> float:
        """Start all, send the layout, and wait until every proxy is ready."""
        begun = self.machine.clock.now()
        for name, (address, inner) in self._relayed_addresses.items():
            await self.relay.open(name, address, inner)
        for process in self.processes():
            process.start()
        self.spawn(self.clients.watch_readiness())
        first = self.shape.layout()
        self.first = shapes.rotating_layout(first, 0) if self.slots else first
        self.first_version = await self.apply(self.first)
        await self.until(lambda: len(self.clients.ready) == len(self.proxies), 60, "all proxies ready")
        await self._until_known(60)
        return self.machine.clock.now() - begun

    async def _until_known(self, wait: float) -> None:
        """Wait until a registry knows every endpoint; it may still be starting when others serve."""
        end = self.machine.clock.now() + wait
        while True:
            try:
                if await self.known() >= len(self.hosts):
                    return
            except OSError:
                # It does not listen yet: two of three registries are enough for all before this.
                pass
            if self.machine.clock.now() > end:
                raise TimeoutError("every endpoint known to the first registry")
            await self.machine.clock.sleep(0.05)

    async def known(self) -> int:
        """How many endpoints a registry knows to be up."""
        reply = await self.machine.web.request("GET", self.cores[0][0].web, "/v1/endpoints", [], b"", 5)
        return sum(1 for e in json.loads(reply.body)["endpoints"] if e["state"] == "up")

    async def until(self, test: typing.Callable[[], bool], wait: float, what: str) -> float:
        """Wait until a test holds; seconds that it took."""
        begun = self.machine.clock.now()
        while not test():
            if self.machine.clock.now() - begun > wait:
                raise TimeoutError(what)
            await self.machine.clock.sleep(0.02)
        return self.machine.clock.now() - begun

    async def apply(self, layout: dict[str, typing.Any], wait: float = 60) -> int:
        """Send a layout until some registry has taken it; its version."""
        end = self.machine.clock.now() + wait
        data = json.dumps(layout).encode()
        last = ""
        while self.machine.clock.now() < end:
            for registry, _ in self.cores:
                try:
                    reply = await self.machine.web.request("PUT", registry.web, "/v1/layout", [], data, 5)
                except (OSError, TimeoutError) as flaw:
                    last = str(flaw)
                    continue
                if reply.status == 200:
                    return int(json.loads(reply.body)["version"])
                last = reply.body.decode()
            await self.machine.clock.sleep(0.2)
        raise TimeoutError(f"no registry took the layout: {last}")

    async def layout_versions(self) -> list[int]:
        """The layout version that each running proxy carries."""

        async def one(proxy: Process) -> int:
            try:
                reply = await self.machine.web.request("GET", proxy.web, "/readyz", [], b"", 1)
                return int(json.loads(reply.body)["layout"])
            except (OSError, TimeoutError):
                return -1

        return list(await asyncio.gather(*(one(p) for p in self.proxies)))

    async def stop(self) -> None:
        """End every process, in order where it still listens."""
        for task in list(self._tasks):
            task.cancel()
        self.relay.close()
        self._ports.close()
        for host in self.hosts:
            host.tell(signal.SIGKILL)
        for process in self.processes():
            process.tell(signal.SIGCONT)
            process.tell(signal.SIGTERM)
        for process in self.processes():
            if process.started and await process.gone(10) is None:
                process.tell(signal.SIGKILL)
                await process.gone(5)


@contextlib.asynccontextmanager
async def running(
    shape: shapes.Shape,
    seed: int,
    keep: bool = False,
    check_routes: bool = False,
    folder: pathlib.Path | None = None,
) -> typing.AsyncIterator[Fleet]:
    """A fleet that is up, and is taken down at the end whatever happens; a folder that is given is kept."""
    keep = keep or folder is not None
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-fleet-"))
    fleet = Fleet(shape, folder, seed, check_routes)
    try:
        yield fleet
    finally:
        await fleet.stop()
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)


async def show(name: str, span: float, seed: int, scale: float) -> dict[str, typing.Any]:
    """Start a fleet, send its traffic for a span, and return the figures."""
    async with running(shapes.SHAPES[name], seed) as fleet:
        up = await fleet.start()
        addresses: dict[str, list[str]] = {}
        for host in fleet.hosts:
            addresses.setdefault(str(host.spec["service"]), []).append(str(host.spec["spot"]))
        straight = await clients.direct(fleet.shape, fleet.machine, addresses, fleet.rng, span / 2, scale)
        base = clients.summarize(straight, 10.0)
        await fleet.clients.run_traffic(span, scale)
        fleet.gather()
        figures = clients.summarize(fleet.record, 10.0)
        versions = await fleet.layout_versions()
        head = {"shape": name, "up_s": round(up, 2), "processes": len(fleet.processes())}
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
