"""Operators' orders: store a layout in the register, and read the newest one from it."""

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

    def __init__(self, parts: components.Components, readiness: standing.Readiness) -> None:
        self._parts = parts
        self._readiness = readiness
        self._operation_count = 0
        # The layout last read from the register, and its number; cached because every attempt needs it.
        self._number_cache: tuple[bytes, int | None] = (b"", None)

    async def newest(self) -> outcome.Success[register.Value] | outcome.Failure:
        """Read the newest layout from a majority, in the form in which it was sent."""
        failure = await self._readiness.check_majority()
        if failure is not None:
            return failure
        result = await self._parts.proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Failure):
            return result
        await self._parts.publisher.publish(documents.LAYOUT, result.value)
        if not result.value.version:
            return outcome.failure("no_such", "no layout yet")
        return outcome.Success(result.value)

    async def put(self, data: bytes, if_match: int | None = None) -> outcome.Success[int] | outcome.Failure:
        """Store a layout in the form in which it was sent; returns its register version once in force.

        `order_rules` decides about layouts that were sent before or arrive late.
        """
        parts = self._parts
        raw = parts.adapter.layout(data)
        checked = raw if isinstance(raw, outcome.Failure) else await layouts.check_cooperatively(raw.value)
        if isinstance(checked, outcome.Failure):
            return checked
        failure = await self._readiness.check_majority()
        if failure is not None:
            return failure
        body = (
            layouts.serialize(checked.value) if isinstance(parts.adapter, adapters.DefaultAdapter) else data
        )
        order = self._order(body, if_match, checked.value.number)
        result = await parts.proposer.change(documents.LAYOUT, lambda current: self._decide(current, order))
        if isinstance(result, outcome.Failure):
            return result
        await parts.publisher.publish(documents.LAYOUT, result.value)
        await parts.publisher.wait_delivered(documents.LAYOUT, result.value.version)
        version = order_rules.confirmed_version(result.value, order)
        parts.log.info("layout accepted", version=version, number=order.number)
        return outcome.Success(version)

    def _order(self, body: bytes, if_match: int | None, number: int | None) -> order_rules.Order:
        self._operation_count += 1
        operation = (
            f"{self._parts.config.name}/{self._parts.boot_id}/{documents.LAYOUT}/{self._operation_count}"
        )
        return order_rules.Order(operation, body, order_memory.digest_of(body), number, if_match)

    def _decide(self, current: register.Value, order: order_rules.Order) -> register.Value | outcome.Failure:
        return order_rules.decide(current, order, self._number(current.body))

    def _number(self, body: bytes) -> int | None:
        """The operator's own number of the layout stored in the register."""
        if self._number_cache[0] != body:
            self._number_cache = (body, self._read_number(body))
        return self._number_cache[1]

    def _read_number(self, body: bytes) -> int | None:
        raw = self._parts.adapter.layout(body) if body else outcome.failure("no_such")
        if isinstance(raw, outcome.Failure) or not isinstance(raw.value, dict):
            return None
        number = raw.value.get("number")
        return number if isinstance(number, int) else None
