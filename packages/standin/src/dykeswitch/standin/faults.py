"""The ways in which an endpoint may fail, by name, and what they make of a reply."""

import dataclasses
import enum
import random
import typing

# Before any work: what it says or does instead.
UNRUN: typing.Final = ("promise", "hang", "reset")
# Once the work is done: no reply comes at all, and how that shows.
LOST: typing.Final = ("lose", "lose_silent", "lose_reset")
# Bytes that are no reply, or no whole one.
BROKEN: typing.Final = (
    "garbage",
    "garbage_any",
    "unsigned",
    "cut",
    "cut_chunks",
    "cut_head",
    "cut_reset",
    "cut_late",
)
# A whole reply, and then another that nobody asked for: with it, soon after it, or in the
# place where the next one is expected; or bytes that are no reply.
SURPLUS: typing.Final = ("surplus", "surplus_soon", "surplus_late", "surplus_bytes")

FAULTS: typing.Final = (
    "none",
    "status_500",
    "status_502",
    "status_503",
    *UNRUN,
    *LOST,
    *BROKEN,
    *SURPLUS,
    "wrong_id",
    "slow",
    "run_then_500",
    "run_then_500_long",
    "run_then_503",
)
# How many times as slow an endpoint is that is told to be.
SLOW: typing.Final = 25
# The body of a failure that is too long for a proxy to hold before it passes it on, in bytes.
LONG_BODY: typing.Final = 1_250_000
# For how long an endpoint stays half way through an answer before it breaks off, in seconds.
HALF_WAY_S: typing.Final = 3.0
# How soon after a reply surplus bytes come: about when the next request may be on its way.
SOON_S: typing.Final = 0.02
NOT_HTTP: typing.Final = b"\x00\xff not HTTP at all \r\n\r\n"

ODD: typing.Final = (
    NOT_HTTP,
    b"HTTP/1.1 2",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello77",
    b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\nshort",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    # No length and no chunks: it ends with its pipe, as a cut one would.
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}",
)


# Whole replies that say neither whose they are nor to what.
UNSIGNED: typing.Final = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    b"HTTP/9.9 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\nx-long: " + b"x" * 70000 + b"\r\ncontent-length: 2\r\n\r\nok",
)


@dataclasses.dataclass(slots=True)
class Plan:
    """How an endpoint behaves at the moment."""

    fault: str = "none"
    share: float = 1.0
    probe_too: bool = False
    probe_only: bool = False

    def draw(self, rng: random.Random, probe: bool) -> str:
        """What happens to one request, or probe."""
        fault = self.fault if rng.random() < self.share else "none"
        spared = not self.probe_too if probe else self.probe_only
        return "none" if spared else fault


class End(enum.Enum):
    """What becomes of the pipe after a reply."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    # Left open, and nothing more is said on it.
    HANG = "hang"


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """Bytes in place of a reply: at once, a little later, and before the next reply."""

    data: bytes
    end: End
    soon: bytes = b""
    late: bytes = b""
    # For how long the connection stays open, and silent, after the first bytes.
    pause_s: float = 0.0


def lost(fault: str) -> End:
    """How it shows that a reply is lost."""
    return {"lose": End.CLOSE, "lose_silent": End.HANG, "lose_reset": End.RESET}[fault]


def said(fault: str, whole: bytes, rng: random.Random) -> Said:
    """What is sent in place of a whole reply, or after it."""
    return _surplus(fault, whole) if fault in SURPLUS else _broken(fault, whole, rng)


def _surplus(fault: str, whole: bytes) -> Said:
    """A whole reply, and bytes that nobody asked for."""
    # The same once more: a repeat of a reply belongs to nobody.
    if fault == "surplus":
        return Said(whole + whole, End.KEEP)
    if fault == "surplus_soon":
        return Said(whole, End.KEEP, soon=whole)
    if fault == "surplus_late":
        return Said(whole, End.KEEP, late=whole)
    return Said(whole + NOT_HTTP, End.KEEP)


def _broken(fault: str, whole: bytes, rng: random.Random) -> Said:
    """Bytes that are no reply, or no whole one."""
    head, gap, body = whole.partition(b"\r\n\r\n")
    if fault == "garbage":
        return Said(NOT_HTTP, End.CLOSE)
    if fault == "garbage_any":
        return Said(rng.choice(ODD), rng.choice((End.CLOSE, End.HANG)))
    if fault == "unsigned":
        return Said(rng.choice(UNSIGNED), End.CLOSE)
    if fault == "cut_head":
        return Said(head[: rng.randrange(1, len(head))], End.CLOSE)
    half = body[: len(body) // 2]
    if fault == "cut_chunks":
        fields = [f for f in head.split(b"\r\n") if not f.lower().startswith(b"content-length:")]
        fields.append(b"transfer-encoding: chunked")
        return Said(b"\r\n".join(fields) + gap + b"%x\r\n%s\r\n" % (len(half), half), End.CLOSE)
    data = head + gap + half
    if fault == "cut_late":
        return Said(data, End.CLOSE, pause_s=HALF_WAY_S)
    return Said(data, End.RESET if fault == "cut_reset" else End.CLOSE)
