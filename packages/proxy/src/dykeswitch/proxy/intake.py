"""What comes in from callers: each request is read and checked, and becomes an exchange."""

import asyncio
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.presence as presence
import dykeswitch.settings as settings

NO_BOUNDS: typing.Final = layouts.Bounds()
# How soon a caller may come again that found too much at once, in seconds.
BUSY_RETRY_S: typing.Final = 1.0
# Digits of a caller's expiry in milliseconds: more is no number that anyone means.
EXPIRY_DIGITS: typing.Final = 9


class Intake:
    """Reads requests within the bounds of the layout and of the settings."""

    def __init__(
        self,
        config: settings.Settings,
        clock: ports.Clock,
        rng: random.Random,
        adapter: adapters.Adapter,
        layout: typing.Callable[[], layouts.Layout | None],
    ) -> None:
        self._config = config
        self._clock = clock
        self._adapter = adapter
        self._layout = layout
        # Names of exchanges are never used again, not even after a restart.
        self._names = f"{rng.getrandbits(32):08x}"
        self._turn = 0
        # Bytes of all bodies that are held now.
        self._held = 0

    def exchange(self, scope: ports.Scope, send: ports.Send) -> exchanges.Exchange:
        """A new exchange for a request whose head is here."""
        self._turn += 1
        headers: list[tuple[bytes, bytes]] = list(scope["headers"])
        raw: bytes = scope.get("raw_path") or scope["path"].encode()
        query: bytes = scope.get("query_string") or b""
        path = raw.partition(b"?")[0]
        host = next((v for k, v in headers if k == b"host"), b"").decode("latin-1")
        return exchanges.Exchange(
            name=f"{self._config.name}-{self._names}-{self._turn}",
            method=str(scope["method"]),
            host=host,
            path=path.decode("latin-1"),
            target=path + (b"?" + query if query else b""),
            headers=headers,
            body=b"",
            started_at=self._clock.now(),
            requested_timeout_s=None,
            send=send,
        )

    async def read(self, exchange: exchanges.Exchange, receive: ports.Receive) -> outcome.Failure | None:
        """Check the head and read the body; what is wrong with the request, if anything is.

        Raises `CallerLeftError` where its caller does not stay until the body's end.
        """
        if sum(len(k) + len(v) for k, v in exchange.headers) > self._head_most():
            return outcome.failure("head_too_big")
        text = adapters.find(exchange.headers, self._adapter.header_names.expiry)
        if text is not None:
            if not text.isdigit() or len(text) > EXPIRY_DIGITS:
                return outcome.failure("bad_expiry", text[:40].decode("latin-1"))
            exchange.requested_timeout_s = int(text) / 1000
        # Until a rule is found: a longer wait than the caller's helps nobody.
        span = (
            self._config.request_s
            if exchange.requested_timeout_s is None
            else min(self._config.request_s, exchange.requested_timeout_s)
        )
        exchange.expiry = exchange.started_at + span
        try:
            async with asyncio.timeout(span):
                return await self._body(exchange, receive)
        except TimeoutError:
            return outcome.failure("expired", "the request's body did not come in time")

    def connection_limits(self) -> ports.ConnectionLimits:
        """How long callers may take over a head, and rest, by the layout of this moment."""
        said, usual = self._limits(), ports.DEFAULT_LIMITS
        return ports.ConnectionLimits(
            head_most=self._head_most(),
            head_s=said.head_s or usual.head_s,
            idle_s=said.idle_s or usual.idle_s,
        )

    def _head_most(self) -> int:
        return self._limits().head_most or self._config.head_most

    def _limits(self) -> layouts.Bounds:
        """What the operator lets callers send; the settings hold where the layout says nothing."""
        layout = self._layout()
        return layout.bounds if layout is not None else NO_BOUNDS

    def _hold(self, exchange: exchanges.Exchange, size: int) -> None:
        exchange.held += size
        self._held += size

    def release(self, exchange: exchanges.Exchange) -> None:
        """An exchange is over: its body is held no more."""
        self._held -= exchange.held
        exchange.held = 0

    async def _body(self, exchange: exchanges.Exchange, receive: ports.Receive) -> outcome.Failure | None:
        body = bytearray()
        most = self._limits().body_most or self._config.body_most
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise presence.CallerLeftError
            part = message.get("body", b"")
            body += part
            self._hold(exchange, len(part))
            if len(body) > most:
                return outcome.failure("body_too_big", f"over {most} bytes")
            # One alone may be as large as the layout says; all together have to fit in the memory.
            if self._held > self._config.bodies_most and self._held > exchange.held:
                exchange.retry_after = BUSY_RETRY_S
                return outcome.failure("too_busy", "too many bytes of bodies at once")
            if not message.get("more_body"):
                break
        exchange.body = bytes(body)
        return None
