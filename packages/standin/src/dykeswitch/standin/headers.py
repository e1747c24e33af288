"""Header fields between stand-in callers and endpoints."""

import typing
import zlib

# What a caller names the endpoint by that it means, and what of a request is said back.
EXPECTED: typing.Final = "dykeswitch-expected"
EXCHANGE: typing.Final = "dykeswitch-exchange"
ASK: typing.Final = "x-ask"
# By which a caller knows a whole reply: its status, its length and its sum.
SEAL: typing.Final = "x-seal"
LOAD: typing.Final = "dykeswitch-burden"
EXPIRY: typing.Final = "dykeswitch-expiry-ms"
NOT_RUN: typing.Final = ("dykeswitch-promise", "not-run")


def seal(status: int, data: bytes) -> str:
    """By which a reply is known to be whole, and to be what the endpoint said."""
    return f"{status}.{len(data)}.{zlib.crc32(data):08x}"


def fields(raw: typing.Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Header fields by their names; of two with one name the last."""
    return {key.decode(): value.decode("latin-1") for key, value in raw}


def left_s(headers: typing.Mapping[str, str]) -> float | None:
    """For how many seconds a request may be worked on, if it says so."""
    left = headers.get(EXPIRY, "")
    return int(left) / 1000 if left.isdigit() else None
