"""Heartbeats of endpoints: taken, and passed to other cores where one leaves."""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.registry.standing as standing
import dykeswitch.timeline as timelines

# The part of a call's span in which other cores must take up that an endpoint leaves.
TELL_PART: typing.Final = 0.7

Told = outcome.Success[dict[str, object]]


class Heartbeats:
    """Answers the heartbeats of endpoints."""

    def __init__(self, parts: components.Components, stand: standing.Standing) -> None:
        self._parts = parts
        self._standing = stand
        # Calls that nobody waits for any more, held until they end.
        self._late: set[asyncio.Task[typing.Any]] = set()

    async def beat(self, raw: object) -> Told | outcome.Failure:
        """Take a heartbeat in the product's own form.

        Without a majority it is taken up, so that whoever still hears us knows of it, but not
        acknowledged: the endpoint would stay with us and fall silent for all others.
        """
        heartbeat = endpoints.read_heartbeat(raw)
        if isinstance(heartbeat, outcome.Failure):
            return heartbeat
        told = self._parts.endpoints.record_heartbeat(heartbeat.value)
        if isinstance(told, outcome.Failure):
            return told
        leaving = heartbeat.value.leaving or heartbeat.value.draining
        if not self._standing.has_majority():
            if leaving:
                self._hold(self._leaving_held(heartbeat.value.name, told))
            return outcome.failure("cut_off_registry", self._parts.config.name)
        return await self._leaving_held(heartbeat.value.name, told) if leaving else told

    def _hold(self, work: typing.Coroutine[typing.Any, typing.Any, object]) -> None:
        """Let work end by itself that nobody waits for."""
        task = asyncio.create_task(work)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _leaving_held(self, name: str, told: Told) -> Told | outcome.Failure:
        """Acknowledge that an endpoint leaves once enough other cores hold it.

        As many cores as may be lost at once could go dark the moment after: one that does not
        go must know. Too few heard in time: the endpoint is sent to another registry.
        """
        parts = self._parts
        entry = parts.timeline.get(timelines.ENDPOINT, name)
        need = min(parts.reconfiguration.worst_loss(), len(parts.proposer.members.disks()) - 1)
        if entry is None or need <= 0:
            return told
        ask: frames.Body = {"items": [entry.to_wire(parts.clock.now())], **parts.gossip.call_header()}
        addresses = list(parts.gossip.known_cores().values())
        wait = parts.config.call_timeout_s * TELL_PART
        calls = [
            asyncio.create_task(parts.call_client.call(address, "tell", ask, wait)) for address in addresses
        ]
        held = 0
        for call in asyncio.as_completed(calls):
            held += isinstance(await call, outcome.Success)
            if held >= need:
                # The rest are told all the same: those calls end by themselves.
                self._late.update(c for c in calls if not c.done())
                for late in self._late:
                    late.add_done_callback(self._late.discard)
                return told
        return outcome.failure("not_held", f"{held} of {need} other cores")
