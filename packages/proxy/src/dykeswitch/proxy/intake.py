"""Reads and validates clients' requests and creates an exchange for each."""

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

EMPTY_BOUNDS: typing.Final = layouts.Bounds()
# Retry-After for clients that are refused because of overload, in seconds.
BUSY_RETRY_S: typing.Final = 1.0
# Longer values of a client's timeout in milliseconds are taken as malformed.
MAX_EXPIRY_DIGITS: typing.Final = 9


class Intake:
    """Reads requests within the limits of the layout and the settings."""

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
        # Random prefix that keeps exchange names unique across restarts.
        self._name_prefix = f"{rng.getrandbits(32):08x}"
        self._sequence = 0
        # Total size of all request bodies in memory, in bytes.
        self._buffered_bytes = 0

    def new_exchange(self, scope: ports.Scope, send: ports.Send) -> exchanges.Exchange:
        """Create an exchange for a request whose head has been received."""
        self._sequence += 1
        headers: list[tuple[bytes, bytes]] = list(scope["headers"])
        raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
        query: bytes = scope.get("query_string") or b""
        path = raw_path.partition(b"?")[0]
        host = next((v for k, v in headers if k == b"host"), b"").decode("latin-1")
        return exchanges.Exchange(
            name=f"{self._config.name}-{self._name_prefix}-{self._sequence}",
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
        """Check the request head and read the body; return a failure if the request is invalid.

        Raises:
            presence.ClientLeftError: The client disconnected before the end of the body.
        """
        if sum(len(k) + len(v) for k, v in exchange.headers) > self._max_head_bytes():
            return outcome.failure("head_too_big")
        expiry_text = adapters.find(exchange.headers, self._adapter.header_names.expiry)
        if expiry_text is not None:
            if not expiry_text.isdigit() or len(expiry_text) > MAX_EXPIRY_DIGITS:
                return outcome.failure("bad_expiry", expiry_text[:40].decode("latin-1"))
            exchange.requested_timeout_s = int(expiry_text) / 1000
        # Used until a rule is found: to wait longer than the client does is pointless.
        timeout_s = (
            self._config.request_s
            if exchange.requested_timeout_s is None
            else min(self._config.request_s, exchange.requested_timeout_s)
        )
        exchange.deadline = exchange.started_at + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._read_body(exchange, receive)
        except TimeoutError:
            return outcome.failure("expired", "request body was not received before the deadline")

    def connection_limits(self) -> ports.ConnectionLimits:
        """Return the current limits for clients' connections, from the layout or the defaults."""
        configured, defaults = self._limits(), ports.DEFAULT_LIMITS
        return ports.ConnectionLimits(
            head_most=self._max_head_bytes(),
            head_s=configured.head_s or defaults.head_s,
            idle_s=configured.idle_s or defaults.idle_s,
        )

    def _max_head_bytes(self) -> int:
        return self._limits().head_most or self._config.head_most

    def _limits(self) -> layouts.Bounds:
        """Return the layout's limits for requests; those it doesn't set are taken from the settings."""
        layout = self._layout()
        return layout.bounds if layout is not None else EMPTY_BOUNDS

    def _add_buffered(self, exchange: exchanges.Exchange, size: int) -> None:
        exchange.buffered_bytes += size
        self._buffered_bytes += size

    def release(self, exchange: exchanges.Exchange) -> None:
        """Stop counting the body of a finished exchange."""
        self._buffered_bytes -= exchange.buffered_bytes
        exchange.buffered_bytes = 0

    async def _read_body(
        self, exchange: exchanges.Exchange, receive: ports.Receive
    ) -> outcome.Failure | None:
        body = bytearray()
        max_bytes = self._limits().body_most or self._config.body_most
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise presence.ClientLeftError
            part = message.get("body", b"")
            body += part
            self._add_buffered(exchange, len(part))
            if len(body) > max_bytes:
                return outcome.failure("body_too_big", f"request body is over {max_bytes} bytes")
            # One body may be as large as the layout allows, but all bodies together have to fit in memory.
            if (
                self._buffered_bytes > self._config.bodies_most
                and self._buffered_bytes > exchange.buffered_bytes
            ):
                exchange.retry_after = BUSY_RETRY_S
                return outcome.failure("too_busy", "too many bytes of request bodies in memory")
            if not message.get("more_body"):
                break
        exchange.body = bytes(body)
        return None
