"""Measures the cost of a proxied request.

One real proxy in front of stand-in endpoints is compared with calling the endpoints directly.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import typing

import dykeswitch.scale.measure as measure
import dykeswitch.scale.process_stats as process_stats
import dykeswitch.scale.sweep as sweeps
import dykeswitch.scale.testbed as testbeds
import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.shape as shapes
from dykeswitch.scale.size import Size
from dykeswitch.scale.worker_handle import WorkerHandle

JsonObject = dict[str, typing.Any]

LOAD_DURATION_S: typing.Final = 12.0
IDLE_WINDOW_S: typing.Final = 5.0
# A quarter of the default `drain_s`: a proxy verifies a connection again if it was idle for longer.
MAX_KEPT_IDLE_S: typing.Final = 0.5
ARMS: typing.Final = ("direct", "relay", "proxy")
SERVICE: typing.Final = "s0"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The number of endpoints and the total requests per second, spread at random over `ARMS`."""

    endpoints: int
    rate: float


# With few endpoints their connections stay in use; with many, each is idle between two requests.
LOADS: typing.Final = (Load(4, 60), Load(4, 150), Load(4, 300), Load(200, 60), Load(200, 150))


class SampledProxy(fleets.Process):
    """A proxy that runs under the sampling profiler."""

    def _args(self) -> list[str]:
        args = super()._args()
        module_index = args.index("dykeswitch.cli.main")
        path = str(self._folder / f"{self.name}.parts")
        return [*args[:module_index], "dykeswitch.scale.profiler", path, *args[module_index + 1 :]]

    def read_samples(self) -> JsonObject:
        """Return the profile that the proxy wrote when it ended, with samples by part."""
        profile: JsonObject = json.loads((self._folder / f"{self.name}.parts").read_text())
        return profile


class Bench:
    """One core, one proxy, a worker that runs the endpoints, and a plain relay to one endpoint."""

    def __init__(self, load: Load, folder: pathlib.Path, turn: int, sampled: bool) -> None:
        self.load = load
        self.rng = random.Random(turn)
        self.fleet = fleets.Fleet(shapes.Shape("data", 1, 1, ("z1",), ()), folder, turn)
        (proxy,) = self.fleet.proxies
        if sampled:
            proxy = SampledProxy("proxy", proxy.name, proxy.flags, folder)
            self.fleet.proxies[:] = [proxy]
        self.proxy = proxy
        block = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        members = [
            {
                "name": f"{SERVICE}-{n}",
                "service": SERVICE,
                "address": f"{block}.1:{testbeds.MIN_PORT + n}",
                "zone": "z1",
            }
            for n in range(load.endpoints)
        ]
        web = [registry.web for registry, _ in self.fleet.cores]
        spec = {"kind": "endpoint", "members": members, "seed": 1, "registries": web, "interval_s": 1.0}
        self.worker = WorkerHandle("endpoints", spec, folder)
        relay = {"address": f"{block}.2:{testbeds.MIN_PORT}", "target": members[0]["address"]}
        self.relay = WorkerHandle("relay", {"kind": "relay", "members": [relay]}, folder)
        self.addresses = [str(m["address"]) for m in members]
        self.durations: dict[str, list[float]] = collections.defaultdict(list)
        self.failed_count = 0
        self._last_used: dict[str, float] = {}
        self._watchdog: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start all processes and wait until the proxy knows every endpoint."""
        self._watchdog = testbeds.start_cores(self.fleet)
        layout = Size(services=1, rules=100).layout(0)
        layout["rules"].append({"path": "/", "service": SERVICE})
        await self.fleet.apply(layout)
        await asyncio.gather(self.worker.start(), self.relay.start())
        self.proxy.start()
        testbeds.add_to_watchdog(self._watchdog, self.proxy)
        self.fleet.spawn(self.fleet.clients.watch_readiness())
        await self.fleet.until(lambda: bool(self.fleet.clients.ready), 60, "the proxy is ready")
        while await self.fleet.known_endpoint_count() < self.load.endpoints:
            await self.fleet.machine.clock.sleep(0.05)

    async def stop(self) -> None:
        """Stop all processes."""
        await asyncio.gather(self.worker.terminate(), self.relay.terminate())
        await self.fleet.stop()
        testbeds.stop_watchdog(self._watchdog)

    async def run_load(self) -> process_stats.Reading:
        """Send requests for `LOAD_DURATION_S` and return what the proxy used beyond its idle usage."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2.0)
        idle = process_stats.read(self.proxy.pid)
        await asyncio.sleep(IDLE_WINDOW_S)
        if isinstance(self.proxy, SampledProxy):
            # The samples taken during start-up don't belong to requests.
            self.proxy.send_signal(signal.SIGUSR1)
        before = process_stats.read(self.proxy.pid)
        ends_at = loop.time() + LOAD_DURATION_S
        due_at = loop.time()
        async with asyncio.TaskGroup() as group:
            while (due_at := due_at + self.rng.expovariate(self.load.rate)) < ends_at:
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                group.create_task(self._send_one(self.rng.choice(ARMS)))
        after = process_stats.read(self.proxy.pid)
        idle_run_s = (before.run_s - idle.run_s) / IDLE_WINDOW_S * LOAD_DURATION_S
        return process_stats.Reading(
            after.run_s - before.run_s - idle_run_s, after.wait_s - before.wait_s, after.memory_mb
        )

    async def _send_one(self, arm: str) -> None:
        address = {"proxy": self.proxy.web, "relay": str(self.relay.spec["members"][0]["address"])}.get(arm)
        address = address or self.rng.choice(self.addresses)
        started_at = asyncio.get_running_loop().time()
        try:
            response = await self.fleet.machine.web.request("GET", address, "/x?ask=a", [], b"", 5.0)
        except (OSError, TimeoutError):
            self.failed_count += 1
            return
        now = asyncio.get_running_loop().time()
        if response.status != 200:
            self.failed_count += 1
            return
        if arm != "relay":
            # Fresh, kept or idle, depending on when this arm last reached this endpoint.
            route = f"{arm} {response.header('dykeswitch-served-by')}"
            last = self._last_used.get(route)
            state = "fresh" if last is None else "kept" if started_at - last < MAX_KEPT_IDLE_S else "idle"
            self._last_used[route] = now
            self.durations[f"{arm} {state}"].append(now - started_at)
        self.durations[arm].append(now - started_at)


async def _run_bench(load: Load, turn: int, sampled: bool) -> JsonObject:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-data-"))
    bench = Bench(load, folder, turn, sampled)
    result: JsonObject = {}
    try:
        await bench.start()
        usage = await bench.run_load()
        request_count = len(bench.durations["proxy"])
        result = {
            "asked": request_count,
            "failed": bench.failed_count,
            "proxy_ms": round(usage.run_s / max(1, request_count) * 1000, 4),
            "proxy_wait_share": round(usage.wait_s / LOAD_DURATION_S, 4),
            "memory_mb": round(usage.memory_mb, 1),
            "took": {
                name: testbeds.quantiles(durations) for name, durations in sorted(bench.durations.items())
            },
        }
        if isinstance(bench.proxy, SampledProxy):
            bench.proxy.send_signal(signal.SIGTERM)
            await bench.proxy.wait_exit(15)
            result["sampled"] = bench.proxy.read_samples()
    finally:
        with contextlib.suppress(OSError):
            await bench.stop()
        shutil.rmtree(folder, ignore_errors=True)
    return result


def run(turns: typing.Sequence[int], path: pathlib.Path) -> int:
    """Run each load in each turn, once plain and once profiled; return how many runs failed."""
    failed_count = 0
    for turn in turns:
        for load in LOADS:
            for sampled in (False, True):
                common_fields: JsonObject = {
                    "kind": "data",
                    "turn": turn,
                    "commit": measure.commit(),
                    "load_before": round(os.getloadavg()[0], 2),
                    "sampled_run": sampled,
                    **dataclasses.asdict(load),
                }
                try:
                    result = asyncio.run(sweeps.run_with_time_limit(_run_bench(load, turn, sampled)))
                except (OSError, TimeoutError) as error:
                    failed_count += 1
                    result = {"why": str(error)[:200]}
                    common_fields["kind"] = "failed"
                sweeps.write(path, {**common_fields, **result})
                sys.stderr.write(f"data {turn} {load} sampled={sampled}\n")
    return failed_count
