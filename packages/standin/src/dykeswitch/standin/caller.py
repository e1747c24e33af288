"""Stand-in callers, and the tally of what they saw."""

import asyncio
import collections
import dataclasses
import json
import random
import typing
import zlib

import dykeswitch.ports as ports
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.shape as shapes

# How many pipes callers of a service keep, and which part of its requests go over them.
KEPT: typing.Final = 4
KEPT_SHARE: typing.Final = 0.3
# Answers that promise that a request has not run and never will; and such as no further try mends.
PROMISES: typing.Final = (408, 421, 429, 503)
FINAL: typing.Final = (400, 401, 404, 413, 431)
# The part of the time left for which a caller bides its time as told.
BIDE_PART: typing.Final = 1 / 3
# Between two tries of a caller that is not told to wait, and of one that does not listen.
PAUSE_S: typing.Final = 0.02


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
        return bool(self.asks) and self.asks[-1].status == 200 and not self.asks[-1].wrong


@dataclasses.dataclass(frozen=True, slots=True)
class Manners:
    """How callers come."""

    # The part of requests that go over pipes that are kept; the rest open one each time.
    kept_share: float = KEPT_SHARE
    # How many further tries a request gets, each under a new id and by another proxy.
    tries: int = 0
    # Whether they bide their time as told.
    waits: bool = True
    # How unevenly proxies are come to: the spread of their shares, none if 0.
    uneven: float = 0.0


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
        self._note(self.runs, endpoint, method, target, body)

    def began(self, endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
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


class Callers:
    """Sends a shape's requests at its rates to proxies that say they are ready."""

    def __init__(
        self,
        shape: shapes.Shape,
        machine: ports.Machine,
        proxies: typing.Sequence[str],
        record: Record,
        rng: random.Random,
        expiry_s: float = 10.0,
        prefix: str = "",
    ) -> None:
        self._shape = shape
        self._web = machine.web
        self._clock = machine.clock
        self._proxies = list(proxies)
        self.ready: set[str] = set()
        self._record = record
        self._rng = rng
        self._expiry_s = expiry_s
        # Endpoints' books hold all that was sent to them: two runs of callers at the same
        # endpoints need names of their own, or one's asks pass for the other's.
        self._prefix = prefix
        self._count = 0
        self._halted = False
        self.manners = Manners()
        # How much is come to each proxy, where that is uneven.
        self._weights: dict[str, float] = {}
        # Free pipes that are kept, by the proxy each leads to.
        self._kept: dict[str, list[str]] = collections.defaultdict(lambda: [""] * KEPT)
        # Where to ask when not a proxy: an endpoint itself, for a base to compare with.
        self.direct: typing.Callable[[str], str] | None = None

    def halt(self) -> None:
        """Send no more; what is on its way is still waited for."""
        self._halted = True

    def add(self, address: str) -> None:
        """One more proxy to which the platform may send."""
        self._proxies.append(address)

    async def watch(self) -> None:
        """The platform's part: ask each proxy every second whether it is ready."""

        async def one(address: str) -> None:
            try:
                reply = await self._web.ask("GET", address, "/readyz", [], b"", 1.0)
                good = reply.status == 200
            except (OSError, TimeoutError):
                good = False
            (self.ready.add if good else self.ready.discard)(address)

        while True:
            await asyncio.gather(*(one(address) for address in self._proxies))
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
            due += self._rng.expovariate(rate)
            if due >= end:
                return
            await self._clock.sleep(max(0.0, due - self._clock.now()))
            if self._halted:
                return
            group.create_task(self.wish(service))

    async def burst(self, service: shapes.ServiceShape, many: int, span: float) -> list[Wish]:
        """So many at once, or spread by lot over a span; returns when every answer is in."""

        async def one() -> Wish:
            await self._clock.sleep(self._rng.uniform(0.0, span))
            return await self.wish(service)

        return list(await asyncio.gather(*(one() for _ in range(many))))

    async def wish(self, service: shapes.ServiceShape, more: str = "") -> Wish:
        """What a caller wants, in as many tries as its manners and its time allow."""
        manners = self.manners
        expiry_s = service.expiry_s or self._expiry_s
        wish = Wish(service.name, service.writing, self._clock.now())
        self._record.wishes.append(wish)
        end = wish.begun + expiry_s
        addresses: set[str] = set()
        while True:
            left = end - self._clock.now()
            ask = await self.ask(service, "", more, left, manners.tries > 0, addresses)
            wish.asks.append(ask)
            wish.ended = self._clock.now()
            addresses.add(ask.address)
            if len(wish.asks) > manners.tries or not _worth_another(ask):
                return wish
            left = max(0.0, end - self._clock.now())
            wait = PAUSE_S
            # Only by a promise does a caller know that waiting is better than asking.
            if manners.waits and ask.status in PROMISES and ask.retry_after:
                wait = max(PAUSE_S, min(ask.again_s, left * BIDE_PART))
            if wait >= left:
                return wish
            await self._clock.sleep(wait)

    async def ask(
        self,
        service: shapes.ServiceShape,
        address: str = "",
        more: str = "",
        expiry_s: float | None = None,
        trusts: bool = False,
        but: typing.Container[str] = (),
    ) -> Ask:
        """One request, judged by its answer; by none of some proxies, where there is another."""
        self._count += 1
        name = f"{self._prefix}{service.name}-{self._count}"
        ask = Ask(name, service.name, service.writing, self._clock.now(), trusts=trusts)
        ask.expiry_s = self._expiry_s if expiry_s is None else expiry_s
        self._record.asks[name] = ask
        kept = self._kept[service.name]
        if self.direct is not None:
            address = self.direct(service.name)
        elif not address and not but and kept and self._rng.random() < self.manners.kept_share:
            # One exchange at a time: the pipe is ours until its answer is in.
            address = kept.pop(0)
            ask.kept = True
        address = address or self._pick(ask, but)
        if not address:
            return ask

        def heads() -> list[tuple[str, str]]:
            # The field says milliseconds from now, and the way here may have taken a while. With
            # none left nobody waits for it any more, and a run would be one for nobody.
            left = ask.begun + ask.expiry_s - self._clock.now()
            if left <= 0:
                raise TimeoutError("its expiry passed before its way was open")
            said = [("x-ask", name), ("dykeswitch-expiry-ms", str(max(1, int(left * 1000))))]
            return said if self.manners.kept_share else [*said, ("connection", "close")]

        body = json.dumps({"ask": name}).encode() if service.writing else b""
        path = f"{service.path}/x?ask={name}{more}"
        reply = await self._send(ask, service.method, address, path, heads, body)
        if ask.kept and ask.flaw.startswith("ConnectionRefused") and self.ready:
            # A kept pipe whose end was seen while it lay idle: another is opened instead.
            ask.flaw, address = "", self._pick(ask)
            reply = await self._send(ask, service.method, address, path, heads, body)
        if ask.kept:
            # A pipe that broke, or whose end was announced, is not kept on.
            over = reply is None or (reply.head("connection") or "").lower() == "close"
            kept.append("" if over else address)
        if reply is not None and reply.status == 200 and not ask.wrong:
            ask.wrong = self._wrong(reply, name, service.name)
        return ask

    def _pick(self, ask: Ask, but: typing.Container[str] = ()) -> str:
        """A proxy that said it was ready when the platform last asked."""
        if self.ready:
            addresses = sorted(self.ready)
            addresses = [address for address in addresses if address not in but] or addresses
            if not self.manners.uneven:
                return self._rng.choice(addresses)
            return self._rng.choices(addresses, [self._weight(address) for address in addresses])[0]
        ask.flaw = "no proxy is ready"
        ask.ended = self._clock.now()
        return ""

    def _weight(self, address: str) -> float:
        if address not in self._weights:
            self._weights[address] = self._rng.lognormvariate(0.0, self.manners.uneven)
        return self._weights[address]

    async def _send(
        self, ask: Ask, method: str, address: str, path: str, heads: ports.Fields, body: bytes
    ) -> ports.Reply | None:
        ask.address = address
        ask.said = words(method, path, body)
        wait = (ask.expiry_s or self._expiry_s) + 1
        try:
            reply = await self._web.ask(method, address, path, heads, body, wait)
        except (OSError, TimeoutError) as flaw:
            ask.flaw = f"{type(flaw).__name__}: {flaw}"[:120]
            return None
        finally:
            ask.ended = self._clock.now()
        ask.status = reply.status
        ask.result = int(reply.head("dykeswitch-result") or 0)
        again = reply.head("retry-after")
        ask.retry_after = again is not None
        ask.again_s = _seconds(again)
        ask.promised = (endpoints.NOT_RUN[0], endpoints.NOT_RUN[1]) in reply.heads
        ask.others = _others(reply, ask.name)
        ask.wrong = _unsealed(reply)
        return reply

    async def rove(self, address: str = "") -> Ask:
        """One request that each layout sends elsewhere."""
        self._count += 1
        name = f"{self._prefix}rove-{self._count}"
        method, host, path = self._rng.choice(shapes.ROVES)
        ask = Ask(name, "", False, self._clock.now(), method=method, host=host, path=path)
        self._record.roves[name] = ask
        address = address or self._pick(ask)
        if address:
            heads = [("x-ask", name), *([("host", host)] if host else [])]
            await self._send(ask, method, address, f"{path}?ask={name}", heads, b"")
        return ask

    async def rove_for_ever(self, rate: float) -> None:
        """Such requests at a rate, until all is halted."""
        async with asyncio.TaskGroup() as group:
            while not self._halted:
                await self._clock.sleep(self._rng.expovariate(rate))
                group.create_task(self.rove())

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


async def direct(
    shape: shapes.Shape,
    machine: ports.Machine,
    addresses: typing.Mapping[str, typing.Sequence[str]],
    rng: random.Random,
    span: float,
    scale: float = 1.0,
) -> Record:
    """A shape's traffic straight to each service's endpoints, as a base to compare with.

    The spots go by service, the span is in seconds, the scale multiplies the shape's rates.
    """
    record = Record(machine.clock)
    straight = Callers(shape, machine, [], record, rng, prefix="direct-")
    straight.direct = lambda service: rng.choice(addresses[service])
    await straight.drive(span, scale)
    return record


def _worth_another(ask: Ask) -> bool:
    """Whether a caller asks anew: a write only where it has a promise that the first did not run."""
    if ask.status in FINAL or (200 <= ask.status < 300 and not ask.wrong):
        return False
    if not ask.writing:
        return True
    return ask.status in PROMISES or ask.flaw.startswith("ConnectionRefused")


def _seconds(text: str | None) -> float:
    try:
        return max(0.0, float(text or 0.0))
    except ValueError:
        return 0.0


def _others(reply: ports.Reply, name: str) -> str:
    """What shows that a reply belongs to another request; empty if nothing does."""
    echo = reply.head(endpoints.ASK)
    if echo is not None and echo != name:
        return f"echoes {echo}"
    # Ours and the endpoint's: two that differ are of two exchanges.
    exchanges = {text for key, text in reply.heads if key.lower() == endpoints.EXCHANGE}
    return f"of exchanges {sorted(exchanges)}" if len(exchanges) > 1 else ""


def _unsealed(reply: ports.Reply) -> str:
    """What is wrong with a reply by its endpoint's seal, whatever its status."""
    if reply.head("dykeswitch-result") is not None:
        return ""
    told = reply.head(endpoints.SEAL)
    if told is None:
        return "without a seal" if 200 <= reply.status < 300 else ""
    return "" if told == endpoints.seal(reply.status, reply.body) else "not as it was sealed"


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
        "run_twice": sum(1 for a in asks if a.writing and len(runs.get(a.name, ())) > 1),
        "told_not_but_ran": sum(1 for name in told_not if runs.get(name)),
        "late": sum(1 for a in asks if a.ended - a.begun > (a.expiry_s or expiry_s) + 0.5),
        "wrong_reply": sum(1 for a in asks if a.wrong),
        "wrong_owner": sum(1 for a in asks for r in runs.get(a.name, ()) if r.service != a.service),
        "results": {str(k): v for k, v in sorted(by_result.items())},
        "p50_ms": round(1000 * took[len(took) // 2], 1) if took else None,
        "p99_ms": round(1000 * took[len(took) * 99 // 100], 1) if took else None,
    }
