"""Readiness of a registry: whether it is stopping, and how long ago it read from a majority."""

import asyncio
import typing

import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components

# The share of a call's timeout within which a registry without a recent majority tries to read one.
READ_TIMEOUT_SHARE: typing.Final = 0.5


class Readiness:
    """Reports whether this registry may answer on behalf of the fleet."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        self.stopping = False

    def has_majority(self) -> bool:
        """Whether a majority of stores was read within the last `drain_s`.

        Without one, other registries may make decisions that this one does not know of.
        """
        age_s = self._parts.clock.now() - self._parts.publisher.majority_read_at
        return age_s <= self._parts.config.drain_s

    async def check_majority(self) -> outcome.Failure | None:
        """Return a failure if there is no majority.

        It does so quickly, because an operator tries another registry after a second.
        """
        if self.has_majority():
            return None
        try:
            async with asyncio.timeout(self._parts.config.call_timeout_s * READ_TIMEOUT_SHARE):
                return await self._parts.publisher.read_documents()
        except TimeoutError:
            return outcome.failure("no_majority", "no majority of stores was read recently")

    def unready_reason(self) -> str | None:
        """The reason why this registry is not ready, or None if it is."""
        if self.stopping:
            return "stopping"
        if not self.has_majority():
            return "no majority of stores"
        return None

    def freshness(self) -> dict[str, typing.Any]:
        """How old this registry's data may be, and whether it has a majority."""
        parts = self._parts
        now = parts.clock.now()
        majority_at = parts.publisher.majority_read_at
        age_s = round(now - majority_at, 2) if majority_at > 0 else None
        isolated = now - parts.gossip.last_heard_at > parts.config.drain_s
        return {
            "by": parts.config.name,
            "majority": self.has_majority() and not self.stopping,
            "majority_read_s_ago": age_s,
            "cut_off": isolated,
        }
