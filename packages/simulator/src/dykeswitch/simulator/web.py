"""Simulated web calls: straight into the application, with the network's delays and cuts."""

import asyncio
import contextvars
import typing

import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.net as nets

# How often a call looks whether a cut has healed.
CUT_POLL_S: typing.Final = 0.05


class SimWebServer:
    """A served application and what it has in hand."""

    def __init__(self, links: nets.SimulatedLinks, address: str) -> None:
        self._links = links
        self._address = address
        self.flights: dict[asyncio.Task[None], None] = {}

    async def stop(self, grace_s: float) -> None:
        """Stop serving, with `grace_s` seconds for the calls that are running."""
        self._links.apps.pop(self._address, None)
        if self.flights:
            await asyncio.wait(list(self.flights), timeout=grace_s)
        for task in list(self.flights):
            task.cancel()


class SimWeb:
    """Web calls straight into the application, with the wire's delays and cuts."""

    def __init__(self, links: nets.SimulatedLinks, host: loops.Host) -> None:
        self._links = links
        self._host = host

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Serve an application at an address."""
        server = SimWebServer(self._links, address)
        self._links.apps[address] = (self._host, app, server.flights)
        self._links.homes[address] = self._host
        return server

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: ports.Fields,
        body: bytes,
        timeout_s: float,
    ) -> ports.Response:
        """Make one call and bring back the whole reply."""
        async with asyncio.timeout(timeout_s):
            return await self._request(method, address, path, headers, body)

    async def _way(self, one: str, two: str) -> None:
        await asyncio.sleep(self._links.delay(one, two))
        while not self._links.open(one, two):  # noqa: ASYNC110
            await asyncio.sleep(CUT_POLL_S)

    async def _request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes
    ) -> ports.Response:
        links, me = self._links, self._host.name
        home = links.homes.get(address)
        if home is None:
            raise ConnectionRefusedError(address)
        links.sent(me, home.name, len(body))
        await self._way(me, home.name)
        found = links.apps.get(address)
        if found is None or found[0].dead:
            raise ConnectionRefusedError(address)
        host, app, flights = found
        call = _AppCall(method, path, ports.resolve_fields(headers), body)
        context = contextvars.Context()
        context.run(loops.HOST.set, host)
        task = links.loop.create_task(call.run(app), context=context)
        flights[task] = None
        task.add_done_callback(lambda t: flights.pop(t, None), context=loops.EMPTY)
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            self._tell_departure(call, task, host)
            raise
        links.sent(host.name, me, len(call.body))
        await self._way(host.name, me)
        if task.cancelled() or task.exception() is not None or not call.whole:
            raise ConnectionResetError("broken off")
        return ports.Response(call.status, call.headers, bytes(call.body))

    def _tell_departure(self, call: "_AppCall", task: "asyncio.Task[None]", host: loops.Host) -> None:
        """The caller closed its connection: the application hears so once the way lets it through."""
        links, me = self._links, self._host.name

        async def tell() -> None:
            await self._way(me, host.name)
            if not task.done() and not host.dead:
                call.leave()

        context = contextvars.Context()
        context.run(loops.HOST.set, host)
        telling = links.loop.create_task(tell(), context=context)
        links.departing[telling] = None
        telling.add_done_callback(lambda t: links.departing.pop(t, None), context=loops.EMPTY)


class _AppCall:
    """One call into an application."""

    def __init__(self, method: str, path: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.whole = False
        self.departure = departures.Departure()
        self._left = asyncio.Event()
        self._ask = body
        self._asked = False
        target, _, query = path.partition("?")
        names = {k.lower() for k, _ in headers}
        raw = [(k.lower().encode(), v.encode()) for k, v in headers]
        if "host" not in names:
            raw.append((b"host", b"dykeswitch.test"))
        if body:
            raw.append((b"content-length", str(len(body)).encode()))
        self._scope: dict[str, typing.Any] = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": method,
            "scheme": "http",
            "path": target,
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "root_path": "",
            "headers": raw,
            "client": ("10.0.0.1", 1),
            "server": ("10.0.0.2", 80),
            "state": {departures.STATE_KEY: self.departure},
        }

    async def run(self, app: ports.App) -> None:
        """Hand the call to the application and take in its reply."""
        await app(self._scope, self._receive, self._send)

    async def _receive(self) -> ports.Message:
        if not self._asked:
            self._asked = True
            return {"type": "http.request", "body": self._ask, "more_body": False}
        await self._left.wait()
        return {"type": "http.disconnect"}

    def leave(self) -> None:
        """The caller has closed its connection, and the application may know."""
        self._left.set()
        self.departure.announce()

    async def _send(self, message: ports.Message) -> None:
        if message["type"] == "http.response.start":
            self.status = int(message["status"])
            self.headers = [(k.decode(), v.decode("latin-1")) for k, v in message["headers"]]
        elif message["type"] == "http.response.body":
            self.body += message.get("body", b"")
            self.whole = not message.get("more_body", False)
