"""The store process."""

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
        """Why this store is not ready, or None if it is."""
        if self.stopping:
            return "stopping"
        if self.voter.disk_fault:
            return f"disk: {self.voter.disk_fault}"
        if not self.voter.has_vote():
            return "no vote in a member set"
        return None

    def counts(self) -> dict[str, int]:
        """Counters of the calls that this store has answered."""
        return dict(self.meter.counts)

    async def run(self) -> None:
        """Serves the register until asked to stop."""
        if not await self._open():
            return
        call_server = frames.CallServer(self.voter.kinds(), self.log.note, self.meter)
        listener = await self.machine.net.listen(self.config.store, call_server.serve)
        server: ports.WebServer | None = None
        try:
            if self.config.web:
                details = {"disk": self.voter.disk_id}
                app = pages.app("/readyz", self.ready, details, ("store", self.config.name, self.counts))
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
        """Reads the disk, retrying while it does not work; returns False if asked to stop before."""
        stopped = asyncio.create_task(self._stop.wait())
        try:
            while not self._stop.is_set():
                opening = asyncio.create_task(self.voter.open())
                # A stalled disk must not delay an orderly stop.
                await asyncio.wait([opening, stopped], return_when=asyncio.FIRST_COMPLETED)
                if not opening.done():
                    opening.cancel()
                    return False
                try:
                    await opening
                    return True
                except OSError as error:
                    self.log.warning("disk does not open", why=str(error))
                await self.machine.clock.sleep(self.config.clock_gap_s)
            return False
        finally:
            stopped.cancel()

    async def _hand_over(self) -> None:
        """Continues to vote for a while, so that another store can take over the vote.

        A store can't know whether it will be started again. Its vote goes to a vacant store that is
        waiting for one; if none takes it in time, this store keeps its vote and stops.
        """
        self.voter.leaving = True
        clock = self.machine.clock
        started_at = clock.now()
        while not self.voter.is_vacant():
            timeout_s = (
                self.config.max_handover_s if self.voter.is_replaced() else self.config.handover_wait_s
            )
            if self.voter.disk_fault or clock.now() - started_at >= timeout_s:
                return
            await clock.sleep(self.config.tick_interval_s / 2)

    def stop(self) -> None:
        """Requests an orderly stop."""
        self._stop.set()

    def reload_settings(self, config: settings.Settings) -> None:
        """Accepts changed settings.

        A running process can only change its seeds, which a store does not use; the other settings
        apply from the next start.
        """
        self.log.info("settings changed")
