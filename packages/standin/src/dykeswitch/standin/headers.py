"""Header fields between stand-in clients and endpoints."""

import typing
import zlib

# The name of the endpoint that a request is meant for.
EXPECTED: typing.Final = "dykeswitch-expected"
# Fields of a request that its response repeats.
EXCHANGE: typing.Final = "dykeswitch-exchange"
ASK: typing.Final = "x-ask"
# Lets a client verify a whole response: its status, its length and its checksum.
SEAL: typing.Final = "x-seal"
LOAD: typing.Final = "dykeswitch-burden"
EXPIRY: typing.Final = "dykeswitch-expiry-ms"
NOT_RUN: typing.Final = ("dykeswitch-promise", "not-run")


def seal(status: int, data: bytes) -> str:
    """Return the seal by which a client verifies that a response is whole and as the endpoint sent it."""
    return f"{status}.{len(data)}.{zlib.crc32(data):08x}"


def decode_fields(raw: typing.Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return header fields by name; of several with one name the last."""
    return {key.decode(): value.decode("latin-1") for key, value in raw}


def time_budget_s(headers: typing.Mapping[str, str]) -> float | None:
    """Return how long a request may be worked on, or None if it doesn't say."""
    budget_ms = headers.get(EXPIRY, "")
    return int(budget_ms) / 1000 if budget_ms.isdigit() else None
