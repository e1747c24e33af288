"""A stand-in endpoint: answers, beats, and misbehaves when told to."""

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
import dykeswitch.standin.talk as talks

# The ways in which an endpoint may fail, by name, and how it behaves at the moment.
FAULTS: typing.Final = faults.FAULTS
Plan = faults.Plan

PROBE: typing.Final = "/healthz"

# Faults for which a request is not even queued, beside such as name a status; and how long one hangs.
REFUSALS: typing.Final = ("promise", "reset", "hang")
HANG_S: typing.Final = 120.0

ExecutionCallback = typing.Callable[["Endpoint", str, str, bytes], None]
ArrivalCallback = typing.Callable[["Endpoint", str, str], None]
Headers = list[tuple[str, str]]


class Endpoint(heartbeat.Announcer):
    """One endpoint of one service at one address."""

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
        # Told when work is done, when a request arrives, when its work begins, and when it
        # was meant for another and is turned away.
        self._on_execution = on_execution
        self._on_arrival = on_arrival
        self._on_start = on_start
        self._on_misdirected = on_misdirected
        self.plan = faults.Plan()
        # What it did besides: by name, for who counts.
        self.counts: collections.Counter[str] = collections.Counter()
        self.execution_count = 0
        self.arrival_count = 0
        # For how many seconds it may work on the request that came last, if it was told.
        self.time_budget_s: float | None = None
        self._connections: dict[ports.Connection, None] = {}
        self._listener: ports.Listener | None = None

    @property
    def profile(self) -> profiles.EndpointProfile:
        """What it is like: slots, pace, connections, heartbeats."""
        return self._profile

    @profile.setter
    def profile(self, profile: profiles.EndpointProfile) -> None:
        """What it is like from now on; what is at work or waits stays."""
        self._profile = profile
        self.slots.resize(profile.slots, profile.queue)

    @property
    def active_count(self) -> int:
        """How many requests are at work."""
        return self.slots.running

    def move_to_machine(self, machine: ports.Machine) -> None:
        """Move to another machine before opening."""
        self._machine = machine
        self._clock = machine.clock
        self.beating = True
        self.draining = False
        # What an earlier life had in hand went with it.
        self.slots = slots.Slots(self._profile.slots, self._profile.queue)
        self._connections = {}

    async def open(self) -> None:
        """Listen at its address."""
        self._since = self._clock.now()
        self._listener = await self._machine.net.listen(self.address, self._serve)

    def close(self) -> None:
        """End at once, as a killed process does."""
        self.beating = False
        if self._listener is not None:
            self._listener.close()

    # Pipes.

    async def _serve(self, connection: ports.Connection) -> None:
        profile = self._profile
        most = profile.pipes_most
        if profile.pipes_pressed is not None and self.slots.waiting:
            most = profile.pipes_pressed
        self.counts["pipes"] += 1
        if most is not None and len(self._connections) >= most:
            self.counts["pipes_over"] += 1
            talks.reset(connection)
            return
        held = self._connections
        held[connection] = None
        talk = talks.Talk(connection, self._clock)
        try:
            if profile.hello_s:
                await self._hello(profile.hello_s)
            while True:
                asked = await talk.request(self._profile.idle_s, self._profile.forgets_s)
                if asked is None or not await self._reply_to(talk, *asked) or not talk.again():
                    return
        except talks.ForgottenError:
            self.counts["forgotten"] += 1
            talks.reset(connection)
        except (OSError, h11.ProtocolError):
            return
        finally:
            held.pop(connection, None)
            connection.close()

    async def _hello(self, span: float) -> None:
        """A fresh pipe is work too, for whichever slot takes it."""
        held = self.slots
        held.hold()
        try:
            await self._clock.sleep(span)
        finally:
            held.let_go()

    async def _end(self, talk: talks.Talk, end: faults.End) -> bool:
        """What becomes of the pipe; whether it may carry more."""
        if end is faults.End.RESET:
            talks.reset(talk.connection)
        elif end is faults.End.HANG:
            await talk.mute()
        return end is faults.End.KEEP

    # Requests.

    async def _reply_to(self, talk: talks.Talk, request: h11.Request, body: bytes) -> bool:
        target = request.target.decode("latin-1")
        method = request.method.decode()
        probe = target.split("?")[0] == PROBE
        fields = headers.fields(request.headers)
        if fields.get(headers.EXPECTED, self.name) != self.name:
            # Meant for whoever was here before: not ours to run.
            self.counts["turned"] += 1
            if self._on_misdirected is not None and not probe:
                self._on_misdirected(self, method, target)
            return await self._say(talk, 421, b"not me", [headers.NOT_RUN, *self._id()], request)
        fault = self.plan.draw(self._rng, probe)
        if probe:
            self.counts["probes"] += 1
        else:
            self.arrival_count += 1
            self.counts["unnamed"] += headers.EXPECTED not in fields
            self.time_budget_s = headers.left_s(fields)
            if self._on_arrival is not None:
                self._on_arrival(self, method, target)
        return await self._act(talk, request, target, body, fault, probe)

    async def _act(
        self,
        talk: talks.Talk,
        request: h11.Request,
        target: str,
        body: bytes,
        fault: str,
        probe: bool,
    ) -> bool:
        """What becomes of one request or probe; whether the connection may carry more."""
        if fault in REFUSALS or fault.startswith("status_"):
            return await self._refuse(talk, request, fault)
        if probe and self.draining:
            return await self._say(talk, 503, b"leaving", None, request)
        # The very slots of this life: a later one has its own.
        held = self.slots
        if held.full:
            return await self._turn_away(talk, request)
        left_s = headers.left_s(headers.fields(request.headers))
        end = None if left_s is None else self._clock.now() + left_s
        ticket = held.ticket()
        try:
            came = await self._queue(talk, ticket, end)
            if came != "done":
                self.counts[f"{came}_in_queue"] += 1
                if came == "gone":
                    return False
                promise = [headers.NOT_RUN, *self._id()]
                return await self._say(talk, 503, b"too late", promise, request)
            worked = await self._work(talk, request, target, body, fault, probe, end)
        finally:
            held.drop(ticket)
        if worked != "done":
            self.counts[f"{worked}_at_work"] += 1
            if worked == "gone":
                return False
            return await self._say(talk, 504, b"out of time", None, request)
        return await self._answer(talk, request, target, fault, probe)

    async def _refuse(self, talk: talks.Talk, request: h11.Request, fault: str) -> bool:
        """A fault for which a request is not even queued."""
        if fault == "promise":
            return await self._say(talk, 503, b"no", [headers.NOT_RUN], request)
        if fault == "reset":
            return await self._end(talk, faults.End.RESET)
        if fault == "hang":
            await self._clock.sleep(HANG_S)
            return False
        return await self._say(talk, int(fault.removeprefix("status_")), b"failed", [], request)

    async def _queue(self, talk: talks.Talk, ticket: "asyncio.Future[None]", end: float | None) -> str:
        """Wait for a slot: "done", "late" where the expiry comes first, or "gone"."""
        if ticket.done():
            return "done"
        return await talk.unless_gone(ticket, None if end is None else end - self._clock.now())

    async def _turn_away(self, talk: talks.Talk, request: h11.Request) -> bool:
        """Full: what it does with one that it can't even queue."""
        self.counts["full"] += 1
        if self._profile.full == profiles.RESET:
            return await self._end(talk, faults.End.RESET)
        if self._profile.full == profiles.HANG:
            return await self._end(talk, faults.End.HANG)
        return await self._say(talk, 503, b"full", [headers.NOT_RUN, *self._id()], request)

    async def _work(
        self,
        talk: talks.Talk,
        request: h11.Request,
        target: str,
        body: bytes,
        fault: str,
        probe: bool,
        end: float | None,
    ) -> str:
        """Work on a request or probe: "done", "late" where it stops at the expiry, or "gone"."""
        profile = self._profile
        if probe:
            if profile.probe_s:
                await self._clock.sleep(profile.probe_s * profile.pace)
            return "done"
        if self._on_start is not None:
            self._on_start(self, request.method.decode(), target, body)
        span = profile.span(self.work_s, self._rng) * (faults.SLOW if fault == "slow" else 1)
        span *= profile.drag(self.slots.running, self._clock.now() - self._since)
        span = pages.asked_work_s(target, span)
        late = profile.stops and end is not None and end - self._clock.now() < span
        if late and end is not None:
            span = max(0.0, end - self._clock.now())
        if profile.drops:
            never: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            if await talk.unless_gone(never, span) == "gone":
                return "gone"
        else:
            await self._clock.sleep(span)
        if late:
            return "late"
        # Here the work is done: what a stand-in's history calls a run.
        self.execution_count += 1
        if self._on_execution is not None:
            self._on_execution(self, request.method.decode(), target, body)
        return "done"

    async def _answer(
        self,
        talk: talks.Talk,
        request: h11.Request,
        target: str,
        fault: str,
        probe: bool,
    ) -> bool:
        """The reply to work that is done, or what is made of it."""
        if fault in faults.LOST:
            return await self._end(talk, faults.lost(fault))
        if fault.startswith("run_then_") and not probe:
            # It did the work, and all the same bids the caller come again.
            status, _, long = fault.removeprefix("run_then_").partition("_")
            data = b"busy" * (faults.LONG_BODY // 4 if long else 1)
            return await self._say(talk, int(status), data, [("retry-after", "1"), *self._id()], request)
        data = pages.body(self.name, self.service, target, headers.fields(request.headers))
        by = [("dykeswitch-served-by", "somebody-else")] if fault == "wrong_id" else None
        if fault not in (*faults.BROKEN, *faults.SURPLUS):
            return await self._say(talk, 200, data, by, request)
        said = faults.said(fault, self._whole(talk, 200, data, by, request), self._rng)
        await talk.write(said.data)
        if said.pause_s:
            await self._clock.sleep(said.pause_s)
        if said.soon:
            await self._clock.sleep(self._rng.uniform(0.0, faults.SOON_S))
            await talk.write(said.soon)
        talk.late = said.late
        return await self._end(talk, said.end)

    def _id(self) -> Headers:
        return [("dykeswitch-served-by", self.name)]

    def _whole(
        self, talk: talks.Talk, status: int, data: bytes, extra: Headers | None, request: h11.Request
    ) -> bytes:
        profile, asked = self._profile, headers.fields(request.headers)
        fields = [("content-length", str(len(data))), ("content-type", "application/json")]
        fields += self._id() if extra is None else extra
        fields.append((headers.SEAL, headers.seal(status, data)))
        fields += [(name, asked[name]) for name in (headers.EXCHANGE, headers.ASK) if name in asked]
        if profile.tells:
            told = (self.slots.running, self.slots.waiting, profile.slots or 0)
            fields.append((headers.LOAD, ",".join(map(str, told))))
        if profile.idle_s is not None:
            fields.append(("keep-alive", f"timeout={int(profile.idle_s)}"))
        if self.draining or (profile.close_share and self._rng.random() < profile.close_share):
            fields.append(("connection", "close"))
        return talk.whole(status, fields, b"" if request.method == b"HEAD" else data)

    async def _say(
        self,
        talk: talks.Talk,
        status: int,
        data: bytes,
        extra: Headers | None,
        request: h11.Request,
    ) -> bool:
        await talk.write(self._whole(talk, status, data, extra, request))
        return True
