"""Heartbeats of a stand-in endpoint to the registries."""

import asyncio
import json
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.slots as slots

# How often leaving is reported while no registry answers, and the pause between two attempts.
LEAVE_ATTEMPTS: typing.Final = 9
LEAVE_PAUSE_S: typing.Final = 0.2
# An endpoint without a limit of slots reports its load as a share of this many.
ASSUMED_SLOTS: typing.Final = 16
HEARTBEAT_TIMEOUT_S: typing.Final = 1.0


class Announcer:
    """Reports one endpoint to the registries: that it is up, how loaded it is, that it leaves."""

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
        self.heartbeats_enabled = True
        self.draining = False
        # Why a registry refused the last heartbeat that was refused.
        self.refusal = ""
        self._heartbeat_count = 0
        self._opened_at = 0.0
        self._delayed: set[asyncio.Task[ports.Response | None]] = set()

    async def send_heartbeats(self) -> None:
        """Send heartbeats at the interval, until stopped."""
        turn = self._rng.randrange(1000)
        while self.heartbeats_enabled:
            pause_s = self.interval_s
            profile = self._profile
            if profile.late_share and self._rng.random() < profile.late_share:
                # Delayed as on a slow network, so that later heartbeats may overtake it.
                body, delay_s = self.heartbeat_body(), self._rng.uniform(0.0, profile.late_s)
                task = asyncio.create_task(self._post_delayed(body, turn, delay_s))
                self._delayed.add(task)
                task.add_done_callback(self._delayed.discard)
            elif await self.send_heartbeat(turn) is None:
                # Try the next registry soon: this one may be down.
                turn += 1
                pause_s = self.interval_s / 4
            await self._clock.sleep(pause_s)

    def heartbeat_body(self, leaving: bool = False) -> dict[str, typing.Any]:
        """Count one more heartbeat and return its body as of now."""
        self._heartbeat_count += 1
        profile = self._profile
        # The load is the used share of the slots, or an estimate if there is no limit.
        slot_count = profile.slots or ASSUMED_SLOTS
        body: dict[str, typing.Any] = {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "burden": round((self.slots.running + self.slots.waiting) / slot_count, 3),
            "interval_s": self.interval_s,
        }
        if leaving:
            body["leaving"] = True
        if profile.tells_more:
            left_s = max(0.0, self._opened_at + profile.warm_s - self._clock.now())
            body |= {"count": self._heartbeat_count, "warm_s": round(left_s, 3), "draining": self.draining}
            if profile.slots is not None:
                body["slots"] = profile.slots
        return body

    async def post(self, body: dict[str, typing.Any], turn: int) -> ports.Response | None:
        """Post one heartbeat to one registry; return None if there is no response or it is a 5xx."""
        addresses = self._registries()
        try:
            response = await self._machine.web.request(
                "POST",
                addresses[turn % len(addresses)],
                "/v1/beat",
                [("content-type", "application/json")],
                json.dumps(body).encode(),
                HEARTBEAT_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            return None
        if response.status == 409:
            self.refusal = json.loads(response.body).get("why", "")
        return response if response.status < 500 else None

    async def _post_delayed(
        self, body: dict[str, typing.Any], turn: int, delay_s: float
    ) -> ports.Response | None:
        await self._clock.sleep(delay_s)
        return await self.post(body, turn)

    async def send_heartbeat(self, turn: int, leaving: bool = False) -> ports.Response | None:
        """Send one heartbeat to one registry."""
        return await self.post(self.heartbeat_body(leaving), turn)

    async def drain(self) -> bool:
        """Report that the endpoint will leave soon, and serve on; return whether a registry accepted it."""
        self.draining = True
        for turn in range(LEAVE_ATTEMPTS):
            response = await self.send_heartbeat(turn)
            if response is not None:
                return response.status == 200
            await self._clock.sleep(LEAVE_PAUSE_S)
        return False

    async def leave(self) -> bool:
        """Report that the endpoint leaves, to any registry; return whether one answered."""
        self.heartbeats_enabled = False
        for turn in range(LEAVE_ATTEMPTS):
            if await self.send_heartbeat(turn, leaving=True) is not None:
                return True
            await self._clock.sleep(LEAVE_PAUSE_S)
        return False
