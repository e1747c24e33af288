"""The carrier: the passes that bring an exchange from request to reply."""

import asyncio
import json
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.budget as budgets
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.headers as headers
import dykeswitch.proxy.matching as matching
import dykeswitch.proxy.patience as patience
import dykeswitch.proxy.pool as pools
import dykeswitch.proxy.presence as presence
import dykeswitch.proxy.selection as selection
import dykeswitch.proxy.senses as senses_port
import dykeswitch.proxy.trails as trails
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline

# Pipes that failed before anything was sent cost the endpoint nothing; still one
# exchange does not try the whole fleet.
MISSES_MOST: typing.Final = 6

Stage = exchanges.Stage
# Passes that nobody is served by any more once the caller has left.
FOR_THE_CALLER: typing.Final = frozenset({Stage.SELECT, Stage.RETRY, Stage.REPLY})


class BrokenReply(Exception):
    """A reply that can't be finished: the caller's pipe must break."""


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
        self._adapter: adapters.Adapter = adapter or adapters.Own()
        self._heads = self._adapter.heads
        self._rng = rng
        self._bounds = bounds
        self._clock = machine.clock
        self._marks = marks
        self._log = log
        self._senses = senses
        self.layout: layouts.Layout | None = None
        self.selector = selection.Selector(line, marks, bounds, rng)
        self.table: dict[str, exchanges.Exchange] = {}
        self._trails = trails.Trails(self.table)
        self._pool = pools.ConnectionPool(bounds, machine, line, self._heads)
        self._budgets: dict[str, budgets.Budget] = {}
        self._strikes = soundness.Strikes(bounds.mark_s)
        self.closing = False
        self.counts: dict[str, int] = {}
        self._passes: dict[Stage, typing.Callable[[exchanges.Exchange], typing.Awaitable[Stage]]] = {
            Stage.MATCH: self._match,
            Stage.SELECT: self._select,
            Stage.DELIVER: self._deliver,
            Stage.JUDGE: self._judge,
            Stage.RETRY: self._retry,
            Stage.REPLY: self._reply,
        }

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def most(self, name: str, value: int) -> None:
        """Keep the most that was seen of something."""
        self.counts[name] = max(self.counts.get(name, 0), value)

    async def carry(self, x: exchanges.Exchange) -> None:
        """Run the passes over one exchange until it is done; `CallerLeft` where nobody waits for it."""
        self.count("exchanges")
        try:
            while x.stage is not Stage.DONE:
                x.stage = await self._passes[x.stage](x)
                if x.left_at is not None and x.stage in FOR_THE_CALLER:
                    await self._finish_for_nobody(x)
                    raise presence.CallerLeft
        finally:
            if x.connection is not None:
                self._put_away(x, sound=False)
            self._trails.remember(x, self._clock.now())
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

    def caller_left(self, x: exchanges.Exchange) -> None:
        """Note that an exchange's caller has left, and how far the exchange had come."""
        x.left_at = self._clock.now()
        x.bad = outcome.bad("caller_left")
        x.status = x.bad.code.status
        where = "amid_answer" if x.replied else "at_work" if x.under_way() else "before_sending"
        self.count(f"callers_left_{where}")
        self._step(x, "its caller left", where.replace("_", " "))

    @staticmethod
    def may_end(x: exchanges.Exchange) -> bool:
        """Whether an exchange may be broken off: not an order that has been sent, it may be running."""
        return not (x.writing and x.under_way())

    async def _finish_for_nobody(self, x: exchanges.Exchange) -> None:
        """Take in what is left of an order's answer, so that its connection can be used again."""
        if x.connection is None or x.head is None or x.flaw:
            return
        try:
            async with asyncio.timeout(max(0.0, x.expiry - self._clock.now())):
                while x.rest is not None and await anext(x.rest, None) is not None:
                    pass
        except (TimeoutError, connections.Flaw):
            return
        self._put_away(x, sound=True)

    def trail(self, name: str) -> list[exchanges.Step] | None:
        """What was done for an exchange that is over or at work."""
        return self._trails.get(name)

    def _step(self, x: exchanges.Exchange, what: str, why: str = "") -> None:
        x.note(self._clock.now(), what, why)

    async def cut_short(self, x: exchanges.Exchange) -> None:
        """The grace of an orderly stop is over: a final answer before the pipe closes."""
        self.count("cut_short")
        self._step(x, "cut short", "this proxy is stopping")
        if x.replied:
            raise BrokenReply("stopped before the reply's end")
        x.head = None
        if x.sent or x.unknown:
            self._end(x, "timed_out", "this proxy stopped")
        else:
            x.retry_after = 1
            self._end(x, "stopping")
        await self._reply(x)

    def _deaf(self) -> bool:
        """Whether an endpoint may have left, or a rule moved, too long ago for us to know of it."""
        return self._senses.silent() > self._bounds.drain_s

    def _parting(self) -> bool:
        """Whether callers are to go elsewhere with their next request."""
        return self.closing or self._senses.silent() > self._bounds.alone_s

    def _end(self, x: exchanges.Exchange, tag: str, why: str = "") -> Stage:
        x.bad = outcome.bad(tag, why)
        return Stage.REPLY

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
            return self._give_up(x, "cut_off" if self._clock.now() < x.expiry else "expired")
        if found is not None:
            return self._end(x, found)
        self._budget(x.service).request()
        return Stage.SELECT

    def _budget(self, service: str) -> budgets.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.Budget(self._bounds, self._senses.sharing)
        return budget

    async def _select(self, x: exchanges.Exchange) -> Stage:
        sure = await self._senses.sure(x.expiry)
        # A layout may have come since: the rule of this moment decides.
        found = matching.find_rule(x, self.layout, self._bounds, self._rng)
        if found is not None:
            return self._end(x, found) if not x.unknown else Stage.REPLY
        now = self._clock.now()
        if now >= x.expiry:
            return self._give_up(x, "expired")
        # The platform has asked since we were cut off: who comes all the same is told
        # at once, for the last list in hand may be out of date by now.
        if not sure or self._deaf():
            return self._give_up(x, "cut_off")
        entry = self.selector.select(x.service, x.tried, x.rule.aim_s if x.rule else None)
        if entry is None:
            return self._give_up(x, "no_endpoint")
        x.endpoint = entry
        x.tried.add(entry.key)
        mark = self._marks.down(entry.key)
        why = f"all are marked; its mark ends first ({mark.fields['reason']})" if mark else "open"
        self._step(x, f"selected {entry.key}", why)
        x.ahead = self.selector.ahead(entry)
        self.selector.begun(entry.key)
        try:
            x.take(await self._connect(x, entry))
        except connections.Flaw as flaw:
            # Nothing was sent: this is no go, and another endpoint may be selected.
            self.selector.ended(entry.key)
            x.misses += 1
            self._step(x, f"no pipe to {entry.key}", flaw.reason)
            if flaw.reason != "expired":
                self._mark(entry.key, soundness.flaw_fault(flaw.reason))
            if x.misses >= MISSES_MOST:
                return self._give_up(x, "no_endpoint")
            return Stage.SELECT
        except BaseException:
            self.selector.ended(entry.key)
            raise
        # Extra go's are paid for from the shared budget, right before they are made.
        if x.goes and not self._budget(x.service).take(self._clock.now()):
            self.count("over_budget")
            self._step(x, "no further go", "the shared budget of extra go's is spent")
            self._put_away(x, sound=True)
            return self._give_up(x, "not_run")
        return Stage.DELIVER

    async def _connect(self, x: exchanges.Exchange, entry: timeline.Entry) -> connections.EndpointConnection:
        assert self.layout is not None
        probe = self.layout.services[x.service].probe
        return await self._pool.connect(entry, x.service, probe, x.expiry)

    def _put_away(self, x: exchanges.Exchange, sound: bool) -> None:
        """Give a connection back for the next exchange, or close it."""
        connection, x.connection = x.connection, None
        if connection is not None:
            self.selector.ended(connection.endpoint)
            self._pool.put_back(connection, sound and not self.closing)

    def _patience(self, x: exchanges.Exchange) -> patience.Patience:
        """How long this attempt may take."""
        left = x.expiry - self._clock.now()
        limit = min(x.request_s, left)
        if x.writing:
            return patience.Patience(limit, limit, lambda: False)
        # An attempt that hangs must leave time for the tries that remain.
        first = min(limit, left / max(1, x.max_tries - x.goes))
        return patience.Patience(first, limit, lambda: self._may_try_another(x))

    def _may_try_another(self, x: exchanges.Exchange) -> bool:
        """Whether another attempt could be made now in place of the one under way.

        Where none could, to break it off would only end the exchange sooner: its endpoint may
        still be at work. A proxy that stops breaks nothing off.
        """
        return (
            not self.closing
            and x.goes + 1 < x.max_tries
            and self._budget(x.service).affords(self._clock.now())
            and self.selector.has_another(x.service, x.tried)
        )

    async def _deliver(self, x: exchanges.Exchange) -> Stage:
        assert x.connection is not None and x.endpoint is not None
        entry, connection = x.endpoint, x.connection
        x.head, x.buffer, x.rest, x.flaw, x.sent = None, b"", None, "", False
        begun = self._clock.now()

        def gate() -> bool:
            # The last look before the first byte: frozen, expired, or gone since?
            return (
                not self._senses.gapped()
                and self._clock.now() - begun < self._bounds.gap_s
                and self._clock.now() < x.expiry
                and not self._deaf()
                and self.selector.usable(entry)
                and matching.is_still_ruled(x, self.layout)
            )

        try:
            async with self._patience(x):
                x.head = await connection.send(
                    x.method,
                    x.target,
                    headers.request_heads(x, self._adapter, self._heads, self._clock.now()),
                    x.body,
                    gate,
                )
                await self._gather(x)
        except TimeoutError:
            x.flaw = soundness.TIMED_OUT
            waited = self._clock.now() - begun
            # A caller in a hurry says nothing about the endpoint.
            if waited < min(self._bounds.probe_wait_s, x.request_s):
                x.flaw = "expired"
        except connections.Flaw as flaw:
            x.flaw = flaw.reason
        finally:
            # Also when we are cut short: whether it may have run must be known.
            x.took = self._clock.now() - begun
            x.sent = x.under_way()
            if x.sent:
                x.goes += 1
        return Stage.JUDGE

    async def _gather(self, x: exchanges.Exchange) -> None:
        """Hold the reply's body up to the bound, so that a cut one is never passed on."""
        assert x.head is not None and x.connection is not None
        if not headers.is_framed(x):
            raise connections.Flaw(soundness.UNFRAMED, True)
        rest = x.connection.parts()
        held = bytearray()
        async for part in rest:
            held += part
            if len(held) > self._bounds.reply_buffer:
                x.rest = rest
                break
        x.buffer = bytes(held)

    async def _judge(self, x: exchanges.Exchange) -> Stage:
        """What the go's end says of the endpoint and of the exchange."""
        assert x.endpoint is not None and x.connection is not None
        name = x.endpoint.key
        if x.flaw:
            return self._judge_failure(x, x.endpoint.key, x.connection)
        assert x.head is not None
        served = x.head.get(self._heads.served_by)
        promised = self._adapter.promised(x.head.status, x.head.heads)
        other = served is not None and served.decode("latin-1") != name
        bare = x.head.status < 300 and self._heads.seal and x.head.get(self._heads.seal) is None
        if (other and not promised) or bare:
            # Someone else's reply, or an address that changed hands under our pipe.
            x.flaw = soundness.WRONG_ID_REPLY if other else soundness.GARBAGE
            x.unknown = x.flaw
            x.head, x.buffer, x.rest = None, b"", None
            self._put_away(x, sound=False)
            self._mark(name, soundness.Fault(x.flaw))
            return Stage.RETRY
        load = adapters.load(x.head.get(self._heads.load))
        if not promised:
            self.selector.learn(x.endpoint, x.took, x.ahead, load)
        elif x.head.status != soundness.MISDIRECTED:
            self.selector.full(name)
        fault = soundness.status_fault(x.head.status, promised)
        if promised and x.head.status == soundness.MISDIRECTED:
            fault = soundness.Fault(soundness.WRONG_ID_REPLY)
        if fault is None and not promised:
            self._strikes.sound(name, self._clock.now())
            return Stage.REPLY
        self._step(x, f"{name} answered {x.head.status}", "promised not to have run" if promised else "")
        if fault is not None:
            self._mark(name, fault, promised)
        if promised or not x.writing:
            if x.rest is not None:
                self._put_away(x, sound=False)
                x.rest = None
            else:
                self._put_away(x, sound=True)
            if promised:
                x.flaw = "promised not to have run"
            return Stage.RETRY
        if x.head.status == soundness.UNAVAILABLE:
            # Callers take it for a promise that nothing ran, which this endpoint did not make.
            return self._withhold(x)
        # A writing request's reply without a promise is the endpoint's last word.
        return Stage.REPLY

    def _judge_failure(
        self, x: exchanges.Exchange, name: str, connection: connections.EndpointConnection
    ) -> Stage:
        """What an attempt that ended without a reply says of the endpoint and of the exchange."""
        if x.flaw == soundness.BROKE_OFF and x.head is None and connection.rested_s:
            self._pool.rests.reset(x.service, connection.rested_s, self._clock.now())
        self._put_away(x, sound=False)
        self._step(x, f"go to {name} failed, {'sent' if x.sent else 'nothing sent'}", x.flaw)
        if x.flaw not in ("expired", "no longer to be used"):
            self._mark(name, soundness.flaw_fault(x.flaw))
        if x.sent:
            x.unknown = x.flaw
        return Stage.RETRY

    def _withhold(self, x: exchanges.Exchange) -> Stage:
        """Say that the outcome is unknown in place of an endpoint's own words."""
        assert x.head is not None
        x.unknown = f"answered {x.head.status} without a promise"
        self._put_away(x, sound=x.rest is None)
        x.head, x.buffer, x.rest = None, b"", None
        return self._give_up(x, "outcome_unknown")

    def _mark(self, endpoint: str, fault: soundness.Fault, promised: bool = False) -> None:
        """Note a failure: the endpoint is avoided, and marked once it fails too often."""
        # One that refused by its word is full, which selection knows already.
        if not promised:
            self.selector.failed(endpoint)
        if self._strikes.strike(endpoint, fault, self._clock.now()):
            self.count("marks")
            self._marks.set(endpoint, fault.reason, self._bounds.name)
            self._log.warning("mark", endpoint=endpoint, reason=fault.reason)

    async def _retry(self, x: exchanges.Exchange) -> Stage:
        # Only what surely did not run may be repeated when it writes.
        if x.writing and x.unknown:
            self._step(x, "not repeated", "it writes, and may have run")
            return self._give_up(x, "not_run")
        if x.goes >= x.max_tries:
            return self._give_up(x, "not_run")
        return Stage.SELECT

    def _give_up(self, x: exchanges.Exchange, tag: str) -> Stage:
        """The final answer, at once: what became of it, and when to come back if it may."""
        if x.head is not None and not x.flaw:
            # A reading request whose last reply was whole: that reply is the answer.
            return Stage.REPLY
        x.head = None
        if x.unknown:
            timed = x.unknown in (soundness.TIMED_OUT, "expired")
            bad = {soundness.GARBAGE: "bad_reply", soundness.UNFRAMED: "bad_reply"}
            bad[soundness.WRONG_ID_REPLY] = "wrong_owner"
            return self._end(x, "timed_out" if timed else bad.get(x.unknown, "outcome_unknown"), x.unknown)
        x.retry_after = self._come_back(x)
        return self._end(x, tag, x.flaw)

    def _come_back(self, x: exchanges.Exchange) -> float:
        """In how many seconds the first of the service's marks runs out."""
        wait = self.selector.open_in(x.service, self._clock.now())
        return max(self._bounds.back_s, min(wait, self._bounds.mark_s))

    async def _reply(self, x: exchanges.Exchange) -> Stage:
        if x.bad is not None or x.head is None:
            bad = x.bad or outcome.bad("outcome_unknown", x.unknown)
            x.bad = bad
            await self.refuse(x, bad)
            return Stage.DONE
        x.status = x.head.status
        heads = headers.reply_heads(x, self._adapter, self._heads, lambda: self._come_back(x))
        if self._parting():
            heads.append((b"connection", b"close"))
        if x.rest is None:
            self._put_away(x, sound=True)
        x.replied = True
        await x.send({"type": "http.response.start", "status": x.status, "headers": heads})
        if x.rest is None:
            await x.send({"type": "http.response.body", "body": x.buffer})
            self.count("replied")
            return Stage.DONE
        await self._stream(x)
        return Stage.DONE

    async def _stream(self, x: exchanges.Exchange) -> None:
        assert x.rest is not None and x.endpoint is not None
        await x.send({"type": "http.response.body", "body": x.buffer, "more_body": True})
        x.buffer = b""
        try:
            async with asyncio.timeout(max(0.0, x.expiry - self._clock.now())):
                async for part in x.rest:
                    await x.send({"type": "http.response.body", "body": part, "more_body": True})
        except (TimeoutError, connections.Flaw) as flaw:
            self._put_away(x, sound=False)
            self._mark(x.endpoint.key, soundness.Fault(soundness.BROKE_OFF))
            self.count("broken")
            # Past the bound the only honest sign of a cut reply is a broken pipe.
            raise BrokenReply(str(flaw)) from flaw
        self._put_away(x, sound=True)
        await x.send({"type": "http.response.body", "body": b""})
        self.count("replied")

    async def refuse(self, x: exchanges.Exchange, bad: outcome.Bad) -> None:
        """An answer of our own."""
        x.status = bad.code.status
        self.count(f"result_{bad.code.number}")
        page = {**bad.page(), "exchange": x.name}
        body = json.dumps(page).encode()
        heads = headers.refusal_heads(x, bad, len(body), self._adapter, self._heads)
        if self._parting():
            heads.append((b"connection", b"close"))
        x.replied = True
        await x.send({"type": "http.response.start", "status": bad.code.status, "headers": heads})
        await x.send({"type": "http.response.body", "body": b"" if x.method == "HEAD" else body})

    def idle(self) -> int:
        """How many usable connections lie idle."""
        return self._pool.idle()

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()
