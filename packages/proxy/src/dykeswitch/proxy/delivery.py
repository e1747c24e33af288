"""One attempt: a connection to the selected endpoint, the request on it, the answer held until whole."""

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
import dykeswitch.proxy.senses as senses_port
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines


class Delivery:
    """Makes attempts, each on a connection of its own while it lasts."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        selector: selection.Selector,
        senses: senses_port.Senses,
        adapter: adapters.Adapter,
    ) -> None:
        self._config = config
        self._clock = machine.clock
        self._selector = selector
        self._senses = senses
        self._adapter = adapter
        self._header_names = adapter.header_names
        self._pool = pools.ConnectionPool(config, machine, timeline, adapter.header_names)
        self._budgets: dict[str, budgets.Budget] = {}
        self.layout: layouts.Layout | None = None
        # Whether this proxy stops: attempts go on to their end, and no connection is kept.
        self.closing = False

    def budget(self, service: str) -> budgets.Budget:
        """The budget of extra attempts toward a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.Budget(self._config, self._senses.borrowing_since)
        return budget

    @property
    def budgets(self) -> dict[str, budgets.Budget]:
        """The budgets of all services to which something was carried."""
        return self._budgets

    # Connections.

    async def connect(self, exchange: exchanges.Exchange, entry: timelines.Entry) -> None:
        """Take a proven connection to an endpoint; raises `EndpointConnectionError`, with nothing sent."""
        assert self.layout is not None
        probe = self.layout.services[exchange.service].probe
        exchange.ahead = self._selector.ahead(entry)
        self._selector.attempt_started(entry.key)
        try:
            exchange.take(await self._pool.connect(entry, exchange.service, probe, exchange.expiry))
        except BaseException:
            self._selector.attempt_ended(entry.key)
            raise

    def put_away(self, exchange: exchanges.Exchange, sound: bool) -> None:
        """Give a connection back for the next exchange, or close it."""
        connection, exchange.connection = exchange.connection, None
        if connection is not None:
            self._selector.attempt_ended(connection.endpoint)
            self._pool.put_back(connection, sound and not self.closing)

    def reset_at_rest(self, exchange: exchanges.Exchange, rested_s: float) -> None:
        """Learn from a connection that was reset when it was used again after a rest."""
        self._pool.idle_limits.reset(exchange.service, rested_s, self._clock.now())

    def idle(self) -> int:
        """How many usable connections lie idle."""
        return self._pool.idle()

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    # Attempts.

    async def deliver(self, exchange: exchanges.Exchange) -> None:
        """Send the request and take in the answer, as far as it is held; the exchange tells how it went."""
        assert exchange.connection is not None and exchange.endpoint is not None
        entry, connection = exchange.endpoint, exchange.connection
        exchange.flaw, exchange.head_came, exchange.sent = "", False, False
        answer: exchanges.Answer | None = None
        begun = self._clock.now()
        try:
            async with self._patience(exchange):
                head = await connection.send(
                    exchange.method,
                    exchange.target,
                    headers.request_headers(exchange, self._adapter, self._header_names, begun),
                    exchange.body,
                    lambda: self._may_still_go(exchange, entry, begun),
                )
                exchange.head_came = True
                answer = await self._hold(exchange.method, connection, head)
        except TimeoutError:
            exchange.flaw = soundness.TIMED_OUT
            waited = self._clock.now() - begun
            # A caller in a hurry says nothing about the endpoint.
            if waited < min(self._config.probe_timeout_s, exchange.request_s):
                exchange.flaw = "expired"
        except connections.EndpointConnectionError as flaw:
            exchange.flaw = flaw.reason
        finally:
            # Also when we are cut short: whether it may have run must be known.
            exchange.took = self._clock.now() - begun
            exchange.sent = exchange.under_way()
            if exchange.sent:
                # One that was never sent takes nothing away from what came before it.
                exchange.answer = answer
                exchange.attempts += 1

    def _may_still_go(self, exchange: exchanges.Exchange, entry: timelines.Entry, begun: float) -> bool:
        """The last look before the first byte: frozen, expired, or gone since?"""
        return (
            not self._senses.clock_jumped()
            and self._clock.now() - begun < self._config.clock_gap_s
            and self._clock.now() < exchange.expiry
            and not self._senses.silence_s() > self._config.drain_s
            and self._selector.usable(entry)
            and matching.is_still_ruled(exchange, self.layout, self._config)
        )

    def _patience(self, exchange: exchanges.Exchange) -> patience.AttemptTimeout:
        """How long this attempt may take."""
        left = exchange.expiry - self._clock.now()
        limit = min(exchange.request_s, left)
        if exchange.writing:
            return patience.AttemptTimeout(limit, limit, lambda: False)
        # An attempt that hangs must leave time for the tries that remain.
        first = min(limit, left / max(1, exchange.max_tries - exchange.attempts))
        return patience.AttemptTimeout(
            first, limit, lambda: self.may_try_another(exchange, exchange.attempts + 1)
        )

    def may_try_another(self, exchange: exchanges.Exchange, attempts: int) -> bool:
        """Whether another attempt could be made now after so many, the one at hand among them.

        Where none could, to break that one off would only end the exchange sooner: its endpoint
        may still be at work. A proxy that stops breaks nothing off.
        """
        return not self.closing and any(
            self.budget(service).affords(self._clock.now())
            and self._selector.has_another(service, exchange.tried_endpoints)
            for service in matching.next_services(exchange, attempts, self.layout, self._config)
        )

    async def _hold(
        self, method: str, connection: connections.EndpointConnection, head: connections.ResponseHead
    ) -> exchanges.Answer:
        """Hold the reply's body up to the bound, so that a cut one is never passed on."""
        if not headers.is_framed(method, head):
            raise connections.EndpointConnectionError(soundness.UNFRAMED, True)
        rest = connection.parts()
        held = bytearray()
        async for part in rest:
            held += part
            if len(held) > self._config.reply_buffer:
                return exchanges.Answer(head, bytes(held), rest)
        return exchanges.Answer(head, bytes(held), None)
