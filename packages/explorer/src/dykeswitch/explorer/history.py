"""The history of client operations and a linearizability checker.

The checker uses Wing and Gong's algorithm: it searches for an order of the operations that
respects real time and in which a single compare-and-set register gives all recorded answers.
"""

import dataclasses
import enum
import typing


class Kind(enum.Enum):
    """The kind of a client's operation."""

    ORDER = "order"
    READ = "read"


class Answer(enum.Enum):
    """The answer that a client got."""

    NONE = "no answer"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    # The register reported that nothing was changed, or that it could not be read.
    FAILED = "failed"
    UNKNOWN = "unknown"
    READ = "read"


@dataclasses.dataclass(slots=True)
class Operation:
    """An operation of a client."""

    client: str
    number: int
    kind: Kind
    key: str
    # The id of an order (the same when it is sent again), the body that it sets and the version
    # that it requires (None accepts any version).
    order: str = ""
    body: bytes = b""
    expected: int | None = None
    # The operations that had been answered when this one was requested.
    predecessors: frozenset[str] = frozenset()
    answer: Answer = Answer.NONE
    version: int = 0
    read_body: bytes = b""

    @property
    def name(self) -> str:
        """The operation's name: its client and number."""
        return f"{self.client}/{self.number}"

    def is_indeterminate(self) -> bool:
        """Return whether the operation may have no effect, or take effect after its answer."""
        return self.answer in (Answer.NONE, Answer.UNKNOWN)

    def text(self) -> str:
        """Return a line for people to read."""
        request = f"read {self.key}" if self.kind is Kind.READ else f"order {self.order} on {self.key}"
        if self.expected is not None:
            request += f" if version {self.expected}"
        answer = self.answer.value
        if self.answer is Answer.READ:
            answer += f" version {self.version} {self.read_body!r}"
        if self.answer is Answer.ACKNOWLEDGED:
            answer += f" as version {self.version}"
        return f"{self.name}: {request}: {answer}"


class History:
    """All operations of an execution."""

    def __init__(self) -> None:
        self.operations: dict[str, Operation] = {}
        # The search compares these counts to detect events that clients can observe.
        self.request_count = 0
        self.answer_count = 0

    def record_request(self, operation: Operation) -> Operation:
        """Record that a client sends a request now."""
        answered = (o.name for o in self.operations.values() if not o.is_indeterminate())
        operation.predecessors = frozenset(answered)
        self.operations[operation.name] = operation
        self.request_count += 1
        return operation

    def record_answer(
        self, operation: Operation, answer: Answer, version: int = 0, body: bytes = b""
    ) -> None:
        """Record that a client gets an answer now."""
        operation.answer = answer
        operation.version = version
        operation.read_body = body
        self.answer_count += 1

    def acknowledged(self) -> list[Operation]:
        """Return the acknowledged orders."""
        return [o for o in self.operations.values() if o.answer is Answer.ACKNOWLEDGED]

    def next_number_for(self, client: str) -> int:
        """Return the number for the next operation of a client."""
        return sum(1 for operation in self.operations.values() if operation.client == client) + 1

    def text(self) -> str:
        """Return the whole history as canonical text."""
        return ";".join(
            f"{o.text()} after {sorted(o.predecessors)}" for _, o in sorted(self.operations.items())
        )


class SequentialRegister(typing.NamedTuple):
    """The sequential register against which the history is checked."""

    version: int
    body: bytes
    # Pairs of an order and the version that it created.
    order_versions: frozenset[tuple[str, int]]


EMPTY_REGISTER: typing.Final = SequentialRegister(0, b"", frozenset())


def apply(register: SequentialRegister, operation: Operation) -> SequentialRegister | None:
    """Return the register after an operation; None if the register gives a different answer."""
    if operation.kind is Kind.READ:
        seen = (operation.version, operation.read_body)
        return register if operation.is_indeterminate() or seen == (register.version, register.body) else None
    made_version = dict(register.order_versions).get(operation.order)
    if made_version is not None:
        if operation.answer is Answer.REFUSED:
            return None
        agrees = operation.answer is not Answer.ACKNOWLEDGED or operation.version == made_version
        return register if agrees else None
    if operation.expected is not None and operation.expected != register.version:
        return register if operation.answer is not Answer.ACKNOWLEDGED else None
    version = register.version + 1
    if operation.answer is Answer.REFUSED:
        return None
    if operation.answer is Answer.ACKNOWLEDGED and operation.version != version:
        return None
    return SequentialRegister(version, operation.body, register.order_versions | {(operation.order, version)})


def linearizable(history: History) -> bool:
    """Return whether the operations on each key have an order that explains their answers."""
    keys = {operation.key for operation in history.operations.values()}
    return all(
        _is_key_linearizable([o for o in history.operations.values() if o.key == key]) for key in sorted(keys)
    )


def _is_key_linearizable(operations: list[Operation]) -> bool:
    # Failed operations have no effect and observe nothing, so they are not part of the order.
    by_name = {o.name: o for o in operations if o.answer is not Answer.FAILED}
    visited: set[tuple[frozenset[str], SequentialRegister]] = set()

    def search(remaining: frozenset[str], register: SequentialRegister) -> bool:
        if all(by_name[name].is_indeterminate() for name in remaining):
            return True
        if (remaining, register) in visited:
            return False
        visited.add((remaining, register))
        for name in sorted(remaining):
            operation = by_name[name]
            # Operations that were answered before this one was requested must precede it.
            if operation.predecessors & remaining:
                continue
            successor = apply(register, operation)
            if successor is not None and search(remaining - {name}, successor):
                return True
        return False

    return search(frozenset(by_name), EMPTY_REGISTER)
