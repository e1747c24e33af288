"""Relay of documents between registries: each fetches what another one announced.

Proxies then fetch a document from the registry of their own zone, so that it crosses between zones
once for each zone rather than once for each proxy. A registry reports the proxies that it
delivered a document to, so that the announcing one knows how far it has spread.
"""

import asyncio

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.components as components
import dykeswitch.registry.publisher as publishers
import dykeswitch.timeline as timelines


class DocumentRelay:
    """Fetches documents that other registries announced, and reports to them which proxies have them."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        self._documents = parts.publisher.documents
        self._documents.on_delivered = self._report_delivered
        # Calls whose results are not awaited, kept referenced until they finish.
        self._pending: set[asyncio.Task[frames.Result]] = set()

    def kinds(self) -> dict[str, frames.Handler]:
        """The handlers of the calls answered here, by kind."""
        return {"handed": self._on_delivered}

    def _report_delivered(self, name: str, version: int, proxy: str) -> None:
        """Report the first proxies that got a document here to the registry that announced it."""
        if len(self._documents.delivered[name, version]) > publishers.MIN_DELIVERIES:
            return
        parts = self._parts
        announced = parts.timeline.get(timelines.DOCUMENT, name)
        address = None if announced is None else parts.gossip.known_cores().get(announced.stamp[1])
        if address is None:
            return
        request: frames.Body = {"name": name, "version": version, "proxy": proxy}
        call = asyncio.create_task(
            parts.call_client.call(address, "handed", request, parts.config.call_timeout_s)
        )
        self._pending.add(call)
        call.add_done_callback(self._pending.discard)

    async def _on_delivered(self, body: frames.Body) -> frames.Result:
        """Record that another registry delivered a document that this one announced to a proxy."""
        self._documents.note_delivered(str(body["name"]), int(body["version"]), str(body["proxy"]))
        return outcome.Success({})

    async def fetch_loop(self) -> None:
        """Fetch each document as soon as another registry announces it, to serve it to proxies."""
        parts = self._parts
        while True:
            async with parts.timeline.changed:
                await ports.wait_for(
                    parts.timeline.changed, lambda: bool(self._documents.outdated()), parts.config.hold_s
                )
            if self._documents.outdated() and not await self._fetch():
                await parts.clock.sleep(parts.config.tick_interval_s)

    async def _fetch(self) -> bool:
        """Fetch outdated documents, preferably from the registry that announced them."""
        cores = self._parts.gossip.cores()
        names = [entry.stamp[1] for entry in self._parts.timeline.all(timelines.DOCUMENT)]
        first = [cores[name] for name in names if name in cores]
        addresses = list(dict.fromkeys([*first, *cores.values()]))
        return await self._documents.catch_up(addresses)
