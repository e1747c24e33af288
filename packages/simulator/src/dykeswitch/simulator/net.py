"""The simulated network: pipes with delay, cuts, resets."""

import asyncio
import collections
import contextvars
import math
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.simulator.loop as loops

# How long after a cut what it held up may still arrive, in seconds.
SETTLE_S: typing.Final = 4.0
# Calls that an application has in hand.
Flights = dict["asyncio.Task[None]", None]


class SimulatedLinks:
    """Which machine reaches which, and how long it takes."""

    def __init__(self, loop: loops.VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.cuts: set[tuple[str, str]] = set()
        self.slow: dict[str, float] = {}
        self.loss = 0.0
        self._healed_at = -math.inf
        self.listeners: dict[str, tuple[loops.Host, ports.Serve]] = {}
        self.apps: dict[str, tuple[loops.Host, ports.App, Flights]] = {}
        # The machine that an address belongs to, whether or not anyone listens.
        self.homes: dict[str, loops.Host] = {}
        self.connections: dict[SimConnection, None] = {}
        # Callers' departures that are still on their way.
        self.departing: dict[asyncio.Task[None], None] = {}
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
        """How long a packet takes from one machine to another."""
        span = self.rng.uniform(0.0002, 0.0015) + self.slow.get(one, 0.0) + self.slow.get(two, 0.0)
        if self.far_s and self.far(one, two):
            span += self.far_s
        # A lost packet is sent again by the transport: seen from here it is late.
        if self.loss and self.rng.random() < self.loss:
            span += self.rng.uniform(0.2, 0.5)
        return span

    def open(self, one: str, two: str) -> bool:
        """Whether packets pass from one machine to another."""
        return (one, two) not in self.cuts and one not in self.off and two not in self.off

    def both(self, one: str, two: str) -> bool:
        """Whether packets pass both ways."""
        return self.open(one, two) and self.open(two, one)

    def cut(self, ones: typing.Iterable[str], twos: typing.Iterable[str], both: bool = True) -> None:
        """Cut some machines off from others, one way or both."""
        for one in ones:
            for two in twos:
                if one != two:
                    self.cuts.add((one, two))
                    if both:
                        self.cuts.add((two, one))

    def stable(self) -> bool:
        """Whether nothing is cut, slowed or lost, nor was cut a little while ago."""
        disturbed = self.cuts or self.slow or self.off or self.loss
        return not disturbed and self.loop.time() - self._healed_at > SETTLE_S

    def heal(self) -> None:
        """End every cut; what was held up goes on."""
        self._healed_at = self.loop.time()
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

    def __init__(self, links: SimulatedLinks, here: loops.Host, there: loops.Host) -> None:
        self._links = links
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
        links.connections[self] = None

    async def read(self, max_bytes: int) -> bytes:
        """Up to `max_bytes` bytes; none at the end of the stream."""
        while not self._inbox and not self._fin and not self._rst and not self._closed:
            self._news.clear()
            await self._news.wait()
        if self._rst:
            raise ConnectionResetError("reset by the other side")
        data = bytes(self._inbox[:max_bytes])
        del self._inbox[:max_bytes]
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes, after the delay of the way."""
        if self._rst or self._closed:
            raise ConnectionResetError("the pipe is closed")
        if self.here.dead or not data:
            return
        self._queue.append(bytes(data))
        self.pump()

    def close(self) -> None:
        """Close it; the other end reads what was sent before, then the end."""
        if self._closed:
            return
        self._closed = True
        self._news.set()
        if not self.here.dead:
            self._queue.append(None)
            self.pump()
        # What a cut holds back still leaves once the cut is healed.
        if not self._queue or self.here.dead:
            self._links.connections.pop(self, None)

    def ended(self) -> bool:
        """Whether it is over or holds bytes that nobody asked for."""
        return self._closed or self._fin or self._rst or bool(self._inbox)

    def pump(self) -> None:
        """Move what is queued on to the other end, unless the wire is cut."""
        if self.peer is None or not self._links.open(self.here.name, self.there.name):
            return
        while self._queue:
            part = self._queue.popleft()
            span = self._links.delay(self.here.name, self.there.name)
            # Timers of one moment run in any order, but a pipe keeps its own.
            at = max(self._last + 1e-6, self._links.loop.time() + span)
            self._last = at
            self._links.sent(self.here.name, self.there.name, len(part or b""))
            self._links.loop.call_at(at, self.peer.arrive, part, context=loops.EMPTY)

    def arrive(self, part: bytes | None) -> None:
        """Take in what the other end sent, or its end."""
        if self._closed or self.here.dead:
            # Nobody is there: the sender learns it by a reset.
            known = self._links.both(self.here.name, self.there.name)
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
        self._links.connections.pop(self, None)
        peer = self.peer
        if peer is not None and not peer._rst and self._links.open(self.here.name, self.there.name):
            peer._rst = True
            peer._news.set()
            self._links.connections.pop(peer, None)
        self._rst = True
        self._news.set()


class SimListener:
    """Takes pipes for one address until closed."""

    def __init__(self, links: SimulatedLinks, address: str) -> None:
        self._links = links
        self._address = address
        self.connections: dict[SimConnection, None] = {}

    def close(self) -> None:
        """Stop accepting, and close the connections it accepted."""
        self._links.listeners.pop(self._address, None)
        for connection in list(self.connections):
            connection.close()


class SimNetwork:
    """The network as one machine sees it."""

    def __init__(self, links: SimulatedLinks, host: loops.Host) -> None:
        self._links = links
        self._host = host

    async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
        """Connect within `timeout_s` seconds, by the delay of the way and its cuts."""
        # As a real network does, rather than wait for what is nowhere.
        ports.address_of(address)
        links, me = self._links, self._host
        async with asyncio.timeout(timeout_s):
            home = links.homes.get(address)
            there = home.name if home is not None else "nowhere"
            await asyncio.sleep(links.delay(me.name, there))
            # Silence, not a refusal: the packets go nowhere until a cut is healed.
            while home is None or not links.both(me.name, there):
                await asyncio.sleep(0.05)
                home = links.homes.get(address)
                there = home.name if home is not None else "nowhere"
            await asyncio.sleep(links.delay(there, me.name))
            found = links.listeners.get(address)
            if found is None or found[0].dead:
                raise ConnectionRefusedError(address)
            host, serve = found
            mine, theirs = SimConnection(links, me, host), SimConnection(links, host, me)
            mine.peer, theirs.peer = theirs, mine
            context = contextvars.Context()
            context.run(loops.HOST.set, host)
            links.loop.create_task(_serve(serve, theirs), context=context)
        return mine

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Accept connections at an address."""
        listener = SimListener(self._links, address)

        async def kept(connection: ports.Connection) -> None:
            assert isinstance(connection, SimConnection)
            listener.connections[connection] = None
            try:
                await serve(connection)
            finally:
                listener.connections.pop(connection, None)

        if address in self._links.listeners and not self._links.listeners[address][0].dead:
            raise OSError(f"{address} is taken")
        self._links.listeners[address] = (self._host, kept)
        self._links.homes[address] = self._host
        return listener


async def _serve(serve: ports.Serve, connection: SimConnection) -> None:
    try:
        await serve(connection)
    except OSError:
        return
    finally:
        connection.close()
