"""A test fleet on this machine: real cores, one real proxy, and workers that each run many members."""

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
from dykeswitch.scale.worker_handle import MAX_MEMBERS_PER_WORKER, MAX_RUN_S, START_TIMEOUT_S, WorkerHandle

JsonObject = dict[str, typing.Any]
# Ports are below the range that the kernel assigns to outgoing connections.
MIN_PORT: typing.Final = 10000
ZONES: typing.Final = tuple(f"z{n}" for n in range(1, 14))


class Testbed:
    """The processes of one run."""

    def __init__(self, size: Size, folder: pathlib.Path, seed: int) -> None:
        self.size = size
        self.folder = folder
        self.rng = random.Random(seed)
        # A separate block of loopback addresses, so that concurrent runs don't conflict.
        self._block = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        self._ports = iter(range(MIN_PORT, 32000))
        shape = shapes.Shape("scale", 1, size.cores, ZONES[: max(3, size.cores)], ())
        self.fleet = fleets.Fleet(shape, folder, seed)
        self.proxies = self._workers("proxy", size.nodes - 1, self._proxy)
        self.endpoints = self._workers("endpoint", size.endpoints, self._endpoint)
        self._turn = 0
        self._watchdog: subprocess.Popen[bytes] | None = None
        self.changed_at: dict[int, float] = {}

    def _address(self) -> str:
        return f"{self._block}.1:{next(self._ports)}"

    def _workers(
        self, kind: str, count: int, member: typing.Callable[[int], JsonObject]
    ) -> list[WorkerHandle]:
        members = [member(n) for n in range(count)]
        worker_count = -(-count // MAX_MEMBERS_PER_WORKER[kind])
        workers = []
        for n in range(worker_count):
            spec: JsonObject = {"kind": kind, "members": members[n::worker_count], "seed": self.rng.random()}
            if kind == "endpoint":
                spec["registries"] = [registry.web for registry, _ in self.fleet.cores]
                spec["interval_s"] = 1.0
            if spec["members"]:
                workers.append(WorkerHandle(f"{kind}s{n}", spec, self.folder))
        return workers

    def _proxy(self, n: int) -> JsonObject:
        seeds = [registry.flags["member"] for registry, _ in self.fleet.cores]
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        address = self._address()
        spec: JsonObject = {
            "name": f"member{n}",
            "zone": zone,
            "member": address,
            "web": address,
            "seeds": seeds,
        }
        return spec

    def _endpoint(self, n: int) -> JsonObject:
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        service = f"s{n % self.size.services}"
        return {"name": f"{service}-{n}", "service": service, "address": self._address(), "zone": zone}

    # Start and stop.

    async def start(self) -> JsonObject:
        """Start cores, then endpoints, then all proxies at once; return how long each step took."""
        clock = self.fleet.machine.clock
        started_at = clock.now()
        self._watchdog = start_cores(self.fleet)
        await self.change_layout()
        cores_ready_at = clock.now()
        await asyncio.gather(*(worker.start() for worker in self.endpoints))
        while await self.fleet.known_endpoint_count() < self.size.endpoints:
            if clock.now() - cores_ready_at > START_TIMEOUT_S:
                raise TimeoutError("endpoints not known")
            await clock.sleep(0.1)
        endpoints_known_at = clock.now()
        for proxy in self.fleet.proxies:
            proxy.start()
            add_to_watchdog(self._watchdog, proxy)
        await asyncio.gather(*(worker.start() for worker in self.proxies))
        durations = await self.wait_ready(self.proxies)
        while not await self._full_proxy_ready():
            await clock.sleep(0.1)
        return {
            "cores_s": cores_ready_at - started_at,
            "endpoints_s": endpoints_known_at - cores_ready_at,
            **durations,
        }

    async def _full_proxy_ready(self) -> bool:
        """Return whether the proxy that runs in its own process is ready."""
        try:
            for proxy in self.fleet.proxies:
                response = await self.fleet.machine.web.request("GET", proxy.web, "/readyz", [], b"", 1.0)
                if response.status != 200:
                    return False
        except (OSError, TimeoutError):
            return False
        return True

    async def wait_ready(self, workers: typing.Sequence[WorkerHandle]) -> JsonObject:
        """Wait until every proxy of the workers was ready once.

        Returns the quantiles of the seconds from the start of a proxy's worker.
        """
        deadline = self.fleet.machine.clock.now() + START_TIMEOUT_S
        while True:
            ready_events = {
                handle.name: [line for line in handle.read_events() if line[0] == "ready"]
                for handle in workers
            }
            if all(len(ready_events[handle.name]) >= handle.size for handle in workers):
                break
            if self.fleet.machine.clock.now() > deadline:
                raise TimeoutError("proxies not ready")
            await self.fleet.machine.clock.sleep(0.2)
        return quantiles(
            [line[1] - handle.started_at for handle in workers for line in ready_events[handle.name]]
        )

    async def stop(self) -> None:
        """Stop workers and cores."""
        await asyncio.gather(*(worker.terminate() for worker in (*self.proxies, *self.endpoints)))
        await self.fleet.stop()
        stop_watchdog(self._watchdog)

    # Changes to the fleet.

    async def change_layout(self) -> tuple[int, float]:
        """Apply the next layout; return its version and the seconds until the acknowledgement."""
        self._turn += 1
        sent_at = self.fleet.machine.clock.now()
        version = await self.fleet.apply(self.size.layout(self._turn), START_TIMEOUT_S)
        self.changed_at[version] = sent_at
        return version, self.fleet.machine.clock.now() - sent_at

    async def mark_endpoint(self, n: int) -> tuple[float, str]:
        """Let a random headless proxy mark an endpoint as down; return the time and the mark's key."""
        worker = self.rng.choice(self.proxies)
        name = self.rng.choice(worker.spec["members"])["name"]
        names = [m["name"] for handle in self.endpoints for m in handle.spec["members"]]
        reply = await worker.call(do="mark", name=name, endpoint=names[n % len(names)])
        return float(reply["at"]), str(reply["key"])

    async def leave_endpoint(self, n: int) -> tuple[float, str]:
        """Let an endpoint announce that it leaves; return the time and its name."""
        worker = self.endpoints[n % len(self.endpoints)]
        name = worker.spec["members"][-1 - n // len(self.endpoints)]["name"]
        reply = await worker.call(do="leave", name=name)
        return float(reply["at"]), str(name)

    def first_seen(self, kind: str, since: float) -> dict[typing.Any, dict[str, float]]:
        """Return when each headless proxy first saw each event of a kind, by event and proxy."""
        times: dict[typing.Any, dict[str, float]] = {}
        for worker in self.proxies:
            for line in worker.read_events():
                if line[0] == kind and line[1] >= since:
                    times.setdefault(line[3], {}).setdefault(line[2], line[1])
        return times

    # Measurements.

    def pids(self) -> dict[str, list[int]]:
        """Return the process ids by role."""
        cores = self.fleet.cores
        return {
            "registry": [registry.pid for registry, _ in cores],
            "store": [store.pid for _, store in cores],
            "proxy": [p.pid for p in self.fleet.proxies],
            HEADLESS: [handle.pid for handle in self.proxies],
            "endpoint": [handle.pid for handle in self.endpoints],
        }

    def readings(self) -> dict[str, list[process_stats.Reading]]:
        """Return the usage of each process by role."""
        return {role: [process_stats.read(pid) for pid in pids] for role, pids in self.pids().items()}

    async def counts(self) -> dict[str, list[dict[str, float]]]:
        """Return each process's counts of calls and bytes by kind, by role."""
        cores = self.fleet.cores
        headless = [await handle.call(do="tally") for handle in self.proxies]
        return {
            "registry": [await self._read_counters(registry.web) for registry, _ in cores],
            "store": [await self._read_counters(store.web) for _, store in cores],
            "proxy": [await self._read_counters(p.web) for p in self.fleet.proxies],
            HEADLESS: [{**p["counts"], "unready": p["unready"], "frozen": p["frozen"]} for p in headless],
            "endpoint": [(await handle.call(do="tally"))["counts"] for handle in self.endpoints],
        }

    async def _read_counters(self, address: str) -> dict[str, float]:
        response = await self.fleet.machine.web.request("GET", address, "/-/counters", [], b"", 10)
        counters: dict[str, float] = {}
        for line in response.body.decode().splitlines():
            name, _, text = line.partition("{")
            if line.startswith("#") or not text:
                continue
            counters[name.split("_", 2)[2].removesuffix("_total")] = float(text.rpartition(" ")[2])
        return counters


def quantiles(durations: typing.Sequence[float]) -> JsonObject:
    """Return the count, median, 99th percentile and maximum of durations in seconds."""
    ordered = sorted(durations)
    if not ordered:
        return {"count": 0}
    last = len(ordered) - 1
    return {
        "count": len(ordered),
        "p50_s": round(ordered[last // 2], 4),
        "p99_s": round(ordered[min(last, round(last * 0.99))], 4),
        "worst_s": round(ordered[-1], 4),
    }


def start_cores(fleet: fleets.Fleet) -> "subprocess.Popen[bytes]":
    """Start a fleet's cores, and a watchdog that ends them if this process dies."""
    args = [sys.executable, "-m", "dykeswitch.scale.watchdog", str(MAX_RUN_S)]
    watchdog = subprocess.Popen(args, stdin=subprocess.PIPE)
    for pair in fleet.cores:
        for process in pair:
            process.start()
            add_to_watchdog(watchdog, process)
    return watchdog


def add_to_watchdog(watchdog: "subprocess.Popen[bytes] | None", process: fleets.Process) -> None:
    """Add a process to those that the watchdog has to end."""
    assert watchdog is not None and watchdog.stdin is not None
    watchdog.stdin.write(b"%d\n" % process.pid)
    watchdog.stdin.flush()


def stop_watchdog(watchdog: "subprocess.Popen[bytes] | None") -> None:
    """Close the watchdog's input and wait until it has ended."""
    if watchdog is not None and watchdog.stdin is not None:
        watchdog.stdin.close()
        watchdog.wait(10)


@contextlib.asynccontextmanager
async def running_testbed(size: Size, seed: int) -> typing.AsyncIterator[Testbed]:
    """Provide a test fleet that is stopped and removed at the end in any case."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-scale-"))
    testbed = Testbed(size, folder, seed)
    try:
        yield testbed
    finally:
        await testbed.stop()
        shutil.rmtree(folder, ignore_errors=True)
