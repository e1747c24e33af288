"""The carrier: the passes that bring an exchange from request to reply."""

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
import dykeswitch.proxy.senses as senses_port
import dykeswitch.proxy.trails as trails
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

# Connections that failed before anything was sent cost the endpoint nothing; still one
# exchange does not try the whole fleet.
MISSES_MOST: typing.Final = 6

Stage = exchanges.Stage
# Passes that nobody is served by any more once the caller has left.
FOR_THE_CALLER: typing.Final = frozenset({Stage.SELECT, Stage.RETRY, Stage.REPLY})


class Carrier:
    """Holds the table of exchanges and runs the passes over it."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        log: logs.Log,
        rng: random.Random,
        senses: senses_port.Senses,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        adapter = adapter or adapters.DefaultAdapter()
        self._rng = rng
        self._config = config
        self._clock = machine.clock
        self._marks = marks
        self._log = log
        self._senses = senses
        self.selector = selection.Selector(timeline, marks, config, rng)
        self.table: dict[str, exchanges.Exchange] = {}
        self._trails = trails.Trails(self.table)
        self._counters = counters.Counters()
        self._delivery = deliveries.Delivery(config, machine, timeline, self.selector, senses, adapter)
        self._marker = marking.Marker(config, self._clock, marks, self.selector, self._counters, log)
        self._ends = endings.Endings(config, self._clock, self.selector)
        self._judgement = judgements.Judgement(
            adapter, self.selector, self._delivery, self._marker, self._ends, self._step
        )
        self._answering = answering.Answering(
            self._clock, adapter, self._delivery, self._marker, self._ends, self._counters, self._parting
        )
        self._passes: dict[Stage, typing.Callable[[exchanges.Exchange], typing.Awaitable[Stage]]] = {
            Stage.MATCH: self._match,
            Stage.SELECT: self._select,
            Stage.DELIVER: self._deliver,
            Stage.JUDGE: self._judge,
            Stage.RETRY: self._retry,
            Stage.REPLY: self._reply,
        }

    # What the program sets and asks.

    @property
    def layout(self) -> layouts.Layout | None:
        """The layout by which exchanges go."""
        return self._delivery.layout

    @layout.setter
    def layout(self, layout: layouts.Layout | None) -> None:
        self._delivery.layout = layout

    @property
    def closing(self) -> bool:
        """Whether this proxy stops."""
        return self._delivery.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._delivery.closing = closing

    @property
    def counts(self) -> dict[str, int]:
        """What was counted, by name."""
        return self._counters.values

    @property
    def budgets(self) -> dict[str, budgets.Budget]:
        """The budgets of extra attempts, by service."""
        return self._delivery.budgets

    def count(self, name: str) -> None:
        """Count one more of something."""
        self._counters.add(name)

    def most(self, name: str, value: int) -> None:
        """Keep the most that was seen of something."""
        self._counters.most(name, value)

    def trail(self, name: str) -> list[exchanges.Step] | None:
        """What was done for an exchange that is over or at work."""
        return self._trails.get(name)

    def idle(self) -> int:
        """How many usable connections lie idle."""
        return self._delivery.idle()

    def close(self) -> None:
        """Close every idle connection."""
        self._delivery.close()

    async def refuse(self, exchange: exchanges.Exchange, failure: outcome.Failure) -> None:
        """Answer an exchange that is not carried at all."""
        await self._answering.refuse(exchange, failure)

    # The life of an exchange.

    async def carry(self, exchange: exchanges.Exchange) -> None:
        """Run the passes over one exchange until it is done; `CallerLeftError` where nobody waits for it."""
        self.count("exchanges")
        try:
            while exchange.stage is not Stage.DONE:
                exchange.stage = await self._passes[exchange.stage](exchange)
                if exchange.left_at is not None and exchange.stage in FOR_THE_CALLER:
                    await self._answering.finish_for_nobody(exchange)
                    raise presence.CallerLeftError
        finally:
            if exchange.connection is not None:
                self._delivery.put_away(exchange, sound=False)
            self._trails.remember(exchange, self._clock.now())
            self._say(exchange)

    def _say(self, exchange: exchanges.Exchange) -> None:
        """One line in the log for an exchange that is over."""
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
            left_ms=round((exchange.left_at - exchange.started_at) * 1000, 1)
            if exchange.left_at is not None
            else None,
        )

    def _step(self, exchange: exchanges.Exchange, what: str, why: str = "") -> None:
        exchange.note(self._clock.now(), what, why)

    def caller_left(self, exchange: exchanges.Exchange) -> None:
        """Note that an exchange's caller has left, and how far the exchange had come."""
        exchange.left_at = self._clock.now()
        exchange.failure = outcome.failure("caller_left")
        exchange.status = exchange.failure.code.status
        where = "amid_answer" if exchange.replied else "at_work" if exchange.under_way() else "before_sending"
        self.count(f"callers_left_{where}")
        if exchange.under_way() and self.may_end(exchange):
            self.count("attempts_broken_off")
        self._step(exchange, "its caller left", where.replace("_", " "))

    @staticmethod
    def may_end(exchange: exchanges.Exchange) -> bool:
        """Whether an exchange may be broken off: not an order that has been sent, it may be running."""
        return not (exchange.writing and exchange.under_way())

    async def cut_short(self, exchange: exchanges.Exchange) -> None:
        """The grace of an orderly stop is over: a final answer before the connection closes."""
        self.count("cut_short")
        self._step(exchange, "cut short", "this proxy is stopping")
        if exchange.replied:
            raise answering.BrokenReplyError("stopped before the reply's end")
        exchange.answer = None
        if exchange.sent or exchange.unknown:
            self._ends.end(exchange, "timed_out", "this proxy stopped")
        else:
            exchange.retry_after = 1
            self._ends.end(exchange, "stopping")
        await self._answering.answer(exchange)

    def _deaf(self) -> bool:
        """Whether an endpoint may have left, or a rule moved, too long ago for us to know of it."""
        return self._senses.silence_s() > self._config.drain_s

    def _parting(self) -> bool:
        """Whether callers are to go elsewhere with their next request."""
        return self.closing or self._senses.silence_s() > self._config.isolated_after_s

    # The passes.

    async def _match(self, exchange: exchanges.Exchange) -> Stage:
        # Its expiry by the rule in hand bounds the wait to be sure of that very rule.
        if self.layout is not None:
            matching.find_rule(exchange, self.layout, self._config, self._rng)
        # After a freeze the layout and list in hand may be long out of date.
        is_fresh = await self._senses.confirm_fresh(exchange.expiry)
        found = (
            matching.find_rule(exchange, self.layout, self._config, self._rng)
            if exchange.layout is None or exchange.layout is not self.layout
            else None
        )
        if not is_fresh and found != "no_layout":
            return self._ends.give_up(
                exchange, "cut_off" if self._clock.now() < exchange.expiry else "expired"
            )
        if found is not None:
            return self._ends.end(exchange, found)
        self._delivery.budget(exchange.service).record_request()
        return Stage.SELECT

    async def _select(self, exchange: exchanges.Exchange) -> Stage:
        is_fresh = await self._senses.confirm_fresh(exchange.expiry)
        # A layout may have come since: the rule of this moment decides.
        found = matching.find_rule(exchange, self.layout, self._config, self._rng)
        if found is not None:
            return self._no_rule_left(exchange, found)
        if self._is_spent(exchange):
            return self._ends.give_up(exchange, "not_run")
        if self._clock.now() >= exchange.expiry:
            return self._ends.give_up(exchange, "expired")
        # The platform has asked since we were cut off: who comes all the same is told
        # at once, for the last list in hand may be out of date by now.
        if not is_fresh or self._deaf():
            return self._ends.give_up(exchange, "cut_off")
        entry = self.selector.select(
            exchange.service, exchange.tried_endpoints, exchange.rule.aim_s if exchange.rule else None
        )
        if entry is None:
            return self._ends.give_up(exchange, "no_endpoint")
        exchange.endpoint = entry
        exchange.tried_endpoints.add(entry.key)
        mark = self._marks.mark_of(entry.key)
        why = f"all are marked; its mark ends first ({mark.fields['reason']})" if mark else "open"
        self._step(exchange, f"selected {entry.key}", why)
        return await self._connect(exchange, entry)

    def _no_rule_left(self, exchange: exchanges.Exchange, tag: str) -> Stage:
        """The layout sends the exchange nowhere any more: what the attempts before came to is its end."""
        if exchange.attempts:
            self.count("rules_gone_between_attempts")
            self._step(exchange, "no further go", f"the layout has changed: {tag}")
        if exchange.unknown or exchange.answer is not None:
            return self._ends.give_up(exchange, tag)
        return self._ends.end(exchange, tag)

    async def _connect(self, exchange: exchanges.Exchange, entry: timelines.Entry) -> Stage:
        """Take a connection to the selected endpoint, and pay for the attempt if it is an extra one."""
        try:
            await self._delivery.connect(exchange, entry)
        except connections.EndpointConnectionError as flaw:
            # Nothing was sent: this is no attempt, and another endpoint may be selected.
            exchange.connect_failures += 1
            self._step(exchange, f"no connection to {entry.key}", flaw.reason)
            if flaw.reason != "expired":
                self._marker.failed(entry.key, soundness.no_response_fault(flaw.reason))
            return (
                self._ends.give_up(exchange, "no_endpoint")
                if exchange.connect_failures >= MISSES_MOST
                else Stage.SELECT
            )
        # Extra attempts are paid for from the shared budget, right before they are made.
        if exchange.attempts and not self._delivery.budget(exchange.service).take(self._clock.now()):
            self.count("over_budget")
            self._step(exchange, "no further go", "the shared budget of extra go's is spent")
            self._delivery.put_away(exchange, sound=True)
            return self._ends.give_up(exchange, "not_run")
        return Stage.DELIVER

    async def _deliver(self, exchange: exchanges.Exchange) -> Stage:
        await self._delivery.deliver(exchange)
        return Stage.JUDGE

    async def _judge(self, exchange: exchanges.Exchange) -> Stage:
        return self._judgement.judge(exchange)

    async def _retry(self, exchange: exchanges.Exchange) -> Stage:
        return self._ends.give_up(exchange, "not_run") if self._is_spent(exchange) else Stage.SELECT

    def _is_spent(self, exchange: exchanges.Exchange) -> bool:
        """Whether the rule in hand lets no attempt follow those that were made."""
        # Only what surely did not run may be repeated when it writes.
        if exchange.writing and exchange.may_have_run():
            self._step(exchange, "not repeated", "it writes, and may have run")
            return True
        return exchange.attempts >= exchange.max_tries

    async def _reply(self, exchange: exchanges.Exchange) -> Stage:
        await self._answering.answer(exchange)
        return Stage.DONE
