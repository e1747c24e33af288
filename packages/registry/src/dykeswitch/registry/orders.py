"""Operators' orders: a layout is put into the register, and the newest is read from it."""

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.registry.components as components


class Orders:
    """Puts and reads layouts on behalf of operators."""

    def __init__(self, parts: components.Components) -> None:
        self._parts = parts
        self._ops = 0

    async def newest(self) -> outcome.Good[register.Value] | outcome.Bad:
        """The newest layout, as it was sent, from a majority."""
        result = await self._parts.proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Bad):
            return result
        await self._parts.publisher.publish(documents.LAYOUT, result.value)
        if not result.value.version:
            return outcome.bad("no_such", "no layout yet")
        return outcome.Good(result.value)

    async def put(self, data: bytes, want: int | None = None) -> outcome.Good[int] | outcome.Bad:
        """Take a layout as it was sent; its version in the register, once it is in force.

        A numbered layout moves the register only if its number is higher than the one that
        stands; an older or equal one is acknowledged and changes nothing.
        """
        parts = self._parts
        raw = parts.adapter.layout(data)
        checked = raw if isinstance(raw, outcome.Bad) else await layouts.check_gently(raw.value)
        if isinstance(checked, outcome.Bad):
            return checked
        kept = layouts.pack(checked.value) if isinstance(parts.adapter, adapters.Own) else data
        result = await self._change(kept, want, checked.value.number)
        if isinstance(result, outcome.Bad):
            return result
        await parts.publisher.publish(documents.LAYOUT, result.value)
        await parts.publisher.handed(documents.LAYOUT, result.value.version)
        parts.log.info("layout accepted", version=result.value.version, number=checked.value.number)
        return outcome.Good(result.value.version)

    def _number(self, body: bytes) -> int | None:
        """The operator's number of a layout that the register holds."""
        raw = self._parts.adapter.layout(body) if body else outcome.bad("no_such")
        if isinstance(raw, outcome.Bad) or not isinstance(raw.value, dict):
            return None
        number = raw.value.get("number")
        return number if isinstance(number, int) else None

    async def _change(self, data: bytes, want: int | None, number: int | None) -> proposers.Read:
        self._ops += 1
        op = f"{self._parts.bounds.name}/{self._parts.boot}/{documents.LAYOUT}/{self._ops}"

        def step(now: register.Value) -> register.Value | outcome.Bad:
            # Ours already, or the same body by a repeat after an unknown outcome.
            if now.made(op) is not None or now.body == data:
                return now
            held = self._number(now.body)
            if held is not None and number is None:
                return outcome.bad("lost_race", f"layouts are numbered; the newest is {held}")
            if held is not None and number is not None and number <= held:
                return now
            if want is not None and now.version != want:
                return outcome.bad("lost_race", f"newest is {now.version}")
            return now.next(data, op)

        result = await self._parts.proposer.change(documents.LAYOUT, step)
        if isinstance(result, outcome.Good):
            version = result.value.made(op)
            # Another change may have gone on top of ours before we knew: ours stands
            # under its own version.
            if version is not None and version != result.value.version:
                return outcome.Good(register.Value(version, data))
        return result
