"""A fleet of real processes under a series of faults, and the history of it."""

import asyncio
import copy
import itertools
import json
import math
import random
import signal
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.stage as stages
import dykeswitch.standin.fleet as real
import dykeswitch.standin.shape as shapes


class RealStage:
    """One fleet of real processes under a series of faults."""

    def __init__(self, fleet: real.Fleet) -> None:
        self.fleet = fleet
        self.clock = fleet.machine.clock
        self.rng = fleet.rng
        self.story = histories.History()
        # Shared by all concurrent actors, so that layouts and endpoint names are unique.
        self._markers = itertools.count(1)
        self._host_numbers = itertools.count(1)
        self.notes: dict[str, typing.Any] = {}
        self._boot_counts: dict[str, int] = {}

    @property
    def now(self) -> float:
        """Seconds of the machine's monotonic clock."""
        return self.clock.now()

    def with_seed(self, seed: int) -> "RealStage":
        """Return the same stage with its own random choices, for one of several concurrent actors."""
        actor = copy.copy(self)
        actor.rng = random.Random(seed)
        return actor

    def layout(self) -> dict[str, typing.Any]:
        """Return a new layout that differs from all earlier ones."""
        marker = next(self._markers)
        doc = shapes.rotating_layout(copy.deepcopy(self.fleet.shape.layout()), marker)
        doc["rules"].append({"path": f"/marker-{marker}", "service": self.fleet.shape.services[0].name})
        return doc

    def core(self) -> tuple[real.Process, real.Process]:
        """Choose a core: its registry and its store."""
        return self.rng.choice(self.fleet.cores)

    async def put(
        self, core: tuple[real.Process, real.Process], doc: dict[str, typing.Any] | None = None
    ) -> observations.LayoutPut:
        """Send a layout to a core and record the outcome."""
        body = json.dumps(doc or self.layout(), sort_keys=True)
        put = observations.LayoutPut(self.now, body, None)
        self.story.puts.append(put)
        try:
            response = await self.fleet.machine.web.request(
                "PUT", core[0].web, "/v1/layout", [], body.encode(), 5
            )
            put.status = response.status
            if response.status == 200:
                put.version = int(json.loads(response.body)["version"])
        except (OSError, TimeoutError):
            put.status = 0
        put.ended_at = self.now
        return put

    async def get(self, core: tuple[real.Process, real.Process]) -> observations.LayoutRead:
        """Read the newest layout back from a core and record it."""
        read = observations.LayoutRead(self.now)
        self.story.reads.append(read)
        try:
            response = await self.fleet.machine.web.request("GET", core[0].web, "/v1/layout", [], b"", 5)
            read.status = response.status
            if response.status == 200:
                read.version = int(response.header("dykeswitch-version") or 0)
                read.body = json.dumps(json.loads(response.body), sort_keys=True)
        except (OSError, TimeoutError):
            read.status = 0
        read.ended_at = self.now
        return read

    async def sample(self) -> None:
        """Record four times a second which layout each proxy has and whether it is ready."""

        async def sample_proxy(proxy: real.Process) -> None:
            boot = self._boot_counts.get(proxy.name, 0)
            at = self.now
            try:
                response = await self.fleet.machine.web.request("GET", proxy.web, "/readyz", [], b"", 0.5)
                body = json.loads(response.body)
            except (OSError, TimeoutError, ValueError):
                return
            # The response was true at some time during the call; it is judged by the earliest one.
            ready = bool(body["ready"])
            self.story.samples.append(observations.Sample(at, proxy.name, boot, body["layout"], ready))

        while True:
            await asyncio.gather(*(sample_proxy(p) for p in self.fleet.proxies if p.running()))
            await self.clock.sleep(0.25)

    def mark_gone(self, proxies: typing.Iterable[real.Process], started_at: float) -> None:
        """Record that proxies were down or frozen until now; requests lost by that are excused."""
        for proxy in proxies:
            span = histories.Span(proxy.web, started_at, self.now + stages.PLATFORM_S)
            self.story.gone.append(span)

    async def kill(self, process: real.Process) -> None:
        """Kill a process and wait until it has exited."""
        process.send_signal(signal.SIGKILL)
        await process.wait_exit(5)

    def restart(self, process: real.Process) -> None:
        """Start a process again."""
        self._boot_counts[process.name] = self._boot_counts.get(process.name, 0) + 1
        process.start()
        for span in self.story.closed:
            if span.name == process.web and span.ended_at == math.inf:
                span.ended_at = self.now + stages.PLATFORM_S

    def new_host(self, service: str, address: str, **more: typing.Any) -> real.Host:
        """Start another endpoint of a service; `more` is added to its specification."""
        number = next(self._host_numbers)
        shape = next(s for s in self.fleet.shape.services if s.name == service)
        host = self.fleet.host(f"{service}-new{number}", shape, number, address, **more)
        host.start()
        return host

    def live_hosts(self, service: str = "") -> list[real.Host]:
        """Return the running endpoints of one service, or of all services."""
        rotated = {s.name for s in self.fleet.slots}
        running = [h for h in self.fleet.hosts if h.running() and h.spec["service"] not in rotated]
        return [h for h in running if service in ("", h.spec["service"])]
