"""Operators' orders: a layout is put into the register, and the newest is read from it."""

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.components as components
import dykeswitch.registry.order_memory as order_memory
import dykeswitch.registry.order_rules as order_rules
import dykeswitch.registry.standing as standing


class Orders:
    """Puts and reads layouts on behalf of operators."""

    def __init__(self, parts: components.Components, stand: standing.Standing) -> None:
        self._parts = parts
        self._standing = stand
        self._ops = 0
        # The layout that the register held last, and its number: each try asks for it again.
        self._numbered: tuple[bytes, int | None] = (b"", None)

    async def newest(self) -> outcome.Success[register.Value] | outcome.Failure:
        """The newest layout, as it was sent, from a majority."""
        failure = await self._standing.without_majority()
        if failure is not None:
            return failure
        result = await self._parts.proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Failure):
            return result
        await self._parts.publisher.publish(documents.LAYOUT, result.value)
        if not result.value.version:
            return outcome.failure("no_such", "no layout yet")
        return outcome.Success(result.value)

    async def put(self, data: bytes, want: int | None = None) -> outcome.Success[int] | outcome.Failure:
        """Take a layout as it was sent; its version in the register, once it is in force.

        What becomes of a layout that was sent before, or comes late, say the `order_rules`.
        """
        parts = self._parts
        raw = parts.adapter.layout(data)
        checked = raw if isinstance(raw, outcome.Failure) else await layouts.check_cooperatively(raw.value)
        if isinstance(checked, outcome.Failure):
            return checked
        failure = await self._standing.without_majority()
        if failure is not None:
            return failure
        kept = (
            layouts.serialize(checked.value) if isinstance(parts.adapter, adapters.DefaultAdapter) else data
        )
        order = self._order(kept, want, checked.value.number)
        result = await parts.proposer.change(documents.LAYOUT, lambda now: self._decide(now, order))
        if isinstance(result, outcome.Failure):
            return result
        await parts.publisher.publish(documents.LAYOUT, result.value)
        await parts.publisher.wait_delivered(documents.LAYOUT, result.value.version)
        version = order_rules.confirmed_version(result.value, order)
        parts.log.info("layout accepted", version=version, number=order.number)
        return outcome.Success(version)

    def _order(self, body: bytes, want: int | None, number: int | None) -> order_rules.Order:
        self._ops += 1
        operation = f"{self._parts.config.name}/{self._parts.boot_id}/{documents.LAYOUT}/{self._ops}"
        return order_rules.Order(operation, body, order_memory.digest_of(body), number, want)

    def _decide(self, now: register.Value, order: order_rules.Order) -> register.Value | outcome.Failure:
        return order_rules.decide(now, order, self._number(now.body))

    def _number(self, body: bytes) -> int | None:
        """The operator's number of a layout that the register holds."""
        if self._numbered[0] != body:
            self._numbered = (body, self._read_number(body))
        return self._numbered[1]

    def _read_number(self, body: bytes) -> int | None:
        raw = self._parts.adapter.layout(body) if body else outcome.failure("no_such")
        if isinstance(raw, outcome.Failure) or not isinstance(raw.value, dict):
            return None
        number = raw.value.get("number")
        return number if isinstance(number, int) else None
