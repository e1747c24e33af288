"""One pipe of an endpoint: requests in, replies out, and an eye on whether the caller is there."""

import asyncio
import contextlib
import typing

import h11

import dykeswitch.ports as ports

READ_SIZE: typing.Final = 65536


@typing.runtime_checkable
class Abrupt(typing.Protocol):
    """A pipe that can be ended so that its other end sees a reset."""

    def reset(self) -> None:
        """End it so that the other end sees a reset."""
        ...


def reset(connection: ports.Connection) -> None:
    """End a pipe the hard way, where it knows one."""
    if isinstance(connection, Abrupt):
        connection.reset()
    else:
        connection.close()


class ForgottenError(Exception):
    """Bytes came on a pipe that this end no longer knows of."""


class Talk:
    """Requests on one pipe, one at a time."""

    def __init__(self, connection: ports.Connection, clock: ports.Clock) -> None:
        self.connection = connection
        self._clock = clock
        self._http = h11.Connection(h11.SERVER)
        # What came while a request was at work.
        self._held = b""
        # Bytes that are sent in the place of the next reply, before it.
        self.late = b""

    async def request(
        self, idle_s: float | None, forgets_s: float | None
    ) -> tuple[h11.Request, bytes] | None:
        """The next request with its body; nothing once the caller left or was idle for too long."""
        since = self._clock.now()
        request: h11.Request | None = None
        body: list[bytes] = []
        quiet = True
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                try:
                    async with asyncio.timeout(idle_s if quiet else None):
                        part = await self._read()
                except TimeoutError:
                    return None
                if quiet and part and forgets_s is not None and self._clock.now() - since > forgets_s:
                    raise ForgottenError
                quiet = False
                self._http.receive_data(part)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request, b"".join(body)
            else:
                return None

    async def _read(self) -> bytes:
        held, self._held = self._held, b""
        return held or await self.connection.read(READ_SIZE)

    async def unless_gone(self, work: asyncio.Future[None], span: float | None) -> str:
        """Wait for some work: "done", "late" after a span, or "gone" once the caller closed the pipe."""
        watch = asyncio.ensure_future(self._gone())
        try:
            await asyncio.wait([work, watch], timeout=span, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return "done"
            return "gone" if watch.done() else "late"
        finally:
            # Two may not read from one pipe at once: wait until the watch has let go.
            watch.cancel()
            await asyncio.wait([watch])

    async def _gone(self) -> None:
        """Return once the other end is closed; what it sends meanwhile is kept for later."""
        with contextlib.suppress(OSError):
            while part := await self.connection.read(READ_SIZE):
                self._held += part

    def whole(self, status: int, headers: list[tuple[str, str]], data: bytes) -> bytes:
        """A whole reply as it goes over the wire; no data where the request was HEAD."""
        out = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        if data:
            out += self._http.send(h11.Data(data=data)) or b""
        return out + (self._http.send(h11.EndOfMessage()) or b"")

    async def write(self, data: bytes) -> None:
        """Send bytes, after those that were held back as late."""
        late, self.late = self.late, b""
        await self.connection.write(late + data)

    def again(self) -> bool:
        """Whether another request may come on this pipe."""
        if self._http.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        self._http.start_next_cycle()
        return True

    async def mute(self) -> None:
        """Say nothing more; return when the caller closes the pipe."""
        await self._gone()
