"""A process of many members: proxies without callers, or endpoints that beat.

The driver speaks to it by JSON lines on its standard input; it answers on its standard
output. It ends by itself when the driver is gone, or when its time is over.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time
import typing

import dykeswitch.logs as logs
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.proxy.program as proxies
import dykeswitch.scale.process_stats as process_stats
import dykeswitch.settings as settings
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.fleet as fleets
import dykeswitch.timeline as timelines

Spec = dict[str, typing.Any]
Page = dict[str, typing.Any]

# How often members that are not ready yet are looked at: the grain of start-up times.
LOOK_S: typing.Final = 0.02


class NoServer:
    """Stands for a web server that nobody calls."""

    async def stop(self, grace_s: float) -> None:
        """Nothing runs that would have to stop."""
        return None


class NoWeb(real.RealWeb):
    """Serves nothing: headless proxies have no callers."""

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Serve nothing."""
        return NoServer()


class CountingConnection:
    """A pipe that adds its bytes to a book."""

    def __init__(self, connection: ports.Connection, events: dict[str, int], name: str) -> None:
        self._connection = connection
        self._counts = events
        self._name = name

    def _add(self, way: str, size: int) -> None:
        key = f"{self._name}_{way}_bytes"
        self._counts[key] = self._counts.get(key, 0) + size

    async def read(self, max_bytes: int) -> bytes:
        """Read and count."""
        data = await self._connection.read(max_bytes)
        self._add("got", len(data))
        return data

    async def write(self, data: bytes) -> None:
        """Count and write."""
        self._add("sent", len(data))
        await self._connection.write(data)

    def close(self) -> None:
        """Close the connection beneath."""
        self._connection.close()

    def ended(self) -> bool:
        """Whether the connection beneath has ended."""
        return self._connection.ended()


class CountNetwork:
    """A network that counts what endpoints send as beats and get as probes."""

    def __init__(self, net: ports.Network) -> None:
        self._net = net
        self.events: dict[str, int] = {}

    async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
        """Connect, and count what is sent as heartbeats."""
        return CountingConnection(await self._net.connect(address, timeout_s), self.events, "beat")

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Listen, and count what comes as probes."""

        async def counted(connection: ports.Connection) -> None:
            await serve(CountingConnection(connection, self.events, "probe"))

        return await self._net.listen(address, counted)


class Members(typing.Protocol):
    """What the kinds of worker have in common."""

    async def run(self) -> None:
        """Run all members."""
        ...

    async def handle(self, ask: Page) -> Page:
        """Answer one request of the driver."""
        ...


class Proxies:
    """Headless proxies, and the book of what each heard when."""

    def __init__(self, spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> None:
        self._write = write
        self._frozen = 0
        self.members: dict[str, proxies.Proxy] = {}
        machine = real.machine()._replace(web=NoWeb())
        for raw in spec["members"]:
            config = settings.Settings(**{**raw, "seeds": tuple(raw["seeds"])})
            log = logs.Log("proxy", config.name, "info", machine.clock)
            log.hook = self._hook(config.name)
            proxy = proxies.Proxy(config, machine, log, random.SystemRandom())
            proxy.timeline.on_change(self._watch(config.name))
            self.members[config.name] = proxy

    def _hook(self, name: str) -> typing.Callable[[dict[str, typing.Any]], None]:
        def told(line: dict[str, typing.Any]) -> None:
            if line["event"] == "layout taken up":
                self._write(["layout", time.monotonic(), name, line["version"]])
            elif line["event"] == "frozen":
                self._frozen += 1

        return told

    def _watch(self, name: str) -> typing.Callable[[timelines.Entry], None]:
        def taken(entry: timelines.Entry) -> None:
            if entry.kind == timelines.ENDPOINT and entry.fields["state"] == timelines.LEFT:
                self._write(["left", time.monotonic(), name, entry.key])
            elif entry.kind == timelines.MARK:
                self._write(["mark", time.monotonic(), name, entry.key])

        return taken

    async def run(self) -> None:
        """Run all proxies."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._until_ready())
            for proxy in self.members.values():
                group.create_task(proxy.run())
                # A start of hundreds in one process must not look like a freeze to each.
                await asyncio.sleep(0)

    async def _until_ready(self) -> None:
        waits = dict(self.members)
        while waits:
            for name in [n for n, p in waits.items() if p.ready() is None]:
                del waits[name]
                self._write(["ready", time.monotonic(), name])
            await asyncio.sleep(LOOK_S)

    async def handle(self, ask: Page) -> Page:
        """Mark an endpoint, or give the counts."""
        if ask["do"] == "mark":
            proxy = self.members[ask["name"]]
            at = time.monotonic()
            proxy.marks.set_down(ask["endpoint"], "test mark", ask["name"])
            return {"at": at, "key": timelines.down_key(ask["endpoint"])}
        counts: dict[str, int] = {}
        for proxy in self.members.values():
            for key, by in proxy.meter.counts.items():
                counts[key] = counts.get(key, 0) + by
        unready = sum(1 for p in self.members.values() if p.ready() is not None)
        member_timelines = [p.timeline for p in self.members.values()]
        held = {
            kind: sum(t.count(kind) for t in member_timelines) / len(member_timelines)
            for kind in timelines.KINDS
        }
        return {"counts": counts, "unready": unready, "frozen": self._frozen, "held": held}


class Endpoints:
    """Hollow endpoints: they beat to registries and answer probes."""

    def __init__(self, spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> None:
        self._rng = random.Random(spec["seed"])
        self._net = CountNetwork(real.RealNetwork())
        self._members: dict[str, endpoints.Endpoint] = {}
        for raw in spec["members"]:
            # Each has pipes of its own, as processes of their own would.
            machine = real.machine()._replace(net=self._net, web=fleets.LightWeb(self._net))
            self._members[raw["name"]] = endpoints.Endpoint(
                raw["name"],
                raw["service"],
                raw["address"],
                raw["zone"],
                machine,
                lambda: spec["registries"],
                self._rng,
                0.0,
                spec["interval_s"],
            )
        self._interval_s = float(spec["interval_s"])

    async def run(self) -> None:
        """Run all endpoints."""
        async with asyncio.TaskGroup() as group:
            for member in self._members.values():
                await member.open()
                group.create_task(self._beat(member))

    async def _beat(self, member: endpoints.Endpoint) -> None:
        # Endpoints that all beat at the same moment are no fleet.
        await asyncio.sleep(self._rng.random() * self._interval_s)
        await member.send_heartbeats()

    async def handle(self, ask: Page) -> Page:
        """Have an endpoint leave, or give the counts."""
        if ask["do"] == "leave":
            at = time.monotonic()
            return {"at": at, "heard": await self._members[ask["name"]].leave()}
        return {"counts": dict(self._net.events)}


class Relay:
    """Bare pipes to an endpoint: the least that anything in Python between two sockets costs."""

    def __init__(self, spec: Spec) -> None:
        self._members = spec["members"]
        self._net = real.RealNetwork()

    async def run(self) -> None:
        """Listen for ever."""
        for raw in self._members:
            await self._net.listen(raw["address"], self._bring(raw["target"]))
        await asyncio.Event().wait()

    def _bring(self, driver: str) -> ports.Serve:
        async def serve(connection: ports.Connection) -> None:
            there = await self._net.connect(ports.address_of(driver), 1.0)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(connection, there))
                group.create_task(self._pump(there, connection))

        return serve

    async def _pump(self, one: ports.Connection, two: ports.Connection) -> None:
        while part := await one.read(real.READ_SIZE):
            await two.write(part)
        two.close()

    async def handle(self, ask: Page) -> Page:
        """Nothing can be asked of a relay."""
        return {}


def _make_members(spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> Members:
    if spec["kind"] == "relay":
        return Relay(spec)
    return Proxies(spec, write) if spec["kind"] == "proxy" else Endpoints(spec, write)


async def _listen(members: Members) -> None:
    """Answer the driver until it says stop or its end of the pipe closes."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        ask = json.loads(line)
        if ask["do"] == "stop":
            return
        print(json.dumps(await members.handle(ask)), flush=True)


async def serve(spec: Spec) -> None:
    """Run a worker until told to stop, left alone, or out of time."""
    # Opened once, before anything is served: nobody waits for it.
    print(json.dumps({"memory_mb": process_stats.read(os.getpid()).memory_mb}), flush=True)
    with pathlib.Path(spec["events"]).open("a", buffering=1) as events:  # noqa: ASYNC230

        def write(line: list[typing.Any]) -> None:
            events.write(json.dumps(line) + "\n")

        members = _make_members(spec, write)
        work = asyncio.create_task(members.run())
        driver = asyncio.create_task(_listen(members))
        # Whatever comes first: the driver's word, a fault of the worker, the end of its time.
        await asyncio.wait([work, driver], timeout=spec["span_s"], return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            work.result()
        for task in (work, driver):
            task.cancel()
        await asyncio.wait([work, driver], timeout=2)


if __name__ == "__main__":
    asyncio.run(serve(json.loads(pathlib.Path(sys.argv[1]).read_text())))
