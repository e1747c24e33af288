"""Pipes to endpoints: proven before use, never silently opened again."""

import asyncio
import dataclasses
import ssl
import typing

import httpcore

import dykeswitch.ports as ports
import dykeswitch.soundness as soundness

Heads = list[tuple[bytes, bytes]]


class Flaw(Exception):
    """A go that failed, with what it means for endpoint and caller."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class _Stream(httpcore.AsyncNetworkStream):
    """Our pipe as the HTTP library wants it; counts what was written."""

    def __init__(self, pipe: ports.Pipe) -> None:
        self._pipe = pipe
        self.wrote = 0
        # Asked right before the first byte of an exchange: may it still go?
        self.gate: typing.Callable[[], bool] | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            return await self._pipe.read(max_bytes)
        except OSError as flaw:
            raise httpcore.ReadError(str(flaw)) from flaw

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        gate, self.gate = self.gate, None
        if gate is not None and not gate():
            raise Flaw("no longer to be used", sent=False)
        self.wrote += len(buffer)
        try:
            await self._pipe.write(buffer)
        except OSError as flaw:
            raise httpcore.WriteError(str(flaw)) from flaw

    async def aclose(self) -> None:
        self._pipe.close()

    async def start_tls(
        self, ssl_context: ssl.SSLContext, server_hostname: str | None = None, timeout: float | None = None
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError

    def get_extra_info(self, info: str) -> typing.Any:
        return self._pipe.ended() if info == "is_readable" else None


@dataclasses.dataclass(slots=True)
class Head:
    """The head of an endpoint's reply."""

    status: int
    heads: Heads

    def get(self, name: bytes) -> bytes | None:
        for key, text in self.heads:
            if key.lower() == name:
                return text
        return None


class EndpointPipe:
    """One proven pipe to one endpoint by its registered id."""

    def __init__(self, endpoint: str, spot: str, pipe: ports.Pipe, now: float) -> None:
        self.endpoint = endpoint
        self.spot = spot
        self._pipe = pipe
        self._stream = _Stream(pipe)
        host, _, port = spot.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._core = httpcore.AsyncHTTP11Connection(self._origin, self._stream)
        self._reply: httpcore.Response | None = None
        self.used = now
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self._pipe.close()

    def usable(self) -> bool:
        return not self.closed and not self._pipe.ended() and self._core.is_idle()

    async def send(
        self,
        method: str,
        target: bytes,
        heads: Heads,
        body: bytes,
        gate: typing.Callable[[], bool] | None = None,
    ) -> Head:
        """Send a request and bring back the reply's head."""
        before = self._stream.wrote
        self._stream.gate = gate
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        ask = httpcore.Request(method.encode(), url, headers=heads, content=body if body else None)
        try:
            self._reply = await self._core.handle_async_request(ask)
        except Flaw:
            self.close()
            raise
        except httpcore.RemoteProtocolError as flaw:
            self.close()
            gone = "disconnected" in str(flaw)
            reason = soundness.BROKE_OFF if gone else soundness.GARBAGE
            raise Flaw(reason, self._stream.wrote > before) from flaw
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable) as flaw:
            self.close()
            raise Flaw(soundness.BROKE_OFF, self._stream.wrote > before) from flaw
        except BaseException:
            # Timed out or cancelled: what comes on this pipe later belongs to nobody.
            self.close()
            raise
        return Head(self._reply.status, list(self._reply.headers))

    def wrote_since(self, mark: int) -> bool:
        return self._stream.wrote > mark

    def wrote(self) -> int:
        return self._stream.wrote

    async def parts(self) -> typing.AsyncIterator[bytes]:
        """The reply's body; raises when it is cut short."""
        assert self._reply is not None
        try:
            async for part in typing.cast(typing.AsyncIterable[bytes], self._reply.stream):
                yield part
            # Only now is the pipe free for another exchange.
            await self._reply.aclose()
        except httpcore.RemoteProtocolError as flaw:
            self.close()
            raise Flaw(soundness.BROKE_OFF, True) from flaw
        except (httpcore.NetworkError, httpcore.ProtocolError) as flaw:
            self.close()
            raise Flaw(soundness.BROKE_OFF, True) from flaw
        except BaseException:
            self.close()
            raise


async def prove(pipe: EndpointPipe, path: str) -> str | None:
    """Probe on this very pipe; the reason it is not sound, or nothing."""
    heads = [(b"host", pipe.spot.encode()), (b"user-agent", b"dykeswitch-probe"), (b"accept", b"*/*")]
    head = await pipe.send("GET", path.encode(), heads, b"")
    size = 0
    async for part in pipe.parts():
        size += len(part)
        if size > 65536:
            return "answered too much on probe"
    if head.status != 200:
        return f"answered {head.status} on probe"
    if (head.get(soundness.SERVED_BY) or b"").decode("latin-1") != pipe.endpoint:
        return soundness.WRONG_ID
    return None


async def open_proven(
    net: ports.Network, clock: ports.Clock, endpoint: str, spot: str, path: str, dial_s: float, probe_s: float
) -> EndpointPipe:
    """A fresh pipe that has shown it leads to the registered id."""
    try:
        raw = await net.dial(spot, dial_s)
    except ConnectionRefusedError as flaw:
        raise Flaw(soundness.REFUSED, False) from flaw
    except (OSError, TimeoutError) as flaw:
        raise Flaw(soundness.NO_ROAD, False) from flaw
    pipe = EndpointPipe(endpoint, spot, raw, clock.now())
    try:
        async with asyncio.timeout(probe_s):
            reason = await prove(pipe, path)
    except TimeoutError as flaw:
        pipe.close()
        raise Flaw(soundness.PROBE_TIMED_OUT, False) from flaw
    except Flaw as flaw:
        pipe.close()
        raise Flaw(f"{flaw.reason} on probe", False) from flaw
    except BaseException:
        pipe.close()
        raise
    if reason is not None or pipe.closed:
        pipe.close()
        raise Flaw(reason or "broke off on probe", False)
    return pipe
