"""Heartbeats of endpoints: taken, and passed to other cores where one leaves."""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.timeline as timeline

# The part of a call's span in which other cores must take up that an endpoint leaves.
TELL_PART: typing.Final = 0.7

Told = outcome.Good[dict[str, object]]


class Heartbeats:
    """Answers the heartbeats of endpoints."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        # Calls that nobody waits for any more, held until they end.
        self._late: set[asyncio.Task[frames.Result]] = set()

    async def beat(self, raw: object) -> Told | outcome.Bad:
        """Take a heartbeat in the product's own form."""
        beat = endpoints.read_beat(raw)
        if isinstance(beat, outcome.Bad):
            return beat
        told = self._parts.endpoints.beat(beat.value)
        if isinstance(told, outcome.Good) and (beat.value.leaving or beat.value.draining):
            return await self._leaving_held(beat.value.name, told)
        return told

    async def _leaving_held(self, name: str, told: Told) -> Told | outcome.Bad:
        """Acknowledge that an endpoint leaves once enough other cores hold it.

        As many cores as may be lost at once could go dark the moment after: one that does not
        go must know. Too few heard in time: the endpoint is sent to another registry.
        """
        parts = self._parts
        entry = parts.line.get(timeline.ENDPOINT, name)
        need = min(parts.bounds.cores_lost, len(parts.proposer.members.disks()) - 1)
        if entry is None or need <= 0:
            return told
        ask: frames.Body = {"items": [entry.wire(parts.clock.now())], **parts.spread.head()}
        addresses = list(parts.spread.known_cores().values())
        wait = parts.bounds.call_s * TELL_PART
        calls = [asyncio.create_task(parts.caller.ask(address, "tell", ask, wait)) for address in addresses]
        held = 0
        for call in asyncio.as_completed(calls):
            held += isinstance(await call, outcome.Good)
            if held >= need:
                # The rest are told all the same: those calls end by themselves.
                self._late.update(c for c in calls if not c.done())
                for late in self._late:
                    late.add_done_callback(self._late.discard)
                return told
        return outcome.bad("not_held", f"{held} of {need} other cores")
