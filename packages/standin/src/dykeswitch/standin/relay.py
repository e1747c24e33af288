"""A relay between real processes, by which the calls of some to others can be cut.

Each process names the relay's address as its own and listens elsewhere. Who calls is
learned from the first frame of a pipe; what is held back by a cut goes on once it is
healed, as packets would.
"""

import asyncio
import contextlib
import typing

import cbor2

import dykeswitch.frames as frames
import dykeswitch.ports.real as real

READ_SIZE: typing.Final = 65536


class Relay:
    """Forwards members' pipes, as far as they are not cut."""

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()
        self._news = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self.held = 0

    async def open(self, name: str, address: str, inner: str) -> None:
        """Take pipes at a process's address and bring them to where it listens."""

        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self._bring(name, inner, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                return
            finally:
                writer.close()

        host, port = real.split_address(address)
        self._servers.append(await asyncio.start_server(taken, host, port))

    def close(self) -> None:
        """Take no more connections."""
        for server in self._servers:
            server.close()

    def cut(self, ones: typing.Iterable[str], twos: typing.Iterable[str]) -> None:
        """Nothing passes between any of the one and any of the other."""
        for one in ones:
            for two in twos:
                if one != two:
                    self._cuts |= {(one, two), (two, one)}

    async def heal(self) -> None:
        """End every cut."""
        self._cuts.clear()
        async with self._news:
            self._news.notify_all()

    async def _passes(self, one: str, two: str) -> None:
        if (one, two) in self._cuts:
            self.held += 1
            async with self._news:
                await self._news.wait_for(lambda: (one, two) not in self._cuts)

    async def _bring(
        self, name: str, inner: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readexactly(frames.HEADER.size)
        data = await reader.readexactly(frames.HEADER.unpack(head)[2])
        body = cbor2.loads(data)
        # A paper is asked for by its own name, and by the member's under another.
        caller = str(body.get("name_of") or body.get("name") or "")
        await self._passes(caller, name)
        host, port = real.split_address(inner)
        there, back = await asyncio.open_connection(host, port)
        back.write(head + data)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, back, caller, name))
                group.create_task(self._pump(there, writer, name, caller))
        except* OSError:
            pass
        finally:
            back.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, one: str, two: str
    ) -> None:
        while part := await reader.read(READ_SIZE):
            await self._passes(one, two)
            writer.write(part)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
