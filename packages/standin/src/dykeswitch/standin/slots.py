"""Work slots and queue of an endpoint: limits on requests at work and on requests that wait."""

import asyncio
import collections

Ticket = asyncio.Future[None]


class Slots:
    """Hands out tickets: a completed one stands for a slot, any other for a place in the queue."""

    def __init__(self, slots: int | None = None, queue: int = 0) -> None:
        self._slots = slots
        self._queue = queue
        self._waiting: collections.deque[Ticket] = collections.deque()
        self.running = 0

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot."""
        return len(self._waiting)

    @property
    def free(self) -> bool:
        """Whether one more request could run at once."""
        return self._slots is None or self.running < self._slots

    @property
    def full(self) -> bool:
        """Whether one more request could neither run nor wait."""
        return not self.free and len(self._waiting) >= self._queue

    def resize(self, slots: int | None, queue: int) -> None:
        """Change the limits; requests that run or wait keep their places."""
        self._slots, self._queue = slots, queue
        self._grant_free()

    def enqueue(self) -> Ticket:
        """Return a ticket for one more request; the caller gives it back with `release`."""
        ticket: Ticket = asyncio.get_running_loop().create_future()
        self._waiting.append(ticket)
        self._grant_free()
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Give a ticket back, whether its request still waits or has a slot."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
            return
        self.running -= 1
        self._grant_free()

    def force_acquire(self) -> None:
        """Take a slot ahead of the queue, beyond the limit if need be; `release_forced` gives it back."""
        self.running += 1

    def release_forced(self) -> None:
        """Give back a slot taken by `force_acquire`."""
        self.running -= 1
        self._grant_free()

    def _grant_free(self) -> None:
        while self._waiting and self.free:
            self.running += 1
            self._waiting.popleft().set_result(None)
