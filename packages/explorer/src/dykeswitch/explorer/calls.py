"""Calls between hosts. The model delivers or loses each request and each reply."""

import asyncio
import dataclasses
import enum
import typing

import cbor2

import dykeswitch.explorer.fingerprint as fingerprint
import dykeswitch.explorer.hosts as hosts
import dykeswitch.frames as frames
import dykeswitch.outcome as outcome


class Phase(enum.Enum):
    """The state of a call."""

    REQUEST = "request"
    RUNNING = "running"
    REPLY = "reply"
    # The target process ended during the call; the caller has not been notified yet.
    BROKEN = "broken"


@fingerprint.exclude_from_fingerprint
@dataclasses.dataclass(eq=False)
class Call:
    """A call in progress."""

    source: hosts.Host
    target: hosts.Host
    kind: str
    body: bytes
    label: str
    # None if no caller is waiting: the caller gave up, or this is a duplicate delivery.
    future: asyncio.Future[frames.Result] | None
    phase: Phase = Phase.REQUEST
    reply: frames.Result | None = None

    def __post_init__(self) -> None:
        self.source_only = frozenset({self.source.name})
        self.target_only = frozenset({self.target.name})
        self.both_ends = self.source_only | self.target_only

    def resolve(self, result: frames.Result) -> None:
        """Return the result to the caller, if it is still waiting."""
        if self.future is not None and not self.future.done() and self.source.up:
            self.future.set_result(result)
        self.future = None

    def state(self) -> str:
        """Describe the call for a fingerprint."""
        reply = "" if self.reply is None else repr(self.reply)
        return f"{self.label} {self.body!r} {self.phase.value} {self.future is not None} {reply}"


Send = typing.Callable[[hosts.Host, str, str, frames.Body], asyncio.Future[frames.Result]]


@fingerprint.exclude_from_fingerprint
class ModelCallClient(frames.CallClient):
    """Makes calls through the model."""

    def __init__(self, host: hosts.Host, send: Send) -> None:
        super().__init__(hosts.NoNetwork())
        self._host = host
        self._send = send

    async def call(self, address: str, kind: str, body: frames.Body, timeout_s: float) -> frames.Result:
        """Send a request and wait until the model delivers a reply or an error."""
        return await self._send(self._host, address, kind, body)


async def serve(handlers: typing.Mapping[str, frames.Handler], call: Call) -> None:
    """Run a call at its target, in the same way as `frames.CallServer`."""
    handler = handlers.get(call.kind)
    if handler is None:
        result: frames.Result = outcome.failure("no_kind", call.kind)
    else:
        try:
            result = await handler(cbor2.loads(call.body))
        except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
            result = outcome.failure("bad_frame", f"{type(error).__name__}: {error}")
    call.reply = round_trip_encoding(result)
    call.phase = Phase.REPLY


def round_trip_encoding(result: frames.Result) -> frames.Result:
    """Encode and decode a result, as it would be on its way to the caller."""
    if isinstance(result, outcome.Success):
        body: frames.Body = cbor2.loads(cbor2.dumps(result.value))
        return outcome.Success(body)
    return outcome.failure(result.code.tag, result.detail)


def describe(source: str, target: str, kind: str, body: frames.Body) -> str:
    """Return a short label for a call, which is its name in traces."""
    parts = [f"{source}->{target}", kind]
    if "key" in body:
        parts.append(str(body["key"]))
    if "ballot" in body:
        count, name = body["ballot"]
        parts.append(f"ballot {count}.{name}")
    if "value" in body:
        version, body_bytes = body["value"][:2]
        parts.append(f"version {version} {_short(body_bytes)}")
    if "set" in body:
        parts.append(f"set {body['set'][0]}")
    if "epoch" in body:
        parts.append(f"epoch {body['epoch']}")
    for name in ("order", "name", "want"):
        if name in body:
            parts.append(f"{name} {body[name]}")
    return " ".join(parts)


def _short(body: bytes) -> str:
    text = body.decode("ascii", "replace")
    return text if text.isprintable() and len(text) <= 16 else f"#{fingerprint.digest(repr(body)).hex()[:6]}"
