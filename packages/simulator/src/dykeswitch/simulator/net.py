"""The simulated network: connections with delays, cuts and resets."""

import asyncio
import collections
import contextvars
import math
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.simulator.loop as loops

# For how many seconds after a cut is healed delayed data may still arrive.
SETTLE_S: typing.Final = 4.0
# Calls that an application is running.
RunningCalls = dict["asyncio.Task[None]", None]


class SimulatedLinks:
    """The links between machines: which machine reaches which, and with what delay."""

    def __init__(self, loop: loops.VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.cuts: set[tuple[str, str]] = set()
        self.slow: dict[str, float] = {}
        self.loss = 0.0
        self._healed_at = -math.inf
        self.listeners: dict[str, tuple[loops.Host, ports.Serve]] = {}
        self.apps: dict[str, tuple[loops.Host, ports.App, RunningCalls]] = {}
        # The machine to which an address belongs, whether or not a program listens there.
        self.hosts_by_address: dict[str, loops.Host] = {}
        self.connections: dict[SimConnection, None] = {}
        # Disconnects of clients that have not reached the application yet.
        self.pending_disconnects: dict[asyncio.Task[None], None] = {}
        self.powered_off: set[str] = set()
        # The zone of each machine, the extra delay between two zones, and the bytes sent from
        # one machine to another in a different zone.
        self.zones: dict[str, str] = {}
        self.far_s = 0.0
        self.bytes_between_zones: collections.Counter[tuple[str, str]] = collections.Counter()

    def in_different_zones(self, source: str, destination: str) -> bool:
        """Whether both machines have a known zone, and the zones differ."""
        source_zone, destination_zone = self.zones.get(source), self.zones.get(destination)
        return source_zone is not None and destination_zone is not None and source_zone != destination_zone

    def count_bytes(self, source: str, destination: str, size: int) -> None:
        """Count the bytes sent from one machine to another, if they are in different zones."""
        if self.in_different_zones(source, destination):
            self.bytes_between_zones[source, destination] += size

    def delay(self, source: str, destination: str) -> float:
        """Return how long a packet takes from one machine to another, in seconds."""
        delay_s = (
            self.rng.uniform(0.0002, 0.0015) + self.slow.get(source, 0.0) + self.slow.get(destination, 0.0)
        )
        if self.far_s and self.in_different_zones(source, destination):
            delay_s += self.far_s
        # The transport sends a lost packet again, so that it arrives late.
        if self.loss and self.rng.random() < self.loss:
            delay_s += self.rng.uniform(0.2, 0.5)
        return delay_s

    def can_send(self, source: str, destination: str) -> bool:
        """Whether packets pass from the source to the destination."""
        return (
            (source, destination) not in self.cuts
            and source not in self.powered_off
            and destination not in self.powered_off
        )

    def connected(self, source: str, destination: str) -> bool:
        """Whether packets pass in both directions."""
        return self.can_send(source, destination) and self.can_send(destination, source)

    def cut(
        self, sources: typing.Iterable[str], destinations: typing.Iterable[str], both: bool = True
    ) -> None:
        """Cut the links from some machines to others, in one direction or in both."""
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.cuts.add((source, destination))
                    if both:
                        self.cuts.add((destination, source))

    def stable(self) -> bool:
        """Whether no link is cut, slow or lossy, and no cut was healed within the last `SETTLE_S`."""
        disturbed = self.cuts or self.slow or self.powered_off or self.loss
        return not disturbed and self.loop.time() - self._healed_at > SETTLE_S

    def heal(self) -> None:
        """End every cut, and send what was queued meanwhile."""
        self._healed_at = self.loop.time()
        self.cuts.clear()
        for connection in list(self.connections):
            connection.flush()

    def reset_host(self, name: str) -> None:
        """Reset every connection of a machine's process, as its operating system does."""
        for connection in list(self.connections):
            if connection.local.name == name:
                connection.reset()


class SimConnection:
    """One end of a connection; the other end is `peer`."""

    def __init__(self, links: SimulatedLinks, local: loops.Host, remote: loops.Host) -> None:
        self._links = links
        self.local = local
        self.remote = remote
        self.peer: SimConnection | None = None
        self._received = bytearray()
        self._eof = False
        self._was_reset = False
        self._closed = False
        self._changed = asyncio.Event()
        self._queue: collections.deque[bytes | None] = collections.deque()
        self._last_arrival = 0.0
        links.connections[self] = None

    async def read(self, max_bytes: int) -> bytes:
        """Read up to `max_bytes` bytes; returns none at the end of the stream."""
        while not self._received and not self._eof and not self._was_reset and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        if self._was_reset:
            raise ConnectionResetError("connection reset by the peer")
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes; they arrive after the delay of the link."""
        if self._was_reset or self._closed:
            raise ConnectionResetError("the connection is closed")
        if self.local.dead or not data:
            return
        self._queue.append(bytes(data))
        self.flush()

    def close(self) -> None:
        """Close this end; the peer reads what was sent before, then the end of the stream."""
        if self._closed:
            return
        self._closed = True
        self._changed.set()
        if not self.local.dead:
            self._queue.append(None)
            self.flush()
        # Data queued behind a cut is still sent once the cut is healed.
        if not self._queue or self.local.dead:
            self._links.connections.pop(self, None)

    def ended(self) -> bool:
        """Whether the stream is over or has bytes that nobody asked for."""
        return self._closed or self._eof or self._was_reset or bool(self._received)

    def flush(self) -> None:
        """Send the queued data to the peer, unless the link is cut."""
        if self.peer is None or not self._links.can_send(self.local.name, self.remote.name):
            return
        while self._queue:
            chunk = self._queue.popleft()
            delay_s = self._links.delay(self.local.name, self.remote.name)
            # Timers of the same instant run in any order, but a connection keeps its bytes in order.
            arrives_at = max(self._last_arrival + 1e-6, self._links.loop.time() + delay_s)
            self._last_arrival = arrives_at
            self._links.count_bytes(self.local.name, self.remote.name, len(chunk or b""))
            self._links.loop.call_at(arrives_at, self.peer.receive, chunk, context=loops.EMPTY_CONTEXT)

    def receive(self, chunk: bytes | None) -> None:
        """Receive data from the peer, or the end of its stream for `None`."""
        if self._closed or self.local.dead:
            # Nobody reads at this end any more: the sender gets a reset.
            can_answer = self._links.connected(self.local.name, self.remote.name)
            if chunk is not None and self.peer is not None and can_answer:
                self.peer.reset()
            return
        if chunk is None:
            self._eof = True
        else:
            self._received += chunk
        self._changed.set()

    def reset(self) -> None:
        """End this end at once, and the peer too if the link lets the reset pass."""
        self._links.connections.pop(self, None)
        peer = self.peer
        if (
            peer is not None
            and not peer._was_reset
            and self._links.can_send(self.local.name, self.remote.name)
        ):
            peer._was_reset = True
            peer._changed.set()
            self._links.connections.pop(peer, None)
        self._was_reset = True
        self._changed.set()


class SimListener:
    """Accepts connections at one address until it is closed."""

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
        """Connect within `timeout_s` seconds, subject to the delays and cuts of the link."""
        # A malformed address raises at once, as on a real network, instead of timing out.
        ports.address_of(address)
        links, me = self._links, self._host
        async with asyncio.timeout(timeout_s):
            target_host = links.hosts_by_address.get(address)
            remote = target_host.name if target_host is not None else "nowhere"
            await asyncio.sleep(links.delay(me.name, remote))
            # There is no answer, not a refusal: packets are dropped until the cut is healed.
            while target_host is None or not links.connected(me.name, remote):
                await asyncio.sleep(0.05)
                target_host = links.hosts_by_address.get(address)
                remote = target_host.name if target_host is not None else "nowhere"
            await asyncio.sleep(links.delay(remote, me.name))
            found = links.listeners.get(address)
            if found is None or found[0].dead:
                raise ConnectionRefusedError(address)
            host, serve = found
            mine, theirs = SimConnection(links, me, host), SimConnection(links, host, me)
            mine.peer, theirs.peer = theirs, mine
            context = contextvars.Context()
            context.run(loops.CURRENT_HOST.set, host)
            links.loop.create_task(_serve(serve, theirs), context=context)
        return mine

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Accept connections at an address."""
        listener = SimListener(self._links, address)

        async def tracked_serve(connection: ports.Connection) -> None:
            assert isinstance(connection, SimConnection)
            listener.connections[connection] = None
            try:
                await serve(connection)
            finally:
                listener.connections.pop(connection, None)

        if address in self._links.listeners and not self._links.listeners[address][0].dead:
            raise OSError(f"{address} is already in use")
        self._links.listeners[address] = (self._host, tracked_serve)
        self._links.hosts_by_address[address] = self._host
        return listener


async def _serve(serve: ports.Serve, connection: SimConnection) -> None:
    try:
        await serve(connection)
    except OSError:
        return
    finally:
        connection.close()
