"""What carrying a request costs: one real proxy before stand-in endpoints, against calling them directly."""

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

Page = dict[str, typing.Any]

DURATION_S: typing.Final = 12.0
IDLE_S: typing.Final = 5.0
# A proxy proves a pipe anew that lay idle for longer than this part of `drain_s`.
KEPT_S: typing.Final = 0.5
ARMS: typing.Final = ("direct", "relay", "proxy")
SERVICE: typing.Final = "s0"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests a second in all, by lot over the arms, and endpoints behind the proxy."""

    endpoints: int
    rate: float


# Few endpoints keep their pipes warm; with many, each lies idle between two requests.
LOADS: typing.Final = (Load(4, 60), Load(4, 150), Load(4, 300), Load(200, 60), Load(200, 150))


class Sampled(fleets.Process):
    """A proxy under the sampler."""

    def _args(self) -> list[str]:
        args = super()._args()
        at = args.index("dykeswitch.cli.main")
        path = str(self._folder / f"{self.name}.parts")
        return [*args[:at], "dykeswitch.scale.profiler", path, *args[at + 1 :]]

    def parts(self) -> Page:
        """Samples by part, once the proxy has ended."""
        page: Page = json.loads((self._folder / f"{self.name}.parts").read_text())
        return page


class Bench:
    """One core, one proxy, a worker of endpoints, and a bare relay to one of them."""

    def __init__(self, load: Load, folder: pathlib.Path, turn: int, sampled: bool) -> None:
        self.load = load
        self.rng = random.Random(turn)
        self.fleet = fleets.Fleet(shapes.Shape("data", 1, 1, ("z1",), ()), folder, turn)
        (proxy,) = self.fleet.proxies
        if sampled:
            proxy = Sampled("proxy", proxy.name, proxy.flags, folder)
            self.fleet.proxies[:] = [proxy]
        self.proxy = proxy
        block = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        members = [
            {
                "name": f"{SERVICE}-{n}",
                "service": SERVICE,
                "address": f"{block}.1:{testbeds.PORT_FROM + n}",
                "zone": "z1",
            }
            for n in range(load.endpoints)
        ]
        web = [registry.web for registry, _ in self.fleet.cores]
        spec = {"kind": "endpoint", "members": members, "seed": 1, "registries": web, "interval_s": 1.0}
        self.worker = WorkerHandle("endpoints", spec, folder)
        relay = {"address": f"{block}.2:{testbeds.PORT_FROM}", "target": members[0]["address"]}
        self.relay = WorkerHandle("relay", {"kind": "relay", "members": [relay]}, folder)
        self.addresses = [str(m["address"]) for m in members]
        self.took: dict[str, list[float]] = collections.defaultdict(list)
        self.failed = 0
        self._used: dict[str, float] = {}
        self._watchdog: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start everything, and wait until the proxy knows all endpoints."""
        self._watchdog = testbeds.start_cores(self.fleet)
        layout = Size(services=1, rules=100).layout(0)
        layout["rules"].append({"path": "/", "service": SERVICE})
        await self.fleet.apply(layout)
        await asyncio.gather(self.worker.start(), self.relay.start())
        self.proxy.start()
        testbeds.tell_watchdog(self._watchdog, self.proxy)
        self.fleet.spawn(self.fleet.clients.watch_readiness())
        await self.fleet.until(lambda: bool(self.fleet.clients.ready), 60, "the proxy is ready")
        while await self.fleet.known_endpoint_count() < self.load.endpoints:
            await self.fleet.machine.clock.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(self.worker.end(), self.relay.end())
        await self.fleet.stop()
        testbeds.end_watchdog(self._watchdog)

    async def drive(self) -> process_stats.Reading:
        """Send for a span; what the proxy spent on it beyond its idling."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2.0)
        idle = process_stats.read(self.proxy.pid)
        await asyncio.sleep(IDLE_S)
        if isinstance(self.proxy, Sampled):
            # What it took to start is no part of a request.
            self.proxy.send_signal(signal.SIGUSR1)
        before = process_stats.read(self.proxy.pid)
        end = loop.time() + DURATION_S
        due = loop.time()
        async with asyncio.TaskGroup() as group:
            while (due := due + self.rng.expovariate(self.load.rate)) < end:
                await asyncio.sleep(max(0.0, due - loop.time()))
                group.create_task(self._one(self.rng.choice(ARMS)))
        after = process_stats.read(self.proxy.pid)
        rest = (before.run_s - idle.run_s) / IDLE_S * DURATION_S
        return process_stats.Reading(
            after.run_s - before.run_s - rest, after.wait_s - before.wait_s, after.memory_mb
        )

    async def _one(self, arm: str) -> None:
        address = {"proxy": self.proxy.web, "relay": str(self.relay.spec["members"][0]["address"])}.get(arm)
        address = address or self.rng.choice(self.addresses)
        begun = asyncio.get_running_loop().time()
        try:
            reply = await self.fleet.machine.web.request("GET", address, "/x?ask=a", [], b"", 5.0)
        except (OSError, TimeoutError):
            self.failed += 1
            return
        now = asyncio.get_running_loop().time()
        if reply.status != 200:
            self.failed += 1
            return
        if arm != "relay":
            # Warm, idle or fresh: by when this endpoint was reached last in this way.
            by = f"{arm} {reply.header('dykeswitch-served-by')}"
            last = self._used.get(by)
            state = "fresh" if last is None else "kept" if begun - last < KEPT_S else "idle"
            self._used[by] = now
            self.took[f"{arm} {state}"].append(now - begun)
        self.took[arm].append(now - begun)


async def _bench(load: Load, turn: int, sampled: bool) -> Page:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-data-"))
    bench = Bench(load, folder, turn, sampled)
    page: Page = {}
    try:
        await bench.start()
        spent = await bench.drive()
        asked = len(bench.took["proxy"])
        page = {
            "asked": asked,
            "failed": bench.failed,
            "proxy_ms": round(spent.run_s / max(1, asked) * 1000, 4),
            "proxy_wait_share": round(spent.wait_s / DURATION_S, 4),
            "memory_mb": round(spent.memory_mb, 1),
            "took": {name: testbeds.quantiles(took) for name, took in sorted(bench.took.items())},
        }
        if isinstance(bench.proxy, Sampled):
            bench.proxy.send_signal(signal.SIGTERM)
            await bench.proxy.wait_exit(15)
            page["sampled"] = bench.proxy.parts()
    finally:
        with contextlib.suppress(OSError):
            await bench.stop()
        shutil.rmtree(folder, ignore_errors=True)
    return page


def run(turns: typing.Sequence[int], path: pathlib.Path) -> int:
    """Every load, turn by turn, and one run of each under the sampler; how many failed."""
    failed = 0
    for turn in turns:
        for load in LOADS:
            for sampled in (False, True):
                head: Page = {
                    "kind": "data",
                    "turn": turn,
                    "commit": measure.commit(),
                    "load_before": round(os.getloadavg()[0], 2),
                    "sampled_run": sampled,
                    **dataclasses.asdict(load),
                }
                try:
                    page = asyncio.run(sweeps.bounded(_bench(load, turn, sampled)))
                except (OSError, TimeoutError) as flaw:
                    failed += 1
                    page = {"why": str(flaw)[:200]}
                    head["kind"] = "failed"
                sweeps.write(path, {**head, **page})
                sys.stderr.write(f"data {turn} {load} sampled={sampled}\n")
    return failed
