"""The store's process."""

import asyncio
import random
import typing

import litestar

import dykeswitch.frames as frames
import dykeswitch.logs as logs
import dykeswitch.logs.counters as counters
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
        dice: random.Random,
    ) -> None:
        self.bounds = bounds
        self.machine = machine
        self.log = log
        self.voter = voters.Voter(disk, machine.points, dice)
        self.meter = frames.Tally()
        self._stop = asyncio.Event()
        self.stopping = False
        self.app = litestar.Litestar(
            route_handlers=[
                litestar.get("/healthz", sync_to_thread=False)(self._healthz),
                litestar.get("/readyz", sync_to_thread=False)(self._readyz),
                litestar.get("/-/counters", sync_to_thread=False)(self._counters),
            ],
            openapi_config=None,
            logging_config=None,
        )

    def _healthz(self) -> dict[str, str]:
        return {"state": "alive"}

    def _readyz(self) -> litestar.Response[dict[str, typing.Any]]:
        why = None
        if self.stopping:
            why = "stopping"
        elif self.voter.damaged:
            why = f"disk: {self.voter.damaged}"
        elif not self.voter.seated():
            why = "not seated in a member set"
        page: dict[str, typing.Any] = {"ready": why is None, "disk": self.voter.disk_id}
        if why is not None:
            page["why"] = why
        return litestar.Response(page, status_code=200 if why is None else 503)

    def _counters(self) -> litestar.Response[bytes]:
        data = counters.page("store", self.bounds.name, self.meter.counts)
        return litestar.Response(data, media_type="text/plain; version=0.0.4")

    async def run(self) -> None:
        """Vote until told to stop."""
        await self.voter.open()
        ear = frames.Ear(self.voter.kinds(), self.log.note, self.meter)
        listener = await self.machine.net.listen(self.bounds.store, ear.serve)
        try:
            server = await self.machine.web.serve(self.bounds.web, self.app)
            self.log.info("started", store=self.bounds.store, disk=self.voter.disk_id)
            await self._stop.wait()
            self.stopping = True
            await server.stop(1.0)
        finally:
            listener.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()
