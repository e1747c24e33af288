"""Stand-in callers, who send requests to proxies at a shape's rates."""

import asyncio
import collections
import dataclasses
import json
import math
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.replies as replies
import dykeswitch.standin.shape as shapes
from dykeswitch.standin.record import Ask, Record, Run, Wish, name_in, tally, words

__all__ = [
    "Ask",
    "Callers",
    "KEPT",
    "KEPT_SHARE",
    "Manners",
    "PAUSE_S",
    "PROMISES",
    "Record",
    "Run",
    "Wish",
    "direct",
    "name_in",
    "tally",
    "words",
]

# How many pipes callers of a service keep, and which part of its requests go over them.
KEPT: typing.Final = 4
KEPT_SHARE: typing.Final = 0.3
# The part of the time left for which a caller bides its time as told.
BIDE_PART: typing.Final = 1 / 3
# Between two tries of a caller that is not told to wait, and of one that does not listen.
PAUSE_S: typing.Final = 0.02
PROMISES: typing.Final = replies.PROMISES


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
    # The part of requests whose callers leave before they are answered, and within how many seconds.
    leave_share: float = 0.0
    leave_within_s: float = 0.0


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
            if len(wish.asks) > manners.tries or not replies.worth_another_try(ask):
                return wish
            left = max(0.0, end - self._clock.now())
            wait = PAUSE_S
            # Only by a promise does a caller know that waiting is better than asking.
            if manners.waits and ask.status in replies.PROMISES and ask.retry_after:
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
            ask.wrong = replies.body_flaw(reply, name, service.name)
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
        stays_s = self._stays_s()
        try:
            reply = await self._web.ask(method, address, path, heads, body, min(wait, stays_s))
        except (OSError, TimeoutError) as flaw:
            if isinstance(flaw, TimeoutError) and stays_s < wait:
                ask.left_at = self._clock.now()
                return None
            ask.flaw = f"{type(flaw).__name__}: {flaw}"[:120]
            return None
        finally:
            ask.ended = self._clock.now()
        ask.status = reply.status
        ask.result = int(reply.head("dykeswitch-result") or 0)
        again = reply.head("retry-after")
        ask.retry_after = again is not None
        ask.again_s = replies.seconds(again)
        ask.promised = replies.promised(reply)
        ask.others = replies.foreign(reply, ask.name)
        ask.wrong = replies.seal_flaw(reply)
        return reply

    def _stays_s(self) -> float:
        """For how many seconds a caller waits before it leaves, whatever it is owed."""
        manners = self.manners
        # Callers who all stay draw no lots: days without any that leave are as they were.
        if not manners.leave_share or self._rng.random() >= manners.leave_share:
            return math.inf
        return self._rng.uniform(0.0, manners.leave_within_s)

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


async def direct(
    shape: shapes.Shape,
    machine: ports.Machine,
    addresses: typing.Mapping[str, typing.Sequence[str]],
    rng: random.Random,
    span: float,
    scale: float = 1.0,
) -> Record:
    """A shape's traffic straight to each service's endpoints, as a base to compare with.

    The addresses go by service, the span is in seconds, the scale multiplies the shape's rates.
    """
    record = Record(machine.clock)
    straight = Callers(shape, machine, [], record, rng, prefix="direct-")
    straight.direct = lambda service: rng.choice(addresses[service])
    await straight.drive(span, scale)
    return record
