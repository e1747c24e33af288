"""Slots and queue: so many requests at work at once, so many more that wait in turn."""

import asyncio
import collections

Ticket = asyncio.Future[None]


class Slots:
    """Hands out tickets: one that is done stands for a slot, any other for a place in the queue."""

    def __init__(self, slots: int | None = None, queue: int = 0) -> None:
        self._slots = slots
        self._queue = queue
        self._waiting: collections.deque[Ticket] = collections.deque()
        self.running = 0

    @property
    def waiting(self) -> int:
        """How many wait for a slot."""
        return len(self._waiting)

    @property
    def free(self) -> bool:
        """Whether one more could run at once."""
        return self._slots is None or self.running < self._slots

    @property
    def full(self) -> bool:
        """Whether one more could neither run nor wait."""
        return not self.free and len(self._waiting) >= self._queue

    def resize(self, slots: int | None, queue: int) -> None:
        """Another number of slots from now on; what is at work or waits stays."""
        self._slots, self._queue = slots, queue
        self._fill()

    def ticket(self) -> Ticket:
        """A place for one more, which the caller gives back by `drop`."""
        ticket: Ticket = asyncio.get_running_loop().create_future()
        self._waiting.append(ticket)
        self._fill()
        return ticket

    def drop(self, ticket: Ticket) -> None:
        """Give a place back, whether in the queue or at work."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
            return
        self.running -= 1
        self._fill()

    def hold(self) -> None:
        """Take a slot out of turn, over their number if need be; `let_go` gives it back."""
        self.running += 1

    def let_go(self) -> None:
        """Give back a slot taken by `hold`."""
        self.running -= 1
        self._fill()

    def _fill(self) -> None:
        while self._waiting and self.free:
            self.running += 1
            self._waiting.popleft().set_result(None)
