"""The store's process."""

import asyncio
import random

import dykeswitch.adapter.page as pages
import dykeswitch.frames as frames
import dykeswitch.logs as logs
import dykeswitch.ports as ports
import dykeswitch.register.replica as replicas
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
        site = replicas.Site(bounds.zone, bounds.region, bounds.quorum_eligible)
        self.voter = voters.Voter(disk, machine.points, rng, site)
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
        if not await self._open():
            return
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
            await self._hand_over()
            if server is not None:
                await server.stop(1.0)
        finally:
            listener.close()
        self.log.info("stopped")

    async def _open(self) -> bool:
        """Read the disk, trying again while it does not serve; false if told to stop before."""
        stopped = asyncio.create_task(self._stop.wait())
        try:
            while not self._stop.is_set():
                opening = asyncio.create_task(self.voter.open())
                # A disk that stalls must not hold up an orderly stop.
                await asyncio.wait([opening, stopped], return_when=asyncio.FIRST_COMPLETED)
                if not opening.done():
                    opening.cancel()
                    return False
                try:
                    await opening
                    return True
                except OSError as flaw:
                    self.log.warning("disk does not open", why=str(flaw))
                await self.machine.clock.sleep(self.bounds.gap_s)
            return False
        finally:
            stopped.cancel()

    async def _hand_over(self) -> None:
        """Vote on for a while, so that another store may take the vote over.

        A store can't know whether it will come back. Its vote goes to a vacant store that
        waits, if there is one; where none comes forward soon, it keeps its vote and stops.
        """
        self.voter.leaving = True
        clock = self.machine.clock
        begun = clock.now()
        while not self.voter.vacant():
            span = self.bounds.handover_most_s if self.voter.replaced() else self.bounds.handover_wait_s
            if self.voter.damaged or clock.now() - begun >= span:
                return
            await clock.sleep(self.bounds.tick_s / 2)

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def retold(self, bounds: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.log.info("settings changed")
