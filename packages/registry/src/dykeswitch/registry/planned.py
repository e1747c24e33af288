"""Planned pauses: added to the register and ended by operators."""

import typing

import dykeswitch.language as language
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.components as components
import dykeswitch.registry.replies as replies
import dykeswitch.registry.standing as standing

# How long a planned pause stays listed after its end.
PAUSES_KEPT_S: typing.Final = 86400.0

Edit = typing.Callable[[list[pauses.Pause]], list[pauses.Pause] | outcome.Failure]


class PlannedPauses:
    """Edits the list of planned pauses."""

    def __init__(self, parts: components.Components, readiness: standing.Readiness) -> None:
        self._parts = parts
        self._readiness = readiness
        self._operation_count = 0

    async def add(self, command: language.Pause, by: str) -> replies.Table | outcome.Failure:
        """Plan a pause of one endpoint; returns all planned pauses."""
        wall = self._parts.gossip.wall()
        name = f"p{self._parts.rng.getrandbits(32):08x}"
        begins = wall + command.in_s
        added = pauses.Pause(name, command.endpoint, begins, begins + command.for_s, command.reason, by, wall)

        def edit(current: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Failure:
            # Pauses that ended long ago are removed whenever the list is written.
            return [*(pause for pause in current if pause.ends > wall - PAUSES_KEPT_S), added]

        return await self._edit(edit)

    async def end(self, name: str) -> replies.Table | outcome.Failure:
        """Remove a planned pause by its name; returns the remaining ones."""

        def edit(current: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Failure:
            if all(pause.name != name for pause in current):
                return outcome.failure("no_such", f"no pause {name}")
            return [pause for pause in current if pause.name != name]

        return await self._edit(edit)

    async def _edit(self, edit: Edit) -> replies.Table | outcome.Failure:
        failure = await self._readiness.check_majority()
        if failure is not None:
            return failure
        parts = self._parts
        self._operation_count += 1
        op = f"{parts.config.name}/{parts.boot_id}/{documents.PAUSES}/{self._operation_count}"

        def step(current: register.Value) -> register.Value | outcome.Failure:
            if current.version_of(op) is not None:
                return current
            edited = edit(pauses.read(current.body))
            if isinstance(edited, outcome.Failure):
                return edited
            return current.successor(pauses.serialize(edited), op)

        result = await parts.proposer.change(documents.PAUSES, step)
        if isinstance(result, outcome.Failure):
            return result
        await parts.publisher.publish(documents.PAUSES, result.value)
        await parts.publisher.wait_delivered(documents.PAUSES, result.value.version)
        parts.log.info("pauses changed", version=result.value.version)
        table = parts.replies.show(language.Show("pauses"))
        assert table is not None
        return table
