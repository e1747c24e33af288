"""What becomes of an operator's order, given the value that stands in the register.

- The same body under the same number, or for the same `If-Match`, is acknowledged for as long
  as it is remembered, whatever came after it.
- No second body is confirmed under a number that is remembered.
- A number below the newest is acknowledged and changes no layout.
"""

import dataclasses

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.order_memory as order_memory


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One layout that an operator wants in force."""

    # Names this order at the registry that took it.
    operation: str
    body: bytes
    digest: bytes
    # The operator's own number, where layouts are numbered.
    number: int | None = None
    # The register version that must be the newest, as `If-Match` says.
    match: int | None = None


def decide(now: register.Value, order: Order, held: int | None) -> register.Value | outcome.Failure:
    """The value that should stand after an order; `held` is the number of the one that stands."""
    if now.version_of(order.operation) is not None:
        return now
    memory = order_memory.read(now.memory, now.version)
    if order.number is not None:
        return _numbered(now, order, order.number, _with_held(memory, now, held), held)
    return _unnumbered(now, order, memory, held)


def confirmed_version(value: register.Value, order: Order) -> int:
    """The register version that a confirmed order made, or the newest if it made none."""
    made = value.version_of(order.operation)
    if made is not None:
        return made
    if order.number is None and order.match is not None:
        memory = order_memory.read(value.memory, value.version)
        if memory.by_version.digest(order.match + 1) == order.digest:
            return order.match + 1
    return value.version


def _with_held(
    memory: order_memory.OrderMemory, now: register.Value, held: int | None
) -> order_memory.OrderMemory:
    """The memory with the layout that stands, which one written without a memory lacks."""
    if held is None or memory.by_number.digest(held) is not None:
        return memory
    ledger = order_memory.Ledger(floor=max(0, held - 1))
    ledger = ledger.with_entry(held, order_memory.digest_of(now.body))
    return dataclasses.replace(memory, by_number=ledger)


def _numbered(
    now: register.Value,
    order: Order,
    number: int,
    memory: order_memory.OrderMemory,
    held: int | None,
) -> register.Value | outcome.Failure:
    confirmed = memory.by_number.digest(number)
    if confirmed is not None:
        if confirmed == order.digest:
            return now
        return outcome.failure("number_taken", f"another layout was confirmed as {number}")
    superseded = held is not None and number < held
    if superseded and not memory.by_number.knows(number):
        return now
    ledger = memory.by_number.with_entry(number, order.digest)
    packed = dataclasses.replace(memory, by_number=ledger).pack()
    if superseded:
        # It is acknowledged, so no other body may be from now on.
        return dataclasses.replace(now, memory=packed)
    if order.match is not None and order.match != now.version:
        return outcome.failure("lost_race", f"newest is {now.version}")
    return now.successor(order.body, order.operation, packed)


def _unnumbered(
    now: register.Value, order: Order, memory: order_memory.OrderMemory, held: int | None
) -> register.Value | outcome.Failure:
    if now.body == order.body:
        return now
    if order.match is not None and order.match < now.version:
        made = order.match + 1
        if memory.by_version.digest(made) == order.digest:
            return now
        if not memory.by_version.knows(made):
            return outcome.failure("too_old", f"of version {made} nothing is remembered")
    if held is not None:
        return outcome.failure("lost_race", f"layouts are numbered; the newest is {held}")
    if order.match is not None and order.match != now.version:
        return outcome.failure("lost_race", f"newest is {now.version}")
    ledger = memory.by_version.with_entry(now.version + 1, order.digest)
    packed = dataclasses.replace(memory, by_version=ledger).pack()
    return now.successor(order.body, order.operation, packed)
