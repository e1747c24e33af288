"""The carrier: the passes that bring an exchange from request to reply."""

import asyncio
import collections
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
import dykeswitch.proxy.resting as resting
import dykeswitch.proxy.selection as selection
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline

# Fields of one hop, which the HTTP standard forbids to pass on.
HOP: typing.Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Pipes that failed before anything was sent cost the endpoint nothing; still one
# exchange does not try the whole fleet.
MISSES_MOST: typing.Final = 6
IDLE_MOST: typing.Final = 16
# How many exchanges that are over can still be explained.
OVER_MOST: typing.Final = 2048

Stage = exchanges.Stage


class Senses(typing.Protocol):
    """What the carrier asks of the proxy that it is part of."""

    async def sure(self, by: float) -> bool:
        """Whether what we hold is of today, found out first, by then, where that is in doubt."""
        ...

    def gapped(self) -> bool:
        """Whether our own clock shows that we were frozen."""
        ...

    def silent(self) -> float:
        """For how long no other node was heard."""
        ...

    def sharing(self) -> float | None:
        """Since when we have a part of the fleet's extra go's, if we have one."""
        ...


class BrokenReply(Exception):
    """A reply that can't be finished: the caller's pipe must break."""


def kept_heads(heads: connections.Heads) -> connections.Heads:
    """Header fields that go on to the next hop."""
    named = {
        part.strip().lower()
        for key, text in heads
        if key.lower() == b"connection"
        for part in text.split(b",")
    }
    return [(k, v) for k, v in heads if k.lower() not in HOP and k.lower() not in named]


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
        senses: Senses,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        self._adapter: adapters.Adapter = adapter or adapters.Own()
        self._heads = self._adapter.heads
        self._rng = rng
        self._bounds = bounds
        self._net = machine.net
        self._clock = machine.clock
        self._line = line
        self._marks = marks
        self._log = log
        self._senses = senses
        self.layout: layouts.Layout | None = None
        self.selector = selection.Selector(line, marks, bounds, rng)
        self.table: dict[str, exchanges.Exchange] = {}
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        self._budgets: dict[str, budgets.Budget] = {}
        self._rests = resting.RestLimits(bounds.mark_s)
        self._strikes = soundness.Strikes(bounds.mark_s)
        self.closing = False
        self.counts: dict[str, int] = {}
        self._over: collections.OrderedDict[str, tuple[exchanges.Step, list[exchanges.Step]]] = (
            collections.OrderedDict()
        )
        line.on_change(self._on_entry)
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

    def _on_entry(self, entry: timeline.Entry) -> None:
        """Pipes to an endpoint that is leaving, gone or moved are closed at once."""
        if entry.kind != timeline.ENDPOINT:
            return
        for connection in self._idle.get(entry.key, []):
            if entry.fields["state"] != timeline.UP or connection.address != entry.fields["address"]:
                connection.close()
        if entry.fields["state"] != timeline.UP:
            self._idle.pop(entry.key, None)

    async def carry(self, x: exchanges.Exchange) -> None:
        """Run the passes over one exchange until it is done."""
        self.count("exchanges")
        try:
            while x.stage is not Stage.DONE:
                x.stage = await self._passes[x.stage](x)
        finally:
            if x.connection is not None:
                self._put_away(x, sound=False)
            self._remember(x)
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
            )

    def _remember(self, x: exchanges.Exchange) -> None:
        """Keep the trail for who asks; the exchange itself holds pipes and bodies and is let go."""
        if x.stage is Stage.DONE:
            self._step(x, f"answered {x.status}", self._ending(x))
        self._over[x.name] = (self._heading(x), x.trail)
        if len(self._over) > OVER_MOST:
            self._over.popitem(last=False)

    def trail(self, name: str) -> list[exchanges.Step] | None:
        """What was done for an exchange that is over or at work."""
        over = self._over.get(name)
        if over is not None:
            return [over[0], *over[1]]
        x = self.table.get(name)
        return [self._heading(x), *x.trail] if x is not None else None

    def _heading(self, x: exchanges.Exchange) -> exchanges.Step:
        rule = f"rule {x.rule.name}" if x.rule else "no rule"
        kind = "writing" if x.writing else "reading"
        why = f"{rule}, service {x.service or 'none'}, {kind}"
        return (0.0, f"{x.method} {x.host}{x.path}"[: exchanges.TEXT_MOST], why)

    def _ending(self, x: exchanges.Exchange) -> str:
        if x.bad is None:
            return "by the endpoint"
        return f"{x.bad.code.number} {x.bad.code.tag}: {x.bad.why or x.bad.code.text}"

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
            self._find_rule(x)
        # After a freeze the layout and list in hand may be long out of date.
        sure = await self._senses.sure(x.expiry)
        found = self._find_rule(x) if x.layout is None or x.layout is not self.layout else None
        if not sure and found != "no_layout":
            return self._give_up(x, "cut_off" if self._clock.now() < x.expiry else "expired")
        if found is not None:
            return self._end(x, found)
        self._budget(x.service).request()
        return Stage.SELECT

    def _find_rule(self, x: exchanges.Exchange) -> str | None:
        if self.layout is None:
            x.retry_after = 1
            return "no_layout"
        rule = self.layout.match(x.host, x.path, x.method)
        if rule is None:
            return "no_rule"
        # Drawn once where the rule is split, and again only if the rule has moved on.
        if x.service not in rule.services():
            x.service = rule.draw(self._rng)
        if not x.service:
            return "no_rule"
        limits = layouts.limits(self.layout, rule, x.service)
        x.layout = self.layout
        x.rule = rule
        x.writing = rule.writes(x.method)
        x.request_s = limits.get("request_s", self._bounds.request_s)
        x.max_tries = limits.get("max_tries", self._bounds.max_tries)
        # The earlier of the caller's own expiry and the rule's holds.
        span = limits.get("expiry_s", self._bounds.request_s)
        x.expiry = x.born + (span if x.asked_s is None else min(span, x.asked_s))
        return None

    def _still_ruled(self, x: exchanges.Exchange) -> bool:
        """Whether the layout of this very moment still sends the exchange where it was selected for."""
        if self.layout is x.layout or self.layout is None:
            return self.layout is not None
        rule = self.layout.match(x.host, x.path, x.method)
        return rule is not None and x.service in rule.services()

    def _budget(self, service: str) -> budgets.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.Budget(self._bounds, self._senses.sharing)
        return budget

    async def _select(self, x: exchanges.Exchange) -> Stage:
        sure = await self._senses.sure(x.expiry)
        # A layout may have come since: the rule of this moment decides.
        found = self._find_rule(x)
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
            x.connection = await self._connection_to(x, entry)
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

    async def _connection_to(
        self, x: exchanges.Exchange, entry: timeline.Entry
    ) -> connections.EndpointConnection:
        address = str(entry.fields["address"])
        now = self._clock.now()
        assert self.layout is not None
        probe = self.layout.services[x.service].probe
        held = self._idle.get(entry.key, [])
        while held:
            connection = held.pop()
            stale = self._stale(connection, x.service, now)
            if not connection.usable() or connection.address != address or stale:
                connection.close()
                continue
            connection.rested_s = now - connection.used
            # A pipe that lay idle may by now lead to whoever took the address over without
            # our hearing of it: only a fresh proof tells, or the id that the request bears.
            if now - connection.used < self._bounds.drain_s / 4 or self._bounds.proof == "header":
                return connection
            if await self._still_proven(connection, probe, max(0.0, x.expiry - self._clock.now())):
                return connection
        dial_s = self._bounds.dial_s
        try:
            async with asyncio.timeout(x.expiry - self._clock.now()):
                if self._bounds.proof == "header":
                    names = self._heads.exchange
                    return await connections.open_connection(
                        self._net, self._clock, entry.key, address, dial_s, names
                    )
                wait = self._bounds.probe_wait_s
                return await connections.open_proven(
                    self._net, self._clock, entry.key, address, probe, dial_s, wait, self._heads
                )
        except TimeoutError as flaw:
            # It had less time than a dial and a probe have: that says nothing of the endpoint.
            raise connections.Flaw("expired", False) from flaw

    def _stale(self, connection: connections.EndpointConnection, service: str, now: float) -> bool:
        """Whether the endpoint may be about to close an idle connection, or have forgotten it."""
        rested_s = now - connection.used
        told = connection.idle_s is not None and rested_s > connection.idle_s / 2
        return told or rested_s > self._rests.longest(service, now)

    async def _still_proven(
        self, connection: connections.EndpointConnection, probe: str, left: float
    ) -> bool:
        """Prove an idle pipe anew; one that fails is closed, and judged by a fresh one."""
        try:
            async with asyncio.timeout(min(self._bounds.probe_wait_s, left)):
                if (
                    await connections.prove(connection, probe, self._heads.served_by) is None
                    and connection.usable()
                ):
                    return True
        except TimeoutError as flaw:
            # It hangs: a fresh pipe would only hang as long again.
            connection.close()
            hurried = left < self._bounds.probe_wait_s
            raise connections.Flaw("expired" if hurried else soundness.PROBE_TIMED_OUT, False) from flaw
        except connections.Flaw:
            pass
        connection.close()
        return False

    def _put_away(self, x: exchanges.Exchange, sound: bool) -> None:
        """Give a pipe back for the next exchange, or close it."""
        connection, x.connection = x.connection, None
        if connection is None:
            return
        self.selector.ended(connection.endpoint)
        entry = self._line.get(timeline.ENDPOINT, connection.endpoint)
        held = self._idle.setdefault(connection.endpoint, [])
        stays = entry is not None and entry.fields["state"] == timeline.UP
        if sound and stays and connection.usable() and len(held) < IDLE_MOST and not self.closing:
            connection.used = self._clock.now()
            held.append(connection)
        else:
            connection.close()

    def _go_s(self, x: exchanges.Exchange) -> float:
        """How long this go may take."""
        left = x.expiry - self._clock.now()
        if not x.writing:
            # A go that hangs must leave time for the tries that remain.
            left = left / max(1, x.max_tries - x.goes)
        return min(x.request_s, left)

    async def _deliver(self, x: exchanges.Exchange) -> Stage:
        assert x.connection is not None and x.endpoint is not None
        entry, connection = x.endpoint, x.connection
        x.head, x.buffer, x.rest, x.flaw, x.sent = None, b"", None, "", False
        span = self._go_s(x)
        begun = self._clock.now()
        mark = connection.wrote()

        def gate() -> bool:
            # The last look before the first byte: frozen, expired, or gone since?
            return (
                not self._senses.gapped()
                and self._clock.now() - begun < self._bounds.gap_s
                and self._clock.now() < x.expiry
                and not self._deaf()
                and self.selector.usable(entry)
                and self._still_ruled(x)
            )

        try:
            async with asyncio.timeout(span):
                x.head = await connection.send(x.method, x.target, self._heads_for(x), x.body, gate)
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
            x.sent = connection.wrote_since(mark)
            if x.sent:
                x.goes += 1
        return Stage.JUDGE

    def _heads_for(self, x: exchanges.Exchange) -> connections.Heads:
        left = max(1, int((x.expiry - self._clock.now()) * 1000))
        names = self._heads
        ours = {names.expiry, names.expected, b"content-length"}
        if not self._adapter.named_by_caller:
            ours.add(names.exchange)
        heads = [(k, v) for k, v in kept_heads(x.heads) if k not in ours]
        # One that came in chunks goes on with a length: it is whole by now.
        if x.body or any(k in (b"content-length", b"transfer-encoding") for k, _ in x.heads):
            heads.append((b"content-length", str(len(x.body)).encode()))
        heads.append((names.expiry, str(left).encode()))
        if x.endpoint is not None:
            heads.append((names.expected, x.endpoint.key.encode()))
        if not self._adapter.named_by_caller:
            heads.append((b"via", b"1.1 dykeswitch"))
            heads.append((names.exchange, x.name.encode()))
        return heads

    async def _gather(self, x: exchanges.Exchange) -> None:
        """Hold the reply's body up to the bound, so that a cut one is never passed on."""
        assert x.head is not None and x.connection is not None
        if not _framed(x):
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
            self._rests.reset(x.service, connection.rested_s, self._clock.now())
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
        heads = [(k.lower(), v) for k, v in kept_heads(x.head.heads)]
        if x.status >= 400 and (x.writing or x.unknown):
            # An endpoint's own "come back" without a promise: it may have run the
            # request, and a caller who obeys would run it twice.
            heads = [(k, v) for k, v in heads if k != b"retry-after"]
        elif x.status in soundness.FREE and not any(k == b"retry-after" for k, _ in heads):
            # Given up on, and nothing of it runs any more: say when to come back.
            heads.append((b"retry-after", self._adapter.hint(self._come_back(x))))
        bodiless = x.method == "HEAD" or x.status in (204, 304) or x.status < 200
        if x.rest is None and not bodiless:
            heads = [(k, v) for k, v in heads if k != b"content-length"]
            heads.append((b"content-length", str(len(x.buffer)).encode()))
        if not self._adapter.named_by_caller:
            heads = [(k, v) for k, v in heads if k != self._heads.exchange]
            heads.append((b"via", b"1.1 dykeswitch"))
            heads.append((self._heads.exchange, x.name.encode()))
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
        heads = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"dykeswitch-result", str(bad.code.number).encode()),
            (self._heads.exchange, x.name.encode()),
        ]
        if x.retry_after is not None:
            heads.append((b"retry-after", self._adapter.hint(x.retry_after)))
        if self._parting():
            heads.append((b"connection", b"close"))
        x.replied = True
        await x.send({"type": "http.response.start", "status": bad.code.status, "headers": heads})
        await x.send({"type": "http.response.body", "body": b"" if x.method == "HEAD" else body})

    def idle(self) -> int:
        """How many usable pipes lie idle."""
        return sum(1 for held in self._idle.values() for connection in held if connection.usable())

    def close(self) -> None:
        for held in self._idle.values():
            for connection in held:
                connection.close()
        self._idle.clear()


def _framed(x: exchanges.Exchange) -> bool:
    """Whether the reply says where it ends; one that ends with its pipe can't be told from a cut one."""
    assert x.head is not None
    if x.method == "HEAD" or x.head.status in (204, 304):
        return True
    if x.head.get(b"content-length") is not None:
        return True
    return b"chunked" in (x.head.get(b"transfer-encoding") or b"").lower()
