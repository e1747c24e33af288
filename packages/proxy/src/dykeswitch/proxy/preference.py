"""The order in which one proxy prefers the endpoints of a service.

Endpoints of the proxy's own zone and those of other zones are each ordered by rendezvous hashing.
Every proxy has an order of its own, and adding or removing an endpoint does not change the relative
order of the others. Proxies that use only the first few endpoints of their orders spread evenly
over all endpoints, and no endpoint has a connection from every proxy.
"""

import bisect
import typing
import zlib

import dykeswitch.timeline as timelines

# Sort key of an endpoint in an order: its hash, then its id.
Rank = tuple[int, str]


class Order:
    """Endpoints sorted by rank."""

    def __init__(self) -> None:
        self._ranks: list[Rank] = []
        # Replaced by a new list at each change, so that a running iteration is not disturbed.
        self.names: typing.Sequence[str] = ()

    def add(self, rank: Rank) -> None:
        """Insert an endpoint."""
        bisect.insort(self._ranks, rank)
        self.names = [name for _, name in self._ranks]

    def remove(self, rank: Rank) -> None:
        """Remove an endpoint."""
        self._ranks.remove(rank)
        self.names = [name for _, name in self._ranks]


class Preferences:
    """The orders of one proxy, updated from the timeline's endpoint entries."""

    def __init__(self, proxy: str, zone: str) -> None:
        self._proxy = proxy
        self._zone = zone
        self._orders: dict[tuple[str, bool], Order] = {}
        # The order that each endpoint is in: its service, and whether it is in the proxy's zone.
        self._order_keys: dict[str, tuple[str, bool]] = {}

    def near(self, service: str) -> typing.Sequence[str]:
        """Return the endpoints of the proxy's own zone, the most preferred first."""
        return self._names(service, True)

    def far(self, service: str) -> typing.Sequence[str]:
        """Return the endpoints of other zones, the most preferred first."""
        return self._names(service, False)

    def apply(self, entry: timelines.Entry) -> None:
        """Update the orders from an endpoint's entry."""
        order_key = (str(entry.fields["service"]), entry.fields.get("zone") == self._zone)
        wanted = order_key if entry.fields["state"] == timelines.UP else None
        old = self._order_keys.get(entry.key)
        if wanted == old:
            return
        rank = self._rank(entry.key)
        if old is not None:
            del self._order_keys[entry.key]
            self._orders[old].remove(rank)
        if wanted is not None:
            self._order_keys[entry.key] = wanted
            self._orders.setdefault(wanted, Order()).add(rank)

    def _names(self, service: str, near: bool) -> typing.Sequence[str]:
        order = self._orders.get((service, near))
        return order.names if order is not None else ()

    def _rank(self, endpoint: str) -> Rank:
        return (zlib.crc32(f"{self._proxy}/{endpoint}".encode()), endpoint)
