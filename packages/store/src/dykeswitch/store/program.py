"""The store's process."""

import asyncio
import random

import dykeswitch.adapter.page as pages
import dykeswitch.frames as frames
import dykeswitch.logs as logs
import dykeswitch.ports as ports
import dykeswitch.register.voter as voters
import dykeswitch.settings as settings


class Store:
    """One store on one disk."""

    def __init__(
        self,
        bounds: settings.Settings,
        machine: ports.Machine,
        disk: ports.Disk,
        log: logs.Log,
        rng: random.Random,
    ) -> None:
        self.bounds = bounds
        self.machine = machine
        self.log = log
        self.voter = voters.Voter(disk, machine.points, rng)
        self.meter = frames.Tally()
        self._stop = asyncio.Event()
        self.stopping = False

    def ready(self) -> str | None:
        """Why this store is not ready, or nothing."""
        if self.stopping:
            return "stopping"
        if self.voter.damaged:
            return f"disk: {self.voter.damaged}"
        if not self.voter.seated():
            return "not seated in a member set"
        return None

    def counts(self) -> dict[str, int]:
        """What its frames carried, for whoever counts."""
        return dict(self.meter.counts)

    async def run(self) -> None:
        """Vote until told to stop."""
        await self.voter.open()
        ear = frames.Ear(self.voter.kinds(), self.log.note, self.meter)
        listener = await self.machine.net.listen(self.bounds.store, ear.serve)
        server: ports.WebServer | None = None
        try:
            if self.bounds.web:
                more = {"disk": self.voter.disk_id}
                app = pages.app("/readyz", self.ready, more, ("store", self.bounds.name, self.counts))
                server = await self.machine.web.serve(self.bounds.web, app)
            self.log.info("started", store=self.bounds.store, disk=self.voter.disk_id)
            await self._stop.wait()
            self.stopping = True
            if server is not None:
                await server.stop(1.0)
        finally:
            listener.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def retold(self, bounds: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.log.info("settings changed")
