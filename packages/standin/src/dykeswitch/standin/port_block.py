"""Ports that one fleet has for itself while it lives, on a machine where several may run."""

import socket
import typing

HOST: typing.Final = "127.0.0.1"
# Below the ports that systems give to outgoing connections: nobody takes one of these by chance.
FIRST_PORT: typing.Final = 10_000
LAST_PORT: typing.Final = 32_000
BLOCK_SIZE: typing.Final = 1_000


class NoPortsError(OSError):
    """Every block is taken, or the one at hand is used up."""


class PortBlock:
    """A block of ports, its own for as long as it holds the first of them."""

    def __init__(self) -> None:
        self._holder, self._first = _hold_a_block()
        self._next = self._first + 1

    def address(self) -> str:
        """The next address that nobody listens at."""
        while self._next < self._first + BLOCK_SIZE:
            port, self._next = self._next, self._next + 1
            try:
                _bound(port).close()
            except OSError:
                continue
            return f"{HOST}:{port}"
        raise NoPortsError("a block of ports is used up")

    def close(self) -> None:
        """Let others have the block."""
        self._holder.close()


def _bound(port: int) -> socket.socket:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    return sock


def _hold_a_block() -> tuple[socket.socket, int]:
    """The first port of a free block, bound, and its number."""
    for first in range(FIRST_PORT, LAST_PORT - BLOCK_SIZE + 1, BLOCK_SIZE):
        try:
            return _bound(first), first
        except OSError:
            continue
    raise NoPortsError("every block of ports is taken")
