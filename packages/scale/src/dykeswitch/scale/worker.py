"""A process that runs many members: headless proxies, endpoints, or a relay.

The driver sends requests as JSON lines on standard input and gets the replies on standard output.
The process ends by itself when the driver is gone or its time limit is reached.
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
JsonObject = dict[str, typing.Any]

# How often members are checked for readiness; the resolution of start-up times.
READY_POLL_INTERVAL_S: typing.Final = 0.02


class NoServer:
    """A web server that doesn't listen."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing, since no server runs."""
        return None


class NoWeb(real.RealWeb):
    """Web access without a server, since headless proxies have no clients."""

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Return a server that doesn't listen."""
        return NoServer()


class CountingConnection:
    """A connection that adds its bytes to shared counts."""

    def __init__(self, connection: ports.Connection, counts: dict[str, int], name: str) -> None:
        self._connection = connection
        self._counts = counts
        self._name = name

    def _add(self, direction: str, size: int) -> None:
        key = f"{self._name}_{direction}_bytes"
        self._counts[key] = self._counts.get(key, 0) + size

    async def read(self, max_bytes: int) -> bytes:
        """Read, and count the bytes received."""
        data = await self._connection.read(max_bytes)
        self._add("got", len(data))
        return data

    async def write(self, data: bytes) -> None:
        """Count the bytes sent, and write."""
        self._add("sent", len(data))
        await self._connection.write(data)

    def close(self) -> None:
        """Close the wrapped connection."""
        self._connection.close()

    def ended(self) -> bool:
        """Return whether the wrapped connection has ended."""
        return self._connection.ended()


class CountingNetwork:
    """A network that counts the bytes of endpoints' heartbeats and of the probes they receive."""

    def __init__(self, net: ports.Network) -> None:
        self._net = net
        self.counts: dict[str, int] = {}

    async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
        """Connect, and count the bytes as heartbeats."""
        return CountingConnection(await self._net.connect(address, timeout_s), self.counts, "beat")

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Listen, and count the bytes as probes."""

        async def counted(connection: ports.Connection) -> None:
            await serve(CountingConnection(connection, self.counts, "probe"))

        return await self._net.listen(address, counted)


class Members(typing.Protocol):
    """The interface that the kinds of worker have in common."""

    async def run(self) -> None:
        """Run all members."""
        ...

    async def handle(self, request: JsonObject) -> JsonObject:
        """Reply to one request of the driver."""
        ...


class Proxies:
    """Headless proxies, with a log of when each learned of an event."""

    def __init__(self, spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> None:
        self._write = write
        self._frozen = 0
        self.members: dict[str, proxies.Proxy] = {}
        machine = real.machine()._replace(web=NoWeb())
        for member_spec in spec["members"]:
            config = settings.Settings(**{**member_spec, "seeds": tuple(member_spec["seeds"])})
            log = logs.Log("proxy", config.name, "info", machine.clock)
            log.hook = self._hook(config.name)
            proxy = proxies.Proxy(config, machine, log, random.SystemRandom())
            proxy.timeline.on_change(self._watch(config.name))
            self.members[config.name] = proxy

    def _hook(self, name: str) -> typing.Callable[[dict[str, typing.Any]], None]:
        def on_log_line(line: dict[str, typing.Any]) -> None:
            if line["event"] == "layout taken up":
                self._write(["layout", time.monotonic(), name, line["version"]])
            elif line["event"] == "frozen":
                self._frozen += 1

        return on_log_line

    def _watch(self, name: str) -> typing.Callable[[timelines.Entry], None]:
        def record(entry: timelines.Entry) -> None:
            if entry.kind == timelines.ENDPOINT and entry.fields["state"] == timelines.LEFT:
                self._write(["left", time.monotonic(), name, entry.key])
            elif entry.kind == timelines.MARK:
                self._write(["mark", time.monotonic(), name, entry.key])

        return record

    async def run(self) -> None:
        """Run all proxies."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._until_ready())
            for proxy in self.members.values():
                group.create_task(proxy.run())
                # Starting hundreds of proxies without a pause would look like a freeze to each.
                await asyncio.sleep(0)

    async def _until_ready(self) -> None:
        pending = dict(self.members)
        while pending:
            for name in [n for n, p in pending.items() if p.ready() is None]:
                del pending[name]
                self._write(["ready", time.monotonic(), name])
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def handle(self, request: JsonObject) -> JsonObject:
        """Mark an endpoint as down, or return the counts."""
        if request["do"] == "mark":
            proxy = self.members[request["name"]]
            started_at = time.monotonic()
            proxy.marks.set_down(request["endpoint"], "test mark", request["name"])
            return {"at": started_at, "key": timelines.down_key(request["endpoint"])}
        counts: dict[str, int] = {}
        for proxy in self.members.values():
            for key, amount in proxy.meter.counts.items():
                counts[key] = counts.get(key, 0) + amount
        unready = sum(1 for p in self.members.values() if p.ready() is not None)
        member_timelines = [p.timeline for p in self.members.values()]
        entry_counts = {
            kind: sum(t.count(kind) for t in member_timelines) / len(member_timelines)
            for kind in timelines.KINDS
        }
        return {"counts": counts, "unready": unready, "frozen": self._frozen, "held": entry_counts}


class Endpoints:
    """Stand-in endpoints that send heartbeats to registries and answer probes."""

    def __init__(self, spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> None:
        self._rng = random.Random(spec["seed"])
        self._net = CountingNetwork(real.RealNetwork())
        self._members: dict[str, endpoints.Endpoint] = {}
        for member_spec in spec["members"]:
            # Each has its own connections, as separate processes would.
            machine = real.machine()._replace(net=self._net, web=fleets.LightWeb(self._net))
            self._members[member_spec["name"]] = endpoints.Endpoint(
                member_spec["name"],
                member_spec["service"],
                member_spec["address"],
                member_spec["zone"],
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
                group.create_task(self._heartbeat_after_delay(member))

    async def _heartbeat_after_delay(self, member: endpoints.Endpoint) -> None:
        # In a real fleet, endpoints don't all send heartbeats at the same moment.
        await asyncio.sleep(self._rng.random() * self._interval_s)
        await member.send_heartbeats()

    async def handle(self, request: JsonObject) -> JsonObject:
        """Let an endpoint leave, or return the counts."""
        if request["do"] == "leave":
            started_at = time.monotonic()
            return {"at": started_at, "heard": await self._members[request["name"]].leave()}
        return {"counts": dict(self._net.counts)}


class Relay:
    """A plain TCP relay to an endpoint: the minimum cost of anything in Python between two sockets."""

    def __init__(self, spec: Spec) -> None:
        self._members = spec["members"]
        self._net = real.RealNetwork()

    async def run(self) -> None:
        """Listen until cancelled."""
        for member_spec in self._members:
            await self._net.listen(member_spec["address"], self._forward_to(member_spec["target"]))
        await asyncio.Event().wait()

    def _forward_to(self, target: str) -> ports.Serve:
        async def serve(connection: ports.Connection) -> None:
            upstream = await self._net.connect(ports.address_of(target), 1.0)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(connection, upstream))
                group.create_task(self._pump(upstream, connection))

        return serve

    async def _pump(self, source: ports.Connection, sink: ports.Connection) -> None:
        while data := await source.read(real.READ_SIZE):
            await sink.write(data)
        sink.close()

    async def handle(self, request: JsonObject) -> JsonObject:
        """Return an empty reply, since a relay has no requests."""
        return {}


def _make_members(spec: Spec, write: typing.Callable[[list[typing.Any]], None]) -> Members:
    if spec["kind"] == "relay":
        return Relay(spec)
    return Proxies(spec, write) if spec["kind"] == "proxy" else Endpoints(spec, write)


async def _serve_driver(members: Members) -> None:
    """Reply to the driver until it requests a stop or closes its end of the pipe."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        request = json.loads(line)
        if request["do"] == "stop":
            return
        print(json.dumps(await members.handle(request)), flush=True)


async def serve(spec: Spec) -> None:
    """Run a worker until the driver stops it or is gone, or the time limit is reached."""
    # The blocking open is harmless, since nothing is served yet.
    print(json.dumps({"memory_mb": process_stats.read(os.getpid()).memory_mb}), flush=True)
    with pathlib.Path(spec["events"]).open("a", buffering=1) as events_file:  # noqa: ASYNC230

        def write(line: list[typing.Any]) -> None:
            events_file.write(json.dumps(line) + "\n")

        members = _make_members(spec, write)
        members_task = asyncio.create_task(members.run())
        driver_task = asyncio.create_task(_serve_driver(members))
        # Ends with whichever comes first: a stop by the driver, an error, or the time limit.
        await asyncio.wait(
            [members_task, driver_task], timeout=spec["span_s"], return_when=asyncio.FIRST_COMPLETED
        )
        if members_task.done():
            members_task.result()
        for task in (members_task, driver_task):
            task.cancel()
        await asyncio.wait([members_task, driver_task], timeout=2)


if __name__ == "__main__":
    asyncio.run(serve(json.loads(pathlib.Path(sys.argv[1]).read_text())))
