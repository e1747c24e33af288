"""Fuzzing of a proxy's parser of endpoint responses.

A complete and valid response is passed on; any other one is an error that ends the connection.
"""

import asyncio
import typing

import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.ports as ports
import dykeswitch.soundness.connection as connections

EXCHANGE_HEADER: typing.Final = b"dykeswitch-exchange"
EXCHANGE_ID: typing.Final = b"exchange-1"
WITH_LENGTH: typing.Final = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ndykeswitch-served-by: pages-0\r\n"
    b"dykeswitch-exchange: exchange-1\r\n\r\nfine"
)
CHUNKED: typing.Final = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ndykeswitch-exchange: exchange-1\r\n\r\n"
    b"2\r\nfi\r\n2\r\nne\r\n0\r\n\r\n"
)
AFTER_CONTINUE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
FOREIGN_FIRST: typing.Final = WITH_LENGTH.replace(EXCHANGE_ID, b"exchange-0") + WITH_LENGTH
VALID: typing.Final = [WITH_LENGTH, CHUNKED, AFTER_CONTINUE, FOREIGN_FIRST, WITH_LENGTH + WITH_LENGTH]
# More than the body of one response can come to in any case.
MAX_BODY_BYTES: typing.Final = 100_000


class _PiecewiseConnection:
    """A connection that delivers a response in pieces and then ends."""

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


def _split(sample: tuple[bytes, list[int]]) -> list[bytes]:
    data, positions = sample
    edges = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[start:end] for start, end in zip(edges, edges[1:])]


def _check(pieces: list[bytes]) -> None:
    async def main() -> None:
        raw = typing.cast(ports.Connection, _PiecewiseConnection(list(pieces)))
        connection = connections.EndpointConnection("pages-0", "10.0.0.1:80", raw, 0.0, EXCHANGE_HEADER)
        headers = [(b"host", b"x"), (EXCHANGE_HEADER, EXCHANGE_ID)]
        body = b""
        try:
            head = await connection.send("GET", b"/", headers, b"")
            async for part in connection.parts():
                body += part
                assert len(body) < MAX_BODY_BYTES
        except connections.EndpointConnectionError:
            # An invalid response ends the connection, so that none of it is read for another exchange.
            assert connection.closed
            return
        assert 100 <= head.status < 1000
        exchange_id = head.get(EXCHANGE_HEADER)
        assert exchange_id is None or exchange_id == EXCHANGE_ID
        length = head.get(b"content-length")
        if length is not None and head.get(b"transfer-encoding") is None and head.status not in (204, 304):
            assert len(body) == int(length)

    asyncio.run(main())


PIECES: typing.Final = strategies.tuples(
    strategies.sampled_from(VALID).flatmap(
        lambda valid: strategies.just(valid) | cases.corrupted_bytes(valid)
    )
    | strategies.binary(max_size=200),
    strategies.lists(strategies.integers(0, 10_000), max_size=6),
).map(_split)

RESPONSES: typing.Final = targets.Target("endpoint_answers", PIECES, _check, 300)
