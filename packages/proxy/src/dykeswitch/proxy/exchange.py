"""The record of one request while it is processed."""

import asyncio
import dataclasses
import enum
import typing

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

MAX_TRAIL_STEPS: typing.Final = 32
MAX_STEP_TEXT: typing.Final = 200
# Seconds since the start of the exchange; what was done; why.
Step = tuple[float, str, str]


class Stage(enum.Enum):
    """The next stage of an exchange."""

    MATCH = "match"
    SELECT = "select"
    DELIVER = "deliver"
    JUDGE = "judge"
    RETRY = "retry"
    REPLY = "reply"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Response:
    """An endpoint's response that may be passed on to the client, complete or still being received.

    A failed attempt leaves none, however much of its response had arrived.
    """

    head: connections.ResponseHead
    # The whole body, or the part buffered before the response is passed on.
    buffered: bytes
    # The rest of the body; None if it is buffered completely.
    rest: typing.AsyncIterator[bytes] | None


@dataclasses.dataclass(slots=True)
class Exchange:
    """The state of one request."""

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
    # How many bytes of the request body are counted against the limit for all bodies.
    buffered_bytes: int = 0
    stage: Stage = Stage.MATCH
    # Expires only when the grace period of an orderly stop ends.
    timer: asyncio.Timeout = dataclasses.field(default_factory=lambda: asyncio.Timeout(None))
    # The layout by which the request was last matched.
    layout: layouts.Layout | None = None
    rule: layouts.Rule | None = None
    service: str = ""
    writing: bool = True
    deadline: float = 0.0
    attempt_timeout_s: float = 0.0
    max_tries: int = 1
    # Attempts that sent something, and connections that failed before anything was sent.
    attempts: int = 0
    connect_failures: int = 0
    tried_endpoints: set[str] = dataclasses.field(default_factory=set)
    endpoint: timelines.Entry | None = None
    connection: connections.EndpointConnection | None = None
    # Result of the last attempt: a response, or an error and whether a response head had been received.
    response: Response | None = None
    error: str = ""
    response_head_received: bool = False
    # Estimated number of requests ahead of this attempt, and the attempt's duration.
    requests_ahead: float = 0.0
    attempt_duration_s: float = 0.0
    sent: bool = False
    # Set if an attempt may have run, or may still be running, with an unknown outcome: the reason.
    unknown_reason: str = ""
    # Whether an endpoint answered without promising that the request did not run.
    answered_without_promise: bool = False
    failure: outcome.Failure | None = None
    retry_after: float | None = None
    status: int = 0
    # The steps taken so far, for operators' queries.
    trail: list[Step] = dataclasses.field(default_factory=list)
    # Whether the response head has been sent to the client.
    response_started: bool = False
    # When the client disconnected, by the local clock, if that was before the end of the response.
    client_left_at: float | None = None
    # How many bytes had been written to the connection before this attempt.
    written_before: int = 0

    def use_connection(self, connection: connections.EndpointConnection) -> None:
        """Use a connection for one attempt."""
        self.connection = connection
        self.written_before = connection.bytes_sent()

    def may_have_run(self) -> bool:
        """Return whether an attempt ran or may have run, so that only repeatable requests are sent again."""
        return self.answered_without_promise or bool(self.unknown_reason)

    def is_in_flight(self) -> bool:
        """Return whether an attempt was sent, at least in part, and still has its connection."""
        return self.connection is not None and self.connection.sent_since(self.written_before)

    def add_step(self, now: float, what: str, why: str = "") -> None:
        """Append a step to the trail, up to `MAX_TRAIL_STEPS`."""
        if len(self.trail) < MAX_TRAIL_STEPS:
            self.trail.append((now - self.started_at, what, why))


# Records one step of an exchange: what was done, and why.
AddStep = typing.Callable[[Exchange, str, str], None]
