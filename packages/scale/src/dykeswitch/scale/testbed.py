"""A test fleet on this machine: real cores, one real proxy, and workers that run many members."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import typing

import dykeswitch.scale.process_stats as process_stats
import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.shape as shapes
from dykeswitch.scale.size import HEADLESS, Size
from dykeswitch.scale.worker_handle import MEMBERS_PER_WORKER, RUN_MOST_S, START_S, WorkerHandle

Page = dict[str, typing.Any]
# Loopback numbers below the range that the kernel gives to outgoing pipes.
PORT_FROM: typing.Final = 10000
ZONES: typing.Final = tuple(f"z{n}" for n in range(1, 14))


class Testbed:
    """All processes of one run."""

    def __init__(self, size: Size, folder: pathlib.Path, seed: int) -> None:
        self.size = size
        self.folder = folder
        self.rng = random.Random(seed)
        # A block of loopback numbers of our own, so that two runs do not meet.
        self._block = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        self._ports = iter(range(PORT_FROM, 32000))
        shape = shapes.Shape("scale", 1, size.cores, ZONES[: max(3, size.cores)], ())
        self.fleet = fleets.Fleet(shape, folder, seed)
        self.proxies = self._workers("proxy", size.nodes - 1, self._proxy)
        self.endpoints = self._workers("endpoint", size.endpoints, self._endpoint)
        self._turn = 0
        self._watchdog: subprocess.Popen[bytes] | None = None
        self.changes: dict[int, float] = {}

    def _address(self) -> str:
        return f"{self._block}.1:{next(self._ports)}"

    def _workers(self, kind: str, count: int, member: typing.Callable[[int], Page]) -> list[WorkerHandle]:
        members = [member(n) for n in range(count)]
        parts = -(-count // MEMBERS_PER_WORKER[kind])
        workers = []
        for n in range(parts):
            spec: Page = {"kind": kind, "members": members[n::parts], "seed": self.rng.random()}
            if kind == "endpoint":
                spec["registries"] = [registry.web for registry, _ in self.fleet.cores]
                spec["interval_s"] = 1.0
            if spec["members"]:
                workers.append(WorkerHandle(f"{kind}s{n}", spec, self.folder))
        return workers

    def _proxy(self, n: int) -> Page:
        seeds = [registry.flags["member"] for registry, _ in self.fleet.cores]
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        address = self._address()
        page: Page = {"name": f"member{n}", "zone": zone, "member": address, "web": address, "seeds": seeds}
        return page

    def _endpoint(self, n: int) -> Page:
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        service = f"s{n % self.size.services}"
        return {"name": f"{service}-{n}", "service": service, "address": self._address(), "zone": zone}

    # Starting and stopping.

    async def start(self) -> Page:
        """Start cores, then endpoints, then all proxies at once: how long each took."""
        clock = self.fleet.machine.clock
        begun = clock.now()
        self._watchdog = start_cores(self.fleet)
        await self.change()
        cores = clock.now()
        await asyncio.gather(*(worker.start() for worker in self.endpoints))
        while await self.fleet.known_endpoint_count() < self.size.endpoints:
            if clock.now() - cores > START_S:
                raise TimeoutError("endpoints not known")
            await clock.sleep(0.1)
        known = clock.now()
        for proxy in self.fleet.proxies:
            proxy.start()
            tell_watchdog(self._watchdog, proxy)
        await asyncio.gather(*(worker.start() for worker in self.proxies))
        took = await self.ready(self.proxies)
        while not await self._real_ready():
            await clock.sleep(0.1)
        return {"cores_s": cores - begun, "endpoints_s": known - cores, **took}

    async def _real_ready(self) -> bool:
        """Whether the proxy that is a process of its own is ready too."""
        try:
            for proxy in self.fleet.proxies:
                reply = await self.fleet.machine.web.request("GET", proxy.web, "/readyz", [], b"", 1.0)
                if reply.status != 200:
                    return False
        except (OSError, TimeoutError):
            return False
        return True

    async def ready(self, workers: typing.Sequence[WorkerHandle]) -> Page:
        """Wait until every proxy of some workers has been ready; seconds since its worker's start."""
        end = self.fleet.machine.clock.now() + START_S
        while True:
            seen = {h.name: [line for line in h.lines() if line[0] == "ready"] for h in workers}
            if all(len(seen[h.name]) >= h.size for h in workers):
                break
            if self.fleet.machine.clock.now() > end:
                raise TimeoutError("proxies not ready")
            await self.fleet.machine.clock.sleep(0.2)
        return quantiles([line[1] - h.begun for h in workers for line in seen[h.name]])

    async def stop(self) -> None:
        """Stop workers and cores."""
        await asyncio.gather(*(worker.end() for worker in (*self.proxies, *self.endpoints)))
        await self.fleet.stop()
        end_watchdog(self._watchdog)

    # What is done to it.

    async def change(self) -> tuple[int, float]:
        """Send the next layout; its version, and seconds until the operator was told."""
        self._turn += 1
        at = self.fleet.machine.clock.now()
        version = await self.fleet.apply(self.size.layout(self._turn), START_S)
        self.changes[version] = at
        return version, self.fleet.machine.clock.now() - at

    async def mark(self, n: int) -> tuple[float, str]:
        """Have some headless proxy mark an endpoint; when, and the mark's key."""
        worker = self.rng.choice(self.proxies)
        name = self.rng.choice(worker.spec["members"])["name"]
        every = [m["name"] for h in self.endpoints for m in h.spec["members"]]
        page = await worker.ask(do="mark", name=name, endpoint=every[n % len(every)])
        return float(page["at"]), str(page["key"])

    async def leave(self, n: int) -> tuple[float, str]:
        """Have an endpoint say that it leaves; when, and its name."""
        worker = self.endpoints[n % len(self.endpoints)]
        name = worker.spec["members"][-1 - n // len(self.endpoints)]["name"]
        page = await worker.ask(do="leave", name=name)
        return float(page["at"]), str(name)

    def seen(self, kind: str, since: float) -> dict[typing.Any, dict[str, float]]:
        """For each thing of a kind, when each headless proxy first knew of it."""
        found: dict[typing.Any, dict[str, float]] = {}
        for worker in self.proxies:
            for line in worker.lines():
                if line[0] == kind and line[1] >= since:
                    found.setdefault(line[3], {}).setdefault(line[2], line[1])
        return found

    # Readings.

    def pids(self) -> dict[str, list[int]]:
        """Process ids by role."""
        cores = self.fleet.cores
        return {
            "registry": [registry.pid for registry, _ in cores],
            "store": [store.pid for _, store in cores],
            "proxy": [p.pid for p in self.fleet.proxies],
            HEADLESS: [h.pid for h in self.proxies],
            "endpoint": [h.pid for h in self.endpoints],
        }

    def readings(self) -> dict[str, list[process_stats.Reading]]:
        """What each process has spent, by role."""
        return {role: [process_stats.read(pid) for pid in pids] for role, pids in self.pids().items()}

    async def counts(self) -> dict[str, list[dict[str, float]]]:
        """Each process's counts by role: calls, bytes by kind."""
        cores = self.fleet.cores
        headless = [await h.ask(do="tally") for h in self.proxies]
        return {
            "registry": [await self._page(registry.web) for registry, _ in cores],
            "store": [await self._page(store.web) for _, store in cores],
            "proxy": [await self._page(p.web) for p in self.fleet.proxies],
            HEADLESS: [{**p["counts"], "unready": p["unready"], "frozen": p["frozen"]} for p in headless],
            "endpoint": [(await h.ask(do="tally"))["counts"] for h in self.endpoints],
        }

    async def _page(self, address: str) -> dict[str, float]:
        reply = await self.fleet.machine.web.request("GET", address, "/-/counters", [], b"", 10)
        found: dict[str, float] = {}
        for line in reply.body.decode().splitlines():
            name, _, text = line.partition("{")
            if line.startswith("#") or not text:
                continue
            found[name.split("_", 2)[2].removesuffix("_total")] = float(text.rpartition(" ")[2])
        return found


def quantiles(took: typing.Sequence[float]) -> Page:
    """Middle, 99th part and worst of some spans in seconds."""
    order = sorted(took)
    if not order:
        return {"count": 0}
    last = len(order) - 1
    return {
        "count": len(order),
        "p50_s": round(order[last // 2], 4),
        "p99_s": round(order[min(last, round(last * 0.99))], 4),
        "worst_s": round(order[-1], 4),
    }


def start_cores(fleet: fleets.Fleet) -> "subprocess.Popen[bytes]":
    """Start a fleet's cores, and a watchdog that ends them should this process be gone."""
    args = [sys.executable, "-m", "dykeswitch.scale.watchdog", str(RUN_MOST_S)]
    watchdog = subprocess.Popen(args, stdin=subprocess.PIPE)
    for pair in fleet.cores:
        for process in pair:
            process.start()
            tell_watchdog(watchdog, process)
    return watchdog


def tell_watchdog(watchdog: "subprocess.Popen[bytes] | None", process: fleets.Process) -> None:
    """Tell the watchdog of a process that it has to end."""
    assert watchdog is not None and watchdog.stdin is not None
    watchdog.stdin.write(b"%d\n" % process.pid)
    watchdog.stdin.flush()


def end_watchdog(watchdog: "subprocess.Popen[bytes] | None") -> None:
    """Close the watchdog's input and wait for it to end."""
    if watchdog is not None and watchdog.stdin is not None:
        watchdog.stdin.close()
        watchdog.wait(10)


@contextlib.asynccontextmanager
async def standing(size: Size, seed: int) -> typing.AsyncIterator[Testbed]:
    """A test fleet that is taken down at the end whatever happens."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-scale-"))
    testbed = Testbed(size, folder, seed)
    try:
        yield testbed
    finally:
        await testbed.stop()
        shutil.rmtree(folder, ignore_errors=True)
