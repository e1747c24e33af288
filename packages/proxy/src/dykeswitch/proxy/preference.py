"""The order in which one proxy prefers the endpoints of a service.

Endpoints of the proxy's own zone and those of other zones are each ordered by rendezvous hashing:
every proxy has an order of its own, which an endpoint that comes or goes does not change for the
others. Proxies that keep to the first few of their orders spread evenly over the endpoints, and
no endpoint holds a connection of every proxy.
"""

import bisect
import typing
import zlib

import dykeswitch.timeline as timelines

# A place in an order: the hash, then the endpoint's id.
Rank = tuple[int, str]


class Order:
    """Endpoints by their rank."""

    def __init__(self) -> None:
        self._ranks: list[Rank] = []
        # Replaced by each change: who goes through it is not disturbed.
        self.names: typing.Sequence[str] = ()

    def add(self, rank: Rank) -> None:
        """Put an endpoint in its place."""
        bisect.insort(self._ranks, rank)
        self.names = [name for _, name in self._ranks]

    def remove(self, rank: Rank) -> None:
        """Take an endpoint out."""
        self._ranks.remove(rank)
        self.names = [name for _, name in self._ranks]


class Preferences:
    """One proxy's orders, kept by the entries of endpoints as they come."""

    def __init__(self, proxy: str, zone: str) -> None:
        self._proxy = proxy
        self._zone = zone
        self._orders: dict[tuple[str, bool], Order] = {}
        # Where each endpoint stands: its service, and whether it is of our zone.
        self._places: dict[str, tuple[str, bool]] = {}

    def near(self, service: str) -> typing.Sequence[str]:
        """Endpoints of the own zone, the preferred first."""
        return self._names(service, True)

    def far(self, service: str) -> typing.Sequence[str]:
        """Endpoints of other zones, the preferred first."""
        return self._names(service, False)

    def note(self, entry: timelines.Entry) -> None:
        """Take up what an entry says of an endpoint."""
        place = (str(entry.fields["service"]), entry.fields.get("zone") == self._zone)
        wanted = place if entry.fields["state"] == timelines.UP else None
        old = self._places.get(entry.key)
        if wanted == old:
            return
        rank = self._rank(entry.key)
        if old is not None:
            del self._places[entry.key]
            self._orders[old].remove(rank)
        if wanted is not None:
            self._places[entry.key] = wanted
            self._orders.setdefault(wanted, Order()).add(rank)

    def _names(self, service: str, near: bool) -> typing.Sequence[str]:
        order = self._orders.get((service, near))
        return order.names if order is not None else ()

    def _rank(self, endpoint: str) -> Rank:
        return (zlib.crc32(f"{self._proxy}/{endpoint}".encode()), endpoint)
