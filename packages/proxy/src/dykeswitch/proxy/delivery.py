"""Performs attempts: connects to the selected endpoint, sends the request and buffers the response."""

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.ports as ports
import dykeswitch.proxy.budget as budgets
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.headers as headers
import dykeswitch.proxy.matching as matching
import dykeswitch.proxy.patience as patience
import dykeswitch.proxy.pool as pools
import dykeswitch.proxy.selection as selection
import dykeswitch.proxy.senses as senses
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines


class Delivery:
    """Performs attempts, each with exclusive use of one connection."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        selector: selection.Selector,
        fleet_status: senses.FleetStatus,
        adapter: adapters.Adapter,
    ) -> None:
        self._config = config
        self._clock = machine.clock
        self._selector = selector
        self._fleet_status = fleet_status
        self._adapter = adapter
        self._header_names = adapter.header_names
        self._pool = pools.ConnectionPool(config, machine, timeline, adapter.header_names)
        self._budgets: dict[str, budgets.Budget] = {}
        self.layout: layouts.Layout | None = None
        # Whether this proxy is shutting down: attempts are completed, but connections are not kept.
        self.closing = False

    def budget(self, service: str) -> budgets.Budget:
        """Return the budget for extra attempts at a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.Budget(self._config, self._fleet_status.borrowing_since)
        return budget

    @property
    def budgets(self) -> dict[str, budgets.Budget]:
        """The budgets of all services that received requests, by service."""
        return self._budgets

    # Connections.

    async def connect(self, exchange: exchanges.Exchange, entry: timelines.Entry) -> None:
        """Get a verified connection to an endpoint.

        Raises:
            connections.EndpointConnectionError: No connection was available; nothing was sent.
        """
        assert self.layout is not None
        probe = self.layout.services[exchange.service].probe
        exchange.requests_ahead = self._selector.ahead(entry)
        self._selector.attempt_started(entry.key)
        try:
            exchange.use_connection(
                await self._pool.connect(entry, exchange.service, probe, exchange.deadline)
            )
        except BaseException:
            self._selector.attempt_ended(entry.key)
            raise

    def release_connection(self, exchange: exchanges.Exchange, reusable: bool) -> None:
        """Return a connection to the pool if it is reusable, otherwise close it."""
        connection, exchange.connection = exchange.connection, None
        if connection is not None:
            self._selector.attempt_ended(connection.endpoint)
            self._pool.put_back(connection, reusable and not self.closing)

    def record_idle_reset(self, exchange: exchanges.Exchange, idle_s: float) -> None:
        """Record that a connection was reset when it was used again after being idle."""
        self._pool.idle_limits.record_reset(exchange.service, idle_s, self._clock.now())

    def idle(self) -> int:
        """Return the number of idle connections that can be reused."""
        return self._pool.idle()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    # Attempts.

    async def deliver(self, exchange: exchanges.Exchange) -> None:
        """Send the request and buffer the response; the result is stored in the exchange."""
        assert exchange.connection is not None and exchange.endpoint is not None
        entry, connection = exchange.endpoint, exchange.connection
        exchange.error, exchange.response_head_received, exchange.sent = "", False, False
        response: exchanges.Response | None = None
        started_at = self._clock.now()
        try:
            async with self._attempt_timeout(exchange):
                head = await connection.send(
                    exchange.method,
                    exchange.target,
                    headers.request_headers(exchange, self._adapter, self._header_names, started_at),
                    exchange.body,
                    lambda: self._may_still_send(exchange, entry, started_at),
                )
                exchange.response_head_received = True
                response = await self._buffer_response(exchange.method, connection, head)
        except TimeoutError:
            exchange.error = soundness.TIMED_OUT
            waited = self._clock.now() - started_at
            # The client's timeout was too short to say anything about the endpoint.
            if waited < min(self._config.probe_timeout_s, exchange.attempt_timeout_s):
                exchange.error = "expired"
        except connections.EndpointConnectionError as error:
            exchange.error = error.reason
        finally:
            # Also when cancelled: whether the request may have run must be known.
            exchange.attempt_duration_s = self._clock.now() - started_at
            exchange.sent = exchange.is_in_flight()
            if exchange.sent:
                # An attempt that sent nothing leaves the result of the previous attempt in place.
                exchange.response = response
                exchange.attempts += 1

    def _may_still_send(
        self, exchange: exchanges.Exchange, entry: timelines.Entry, started_at: float
    ) -> bool:
        """Check right before the first byte that nothing has ruled the attempt out in the meantime.

        The process may have been frozen, the deadline may have passed, or the endpoint or rule may be gone.
        """
        return (
            not self._fleet_status.clock_jumped()
            and self._clock.now() - started_at < self._config.clock_gap_s
            and self._clock.now() < exchange.deadline
            and not self._fleet_status.silence_s() > self._config.drain_s
            and self._selector.usable(entry)
            and matching.rule_still_applies(exchange, self.layout, self._config)
        )

    def _attempt_timeout(self, exchange: exchanges.Exchange) -> patience.AttemptTimeout:
        """Return the timeout of this attempt."""
        left_s = exchange.deadline - self._clock.now()
        limit_s = min(exchange.attempt_timeout_s, left_s)
        if exchange.writing:
            return patience.AttemptTimeout(limit_s, limit_s, lambda: False)
        # An attempt that hangs must leave time for the remaining attempts.
        first_s = min(limit_s, left_s / max(1, exchange.max_tries - exchange.attempts))
        return patience.AttemptTimeout(
            first_s, limit_s, lambda: self.may_try_another(exchange, exchange.attempts + 1)
        )

    def may_try_another(self, exchange: exchanges.Exchange, attempts: int) -> bool:
        """Return whether another attempt could be made now, given the attempts so far including this one.

        If none could, aborting the current attempt would only end the exchange sooner, although the endpoint
        may still be working on it. While shutting down, no attempt is aborted.
        """
        return not self.closing and any(
            self.budget(service).affords(self._clock.now())
            and self._selector.has_another(service, exchange.tried_endpoints)
            for service in matching.next_services(exchange, attempts, self.layout, self._config)
        )

    async def _buffer_response(
        self, method: str, connection: connections.EndpointConnection, head: connections.ResponseHead
    ) -> exchanges.Response:
        """Buffer the body up to `reply_buffer` bytes, so that a truncated one is not passed on."""
        if not headers.is_framed(method, head):
            raise connections.EndpointConnectionError(soundness.UNFRAMED, True)
        rest = connection.parts()
        buffered = bytearray()
        async for part in rest:
            buffered += part
            if len(buffered) > self._config.reply_buffer:
                return exchanges.Response(head, bytes(buffered), rest)
        return exchanges.Response(head, bytes(buffered), None)
