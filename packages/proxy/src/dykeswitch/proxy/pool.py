"""Connections to endpoints: kept while idle, and proven before they carry an exchange."""

import asyncio
import typing

import dykeswitch.adapter as adapters
import dykeswitch.ports as ports
import dykeswitch.proxy.resting as resting
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline

# How many idle connections to one endpoint are kept.
IDLE_MOST: typing.Final = 16


class ConnectionPool:
    """The idle connections of one proxy, by endpoint."""

    def __init__(
        self,
        bounds: settings.Settings,
        machine: ports.Machine,
        line: timeline.Timeline,
        names: adapters.Heads,
    ) -> None:
        self._bounds = bounds
        self._net = machine.net
        self._clock = machine.clock
        self._line = line
        self._heads = names
        # For how long connections may rest, by what resets taught.
        self.rests = resting.RestLimits(bounds.mark_s)
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        line.on_change(self._on_entry)

    def _on_entry(self, entry: timeline.Entry) -> None:
        """Connections to an endpoint that is leaving, gone or moved are closed at once."""
        if entry.kind != timeline.ENDPOINT:
            return
        for connection in self._idle.get(entry.key, []):
            if entry.fields["state"] != timeline.UP or connection.address != entry.fields["address"]:
                connection.close()
        if entry.fields["state"] != timeline.UP:
            self._idle.pop(entry.key, None)

    async def connect(
        self, entry: timeline.Entry, service: str, probe: str, expiry: float
    ) -> connections.EndpointConnection:
        """A proven connection to an endpoint, kept or fresh; raises `connections.Flaw`."""
        address = str(entry.fields["address"])
        now = self._clock.now()
        held = self._idle.get(entry.key, [])
        while held:
            connection = held.pop()
            stale = self._stale(connection, service, now)
            if not connection.usable() or connection.address != address or stale:
                connection.close()
                continue
            connection.rested_s = now - connection.used
            # A pipe that lay idle may by now lead to whoever took the address over without
            # our hearing of it: only a fresh proof tells, or the id that the request bears.
            if now - connection.used < self._bounds.drain_s / 4 or self._bounds.proof == "header":
                return connection
            if await self._still_proven(connection, probe, max(0.0, expiry - self._clock.now())):
                return connection
        dial_s = self._bounds.dial_s
        try:
            async with asyncio.timeout(expiry - self._clock.now()):
                if self._bounds.proof == "header":
                    names = self._heads.exchange
                    return await connections.open_connection(
                        self._net, self._clock, entry.key, address, dial_s, names
                    )
                wait = self._bounds.probe_wait_s
                return await connections.open_proven(
                    self._net, self._clock, entry.key, address, probe, dial_s, wait, self._heads
                )
        except TimeoutError as flaw:
            # It had less time than a dial and a probe have: that says nothing of the endpoint.
            raise connections.Flaw("expired", False) from flaw

    def _stale(self, connection: connections.EndpointConnection, service: str, now: float) -> bool:
        """Whether the endpoint may be about to close an idle connection, or have forgotten it."""
        rested_s = now - connection.used
        told = connection.idle_s is not None and rested_s > connection.idle_s / 2
        return told or rested_s > self.rests.longest(service, now)

    async def _still_proven(
        self, connection: connections.EndpointConnection, probe: str, left: float
    ) -> bool:
        """Prove an idle pipe anew; one that fails is closed, and judged by a fresh one."""
        try:
            async with asyncio.timeout(min(self._bounds.probe_wait_s, left)):
                if (
                    await connections.prove(connection, probe, self._heads.served_by) is None
                    and connection.usable()
                ):
                    return True
        except TimeoutError as flaw:
            # It hangs: a fresh pipe would only hang as long again.
            connection.close()
            hurried = left < self._bounds.probe_wait_s
            raise connections.Flaw("expired" if hurried else soundness.PROBE_TIMED_OUT, False) from flaw
        except connections.Flaw:
            pass
        connection.close()
        return False

    def put_back(self, connection: connections.EndpointConnection, sound: bool) -> None:
        """Keep a connection for the next exchange, or close it."""
        entry = self._line.get(timeline.ENDPOINT, connection.endpoint)
        held = self._idle.setdefault(connection.endpoint, [])
        stays = entry is not None and entry.fields["state"] == timeline.UP
        if sound and stays and connection.usable() and len(held) < IDLE_MOST:
            connection.used = self._clock.now()
            held.append(connection)
        else:
            connection.close()

    def idle(self) -> int:
        """How many usable connections lie idle."""
        return sum(1 for held in self._idle.values() for connection in held if connection.usable())

    def close(self) -> None:
        """Close every idle connection."""
        for held in self._idle.values():
            for connection in held:
                connection.close()
        self._idle.clear()
