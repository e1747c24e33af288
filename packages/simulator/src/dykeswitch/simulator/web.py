"""Simulated HTTP: requests call the application directly, with the delays and cuts of the network."""

import asyncio
import contextvars
import typing

import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.net as nets

# How often a request checks whether a cut is healed.
CUT_POLL_S: typing.Final = 0.05


class SimWebServer:
    """A served application and the requests that it is handling."""

    def __init__(self, links: nets.SimulatedLinks, address: str) -> None:
        self._links = links
        self._address = address
        self.running_calls: dict[asyncio.Task[None], None] = {}

    async def stop(self, grace_s: float) -> None:
        """Stop serving; running requests have `grace_s` seconds to finish."""
        self._links.apps.pop(self._address, None)
        if self.running_calls:
            await asyncio.wait(list(self.running_calls), timeout=grace_s)
        for task in list(self.running_calls):
            task.cancel()


class SimWeb:
    """An HTTP client and server that call the application directly, with the delays and cuts of links."""

    def __init__(self, links: nets.SimulatedLinks, host: loops.Host) -> None:
        self._links = links
        self._host = host

    async def serve(
        self, address: str, app: ports.App, limits: ports.Limits = ports.default_limits
    ) -> ports.WebServer:
        """Serve an application at an address."""
        server = SimWebServer(self._links, address)
        self._links.apps[address] = (self._host, app, server.running_calls)
        self._links.hosts_by_address[address] = self._host
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
        """Send one request and return the whole response."""
        async with asyncio.timeout(timeout_s):
            return await self._request(method, address, path, headers, body)

    async def _transit(self, source: str, destination: str) -> None:
        await asyncio.sleep(self._links.delay(source, destination))
        while not self._links.can_send(source, destination):  # noqa: ASYNC110
            await asyncio.sleep(CUT_POLL_S)

    async def _request(
        self, method: str, address: str, path: str, headers: ports.Fields, body: bytes
    ) -> ports.Response:
        links, me = self._links, self._host.name
        target_host = links.hosts_by_address.get(address)
        if target_host is None:
            raise ConnectionRefusedError(address)
        links.count_bytes(me, target_host.name, len(body))
        await self._transit(me, target_host.name)
        found = links.apps.get(address)
        if found is None or found[0].dead:
            raise ConnectionRefusedError(address)
        host, app, running_calls = found
        call = _AppCall(method, path, ports.resolve_fields(headers), body)
        context = contextvars.Context()
        context.run(loops.CURRENT_HOST.set, host)
        task = links.loop.create_task(call.run(app), context=context)
        running_calls[task] = None
        task.add_done_callback(lambda t: running_calls.pop(t, None), context=loops.EMPTY_CONTEXT)
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            self._deliver_disconnect(call, task, host)
            raise
        links.count_bytes(host.name, me, len(call.body))
        await self._transit(host.name, me)
        if task.cancelled() or task.exception() is not None or not call.complete:
            raise ConnectionResetError("the response is incomplete")
        return ports.Response(call.status, call.headers, bytes(call.body))

    def _deliver_disconnect(self, call: "_AppCall", task: "asyncio.Task[None]", host: loops.Host) -> None:
        """Notify the application that its client has disconnected, after the delay and cuts of the link."""
        links, me = self._links, self._host.name

        async def deliver() -> None:
            await self._transit(me, host.name)
            if not task.done() and not host.dead:
                call.disconnect()

        context = contextvars.Context()
        context.run(loops.CURRENT_HOST.set, host)
        delivery = links.loop.create_task(deliver(), context=context)
        links.pending_disconnects[delivery] = None
        delivery.add_done_callback(
            lambda t: links.pending_disconnects.pop(t, None), context=loops.EMPTY_CONTEXT
        )


class _AppCall:
    """One request to an application."""

    def __init__(self, method: str, path: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.complete = False
        self.departure = departures.Departure()
        self._disconnected = asyncio.Event()
        self._request_body = body
        self._request_read = False
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
        """Call the application and collect its response."""
        await app(self._scope, self._receive, self._send)

    async def _receive(self) -> ports.Message:
        if not self._request_read:
            self._request_read = True
            return {"type": "http.request", "body": self._request_body, "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    def disconnect(self) -> None:
        """Tell the application that its client has closed the connection."""
        self._disconnected.set()
        self.departure.announce()

    async def _send(self, message: ports.Message) -> None:
        if message["type"] == "http.response.start":
            self.status = int(message["status"])
            self.headers = [(k.decode(), v.decode("latin-1")) for k, v in message["headers"]]
        elif message["type"] == "http.response.body":
            self.body += message.get("body", b"")
            self.complete = not message.get("more_body", False)
