"""The registry's process: built out of its parts, run, and stopped in order."""

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
    """One registry."""

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
        self.standing = standing.Standing(self.parts)
        self.gossip.has_quorum = lambda: self.standing.unready() is None
        self.heartbeats = heartbeats.Heartbeats(self.parts, self.standing)
        self.orders = orders.Orders(self.parts, self.standing)
        self.members = member_calls.MemberCalls(self.parts)
        self.relay = relay.DocumentRelay(self.parts)
        self.upkeep = upkeeps.Upkeep(self.parts, self.members, self.standing)
        self._server: ports.WebServer | None = None
        self._stop = asyncio.Event()
        commands = queries.Queries(self.parts, self.members, planned.PlannedPauses(self.parts, self.standing))
        shown = pages.Pages(self.parts, self.members)
        handlers = routes.Routes(config, log, self.standing, self.heartbeats, self.orders, commands, shown)
        self.app = handlers.application(self.parts.adapter.calls(self))

    # What an adapter may ask of the registry.

    async def heartbeat(self, raw: object) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Take a heartbeat in the product's own form."""
        return await self.heartbeats.beat(raw)

    async def put_layout(self, data: bytes) -> outcome.Success[int] | outcome.Failure:
        """Take a layout as it was sent; its version."""
        return await self.orders.put(data)

    async def newest_layout(self) -> outcome.Success[bytes] | outcome.Failure:
        """The newest layout, as it was sent, from a majority."""
        found = await self.orders.newest()
        return found if isinstance(found, outcome.Failure) else outcome.Success(found.value.body)

    def ready(self) -> str | None:
        """Why this registry is not ready; nothing if it is."""
        return self.standing.unready()

    # Running and stopping.

    async def run(self) -> None:
        """Serve until told to stop."""
        config = self.config
        kinds = {**self.members.kinds(), **self.relay.kinds()}
        server = frames.CallServer(kinds, self.log.note, self.parts.meter)
        listener = await self.machine.net.listen(config.listen or config.member, server.serve)
        try:
            self._server = await self.machine.web.serve(config.web, self.app)
            self.log.info("started", web=config.web, member=config.member)
            async with asyncio.TaskGroup() as group:
                loops = [*self.upkeep.loops(), self.relay.keep_fetched()]
                tasks = [group.create_task(loop) for loop in loops]
                await self._stop.wait()
                self.standing.stopping = True
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
        """Ask for an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.parts.gossip.set_seeds(config.seeds)
        self.log.info("settings taken up", seeds=len(config.seeds))
