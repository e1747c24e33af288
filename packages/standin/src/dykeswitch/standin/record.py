"""What callers asked for and what came of it: the history of a run, and its figures."""

import collections
import dataclasses
import typing
import zlib

import dykeswitch.ports as ports
import dykeswitch.standin.endpoint as endpoints


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller, and what came of it."""

    name: str
    service: str
    writing: bool
    begun: float
    address: str = ""
    ended: float = 0.0
    status: int = 0
    result: int = 0
    retry_after: bool = False
    flaw: str = ""
    wrong: str = ""
    # Whether it went over a pipe that was kept, whatever the platform says by now.
    kept: bool = False
    # What a layout's rules tell apart, for those that rules move about.
    method: str = ""
    host: str = ""
    path: str = ""
    # What was asked for, as an endpoint should see it.
    said: str = ""
    # The caller's own expiry, where it has one; and after how many seconds it was to come again.
    expiry_s: float = 0.0
    again_s: float = 0.0
    # Whether its caller takes a refusal's status for a promise, and asks anew by it.
    trusts: bool = False
    # Whether the answer carried an endpoint's promise not to have run it.
    promised: bool = False
    # Whom the answer says it is for, if not this one.
    others: str = ""
    # When its caller left without waiting for the answer, if it did.
    left_at: float | None = None


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at an endpoint."""

    ask: str
    endpoint: str
    service: str
    at: float
    # What the endpoint was asked for.
    said: str = ""


@dataclasses.dataclass(slots=True)
class Wish:
    """What a caller wants, over all the requests that it makes for it."""

    service: str
    writing: bool
    begun: float
    ended: float = 0.0
    asks: list[Ask] = dataclasses.field(default_factory=list)

    @property
    def granted(self) -> bool:
        """Whether the last request for it brought a good reply."""
        return bool(self.asks) and self.asks[-1].status == 200 and not self.asks[-1].wrong


def words(method: str, target: str, body: bytes) -> str:
    """What a request asks for, in a few words that tell any change on its way."""
    return f"{method} {target} {len(body)}.{zlib.crc32(body):08x}"


class Record:
    """The history of a run: asks of callers and runs at endpoints."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.asks: dict[str, Ask] = {}
        # Requests that each layout sends elsewhere.
        self.roves: dict[str, Ask] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        # When work began: also such as was cut off by its endpoint's end.
        self.starts: dict[str, list[Run]] = collections.defaultdict(list)
        self.wishes: list[Wish] = []

    def ran(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Note that an endpoint has done a request's work."""
        self._note(self.runs, endpoint, method, target, body)

    def began(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        """Note that an endpoint has begun a request's work."""
        self._note(self.starts, endpoint, method, target, body)

    def _note(
        self,
        book: dict[str, list[Run]],
        endpoint: endpoints.Endpoint,
        method: str,
        target: str,
        body: bytes,
    ) -> None:
        name = name_in(target)
        said = words(method, target, body)
        book[name].append(Run(name, endpoint.name, endpoint.service, self._clock.now(), said))


def name_in(target: str) -> str:
    """The id of a request, out of what it asks for."""
    return target.partition("ask=")[2].partition("&")[0]


def tally(record: Record, expiry_s: float) -> dict[str, typing.Any]:
    """The figures the fleet and the trials print."""
    asks = list(record.asks.values())
    took = sorted(a.ended - a.begun for a in asks if a.status == 200)
    runs = record.runs
    told_not = {a.name for a in asks if a.status == 503 and a.retry_after}
    by_result = collections.Counter(a.result for a in asks if a.result)
    return {
        "asked": len(asks),
        "replied": sum(1 for a in asks if a.status == 200 and not a.wrong),
        "turned_away": sum(1 for a in asks if a.result in (102, 103, 104, 111, 112, 114, 116)),
        "unknown": sum(1 for a in asks if a.result in (108, 109, 110, 113)),
        "other_status": sum(1 for a in asks if a.status not in (0, 200) and not a.result),
        "no_reply": sum(1 for a in asks if a.flaw),
        "left": sum(1 for a in asks if a.left_at is not None),
        "run_twice": sum(1 for a in asks if a.writing and len(runs.get(a.name, ())) > 1),
        "told_not_but_ran": sum(1 for name in told_not if runs.get(name)),
        "late": sum(1 for a in asks if a.ended - a.begun > (a.expiry_s or expiry_s) + 0.5),
        "wrong_reply": sum(1 for a in asks if a.wrong),
        "wrong_owner": sum(1 for a in asks for r in runs.get(a.name, ()) if r.service != a.service),
        "results": {str(k): v for k, v in sorted(by_result.items())},
        "p50_ms": round(1000 * took[len(took) // 2], 1) if took else None,
        "p99_ms": round(1000 * took[len(took) * 99 // 100], 1) if took else None,
    }
