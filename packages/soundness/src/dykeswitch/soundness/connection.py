"""HTTP connections to endpoints, verified before use and never reopened silently."""

import asyncio
import dataclasses
import re
import typing

import h11

import dykeswitch.adapter as adapter
import dykeswitch.ports as ports
import dykeswitch.soundness as soundness

Headers = list[tuple[bytes, bytes]]

READ_SIZE: typing.Final = 65536
MAX_PROBE_BODY_BYTES: typing.Final = 65536
# Responses to earlier exchanges that are skipped before the expected one.
MAX_SURPLUS_RESPONSES: typing.Final = 3
KEEP_ALIVE_TIMEOUT: typing.Final = re.compile(rb"timeout\s*=\s*(\d{1,6})")


class EndpointConnectionError(Exception):
    """A failed attempt, with the reason and whether any byte of the request was sent."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """The status and the headers of an endpoint's response."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name (in lower case), if there is one."""
        return adapter.find(self.headers, name)


class EndpointConnection:
    """A connection to one endpoint, by its registered id, for one exchange at a time."""

    def __init__(
        self,
        endpoint: str,
        address: str,
        connection: ports.Connection,
        now: float,
        exchange_header: bytes = b"",
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self._connection = connection
        self._http = h11.Connection(h11.CLIENT)
        # The header with the id of the exchange in requests and responses, or empty.
        self._exchange_header = exchange_header
        self._answered_ids: list[bytes] = []
        self._bytes_sent = 0
        self.last_used_at = now
        # How long the connection was idle before the current exchange, in seconds; 0 on a new one.
        self.idle_for_s = 0.0
        # How long the endpoint keeps an idle connection, in seconds, as it has stated.
        self.keep_alive_s: float | None = None
        self.closed = False

    def close(self) -> None:
        """Close the connection for good."""
        self.closed = True
        self._connection.close()

    def usable(self) -> bool:
        """Return whether another exchange may be sent on this connection."""
        if self.closed or self._connection.ended():
            return False
        return self._http.our_state is h11.IDLE and not self._http.trailing_data[0]

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        Raises:
            EndpointConnectionError: The attempt failed, or `may_send` returned false.
        """
        sent_before = self._bytes_sent
        exchange_id = adapter.find(headers, self._exchange_header) if self._exchange_header else None
        try:
            data = self._serialize_request(method, target, headers, body)
            # The last check, right before the first byte.
            if may_send is not None and not may_send():
                raise EndpointConnectionError("no longer to be used", sent=False)
            self._bytes_sent += len(data)
            await self._connection.write(data)
            return await self._read_head(exchange_id, method, target, headers)
        except EndpointConnectionError:
            self.close()
            raise
        except h11.ProtocolError as error:
            self.close()
            raise EndpointConnectionError(soundness.GARBAGE, self._bytes_sent > sent_before) from error
        except OSError as error:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, self._bytes_sent > sent_before) from error
        except BaseException:
            # Timed out or cancelled: nobody waits for what this connection may still receive.
            self.close()
            raise

    def _serialize_request(self, method: str, target: bytes, headers: Headers, body: bytes) -> bytes:
        data = self._http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> typing.Any:
        """Return the next event of the response; raise if the connection ends within it."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.read(READ_SIZE)
            if not data and self._http.their_state is h11.SEND_RESPONSE:
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
            try:
                self._http.receive_data(data)
                if not data:
                    event = self._http.next_event()
                    if event is not h11.NEED_DATA:
                        return event
                    raise EndpointConnectionError(soundness.BROKE_OFF, True)
            except h11.RemoteProtocolError as error:
                if not data:
                    raise EndpointConnectionError(soundness.BROKE_OFF, True) from error
                raise

    async def _read_head(
        self, exchange_id: bytes | None, method: str, target: bytes, headers: Headers
    ) -> ResponseHead:
        """Return the head of the response to the current exchange, after any surplus responses."""
        for _ in range(MAX_SURPLUS_RESPONSES):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
            head = ResponseHead(
                event.status_code, [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
            )
            if self._is_expected(head, exchange_id):
                self._read_keep_alive(head)
                return head
            # A second response to an earlier exchange, as its id shows. The expected response
            # is still to come.
            await self._skip_response(method, target, headers)
        raise EndpointConnectionError(soundness.FOREIGN_RESPONSE, True)

    def _is_expected(self, head: ResponseHead, exchange_id: bytes | None) -> bool:
        """Return True for a response to the current exchange, and False for one to an earlier exchange.

        Raises:
            EndpointConnectionError: The response belongs to neither.
        """
        response_id = head.get(self._exchange_header) if self._exchange_header else None
        if response_id is not None and response_id == exchange_id:
            self._answered_ids = [*self._answered_ids[-MAX_SURPLUS_RESPONSES:], response_id]
            return True
        if response_id in self._answered_ids:
            return False
        # Once responses on this connection state ids, a response without one cannot be assigned: it
        # may be a surplus response in place of the expected one. Nor can a response with an unknown id.
        if exchange_id is not None and (response_id is not None or self._answered_ids):
            raise EndpointConnectionError(soundness.FOREIGN_RESPONSE, True)
        return True

    async def _skip_response(self, method: str, target: bytes, headers: Headers) -> None:
        """Read a surplus response to its end, and prepare to read the expected one behind it."""
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
        rest, eof = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        # Puts the new protocol state where it is after sending; the bytes were sent before.
        self._serialize_request(method, target, [(k, v) for k, v in headers if k != b"content-length"], b"")
        if rest or eof:
            self._http.receive_data(rest)

    def _read_keep_alive(self, head: ResponseHead) -> None:
        match = KEEP_ALIVE_TIMEOUT.search(head.get(b"keep-alive") or b"")
        if match is not None:
            self.keep_alive_s = float(match.group(1))

    def sent_since(self, mark: int) -> bool:
        """Return whether any byte was sent after an earlier result of `bytes_sent`."""
        return self._bytes_sent > mark

    def bytes_sent(self) -> int:
        """Return the number of bytes sent so far."""
        return self._bytes_sent

    async def parts(self) -> typing.AsyncIterator[bytes]:
        """Yield the body of the response; raise if it is incomplete."""
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    raise EndpointConnectionError(soundness.BROKE_OFF, True)
            # Another exchange may use the connection only now.
            if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                self._http.start_next_cycle()
            else:
                self.close()
        except h11.ProtocolError as error:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, True) from error
        except OSError as error:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, True) from error
        except BaseException:
            self.close()
            raise


async def verify(
    connection: EndpointConnection, path: str, served_by: bytes = soundness.SERVED_BY
) -> str | None:
    """Probe the endpoint on this connection; return why the probe failed, or None if it succeeded."""
    headers = [
        (b"host", connection.address.encode()),
        (b"user-agent", b"dykeswitch-probe"),
        (b"accept", b"*/*"),
    ]
    head = await connection.send("GET", path.encode(), headers, b"")
    size = 0
    async for part in connection.parts():
        size += len(part)
        if size > MAX_PROBE_BODY_BYTES:
            return "answered too much on probe"
    if head.status != 200:
        return f"answered {head.status} on probe"
    if (head.get(served_by) or b"").decode("latin-1") != connection.endpoint:
        return soundness.WRONG_ID
    return None


async def open_connection(
    net: ports.Network,
    clock: ports.Clock,
    endpoint: str,
    address: str,
    connect_timeout_s: float,
    exchange_header: bytes = b"",
) -> EndpointConnection:
    """Open a connection without verifying it: all it shows is that something listens there."""
    try:
        raw_connection = await net.connect(ports.address_of(address), connect_timeout_s)
    except ConnectionRefusedError as error:
        raise EndpointConnectionError(soundness.REFUSED, False) from error
    except (OSError, TimeoutError, ports.AddressError) as error:
        # An endpoint with an invalid address cannot be reached. That ends this attempt and has no
        # further effect.
        raise EndpointConnectionError(soundness.UNREACHABLE, False) from error
    return EndpointConnection(endpoint, address, raw_connection, clock.now(), exchange_header)


async def open_verified(
    net: ports.Network,
    clock: ports.Clock,
    endpoint: str,
    address: str,
    path: str,
    connect_timeout_s: float,
    probe_timeout_s: float,
    names: adapter.HeaderNames | None = None,
) -> EndpointConnection:
    """Open a connection, and verify with a probe that it leads to the registered endpoint."""
    served_by = names.served_by if names is not None else soundness.SERVED_BY
    connection = await open_connection(
        net, clock, endpoint, address, connect_timeout_s, names.exchange if names is not None else b""
    )
    try:
        async with asyncio.timeout(probe_timeout_s):
            reason = await verify(connection, path, served_by)
    except TimeoutError as error:
        connection.close()
        raise EndpointConnectionError(soundness.PROBE_TIMED_OUT, False) from error
    except EndpointConnectionError as error:
        connection.close()
        raise EndpointConnectionError(f"{error.reason} on probe", False) from error
    except BaseException:
        connection.close()
        raise
    if reason is not None or connection.closed:
        connection.close()
        raise EndpointConnectionError(reason or "broke off on probe", False)
    return connection
