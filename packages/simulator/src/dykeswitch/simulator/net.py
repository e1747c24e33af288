"""The simulated network: pipes with delay, cuts, resets; web calls over it."""

import asyncio
import collections
import contextvars
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.simulator.loop as loops


class Wires:
    """Which machine reaches which, and how long it takes."""

    def __init__(self, loop: loops.VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.cuts: set[tuple[str, str]] = set()
        self.slow: dict[str, float] = {}
        self.loss = 0.0
        self.ears: dict[str, tuple[loops.Host, ports.Serve]] = {}
        self.apps: dict[str, tuple[loops.Host, ports.App, SimWebServer]] = {}
        # The machine that an address belongs to, whether or not anyone listens.
        self.homes: dict[str, loops.Host] = {}
        self.connections: dict[SimConnection, None] = {}
        self.off: set[str] = set()
        # Where machines stand, how much longer it takes between two zones, and the bytes
        # that went from one machine to another in another zone.
        self.zones: dict[str, str] = {}
        self.far_s = 0.0
        self.crossed: collections.Counter[tuple[str, str]] = collections.Counter()

    def far(self, one: str, two: str) -> bool:
        """Whether two machines are known to stand in different zones."""
        here, there = self.zones.get(one), self.zones.get(two)
        return here is not None and there is not None and here != there

    def sent(self, one: str, two: str, size: int) -> None:
        """Count what goes from one machine to another, where that is between zones."""
        if self.far(one, two):
            self.crossed[one, two] += size

    def delay(self, one: str, two: str) -> float:
        span = self.rng.uniform(0.0002, 0.0015) + self.slow.get(one, 0.0) + self.slow.get(two, 0.0)
        if self.far_s and self.far(one, two):
            span += self.far_s
        # A lost packet is sent again by the transport: seen from here it is late.
        if self.loss and self.rng.random() < self.loss:
            span += self.rng.uniform(0.2, 0.5)
        return span

    def open(self, one: str, two: str) -> bool:
        return (one, two) not in self.cuts and one not in self.off and two not in self.off

    def both(self, one: str, two: str) -> bool:
        return self.open(one, two) and self.open(two, one)

    def cut(self, ones: typing.Iterable[str], twos: typing.Iterable[str], both: bool = True) -> None:
        for one in ones:
            for two in twos:
                if one != two:
                    self.cuts.add((one, two))
                    if both:
                        self.cuts.add((two, one))

    def heal(self) -> None:
        self.cuts.clear()
        for connection in list(self.connections):
            connection.pump()

    def reset_host(self, name: str) -> None:
        """The machine's system ends every pipe that its process had."""
        for connection in list(self.connections):
            if connection.here.name == name:
                connection.reset()


class SimConnection:
    """One end of a pipe; the other end is `peer`."""

    def __init__(self, wires: Wires, here: loops.Host, there: loops.Host) -> None:
        self._wires = wires
        self.here = here
        self.there = there
        self.peer: SimConnection | None = None
        self._inbox = bytearray()
        self._fin = False
        self._rst = False
        self._closed = False
        self._news = asyncio.Event()
        self._queue: collections.deque[bytes | None] = collections.deque()
        self._last = 0.0
        wires.connections[self] = None

    async def read(self, most: int) -> bytes:
        while not self._inbox and not self._fin and not self._rst and not self._closed:
            self._news.clear()
            await self._news.wait()
        if self._rst:
            raise ConnectionResetError("reset by the other side")
        data = bytes(self._inbox[:most])
        del self._inbox[:most]
        return data

    async def write(self, data: bytes) -> None:
        if self._rst or self._closed:
            raise ConnectionResetError("the pipe is closed")
        if self.here.dead or not data:
            return
        self._queue.append(bytes(data))
        self.pump()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._news.set()
        if not self.here.dead:
            self._queue.append(None)
            self.pump()
        # What a cut holds back still leaves once the cut is healed.
        if not self._queue or self.here.dead:
            self._wires.connections.pop(self, None)

    def ended(self) -> bool:
        return self._closed or self._fin or self._rst or bool(self._inbox)

    def pump(self) -> None:
        """Move what is queued on to the other end, unless the wire is cut."""
        if self.peer is None or not self._wires.open(self.here.name, self.there.name):
            return
        while self._queue:
            part = self._queue.popleft()
            span = self._wires.delay(self.here.name, self.there.name)
            # Timers of one moment run in any order, but a pipe keeps its own.
            at = max(self._last + 1e-6, self._wires.loop.time() + span)
            self._last = at
            self._wires.sent(self.here.name, self.there.name, len(part or b""))
            self._wires.loop.call_at(at, self.peer.arrive, part, context=loops.EMPTY)

    def arrive(self, part: bytes | None) -> None:
        if self._closed or self.here.dead:
            # Nobody is there: the sender learns it by a reset.
            known = self._wires.both(self.here.name, self.there.name)
            if part is not None and self.peer is not None and known:
                self.peer.reset()
            return
        if part is None:
            self._fin = True
        else:
            self._inbox += part
        self._news.set()

    def reset(self) -> None:
        """End both ends at once, as far as the wire lets the other know."""
        self._wires.connections.pop(self, None)
        peer = self.peer
        if peer is not None and not peer._rst and self._wires.open(self.here.name, self.there.name):
            peer._rst = True
            peer._news.set()
            self._wires.connections.pop(peer, None)
        self._rst = True
        self._news.set()


class SimListener:
    """Takes pipes for one address until closed."""

    def __init__(self, wires: Wires, address: str) -> None:
        self._wires = wires
        self._address = address
        self.connections: dict[SimConnection, None] = {}

    def close(self) -> None:
        self._wires.ears.pop(self._address, None)
        for connection in list(self.connections):
            connection.close()


class SimNetwork:
    """The network as one machine sees it."""

    def __init__(self, wires: Wires, host: loops.Host) -> None:
        self._wires = wires
        self._host = host

    async def dial(self, address: str, wait: float) -> ports.Connection:
        wires, me = self._wires, self._host
        async with asyncio.timeout(wait):
            home = wires.homes.get(address)
            there = home.name if home is not None else "nowhere"
            await asyncio.sleep(wires.delay(me.name, there))
            # Silence, not a refusal: the packets go nowhere until a cut is healed.
            while home is None or not wires.both(me.name, there):
                await asyncio.sleep(0.05)
                home = wires.homes.get(address)
                there = home.name if home is not None else "nowhere"
            await asyncio.sleep(wires.delay(there, me.name))
            found = wires.ears.get(address)
            if found is None or found[0].dead:
                raise ConnectionRefusedError(address)
            host, serve = found
            mine, theirs = SimConnection(wires, me, host), SimConnection(wires, host, me)
            mine.peer, theirs.peer = theirs, mine
            context = contextvars.Context()
            context.run(loops.HOST.set, host)
            wires.loop.create_task(_serve(serve, theirs), context=context)
        return mine

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        ear = SimListener(self._wires, address)

        async def kept(connection: ports.Connection) -> None:
            assert isinstance(connection, SimConnection)
            ear.connections[connection] = None
            try:
                await serve(connection)
            finally:
                ear.connections.pop(connection, None)

        if address in self._wires.ears and not self._wires.ears[address][0].dead:
            raise OSError(f"{address} is taken")
        self._wires.ears[address] = (self._host, kept)
        self._wires.homes[address] = self._host
        return ear


async def _serve(serve: ports.Serve, connection: SimConnection) -> None:
    try:
        await serve(connection)
    except OSError:
        return
    finally:
        connection.close()


class SimWebServer:
    """A served application and what it has in hand."""

    def __init__(self, wires: Wires, address: str) -> None:
        self._wires = wires
        self._address = address
        self.flights: dict[asyncio.Task[None], None] = {}

    async def stop(self, grace: float) -> None:
        self._wires.apps.pop(self._address, None)
        if self.flights:
            await asyncio.wait(list(self.flights), timeout=grace)
        for task in list(self.flights):
            task.cancel()


class SimWeb:
    """Web calls straight into the application, with the wire's delays and cuts."""

    def __init__(self, wires: Wires, host: loops.Host) -> None:
        self._wires = wires
        self._host = host

    async def serve(self, address: str, app: ports.App) -> ports.WebServer:
        server = SimWebServer(self._wires, address)
        self._wires.apps[address] = (self._host, app, server)
        self._wires.homes[address] = self._host
        return server

    async def ask(
        self,
        method: str,
        address: str,
        path: str,
        heads: ports.Fields,
        body: bytes,
        wait: float,
    ) -> ports.Reply:
        async with asyncio.timeout(wait):
            return await self._ask(method, address, path, heads, body)

    async def _way(self, one: str, two: str) -> None:
        await asyncio.sleep(self._wires.delay(one, two))
        while not self._wires.open(one, two):  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def _ask(
        self, method: str, address: str, path: str, heads: ports.Fields, body: bytes
    ) -> ports.Reply:
        wires, me = self._wires, self._host.name
        home = wires.homes.get(address)
        if home is None:
            raise ConnectionRefusedError(address)
        wires.sent(me, home.name, len(body))
        await self._way(me, home.name)
        found = wires.apps.get(address)
        if found is None or found[0].dead:
            raise ConnectionRefusedError(address)
        host, app, server = found
        talk = _Talk(method, path, ports.made(heads), body)
        context = contextvars.Context()
        context.run(loops.HOST.set, host)
        task = wires.loop.create_task(talk.run(app), context=context)
        server.flights[task] = None
        task.add_done_callback(lambda t: server.flights.pop(t, None), context=loops.EMPTY)
        await asyncio.wait([task])
        wires.sent(host.name, me, len(talk.body))
        await self._way(host.name, me)
        if task.cancelled() or task.exception() is not None or not talk.whole:
            raise ConnectionResetError("broken off")
        return ports.Reply(talk.status, talk.heads, bytes(talk.body))


class _Talk:
    """One call into an application."""

    def __init__(self, method: str, path: str, heads: list[tuple[str, str]], body: bytes) -> None:
        self.status = 0
        self.heads: list[tuple[str, str]] = []
        self.body = bytearray()
        self.whole = False
        self._ask = body
        self._asked = False
        target, _, query = path.partition("?")
        names = {k.lower() for k, _ in heads}
        raw = [(k.lower().encode(), v.encode()) for k, v in heads]
        if "host" not in names:
            raw.append((b"host", b"dykeswitch.test"))
        if body:
            raw.append((b"content-length", str(len(body)).encode()))
        self._scope: dict[str, typing.Any] = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": method,
            "scheme": "http",
            "path": target,
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "root_path": "",
            "headers": raw,
            "client": ("10.0.0.1", 1),
            "server": ("10.0.0.2", 80),
            "state": {},
        }

    async def run(self, app: ports.App) -> None:
        await app(self._scope, self._receive, self._send)

    async def _receive(self) -> ports.Message:
        if not self._asked:
            self._asked = True
            return {"type": "http.request", "body": self._ask, "more_body": False}
        await asyncio.Event().wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: ports.Message) -> None:
        if message["type"] == "http.response.start":
            self.status = int(message["status"])
            self.heads = [(k.decode(), v.decode("latin-1")) for k, v in message["headers"]]
        elif message["type"] == "http.response.body":
            self.body += message.get("body", b"")
            self.whole = not message.get("more_body", False)
