"""Frames between members: cbor2 with a length, a size cap and a version tag.

Each call bears an id that no other call ever has: random bytes drawn by the caller's process
at its start, and a count. The answer echoes it, and an answer that bears another one ends the
connection instead of being taken for ours. Members of releases that know no ids are tolerated:
for them one call at a time goes over a connection, and one that was not answered in time is
never used again.
"""

import asyncio
import collections
import itertools
import os
import struct
import typing

import cbor2

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports

MAGIC: typing.Final = b"dk"
VERSION: typing.Final = 1
HEADER: typing.Final = struct.Struct(">2sBI")
MAX_FRAME_BYTES: typing.Final = 48 * 1024 * 1024
READ_SIZE: typing.Final = 262144
MAX_IDLE_CONNECTIONS: typing.Final = 4

# The field of a body that bears the id of its call, which handlers do not see.
CALL_ID: typing.Final = "call"
BOOT_SIZE: typing.Final = 8
MAX_CALL_ID_BYTES: typing.Final = 32

Body = dict[str, typing.Any]
Result = outcome.Success[Body] | outcome.Failure
Handler = typing.Callable[[Body], typing.Awaitable[Result]]


class Meter(typing.Protocol):
    """Told of each call, with the bytes of both its frames."""

    def record_call(self, side: str, kind: str, sent: int, got: int) -> None: ...


class NullMeter:
    """Nobody counts."""

    def record_call(self, side: str, kind: str, sent: int, got: int) -> None:
        return None


class CallCounters:
    """Calls and bytes by side ("asked" by us, "heard" from others) and kind."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def record_call(self, side: str, kind: str, sent: int, got: int) -> None:
        for name, by in (("calls", 1), ("sent_bytes", sent), ("got_bytes", got)):
            key = f"frames_{side}_{kind}_{name}"
            self.counts[key] = self.counts.get(key, 0) + by


class FrameError(Exception):
    """Bytes that are no frame of ours."""

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.code.text)
        self.failure = failure


class FrameConnection:
    """A pipe that carries whole frames."""

    def __init__(self, connection: ports.Connection) -> None:
        self._connection = connection
        self._held = bytearray()
        # Bytes of the last frame each way, heads included.
        self.got = 0
        self.sent = 0
        # Whether the member at the other end has echoed an id: then each answer must bear one.
        self.echoes = False

    async def _fill(self, size: int) -> bool:
        while len(self._held) < size:
            data = await self._connection.read(READ_SIZE)
            if not data:
                return False
            self._held += data
        return True

    async def read(self) -> Body | None:
        """The next frame, or nothing when the pipe has ended."""
        if not await self._fill(HEADER.size):
            return None
        magic, version, size = HEADER.unpack(bytes(self._held[: HEADER.size]))
        if magic != MAGIC:
            raise FrameError(outcome.failure("bad_frame", "not a dykeswitch frame"))
        if version != VERSION:
            raise FrameError(outcome.failure("other_version", f"version {version}, not {VERSION}"))
        # The length is checked before a single byte of the body is held.
        if size > MAX_FRAME_BYTES:
            raise FrameError(outcome.failure("frame_too_big", f"{size} bytes"))
        if not await self._fill(HEADER.size + size):
            return None
        data = bytes(self._held[HEADER.size : HEADER.size + size])
        del self._held[: HEADER.size + size]
        self.got = HEADER.size + size
        try:
            body = cbor2.loads(data)
        except Exception as flaw:
            # Whatever the library stumbles over in a peer's bytes, it is the peer's frame that is bad.
            raise FrameError(outcome.failure("bad_frame", f"not cbor: {type(flaw).__name__}")) from flaw
        if not isinstance(body, dict) or not isinstance(body.get("kind"), str):
            raise FrameError(outcome.failure("bad_frame", "no kind"))
        return body

    async def write(self, body: Body) -> None:
        data = cbor2.dumps(body)
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(outcome.failure("frame_too_big", f"{len(data)} bytes"))
        self.sent = HEADER.size + len(data)
        await self._connection.write(HEADER.pack(MAGIC, VERSION, len(data)) + data)

    def close(self) -> None:
        self._connection.close()

    def ended(self) -> bool:
        return self._connection.ended() or bool(self._held)


def _failure_body(failure: outcome.Failure) -> Body:
    return {"kind": "bad", "tag": failure.code.tag, "why": failure.detail}


def _result(body: Body) -> Result:
    if body["kind"] == "bad":
        tag = str(body.get("tag"))
        return outcome.failure(tag if tag in outcome.RESULT_CODES else "broke", str(body.get("why", "")))
    return outcome.Success(body)


def _call_id_of(body: Body) -> Body:
    """Take the id out of a call: what its answer is to bear, if it bears one itself."""
    if CALL_ID not in body:
        return {}
    call_id = body.pop(CALL_ID)
    if not isinstance(call_id, bytes) or len(call_id) > MAX_CALL_ID_BYTES:
        raise FrameError(outcome.failure("bad_frame", "not a call id"))
    return {CALL_ID: call_id}


class CallServer:
    """Serves calls: one task for each pipe, one call at a time on each."""

    def __init__(
        self,
        kinds: dict[str, Handler],
        note: typing.Callable[[str, str], None],
        meter: Meter | None = None,
    ) -> None:
        self._kinds = kinds
        self._note = note
        self._meter = meter or NullMeter()

    async def serve(self, connection: ports.Connection) -> None:
        frames = FrameConnection(connection)
        try:
            while True:
                body = await frames.read()
                if body is None:
                    return
                call_id = _call_id_of(body)
                await frames.write({**await self._reply(body), **call_id})
                # A kind that nobody knows is the sender's word: it gets no counter of its own.
                kind = body["kind"] if body["kind"] in self._kinds else "other"
                self._meter.record_call("heard", kind, frames.sent, frames.got)
        except FrameError as flaw:
            self._note("frame refused", flaw.failure.code.tag)
            await frames.write(_failure_body(flaw.failure))
        except OSError:
            return
        finally:
            frames.close()

    async def _reply(self, body: Body) -> Body:
        handle = self._kinds.get(body["kind"])
        if handle is None:
            return _failure_body(outcome.failure("no_kind", str(body["kind"])[:80]))
        try:
            result = await handle(body)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as flaw:
            # A malformed body is the sender's fault, never a reason to fall over.
            self._note("call refused", f"{body['kind']}: {type(flaw).__name__}: {flaw}")
            return _failure_body(outcome.failure("bad_frame", f"{type(flaw).__name__}"))
        if isinstance(result, outcome.Failure):
            return _failure_body(result)
        return {"kind": "good", **result.value}


class CallClient:
    """Makes calls; idle connections are kept for the next call to the same member."""

    def __init__(self, net: ports.Network, meter: Meter | None = None) -> None:
        self._net = net
        self._meter = meter or NullMeter()
        self._idle: dict[str, collections.deque[FrameConnection]] = {}
        self._boot = os.urandom(BOOT_SIZE)
        self._calls = itertools.count(1)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def call(self, address: ports.Address, kind: str, body: Body, timeout_s: float) -> Result:
        """One call, answered or given up on within the wait."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(address, {**body, "kind": kind}, timeout_s)
        except TimeoutError:
            return outcome.failure("no_reply", address)
        except FrameError as flaw:
            return flaw.failure
        except OSError as flaw:
            return outcome.failure("no_reply", f"{address}: {flaw}")

    async def _call(self, address: ports.Address, body: Body, timeout_s: float) -> Result:
        idle = self._idle.setdefault(address, collections.deque())
        while idle:
            connection = idle.pop()
            if connection.ended():
                connection.close()
                continue
            result = await self._once(address, connection, body)
            # A connection kept idle may have died unseen: every call may be repeated
            # safely, so a fresh connection gets it once more.
            if result is not None:
                return result
        connection = FrameConnection(await self._net.connect(address, timeout_s))
        result = await self._once(address, connection, body)
        return outcome.failure("no_reply", f"{address}: closed") if result is None else result

    def _next_call_id(self) -> bytes:
        return self._boot + next(self._calls).to_bytes(6, "big")

    async def _once(self, address: str, connection: FrameConnection, body: Body) -> Result | None:
        done = False
        # Each try has an id of its own, so that a late answer to the first is none to the second.
        call_id = self._next_call_id()
        try:
            await connection.write({**body, CALL_ID: call_id})
            reply = await connection.read()
            if reply is None:
                return None
            # After a frame that could not be read there is no id to echo, and no next call.
            refused = reply["kind"] == "bad" and CALL_ID not in reply and connection.echoes
            if not refused:
                _check_call_id(connection, reply, call_id)
            done = not refused
            self._meter.record_call("asked", body["kind"], connection.sent, connection.got)
            return _result(reply)
        except OSError:
            return None
        finally:
            idle = self._idle.setdefault(address, collections.deque())
            if done and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
            else:
                connection.close()


def _check_call_id(connection: FrameConnection, reply: Body, call_id: bytes) -> None:
    """Refuse an answer to another call, and one without an id from a member that echoes them."""
    if CALL_ID in reply:
        if reply.pop(CALL_ID) != call_id:
            raise FrameError(outcome.failure("bad_frame", "the answer to another call"))
        connection.echoes = True
    elif connection.echoes:
        raise FrameError(outcome.failure("bad_frame", "an answer without the id of its call"))
