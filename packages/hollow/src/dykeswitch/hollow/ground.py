"""A hollow fleet on this machine: real cores, one real proxy, and herds of hollow members."""

import asyncio
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

import dykeswitch.hollow.gauge as gauge
import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.shape as shapes

Page = dict[str, typing.Any]

# Members of a herd share a process; so many of them at most. Fifteen proxies in one process
# stood in each other's way at 120 endpoints, and what was measured was their waiting.
HERD_MOST: typing.Final = {"proxy": 8, "endpoint": 100}
# Loopback numbers below the range that the kernel gives to outgoing pipes.
PORT_FROM: typing.Final = 10000
ZONES: typing.Final = tuple(f"z{n}" for n in range(1, 14))
START_S: typing.Final = 150.0
# However a run goes, its processes are gone after this.
SPAN_MOST_S: typing.Final = 400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a hollow fleet: what is varied, one at a time."""

    nodes: int = 40
    endpoints: int = 60
    services: int = 10
    rules: int = 100
    changes: float = 0.0
    marks: float = 0.0
    cores: int = 3

    def layout(self, turn: int) -> Page:
        """A layout of this size; each turn moves one rule to another service."""
        names = [f"s{n}" for n in range(self.services)]
        rules = [
            {
                "name": f"rule-{n}",
                "host": f"tenant{n}.example",
                "path": f"/part{n}",
                "service": names[n % len(names)],
            }
            for n in range(self.rules)
        ]
        rules[0]["service"] = names[turn % len(names)]
        rules[0]["path"] = f"/turn{turn}"
        return {"services": {name: {"probe": "/healthz", "expiry_s": 10} for name in names}, "rules": rules}


class Herd:
    """One herd's process, spoken to by lines."""

    def __init__(self, name: str, spec: Page, folder: pathlib.Path) -> None:
        self.name = name
        self.spec = {**spec, "span_s": SPAN_MOST_S}
        self._folder = folder
        self._turn = 0
        self._lock = asyncio.Lock()
        self._run: asyncio.subprocess.Process | None = None
        self.base_mb = 0.0
        self.begun = 0.0

    @property
    def size(self) -> int:
        return len(self.spec["members"])

    @property
    def pid(self) -> int:
        assert self._run is not None
        return self._run.pid

    @property
    def book(self) -> pathlib.Path:
        return self._folder / f"{self.name}-{self._turn}.book"

    async def start(self) -> None:
        """Start it, as many times as it takes: each start has a book of its own."""
        self._turn += 1
        self.begun = asyncio.get_running_loop().time()
        path = self._folder / f"{self.name}-{self._turn}.spec"
        path.write_text(json.dumps({**self.spec, "book": str(self.book)}))
        with (self._folder / f"{self.name}.log").open("ab") as out:
            self._run = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dykeswitch.hollow.herd",
                str(path),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
                limit=2**20,
            )
        hello = await self._read()
        self.base_mb = float(hello["memory_mb"])

    async def _read(self) -> Page:
        assert self._run is not None and self._run.stdout is not None
        line = await asyncio.wait_for(self._run.stdout.readline(), START_S)
        if not line:
            raise OSError(f"{self.name} ended; see its log")
        page: Page = json.loads(line)
        return page

    async def ask(self, **ask: typing.Any) -> Page:
        """One question and its answer, in order."""
        assert self._run is not None and self._run.stdin is not None
        async with self._lock:
            self._run.stdin.write(json.dumps(ask).encode() + b"\n")
            await self._run.stdin.drain()
            return await self._read()

    def lines(self) -> list[list[typing.Any]]:
        """What its members wrote down since it was started last."""
        if not self.book.exists():
            return []
        # A killed process may leave half a line.
        whole = self.book.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in whole.splitlines()]

    def ended(self) -> bool:
        return self._run is None or self._run.returncode is not None

    async def end(self, sign: int = signal.SIGTERM) -> None:
        """End this very process, by its id, and wait for that."""
        run = self._run
        if run is None or run.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            run.send_signal(sign)
        try:
            await asyncio.wait_for(run.wait(), 10)
        except TimeoutError:
            run.kill()
            await run.wait()


class Ground:
    """All processes of one run."""

    def __init__(self, size: Size, folder: pathlib.Path, seed: int) -> None:
        self.size = size
        self.folder = folder
        self.rng = random.Random(seed)
        # A block of loopback numbers of our own, so that two runs do not meet.
        self._block = f"127.{self.rng.randrange(1, 250)}.{os.getpid() % 250}"
        self._ports = iter(range(PORT_FROM, 32000))
        shape = shapes.Shape("hollow", 1, size.cores, ZONES[: max(3, size.cores)], ())
        self.fleet = fleets.Fleet(shape, folder, seed)
        self.proxies = self._herds("proxy", size.nodes - 1, self._proxy)
        self.endpoints = self._herds("endpoint", size.endpoints, self._endpoint)
        self._turn = 0
        self._warden: subprocess.Popen[bytes] | None = None
        self.changes: dict[int, float] = {}

    def _address(self) -> str:
        return f"{self._block}.1:{next(self._ports)}"

    def _herds(self, kind: str, count: int, member: typing.Callable[[int], Page]) -> list[Herd]:
        members = [member(n) for n in range(count)]
        parts = -(-count // HERD_MOST[kind])
        herds = []
        for n in range(parts):
            spec: Page = {"kind": kind, "members": members[n::parts], "seed": self.rng.random()}
            if kind == "endpoint":
                spec["registries"] = [registry.web for registry, _ in self.fleet.cores]
                spec["interval_s"] = 1.0
            if spec["members"]:
                herds.append(Herd(f"{kind}s{n}", spec, self.folder))
        return herds

    def _proxy(self, n: int) -> Page:
        seeds = [registry.flags["member"] for registry, _ in self.fleet.cores]
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        address = self._address()
        page: Page = {"name": f"hollow{n}", "zone": zone, "member": address, "web": address, "seeds": seeds}
        return page

    def _endpoint(self, n: int) -> Page:
        zone = self.fleet.shape.zones[n % len(self.fleet.shape.zones)]
        service = f"s{n % self.size.services}"
        return {"name": f"{service}-{n}", "service": service, "spot": self._address(), "zone": zone}

    # Starting and stopping.

    async def start(self) -> Page:
        """Start cores, then endpoints, then all proxies at once: how long each took."""
        clock = self.fleet.machine.clock
        begun = clock.now()
        self._warden = watched(self.fleet)
        await self.change()
        cores = clock.now()
        await asyncio.gather(*(herd.start() for herd in self.endpoints))
        while await self.fleet.known() < self.size.endpoints:
            if clock.now() - cores > START_S:
                raise TimeoutError("endpoints not known")
            await clock.sleep(0.1)
        known = clock.now()
        for proxy in self.fleet.proxies:
            proxy.start()
            tell_warden(self._warden, proxy)
        await asyncio.gather(*(herd.start() for herd in self.proxies))
        took = await self.ready(self.proxies)
        while not await self._real_ready():
            await clock.sleep(0.1)
        return {"cores_s": cores - begun, "endpoints_s": known - cores, **took}

    async def _real_ready(self) -> bool:
        """Whether the proxy that is a process of its own is ready too."""
        try:
            for proxy in self.fleet.proxies:
                reply = await self.fleet.machine.web.ask("GET", proxy.web, "/readyz", [], b"", 1.0)
                if reply.status != 200:
                    return False
        except (OSError, TimeoutError):
            return False
        return True

    async def ready(self, herds: typing.Sequence[Herd]) -> Page:
        """Wait until every hollow proxy of some herds has been ready; seconds since its herd's start."""
        end = self.fleet.machine.clock.now() + START_S
        while True:
            seen = {h.name: [line for line in h.lines() if line[0] == "ready"] for h in herds}
            if all(len(seen[h.name]) >= h.size for h in herds):
                break
            if self.fleet.machine.clock.now() > end:
                raise TimeoutError("proxies not ready")
            await self.fleet.machine.clock.sleep(0.2)
        return spans([line[1] - h.begun for h in herds for line in seen[h.name]])

    async def stop(self) -> None:
        await asyncio.gather(*(herd.end() for herd in (*self.proxies, *self.endpoints)))
        await self.fleet.stop()
        end_warden(self._warden)

    # What is done to it.

    async def change(self) -> tuple[int, float]:
        """Send the next layout; its version, and seconds until the operator was told."""
        self._turn += 1
        at = self.fleet.machine.clock.now()
        version = await self.fleet.apply(self.size.layout(self._turn), START_S)
        self.changes[version] = at
        return version, self.fleet.machine.clock.now() - at

    async def mark(self, n: int) -> tuple[float, str]:
        """Have some hollow proxy mark an endpoint; when, and the mark's key."""
        herd = self.rng.choice(self.proxies)
        name = self.rng.choice(herd.spec["members"])["name"]
        every = [m["name"] for h in self.endpoints for m in h.spec["members"]]
        page = await herd.ask(do="mark", name=name, endpoint=every[n % len(every)])
        return float(page["at"]), str(page["key"])

    async def leave(self, n: int) -> tuple[float, str]:
        """Have an endpoint say that it leaves; when, and its name."""
        herd = self.endpoints[n % len(self.endpoints)]
        name = herd.spec["members"][-1 - n // len(self.endpoints)]["name"]
        page = await herd.ask(do="leave", name=name)
        return float(page["at"]), str(name)

    def seen(self, kind: str, since: float) -> dict[typing.Any, dict[str, float]]:
        """For each thing of a kind, when each hollow proxy first knew of it."""
        found: dict[typing.Any, dict[str, float]] = {}
        for herd in self.proxies:
            for line in herd.lines():
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
            "hollow": [h.pid for h in self.proxies],
            "endpoint": [h.pid for h in self.endpoints],
        }

    def readings(self) -> dict[str, list[gauge.Reading]]:
        return {role: [gauge.read(pid) for pid in pids] for role, pids in self.pids().items()}

    async def counts(self) -> dict[str, list[dict[str, float]]]:
        """Each process's counts by role: calls, bytes by kind."""
        cores = self.fleet.cores
        hollow = [await h.ask(do="tally") for h in self.proxies]
        return {
            "registry": [await self._page(registry.web) for registry, _ in cores],
            "store": [await self._page(store.web) for _, store in cores],
            "proxy": [await self._page(p.web) for p in self.fleet.proxies],
            "hollow": [{**p["counts"], "unready": p["unready"], "frozen": p["frozen"]} for p in hollow],
            "endpoint": [(await h.ask(do="tally"))["counts"] for h in self.endpoints],
        }

    async def _page(self, address: str) -> dict[str, float]:
        reply = await self.fleet.machine.web.ask("GET", address, "/-/counters", [], b"", 10)
        found: dict[str, float] = {}
        for line in reply.body.decode().splitlines():
            name, _, text = line.partition("{")
            if line.startswith("#") or not text:
                continue
            found[name.split("_", 2)[2].removesuffix("_total")] = float(text.rpartition(" ")[2])
        return found


def spans(took: typing.Sequence[float]) -> Page:
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


def watched(fleet: fleets.Fleet) -> "subprocess.Popen[bytes]":
    """Start a fleet's cores, and a warden that ends them should this process be gone."""
    args = [sys.executable, "-m", "dykeswitch.hollow.warden", str(SPAN_MOST_S)]
    warden = subprocess.Popen(args, stdin=subprocess.PIPE)
    for pair in fleet.cores:
        for process in pair:
            process.start()
            tell_warden(warden, process)
    return warden


def tell_warden(warden: "subprocess.Popen[bytes] | None", process: fleets.Process) -> None:
    assert warden is not None and warden.stdin is not None
    warden.stdin.write(b"%d\n" % process.pid)
    warden.stdin.flush()


def end_warden(warden: "subprocess.Popen[bytes] | None") -> None:
    if warden is not None and warden.stdin is not None:
        warden.stdin.close()
        warden.wait(10)


@contextlib.asynccontextmanager
async def standing(size: Size, seed: int) -> typing.AsyncIterator[Ground]:
    """A hollow fleet that is taken down at the end whatever happens."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dykeswitch-hollow-"))
    ground = Ground(size, folder, seed)
    try:
        yield ground
    finally:
        await ground.stop()
        shutil.rmtree(folder, ignore_errors=True)
