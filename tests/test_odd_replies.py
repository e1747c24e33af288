"""Member replies, documents, addresses and frames are validated where they are received."""

import asyncio
import json
import typing

import cbor2
import pytest

import dykeswitch.frames as frames
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.membership.replies as replies
import dykeswitch.ports as ports

GOOD: typing.Final[frames.Body] = {"boot": "b", "seq": 3, "items": [], "view": []}
ODD_SEQS: typing.Final = [float("inf"), float("nan"), -1, 2**53, True, "3", None]
PAUSE: typing.Final[dict[str, typing.Any]] = {
    "name": "n",
    "endpoint": "e",
    "begins": 1.0,
    "ends": 2.0,
    "reason": "r",
    "by": "b",
    "made": 0.5,
}


@pytest.mark.parametrize("raw", ["", ":", "10.0.0.1", "10.0.0.1:", ":80", "host:80", "10.0.0.1:0", None, 7])
def test_only_an_address_is_an_address(raw: object) -> None:
    with pytest.raises(ports.AddressError):
        ports.address_of(raw)


def test_an_address_stays_what_it_was() -> None:
    assert ports.address_of("10.0.0.1:80") == "10.0.0.1:80"


@pytest.mark.parametrize("seq", ODD_SEQS)
def test_a_reply_with_an_odd_place_is_refused(seq: object) -> None:
    with pytest.raises(ValueError):
        replies.read({**GOOD, "seq": seq})


@pytest.mark.parametrize("key", ["boot", "seq", "items"])
def test_a_reply_that_lacks_something_is_refused(key: str) -> None:
    with pytest.raises(ValueError):
        replies.read({name: value for name, value in GOOD.items() if name != key})


@pytest.mark.parametrize("items", [None, 5, "ab", {"a": 1}])
def test_a_reply_whose_items_are_no_list_is_refused(items: object) -> None:
    with pytest.raises(ValueError):
        replies.read({**GOOD, "items": items})


def test_a_good_reply_is_read() -> None:
    assert replies.read(GOOD) == replies.Reply("b", 3, [], [])


@pytest.mark.parametrize("version", [*ODD_SEQS, 1.0])
def test_a_document_with_an_odd_version_is_refused(version: object) -> None:
    with pytest.raises(ValueError):
        documents.read_reply({"version": version, "body": b"x"})


@pytest.mark.parametrize("body", [10**12, "text", None, [1]])
def test_a_document_whose_body_is_no_bytes_is_refused(body: object) -> None:
    with pytest.raises(ValueError):
        documents.read_reply({"version": 1, "body": body})


@pytest.mark.parametrize("packed", [b"", b"x", b"\x78\x9c"])
def test_a_document_that_does_not_unpack_is_refused(packed: bytes) -> None:
    with pytest.raises(ValueError):
        documents.read_reply({"version": 1, "packed": packed})


@pytest.mark.parametrize(
    "odd",
    [
        b"\xff",
        b"{}",
        b"[1]",
        b'[{"name": "n"}]',
        json.dumps([{**PAUSE, "begins": "soon"}]).encode(),
        json.dumps([{**PAUSE, "reason": 3}]).encode(),
        json.dumps([{**PAUSE, "more": 1}]).encode(),
    ],
)
def test_odd_pauses_are_refused_by_name(odd: bytes) -> None:
    with pytest.raises(pauses.PausesError):
        pauses.read(odd)


def test_good_pauses_are_read() -> None:
    assert pauses.read(json.dumps([PAUSE]).encode()) == [pauses.Pause(**PAUSE)]


class _Bytes:
    """A connection that delivers given bytes and then ends."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def read(self, max_bytes: int) -> bytes:
        data, self._data = self._data, b""
        return data

    async def write(self, data: bytes) -> None:
        return None

    def close(self) -> None:
        return None

    def reset(self) -> None:
        return None

    def ended(self) -> bool:
        return False


@pytest.mark.parametrize(
    "body",
    [
        # A date out of range, a fraction with denominator 0, an unterminated regular expression, an
        # invalid IP address, and a decimal fraction of strings.
        cbor2.CBORTag(1, 10**30),
        cbor2.CBORTag(30, [1, 0]),
        cbor2.CBORTag(35, "("),
        cbor2.CBORTag(260, b"123"),
        cbor2.CBORTag(4, ["x", "y"]),
    ],
)
def test_whatever_cbor_stumbles_over_is_a_bad_frame(body: object) -> None:
    data = cbor2.dumps({"kind": "tell", "odd": body})
    frame = frames.HEADER.pack(frames.MAGIC, frames.VERSION, len(data)) + data

    async def main() -> None:
        with pytest.raises(frames.FrameError):
            await frames.FrameConnection(_Bytes(frame)).read()

    asyncio.run(main())
