"""A stand-in endpoint: it serves requests, sends heartbeats, and fails in chosen ways when told to."""

import asyncio
import collections
import random
import typing

import h11

import dykeswitch.ports as ports
import dykeswitch.standin.faults as faults
import dykeswitch.standin.headers as headers
import dykeswitch.standin.heartbeat as heartbeat
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.pages as pages
import dykeswitch.standin.slots as slots
import dykeswitch.standin.talk as http

# The names of the faults that an endpoint can have, and the plan that selects one of them.
FAULTS: typing.Final = faults.FAULTS
FaultPlan = faults.FaultPlan

PROBE_PATH: typing.Final = "/healthz"

# Faults for which a request isn't even queued, besides those that name a status; and how long one hangs.
UNQUEUED: typing.Final = ("promise", "reset", "hang")
HANG_S: typing.Final = 120.0

ExecutionCallback = typing.Callable[["Endpoint", str, str, bytes], None]
ArrivalCallback = typing.Callable[["Endpoint", str, str], None]
Headers = list[tuple[str, str]]


class Endpoint(heartbeat.Announcer):
    """One endpoint of one service at one address.

    It calls `on_arrival` for each request, `on_start` and `on_execution` when its work begins and is
    done, and `on_misdirected` for a request that it refuses because another endpoint was meant.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        machine: ports.Machine,
        registries: typing.Callable[[], typing.Sequence[str]],
        rng: random.Random,
        work_s: float = 0.02,
        interval_s: float = 1.0,
        on_execution: ExecutionCallback | None = None,
        on_arrival: ArrivalCallback | None = None,
        profile: profiles.EndpointProfile = profiles.PLAIN,
        on_start: ExecutionCallback | None = None,
        on_misdirected: ArrivalCallback | None = None,
    ) -> None:
        super().__init__(name, service, address, zone, machine, registries, rng, interval_s, profile)
        self.work_s = work_s
        self._on_execution = on_execution
        self._on_arrival = on_arrival
        self._on_start = on_start
        self._on_misdirected = on_misdirected
        self.plan = faults.FaultPlan()
        # How often each kind of event has happened, by name.
        self.counts: collections.Counter[str] = collections.Counter()
        self.execution_count = 0
        self.arrival_count = 0
        # How long the endpoint may work on the latest request; None if the request doesn't say.
        self.time_budget_s: float | None = None
        self._connections: dict[ports.Connection, None] = {}
        self._listener: ports.Listener | None = None

    @property
    def profile(self) -> profiles.EndpointProfile:
        """The endpoint's slots, pace, connections and heartbeats."""
        return self._profile

    @profile.setter
    def profile(self, profile: profiles.EndpointProfile) -> None:
        """Change the profile; requests that run or wait keep their places."""
        self._profile = profile
        self.slots.resize(profile.slots, profile.queue)

    @property
    def active_count(self) -> int:
        """How many requests are being worked on."""
        return self.slots.running

    def move_to_machine(self, machine: ports.Machine) -> None:
        """Move to another machine before `open`."""
        self._machine = machine
        self._clock = machine.clock
        self.heartbeats_enabled = True
        self.draining = False
        # Requests and connections of the earlier life ended with it.
        self.slots = slots.Slots(self._profile.slots, self._profile.queue)
        self._connections = {}

    async def open(self) -> None:
        """Listen at the endpoint's address."""
        self._opened_at = self._clock.now()
        self._listener = await self._machine.net.listen(self.address, self._serve_connection)

    def close(self) -> None:
        """End at once, as a killed process does."""
        self.heartbeats_enabled = False
        if self._listener is not None:
            self._listener.close()

    async def _serve_connection(self, raw_connection: ports.Connection) -> None:
        profile = self._profile
        limit = profile.pipes_most
        if profile.pipes_pressed is not None and self.slots.waiting:
            limit = profile.pipes_pressed
        self.counts["pipes"] += 1
        if limit is not None and len(self._connections) >= limit:
            self.counts["pipes_over"] += 1
            http.reset(raw_connection)
            return
        open_connections = self._connections
        open_connections[raw_connection] = None
        connection = http.Connection(raw_connection, self._clock)
        try:
            if profile.hello_s:
                await self._set_up_connection(profile.hello_s)
            while True:
                found = await connection.next_request(self._profile.idle_s, self._profile.forgets_s)
                if found is None or not await self._handle(connection, *found) or not connection.next_cycle():
                    return
        except http.ForgottenError:
            self.counts["forgotten"] += 1
            http.reset(raw_connection)
        except (OSError, h11.ProtocolError):
            return
        finally:
            open_connections.pop(raw_connection, None)
            raw_connection.close()

    async def _set_up_connection(self, duration_s: float) -> None:
        """Take up a slot for a while, since a new connection is work too."""
        current_slots = self.slots
        current_slots.force_acquire()
        try:
            await self._clock.sleep(duration_s)
        finally:
            current_slots.release_forced()

    async def _end_connection(self, connection: http.Connection, end: faults.ConnectionEnd) -> bool:
        """End a connection as told; return whether it may carry another request."""
        if end is faults.ConnectionEnd.RESET:
            http.reset(connection.connection)
        elif end is faults.ConnectionEnd.HANG:
            await connection.stay_silent()
        return end is faults.ConnectionEnd.KEEP

    # In the methods below a result of type bool says whether the connection may carry another request.

    async def _handle(self, connection: http.Connection, request: h11.Request, body: bytes) -> bool:
        target = request.target.decode("latin-1")
        method = request.method.decode()
        probe = target.split("?")[0] == PROBE_PATH
        fields = headers.decode_fields(request.headers)
        if fields.get(headers.EXPECTED, self.name) != self.name:
            # Meant for the endpoint that had this address before: this one must not run it.
            self.counts["turned"] += 1
            if self._on_misdirected is not None and not probe:
                self._on_misdirected(self, method, target)
            return await self._send(connection, 421, b"not me", [headers.NOT_RUN, *self._identity()], request)
        fault = self.plan.choose_fault(self._rng, probe)
        if probe:
            self.counts["probes"] += 1
        else:
            self.arrival_count += 1
            self.counts["unnamed"] += headers.EXPECTED not in fields
            self.time_budget_s = headers.time_budget_s(fields)
            if self._on_arrival is not None:
                self._on_arrival(self, method, target)
        return await self._process(connection, request, target, body, fault, probe)

    async def _process(
        self,
        connection: http.Connection,
        request: h11.Request,
        target: str,
        body: bytes,
        fault: str,
        probe: bool,
    ) -> bool:
        """Queue, execute and answer one request or probe, as the fault allows."""
        if fault in UNQUEUED or fault.startswith("status_"):
            return await self._fail_unqueued(connection, request, fault)
        if probe and self.draining:
            return await self._send(connection, 503, b"leaving", None, request)
        # The slots are replaced when the endpoint moves: give the ticket back to the ones it came from.
        current_slots = self.slots
        if current_slots.full:
            return await self._reject_full(connection, request)
        budget_s = headers.time_budget_s(headers.decode_fields(request.headers))
        deadline = None if budget_s is None else self._clock.now() + budget_s
        ticket = current_slots.enqueue()
        try:
            queued = await self._wait_for_slot(connection, ticket, deadline)
            if queued != "done":
                self.counts[f"{queued}_in_queue"] += 1
                if queued == "gone":
                    return False
                promise = [headers.NOT_RUN, *self._identity()]
                return await self._send(connection, 503, b"too late", promise, request)
            worked = await self._work(connection, request, target, body, fault, probe, deadline)
        finally:
            current_slots.release(ticket)
        if worked != "done":
            self.counts[f"{worked}_at_work"] += 1
            if worked == "gone":
                return False
            return await self._send(connection, 504, b"out of time", None, request)
        return await self._respond(connection, request, target, fault, probe)

    async def _fail_unqueued(self, connection: http.Connection, request: h11.Request, fault: str) -> bool:
        """Fail a request before it is queued, by the fault."""
        if fault == "promise":
            return await self._send(connection, 503, b"no", [headers.NOT_RUN], request)
        if fault == "reset":
            return await self._end_connection(connection, faults.ConnectionEnd.RESET)
        if fault == "hang":
            await self._clock.sleep(HANG_S)
            return False
        return await self._send(connection, int(fault.removeprefix("status_")), b"failed", [], request)

    async def _wait_for_slot(
        self, connection: http.Connection, ticket: "asyncio.Future[None]", deadline: float | None
    ) -> str:
        """Wait for a slot: "done", "late" if the deadline passes first, or "gone" if the client leaves."""
        if ticket.done():
            return "done"
        return await connection.wait_for(ticket, None if deadline is None else deadline - self._clock.now())

    async def _reject_full(self, connection: http.Connection, request: h11.Request) -> bool:
        """Reject a request that finds slots and queue full, in the way that the profile names."""
        self.counts["full"] += 1
        if self._profile.full == profiles.RESET:
            return await self._end_connection(connection, faults.ConnectionEnd.RESET)
        if self._profile.full == profiles.HANG:
            return await self._end_connection(connection, faults.ConnectionEnd.HANG)
        return await self._send(connection, 503, b"full", [headers.NOT_RUN, *self._identity()], request)

    async def _work(
        self,
        connection: http.Connection,
        request: h11.Request,
        target: str,
        body: bytes,
        fault: str,
        probe: bool,
        deadline: float | None,
    ) -> str:
        """Execute a request or probe: "done", "late" if it stops at the deadline, or "gone"."""
        profile = self._profile
        if probe:
            if profile.probe_s:
                await self._clock.sleep(profile.probe_s * profile.pace)
            return "done"
        if self._on_start is not None:
            self._on_start(self, request.method.decode(), target, body)
        work_s = profile.work_duration_s(self.work_s, self._rng) * (faults.SLOWDOWN if fault == "slow" else 1)
        work_s *= profile.slowdown(self.slots.running, self._clock.now() - self._opened_at)
        work_s = pages.requested_work_s(target, work_s)
        late = profile.stops and deadline is not None and deadline - self._clock.now() < work_s
        if late and deadline is not None:
            work_s = max(0.0, deadline - self._clock.now())
        if profile.drops:
            never: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            if await connection.wait_for(never, work_s) == "gone":
                return "gone"
        else:
            await self._clock.sleep(work_s)
        if late:
            return "late"
        # From here on the request counts as executed in the history.
        self.execution_count += 1
        if self._on_execution is not None:
            self._on_execution(self, request.method.decode(), target, body)
        return "done"

    async def _respond(
        self, connection: http.Connection, request: h11.Request, target: str, fault: str, probe: bool
    ) -> bool:
        """Send the response to executed work, or what the fault makes of it."""
        if fault in faults.NO_RESPONSE:
            return await self._end_connection(connection, faults.end_without_response(fault))
        if fault.startswith("run_then_") and not probe:
            # The work is done, and the response still tells the client to try again.
            status, _, long = fault.removeprefix("run_then_").partition("_")
            data = b"busy" * (faults.LONG_BODY_BYTES // 4 if long else 1)
            return await self._send(
                connection, int(status), data, [("retry-after", "1"), *self._identity()], request
            )
        data = pages.response_body(self.name, self.service, target, headers.decode_fields(request.headers))
        identity = [("dykeswitch-served-by", "somebody-else")] if fault == "wrong_id" else None
        if fault not in (*faults.MALFORMED, *faults.SURPLUS):
            return await self._send(connection, 200, data, identity, request)
        output = faults.faulty_output(
            fault, self._encode(connection, 200, data, identity, request), self._rng
        )
        await connection.write(output.data)
        if output.pause_s:
            await self._clock.sleep(output.pause_s)
        if output.after_delay:
            await self._clock.sleep(self._rng.uniform(0.0, faults.MAX_SURPLUS_DELAY_S))
            await connection.write(output.after_delay)
        connection.before_next = output.before_next
        return await self._end_connection(connection, output.end)

    def _identity(self) -> Headers:
        return [("dykeswitch-served-by", self.name)]

    def _encode(
        self,
        connection: http.Connection,
        status: int,
        data: bytes,
        extra: Headers | None,
        request: h11.Request,
    ) -> bytes:
        """Return a response with its headers; without `extra` it names the endpoint."""
        profile, received = self._profile, headers.decode_fields(request.headers)
        fields = [("content-length", str(len(data))), ("content-type", "application/json")]
        fields += self._identity() if extra is None else extra
        fields.append((headers.SEAL, headers.seal(status, data)))
        fields += [(name, received[name]) for name in (headers.EXCHANGE, headers.ASK) if name in received]
        if profile.tells:
            load = (self.slots.running, self.slots.waiting, profile.slots or 0)
            fields.append((headers.LOAD, ",".join(map(str, load))))
        if profile.idle_s is not None:
            fields.append(("keep-alive", f"timeout={int(profile.idle_s)}"))
        if self.draining or (profile.close_share and self._rng.random() < profile.close_share):
            fields.append(("connection", "close"))
        return connection.encode_response(status, fields, b"" if request.method == b"HEAD" else data)

    async def _send(
        self,
        connection: http.Connection,
        status: int,
        data: bytes,
        extra: Headers | None,
        request: h11.Request,
    ) -> bool:
        await connection.write(self._encode(connection, status, data, extra, request))
        return True
