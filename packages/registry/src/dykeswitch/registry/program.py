"""The registry process: builds its components, runs them, and stops them in order."""

import asyncio
import random

import dykeswitch.adapter as adapters
import dykeswitch.frames as frames
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.components as components
import dykeswitch.registry.heartbeats as heartbeats
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.orders as orders
import dykeswitch.registry.pages as pages
import dykeswitch.registry.planned as planned
import dykeswitch.registry.queries as queries
import dykeswitch.registry.relay as relay
import dykeswitch.registry.routes as routes
import dykeswitch.registry.standing as standing
import dykeswitch.registry.upkeep as upkeeps
import dykeswitch.settings as settings


class Registry:
    """One registry process."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        self.config = config
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.parts = components.Components(config, machine, log, rng, adapter or adapters.DefaultAdapter())
        self.timeline = self.parts.timeline
        self.gossip = self.parts.gossip
        self.duties = self.parts.duties
        self.documents = self.parts.publisher.documents
        self.readiness = standing.Readiness(self.parts)
        self.gossip.has_quorum = lambda: self.readiness.unready_reason() is None
        self.heartbeats = heartbeats.Heartbeats(self.parts, self.readiness)
        self.orders = orders.Orders(self.parts, self.readiness)
        self.members = member_calls.MemberCalls(self.parts)
        self.relay = relay.DocumentRelay(self.parts)
        self.upkeep = upkeeps.Upkeep(self.parts, self.members, self.readiness)
        self._server: ports.WebServer | None = None
        self._stop = asyncio.Event()
        commands = queries.Queries(
            self.parts, self.members, planned.PlannedPauses(self.parts, self.readiness)
        )
        fleet_pages = pages.Pages(self.parts, self.members)
        handlers = routes.Routes(
            config, log, self.readiness, self.heartbeats, self.orders, commands, fleet_pages
        )
        self.app = handlers.application(self.parts.adapter.calls(self))

    # The calls that an adapter may make (`adapter.Calls`).

    async def heartbeat(self, raw: object) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Handle a heartbeat in this product's own format."""
        return await self.heartbeats.handle(raw)

    async def put_layout(self, data: bytes) -> outcome.Success[int] | outcome.Failure:
        """Store a layout in the form in which it was sent; returns its version."""
        return await self.orders.put(data)

    async def newest_layout(self) -> outcome.Success[bytes] | outcome.Failure:
        """Read the newest layout from a majority, in the form in which it was sent."""
        result = await self.orders.newest()
        return result if isinstance(result, outcome.Failure) else outcome.Success(result.value.body)

    def ready(self) -> str | None:
        """The reason why this registry is not ready, or None if it is."""
        return self.readiness.unready_reason()

    # Running and stopping.

    async def run(self) -> None:
        """Serve until `stop` is called."""
        config = self.config
        kinds = {**self.members.kinds(), **self.relay.kinds()}
        server = frames.CallServer(kinds, self.log.note, self.parts.meter)
        listener = await self.machine.net.listen(config.listen or config.member, server.serve)
        try:
            self._server = await self.machine.web.serve(config.web, self.app)
            self.log.info("started", web=config.web, member=config.member)
            async with asyncio.TaskGroup() as group:
                loops = [*self.upkeep.loops(), self.relay.fetch_loop()]
                tasks = [group.create_task(loop) for loop in loops]
                await self._stop.wait()
                self.readiness.stopping = True
                self.log.info("stopping")
                await self.clock.sleep(config.lead_s)
                await self._server.stop(max(1.0, config.grace_s - config.lead_s))
                for task in tasks:
                    task.cancel()
        finally:
            listener.close()
            self.parts.call_client.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Request an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Apply changed settings: only the seeds; all others take effect at the next start."""
        self.parts.gossip.set_seeds(config.seeds)
        self.log.info("settings reloaded", seeds=len(config.seeds))
