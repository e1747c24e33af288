"""Rules for the result of an operator's order, given the current value of the register.

- The same body under the same number, or with the same `If-Match`, is acknowledged for as long
  as it is remembered, whatever was stored after it.
- No second body is confirmed under a number that is remembered.
- A number below the newest is acknowledged but doesn't change the layout.
"""

import dataclasses

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.order_memory as order_memory


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One layout that an operator wants to be in force."""

    # Identifies this order; assigned by the registry that received it.
    operation: str
    body: bytes
    digest: bytes
    # The operator's own number, if layouts are numbered.
    number: int | None = None
    # The register version that must be the newest, as `If-Match` says.
    match: int | None = None


def decide(
    current: register.Value, order: Order, current_number: int | None
) -> register.Value | outcome.Failure:
    """The value the register should have after an order; `current_number` is the stored layout's number."""
    if current.version_of(order.operation) is not None:
        return current
    memory = order_memory.read(current.memory, current.version)
    if order.number is not None:
        return _numbered(
            current,
            order,
            order.number,
            _with_current_layout(memory, current, current_number),
            current_number,
        )
    return _unnumbered(current, order, memory, current_number)


def confirmed_version(value: register.Value, order: Order) -> int:
    """The register version that a confirmed order created, or the newest version if it created none."""
    version = value.version_of(order.operation)
    if version is not None:
        return version
    if order.number is None and order.match is not None:
        memory = order_memory.read(value.memory, value.version)
        if memory.by_version.digest(order.match + 1) == order.digest:
            return order.match + 1
    return value.version


def _with_current_layout(
    memory: order_memory.OrderMemory, current: register.Value, current_number: int | None
) -> order_memory.OrderMemory:
    """The memory with the current layout added, if that was stored before the register had a memory."""
    if current_number is None or memory.by_number.digest(current_number) is not None:
        return memory
    ledger = order_memory.Ledger(floor=max(0, current_number - 1))
    ledger = ledger.with_entry(current_number, order_memory.digest_of(current.body))
    return dataclasses.replace(memory, by_number=ledger)


def _numbered(
    current: register.Value,
    order: Order,
    number: int,
    memory: order_memory.OrderMemory,
    current_number: int | None,
) -> register.Value | outcome.Failure:
    confirmed = memory.by_number.digest(number)
    if confirmed is not None:
        if confirmed == order.digest:
            return current
        return outcome.failure("number_taken", f"another layout was confirmed as number {number}")
    superseded = current_number is not None and number < current_number
    if superseded and not memory.by_number.knows(number):
        return current
    ledger = memory.by_number.with_entry(number, order.digest)
    memory_bytes = dataclasses.replace(memory, by_number=ledger).pack()
    if superseded:
        # This body is now acknowledged under its number, so no other body may be.
        return dataclasses.replace(current, memory=memory_bytes)
    if order.match is not None and order.match != current.version:
        return outcome.failure("lost_race", f"newest version is {current.version}")
    return current.successor(order.body, order.operation, memory_bytes)


def _unnumbered(
    current: register.Value, order: Order, memory: order_memory.OrderMemory, current_number: int | None
) -> register.Value | outcome.Failure:
    if current.body == order.body:
        return current
    if order.match is not None and order.match < current.version:
        version = order.match + 1
        if memory.by_version.digest(version) == order.digest:
            return current
        if not memory.by_version.knows(version):
            return outcome.failure("too_old", f"version {version} is older than the remembered orders")
    if current_number is not None:
        return outcome.failure("lost_race", f"layouts are numbered; the newest number is {current_number}")
    if order.match is not None and order.match != current.version:
        return outcome.failure("lost_race", f"newest version is {current.version}")
    ledger = memory.by_version.with_entry(current.version + 1, order.digest)
    memory_bytes = dataclasses.replace(memory, by_version=ledger).pack()
    return current.successor(order.body, order.operation, memory_bytes)
