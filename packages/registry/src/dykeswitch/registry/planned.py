"""Planned pauses: operators add them to the register and end them."""

import typing

import dykeswitch.language as language
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.components as components
import dykeswitch.registry.replies as replies
import dykeswitch.registry.standing as standing

# How long a planned pause that is over stays listed.
PAUSES_KEPT_S: typing.Final = 86400.0

Edit = typing.Callable[[list[pauses.Pause]], list[pauses.Pause] | outcome.Failure]


class PlannedPauses:
    """Changes the list of planned pauses."""

    def __init__(self, parts: components.Components, stand: standing.Standing) -> None:
        self._parts = parts
        self._standing = stand
        self._ops = 0

    async def add(self, ask: language.Pause, by: str) -> replies.Table | outcome.Failure:
        """Plan a pause of one endpoint."""
        wall = self._parts.gossip.wall()
        name = f"p{self._parts.rng.getrandbits(32):08x}"
        begins = wall + ask.in_s
        fresh = pauses.Pause(name, ask.endpoint, begins, begins + ask.for_s, ask.reason, by, wall)

        def edit(now: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Failure:
            # Those long over are let go when the list is written anyway.
            return [*(p for p in now if p.ends > wall - PAUSES_KEPT_S), fresh]

        return await self._edit(edit)

    async def end(self, name: str) -> replies.Table | outcome.Failure:
        """End a planned pause by its name."""

        def edit(now: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Failure:
            if all(p.name != name for p in now):
                return outcome.failure("no_such", f"no pause {name}")
            return [p for p in now if p.name != name]

        return await self._edit(edit)

    async def _edit(self, edit: Edit) -> replies.Table | outcome.Failure:
        failure = await self._standing.without_majority()
        if failure is not None:
            return failure
        parts = self._parts
        self._ops += 1
        op = f"{parts.config.name}/{parts.boot_id}/{documents.PAUSES}/{self._ops}"

        def step(now: register.Value) -> register.Value | outcome.Failure:
            if now.version_of(op) is not None:
                return now
            edited = edit(pauses.read(now.body))
            if isinstance(edited, outcome.Failure):
                return edited
            return now.successor(pauses.serialize(edited), op)

        result = await parts.proposer.change(documents.PAUSES, step)
        if isinstance(result, outcome.Failure):
            return result
        await parts.publisher.publish(documents.PAUSES, result.value)
        await parts.publisher.wait_delivered(documents.PAUSES, result.value.version)
        parts.log.info("pauses changed", version=result.value.version)
        found = parts.replies.show(language.Show("pauses"))
        assert found is not None
        return found
