"""Where a registry stands: stopping, and how long ago it read from a majority."""

import asyncio
import typing

import dykeswitch.outcome as outcome
import dykeswitch.registry.components as components

# The part of a call's span in which a registry that had no majority lately looks for one.
LOOK_PART: typing.Final = 0.5


class Standing:
    """Tells whether this registry may speak for the fleet."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        self.stopping = False

    def has_majority(self) -> bool:
        """Whether a majority of stores was read within the last `drain_s`.

        Without one the other registries may know, and decide, what this one does not.
        """
        age = self._parts.clock.now() - self._parts.publisher.majority_at
        return age <= self._parts.config.drain_s

    async def without_majority(self) -> outcome.Failure | None:
        """Say soon that there is no majority: an operator waits a second, and goes on elsewhere."""
        if self.has_majority():
            return None
        try:
            async with asyncio.timeout(self._parts.config.call_timeout_s * LOOK_PART):
                return await self._parts.publisher.read_documents()
        except TimeoutError:
            return outcome.failure("no_majority", "not heard of for a while")

    def unready(self) -> str | None:
        """Why this registry is not ready; nothing if it is."""
        if self.stopping:
            return "stopping"
        if not self.has_majority():
            return "no majority of stores"
        return None

    def fresh(self) -> dict[str, typing.Any]:
        """How old what we say may be, and whether we speak with a majority behind us."""
        parts = self._parts
        now = parts.clock.now()
        majority_at = parts.publisher.majority_at
        age = round(now - majority_at, 2) if majority_at > 0 else None
        alone = now - parts.gossip.last_heard_at > parts.config.drain_s
        return {
            "by": parts.config.name,
            "majority": self.has_majority() and not self.stopping,
            "majority_read_s_ago": age,
            "cut_off": alone,
        }
