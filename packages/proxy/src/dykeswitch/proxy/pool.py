"""Connections to endpoints: kept while idle, and proven before they carry an exchange."""

import asyncio
import typing

import dykeswitch.adapter as adapters
import dykeswitch.ports as ports
import dykeswitch.proxy.resting as resting
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

# How many idle connections to one endpoint are kept.
IDLE_MOST: typing.Final = 16


class ConnectionPool:
    """The idle connections of one proxy, by endpoint."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        timeline: timelines.Timeline,
        names: adapters.HeaderNames,
    ) -> None:
        self._config = config
        self._net = machine.net
        self._clock = machine.clock
        self._timeline = timeline
        self._header_names = names
        # For how long connections may rest, by what resets taught.
        self.rests = resting.IdleLimits(config.mark_s)
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        """Connections to an endpoint that is leaving, gone or moved are closed at once."""
        if entry.kind != timelines.ENDPOINT:
            return
        for connection in self._idle.get(entry.key, []):
            if entry.fields["state"] != timelines.UP or connection.address != entry.fields["address"]:
                connection.close()
        if entry.fields["state"] != timelines.UP:
            self._idle.pop(entry.key, None)

    async def connect(
        self, entry: timelines.Entry, service: str, probe: str, expiry: float
    ) -> connections.EndpointConnection:
        """A proven connection to an endpoint, kept or fresh; raises `connections.EndpointConnectionError`."""
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
            if now - connection.used < self._config.drain_s / 4 or self._config.proof == "header":
                return connection
            if await self._still_proven(connection, probe, max(0.0, expiry - self._clock.now())):
                return connection
        connect_timeout_s = self._config.connect_timeout_s
        try:
            async with asyncio.timeout(expiry - self._clock.now()):
                if self._config.proof == "header":
                    names = self._header_names.exchange
                    return await connections.open_connection(
                        self._net, self._clock, entry.key, address, connect_timeout_s, names
                    )
                wait = self._config.probe_timeout_s
                return await connections.open_verified(
                    self._net,
                    self._clock,
                    entry.key,
                    address,
                    probe,
                    connect_timeout_s,
                    wait,
                    self._header_names,
                )
        except TimeoutError as flaw:
            # It had less time than a dial and a probe have: that says nothing of the endpoint.
            raise connections.EndpointConnectionError("expired", False) from flaw

    def _stale(self, connection: connections.EndpointConnection, service: str, now: float) -> bool:
        """Whether the endpoint may be about to close an idle connection, or have forgotten it."""
        rested_s = now - connection.used
        told = connection.idle_s is not None and rested_s > connection.idle_s / 2
        return told or rested_s > self.rests.max_idle_s(service, now)

    async def _still_proven(
        self, connection: connections.EndpointConnection, probe: str, left: float
    ) -> bool:
        """Prove an idle pipe anew; one that fails is closed, and judged by a fresh one."""
        try:
            async with asyncio.timeout(min(self._config.probe_timeout_s, left)):
                if (
                    await connections.verify(connection, probe, self._header_names.served_by) is None
                    and connection.usable()
                ):
                    return True
        except TimeoutError as flaw:
            # It hangs: a fresh pipe would only hang as long again.
            connection.close()
            hurried = left < self._config.probe_timeout_s
            raise connections.EndpointConnectionError(
                "expired" if hurried else soundness.PROBE_TIMED_OUT, False
            ) from flaw
        except connections.EndpointConnectionError:
            pass
        connection.close()
        return False

    def put_back(self, connection: connections.EndpointConnection, sound: bool) -> None:
        """Keep a connection for the next exchange, or close it."""
        entry = self._timeline.get(timelines.ENDPOINT, connection.endpoint)
        held = self._idle.setdefault(connection.endpoint, [])
        stays = entry is not None and entry.fields["state"] == timelines.UP
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
