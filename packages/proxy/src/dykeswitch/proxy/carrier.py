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
import dykeswitch.timeline as timeline

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
        bounds: settings.Settings,
        machine: ports.Machine,
        line: timeline.Timeline,
        marks: timeline.Marks,
        log: logs.Log,
        rng: random.Random,
        senses: senses_port.Senses,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        adapter = adapter or adapters.Own()
        self._rng = rng
        self._bounds = bounds
        self._clock = machine.clock
        self._marks = marks
        self._log = log
        self._senses = senses
        self.selector = selection.Selector(line, marks, bounds, rng)
        self.table: dict[str, exchanges.Exchange] = {}
        self._trails = trails.Trails(self.table)
        self._counters = counters.Counters()
        self._delivery = deliveries.Delivery(bounds, machine, line, self.selector, senses, adapter)
        self._marker = marking.Marker(bounds, self._clock, marks, self.selector, self._counters, log)
        self._ends = endings.Endings(bounds, self._clock, self.selector)
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

    async def refuse(self, x: exchanges.Exchange, bad: outcome.Bad) -> None:
        """Answer an exchange that is not carried at all."""
        await self._answering.refuse(x, bad)

    # The life of an exchange.

    async def carry(self, x: exchanges.Exchange) -> None:
        """Run the passes over one exchange until it is done; `CallerLeftError` where nobody waits for it."""
        self.count("exchanges")
        try:
            while x.stage is not Stage.DONE:
                x.stage = await self._passes[x.stage](x)
                if x.left_at is not None and x.stage in FOR_THE_CALLER:
                    await self._answering.finish_for_nobody(x)
                    raise presence.CallerLeftError
        finally:
            if x.connection is not None:
                self._delivery.put_away(x, sound=False)
            self._trails.remember(x, self._clock.now())
            self._say(x)

    def _say(self, x: exchanges.Exchange) -> None:
        """One line in the log for an exchange that is over."""
        self._log.info(
            "exchange",
            exchange=x.name,
            method=x.method,
            host=x.host,
            path=x.path,
            rule=x.rule.name if x.rule else None,
            service=x.service or None,
            endpoint=x.endpoint.key if x.endpoint else None,
            goes=x.goes,
            misses=x.misses,
            status=x.status,
            result=x.bad.code.number if x.bad else 0,
            span_ms=round((self._clock.now() - x.born) * 1000, 1),
            left_ms=round((x.left_at - x.born) * 1000, 1) if x.left_at is not None else None,
        )

    def _step(self, x: exchanges.Exchange, what: str, why: str = "") -> None:
        x.note(self._clock.now(), what, why)

    def caller_left(self, x: exchanges.Exchange) -> None:
        """Note that an exchange's caller has left, and how far the exchange had come."""
        x.left_at = self._clock.now()
        x.bad = outcome.bad("caller_left")
        x.status = x.bad.code.status
        where = "amid_answer" if x.replied else "at_work" if x.under_way() else "before_sending"
        self.count(f"callers_left_{where}")
        if x.under_way() and self.may_end(x):
            self.count("attempts_broken_off")
        self._step(x, "its caller left", where.replace("_", " "))

    @staticmethod
    def may_end(x: exchanges.Exchange) -> bool:
        """Whether an exchange may be broken off: not an order that has been sent, it may be running."""
        return not (x.writing and x.under_way())

    async def cut_short(self, x: exchanges.Exchange) -> None:
        """The grace of an orderly stop is over: a final answer before the connection closes."""
        self.count("cut_short")
        self._step(x, "cut short", "this proxy is stopping")
        if x.replied:
            raise answering.BrokenReplyError("stopped before the reply's end")
        x.answer = None
        if x.sent or x.unknown:
            self._ends.end(x, "timed_out", "this proxy stopped")
        else:
            x.retry_after = 1
            self._ends.end(x, "stopping")
        await self._answering.answer(x)

    def _deaf(self) -> bool:
        """Whether an endpoint may have left, or a rule moved, too long ago for us to know of it."""
        return self._senses.silent() > self._bounds.drain_s

    def _parting(self) -> bool:
        """Whether callers are to go elsewhere with their next request."""
        return self.closing or self._senses.silent() > self._bounds.alone_s

    # The passes.

    async def _match(self, x: exchanges.Exchange) -> Stage:
        # Its expiry by the rule in hand bounds the wait to be sure of that very rule.
        if self.layout is not None:
            matching.find_rule(x, self.layout, self._bounds, self._rng)
        # After a freeze the layout and list in hand may be long out of date.
        sure = await self._senses.sure(x.expiry)
        found = (
            matching.find_rule(x, self.layout, self._bounds, self._rng)
            if x.layout is None or x.layout is not self.layout
            else None
        )
        if not sure and found != "no_layout":
            return self._ends.give_up(x, "cut_off" if self._clock.now() < x.expiry else "expired")
        if found is not None:
            return self._ends.end(x, found)
        self._delivery.budget(x.service).request()
        return Stage.SELECT

    async def _select(self, x: exchanges.Exchange) -> Stage:
        sure = await self._senses.sure(x.expiry)
        # A layout may have come since: the rule of this moment decides.
        found = matching.find_rule(x, self.layout, self._bounds, self._rng)
        if found is not None:
            return self._no_rule_left(x, found)
        if self._is_spent(x):
            return self._ends.give_up(x, "not_run")
        if self._clock.now() >= x.expiry:
            return self._ends.give_up(x, "expired")
        # The platform has asked since we were cut off: who comes all the same is told
        # at once, for the last list in hand may be out of date by now.
        if not sure or self._deaf():
            return self._ends.give_up(x, "cut_off")
        entry = self.selector.select(x.service, x.tried, x.rule.aim_s if x.rule else None)
        if entry is None:
            return self._ends.give_up(x, "no_endpoint")
        x.endpoint = entry
        x.tried.add(entry.key)
        mark = self._marks.down(entry.key)
        why = f"all are marked; its mark ends first ({mark.fields['reason']})" if mark else "open"
        self._step(x, f"selected {entry.key}", why)
        return await self._connect(x, entry)

    def _no_rule_left(self, x: exchanges.Exchange, tag: str) -> Stage:
        """The layout sends the exchange nowhere any more: what the attempts before came to is its end."""
        if x.goes:
            self.count("rules_gone_between_attempts")
            self._step(x, "no further go", f"the layout has changed: {tag}")
        if x.unknown or x.answer is not None:
            return self._ends.give_up(x, tag)
        return self._ends.end(x, tag)

    async def _connect(self, x: exchanges.Exchange, entry: timeline.Entry) -> Stage:
        """Take a connection to the selected endpoint, and pay for the attempt if it is an extra one."""
        try:
            await self._delivery.connect(x, entry)
        except connections.Flaw as flaw:
            # Nothing was sent: this is no attempt, and another endpoint may be selected.
            x.misses += 1
            self._step(x, f"no connection to {entry.key}", flaw.reason)
            if flaw.reason != "expired":
                self._marker.failed(entry.key, soundness.flaw_fault(flaw.reason))
            return self._ends.give_up(x, "no_endpoint") if x.misses >= MISSES_MOST else Stage.SELECT
        # Extra attempts are paid for from the shared budget, right before they are made.
        if x.goes and not self._delivery.budget(x.service).take(self._clock.now()):
            self.count("over_budget")
            self._step(x, "no further go", "the shared budget of extra go's is spent")
            self._delivery.put_away(x, sound=True)
            return self._ends.give_up(x, "not_run")
        return Stage.DELIVER

    async def _deliver(self, x: exchanges.Exchange) -> Stage:
        await self._delivery.deliver(x)
        return Stage.JUDGE

    async def _judge(self, x: exchanges.Exchange) -> Stage:
        return self._judgement.judge(x)

    async def _retry(self, x: exchanges.Exchange) -> Stage:
        return self._ends.give_up(x, "not_run") if self._is_spent(x) else Stage.SELECT

    def _is_spent(self, x: exchanges.Exchange) -> bool:
        """Whether the rule in hand lets no attempt follow those that were made."""
        # Only what surely did not run may be repeated when it writes.
        if x.writing and x.may_have_run():
            self._step(x, "not repeated", "it writes, and may have run")
            return True
        return x.goes >= x.max_tries

    async def _reply(self, x: exchanges.Exchange) -> Stage:
        await self._answering.answer(x)
        return Stage.DONE
