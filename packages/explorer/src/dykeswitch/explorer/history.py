"""What clients asked and were told, and whether one order of all of it explains the answers.

The checker is Wing and Gong's: it looks for an order of the operations that respects the order
of time and in which a single compare-and-set register gives every answer that was given.
"""

import dataclasses
import enum
import typing


class Kind(enum.Enum):
    """What a client asks for."""

    ORDER = "order"
    READ = "read"


class Answer(enum.Enum):
    """What a client was told."""

    NONE = "no answer"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    # The register said that nothing was changed, or could not be read.
    FAILED = "failed"
    UNKNOWN = "unknown"
    READ = "read"


@dataclasses.dataclass(slots=True)
class Operation:
    """One operation of one client."""

    client: str
    number: int
    kind: Kind
    key: str
    # An order's id, the same where it is sent again, the body that it sets, and the version
    # that it must find (any, where there is none).
    order: str = ""
    body: bytes = b""
    expected: int | None = None
    # The operations that had been answered when this one was asked for.
    after: frozenset[str] = frozenset()
    answer: Answer = Answer.NONE
    version: int = 0
    read_body: bytes = b""

    @property
    def name(self) -> str:
        """The operation's name, of its client and number."""
        return f"{self.client}/{self.number}"

    def may_be_left_out(self) -> bool:
        """Whether the operation may never have taken effect, or take it after its answer."""
        return self.answer in (Answer.NONE, Answer.UNKNOWN)

    def text(self) -> str:
        """One line for a person."""
        asked = f"read {self.key}" if self.kind is Kind.READ else f"order {self.order} on {self.key}"
        if self.expected is not None:
            asked += f" if version {self.expected}"
        told = self.answer.value
        if self.answer is Answer.READ:
            told += f" version {self.version} {self.read_body!r}"
        if self.answer is Answer.ACKNOWLEDGED:
            told += f" as version {self.version}"
        return f"{self.name}: {asked}: {told}"


class History:
    """All operations of one execution."""

    def __init__(self) -> None:
        self.operations: dict[str, Operation] = {}
        # How many calls and answers there were; tells the search which events are visible.
        self.asked = 0
        self.answered = 0

    def ask(self, operation: Operation) -> Operation:
        """Note that a client asks now."""
        told = (o.name for o in self.operations.values() if not o.may_be_left_out())
        operation.after = frozenset(told)
        self.operations[operation.name] = operation
        self.asked += 1
        return operation

    def tell(self, operation: Operation, answer: Answer, version: int = 0, body: bytes = b"") -> None:
        """Note that a client is told now."""
        operation.answer = answer
        operation.version = version
        operation.read_body = body
        self.answered += 1

    def acknowledged(self) -> list[Operation]:
        """The orders that were acknowledged."""
        return [o for o in self.operations.values() if o.answer is Answer.ACKNOWLEDGED]

    def number_for(self, client: str) -> int:
        """The next number of a client's operations."""
        return sum(1 for operation in self.operations.values() if operation.client == client) + 1

    def text(self) -> str:
        """All of it in one canonical text."""
        return ";".join(f"{o.text()} after {sorted(o.after)}" for _, o in sorted(self.operations.items()))


class Register(typing.NamedTuple):
    """The sequential register that the history is held against."""

    version: int
    body: bytes
    # The version that each order made.
    made: frozenset[tuple[str, int]]


EMPTY: typing.Final = Register(0, b"", frozenset())


def apply(held: Register, operation: Operation) -> Register | None:
    """The register after an operation; nothing where its answer would have been another."""
    if operation.kind is Kind.READ:
        seen = (operation.version, operation.read_body)
        return held if operation.may_be_left_out() or seen == (held.version, held.body) else None
    made = dict(held.made).get(operation.order)
    if made is not None:
        if operation.answer is Answer.REFUSED:
            return None
        agrees = operation.answer is not Answer.ACKNOWLEDGED or operation.version == made
        return held if agrees else None
    if operation.expected is not None and operation.expected != held.version:
        return held if operation.answer is not Answer.ACKNOWLEDGED else None
    version = held.version + 1
    if operation.answer is Answer.REFUSED:
        return None
    if operation.answer is Answer.ACKNOWLEDGED and operation.version != version:
        return None
    return Register(version, operation.body, held.made | {(operation.order, version)})


def linearizable(history: History) -> bool:
    """Whether every key's operations have an order that explains their answers."""
    keys = {operation.key for operation in history.operations.values()}
    return all(_one_key([o for o in history.operations.values() if o.key == key]) for key in sorted(keys))


def _one_key(operations: list[Operation]) -> bool:
    # What failed has no effect and saw nothing: it has no place in the order.
    counted = {o.name: o for o in operations if o.answer is not Answer.FAILED}
    tried: set[tuple[frozenset[str], Register]] = set()

    def search(left: frozenset[str], held: Register) -> bool:
        if all(counted[name].may_be_left_out() for name in left):
            return True
        if (left, held) in tried:
            return False
        tried.add((left, held))
        for name in sorted(left):
            operation = counted[name]
            # One that was answered before this one was asked for must come first.
            if operation.after & left:
                continue
            after = apply(held, operation)
            if after is not None and search(left - {name}, after):
                return True
        return False

    return search(frozenset(counted), EMPTY)
