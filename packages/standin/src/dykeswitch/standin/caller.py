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
from dykeswitch.standin.record import (
    Execution,
    Operation,
    Request,
    TrafficRecord,
    content_of,
    request_id_in,
    summarize,
)

__all__ = [
    "ClientBehavior",
    "Clients",
    "Execution",
    "KEPT",
    "KEPT_SHARE",
    "Operation",
    "PAUSE_S",
    "PROMISES",
    "Request",
    "TrafficRecord",
    "content_of",
    "direct",
    "request_id_in",
    "summarize",
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
class ClientBehavior:
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


class Clients:
    """Sends a shape's requests at its rates to proxies that say they are ready."""

    def __init__(
        self,
        shape: shapes.Shape,
        machine: ports.Machine,
        proxies: typing.Sequence[str],
        record: TrafficRecord,
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
        self._stopped = False
        self.behavior = ClientBehavior()
        # How much is come to each proxy, where that is uneven.
        self._weights: dict[str, float] = {}
        # Free pipes that are kept, by the proxy each leads to.
        self._kept: dict[str, list[str]] = collections.defaultdict(lambda: [""] * KEPT)
        # Where to ask when not a proxy: an endpoint itself, for a base to compare with.
        self.direct: typing.Callable[[str], str] | None = None

    def stop_sending(self) -> None:
        """Send no more; what is on its way is still waited for."""
        self._stopped = True

    def add(self, address: str) -> None:
        """One more proxy to which the platform may send."""
        self._proxies.append(address)

    async def watch_readiness(self) -> None:
        """The platform's part: ask each proxy every second whether it is ready."""

        async def one(address: str) -> None:
            try:
                reply = await self._web.request("GET", address, "/readyz", [], b"", 1.0)
                good = reply.status == 200
            except (OSError, TimeoutError):
                good = False
            (self.ready.add if good else self.ready.discard)(address)

        while True:
            await asyncio.gather(*(one(address) for address in self._proxies))
            await self._clock.sleep(1.0)

    async def run_traffic(self, span: float, scale: float = 1.0) -> None:
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
            if self._stopped:
                return
            group.create_task(self.run_operation(service))

    async def send_burst(self, service: shapes.ServiceShape, many: int, span: float) -> list[Operation]:
        """So many at once, or spread by lot over a span; returns when every answer is in."""

        async def one() -> Operation:
            await self._clock.sleep(self._rng.uniform(0.0, span))
            return await self.run_operation(service)

        return list(await asyncio.gather(*(one() for _ in range(many))))

    async def run_operation(self, service: shapes.ServiceShape, more: str = "") -> Operation:
        """What a caller wants, in as many tries as its manners and its time allow."""
        behavior = self.behavior
        expiry_s = service.expiry_s or self._expiry_s
        operation = Operation(service.name, service.writing, self._clock.now())
        self._record.operations.append(operation)
        end = operation.started_at + expiry_s
        addresses: set[str] = set()
        while True:
            left = end - self._clock.now()
            request = await self.send_request(service, "", more, left, behavior.tries > 0, addresses)
            operation.requests.append(request)
            operation.ended_at = self._clock.now()
            addresses.add(request.address)
            if len(operation.requests) > behavior.tries or not replies.should_retry(request):
                return operation
            left = max(0.0, end - self._clock.now())
            wait = PAUSE_S
            # Only by a promise does a caller know that waiting is better than asking.
            if behavior.waits and request.status in replies.PROMISES and request.retry_after:
                wait = max(PAUSE_S, min(request.retry_after_s, left * BIDE_PART))
            if wait >= left:
                return operation
            await self._clock.sleep(wait)

    async def send_request(
        self,
        service: shapes.ServiceShape,
        address: str = "",
        more: str = "",
        expiry_s: float | None = None,
        trusts: bool = False,
        but: typing.Container[str] = (),
    ) -> Request:
        """One request, judged by its answer; by none of some proxies, where there is another."""
        self._count += 1
        name = f"{self._prefix}{service.name}-{self._count}"
        request = Request(name, service.name, service.writing, self._clock.now(), trusts_refusal=trusts)
        request.expiry_s = self._expiry_s if expiry_s is None else expiry_s
        self._record.requests[name] = request
        kept = self._kept[service.name]
        if self.direct is not None:
            address = self.direct(service.name)
        elif not address and not but and kept and self._rng.random() < self.behavior.kept_share:
            # One exchange at a time: the pipe is ours until its answer is in.
            address = kept.pop(0)
            request.reused_connection = True
        address = address or self._pick(request, but)
        if not address:
            return request

        def headers() -> list[tuple[str, str]]:
            # The field says milliseconds from now, and the way here may have taken a while. With
            # none left nobody waits for it any more, and a run would be one for nobody.
            left = request.started_at + request.expiry_s - self._clock.now()
            if left <= 0:
                raise TimeoutError("its expiry passed before its way was open")
            fields = [("x-ask", name), ("dykeswitch-expiry-ms", str(max(1, int(left * 1000))))]
            return fields if self.behavior.kept_share else [*fields, ("connection", "close")]

        body = json.dumps({"ask": name}).encode() if service.writing else b""
        path = f"{service.path}/x?ask={name}{more}"
        reply = await self._send(request, service.method, address, path, headers, body)
        if request.reused_connection and request.error.startswith("ConnectionRefused") and self.ready:
            # A kept pipe whose end was seen while it lay idle: another is opened instead.
            request.error, address = "", self._pick(request)
            reply = await self._send(request, service.method, address, path, headers, body)
        if request.reused_connection:
            # A pipe that broke, or whose end was announced, is not kept on.
            over = reply is None or (reply.header("connection") or "").lower() == "close"
            kept.append("" if over else address)
        if reply is not None and reply.status == 200 and not request.mismatch:
            request.mismatch = replies.body_error(reply, name, service.name)
        return request

    def _pick(self, request: Request, but: typing.Container[str] = ()) -> str:
        """A proxy that said it was ready when the platform last asked."""
        if self.ready:
            addresses = sorted(self.ready)
            addresses = [address for address in addresses if address not in but] or addresses
            if not self.behavior.uneven:
                return self._rng.choice(addresses)
            return self._rng.choices(addresses, [self._weight(address) for address in addresses])[0]
        request.error = "no proxy is ready"
        request.ended_at = self._clock.now()
        return ""

    def _weight(self, address: str) -> float:
        if address not in self._weights:
            self._weights[address] = self._rng.lognormvariate(0.0, self.behavior.uneven)
        return self._weights[address]

    async def _send(
        self, request: Request, method: str, address: str, path: str, headers: ports.Fields, body: bytes
    ) -> ports.Response | None:
        request.address = address
        request.content = content_of(method, path, body)
        wait = (request.expiry_s or self._expiry_s) + 1
        stays_s = self._stays_s()
        try:
            reply = await self._web.request(method, address, path, headers, body, min(wait, stays_s))
        except (OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and stays_s < wait:
                request.left_at = self._clock.now()
                return None
            request.error = f"{type(error).__name__}: {error}"[:120]
            return None
        finally:
            request.ended_at = self._clock.now()
        request.status = reply.status
        request.result = int(reply.header("dykeswitch-result") or 0)
        again = reply.header("retry-after")
        request.retry_after = again is not None
        request.retry_after_s = replies.seconds(again)
        request.promised = replies.promised(reply)
        request.foreign_id = replies.foreign(reply, request.name)
        request.mismatch = replies.seal_error(reply)
        return reply

    def _stays_s(self) -> float:
        """For how many seconds a caller waits before it leaves, whatever it is owed."""
        behavior = self.behavior
        # Callers who all stay draw no lots: days without any that leave are as they were.
        if not behavior.leave_share or self._rng.random() >= behavior.leave_share:
            return math.inf
        return self._rng.uniform(0.0, behavior.leave_within_s)

    async def check_route(self, address: str = "") -> Request:
        """One request that each layout sends elsewhere."""
        self._count += 1
        name = f"{self._prefix}rove-{self._count}"
        method, host, path = self._rng.choice(shapes.ROUTE_CHECKS)
        request = Request(name, "", False, self._clock.now(), method=method, host=host, path=path)
        self._record.route_checks[name] = request
        address = address or self._pick(request)
        if address:
            headers = [("x-ask", name), *([("host", host)] if host else [])]
            await self._send(request, method, address, f"{path}?ask={name}", headers, b"")
        return request

    async def check_routes_forever(self, rate: float) -> None:
        """Such requests at a rate, until all is halted."""
        async with asyncio.TaskGroup() as group:
            while not self._stopped:
                await self._clock.sleep(self._rng.expovariate(rate))
                group.create_task(self.check_route())


async def direct(
    shape: shapes.Shape,
    machine: ports.Machine,
    addresses: typing.Mapping[str, typing.Sequence[str]],
    rng: random.Random,
    span: float,
    scale: float = 1.0,
) -> TrafficRecord:
    """A shape's traffic straight to each service's endpoints, as a base to compare with.

    The addresses go by service, the span is in seconds, the scale multiplies the shape's rates.
    """
    record = TrafficRecord(machine.clock)
    straight = Clients(shape, machine, [], record, rng, prefix="direct-")
    straight.direct = lambda service: rng.choice(addresses[service])
    await straight.run_traffic(span, scale)
    return record
