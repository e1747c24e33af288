"""Pool of idle connections to endpoints, each verified before it carries an exchange."""

import asyncio
import typing

import dykeswitch.adapter as adapters
import dykeswitch.ports as ports
import dykeswitch.proxy.resting as resting
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

MAX_IDLE_PER_ENDPOINT: typing.Final = 16


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
        # How long connections may stay idle, learned from connections that were reset.
        self.idle_limits = resting.IdleLimits(config.mark_s)
        self._idle: dict[str, list[connections.EndpointConnection]] = {}
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        """Close idle connections to an endpoint that is leaving, is gone or has moved."""
        if entry.kind != timelines.ENDPOINT:
            return
        for connection in self._idle.get(entry.key, []):
            if entry.fields["state"] != timelines.UP or connection.address != entry.fields["address"]:
                connection.close()
        if entry.fields["state"] != timelines.UP:
            self._idle.pop(entry.key, None)

    async def connect(
        self, entry: timelines.Entry, service: str, probe: str, deadline: float
    ) -> connections.EndpointConnection:
        """Return a verified connection to an endpoint, from the pool or new.

        Raises:
            connections.EndpointConnectionError: There is no such connection, or the deadline passed.
        """
        address = str(entry.fields["address"])
        now = self._clock.now()
        idle = self._idle.get(entry.key, [])
        while idle:
            connection = idle.pop()
            stale = self._may_be_closed(connection, service, now)
            if not connection.usable() or connection.address != address or stale:
                connection.close()
                continue
            connection.idle_for_s = now - connection.last_used_at
            # Another endpoint may have taken over the address of an idle connection before this
            # proxy is informed of it. Only a new probe, or the id in the request, detects that.
            if now - connection.last_used_at < self._config.drain_s / 4 or self._config.proof == "header":
                return connection
            if await self._verify_again(connection, probe, max(0.0, deadline - self._clock.now())):
                return connection
        connect_timeout_s = self._config.connect_timeout_s
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                if self._config.proof == "header":
                    exchange_header = self._header_names.exchange
                    return await connections.open_connection(
                        self._net, self._clock, entry.key, address, connect_timeout_s, exchange_header
                    )
                probe_timeout_s = self._config.probe_timeout_s
                return await connections.open_verified(
                    self._net,
                    self._clock,
                    entry.key,
                    address,
                    probe,
                    connect_timeout_s,
                    probe_timeout_s,
                    self._header_names,
                )
        except TimeoutError as error:
            # Connecting and probing had less time than their own timeouts, so the failure says
            # nothing about the endpoint.
            raise connections.EndpointConnectionError("expired", False) from error

    def _may_be_closed(self, connection: connections.EndpointConnection, service: str, now: float) -> bool:
        """Return whether the endpoint may soon close an idle connection, or may have dropped it."""
        idle_for_s = now - connection.last_used_at
        near_timeout = connection.keep_alive_s is not None and idle_for_s > connection.keep_alive_s / 2
        return near_timeout or idle_for_s > self.idle_limits.max_idle_s(service, now)

    async def _verify_again(
        self, connection: connections.EndpointConnection, probe: str, time_left_s: float
    ) -> bool:
        """Probe an idle connection again, and return whether it may be used.

        A connection that fails is closed. The caller then opens a new one, which shows whether the
        endpoint itself has failed.
        """
        try:
            async with asyncio.timeout(min(self._config.probe_timeout_s, time_left_s)):
                if (
                    await connections.verify(connection, probe, self._header_names.served_by) is None
                    and connection.usable()
                ):
                    return True
        except TimeoutError as error:
            # The endpoint hangs: a new connection would only wait as long again.
            connection.close()
            deadline_passed = time_left_s < self._config.probe_timeout_s
            raise connections.EndpointConnectionError(
                "expired" if deadline_passed else soundness.PROBE_TIMED_OUT, False
            ) from error
        except connections.EndpointConnectionError:
            pass
        connection.close()
        return False

    def put_back(self, connection: connections.EndpointConnection, healthy: bool) -> None:
        """Keep a connection for the next exchange, or close it."""
        entry = self._timeline.get(timelines.ENDPOINT, connection.endpoint)
        idle = self._idle.setdefault(connection.endpoint, [])
        is_up = entry is not None and entry.fields["state"] == timelines.UP
        if healthy and is_up and connection.usable() and len(idle) < MAX_IDLE_PER_ENDPOINT:
            connection.last_used_at = self._clock.now()
            idle.append(connection)
        else:
            connection.close()

    def idle(self) -> int:
        """Return the number of usable idle connections."""
        return sum(1 for idle in self._idle.values() for connection in idle if connection.usable())

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
