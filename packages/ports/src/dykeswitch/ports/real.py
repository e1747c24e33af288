"""The adapters for real machines."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import socket
import struct
import time
import typing

import dykeswitch.ports as ports
import dykeswitch.ports.threads as threads

if typing.TYPE_CHECKING:
    import httpx

T = typing.TypeVar("T")

READ_SIZE: typing.Final = 65536


def split_address(address: str) -> tuple[str, int]:
    """An `ip:port` in its two parts."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class RealClock:
    """The machine's own clocks."""

    def now(self) -> float:
        """Monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the epoch, by a clock that may be set."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(duration_s)


class RealConnection:
    """A TCP stream."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        sock = writer.get_extra_info("socket")
        if sock is not None:
            # Frames and small requests must not wait for a fuller packet.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def read(self, max_bytes: int) -> bytes:
        """Up to `max_bytes` bytes; none at the end of the stream."""
        return await self._reader.read(max_bytes)

    async def write(self, data: bytes) -> None:
        """Send all of `data`, waiting for a slow reader."""
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Close the socket, whatever state it is in."""
        with contextlib.suppress(Exception):
            self._writer.close()

    def reset(self) -> None:
        """End it so that the other end sees a reset, and what is unsent is lost."""
        sock = self._writer.get_extra_info("socket")
        with contextlib.suppress(Exception):
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._writer.transport.abort()

    def ended(self) -> bool:
        """Whether it is closed or holds bytes that nobody asked for."""
        # Unread bytes on an idle pipe are as bad as its end: nobody asked for them.
        return (
            self._reader.at_eof() or self._writer.is_closing() or bool(getattr(self._reader, "_buffer", b""))
        )


class RealListener:
    """An asyncio server and the pipes it has open."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.connections: set[RealConnection] = set()

    def close(self) -> None:
        """Stop accepting, and close the connections it accepted."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


class RealNetwork:
    """TCP by IP numbers."""

    async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
        """Connect within `timeout_s` seconds."""
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
        return RealConnection(reader, writer)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Accept connections, each served by a task of its own."""
        host, port = split_address(address)
        listener = RealListener()

        async def opened(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = RealConnection(reader, writer)
            listener.connections.add(connection)
            try:
                await serve(connection)
            except (OSError, asyncio.CancelledError):
                return
            finally:
                listener.connections.discard(connection)
                connection.close()

        listener.server = await asyncio.start_server(opened, host, port, reuse_address=True)
        return listener


class RealDisk:
    """A folder on a real disk."""

    def __init__(self, root: pathlib.Path) -> None:
        self._root = root
        self._threads = threads.DaemonThreads()

    @property
    def root(self) -> pathlib.Path:
        """The folder that holds the files."""
        return self._root

    def sync_file(self, path: pathlib.Path) -> None:
        """Make a file's content durable with `fsync`."""
        hand = os.open(path, os.O_RDONLY)
        try:
            os.fsync(hand)
        finally:
            os.close(hand)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make a folder's names durable with `fsync`."""
        self.sync_file(path)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder, replacing what has the new name."""
        os.rename(old, new)

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file or a whole folder, if it is there."""
        if path.is_dir():
            shutil.rmtree(path, ignore_errors=True)
        else:
            path.unlink(missing_ok=True)

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Run blocking work in a thread."""
        return await self._threads.run(work)


class RealWeb:
    """Uvicorn inward, httpx outward."""

    def __init__(self) -> None:
        self._client: httpx.AsyncClient | None = None

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Serve an application with uvicorn."""
        # Brought in where it is needed: a store serves no web, and starting is part of recovery.
        import dykeswitch.ports.web_server as web_server

        host, port = split_address(address)
        return await web_server.serve(host, port, app, limits)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: ports.Fields,
        body: bytes,
        timeout_s: float,
    ) -> ports.Response:
        """Make one call with httpx; what httpx raises becomes an `OSError`."""
        # Only the tools ask by web; the programs never load it.
        import httpx

        if self._client is None:
            self._client = httpx.AsyncClient(trust_env=False, limits=httpx.Limits(max_connections=1000))
        # The library makes the request out before it opens a pipe: there is no later moment.
        fields = ports.resolve_fields(headers)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._client.request(
                    method, f"http://{address}{path}", headers=fields, content=body, timeout=timeout_s
                )
        except httpx.HTTPError as flaw:
            raise OSError(f"{type(flaw).__name__}: {flaw}") from flaw
        return ports.Response(reply.status_code, list(reply.headers.multi_items()), reply.content)


def machine() -> ports.Machine:
    """The ports of this machine."""
    return ports.Machine(RealClock(), RealNetwork(), RealWeb(), ports.NoFaultPoints())
