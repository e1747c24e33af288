"""Answers of endpoints to the parser of a proxy: a whole one is passed on, any other is a flaw."""

import asyncio
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.ports as ports
import dykeswitch.soundness.connection as connections

EXCHANGE: typing.Final = b"dykeswitch-exchange"
NAME: typing.Final = b"exchange-1"
PLAIN: typing.Final = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ndykeswitch-served-by: pages-0\r\n"
    b"dykeswitch-exchange: exchange-1\r\n\r\nfine"
)
CHUNKED: typing.Final = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ndykeswitch-exchange: exchange-1\r\n\r\n"
    b"2\r\nfi\r\n2\r\nne\r\n0\r\n\r\n"
)
EARLY: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN
OTHERS: typing.Final = PLAIN.replace(NAME, b"exchange-0") + PLAIN
GOOD: typing.Final = [PLAIN, CHUNKED, EARLY, OTHERS, PLAIN + PLAIN]
# More than one answer to one request can hold in parts.
PARTS_MOST: typing.Final = 100_000


class _Pieces:
    """A connection that brings an answer in pieces, and then ends."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = [piece for piece in pieces if piece]

    async def read(self, max_bytes: int) -> bytes:
        if not self._pieces:
            return b""
        piece = self._pieces.pop(0)
        if len(piece) > max_bytes:
            self._pieces.insert(0, piece[max_bytes:])
        return piece[:max_bytes]

    async def write(self, data: bytes) -> None:
        return None

    def close(self) -> None:
        self._pieces.clear()

    def ended(self) -> bool:
        return not self._pieces


def _cut(drawn: tuple[bytes, list[int]]) -> list[bytes]:
    data, places = drawn
    edges = sorted({0, len(data), *(place % (len(data) + 1) for place in places)})
    return [data[start:end] for start, end in zip(edges, edges[1:])]


def _check(pieces: list[bytes]) -> None:
    async def main() -> None:
        raw = typing.cast(ports.Connection, _Pieces(list(pieces)))
        connection = connections.EndpointConnection("pages-0", "10.0.0.1:80", raw, 0.0, EXCHANGE)
        headers = [(b"host", b"x"), (EXCHANGE, NAME)]
        body = b""
        try:
            head = await connection.send("GET", b"/", headers, b"")
            async for part in connection.parts():
                body += part
                assert len(body) < PARTS_MOST
        except connections.EndpointConnectionError:
            # Whatever is odd ends the connection: nothing of it is read for another exchange.
            assert connection.closed
            return
        assert 100 <= head.status < 1000
        named = head.get(EXCHANGE)
        assert named is None or named == NAME
        length = head.get(b"content-length")
        if length is not None and head.get(b"transfer-encoding") is None and head.status not in (204, 304):
            assert len(body) == int(length)

    asyncio.run(main())


PIECES: typing.Final = strategies.tuples(
    strategies.sampled_from(GOOD).flatmap(lambda good: strategies.just(good) | cases.spoilt_bytes(good))
    | strategies.binary(max_size=200),
    strategies.lists(strategies.integers(0, 10_000), max_size=6),
).map(_cut)

ANSWERS: typing.Final = targets.Target("endpoint_answers", PIECES, _check, 300)
