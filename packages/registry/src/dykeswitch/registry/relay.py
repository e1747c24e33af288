"""Documents between registries: each holds what another named, and says which proxies took it.

Proxies then fetch a document from the registry of their own zone, so that it crosses between zones
once for each zone rather than once for each proxy.
"""

import asyncio

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.components as components
import dykeswitch.registry.publisher as publishers
import dykeswitch.timeline as timelines


class DocumentRelay:
    """Fetches documents that other registries named, and tells them of proxies that hold them."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        self._documents = parts.publisher.documents
        self._documents.on_delivered = self._report_delivered
        # Calls that nobody waits for, held until they end.
        self._pending: set[asyncio.Task[frames.Result]] = set()

    def kinds(self) -> dict[str, frames.Handler]:
        """The calls answered here, by their kinds."""
        return {"handed": self._on_delivered}

    def _report_delivered(self, name: str, version: int, proxy: str) -> None:
        """Tell the registry that named a document of the first proxies that we handed it to."""
        if len(self._documents.delivered[name, version]) > publishers.HANDED:
            return
        parts = self._parts
        named = parts.timeline.get(timelines.DOCUMENT, name)
        address = None if named is None else parts.gossip.known_cores().get(named.stamp[1])
        if address is None:
            return
        told: frames.Body = {"name": name, "version": version, "proxy": proxy}
        call = asyncio.create_task(
            parts.call_client.call(address, "handed", told, parts.config.call_timeout_s)
        )
        self._pending.add(call)
        call.add_done_callback(self._pending.discard)

    async def _on_delivered(self, body: frames.Body) -> frames.Result:
        """Another registry handed a document that we named to a proxy."""
        self._documents.note_delivered(str(body["name"]), int(body["version"]), str(body["proxy"]))
        return outcome.Success({})

    async def keep_fetched(self) -> None:
        """Fetch a document as soon as another registry names it, so that our proxies can have it of us."""
        parts = self._parts
        while True:
            async with parts.timeline.changed:
                await ports.wait_for(
                    parts.timeline.changed, lambda: bool(self._documents.outdated()), parts.config.hold_s
                )
            if self._documents.outdated() and not await self._fetch():
                await parts.clock.sleep(parts.config.tick_interval_s)

    async def _fetch(self) -> bool:
        """Fetch what we are behind on, from whoever named it first of all."""
        cores = self._parts.gossip.cores()
        names = [entry.stamp[1] for entry in self._parts.timeline.all(timelines.DOCUMENT)]
        first = [cores[name] for name in names if name in cores]
        addresses = list(dict.fromkeys([*first, *cores.values()]))
        return await self._documents.catch_up(addresses)
