"""Heartbeats of endpoints: recorded, and passed on to other cores when an endpoint leaves."""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.registry.standing as standing
import dykeswitch.timeline as timelines

# The share of a call's timeout within which other cores must confirm that an endpoint leaves.
TELL_TIMEOUT_SHARE: typing.Final = 0.7

Acknowledgement = outcome.Success[dict[str, object]]


class Heartbeats:
    """Answers the heartbeats of endpoints."""

    def __init__(self, parts: components.Components, readiness: standing.Readiness) -> None:
        self._parts = parts
        self._readiness = readiness
        # Calls whose results are no longer awaited, kept referenced until they finish.
        self._background_calls: set[asyncio.Task[typing.Any]] = set()

    async def handle(self, raw: object) -> Acknowledgement | outcome.Failure:
        """Handle a heartbeat in this product's own format.

        Without a majority the heartbeat is recorded, so that members which still hear this
        registry learn of it, but it is not acknowledged: the endpoint would go on sending its
        heartbeats here and seem silent to all others.
        """
        heartbeat = endpoints.read_heartbeat(raw)
        if isinstance(heartbeat, outcome.Failure):
            return heartbeat
        acknowledgement = self._parts.endpoints.record_heartbeat(heartbeat.value)
        if isinstance(acknowledgement, outcome.Failure):
            return acknowledgement
        leaving = heartbeat.value.leaving or heartbeat.value.draining
        if not self._readiness.has_majority():
            if leaving:
                self._run_in_background(self._acknowledge_leaving(heartbeat.value.name, acknowledgement))
            return outcome.failure("cut_off_registry", self._parts.config.name)
        return (
            await self._acknowledge_leaving(heartbeat.value.name, acknowledgement)
            if leaving
            else acknowledgement
        )

    def _run_in_background(self, coroutine: typing.Coroutine[typing.Any, typing.Any, object]) -> None:
        """Run a coroutine in the background, without awaiting its result."""
        task = asyncio.create_task(coroutine)
        self._background_calls.add(task)
        task.add_done_callback(self._background_calls.discard)

    async def _acknowledge_leaving(
        self, name: str, acknowledgement: Acknowledgement
    ) -> Acknowledgement | outcome.Failure:
        """Acknowledge that an endpoint leaves once enough other cores have recorded it.

        As many cores as may be lost at once could fail right after the acknowledgement, so one
        more than that must know. If too few confirm in time, the result is a failure that sends
        the endpoint to another registry.
        """
        parts = self._parts
        entry = parts.timeline.get(timelines.ENDPOINT, name)
        required = min(parts.reconfiguration.worst_loss(), len(parts.proposer.members.disks()) - 1)
        if entry is None or required <= 0:
            return acknowledgement
        request: frames.Body = {"items": [entry.to_wire(parts.clock.now())], **parts.gossip.call_header()}
        addresses = list(parts.gossip.known_cores().values())
        timeout_s = parts.config.call_timeout_s * TELL_TIMEOUT_SHARE
        calls = [
            asyncio.create_task(parts.call_client.call(address, "tell", request, timeout_s))
            for address in addresses
        ]
        confirmed = 0
        for call in asyncio.as_completed(calls):
            confirmed += isinstance(await call, outcome.Success)
            if confirmed >= required:
                # The remaining cores are informed too: their calls go on in the background.
                self._background_calls.update(remaining for remaining in calls if not remaining.done())
                for task in self._background_calls:
                    task.add_done_callback(self._background_calls.discard)
                return acknowledgement
        return outcome.failure("not_held", f"{confirmed} of {required} other cores")
