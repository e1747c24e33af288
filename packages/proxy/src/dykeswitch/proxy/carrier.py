"""Runs the stages that take an exchange from a matched request to its response."""

import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.answering as answering
import dykeswitch.proxy.budget as budgets
import dykeswitch.proxy.counters as counters
import dykeswitch.proxy.delivery as deliveries
import dykeswitch.proxy.endings as endings
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.judgement as judgements
import dykeswitch.proxy.marking as marking
import dykeswitch.proxy.matching as matching
import dykeswitch.proxy.presence as presence
import dykeswitch.proxy.selection as selection
import dykeswitch.proxy.senses as senses
import dykeswitch.proxy.trails as trails
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

# A connection that fails before anything is sent costs the endpoint nothing and is not counted as an
# attempt. The limit keeps one exchange from trying the whole fleet.
MAX_CONNECT_FAILURES: typing.Final = 6

Stage = exchanges.Stage
# Stages that are pointless once the client has disconnected.
STAGES_FOR_CLIENT: typing.Final = frozenset({Stage.SELECT, Stage.RETRY, Stage.REPLY})


class Carrier:
    """Keeps the table of exchanges in progress and runs their stages."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        log: logs.Log,
        rng: random.Random,
        fleet_status: senses.FleetStatus,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        adapter = adapter or adapters.DefaultAdapter()
        self._rng = rng
        self._config = config
        self._clock = machine.clock
        self._marks = marks
        self._log = log
        self._fleet_status = fleet_status
        self.selector = selection.Selector(timeline, marks, config, rng)
        self.table: dict[str, exchanges.Exchange] = {}
        self._trails = trails.Trails(self.table)
        self._counters = counters.Counters()
        self._delivery = deliveries.Delivery(config, machine, timeline, self.selector, fleet_status, adapter)
        self._marker = marking.Marker(config, self._clock, marks, self.selector, self._counters, log)
        self._ends = endings.Endings(config, self._clock, self.selector)
        self._judgement = judgements.Judgement(
            adapter, self.selector, self._delivery, self._marker, self._ends, self._add_step
        )
        self._responder = answering.Responder(
            self._clock,
            adapter,
            self._delivery,
            self._marker,
            self._ends,
            self._counters,
            self._should_close_connections,
        )
        self._passes: dict[Stage, typing.Callable[[exchanges.Exchange], typing.Awaitable[Stage]]] = {
            Stage.MATCH: self._match,
            Stage.SELECT: self._select,
            Stage.DELIVER: self._deliver,
            Stage.JUDGE: self._judge,
            Stage.RETRY: self._retry,
            Stage.REPLY: self._reply,
        }

    # State set and read by the proxy program.

    @property
    def layout(self) -> layouts.Layout | None:
        """The layout that exchanges are routed by."""
        return self._delivery.layout

    @layout.setter
    def layout(self, layout: layouts.Layout | None) -> None:
        self._delivery.layout = layout

    @property
    def closing(self) -> bool:
        """Whether this proxy is shutting down."""
        return self._delivery.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._delivery.closing = closing

    @property
    def counts(self) -> dict[str, int]:
        """The counters by name."""
        return self._counters.values

    @property
    def budgets(self) -> dict[str, budgets.Budget]:
        """The budgets for extra attempts, by service."""
        return self._delivery.budgets

    def count(self, name: str) -> None:
        """Increment a counter."""
        self._counters.add(name)

    def record_max(self, name: str, value: int) -> None:
        """Raise a counter to a value if it is lower."""
        self._counters.record_max(name, value)

    def trail(self, name: str) -> list[exchanges.Step] | None:
        """Return the steps of an exchange that is in progress or recently finished."""
        return self._trails.get(name)

    def idle(self) -> int:
        """Return the number of idle connections that can be reused."""
        return self._delivery.idle()

    def close(self) -> None:
        """Close all idle connections."""
        self._delivery.close()

    async def refuse(self, exchange: exchanges.Exchange, failure: outcome.Failure) -> None:
        """Answer an exchange with a failure, without processing it."""
        await self._responder.refuse(exchange, failure)

    # Lifecycle of an exchange.

    async def process(self, exchange: exchanges.Exchange) -> None:
        """Run an exchange through its stages until it is done.

        Raises:
            presence.ClientLeftError: The client disconnected before the response was complete.
        """
        self.count("exchanges")
        try:
            while exchange.stage is not Stage.DONE:
                exchange.stage = await self._passes[exchange.stage](exchange)
                if exchange.client_left_at is not None and exchange.stage in STAGES_FOR_CLIENT:
                    await self._responder.drain_response(exchange)
                    raise presence.ClientLeftError
        finally:
            if exchange.connection is not None:
                self._delivery.release_connection(exchange, reusable=False)
            self._trails.remember(exchange, self._clock.now())
            self._log_exchange(exchange)

    def _log_exchange(self, exchange: exchanges.Exchange) -> None:
        """Log one line for a finished exchange."""
        self._log.info(
            "exchange",
            exchange=exchange.name,
            method=exchange.method,
            host=exchange.host,
            path=exchange.path,
            rule=exchange.rule.name if exchange.rule else None,
            service=exchange.service or None,
            endpoint=exchange.endpoint.key if exchange.endpoint else None,
            goes=exchange.attempts,
            misses=exchange.connect_failures,
            status=exchange.status,
            result=exchange.failure.code.number if exchange.failure else 0,
            span_ms=round((self._clock.now() - exchange.started_at) * 1000, 1),
            left_ms=round((exchange.client_left_at - exchange.started_at) * 1000, 1)
            if exchange.client_left_at is not None
            else None,
        )

    def _add_step(self, exchange: exchanges.Exchange, what: str, why: str = "") -> None:
        exchange.add_step(self._clock.now(), what, why)

    def client_left(self, exchange: exchanges.Exchange) -> None:
        """Record that the client disconnected, and how far the exchange had come."""
        exchange.client_left_at = self._clock.now()
        exchange.failure = outcome.failure("caller_left")
        exchange.status = exchange.failure.code.status
        where = (
            "amid_answer"
            if exchange.response_started
            else "at_work"
            if exchange.is_in_flight()
            else "before_sending"
        )
        self.count(f"callers_left_{where}")
        if exchange.is_in_flight() and self.may_cancel(exchange):
            self.count("attempts_broken_off")
        self._add_step(exchange, "client disconnected", where.replace("_", " "))

    @staticmethod
    def may_cancel(exchange: exchanges.Exchange) -> bool:
        """Return whether an exchange may be cancelled.

        A writing request that has been sent may be running at the endpoint and is not cancelled.
        """
        return not (exchange.writing and exchange.is_in_flight())

    async def finish_at_stop(self, exchange: exchanges.Exchange) -> None:
        """Send a final answer because the grace period of an orderly stop is almost over."""
        self.count("cut_short")
        self._add_step(exchange, "ended early", "this proxy is stopping")
        if exchange.response_started:
            raise answering.BrokenResponseError("proxy stopped before the end of the response")
        exchange.response = None
        if exchange.sent or exchange.unknown_reason:
            self._ends.end(exchange, "timed_out", "this proxy stopped")
        else:
            exchange.retry_after = 1
            self._ends.end(exchange, "stopping")
        await self._responder.respond(exchange)

    def _is_stale(self) -> bool:
        """Return whether no node was heard for so long that departures or rule changes may be missed."""
        return self._fleet_status.silence_s() > self._config.drain_s

    def _should_close_connections(self) -> bool:
        """Return whether clients should send their next request to another proxy."""
        return self.closing or self._fleet_status.silence_s() > self._config.isolated_after_s

    # Stages.

    async def _match(self, exchange: exchanges.Exchange) -> Stage:
        # Confirming the layout may take until the deadline, which the known rule sets for now.
        if self.layout is not None:
            matching.find_rule(exchange, self.layout, self._config, self._rng)
        # After the process was frozen, the layout and the endpoint list may be long out of date.
        is_fresh = await self._fleet_status.confirm_fresh(exchange.deadline)
        failure_tag = (
            matching.find_rule(exchange, self.layout, self._config, self._rng)
            if exchange.layout is None or exchange.layout is not self.layout
            else None
        )
        if not is_fresh and failure_tag != "no_layout":
            return self._ends.give_up(
                exchange, "cut_off" if self._clock.now() < exchange.deadline else "expired"
            )
        if failure_tag is not None:
            return self._ends.end(exchange, failure_tag)
        self._delivery.budget(exchange.service).record_request()
        return Stage.SELECT

    async def _select(self, exchange: exchanges.Exchange) -> Stage:
        is_fresh = await self._fleet_status.confirm_fresh(exchange.deadline)
        # The layout may have changed in the meantime: the current rule decides.
        failure_tag = matching.find_rule(exchange, self.layout, self._config, self._rng)
        if failure_tag is not None:
            return self._end_without_rule(exchange, failure_tag)
        if self._attempts_exhausted(exchange):
            return self._ends.give_up(exchange, "not_run")
        if self._clock.now() >= exchange.deadline:
            return self._ends.give_up(exchange, "expired")
        # Since this proxy was isolated, the platform has seen on its readiness page that it is not ready.
        # Requests that arrive nevertheless are refused at once, because the last known endpoint list
        # may be out of date.
        if not is_fresh or self._is_stale():
            return self._ends.give_up(exchange, "cut_off")
        entry = self.selector.select(
            exchange.service, exchange.tried_endpoints, exchange.rule.aim_s if exchange.rule else None
        )
        if entry is None:
            return self._ends.give_up(exchange, "no_endpoint")
        exchange.endpoint = entry
        exchange.tried_endpoints.add(entry.key)
        mark = self._marks.mark_of(entry.key)
        why = f"all are marked; this mark expires first ({mark.fields['reason']})" if mark else "open"
        self._add_step(exchange, f"selected {entry.key}", why)
        return await self._connect(exchange, entry)

    def _end_without_rule(self, exchange: exchanges.Exchange, tag: str) -> Stage:
        """End an exchange that has no rule in the layout any more, with the result of its attempts."""
        if exchange.attempts:
            self.count("rules_gone_between_attempts")
            self._add_step(exchange, "no further attempt", f"the layout has changed: {tag}")
        if exchange.unknown_reason or exchange.response is not None:
            return self._ends.give_up(exchange, tag)
        return self._ends.end(exchange, tag)

    async def _connect(self, exchange: exchanges.Exchange, entry: timelines.Entry) -> Stage:
        """Connect to the selected endpoint, and take a retry token if the attempt is an extra one."""
        try:
            await self._delivery.connect(exchange, entry)
        except connections.EndpointConnectionError as error:
            # Nothing was sent, so this is not an attempt and another endpoint may be selected.
            exchange.connect_failures += 1
            self._add_step(exchange, f"no connection to {entry.key}", error.reason)
            if error.reason != "expired":
                self._marker.record_failure(entry.key, soundness.no_response_fault(error.reason))
            return (
                self._ends.give_up(exchange, "no_endpoint")
                if exchange.connect_failures >= MAX_CONNECT_FAILURES
                else Stage.SELECT
            )
        # Extra attempts are paid for from the shared budget immediately before they are made.
        if exchange.attempts and not self._delivery.budget(exchange.service).take(self._clock.now()):
            self.count("over_budget")
            self._add_step(
                exchange, "no further attempt", "the shared budget for extra attempts is exhausted"
            )
            self._delivery.release_connection(exchange, reusable=True)
            return self._ends.give_up(exchange, "not_run")
        return Stage.DELIVER

    async def _deliver(self, exchange: exchanges.Exchange) -> Stage:
        await self._delivery.deliver(exchange)
        return Stage.JUDGE

    async def _judge(self, exchange: exchanges.Exchange) -> Stage:
        return self._judgement.judge(exchange)

    async def _retry(self, exchange: exchanges.Exchange) -> Stage:
        return self._ends.give_up(exchange, "not_run") if self._attempts_exhausted(exchange) else Stage.SELECT

    def _attempts_exhausted(self, exchange: exchanges.Exchange) -> bool:
        """Return whether the current rule allows no further attempt."""
        # A writing request may be repeated only if no attempt can have run.
        if exchange.writing and exchange.may_have_run():
            self._add_step(exchange, "not repeated", "it writes, and may have run")
            return True
        return exchange.attempts >= exchange.max_tries

    async def _reply(self, exchange: exchanges.Exchange) -> Stage:
        await self._responder.respond(exchange)
        return Stage.DONE
