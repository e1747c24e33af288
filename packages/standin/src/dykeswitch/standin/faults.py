"""The faults that a stand-in endpoint can have, by name, and what each does to a response."""

import dataclasses
import enum
import random
import typing

# Faults that come in place of any work.
BEFORE_WORK: typing.Final = ("promise", "hang", "reset")
# The work is done but no response is sent; the names differ in what happens to the connection.
NO_RESPONSE: typing.Final = ("lose", "lose_silent", "lose_reset")
# The bytes that are sent are not a response, or not a whole one.
MALFORMED: typing.Final = (
    "garbage",
    "garbage_any",
    "unsigned",
    "cut",
    "cut_chunks",
    "cut_head",
    "cut_reset",
    "cut_late",
)
# A whole response is followed by one that nobody requested: at once, soon after it, or where the
# next response is expected; or by bytes that are not a response.
SURPLUS: typing.Final = ("surplus", "surplus_soon", "surplus_late", "surplus_bytes")

FAULTS: typing.Final = (
    "none",
    "status_500",
    "status_502",
    "status_503",
    *BEFORE_WORK,
    *NO_RESPONSE,
    *MALFORMED,
    *SURPLUS,
    "wrong_id",
    "slow",
    "run_then_500",
    "run_then_500_long",
    "run_then_503",
)
# By how many times the fault "slow" lengthens the work.
SLOWDOWN: typing.Final = 25
# Size of an error response that is too long for a proxy to buffer whole before it passes it on.
LONG_BODY_BYTES: typing.Final = 1_250_000
# How long an endpoint pauses half way through a response before it breaks off.
MID_BODY_PAUSE_S: typing.Final = 3.0
# Surplus bytes come at most this long after a response: about when the next request may be on its way.
MAX_SURPLUS_DELAY_S: typing.Final = 0.02
NOT_HTTP: typing.Final = b"\x00\xff not HTTP at all \r\n\r\n"

MALFORMED_RESPONSES: typing.Final = (
    NOT_HTTP,
    b"HTTP/1.1 2",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello77",
    b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\nshort",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    # Neither a length nor chunks: it ends with its connection, as a truncated one would.
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}",
)


# Whole responses that name neither their endpoint nor their request.
UNIDENTIFIED_RESPONSES: typing.Final = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    b"HTTP/9.9 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\nx-long: " + b"x" * 70000 + b"\r\ncontent-length: 2\r\n\r\nok",
)


@dataclasses.dataclass(slots=True)
class FaultPlan:
    """The fault that an endpoint has at the moment, and for which requests.

    Attributes:
        fault: The name of the fault, of `FAULTS`.
        share: The share of requests that it affects.
        probe_too: Whether it affects probes besides requests.
        probe_only: Whether it affects no request, only probes.
    """

    fault: str = "none"
    share: float = 1.0
    probe_too: bool = False
    probe_only: bool = False

    def choose_fault(self, rng: random.Random, probe: bool) -> str:
        """Return the fault of one request or probe."""
        fault = self.fault if rng.random() < self.share else "none"
        exempt = not self.probe_too if probe else self.probe_only
        return "none" if exempt else fault


class ConnectionEnd(enum.Enum):
    """What happens to the connection after a response."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    # Left open, and nothing more is sent on it.
    HANG = "hang"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultyOutput:
    """Bytes sent in place of a response: at once, a little later, and before the next response."""

    data: bytes
    end: ConnectionEnd
    after_delay: bytes = b""
    before_next: bytes = b""
    # How long the connection stays open without further bytes after the first.
    pause_s: float = 0.0


def end_without_response(fault: str) -> ConnectionEnd:
    """Return what happens to the connection by a fault of `NO_RESPONSE`."""
    return {
        "lose": ConnectionEnd.CLOSE,
        "lose_silent": ConnectionEnd.HANG,
        "lose_reset": ConnectionEnd.RESET,
    }[fault]


def faulty_output(fault: str, response: bytes, rng: random.Random) -> FaultyOutput:
    """Return what is sent in place of a whole response, or after it."""
    return _surplus_output(fault, response) if fault in SURPLUS else _malformed_output(fault, response, rng)


def _surplus_output(fault: str, response: bytes) -> FaultyOutput:
    """Return a whole response and bytes that nobody requested."""
    # The surplus is the same response again: a repeated response belongs to no request.
    if fault == "surplus":
        return FaultyOutput(response + response, ConnectionEnd.KEEP)
    if fault == "surplus_soon":
        return FaultyOutput(response, ConnectionEnd.KEEP, after_delay=response)
    if fault == "surplus_late":
        return FaultyOutput(response, ConnectionEnd.KEEP, before_next=response)
    return FaultyOutput(response + NOT_HTTP, ConnectionEnd.KEEP)


def _malformed_output(fault: str, response: bytes, rng: random.Random) -> FaultyOutput:
    """Return bytes that are not a response, or not a whole one."""
    head, separator, body = response.partition(b"\r\n\r\n")
    if fault == "garbage":
        return FaultyOutput(NOT_HTTP, ConnectionEnd.CLOSE)
    if fault == "garbage_any":
        return FaultyOutput(
            rng.choice(MALFORMED_RESPONSES), rng.choice((ConnectionEnd.CLOSE, ConnectionEnd.HANG))
        )
    if fault == "unsigned":
        return FaultyOutput(rng.choice(UNIDENTIFIED_RESPONSES), ConnectionEnd.CLOSE)
    if fault == "cut_head":
        return FaultyOutput(head[: rng.randrange(1, len(head))], ConnectionEnd.CLOSE)
    half = body[: len(body) // 2]
    if fault == "cut_chunks":
        fields = [f for f in head.split(b"\r\n") if not f.lower().startswith(b"content-length:")]
        fields.append(b"transfer-encoding: chunked")
        return FaultyOutput(
            b"\r\n".join(fields) + separator + b"%x\r\n%s\r\n" % (len(half), half), ConnectionEnd.CLOSE
        )
    data = head + separator + half
    if fault == "cut_late":
        return FaultyOutput(data, ConnectionEnd.CLOSE, pause_s=MID_BODY_PAUSE_S)
    return FaultyOutput(data, ConnectionEnd.RESET if fault == "cut_reset" else ConnectionEnd.CLOSE)
