"""The server side of one HTTP connection of an endpoint; it also notices when the client disconnects."""

import asyncio
import contextlib
import typing

import h11

import dykeswitch.ports as ports

READ_SIZE: typing.Final = 65536


@typing.runtime_checkable
class Resettable(typing.Protocol):
    """A connection that can be ended so that its peer sees a reset."""

    def reset(self) -> None:
        """End the connection so that the peer sees a reset."""
        ...


def reset(connection: ports.Connection) -> None:
    """Reset a connection, or close it if it can't be reset."""
    if isinstance(connection, Resettable):
        connection.reset()
    else:
        connection.close()


class ForgottenError(Exception):
    """Bytes arrived on a connection whose state this end has dropped."""


class Connection:
    """Requests on one connection, one at a time."""

    def __init__(self, connection: ports.Connection, clock: ports.Clock) -> None:
        self.connection = connection
        self._clock = clock
        self._http = h11.Connection(h11.SERVER)
        # Bytes received while a request was being worked on.
        self._received = b""
        # Bytes to send just before the next response.
        self.before_next = b""

    async def next_request(
        self, idle_s: float | None, forgets_s: float | None
    ) -> tuple[h11.Request, bytes] | None:
        """Return the next request and its body, or None if the client left or was idle for too long.

        Raises:
            ForgottenError: If bytes arrive after the connection was idle for more than `forgets_s`.
        """
        idle_since = self._clock.now()
        request: h11.Request | None = None
        body: list[bytes] = []
        idle = True
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                try:
                    async with asyncio.timeout(idle_s if idle else None):
                        part = await self._read()
                except TimeoutError:
                    return None
                if idle and part and forgets_s is not None and self._clock.now() - idle_since > forgets_s:
                    raise ForgottenError
                idle = False
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
        received, self._received = self._received, b""
        return received or await self.connection.read(READ_SIZE)

    async def wait_for(self, work: asyncio.Future[None], timeout_s: float | None) -> str:
        """Wait for work: "done", "late" after the timeout, or "gone" if the client disconnects first."""
        watch = asyncio.ensure_future(self._wait_disconnected())
        try:
            await asyncio.wait([work, watch], timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return "done"
            return "gone" if watch.done() else "late"
        finally:
            # Two tasks may not read from one connection at once: wait until the watch has ended.
            watch.cancel()
            await asyncio.wait([watch])

    async def _wait_disconnected(self) -> None:
        """Return once the client has closed; bytes it sends before are kept for the next request."""
        with contextlib.suppress(OSError):
            while part := await self.connection.read(READ_SIZE):
                self._received += part

    def encode_response(self, status: int, headers: list[tuple[str, str]], data: bytes) -> bytes:
        """Return the bytes of a whole response; pass no data where the request was HEAD."""
        out = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        if data:
            out += self._http.send(h11.Data(data=data)) or b""
        return out + (self._http.send(h11.EndOfMessage()) or b"")

    async def write(self, data: bytes) -> None:
        """Send bytes, after those of `before_next`."""
        before, self.before_next = self.before_next, b""
        await self.connection.write(before + data)

    def next_cycle(self) -> bool:
        """Get ready for another request; return whether the connection may carry one."""
        if self._http.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        self._http.start_next_cycle()
        return True

    async def stay_silent(self) -> None:
        """Send nothing more; return when the client closes the connection."""
        await self._wait_disconnected()
