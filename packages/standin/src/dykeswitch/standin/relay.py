"""A relay between real processes that can block the calls of some to others.

Each process advertises the relay's address as its own and listens elsewhere. The relay learns which
member calls from the first frame of a connection. Bytes held back by a cut are delivered once it is
healed, as delayed packets would be.
"""

import asyncio
import contextlib
import typing

import cbor2

import dykeswitch.frames as frames
import dykeswitch.ports.real as real

READ_SIZE: typing.Final = 65536


class Relay:
    """Forwards connections between members, except where they are cut."""

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()
        self._cuts_changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        # How often bytes were held back by a cut.
        self.blocked_count = 0

    async def open(self, name: str, address: str, inner: str) -> None:
        """Accept connections at a process's address and forward them to where it listens."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self._forward(name, inner, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                return
            finally:
                writer.close()

        host, port = real.split_address(address)
        self._servers.append(await asyncio.start_server(accept, host, port))

    def close(self) -> None:
        """Accept no more connections."""
        for server in self._servers:
            server.close()

    def cut(self, ones: typing.Iterable[str], twos: typing.Iterable[str]) -> None:
        """Block each member of one group from each of the other, in both directions."""
        for one in ones:
            for two in twos:
                if one != two:
                    self._cuts |= {(one, two), (two, one)}

    async def heal(self) -> None:
        """Remove every cut."""
        self._cuts.clear()
        async with self._cuts_changed:
            self._cuts_changed.notify_all()

    async def _wait_passable(self, source: str, target: str) -> None:
        if (source, target) in self._cuts:
            self.blocked_count += 1
            async with self._cuts_changed:
                await self._cuts_changed.wait_for(lambda: (source, target) not in self._cuts)

    async def _forward(
        self, name: str, inner: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readexactly(frames.HEADER.size)
        data = await reader.readexactly(frames.HEADER.unpack(head)[2])
        body = cbor2.loads(data)
        # In a call for a document `name` is the document's, and `name_of` is the calling member's.
        caller = str(body.get("name_of") or body.get("name") or "")
        await self._wait_passable(caller, name)
        host, port = real.split_address(inner)
        inner_reader, inner_writer = await asyncio.open_connection(host, port)
        inner_writer.write(head + data)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, inner_writer, caller, name))
                group.create_task(self._copy(inner_reader, writer, name, caller))
        except* OSError:
            pass
        finally:
            inner_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        while part := await reader.read(READ_SIZE):
            await self._wait_passable(source, target)
            writer.write(part)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
