"""The proxy's process: one web server inward, members on the other side."""

import asyncio
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.adapter.page as pages
import dykeswitch.frames as frames
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.logs as logs
import dykeswitch.membership as membership
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures
import dykeswitch.proxy.borrower as borrowers
import dykeswitch.proxy.carrier as carrier
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.intake as intakes
import dykeswitch.proxy.presence as presence
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# The part of the grace after which work still in hand is answered.
LAST_CALL: typing.Final = 0.88
# The part of the grace after which the server ends what is left, such as callers that do not read.
SERVER_END: typing.Final = 0.94


class Proxy:
    """One proxy."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        self.config = config
        self.adapter: adapters.Adapter = adapter or adapters.DefaultAdapter()
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.timeline = timelines.Timeline(config.name, self.clock, config.forget_s)
        self.marks = timelines.Marks(self.timeline, config.mark_s)
        self.meter = frames.CallCounters()
        self.call_client = frames.CallClient(machine.net, self.meter)
        self.gossip = self._join(rng)
        self.documents = documents.Documents(
            self.timeline, self.call_client, config.call_timeout_s, self._reads, config.name
        )
        self.carrier = carrier.Carrier(
            config, machine, self.timeline, self.marks, log, rng, self, self.adapter
        )
        # The carrier has a budget for each service it carried; the borrower fills them.
        self.borrower = borrowers.Borrower(
            config.name,
            self.gossip.boot_id,
            config,
            self.timeline,
            self.call_client,
            self.gossip.cores,
            lambda: self.carrier.budgets,
        )
        self._pauses: list[pauses.Pause] = []
        self.carrier.selector.paused = self.paused
        self.intake = intakes.Intake(config, self.clock, rng, self.adapter, lambda: self.carrier.layout)
        self._tick = self.clock.now()
        self._doubt = True  # Until a core has confirmed what we hold, we are not sure of it.
        self._confirming: asyncio.Task[bool] | None = None
        self._confirmed = False
        self._cut_off = False
        self._doubt_at = self._tick
        self._last_known_cores: dict[str, ports.Address] = {}
        self._stop_deadline: float | None = None
        self._server: ports.WebServer | None = None
        self._ready_server: ports.WebServer | None = None
        self._listener: ports.Listener | None = None
        self.stopping = False
        self._stop = asyncio.Event()

    def _join(self, rng: random.Random) -> membership.Gossip:
        """This proxy's part in the membership, not yet running."""
        config = self.config
        return membership.Gossip(
            membership.Member(config.name, "proxy", ports.address_of(config.member)),
            self.timeline,
            self.machine,
            self.call_client,
            rng,
            config.shuffle_s,
            config.call_timeout_s,
            config.hold_s,
            config.seeds,
            self.log.note,
            config.zone,
        )

    # Documents.

    async def _reads(self, name: str, version: int, data: bytes) -> documents.Apply | None:
        """Read a document while exchanges go on; what is handed back takes it up at once."""
        if name == documents.PAUSES:
            try:
                planned = pauses.read(data)
            except pauses.PausesError as flaw:
                self.log.error("pauses refused", version=version, why=str(flaw))
                return None

            def plan() -> None:
                self._pauses = planned
                self.log.info("pauses taken up", version=version, pauses=len(planned))

            return plan
        raw = self.adapter.layout(data)
        if isinstance(raw, outcome.Failure):
            self.log.error("layout refused", version=version, why=raw.detail)
            return None
        result = await layouts.check_cooperatively(raw.value)
        if isinstance(result, outcome.Failure):
            # It was checked before it was accepted: keep the one we have.
            self.log.error("layout refused", version=version, faults=result.faults[:5])
            return None
        layout = result.value

        def apply() -> None:
            self.carrier.layout = layout
            self.log.info("layout taken up", version=version, rules=len(layout.rules))

        return apply

    def paused(self, endpoint: str) -> str | None:
        """The reason of a planned pause that is open now."""
        if not self._pauses:
            return None
        wall = self.gossip.wall()
        return next((p.reason for p in self._pauses if p.endpoint == endpoint and p.is_active(wall)), None)

    def _say_self(self) -> None:
        fields = {
            "zone": self.config.zone,
            "web": self.config.web,
            "spot": self.config.member,
            "layout": self.documents.version(documents.LAYOUT),
            "ready": self.ready() is None,
            "extra": f"{self.borrower.borrowed()} lent",
        }
        self.timeline.write(
            timelines.PROXY, self.config.name, fields, self.config.dead_after_s * 4, urgent=False
        )

    def borrowing_since(self) -> float | None:
        """Since when registries lend us extra go's, if they do."""
        return self.borrower.since()

    # Being sure after a freeze.

    def silence_s(self) -> float:
        """For how long no other node was heard."""
        return self.clock.now() - self.gossip.last_heard_at

    def clock_jumped(self) -> bool:
        """Whether our own clock shows a gap."""
        return self.clock.now() - self._tick > self.config.clock_gap_s

    async def confirm_fresh(self, by: float) -> bool:
        """Whether what we hold is of today: at once, unless our clock shows a gap; then confirm.

        It takes no longer than `drain_s`, nor than until the moment `by` of our clock.
        """
        if self.clock_jumped():
            self._doubt_now()
        end = min(by, self.clock.now() + self.config.drain_s)
        while self._doubt and self.clock.now() < end:
            # Nobody is there to ask: the caller is told so at once.
            if self._cut_off and self.silence_s() > self.config.drain_s:
                return False
            if self._confirming is None or self._confirming.done():
                self._confirming = asyncio.create_task(self._confirm())
            # The confirming goes on for others; who has no time left for it hears so at once.
            await asyncio.wait([self._confirming], timeout=end - self.clock.now())
            # One that never was confirmed has nothing yet to go by.
            if not self._confirmed:
                return False
            if self._doubt:
                await self.clock.sleep(min(self.config.tick_interval_s, max(0.0, end - self.clock.now())))
        return not self._doubt

    def _doubt_now(self) -> None:
        if not self._doubt:
            self._doubt_at = self.clock.now()
        self._doubt = True

    async def _confirm(self) -> bool:
        """Ask every core for what a majority holds now, and catch up with it."""
        begun = self._tick = self.clock.now()
        # A freeze may outlast what is known of the cores: who was one may be one still.
        known = self.gossip.known_cores()
        self._last_known_cores = known or self._last_known_cores
        addresses = list(self._last_known_cores.values())
        good = False
        calls = [asyncio.create_task(self._confirm_at(address)) for address in addresses]
        while calls and not good:
            done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            good = any(call.result() for call in done)
            calls = [call for call in calls if call not in done]
        if good:
            # Knowing of a newer layout without holding it is no more than doubt.
            good = await self.documents.catch_up(self._addresses())
        # Frozen again meanwhile: what we heard is old already.
        if good and self.clock.now() - begun > self.config.drain_s:
            return False
        if good:
            # Also when a majority confirmed that there is no layout yet: whatever
            # comes after it is newer.
            self._doubt = False
            self._confirmed = True
        elif self._confirmed and self._in_company() and not self.documents.outdated():
            # No core can be reached: go on with the last list, as asked for.
            self._doubt = False
        return good

    def _in_company(self) -> bool:
        """Whether somebody was heard since we began to doubt, and not by words that lay waiting."""
        return self.gossip.last_heard_at > self._doubt_at + self.config.clock_gap_s / 2

    async def _confirm_at(self, address: ports.Address) -> bool:
        # All that we knew of it is here still: only what came since need travel.
        position = self.gossip.position(address)
        ask = {"name": self.config.name, "items": [], "cursor": position, "hold": 0.0}
        result = await self.call_client.call(address, "confirm", ask, self.config.call_timeout_s)
        if isinstance(result, outcome.Failure):
            return False
        items = result.value.get("items")
        if not isinstance(items, list):
            # As good as silent: the others may confirm all the same.
            self.log.note("reply refused", f"{address}: confirm")
            return False
        self.timeline.merge(items)
        self.gossip.last_heard_at = self.clock.now()
        return True

    def _addresses(self) -> list[ports.Address]:
        cores = self.gossip.nearest_cores()
        return cores + [m.address for m in self.gossip.view.values() if m.address not in cores]

    # Soundness of the proxy itself.

    def ready(self) -> str | None:
        """Why this proxy is not ready, or nothing."""
        if self.stopping:
            return "stopping"
        if not self._confirmed or self.carrier.layout is None:
            return "no confirmed layout yet"
        if self.silence_s() > self.config.isolated_after_s:
            return "reaches no other node"
        if self._doubt or self.clock_jumped():
            return "not sure of the layout since a gap in its own clock"
        return None

    def _app(self) -> ports.App:
        """What is served to callers, with our own pages beside it where they share an address."""
        if self.config.ready:
            return self.gateway
        # Brought in only here: a proxy with an address for readiness starts without it.
        import dykeswitch.proxy.pages as own

        return own.app(self)

    def counts(self) -> dict[str, float]:
        """What this proxy counts, by name."""
        return {
            **self.carrier.counts,
            **self.meter.counts,
            **self.borrower.counts,
            "exchanges_at_work": len(self.carrier.table),
            "coins_borrowed": self.borrower.borrowed(),
        }

    # Callers.

    async def gateway(self, scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        """Carry one request of a caller from its head to its reply."""
        if scope["type"] != "http":
            return
        exchange = self.intake.exchange(scope, send)
        # Overload is answered at once; a queue would only hide it. Requests whose body
        # is still on its way count too, or slow senders would be without bound.
        if len(self.carrier.table) >= self.config.exchanges_most:
            exchange.retry_after = intakes.BUSY_RETRY_S
            await self.carrier.refuse(exchange, outcome.failure("too_busy"))
            return
        self.carrier.table[exchange.name] = exchange
        try:
            async with exchange.timer:
                self._hurry(exchange)
                failure = await self.intake.read(exchange, receive)
                if failure is not None:
                    await self.carrier.refuse(exchange, failure)
                    return
                async with presence.Presence(
                    departures.departure_of(scope),
                    lambda: self.carrier.may_end(exchange),
                    lambda: self.carrier.caller_left(exchange),
                ):
                    await self.carrier.carry(exchange)
        except presence.CallerLeftError:
            # Nobody is there to be answered.
            if exchange.left_at is None:
                self.carrier.count("callers_left_amid_body")
        except TimeoutError:
            if not exchange.timer.expired():
                raise
            await self.carrier.cut_short(exchange)
        finally:
            self.intake.release(exchange)
            del self.carrier.table[exchange.name]

    def _hurry(self, exchange: exchanges.Exchange) -> None:
        """While stopping, an exchange has until the end of the grace."""
        if self._stop_deadline is not None:
            left = max(0.0, self._stop_deadline - self.clock.now())
            exchange.timer.reschedule(asyncio.get_running_loop().time() + left)

    async def _on_exchange(self, body: frames.Body) -> frames.Result:
        """What was done for one exchange."""
        trail = self.carrier.trail(str(body["exchange"]))
        if trail is None:
            return outcome.failure("no_such", f"no exchange {str(body['exchange'])[:80]} is remembered")
        return outcome.Success({"trail": [list(step) for step in trail]})

    # Running and stopping.

    async def run(self) -> None:
        """Serve until told to stop."""
        kinds = {**self.gossip.kinds(), **self.documents.kinds(), "exchange": self._on_exchange}
        server = frames.CallServer(kinds, self.log.note, self.meter)
        self._listener = await self.machine.net.listen(self.config.listen or self.config.member, server.serve)
        try:
            # With an address of its own for readiness, all that comes on `web` is for endpoints.
            self._server = await self.machine.web.serve(
                self.config.web, self._app(), self.intake.connection_limits
            )
            if self.config.ready:
                asked = pages.app(
                    self.adapter.ready_path, self.ready, None, ("proxy", self.config.name, self.counts)
                )
                self._ready_server = await self.machine.web.serve(self.config.ready, asked)
            self.log.info("started", web=self.config.web, member=self.config.member)
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self.gossip.run()),
                    group.create_task(self._keep_ticking()),
                    group.create_task(self._keep_documents()),
                    group.create_task(self._keep_saying()),
                    group.create_task(self.borrower.run()),
                ]
                await self._stop.wait()
                await self._leave()
                await self.borrower.give_back()
                for task in tasks:
                    task.cancel()
        finally:
            if self._ready_server is not None:
                await self._ready_server.stop(0.0)
            self._listener.close()
            self.call_client.close()
            self.carrier.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.gossip.set_seeds(config.seeds)
        self.log.info("settings taken up", seeds=len(config.seeds))

    async def _leave(self) -> None:
        self.stopping = True
        # Callers on kept pipes are told with each reply to go elsewhere.
        self.carrier.closing = True
        # What is still at work shortly before the hard signal gets a final answer then:
        # a pipe that just breaks would tell its caller less.
        self._stop_deadline = self.clock.now() + self.config.grace_s * LAST_CALL
        for exchange in self.carrier.table.values():
            self._hurry(exchange)
        self.log.info("stopping", exchanges=len(self.carrier.table))
        # The platform asks once a second: still accept until it has surely asked.
        await self.clock.sleep(self.config.lead_s)
        assert self._server is not None
        await self._server.stop(self.config.grace_s * SERVER_END - self.config.lead_s)

    async def _keep_ticking(self) -> None:
        while True:
            # A freeze looks like silence, but who wakes can ask.
            self._cut_off = not self.clock_jumped() and self.silence_s() > self.config.drain_s
            if self.clock_jumped():
                self._doubt_now()
                self.log.warning("frozen", span_s=round(self.clock.now() - self._tick, 2))
            stall = self.clock.now() - self._tick - self.config.tick_interval_s
            self.carrier.most("longest_stall_ms", int(stall * 1000))
            self._tick = self.clock.now()
            # Who heard nobody for so long may have missed a change: the first word it hears
            # again tells nothing of that.
            if self.silence_s() > self.config.drain_s:
                self._doubt_now()
            if self._doubt and (self._confirming is None or self._confirming.done()):
                self._confirming = asyncio.create_task(self._confirm())
            await self.clock.sleep(self.config.tick_interval_s)

    async def _keep_documents(self) -> None:
        """Fetch a document as soon as a higher version of it is named."""
        while True:
            async with self.timeline.changed:
                await ports.wait_for(
                    self.timeline.changed, lambda: bool(self.documents.outdated()), self.config.hold_s
                )
            if self.documents.outdated() and not await self.documents.catch_up(self._addresses()):
                await self.clock.sleep(self.config.tick_interval_s)

    async def _keep_saying(self) -> None:
        while True:
            self._say_self()
            await self.clock.sleep(self.config.dead_after_s)
