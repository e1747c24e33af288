"""A stand-in endpoint: answers, beats, and misbehaves when told to."""

import dataclasses
import json
import random
import typing

import h11

import dykeswitch.ports as ports

# The ways in which an endpoint may fail, by name.
FAULTS: typing.Final = (
    "none",
    "status_500",
    "status_502",
    "status_503",
    "promise",
    "lose",
    "hang",
    "garbage",
    "cut",
    "wrong_id",
    "slow",
    "run_then_503",
)

Ran = typing.Callable[["Endpoint", str, str, bytes], None]
Hit = typing.Callable[["Endpoint", str, str], None]


@dataclasses.dataclass(slots=True)
class Plan:
    """How an endpoint behaves at the moment."""

    fault: str = "none"
    share: float = 1.0
    probe_too: bool = False
    probe_only: bool = False


class Endpoint:
    """One endpoint of one service at one address."""

    def __init__(
        self,
        name: str,
        service: str,
        spot: str,
        zone: str,
        machine: ports.Machine,
        registries: typing.Callable[[], typing.Sequence[str]],
        dice: random.Random,
        work_s: float = 0.02,
        interval_s: float = 1.0,
        ran: Ran | None = None,
        hit: Hit | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.spot = spot
        self.zone = zone
        self._machine = machine
        self._clock = machine.clock
        self._registries = registries
        self._dice = dice
        self.work_s = work_s
        self.interval_s = interval_s
        self._ran = ran
        self._hit = hit
        self.plan = Plan()
        self.busy = 0
        self.runs = 0
        self.hits = 0
        self.beating = True
        self.refused = ""
        self._ear: ports.Listener | None = None
        self._leaving = False

    def rehost(self, machine: ports.Machine) -> None:
        """Move to another machine before opening."""
        self._machine = machine
        self._clock = machine.clock
        self.beating = True

    async def open(self) -> None:
        self._ear = await self._machine.net.listen(self.spot, self._serve)

    def close(self) -> None:
        """End at once, as a killed process does."""
        self.beating = False
        if self._ear is not None:
            self._ear.close()

    async def beat_for_ever(self) -> None:
        turn = self._dice.randrange(1000)
        while self.beating:
            span = self.interval_s
            if await self.beat(turn) is None:
                # Another registry may be there: ask it soon.
                turn += 1
                span = self.interval_s / 4
            await self._clock.sleep(span)

    async def beat(self, turn: int, leaving: bool = False) -> ports.Reply | None:
        """One beat to one registry."""
        spots = self._registries()
        page: dict[str, typing.Any] = {
            "id": self.name,
            "service": self.service,
            "address": self.spot,
            "zone": self.zone,
            "burden": round(self.busy / 16, 3),
            "interval_s": self.interval_s,
        }
        if leaving:
            page["leaving"] = True
        try:
            reply = await self._machine.web.ask(
                "POST",
                spots[turn % len(spots)],
                "/v1/beat",
                [("content-type", "application/json")],
                json.dumps(page).encode(),
                1.0,
            )
        except (OSError, TimeoutError):
            return None
        if reply.status == 409:
            self.refused = json.loads(reply.body).get("why", "")
        return reply if reply.status < 500 else None

    async def leave(self) -> bool:
        """Say that we leave, to whichever registry hears it."""
        self.beating = False
        for turn in range(9):
            if await self.beat(turn, leaving=True) is not None:
                return True
            await self._clock.sleep(0.2)
        return False

    async def _serve(self, pipe: ports.Pipe) -> None:
        talk = h11.Connection(h11.SERVER)
        try:
            while True:
                event = talk.next_event()
                if event is h11.NEED_DATA:
                    talk.receive_data(await pipe.read(65536))
                    continue
                if isinstance(event, h11.Request):
                    if not await self._reply_to(talk, pipe, event):
                        return
                    if talk.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
                        return
                    talk.start_next_cycle()
                    continue
                return
        except (OSError, h11.ProtocolError):
            return
        finally:
            pipe.close()

    async def _body(self, talk: h11.Connection, pipe: ports.Pipe) -> bytes | None:
        parts: list[bytes] = []
        while True:
            event = talk.next_event()
            if event is h11.NEED_DATA:
                talk.receive_data(await pipe.read(65536))
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                return None

    async def _reply_to(self, talk: h11.Connection, pipe: ports.Pipe, ask: h11.Request) -> bool:
        body = await self._body(talk, pipe)
        if body is None:
            return False
        target = ask.target.decode("latin-1")
        probe = target.split("?")[0] == "/healthz"
        fault = self.plan.fault if self._dice.random() < self.plan.share else "none"
        if probe and not self.plan.probe_too:
            fault = "none"
        if not probe and self.plan.probe_only:
            fault = "none"
        if not probe:
            self.hits += 1
            if self._hit is not None:
                self._hit(self, ask.method.decode(), target)
        return await self._act(talk, pipe, ask, target, body, fault, probe)

    async def _act(
        self,
        talk: h11.Connection,
        pipe: ports.Pipe,
        ask: h11.Request,
        target: str,
        body: bytes,
        fault: str,
        probe: bool,
    ) -> bool:
        method = ask.method.decode()
        if fault == "promise":
            return await self._say(talk, pipe, 503, b"no", [("dykeswitch-promise", "not-run")], method)
        if fault.startswith("status_"):
            return await self._say(talk, pipe, int(fault[7:]), b"failed", [], method)
        if fault == "hang":
            await self._clock.sleep(120)
            return False
        self.busy += 1
        try:
            if not probe:
                span = self.work_s * (0.5 + self._dice.random()) * (25 if fault == "slow" else 1)
                if "work=" in target:
                    span = float(target.split("work=")[1].split("&")[0])
                await self._clock.sleep(span)
                # Here the work is done: what a stand-in's history calls a run.
                self.runs += 1
                if self._ran is not None:
                    self._ran(self, method, target, body)
        finally:
            self.busy -= 1
        if fault == "lose":
            return False
        if fault == "run_then_503" and not probe:
            # It did the work, and all the same bids the caller come again.
            again = [("retry-after", "1"), *self._id()]
            return await self._say(talk, pipe, 503, b"busy", again, method)
        if fault == "garbage":
            await pipe.write(b"\x00\xff not HTTP at all \r\n\r\n")
            return False
        head = {k.decode(): v.decode("latin-1") for k, v in ask.headers}
        page = {"by": self.name, "service": self.service, "target": target, "echo": head.get("x-ask", "")}
        data = json.dumps(page).encode()
        if "size=" in target:
            size = int(target.split("size=")[1].split("&")[0])
            data += b" " * max(0, size - len(data))
        if fault == "cut":
            said = talk.send(
                h11.Response(status_code=200, headers=[("content-length", str(len(data))), *self._id()])
            )
            await pipe.write((said or b"") + data[: len(data) // 2])
            return False
        by = [("dykeswitch-served-by", "somebody-else")] if fault == "wrong_id" else None
        return await self._say(talk, pipe, 200, data, by, method)

    def _id(self) -> list[tuple[str, str]]:
        return [("dykeswitch-served-by", self.name)]

    async def _say(
        self,
        talk: h11.Connection,
        pipe: ports.Pipe,
        status: int,
        data: bytes,
        extra: list[tuple[str, str]] | None,
        method: str,
    ) -> bool:
        heads = [("content-length", str(len(data))), ("content-type", "application/json")]
        heads += self._id() if extra is None else extra
        out = talk.send(h11.Response(status_code=status, headers=heads)) or b""
        if method != "HEAD":
            out += talk.send(h11.Data(data=data)) or b""
        out += talk.send(h11.EndOfMessage()) or b""
        await pipe.write(out)
        return True
