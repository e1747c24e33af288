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
        bounds: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        self.bounds = bounds
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.parts = components.Components(bounds, machine, log, rng, adapter or adapters.Own())
        self.line = self.parts.line
        self.spread = self.parts.spread
        self.duties = self.parts.duties
        self.documents = self.parts.publisher.documents
        self.standing = standing.Standing(self.parts)
        self.spread.backed = lambda: self.standing.unready() is None
        self.heartbeats = heartbeats.Heartbeats(self.parts, self.standing)
        self.orders = orders.Orders(self.parts, self.standing)
        self.members = member_calls.MemberCalls(self.parts)
        self.relay = relay.DocumentRelay(self.parts)
        self.upkeep = upkeeps.Upkeep(self.parts, self.members, self.standing)
        self._server: ports.WebServer | None = None
        self._stop = asyncio.Event()
        commands = queries.Queries(self.parts, self.members, planned.PlannedPauses(self.parts, self.standing))
        shown = pages.Pages(self.parts, self.members)
        handlers = routes.Routes(bounds, log, self.standing, self.heartbeats, self.orders, commands, shown)
        self.app = handlers.application(self.parts.adapter.calls(self))

    # What an adapter may ask of the registry.

    async def beat(self, raw: object) -> outcome.Good[dict[str, object]] | outcome.Bad:
        """Take a heartbeat in the product's own form."""
        return await self.heartbeats.beat(raw)

    async def put(self, data: bytes) -> outcome.Good[int] | outcome.Bad:
        """Take a layout as it was sent; its version."""
        return await self.orders.put(data)

    async def newest(self) -> outcome.Good[bytes] | outcome.Bad:
        """The newest layout, as it was sent, from a majority."""
        found = await self.orders.newest()
        return found if isinstance(found, outcome.Bad) else outcome.Good(found.value.body)

    def ready(self) -> str | None:
        """Why this registry is not ready; nothing if it is."""
        return self.standing.unready()

    # Running and stopping.

    async def run(self) -> None:
        """Serve until told to stop."""
        bounds = self.bounds
        kinds = {**self.members.kinds(), **self.relay.kinds()}
        ear = frames.Ear(kinds, self.log.note, self.parts.meter)
        listener = await self.machine.net.listen(bounds.listen or bounds.member, ear.serve)
        try:
            self._server = await self.machine.web.serve(bounds.web, self.app)
            self.log.info("started", web=bounds.web, member=bounds.member)
            async with asyncio.TaskGroup() as group:
                loops = [*self.upkeep.loops(), self.relay.keep_fetched()]
                tasks = [group.create_task(loop) for loop in loops]
                await self._stop.wait()
                self.standing.stopping = True
                self.log.info("stopping")
                await self.clock.sleep(bounds.lead_s)
                await self._server.stop(max(1.0, bounds.grace_s - bounds.lead_s))
                for task in tasks:
                    task.cancel()
        finally:
            listener.close()
            self.parts.caller.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def retold(self, bounds: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.parts.spread.reseed(bounds.seeds)
        self.log.info("settings taken up", seeds=len(bounds.seeds))
