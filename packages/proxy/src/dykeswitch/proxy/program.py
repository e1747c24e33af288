"""The proxy process: serves clients over HTTP and takes part in the membership."""

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

# Share of the grace period after which requests in progress get a final response.
FINAL_ANSWER_SHARE: typing.Final = 0.88
# Share of the grace period after which the server closes what is left, such as clients that don't read.
SERVER_STOP_SHARE: typing.Final = 0.94


class Proxy:
    """A proxy."""

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
            self.timeline, self.call_client, config.call_timeout_s, self._read_document, config.name
        )
        self.carrier = carrier.Carrier(
            config, machine, self.timeline, self.marks, log, rng, self, self.adapter
        )
        # The carrier keeps a budget for each service it served; the borrower fills them.
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
        self._last_tick_at = self.clock.now()
        self._needs_confirmation = True  # Set until a core has confirmed the local state.
        self._confirming: asyncio.Task[bool] | None = None
        self._confirmed = False
        self._isolated = False
        self._unconfirmed_since = self._last_tick_at
        self._last_known_cores: dict[str, ports.Address] = {}
        self._stop_deadline: float | None = None
        self._server: ports.WebServer | None = None
        self._ready_server: ports.WebServer | None = None
        self._listener: ports.Listener | None = None
        self.stopping = False
        self._stop = asyncio.Event()

    def _join(self, rng: random.Random) -> membership.Gossip:
        """Create this proxy's membership, not yet running."""
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

    async def _read_document(self, name: str, version: int, data: bytes) -> documents.Apply | None:
        """Parse a document without blocking exchanges; return a function that applies it at once."""
        if name == documents.PAUSES:
            try:
                planned_pauses = pauses.read(data)
            except pauses.PausesError as error:
                self.log.error("pauses refused", version=version, why=str(error))
                return None

            def apply_pauses() -> None:
                self._pauses = planned_pauses
                self.log.info("pauses taken up", version=version, pauses=len(planned_pauses))

            return apply_pauses
        raw = self.adapter.layout(data)
        if isinstance(raw, outcome.Failure):
            self.log.error("layout refused", version=version, why=raw.detail)
            return None
        result = await layouts.check_cooperatively(raw.value)
        if isinstance(result, outcome.Failure):
            # Registries check a layout before they accept it, so this is unexpected: keep the current one.
            self.log.error("layout refused", version=version, faults=result.faults[:5])
            return None
        layout = result.value

        def apply() -> None:
            self.carrier.layout = layout
            self.log.info("layout taken up", version=version, rules=len(layout.rules))

        return apply

    def paused(self, endpoint: str) -> str | None:
        """Return the reason of an endpoint's planned pause, if one is in effect now."""
        if not self._pauses:
            return None
        wall = self.gossip.wall()
        return next((p.reason for p in self._pauses if p.endpoint == endpoint and p.is_active(wall)), None)

    def _publish_status(self) -> None:
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
        """Return since when registries have lent this proxy extra attempts, if they do."""
        return self.borrower.borrowing_since()

    # Confirmation of the local state after a freeze.

    def silence_s(self) -> float:
        """Return the seconds since another node was last heard."""
        return self.clock.now() - self.gossip.last_heard_at

    def clock_jumped(self) -> bool:
        """Return whether the local clock shows a gap, as after a freeze."""
        return self.clock.now() - self._last_tick_at > self.config.clock_gap_s

    async def confirm_fresh(self, deadline: float) -> bool:
        """Return whether the local state is current, after confirming it if the local clock shows a gap.

        Takes at most `drain_s`, and ends at the deadline (by the local clock) if that is earlier.
        """
        if self.clock_jumped():
            self._require_confirmation()
        end = min(deadline, self.clock.now() + self.config.drain_s)
        while self._needs_confirmation and self.clock.now() < end:
            # No node can be reached, so the client is refused at once.
            if self._isolated and self.silence_s() > self.config.drain_s:
                return False
            if self._confirming is None or self._confirming.done():
                self._confirming = asyncio.create_task(self._confirm())
            # The confirmation continues for other requests; those without time for it get their answer now.
            await asyncio.wait([self._confirming], timeout=end - self.clock.now())
            # A proxy that was never confirmed has no state to use.
            if not self._confirmed:
                return False
            if self._needs_confirmation:
                await self.clock.sleep(min(self.config.tick_interval_s, max(0.0, end - self.clock.now())))
        return not self._needs_confirmation

    def _require_confirmation(self) -> None:
        if not self._needs_confirmation:
            self._unconfirmed_since = self.clock.now()
        self._needs_confirmation = True

    async def _confirm(self) -> bool:
        """Ask all cores for the state that a majority holds, and catch up with it."""
        started_at = self._last_tick_at = self.clock.now()
        # Entries of cores may expire during a freeze: nodes that were cores may still be cores.
        known = self.gossip.known_cores()
        self._last_known_cores = known or self._last_known_cores
        addresses = list(self._last_known_cores.values())
        confirmed = False
        calls = [asyncio.create_task(self._confirm_with(address)) for address in addresses]
        while calls and not confirmed:
            done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            confirmed = any(call.result() for call in done)
            calls = [call for call in calls if call not in done]
        if confirmed:
            # To know of a newer layout without having it does not confirm anything.
            confirmed = await self.documents.catch_up(self._addresses())
        # The process was frozen again in the meantime, so the replies are out of date.
        if confirmed and self.clock.now() - started_at > self.config.drain_s:
            return False
        if confirmed:
            # This also applies if a majority confirmed that there is no layout yet: any later one is newer.
            self._needs_confirmation = False
            self._confirmed = True
        elif self._confirmed and self._heard_another_node() and not self.documents.outdated():
            # No core can be reached: continue with the last known list, as required.
            self._needs_confirmation = False
        return confirmed

    def _heard_another_node(self) -> bool:
        """Return whether a node was heard since the doubt began, other than by queued messages."""
        return self.gossip.last_heard_at > self._unconfirmed_since + self.config.clock_gap_s / 2

    async def _confirm_with(self, address: ports.Address) -> bool:
        # This proxy still has everything received from this core before, so only newer entries are requested.
        position = self.gossip.position(address)
        request = {"name": self.config.name, "items": [], "cursor": position, "hold": 0.0}
        result = await self.call_client.call(address, "confirm", request, self.config.call_timeout_s)
        if isinstance(result, outcome.Failure):
            return False
        items = result.value.get("items")
        if not isinstance(items, list):
            # Treated like no reply: the other cores may still confirm.
            self.log.note("reply refused", f"{address}: confirm")
            return False
        self.timeline.merge(items)
        self.gossip.last_heard_at = self.clock.now()
        return True

    def _addresses(self) -> list[ports.Address]:
        cores = self.gossip.nearest_cores()
        return cores + [m.address for m in self.gossip.view.values() if m.address not in cores]

    # Health of the proxy itself.

    def ready(self) -> str | None:
        """Return why this proxy is not ready, or None if it is."""
        if self.stopping:
            return "stopping"
        if not self._confirmed or self.carrier.layout is None:
            return "no confirmed layout yet"
        if self.silence_s() > self.config.isolated_after_s:
            return "reaches no other node"
        if self._needs_confirmation or self.clock_jumped():
            return "layout not confirmed since a gap in the local clock"
        return None

    def _app(self) -> ports.App:
        """Return the application for clients, with the proxy's own pages if they share the address."""
        if self.config.ready:
            return self.gateway
        # Imported only here, so that a proxy with a separate readiness address starts without it.
        import dykeswitch.proxy.pages as proxy_pages

        return proxy_pages.app(self)

    def counts(self) -> dict[str, float]:
        """Return this proxy's counters by name."""
        return {
            **self.carrier.counts,
            **self.meter.counts,
            **self.borrower.counts,
            "exchanges_at_work": len(self.carrier.table),
            "coins_borrowed": self.borrower.borrowed(),
        }

    # Client requests.

    async def gateway(self, scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        """Handle one client request from its head to the response."""
        if scope["type"] != "http":
            return
        exchange = self.intake.new_exchange(scope, send)
        # Overload is answered at once, since a queue would only hide it. Requests whose body is still being
        # received count too; otherwise slow senders would be unlimited.
        if len(self.carrier.table) >= self.config.exchanges_most:
            exchange.retry_after = intakes.BUSY_RETRY_S
            await self.carrier.refuse(exchange, outcome.failure("too_busy"))
            return
        self.carrier.table[exchange.name] = exchange
        try:
            async with exchange.timer:
                self._apply_stop_deadline(exchange)
                failure = await self.intake.read(exchange, receive)
                if failure is not None:
                    await self.carrier.refuse(exchange, failure)
                    return
                async with presence.CancelOnDeparture(
                    departures.departure_of(scope),
                    lambda: self.carrier.may_cancel(exchange),
                    lambda: self.carrier.client_left(exchange),
                ):
                    await self.carrier.process(exchange)
        except presence.ClientLeftError:
            # The client is gone, so there is nobody to respond to.
            if exchange.client_left_at is None:
                self.carrier.count("callers_left_amid_body")
        except TimeoutError:
            if not exchange.timer.expired():
                raise
            await self.carrier.finish_at_stop(exchange)
        finally:
            self.intake.release(exchange)
            del self.carrier.table[exchange.name]

    def _apply_stop_deadline(self, exchange: exchanges.Exchange) -> None:
        """While stopping, limit an exchange to the remaining grace period."""
        if self._stop_deadline is not None:
            remaining_s = max(0.0, self._stop_deadline - self.clock.now())
            exchange.timer.reschedule(asyncio.get_running_loop().time() + remaining_s)

    async def _on_exchange(self, body: frames.Body) -> frames.Result:
        """Handle a call for the steps of one exchange."""
        trail = self.carrier.trail(str(body["exchange"]))
        if trail is None:
            return outcome.failure("no_such", f"no exchange {str(body['exchange'])[:80]} is remembered")
        return outcome.Success({"trail": [list(step) for step in trail]})

    # Startup and shutdown.

    async def run(self) -> None:
        """Serve until stopped."""
        kinds = {**self.gossip.kinds(), **self.documents.kinds(), "exchange": self._on_exchange}
        server = frames.CallServer(kinds, self.log.note, self.meter)
        self._listener = await self.machine.net.listen(self.config.listen or self.config.member, server.serve)
        try:
            # With a separate readiness address, all requests on `web` are forwarded to endpoints.
            self._server = await self.machine.web.serve(
                self.config.web, self._app(), self.intake.connection_limits
            )
            if self.config.ready:
                ready_app = pages.app(
                    self.adapter.ready_path, self.ready, None, ("proxy", self.config.name, self.counts)
                )
                self._ready_server = await self.machine.web.serve(self.config.ready, ready_app)
            self.log.info("started", web=self.config.web, member=self.config.member)
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self.gossip.run()),
                    group.create_task(self._keep_ticking()),
                    group.create_task(self._keep_documents()),
                    group.create_task(self._keep_publishing()),
                    group.create_task(self.borrower.run()),
                ]
                await self._stop.wait()
                await self._drain()
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
        """Request an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Apply changed seeds; all other settings take effect at the next start."""
        self.gossip.set_seeds(config.seeds)
        self.log.info("settings reloaded", seeds=len(config.seeds))

    async def _drain(self) -> None:
        self.stopping = True
        # Responses on kept connections ask clients to close them and use another proxy.
        self.carrier.closing = True
        # Requests still in progress shortly before the kill signal get a final response then, because a
        # connection that merely breaks would tell the client less.
        self._stop_deadline = self.clock.now() + self.config.grace_s * FINAL_ANSWER_SHARE
        for exchange in self.carrier.table.values():
            self._apply_stop_deadline(exchange)
        self.log.info("stopping", exchanges=len(self.carrier.table))
        # The platform polls readiness once a second: accept requests until it must have polled.
        await self.clock.sleep(self.config.lead_s)
        assert self._server is not None
        await self._server.stop(self.config.grace_s * SERVER_STOP_SHARE - self.config.lead_s)

    async def _keep_ticking(self) -> None:
        while True:
            # A freeze looks like silence, but a node that resumes can ask others.
            self._isolated = not self.clock_jumped() and self.silence_s() > self.config.drain_s
            if self.clock_jumped():
                self._require_confirmation()
                self.log.warning("frozen", span_s=round(self.clock.now() - self._last_tick_at, 2))
            stall = self.clock.now() - self._last_tick_at - self.config.tick_interval_s
            self.carrier.record_max("longest_stall_ms", int(stall * 1000))
            self._last_tick_at = self.clock.now()
            # After this much silence a change may have been missed, and the next message received does
            # not show it.
            if self.silence_s() > self.config.drain_s:
                self._require_confirmation()
            if self._needs_confirmation and (self._confirming is None or self._confirming.done()):
                self._confirming = asyncio.create_task(self._confirm())
            await self.clock.sleep(self.config.tick_interval_s)

    async def _keep_documents(self) -> None:
        """Fetch a document as soon as a higher version of it is announced."""
        while True:
            async with self.timeline.changed:
                await ports.wait_for(
                    self.timeline.changed, lambda: bool(self.documents.outdated()), self.config.hold_s
                )
            if self.documents.outdated() and not await self.documents.catch_up(self._addresses()):
                await self.clock.sleep(self.config.tick_interval_s)

    async def _keep_publishing(self) -> None:
        while True:
            self._publish_status()
            await self.clock.sleep(self.config.dead_after_s)
