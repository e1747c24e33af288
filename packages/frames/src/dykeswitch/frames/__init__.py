"""Calls between members, sent as CBOR frames with a magic, a version, a length and a size limit.

Each call has a unique id: random bytes chosen when the calling process starts, and a counter.
The reply repeats the id; a reply with another id closes the connection and is never matched to
the current call. Members of releases without call ids are still supported: only one call at a
time uses a connection, and a connection whose call timed out is never reused.
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

# The field of a frame body that contains the call id; it is removed before the handler sees the body.
CALL_ID: typing.Final = "call"
# Length in bytes of the random prefix that all call ids of one process share.
CALL_ID_PREFIX_SIZE: typing.Final = 8
MAX_CALL_ID_BYTES: typing.Final = 32

Body = dict[str, typing.Any]
Result = outcome.Success[Body] | outcome.Failure
Handler = typing.Callable[[Body], typing.Awaitable[Result]]


class Meter(typing.Protocol):
    """Records each call, with the sizes of both its frames in bytes."""

    def record_call(self, side: str, kind: str, sent_bytes: int, received_bytes: int) -> None:
        """Records one call; `side` is "asked" for our calls and "heard" for those of others."""
        ...


class NullMeter:
    """A meter that records nothing."""

    def record_call(self, side: str, kind: str, sent_bytes: int, received_bytes: int) -> None:
        """Does nothing."""
        return None


class CallCounters:
    """A meter that counts calls and bytes by side ("asked" by us, "heard" from others) and kind."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def record_call(self, side: str, kind: str, sent_bytes: int, received_bytes: int) -> None:
        """Adds one call to the counters of its side and kind."""
        for name, amount in (("calls", 1), ("sent_bytes", sent_bytes), ("got_bytes", received_bytes)):
            key = f"frames_{side}_{kind}_{name}"
            self.counts[key] = self.counts.get(key, 0) + amount


class FrameError(Exception):
    """The peer sent an invalid frame, or a frame is too large to send."""

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.code.text)
        self.failure = failure


class FrameConnection:
    """A connection that reads and writes whole frames."""

    def __init__(self, connection: ports.Connection) -> None:
        self._connection = connection
        self._buffer = bytearray()
        # Sizes of the last frame received and sent, including the frame header.
        self.received_bytes = 0
        self.sent_bytes = 0
        # Whether the peer has repeated a call id before: from then on every reply must have one.
        self.echoes_call_ids = False

    async def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            data = await self._connection.read(READ_SIZE)
            if not data:
                return False
            self._buffer += data
        return True

    async def read(self) -> Body | None:
        """Returns the body of the next frame, or None when the connection has ended."""
        if not await self._fill(HEADER.size):
            return None
        magic, version, size = HEADER.unpack(bytes(self._buffer[: HEADER.size]))
        if magic != MAGIC:
            raise FrameError(outcome.failure("bad_frame", "not a dykeswitch frame"))
        if version != VERSION:
            raise FrameError(outcome.failure("other_version", f"frame version {version}, expected {VERSION}"))
        # The length is checked before any of the body is buffered.
        if size > MAX_FRAME_BYTES:
            raise FrameError(outcome.failure("frame_too_big", f"{size} bytes"))
        if not await self._fill(HEADER.size + size):
            return None
        data = bytes(self._buffer[HEADER.size : HEADER.size + size])
        del self._buffer[: HEADER.size + size]
        self.received_bytes = HEADER.size + size
        try:
            body = cbor2.loads(data)
        except Exception as error:
            # Bytes from a peer can make cbor2 raise errors of many types; each means an invalid frame.
            raise FrameError(outcome.failure("bad_frame", f"invalid CBOR: {type(error).__name__}")) from error
        if not isinstance(body, dict) or not isinstance(body.get("kind"), str):
            raise FrameError(outcome.failure("bad_frame", "body is not a map with a kind"))
        return body

    async def write(self, body: Body) -> None:
        """Sends one frame; raises `FrameError` if it exceeds the size limit."""
        data = cbor2.dumps(body)
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(outcome.failure("frame_too_big", f"{len(data)} bytes"))
        self.sent_bytes = HEADER.size + len(data)
        await self._connection.write(HEADER.pack(MAGIC, VERSION, len(data)) + data)

    def close(self) -> None:
        """Closes the underlying connection."""
        self._connection.close()

    def ended(self) -> bool:
        """Whether the connection can't be reused: it has ended, or unread bytes are left over."""
        return self._connection.ended() or bool(self._buffer)


def _failure_body(failure: outcome.Failure) -> Body:
    return {"kind": "bad", "tag": failure.code.tag, "why": failure.detail}


def _result(body: Body) -> Result:
    if body["kind"] == "bad":
        tag = str(body.get("tag"))
        return outcome.failure(tag if tag in outcome.RESULT_CODES else "broke", str(body.get("why", "")))
    return outcome.Success(body)


def _call_id_of(body: Body) -> Body:
    """Removes the call id from a body; returns the fields that the reply has to repeat."""
    if CALL_ID not in body:
        return {}
    call_id = body.pop(CALL_ID)
    if not isinstance(call_id, bytes) or len(call_id) > MAX_CALL_ID_BYTES:
        raise FrameError(outcome.failure("bad_frame", "not a call id"))
    return {CALL_ID: call_id}


class CallServer:
    """Serves calls: one task per connection, and one call at a time on each connection."""

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
        """Answers the calls on one connection until it ends or sends an invalid frame."""
        frames = FrameConnection(connection)
        try:
            while True:
                body = await frames.read()
                if body is None:
                    return
                call_id = _call_id_of(body)
                await frames.write({**await self._reply(body), **call_id})
                # Unknown kinds are chosen by the sender, so they share one counter.
                kind = body["kind"] if body["kind"] in self._kinds else "other"
                self._meter.record_call("heard", kind, frames.sent_bytes, frames.received_bytes)
        except FrameError as error:
            self._note("frame refused", error.failure.code.tag)
            await frames.write(_failure_body(error.failure))
        except OSError:
            return
        finally:
            frames.close()

    async def _reply(self, body: Body) -> Body:
        handler = self._kinds.get(body["kind"])
        if handler is None:
            return _failure_body(outcome.failure("no_kind", str(body["kind"])[:80]))
        try:
            result = await handler(body)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
            # Handlers raise these on malformed bodies: the call is refused and the server goes on.
            self._note("call refused", f"{body['kind']}: {type(error).__name__}: {error}")
            return _failure_body(outcome.failure("bad_frame", f"{type(error).__name__}"))
        if isinstance(result, outcome.Failure):
            return _failure_body(result)
        return {"kind": "good", **result.value}


class CallClient:
    """Makes calls to members, and keeps idle connections for later calls to the same address."""

    def __init__(self, net: ports.Network, meter: Meter | None = None) -> None:
        self._net = net
        self._meter = meter or NullMeter()
        self._idle: dict[str, collections.deque[FrameConnection]] = {}
        self._call_id_prefix = os.urandom(CALL_ID_PREFIX_SIZE)
        self._call_sequence = itertools.count(1)

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def call(self, address: ports.Address, kind: str, body: Body, timeout_s: float) -> Result:
        """Makes one call and returns its result, or a failure if no reply came within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(address, {**body, "kind": kind}, timeout_s)
        except TimeoutError:
            return outcome.failure("no_reply", address)
        except FrameError as error:
            return error.failure
        except OSError as error:
            return outcome.failure("no_reply", f"{address}: {error}")

    async def _call(self, address: ports.Address, body: Body, timeout_s: float) -> Result:
        idle = self._idle.setdefault(address, collections.deque())
        while idle:
            connection = idle.pop()
            if connection.ended():
                connection.close()
                continue
            result = await self._attempt(address, connection, body)
            # An idle connection may have been closed by the peer without our noticing. All calls
            # are safe to repeat, so the call is sent again on another connection.
            if result is not None:
                return result
        connection = FrameConnection(await self._net.connect(address, timeout_s))
        result = await self._attempt(address, connection, body)
        return outcome.failure("no_reply", f"{address}: connection closed") if result is None else result

    def _next_call_id(self) -> bytes:
        return self._call_id_prefix + next(self._call_sequence).to_bytes(6, "big")

    async def _attempt(self, address: str, connection: FrameConnection, body: Body) -> Result | None:
        reusable = False
        # Each attempt has its own id, so that a late reply to one attempt is not matched to the next.
        call_id = self._next_call_id()
        try:
            await connection.write({**body, CALL_ID: call_id})
            reply = await connection.read()
            if reply is None:
                return None
            # A peer that could not read our frame reports it without a call id and then closes the
            # connection, so this reply is accepted without an id but the connection is not reused.
            refused = reply["kind"] == "bad" and CALL_ID not in reply and connection.echoes_call_ids
            if not refused:
                _check_call_id(connection, reply, call_id)
            reusable = not refused
            self._meter.record_call("asked", body["kind"], connection.sent_bytes, connection.received_bytes)
            return _result(reply)
        except OSError:
            return None
        finally:
            idle = self._idle.setdefault(address, collections.deque())
            if reusable and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
            else:
                connection.close()


def _check_call_id(connection: FrameConnection, reply: Body, call_id: bytes) -> None:
    """Raises `FrameError` if a reply has the wrong call id, or none though the peer repeats call ids."""
    if CALL_ID in reply:
        if reply.pop(CALL_ID) != call_id:
            raise FrameError(outcome.failure("bad_frame", "reply has the id of another call"))
        connection.echoes_call_ids = True
    elif connection.echoes_call_ids:
        raise FrameError(outcome.failure("bad_frame", "reply without a call id"))
