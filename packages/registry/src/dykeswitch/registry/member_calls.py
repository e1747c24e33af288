"""Calls between registries, and from proxies to registries."""

import asyncio

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components
import dykeswitch.timeline as timelines


class MemberCalls:
    """Answers calls of other members, and calls the other registries."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts

    def kinds(self) -> dict[str, frames.Handler]:
        """The handlers of the calls that a registry answers, by kind."""
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

    async def call_others(self, kind: str, body: frames.Body) -> list[frames.Body]:
        """Call all other registries; returns the replies that arrive in time."""
        parts = self._parts
        addresses = list(parts.gossip.cores().values())
        results = await asyncio.gather(
            *(
                parts.call_client.call(address, kind, body, parts.config.call_timeout_s)
                for address in addresses
            )
        )
        return [result.value for result in results if isinstance(result, outcome.Success)]

    async def _on_confirm(self, body: frames.Body) -> frames.Result:
        """Report what a majority stores now, rather than what this registry read earlier."""
        failure = await self._parts.publisher.read_documents()
        if failure is not None:
            return failure
        # Marks are left out, since polls carry them: confirming the layout and departures needs none.
        gossip = self._parts.gossip
        return outcome.Success({"items": gossip.entries_for_proxy(gossip.known_position(body), marks=False)})

    async def _on_seen(self, body: frames.Body) -> frames.Result:
        """Report the latest probe results of this registry.

        Their ages are sent rather than their times, because wall clocks differ between machines.
        """
        now = self._parts.clock.now()
        seen = {
            name: [now - result.finished_at, result.reason]
            for name, result in self._parts.prober.results.items()
        }
        return outcome.Success({"seen": seen})

    async def _on_spans(self, body: frames.Body) -> frames.Result:
        """Report this registry's history of some endpoints."""
        names = [str(name) for name in body["names"]]
        return outcome.Success({"rows": self._parts.replies.history.of(names)})

    async def _on_heard(self, body: frames.Body) -> frames.Result:
        """Record that another registry heard heartbeats of some endpoints."""
        self._parts.endpoints.heard_elsewhere([str(name) for name in body["names"]])
        return outcome.Success({})

    async def _on_proxies(self, body: frames.Body) -> frames.Result:
        """Report the entries of the proxies known to this registry."""
        now = self._parts.clock.now()
        entries = self._parts.timeline.all(timelines.PROXY)
        return outcome.Success({"items": [entry.to_wire(now) for entry in entries]})
