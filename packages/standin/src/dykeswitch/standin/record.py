"""What callers asked for and what came of it: the history of a run, and its figures."""

import collections
import dataclasses
import typing
import zlib

import dykeswitch.ports as ports
import dykeswitch.standin.endpoint as endpoints


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller, and what came of it."""

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
    # Whether it went over a pipe that was kept, whatever the platform says by now.
    reused_connection: bool = False
    # What a layout's rules tell apart, for those that rules move about.
    method: str = ""
    host: str = ""
    path: str = ""
    # What was asked for, as an endpoint should see it.
    content: str = ""
    # The caller's own expiry, where it has one; and after how many seconds it was to come again.
    expiry_s: float = 0.0
    retry_after_s: float = 0.0
    # Whether its caller takes a refusal's status for a promise, and asks anew by it.
    trusts_refusal: bool = False
    # Whether the answer carried an endpoint's promise not to have run it.
    promised: bool = False
    # Whom the answer says it is for, if not this one.
    foreign_id: str = ""
    # When its caller left without waiting for the answer, if it did.
    left_at: float | None = None


@dataclasses.dataclass(slots=True)
class Execution:
    """One run of a request at an endpoint."""

    request_id: str
    endpoint: str
    service: str
    at: float
    # What the endpoint was asked for.
    content: str = ""


@dataclasses.dataclass(slots=True)
class Operation:
    """What a caller wants, over all the requests that it makes for it."""

    service: str
    writing: bool
    started_at: float
    ended_at: float = 0.0
    requests: list[Request] = dataclasses.field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether the last request for it brought a good reply."""
        return bool(self.requests) and self.requests[-1].status == 200 and not self.requests[-1].mismatch


def content_of(method: str, target: str, body: bytes) -> str:
    """What a request asks for, in a few words that tell any change on its way."""
    return f"{method} {target} {len(body)}.{zlib.crc32(body):08x}"


class TrafficRecord:
    """The history of a run: asks of callers and runs at endpoints."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.requests: dict[str, Request] = {}
        # Requests that each layout sends elsewhere.
        self.route_checks: dict[str, Request] = {}
        self.executions: dict[str, list[Execution]] = collections.defaultdict(list)
        # When work began: also such as was cut off by its endpoint's end.
        self.execution_starts: dict[str, list[Execution]] = collections.defaultdict(list)
        self.operations: list[Operation] = []

    def record_execution(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Note that an endpoint has done a request's work."""
        self._note(self.executions, endpoint, method, target, body)

    def record_start(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Note that an endpoint has begun a request's work."""
        self._note(self.execution_starts, endpoint, method, target, body)

    def _note(
        self,
        table: dict[str, list[Execution]],
        endpoint: endpoints.Endpoint,
        method: str,
        target: str,
        body: bytes,
    ) -> None:
        name = request_id_in(target)
        content = content_of(method, target, body)
        table[name].append(Execution(name, endpoint.name, endpoint.service, self._clock.now(), content))


def request_id_in(target: str) -> str:
    """The id of a request, out of what it asks for."""
    return target.partition("ask=")[2].partition("&")[0]


def summarize(record: TrafficRecord, expiry_s: float) -> dict[str, typing.Any]:
    """The figures the fleet and the trials print."""
    requests = list(record.requests.values())
    took = sorted(a.ended_at - a.started_at for a in requests if a.status == 200)
    executions = record.executions
    told_not = {a.name for a in requests if a.status == 503 and a.retry_after}
    by_result = collections.Counter(a.result for a in requests if a.result)
    return {
        "asked": len(requests),
        "replied": sum(1 for a in requests if a.status == 200 and not a.mismatch),
        "turned_away": sum(1 for a in requests if a.result in (102, 103, 104, 111, 112, 114, 116)),
        "unknown": sum(1 for a in requests if a.result in (108, 109, 110, 113)),
        "other_status": sum(1 for a in requests if a.status not in (0, 200) and not a.result),
        "no_reply": sum(1 for a in requests if a.error),
        "left": sum(1 for a in requests if a.left_at is not None),
        "run_twice": sum(1 for a in requests if a.writing and len(executions.get(a.name, ())) > 1),
        "told_not_but_ran": sum(1 for name in told_not if executions.get(name)),
        "late": sum(1 for a in requests if a.ended_at - a.started_at > (a.expiry_s or expiry_s) + 0.5),
        "wrong_reply": sum(1 for a in requests if a.mismatch),
        "wrong_owner": sum(1 for a in requests for r in executions.get(a.name, ()) if r.service != a.service),
        "results": {str(k): v for k, v in sorted(by_result.items())},
        "p50_ms": round(1000 * took[len(took) // 2], 1) if took else None,
        "p99_ms": round(1000 * took[len(took) * 99 // 100], 1) if took else None,
    }
