"""Pipes to endpoints: proven before use, never silently opened again."""

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
PROBE_MOST: typing.Final = 65536
# How many replies that belong to earlier exchanges are passed over before ours.
SURPLUS_MOST: typing.Final = 3
ENDED_BY: typing.Final = re.compile(rb"timeout\s*=\s*(\d{1,6})")


class EndpointConnectionError(Exception):
    """A go that failed, with what it means for endpoint and caller."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """The head of an endpoint's reply."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """The first header field of a name in lower case, if there is one."""
        return adapter.find(self.headers, name)


class EndpointConnection:
    """One pipe to one endpoint by its registered id; one exchange at a time."""

    def __init__(
        self, endpoint: str, address: str, connection: ports.Connection, now: float, exchange: bytes = b""
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self._connection = connection
        self._talk = h11.Connection(h11.CLIENT)
        # The field that names the exchange in request and reply, where there is one.
        self._exchange = exchange
        self._asked: list[bytes] = []
        self._wrote = 0
        self.used = now
        # For how long it had lain idle before the exchange at hand, in seconds; 0 on a fresh one.
        self.rested_s = 0.0
        # Until when the endpoint said that it keeps an idle pipe, in seconds of idling.
        self.idle_s: float | None = None
        self.closed = False

    def close(self) -> None:
        """Close it for good."""
        self.closed = True
        self._connection.close()

    def usable(self) -> bool:
        """Whether another exchange may be sent on it."""
        if self.closed or self._connection.ended():
            return False
        return self._talk.our_state is h11.IDLE and not self._talk.trailing_data[0]

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        gate: typing.Callable[[], bool] | None = None,
    ) -> ResponseHead:
        """Send a request and bring back the reply's head."""
        before = self._wrote
        name = adapter.find(headers, self._exchange) if self._exchange else None
        try:
            data = self._request(method, target, headers, body)
            # Right before the first byte: may it still go?
            if gate is not None and not gate():
                raise EndpointConnectionError("no longer to be used", sent=False)
            self._wrote += len(data)
            await self._connection.write(data)
            return await self._head(name, method, target, headers)
        except EndpointConnectionError:
            self.close()
            raise
        except h11.ProtocolError as flaw:
            self.close()
            raise EndpointConnectionError(soundness.GARBAGE, self._wrote > before) from flaw
        except OSError as flaw:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, self._wrote > before) from flaw
        except BaseException:
            # Timed out or cancelled: what comes on this pipe later belongs to nobody.
            self.close()
            raise

    def _request(self, method: str, target: bytes, headers: Headers, body: bytes) -> bytes:
        data = self._talk.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self._talk.send(h11.Data(data=body)) or b""
        return data + (self._talk.send(h11.EndOfMessage()) or b"")

    async def _event(self) -> typing.Any:
        """The next event of the reply; a pipe that ends within it raises."""
        while True:
            event = self._talk.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.read(READ_SIZE)
            if not data and self._talk.their_state is h11.SEND_RESPONSE:
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
            try:
                self._talk.receive_data(data)
                if not data:
                    event = self._talk.next_event()
                    if event is not h11.NEED_DATA:
                        return event
                    raise EndpointConnectionError(soundness.BROKE_OFF, True)
            except h11.RemoteProtocolError as flaw:
                if not data:
                    raise EndpointConnectionError(soundness.BROKE_OFF, True) from flaw
                raise

    async def _head(self, name: bytes | None, method: str, target: bytes, headers: Headers) -> ResponseHead:
        for _ in range(SURPLUS_MOST):
            event = await self._event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._event()
            if not isinstance(event, h11.Response):
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
            head = ResponseHead(
                event.status_code, [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
            )
            if self._answers(head, name):
                self._learn(head)
                return head
            # A second reply to an exchange of before: the id tells it from ours, which
            # is still to come.
            await self._pass_over(method, target, headers)
        raise EndpointConnectionError(soundness.OTHERS_REPLY, True)

    def _answers(self, head: ResponseHead, name: bytes | None) -> bool:
        """Whether a reply answers the exchange of a name, and not an earlier one; raises for neither."""
        named = head.get(self._exchange) if self._exchange else None
        if named is not None and named == name:
            self._asked = [*self._asked[-SURPLUS_MOST:], named]
            return True
        if named in self._asked:
            return False
        # Where replies name their exchanges, one that names none is nobody's: a surplus one may
        # come in the place of ours.
        if name is not None and (named is not None or self._asked):
            raise EndpointConnectionError(soundness.OTHERS_REPLY, True)
        return True

    async def _pass_over(self, method: str, target: bytes, headers: Headers) -> None:
        """Read to the end of a reply that is not ours, and look for ours behind it."""
        while not isinstance(event := await self._event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise EndpointConnectionError(soundness.BROKE_OFF, True)
        rest, over = self._talk.trailing_data
        self._talk = h11.Connection(h11.CLIENT)
        # As if just sent: the bytes themselves went out before.
        self._request(method, target, [(k, v) for k, v in headers if k != b"content-length"], b"")
        if rest or over:
            self._talk.receive_data(rest)

    def _learn(self, head: ResponseHead) -> None:
        told = ENDED_BY.search(head.get(b"keep-alive") or b"")
        if told is not None:
            self.idle_s = float(told.group(1))

    def wrote_since(self, mark: int) -> bool:
        """Whether any byte was sent after a count taken with `wrote`."""
        return self._wrote > mark

    def wrote(self) -> int:
        """How many bytes were sent so far."""
        return self._wrote

    async def parts(self) -> typing.AsyncIterator[bytes]:
        """The reply's body; raises when it is cut short."""
        try:
            while True:
                event = await self._event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    raise EndpointConnectionError(soundness.BROKE_OFF, True)
            # Only now is the pipe free for another exchange.
            if self._talk.our_state is h11.DONE and self._talk.their_state is h11.DONE:
                self._talk.start_next_cycle()
            else:
                self.close()
        except h11.ProtocolError as flaw:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, True) from flaw
        except OSError as flaw:
            self.close()
            raise EndpointConnectionError(soundness.BROKE_OFF, True) from flaw
        except BaseException:
            self.close()
            raise


async def verify(
    connection: EndpointConnection, path: str, served_by: bytes = soundness.SERVED_BY
) -> str | None:
    """Probe on this very pipe; the reason it is not sound, or nothing."""
    headers = [
        (b"host", connection.address.encode()),
        (b"user-agent", b"dykeswitch-probe"),
        (b"accept", b"*/*"),
    ]
    head = await connection.send("GET", path.encode(), headers, b"")
    size = 0
    async for part in connection.parts():
        size += len(part)
        if size > PROBE_MOST:
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
    exchange: bytes = b"",
) -> EndpointConnection:
    """A fresh pipe that has shown nothing yet but that somebody is there."""
    try:
        raw = await net.connect(ports.address_of(address), connect_timeout_s)
    except ConnectionRefusedError as flaw:
        raise EndpointConnectionError(soundness.REFUSED, False) from flaw
    except (OSError, TimeoutError, ports.AddressError) as flaw:
        # One that says no address is out of reach: that ends this attempt and nothing else.
        raise EndpointConnectionError(soundness.NO_ROAD, False) from flaw
    return EndpointConnection(endpoint, address, raw, clock.now(), exchange)


async def open_verified(
    net: ports.Network,
    clock: ports.Clock,
    endpoint: str,
    address: str,
    path: str,
    connect_timeout_s: float,
    probe_s: float,
    names: adapter.HeaderNames | None = None,
) -> EndpointConnection:
    """A fresh pipe that has shown it leads to the registered id."""
    served_by = names.served_by if names is not None else soundness.SERVED_BY
    connection = await open_connection(
        net, clock, endpoint, address, connect_timeout_s, names.exchange if names is not None else b""
    )
    try:
        async with asyncio.timeout(probe_s):
            reason = await verify(connection, path, served_by)
    except TimeoutError as flaw:
        connection.close()
        raise EndpointConnectionError(soundness.PROBE_TIMED_OUT, False) from flaw
    except EndpointConnectionError as flaw:
        connection.close()
        raise EndpointConnectionError(f"{flaw.reason} on probe", False) from flaw
    except BaseException:
        connection.close()
        raise
    if reason is not None or connection.closed:
        connection.close()
        raise EndpointConnectionError(reason or "broke off on probe", False)
    return connection
