"""Notification of an application that the client of its current request has disconnected.

A web server keeps one `Departure` per client connection and passes it to the application in the
scope's `state`, which ASGI provides for data shared by server and application. The standard way
of ASGI, awaiting `receive` until it returns `http.disconnect`, would need one more task for each
request.
"""

import typing

import dykeswitch.ports as ports

# The key of the `Departure` in a scope's state.
STATE_KEY: typing.Final = "dykeswitch.departure"

Listener = typing.Callable[[], None]


class Departure:
    """Whether the client of one connection has disconnected, and the listener to notify.

    A connection carries one request at a time, so there is at most one listener.
    """

    __slots__ = ("_listener", "has_left")

    def __init__(self) -> None:
        self.has_left = False
        self._listener: Listener | None = None

    def watch(self, listener: Listener) -> None:
        """Call the listener when the client disconnects, immediately if it already has."""
        self._listener = listener
        if self.has_left:
            listener()

    def unwatch(self) -> None:
        """Remove the listener, as after the request has been answered."""
        self._listener = None

    def announce(self) -> None:
        """Record that the client has disconnected and notify the listener; called by the web server."""
        if self.has_left:
            return
        self.has_left = True
        if self._listener is not None:
            self._listener()


def departure_of(scope: ports.Scope) -> Departure:
    """Return the `Departure` of a request's client.

    If the server does not provide one, the result is a `Departure` that is never announced.
    """
    state = scope.get("state") or {}
    departure = state.get(STATE_KEY)
    return departure if isinstance(departure, Departure) else Departure()
