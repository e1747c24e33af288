"""Blocks of ports, so that several fleets may run on one machine without taking each other's ports."""

import socket
import typing

HOST: typing.Final = "127.0.0.1"
# Below the range from which systems choose ports for outgoing connections, so that none is taken by chance.
FIRST_PORT: typing.Final = 10_000
LAST_PORT: typing.Final = 32_000
BLOCK_SIZE: typing.Final = 1_000


class NoPortsError(OSError):
    """Every block is taken, or the current one is used up."""


class PortBlock:
    """A block of ports, reserved for as long as its first port stays bound."""

    def __init__(self) -> None:
        self._reservation, self._first = _reserve_block()
        self._next = self._first + 1

    def address(self) -> str:
        """Return the next address at which nobody listens.

        Raises:
            NoPortsError: If the block is used up.
        """
        while self._next < self._first + BLOCK_SIZE:
            port, self._next = self._next, self._next + 1
            try:
                _bind(port).close()
            except OSError:
                continue
            return f"{HOST}:{port}"
        raise NoPortsError("the block of ports is used up")

    def close(self) -> None:
        """Release the block for others."""
        self._reservation.close()


def _bind(port: int) -> socket.socket:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    return sock


def _reserve_block() -> tuple[socket.socket, int]:
    """Bind the first port of a free block; return its socket and its number."""
    for first in range(FIRST_PORT, LAST_PORT - BLOCK_SIZE + 1, BLOCK_SIZE):
        try:
            return _bind(first), first
        except OSError:
            continue
    raise NoPortsError("every block of ports is taken")
