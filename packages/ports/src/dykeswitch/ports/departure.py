"""How an application hears that the caller whose request it has in hand has left.

A web server keeps one `Departure` for each connection from outside and hands it to the
application in the scope's `state`, the place that ASGI has for what server and application
share. The interface's own way, a `receive` that is waited for all along, would take one more
task for each request.
"""

import typing

import dykeswitch.ports as ports

# Under which name a scope's state holds the departure.
STATE_KEY: typing.Final = "dykeswitch.departure"

Listener = typing.Callable[[], None]


class Departure:
    """Whether the caller on one connection has left, and who is told of it.

    A connection carries one request at a time, so there is at most one listener.
    """

    __slots__ = ("_listener", "has_left")

    def __init__(self) -> None:
        self.has_left = False
        self._listener: Listener | None = None

    def watch(self, listener: Listener) -> None:
        """Call a listener when the caller leaves; at once where it has left already."""
        self._listener = listener
        if self.has_left:
            listener()

    def unwatch(self) -> None:
        """Call nobody any more: the request is answered."""
        self._listener = None

    def announce(self) -> None:
        """The caller has left; the web server says so."""
        if self.has_left:
            return
        self.has_left = True
        if self._listener is not None:
            self._listener()


def departure_of(scope: ports.Scope) -> Departure:
    """The departure of the caller of a request; one that never comes where the server knows of none."""
    state = scope.get("state") or {}
    found = state.get(STATE_KEY)
    return found if isinstance(found, Departure) else Departure()
