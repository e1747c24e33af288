"""Web calls over kept connections, cheap enough for callers that are not to be measured."""

import asyncio
import math

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.soundness.connection as connections


class LightWeb(real.RealWeb):
    """Calls over a few kept pipes: the callers must not be what is measured."""

    def __init__(self, net: ports.Network) -> None:
        super().__init__()
        self._net = net
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        # For how long a connection may rest and be used again, in seconds; and whether the one that
        # rested longest is used first.
        self.rest_most_s = math.inf
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
        """One call, over a kept connection where there is one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request(method, address, path, headers, body, timeout_s)
        except connections.EndpointConnectionError as flaw:
            raise OSError(flaw.reason) from flaw

    async def _request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes, timeout_s: float
    ) -> ports.Response:
        idle = self._idle.setdefault(address, [])
        connection: connections.EndpointConnection | None = None
        now = asyncio.get_running_loop().time()
        while idle and connection is None:
            held = idle.pop(0) if self.oldest_first else idle.pop()
            if held.usable() and now - held.last_used_at <= self.rest_most_s:
                connection = held
            else:
                held.close()
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
        found = [(k.decode("latin-1").lower(), v.decode("latin-1")) for k, v in head.headers]
        return ports.Response(head.status, found, data)
