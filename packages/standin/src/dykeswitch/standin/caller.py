"""Stand-in callers, and the tally of what they saw."""

import asyncio
import collections
import dataclasses
import json
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.shape as shapes


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller, and what came of it."""

    name: str
    service: str
    writing: bool
    begun: float
    spot: str = ""
    ended: float = 0.0
    status: int = 0
    result: int = 0
    retry_after: bool = False
    flaw: str = ""
    wrong: str = ""


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at an endpoint."""

    ask: str
    endpoint: str
    service: str
    at: float


class Record:
    """The history of a run: asks of callers and runs at endpoints."""

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self.asks: dict[str, Ask] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)

    def ran(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
        name = target.partition("ask=")[2].partition("&")[0]
        self.runs[name].append(Run(name, endpoint.name, endpoint.service, self._clock.now()))


class Callers:
    """Sends a shape's requests at its rates to proxies that say they are ready."""

    def __init__(
        self,
        shape: shapes.Shape,
        machine: ports.Machine,
        proxies: typing.Sequence[str],
        record: Record,
        dice: random.Random,
        expiry_s: float = 10.0,
    ) -> None:
        self._shape = shape
        self._web = machine.web
        self._clock = machine.clock
        self._proxies = list(proxies)
        self.ready: set[str] = set()
        self._record = record
        self._dice = dice
        self._expiry_s = expiry_s
        self._count = 0
        self._halted = False
        # Where to ask when not a proxy: an endpoint itself, for a base to compare with.
        self.direct: typing.Callable[[str], str] | None = None

    def halt(self) -> None:
        """Send no more; what is on its way is still waited for."""
        self._halted = True

    async def watch(self) -> None:
        """The platform's part: ask each proxy every second whether it is ready."""

        async def one(spot: str) -> None:
            try:
                reply = await self._web.ask("GET", spot, "/readyz", [], b"", 1.0)
                good = reply.status == 200
            except (OSError, TimeoutError):
                good = False
            (self.ready.add if good else self.ready.discard)(spot)

        while True:
            await asyncio.gather(*(one(spot) for spot in self._proxies))
            await self._clock.sleep(1.0)

    async def drive(self, span: float, scale: float = 1.0) -> None:
        """Send for a span; returns when every answer is in."""
        end = self._clock.now() + span
        async with asyncio.TaskGroup() as group:
            for service in self._shape.services:
                group.create_task(self._stream(group, service, service.rate * scale, end))

    async def _stream(
        self, group: asyncio.TaskGroup, service: shapes.ServiceShape, rate: float, end: float
    ) -> None:
        due = self._clock.now()
        while True:
            due += self._dice.expovariate(rate)
            if due >= end:
                return
            await self._clock.sleep(max(0.0, due - self._clock.now()))
            if self._halted:
                return
            group.create_task(self.ask(service))

    async def ask(self, service: shapes.ServiceShape, spot: str = "") -> Ask:
        """One request, judged by its answer."""
        self._count += 1
        name = f"{service.name}-{self._count}"
        ask = Ask(name, service.name, service.writing, self._clock.now())
        self._record.asks[name] = ask
        if self.direct is not None:
            spot = self.direct(service.name)
        if not spot:
            if not self.ready:
                ask.flaw = "no proxy is ready"
                ask.ended = self._clock.now()
                return ask
            spot = self._dice.choice(sorted(self.ready))
        ask.spot = spot
        heads = [("x-ask", name), ("dykeswitch-expiry-ms", str(int(self._expiry_s * 1000)))]
        body = json.dumps({"ask": name}).encode() if service.writing else b""
        try:
            reply = await self._web.ask(
                service.method, spot, f"{service.path}/x?ask={name}", heads, body, self._expiry_s + 1
            )
        except (OSError, TimeoutError) as flaw:
            ask.flaw = f"{type(flaw).__name__}: {flaw}"[:120]
            ask.ended = self._clock.now()
            return ask
        ask.ended = self._clock.now()
        ask.status = reply.status
        ask.result = int(reply.head("dykeswitch-result") or 0)
        ask.retry_after = reply.head("retry-after") is not None
        if reply.status == 200:
            ask.wrong = self._wrong(reply, name, service.name)
        return ask

    def _wrong(self, reply: ports.Reply, name: str, service: str) -> str:
        """What is wrong with an answer that looks good."""
        try:
            page = json.loads(reply.body)
        except ValueError:
            return "cut or garbled"
        if page.get("echo") != name:
            return "someone else's"
        if page.get("service") != service:
            return "of another service"
        return ""


def tally(record: Record, expiry_s: float) -> dict[str, typing.Any]:
    """The figures the fleet and the trials print."""
    asks = list(record.asks.values())
    took = sorted(a.ended - a.begun for a in asks if a.status == 200)
    runs = record.runs
    told_not = {a.name for a in asks if a.status == 503 and a.retry_after}
    by_result = collections.Counter(a.result for a in asks if a.result)
    return {
        "asked": len(asks),
        "answered": sum(1 for a in asks if a.status == 200 and not a.wrong),
        "turned_away": sum(1 for a in asks if a.result in (102, 103, 104, 111, 114)),
        "unknown": sum(1 for a in asks if a.result in (108, 109, 110, 113)),
        "other_status": sum(1 for a in asks if a.status not in (0, 200) and not a.result),
        "no_answer": sum(1 for a in asks if a.flaw),
        "run_twice": sum(1 for a in asks if a.writing and len(runs.get(a.name, ())) > 1),
        "told_not_but_ran": sum(1 for name in told_not if runs.get(name)),
        "late": sum(1 for a in asks if a.ended - a.begun > expiry_s + 0.5),
        "wrong_answer": sum(1 for a in asks if a.wrong),
        "wrong_owner": sum(1 for a in asks for r in runs.get(a.name, ()) if r.service != a.service),
        "results": {str(k): v for k, v in sorted(by_result.items())},
        "p50_ms": round(1000 * took[len(took) // 2], 1) if took else None,
        "p99_ms": round(1000 * took[len(took) * 99 // 100], 1) if took else None,
    }
