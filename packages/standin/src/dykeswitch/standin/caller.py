"""Stand-in clients, which send requests to proxies at the rates of a shape."""

import asyncio
import collections
import dataclasses
import json
import math
import random
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.replies as responses
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
    "KEPT_CONNECTIONS",
    "KEPT_SHARE",
    "Operation",
    "RETRY_PAUSE_S",
    "PROMISES",
    "Request",
    "TrafficRecord",
    "content_of",
    "run_direct_traffic",
    "request_id_in",
    "summarize",
]

# How many connections the clients of a service keep, and which share of its requests goes over them.
KEPT_CONNECTIONS: typing.Final = 4
KEPT_SHARE: typing.Final = 0.3
# Share of its remaining time that a client waits at most as `Retry-After` tells it to.
MAX_RETRY_WAIT_SHARE: typing.Final = 1 / 3
# Pause between two attempts of a client that isn't told to wait, or that ignores it.
RETRY_PAUSE_S: typing.Final = 0.02
PROMISES: typing.Final = responses.PROMISES


@dataclasses.dataclass(frozen=True, slots=True)
class ClientBehavior:
    """How clients connect, retry and leave.

    Attributes:
        kept_share: The share of requests over kept connections; the rest open one each.
        tries: How many more attempts a request gets, each under a new id and by another proxy.
        waits: Whether clients wait as `Retry-After` tells them to.
        uneven: How far the shares of the proxies differ (sigma of a log-normal); 0 for equal shares.
        leave_share: The share of requests whose clients leave before they are answered.
        leave_within_s: The longest such a client waits.
    """

    kept_share: float = KEPT_SHARE
    tries: int = 0
    waits: bool = True
    uneven: float = 0.0
    leave_share: float = 0.0
    leave_within_s: float = 0.0


class Clients:
    """Sends the requests of a shape at its rates to proxies that report that they are ready.

    Endpoints keep a log of all that was sent to them. So two sets of clients at the same endpoints need
    request ids with different prefixes, or the requests of one are taken for those of the other.
    """

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
        self._prefix = prefix
        self._count = 0
        self._stopped = False
        self.behavior = ClientBehavior()
        # The weight of each proxy, where their shares are uneven.
        self._weights: dict[str, float] = {}
        # Free kept connections of each service, each as the address of its proxy; empty if not open.
        self._kept: dict[str, list[str]] = collections.defaultdict(lambda: [""] * KEPT_CONNECTIONS)
        # Returns an endpoint of a service to send to without a proxy, as a baseline to compare with.
        self.direct_address: typing.Callable[[str], str] | None = None

    def stop_sending(self) -> None:
        """Send no more requests; those on their way are still awaited."""
        self._stopped = True

    def add_proxy(self, address: str) -> None:
        """Add a proxy to which the platform may send."""
        self._proxies.append(address)

    async def watch_readiness(self) -> None:
        """Ask each proxy every second whether it is ready, as the platform does."""

        async def check(address: str) -> None:
            try:
                response = await self._web.request("GET", address, "/readyz", [], b"", 1.0)
                ready = response.status == 200
            except (OSError, TimeoutError):
                ready = False
            (self.ready.add if ready else self.ready.discard)(address)

        while True:
            await asyncio.gather(*(check(address) for address in self._proxies))
            await self._clock.sleep(1.0)

    async def run_traffic(self, duration_s: float, scale: float = 1.0) -> None:
        """Send for a while; return when every response is in."""
        end = self._clock.now() + duration_s
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

    async def send_burst(
        self, service: shapes.ServiceShape, count: int, duration_s: float
    ) -> list[Operation]:
        """Run operations at random times within a duration; return when every response is in."""

        async def run_one() -> Operation:
            await self._clock.sleep(self._rng.uniform(0.0, duration_s))
            return await self.run_operation(service)

        return list(await asyncio.gather(*(run_one() for _ in range(count))))

    async def run_operation(self, service: shapes.ServiceShape, query_suffix: str = "") -> Operation:
        """Run one operation, in as many attempts as the clients' behavior and its time limit allow."""
        behavior = self.behavior
        expiry_s = service.expiry_s or self._expiry_s
        operation = Operation(service.name, service.writing, self._clock.now())
        self._record.operations.append(operation)
        deadline = operation.started_at + expiry_s
        addresses: set[str] = set()
        while True:
            left_s = deadline - self._clock.now()
            request = await self.send_request(
                service, "", query_suffix, left_s, behavior.tries > 0, addresses
            )
            operation.requests.append(request)
            operation.ended_at = self._clock.now()
            addresses.add(request.address)
            if len(operation.requests) > behavior.tries or not responses.should_retry(request):
                return operation
            left_s = max(0.0, deadline - self._clock.now())
            wait_s = RETRY_PAUSE_S
            # Only a promise tells a client that waiting is better than another attempt at once.
            if behavior.waits and request.status in responses.PROMISES and request.retry_after:
                wait_s = max(RETRY_PAUSE_S, min(request.retry_after_s, left_s * MAX_RETRY_WAIT_SHARE))
            if wait_s >= left_s:
                return operation
            await self._clock.sleep(wait_s)

    async def send_request(
        self,
        service: shapes.ServiceShape,
        address: str = "",
        query_suffix: str = "",
        expiry_s: float | None = None,
        trusts: bool = False,
        excluding: typing.Container[str] = (),
    ) -> Request:
        """Send one request and judge its response; choose no proxy of `excluding` if others are ready."""
        self._count += 1
        name = f"{self._prefix}{service.name}-{self._count}"
        request = Request(name, service.name, service.writing, self._clock.now(), trusts_refusal=trusts)
        request.expiry_s = self._expiry_s if expiry_s is None else expiry_s
        self._record.requests[name] = request
        kept = self._kept[service.name]
        if self.direct_address is not None:
            address = self.direct_address(service.name)
        elif not address and not excluding and kept and self._rng.random() < self.behavior.kept_share:
            # A connection carries one exchange at a time: it is taken off until the response is in.
            address = kept.pop(0)
            request.reused_connection = True
        address = address or self._choose_proxy(request, excluding)
        if not address:
            return request

        def headers() -> list[tuple[str, str]]:
            # The field counts milliseconds from now, and connecting may have taken a while. With no time
            # left nobody waits for the response any more, and the work would be done for nobody.
            left_s = request.started_at + request.expiry_s - self._clock.now()
            if left_s <= 0:
                raise TimeoutError("the deadline passed before the connection was open")
            fields = [("x-ask", name), ("dykeswitch-expiry-ms", str(max(1, int(left_s * 1000))))]
            return fields if self.behavior.kept_share else [*fields, ("connection", "close")]

        body = json.dumps({"ask": name}).encode() if service.writing else b""
        path = f"{service.path}/x?ask={name}{query_suffix}"
        response = await self._send(request, service.method, address, path, headers, body)
        if request.reused_connection and request.error.startswith("ConnectionRefused") and self.ready:
            # A kept connection that ended while it was idle: open another instead.
            request.error, address = "", self._choose_proxy(request)
            response = await self._send(request, service.method, address, path, headers, body)
        if request.reused_connection:
            # Don't keep a connection that broke or whose end was announced.
            ended = response is None or (response.header("connection") or "").lower() == "close"
            kept.append("" if ended else address)
        if response is not None and response.status == 200 and not request.mismatch:
            request.mismatch = responses.body_error(response, name, service.name)
        return request

    def _choose_proxy(self, request: Request, excluding: typing.Container[str] = ()) -> str:
        """Return a proxy that was ready when last checked; if there is none, fail the request."""
        if self.ready:
            addresses = sorted(self.ready)
            addresses = [address for address in addresses if address not in excluding] or addresses
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
        timeout_s = (request.expiry_s or self._expiry_s) + 1
        leaves_after_s = self._leaves_after_s()
        try:
            response = await self._web.request(
                method, address, path, headers, body, min(timeout_s, leaves_after_s)
            )
        except (OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and leaves_after_s < timeout_s:
                request.left_at = self._clock.now()
                return None
            request.error = f"{type(error).__name__}: {error}"[:120]
            return None
        finally:
            request.ended_at = self._clock.now()
        request.status = response.status
        request.result = int(response.header("dykeswitch-result") or 0)
        retry_after = response.header("retry-after")
        request.retry_after = retry_after is not None
        request.retry_after_s = responses.parse_retry_after(retry_after)
        request.promised = responses.promises_not_run(response)
        request.foreign_id = responses.foreign_id(response, request.name)
        request.mismatch = responses.seal_error(response)
        return response

    def _leaves_after_s(self) -> float:
        """Return how long a client waits for a response before it leaves."""
        behavior = self.behavior
        # Without clients that leave nothing random is drawn, so that runs of a seed stay as they were.
        if not behavior.leave_share or self._rng.random() >= behavior.leave_share:
            return math.inf
        return self._rng.uniform(0.0, behavior.leave_within_s)

    async def check_route(self, address: str = "") -> Request:
        """Send one request that each layout routes to another service."""
        self._count += 1
        name = f"{self._prefix}rove-{self._count}"
        method, host, path = self._rng.choice(shapes.ROUTE_CHECKS)
        request = Request(name, "", False, self._clock.now(), method=method, host=host, path=path)
        self._record.route_checks[name] = request
        address = address or self._choose_proxy(request)
        if address:
            headers = [("x-ask", name), *([("host", host)] if host else [])]
            await self._send(request, method, address, f"{path}?ask={name}", headers, b"")
        return request

    async def check_routes_forever(self, rate: float) -> None:
        """Send route checks at a rate, until `stop_sending`."""
        async with asyncio.TaskGroup() as group:
            while not self._stopped:
                await self._clock.sleep(self._rng.expovariate(rate))
                group.create_task(self.check_route())


async def run_direct_traffic(
    shape: shapes.Shape,
    machine: ports.Machine,
    addresses: typing.Mapping[str, typing.Sequence[str]],
    rng: random.Random,
    duration_s: float,
    scale: float = 1.0,
) -> TrafficRecord:
    """Send a shape's traffic straight to its endpoints, as a baseline to compare with.

    Args:
        shape: The services and their rates.
        machine: The clock and the network to use.
        addresses: The endpoints of each service.
        rng: Chooses times and endpoints.
        duration_s: How long to send.
        scale: Multiplies the shape's rates.

    Returns:
        The record of the traffic.
    """
    record = TrafficRecord(machine.clock)
    direct_clients = Clients(shape, machine, [], record, rng, prefix="direct-")
    direct_clients.direct_address = lambda service: rng.choice(addresses[service])
    await direct_clients.run_traffic(duration_s, scale)
    return record
