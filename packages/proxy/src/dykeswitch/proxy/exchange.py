"""The exchange: a record in a table that passes are run over."""

import asyncio
import dataclasses
import enum
import typing

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

TRAIL_MOST: typing.Final = 32
TEXT_MOST: typing.Final = 200
# When, after the exchange's begin; what was done; why.
Step = tuple[float, str, str]


class Stage(enum.Enum):
    """The pass that an exchange waits for."""

    MATCH = "match"
    SELECT = "select"
    DELIVER = "deliver"
    JUDGE = "judge"
    RETRY = "retry"
    REPLY = "reply"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Answer:
    """An endpoint's answer that may go to the caller: whole, or begun and still coming.

    An attempt that fails leaves none, however far its answer had come.
    """

    head: connections.ResponseHead
    # The body, or as much of it as is held before it is passed on.
    held: bytes
    # What comes after that; nothing where the body is held whole.
    rest: typing.AsyncIterator[bytes] | None


@dataclasses.dataclass(slots=True)
class Exchange:
    """All that is known of one request on its way."""

    name: str
    method: str
    host: str
    path: str
    target: bytes
    headers: connections.Headers
    body: bytes
    started_at: float
    requested_timeout_s: float | None
    send: ports.Send
    # How many bytes of its body count among those held.
    held: int = 0
    stage: Stage = Stage.MATCH
    # Runs out only if an orderly stop has no more time for us.
    timer: asyncio.Timeout = dataclasses.field(default_factory=lambda: asyncio.Timeout(None))
    # The layout under which it was matched last.
    layout: layouts.Layout | None = None
    rule: layouts.Rule | None = None
    service: str = ""
    writing: bool = True
    expiry: float = 0.0
    request_s: float = 0.0
    max_tries: int = 1
    # How many go's have sent something, and how many pipes failed before that.
    attempts: int = 0
    connect_failures: int = 0
    tried_endpoints: set[str] = dataclasses.field(default_factory=set)
    endpoint: timelines.Entry | None = None
    connection: connections.EndpointConnection | None = None
    # What the last go brought: an answer, or what went wrong and whether an answer's head had come.
    answer: Answer | None = None
    flaw: str = ""
    head_came: bool = False
    # How many requests were thought to be ahead of this go, and how long it took (seconds).
    ahead: float = 0.0
    took: float = 0.0
    sent: bool = False
    # Whether any go may have run, or run still, with its end unknown to us.
    unknown: str = ""
    # Whether an endpoint answered without the promise that it had not run.
    answered: bool = False
    failure: outcome.Failure | None = None
    retry_after: float | None = None
    status: int = 0
    # What was done, each with its moment: told to an operator who asks.
    trail: list[Step] = dataclasses.field(default_factory=list)
    # Whether the reply's head is on its way to the caller.
    replied: bool = False
    # When its caller left, by our clock, if that came before the answer's end.
    left_at: float | None = None
    # How many bytes its connection had carried before this attempt.
    written_before: int = 0

    def take(self, connection: connections.EndpointConnection) -> None:
        """Take a connection for one attempt."""
        self.connection = connection
        self.written_before = connection.bytes_sent()

    def may_have_run(self) -> bool:
        """Whether an attempt has run, or may have: then only what may be repeated is sent again."""
        return self.answered or bool(self.unknown)

    def under_way(self) -> bool:
        """Whether an attempt has been sent, in part at least, and has its connection still."""
        return self.connection is not None and self.connection.sent_since(self.written_before)

    def note(self, now: float, what: str, why: str = "") -> None:
        """One step on the trail, while there is room."""
        if len(self.trail) < TRAIL_MOST:
            self.trail.append((now - self.started_at, what, why))


# Takes down one step of an exchange: what was done, and why.
Note = typing.Callable[[Exchange, str, str], None]
