"""HTTP calls over kept connections, for clients whose own cost must stay small."""

import asyncio
import math

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.soundness.connection as connections


class LightWeb(real.RealWeb):
    """Calls over a few kept connections, so that the cost of the clients doesn't distort measurements."""

    def __init__(self, net: ports.Network) -> None:
        super().__init__()
        self._net = net
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        # A connection that was idle for longer isn't used again.
        self.max_idle_s = math.inf
        # Whether the connection that was idle the longest is used first.
        self.oldest_first = False

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: ports.Fields,
        body: bytes,
        timeout_s: float,
    ) -> ports.Response:
        """Send one request, over a kept connection if there is one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request(method, address, path, headers, body, timeout_s)
        except connections.EndpointConnectionError as error:
            raise OSError(error.reason) from error

    async def _request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        idle = self._idle.setdefault(address, [])
        connection: connections.EndpointConnection | None = None
        now = asyncio.get_running_loop().time()
        while idle and connection is None:
            candidate = idle.pop(0) if self.oldest_first else idle.pop()
            if candidate.usable() and now - candidate.last_used_at <= self.max_idle_s:
                connection = candidate
            else:
                candidate.close()
        if connection is None:
            raw_connection = await self._net.connect(ports.address_of(address), timeout_s)
            connection = connections.EndpointConnection("", address, raw_connection, 0.0)
        try:
            raw = [(k.encode(), v.encode()) for k, v in ports.resolve_fields(headers)]
        except TimeoutError:
            connection.close()
            raise
        if not any(k == b"host" for k, _ in raw):
            raw.insert(0, (b"host", address.encode()))
        if body:
            raw.append((b"content-length", str(len(body)).encode()))
        head = await connection.send(method, path.encode(), raw, body)
        data = b"".join([part async for part in connection.parts()])
        if connection.usable():
            connection.last_used_at = asyncio.get_running_loop().time()
            idle.append(connection)
        response_headers = [(k.decode("latin-1").lower(), v.decode("latin-1")) for k, v in head.headers]
        return ports.Response(head.status, response_headers, data)
