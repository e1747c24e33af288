"""Calls between registries, and of proxies to them."""

import asyncio

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components
import dykeswitch.timeline as timelines


class MemberCalls:
    """Answers what other members ask, and asks the other registries."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts

    def kinds(self) -> dict[str, frames.Handler]:
        """The calls a registry answers, by their kinds."""
        parts = self._parts
        return {
            **parts.gossip.kinds(),
            **parts.publisher.documents.kinds(),
            **parts.lender.kinds(),
            "confirm": self._on_confirm,
            "seen": self._on_seen,
            "spans": self._on_spans,
            "heard": self._on_heard,
            "proxies": self._on_proxies,
        }

    async def ask_others(self, kind: str, body: frames.Body) -> list[frames.Body]:
        """What the other registries answer, those that do in time."""
        parts = self._parts
        addresses = list(parts.gossip.cores().values())
        found = await asyncio.gather(
            *(
                parts.call_client.call(address, kind, body, parts.config.call_timeout_s)
                for address in addresses
            )
        )
        return [result.value for result in found if isinstance(result, outcome.Success)]

    async def _on_confirm(self, body: frames.Body) -> frames.Result:
        """What a majority holds at this moment, not what we read a while ago."""
        failure = await self._parts.publisher.read_documents()
        if failure is not None:
            return failure
        # Polls carry marks: whether one is sure of the layout and of who left does not hang on them.
        gossip = self._parts.gossip
        return outcome.Success({"items": gossip.entries_for_proxy(gossip.known_position(body), marks=False)})

    async def _on_seen(self, body: frames.Body) -> frames.Result:
        """What our own probes found last, and how long ago: walls differ, spans do not."""
        now = self._parts.clock.now()
        seen = {name: [now - s.at, s.reason] for name, s in self._parts.prober.seen.items()}
        return outcome.Success({"seen": seen})

    async def _on_spans(self, body: frames.Body) -> frames.Result:
        """What our own history holds of some endpoints."""
        names = [str(name) for name in body["names"]]
        return outcome.Success({"rows": self._parts.replies.spans.of(names)})

    async def _on_heard(self, body: frames.Body) -> frames.Result:
        """Another registry heard heartbeats of these."""
        self._parts.endpoints.heard_elsewhere([str(name) for name in body["names"]])
        return outcome.Success({})

    async def _on_proxies(self, body: frames.Body) -> frames.Result:
        """What proxies said of themselves, as far as they said it to us."""
        now = self._parts.clock.now()
        entries = self._parts.timeline.all(timelines.PROXY)
        return outcome.Success({"items": [entry.to_wire(now) for entry in entries]})
