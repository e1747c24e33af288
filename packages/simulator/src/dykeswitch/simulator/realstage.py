"""A fleet of real processes under a day of faults, and its history."""

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
    """One fleet of real processes under a day of faults."""

    def __init__(self, fleet: real.Fleet) -> None:
        self.fleet = fleet
        self.clock = fleet.machine.clock
        self.rng = fleet.rng
        self.story = histories.History()
        # Shared by all that act at the same time, so that no two layouts or endpoints are alike.
        self._markers = itertools.count(1)
        self._fresh = itertools.count(1)
        self.notes: dict[str, typing.Any] = {}
        self._boots: dict[str, int] = {}

    @property
    def now(self) -> float:
        """Seconds of the machine's steady clock."""
        return self.clock.now()

    def acting(self, seed: int) -> "RealStage":
        """The same stage for one of several that act at the same time, with draws of its own."""
        actor = copy.copy(self)
        actor.rng = random.Random(seed)
        return actor

    def layout(self) -> dict[str, typing.Any]:
        """A new layout, which no earlier one is like."""
        marker = next(self._markers)
        doc = shapes.rotating_layout(copy.deepcopy(self.fleet.shape.layout()), marker)
        doc["rules"].append({"path": f"/marker-{marker}", "service": self.fleet.shape.services[0].name})
        return doc

    def core(self) -> tuple[real.Process, real.Process]:
        """Some core: its registry and its store."""
        return self.rng.choice(self.fleet.cores)

    async def put(
        self, core: tuple[real.Process, real.Process], doc: dict[str, typing.Any] | None = None
    ) -> observations.LayoutPut:
        """Send a layout to a core, and note what came of it."""
        body = json.dumps(doc or self.layout(), sort_keys=True)
        put = observations.LayoutPut(self.now, body, None)
        self.story.puts.append(put)
        try:
            reply = await self.fleet.machine.web.request(
                "PUT", core[0].web, "/v1/layout", [], body.encode(), 5
            )
            put.status = reply.status
            if reply.status == 200:
                put.version = int(json.loads(reply.body)["version"])
        except (OSError, TimeoutError):
            put.status = 0
        put.ended_at = self.now
        return put

    async def get(self, core: tuple[real.Process, real.Process]) -> observations.LayoutRead:
        """Read the newest layout back from a core, and note it."""
        got = observations.LayoutRead(self.now)
        self.story.reads.append(got)
        try:
            reply = await self.fleet.machine.web.request("GET", core[0].web, "/v1/layout", [], b"", 5)
            got.status = reply.status
            if reply.status == 200:
                got.version = int(reply.header("dykeswitch-version") or 0)
                got.body = json.dumps(json.loads(reply.body), sort_keys=True)
        except (OSError, TimeoutError):
            got.status = 0
        got.ended_at = self.now
        return got

    async def sample(self) -> None:
        """Ask each proxy four times a second what it carries."""

        async def one(proxy: real.Process) -> None:
            boot = self._boots.get(proxy.name, 0)
            at = self.now
            try:
                reply = await self.fleet.machine.web.request("GET", proxy.web, "/readyz", [], b"", 0.5)
                page = json.loads(reply.body)
            except (OSError, TimeoutError, ValueError):
                return
            # What it said was so at some moment of the call: judge by the earliest.
            ready = bool(page["ready"])
            self.story.samples.append(observations.Sample(at, proxy.name, boot, page["layout"], ready))

        while True:
            await asyncio.gather(*(one(p) for p in self.fleet.proxies if p.running()))
            await self.clock.sleep(0.25)

    def mark_gone(self, proxies: typing.Iterable[real.Process], begun: float) -> None:
        """Proxies were gone or frozen until now: what callers lost by it is excused."""
        for proxy in proxies:
            span = histories.Span(proxy.web, begun, self.now + stages.PLATFORM_S)
            self.story.gone.append(span)

    async def kill(self, process: real.Process) -> None:
        """Kill a process and wait for its end."""
        process.send_signal(signal.SIGKILL)
        await process.wait_exit(5)

    def again(self, process: real.Process) -> None:
        """Start a process anew."""
        self._boots[process.name] = self._boots.get(process.name, 0) + 1
        process.start()
        for span in self.story.closed:
            if span.name == process.web and span.ended_at == math.inf:
                span.ended_at = self.now + stages.PLATFORM_S

    def new_host(self, service: str, address: str, **more: typing.Any) -> real.Host:
        """Start one more endpoint of a service; `more` goes into what it is told."""
        fresh = next(self._fresh)
        shape = next(s for s in self.fleet.shape.services if s.name == service)
        host = self.fleet.host(f"{service}-new{fresh}", shape, fresh, address, **more)
        host.start()
        return host

    def live(self, service: str = "") -> list[real.Host]:
        """The endpoints that run, of one service or of all."""
        kept = {s.name for s in self.fleet.slots}
        every = [h for h in self.fleet.hosts if h.running() and h.spec["service"] not in kept]
        return [h for h in every if service in ("", h.spec["service"])]
