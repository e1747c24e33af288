"""The implementations of the ports for real machines."""

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
    """Split an `ip:port` into its host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class RealClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the seconds since the epoch, by a clock that may be set."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Sleep on the event loop."""
        await asyncio.sleep(duration_s)


class RealConnection:
    """A TCP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        sock = writer.get_extra_info("socket")
        if sock is not None:
            # Without Nagle's algorithm: frames and small requests must not wait for a fuller packet.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def read(self, max_bytes: int) -> bytes:
        """Read up to `max_bytes` bytes; an empty result means the end of the stream."""
        return await self._reader.read(max_bytes)

    async def write(self, data: bytes) -> None:
        """Send all of `data`, waiting if the peer reads slowly."""
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Close the socket; errors of an already broken one are ignored."""
        with contextlib.suppress(Exception):
            self._writer.close()

    def reset(self) -> None:
        """Abort the connection: the peer sees a reset, and unsent data is lost."""
        sock = self._writer.get_extra_info("socket")
        with contextlib.suppress(Exception):
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._writer.transport.abort()

    def ended(self) -> bool:
        """Whether the connection is closed or has unread bytes."""
        # Unread bytes on an idle connection are unsolicited, so it can't be reused either.
        return (
            self._reader.at_eof() or self._writer.is_closing() or bool(getattr(self._reader, "_buffer", b""))
        )


class RealListener:
    """An asyncio server and its open connections."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.connections: set[RealConnection] = set()

    def close(self) -> None:
        """Stop accepting, and close the accepted connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close()


class RealNetwork:
    """TCP to numeric IP addresses."""

    async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
        """Connect to an address within `timeout_s` seconds."""
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
        return RealConnection(reader, writer)

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        """Accept connections, each served in its own task."""
        host, port = split_address(address)
        listener = RealListener()

        async def on_connect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = RealConnection(reader, writer)
            listener.connections.add(connection)
            try:
                await serve(connection)
            except (OSError, asyncio.CancelledError):
                return
            finally:
                listener.connections.discard(connection)
                connection.close()

        listener.server = await asyncio.start_server(on_connect, host, port, reuse_address=True)
        return listener


class RealDisk:
    """A folder on a real disk."""

    def __init__(self, root: pathlib.Path) -> None:
        self._root = root
        self._threads = threads.DaemonThreads()

    @property
    def root(self) -> pathlib.Path:
        """The folder of the files."""
        return self._root

    def sync_file(self, path: pathlib.Path) -> None:
        """Make the content of a file durable with `fsync`."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Make the directory entries of a folder durable with `fsync`."""
        self.sync_file(path)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file or folder, replacing any that has the new name."""
        os.rename(old, new)

    def drop(self, path: pathlib.Path) -> None:
        """Remove a file, or a folder with its content, if it exists."""
        if path.is_dir():
            shutil.rmtree(path, ignore_errors=True)
        else:
            path.unlink(missing_ok=True)

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Run blocking work in a thread."""
        return await self._threads.run(work)


class RealWeb:
    """An HTTP server by uvicorn and an HTTP client by httpx."""

    def __init__(self) -> None:
        self._client: httpx.AsyncClient | None = None

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Serve an ASGI application with uvicorn."""
        # Imported lazily: start time is part of recovery time, and a store may serve no HTTP.
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
        """Send one request with httpx; errors of httpx become `OSError`."""
        # Imported lazily: only the tools send HTTP requests this way; the programs never load httpx.
        import httpx

        if self._client is None:
            self._client = httpx.AsyncClient(trust_env=False, limits=httpx.Limits(max_connections=1000))
        # httpx builds the request before it opens a connection, so there is no later moment for this.
        fields = ports.resolve_fields(headers)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.request(
                    method, f"http://{address}{path}", headers=fields, content=body, timeout=timeout_s
                )
        except httpx.HTTPError as error:
            raise OSError(f"{type(error).__name__}: {error}") from error
        return ports.Response(response.status_code, list(response.headers.multi_items()), response.content)


def machine() -> ports.Machine:
    """Return the ports of this machine."""
    return ports.Machine(RealClock(), RealNetwork(), RealWeb(), ports.NoFaultPoints())
