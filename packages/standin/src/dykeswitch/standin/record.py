"""The history of a run: the requests of clients and what became of them, and the figures of it."""

import collections
import dataclasses
import typing
import zlib

import dykeswitch.ports as ports
import dykeswitch.standin.endpoint as endpoints


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a client, and what became of it.

    Attributes:
        name: The id of the request.
        service: The service that it is meant for; empty for a route check.
        writing: Whether it changes something.
        started_at: When it was made.
        address: The proxy it was sent to; empty if none was ready.
        ended_at: When its response was in, or when it failed.
        status: The status of the response; 0 without one.
        result: The proxy's result code; 0 without one.
        retry_after: Whether the response has a `Retry-After`.
        error: Why there is no response.
        mismatch: What is wrong with the response.
        reused_connection: Whether it went over a kept connection, whose proxy need not be ready any more.
        method: The method of a route check, by which rules choose.
        host: The host of a route check.
        path: The path of a route check.
        content: What was requested, as an endpoint should receive it.
        expiry_s: The client's own time limit; 0 if it has none.
        retry_after_s: After how long the client was told to try again.
        trusts_refusal: Whether its client takes a refusal's status as a promise, and tries again by it.
        promised: Whether the response carries an endpoint's promise not to have run it.
        foreign_id: Which other request the response belongs to, if it does.
        left_at: When its client left without waiting for the response, if it did.
    """

    name: str
    service: str
    writing: bool
    started_at: float
    address: str = ""
    ended_at: float = 0.0
    status: int = 0
    result: int = 0
    retry_after: bool = False
    error: str = ""
    mismatch: str = ""
    reused_connection: bool = False
    method: str = ""
    host: str = ""
    path: str = ""
    content: str = ""
    expiry_s: float = 0.0
    retry_after_s: float = 0.0
    trusts_refusal: bool = False
    promised: bool = False
    foreign_id: str = ""
    left_at: float | None = None


@dataclasses.dataclass(slots=True)
class Execution:
    """One execution of a request at an endpoint, or the start of one."""

    request_id: str
    endpoint: str
    service: str
    at: float
    # What the endpoint was asked for.
    content: str = ""


@dataclasses.dataclass(slots=True)
class Operation:
    """One operation that a client wants done, over all the requests that it sends for it."""

    service: str
    writing: bool
    started_at: float
    ended_at: float = 0.0
    requests: list[Request] = dataclasses.field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether its last request got a valid response."""
        return bool(self.requests) and self.requests[-1].status == 200 and not self.requests[-1].mismatch


def content_of(method: str, target: str, body: bytes) -> str:
    """Return what a request asks for, short, so that any change on its way shows."""
    return f"{method} {target} {len(body)}.{zlib.crc32(body):08x}"


class TrafficRecord:
    """The history of a run: requests of clients and executions at endpoints."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.requests: dict[str, Request] = {}
        # Requests that each layout routes to another service.
        self.route_checks: dict[str, Request] = {}
        self.executions: dict[str, list[Execution]] = collections.defaultdict(list)
        # Starts of work, including work that the end of its endpoint cut off.
        self.execution_starts: dict[str, list[Execution]] = collections.defaultdict(list)
        self.operations: list[Operation] = []

    def record_execution(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Record that an endpoint has executed a request."""
        self._add(self.executions, endpoint, method, target, body)

    def record_start(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Record that an endpoint has begun to execute a request."""
        self._add(self.execution_starts, endpoint, method, target, body)

    def _add(
        self,
        table: dict[str, list[Execution]],
        endpoint: endpoints.Endpoint,
        method: str,
        target: str,
        body: bytes,
    ) -> None:
        request_id = request_id_in(target)
        content = content_of(method, target, body)
        table[request_id].append(
            Execution(request_id, endpoint.name, endpoint.service, self._clock.now(), content)
        )


def request_id_in(target: str) -> str:
    """Return the id of a request from its target."""
    return target.partition("ask=")[2].partition("&")[0]


def summarize(record: TrafficRecord, expiry_s: float) -> dict[str, typing.Any]:
    """Return the figures of a run that the fleet and the trials print."""
    requests = list(record.requests.values())
    durations_s = sorted(r.ended_at - r.started_at for r in requests if r.status == 200)
    executions = record.executions
    told_not_run = {r.name for r in requests if r.status == 503 and r.retry_after}
    by_result = collections.Counter(r.result for r in requests if r.result)
    return {
        "asked": len(requests),
        "replied": sum(1 for r in requests if r.status == 200 and not r.mismatch),
        "turned_away": sum(1 for r in requests if r.result in (102, 103, 104, 111, 112, 114, 116)),
        "unknown": sum(1 for r in requests if r.result in (108, 109, 110, 113)),
        "other_status": sum(1 for r in requests if r.status not in (0, 200) and not r.result),
        "no_reply": sum(1 for r in requests if r.error),
        "left": sum(1 for r in requests if r.left_at is not None),
        "run_twice": sum(1 for r in requests if r.writing and len(executions.get(r.name, ())) > 1),
        "told_not_but_ran": sum(1 for name in told_not_run if executions.get(name)),
        "late": sum(1 for r in requests if r.ended_at - r.started_at > (r.expiry_s or expiry_s) + 0.5),
        "wrong_reply": sum(1 for r in requests if r.mismatch),
        "wrong_owner": sum(
            1 for r in requests for one in executions.get(r.name, ()) if one.service != r.service
        ),
        "results": {str(k): v for k, v in sorted(by_result.items())},
        "p50_ms": round(1000 * durations_s[len(durations_s) // 2], 1) if durations_s else None,
        "p99_ms": round(1000 * durations_s[len(durations_s) * 99 // 100], 1) if durations_s else None,
    }
