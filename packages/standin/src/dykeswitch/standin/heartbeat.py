"""Heartbeats of a stand-in endpoint to the registries."""

import asyncio
import json
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.slots as slots

# How often leaving is said anew while no registry answers, and the pause between.
LEAVE_TRIES: typing.Final = 9
LEAVE_PAUSE_S: typing.Final = 0.2
# Who has no slots guesses its load as a part of so many.
USUAL_SLOTS: typing.Final = 16
BEAT_WAIT_S: typing.Final = 1.0


class Announcer:
    """Tells the registries of one endpoint: that it is there, how loaded it is, that it leaves."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        machine: ports.Machine,
        registries: typing.Callable[[], typing.Sequence[str]],
        rng: random.Random,
        interval_s: float,
        profile: profiles.EndpointProfile,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self._machine = machine
        self._clock = machine.clock
        self._registries = registries
        self._rng = rng
        self.interval_s = interval_s
        self._profile = profile
        self.slots = slots.Slots(profile.slots, profile.queue)
        self.beating = True
        self.draining = False
        self.refused = ""
        self._beats = 0
        # When it was opened.
        self._since = 0.0
        self._late: set[asyncio.Task[ports.Response | None]] = set()

    async def send_heartbeats(self) -> None:
        """Send heartbeats at the interval, until stopped."""
        turn = self._rng.randrange(1000)
        while self.beating:
            span = self.interval_s
            profile = self._profile
            if profile.late_share and self._rng.random() < profile.late_share:
                # On its way for a while, during which later ones may overtake it.
                page, wait = self.page(), self._rng.uniform(0.0, profile.late_s)
                task = asyncio.create_task(self._send_late(page, turn, wait))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
            elif await self.beat(turn) is None:
                # Another registry may be there: ask it soon.
                turn += 1
                span = self.interval_s / 4
            await self._clock.sleep(span)

    def page(self, leaving: bool = False) -> dict[str, typing.Any]:
        """One more beat, as it would be sent now."""
        self._beats += 1
        profile = self._profile
        # Who has slots is as burdened as they are; else it is a guess.
        many = profile.slots or USUAL_SLOTS
        page: dict[str, typing.Any] = {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "burden": round((self.slots.running + self.slots.waiting) / many, 3),
            "interval_s": self.interval_s,
        }
        if leaving:
            page["leaving"] = True
        if profile.tells_more:
            left = max(0.0, self._since + profile.warm_s - self._clock.now())
            page |= {"count": self._beats, "warm_s": round(left, 3), "draining": self.draining}
            if profile.slots is not None:
                page["slots"] = profile.slots
        return page

    async def send(self, page: dict[str, typing.Any], turn: int) -> ports.Response | None:
        """One beat to one registry; its answer, if there was any and the registry is at work."""
        addresses = self._registries()
        try:
            reply = await self._machine.web.request(
                "POST",
                addresses[turn % len(addresses)],
                "/v1/beat",
                [("content-type", "application/json")],
                json.dumps(page).encode(),
                BEAT_WAIT_S,
            )
        except (OSError, TimeoutError):
            return None
        if reply.status == 409:
            self.refused = json.loads(reply.body).get("why", "")
        return reply if reply.status < 500 else None

    async def _send_late(self, page: dict[str, typing.Any], turn: int, wait: float) -> ports.Response | None:
        await self._clock.sleep(wait)
        return await self.send(page, turn)

    async def beat(self, turn: int, leaving: bool = False) -> ports.Response | None:
        """One beat to one registry."""
        return await self.send(self.page(leaving), turn)

    async def drain(self) -> bool:
        """Say in a beat that it is leaving soon, and serve on; whether a registry took it up."""
        self.draining = True
        for turn in range(LEAVE_TRIES):
            reply = await self.beat(turn)
            if reply is not None:
                return reply.status == 200
            await self._clock.sleep(LEAVE_PAUSE_S)
        return False

    async def leave(self) -> bool:
        """Say that we leave, to whichever registry hears it."""
        self.beating = False
        for turn in range(LEAVE_TRIES):
            if await self.beat(turn, leaving=True) is not None:
                return True
            await self._clock.sleep(LEAVE_PAUSE_S)
        return False
