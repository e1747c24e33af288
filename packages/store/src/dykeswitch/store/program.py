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
        config: settings.Settings,
        machine: ports.Machine,
        disk: ports.Disk,
        log: logs.Log,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.machine = machine
        self.log = log
        site = replicas.Site(config.zone, config.region, config.quorum_eligible)
        self.voter = voters.Voter(disk, machine.fault_points, rng, site)
        self.meter = frames.CallCounters()
        self._stop = asyncio.Event()
        self.stopping = False

    def ready(self) -> str | None:
        """Why this store is not ready, or nothing."""
        if self.stopping:
            return "stopping"
        if self.voter.disk_fault:
            return f"disk: {self.voter.disk_fault}"
        if not self.voter.has_vote():
            return "not seated in a member set"
        return None

    def counts(self) -> dict[str, int]:
        """What its frames carried, for whoever counts."""
        return dict(self.meter.counts)

    async def run(self) -> None:
        """Vote until told to stop."""
        if not await self._open():
            return
        call_server = frames.CallServer(self.voter.kinds(), self.log.note, self.meter)
        listener = await self.machine.net.listen(self.config.store, call_server.serve)
        server: ports.WebServer | None = None
        try:
            if self.config.web:
                more = {"disk": self.voter.disk_id}
                app = pages.app("/readyz", self.ready, more, ("store", self.config.name, self.counts))
                server = await self.machine.web.serve(self.config.web, app)
            self.log.info("started", store=self.config.store, disk=self.voter.disk_id)
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
                await self.machine.clock.sleep(self.config.clock_gap_s)
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
        while not self.voter.is_vacant():
            span = self.config.max_handover_s if self.voter.is_replaced() else self.config.handover_wait_s
            if self.voter.disk_fault or clock.now() - begun >= span:
                return
            await clock.sleep(self.config.tick_interval_s / 2)

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.log.info("settings changed")
