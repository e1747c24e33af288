"""One attempt: a connection to the selected endpoint, the request on it, the answer held until whole."""

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.ports as ports
import dykeswitch.proxy.budget as budgets
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.headers as headers
import dykeswitch.proxy.matching as matching
import dykeswitch.proxy.patience as patience
import dykeswitch.proxy.pool as pools
import dykeswitch.proxy.selection as selection
import dykeswitch.proxy.senses as senses_port
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline


class Delivery:
    """Makes attempts, each on a connection of its own while it lasts."""

    def __init__(
        self,
        bounds: settings.Settings,
        machine: ports.Machine,
        line: timeline.Timeline,
        selector: selection.Selector,
        senses: senses_port.Senses,
        adapter: adapters.Adapter,
    ) -> None:
        self._bounds = bounds
        self._clock = machine.clock
        self._selector = selector
        self._senses = senses
        self._adapter = adapter
        self._heads = adapter.heads
        self._pool = pools.ConnectionPool(bounds, machine, line, adapter.heads)
        self._budgets: dict[str, budgets.Budget] = {}
        self.layout: layouts.Layout | None = None
        # Whether this proxy stops: attempts go on to their end, and no connection is kept.
        self.closing = False

    def budget(self, service: str) -> budgets.Budget:
        """The budget of extra attempts toward a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.Budget(self._bounds, self._senses.sharing)
        return budget

    @property
    def budgets(self) -> dict[str, budgets.Budget]:
        """The budgets of all services to which something was carried."""
        return self._budgets

    # Connections.

    async def connect(self, x: exchanges.Exchange, entry: timeline.Entry) -> None:
        """Take a proven connection to an endpoint; raises `connections.Flaw`, nothing was sent then."""
        assert self.layout is not None
        probe = self.layout.services[x.service].probe
        x.ahead = self._selector.ahead(entry)
        self._selector.begun(entry.key)
        try:
            x.take(await self._pool.connect(entry, x.service, probe, x.expiry))
        except BaseException:
            self._selector.ended(entry.key)
            raise

    def put_away(self, x: exchanges.Exchange, sound: bool) -> None:
        """Give a connection back for the next exchange, or close it."""
        connection, x.connection = x.connection, None
        if connection is not None:
            self._selector.ended(connection.endpoint)
            self._pool.put_back(connection, sound and not self.closing)

    def reset_at_rest(self, x: exchanges.Exchange, rested_s: float) -> None:
        """Learn from a connection that was reset when it was used again after a rest."""
        self._pool.rests.reset(x.service, rested_s, self._clock.now())

    def idle(self) -> int:
        """How many usable connections lie idle."""
        return self._pool.idle()

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    # Attempts.

    async def deliver(self, x: exchanges.Exchange) -> None:
        """Send the request and take in the answer, as far as it is held; the exchange tells how it went."""
        assert x.connection is not None and x.endpoint is not None
        entry, connection = x.endpoint, x.connection
        x.flaw, x.head_came, x.sent = "", False, False
        answer: exchanges.Answer | None = None
        begun = self._clock.now()
        try:
            async with self._patience(x):
                head = await connection.send(
                    x.method,
                    x.target,
                    headers.request_heads(x, self._adapter, self._heads, begun),
                    x.body,
                    lambda: self._may_still_go(x, entry, begun),
                )
                x.head_came = True
                answer = await self._hold(x.method, connection, head)
        except TimeoutError:
            x.flaw = soundness.TIMED_OUT
            waited = self._clock.now() - begun
            # A caller in a hurry says nothing about the endpoint.
            if waited < min(self._bounds.probe_wait_s, x.request_s):
                x.flaw = "expired"
        except connections.Flaw as flaw:
            x.flaw = flaw.reason
        finally:
            # Also when we are cut short: whether it may have run must be known.
            x.took = self._clock.now() - begun
            x.sent = x.under_way()
            if x.sent:
                # One that was never sent takes nothing away from what came before it.
                x.answer = answer
                x.goes += 1

    def _may_still_go(self, x: exchanges.Exchange, entry: timeline.Entry, begun: float) -> bool:
        """The last look before the first byte: frozen, expired, or gone since?"""
        return (
            not self._senses.gapped()
            and self._clock.now() - begun < self._bounds.gap_s
            and self._clock.now() < x.expiry
            and not self._senses.silent() > self._bounds.drain_s
            and self._selector.usable(entry)
            and matching.is_still_ruled(x, self.layout, self._bounds)
        )

    def _patience(self, x: exchanges.Exchange) -> patience.Patience:
        """How long this attempt may take."""
        left = x.expiry - self._clock.now()
        limit = min(x.request_s, left)
        if x.writing:
            return patience.Patience(limit, limit, lambda: False)
        # An attempt that hangs must leave time for the tries that remain.
        first = min(limit, left / max(1, x.max_tries - x.goes))
        return patience.Patience(first, limit, lambda: self.may_try_another(x, x.goes + 1))

    def may_try_another(self, x: exchanges.Exchange, goes: int) -> bool:
        """Whether another attempt could be made now after so many, the one at hand among them.

        Where none could, to break that one off would only end the exchange sooner: its endpoint
        may still be at work. A proxy that stops breaks nothing off.
        """
        return not self.closing and any(
            self.budget(service).affords(self._clock.now()) and self._selector.has_another(service, x.tried)
            for service in matching.next_services(x, goes, self.layout, self._bounds)
        )

    async def _hold(
        self, method: str, connection: connections.EndpointConnection, head: connections.Head
    ) -> exchanges.Answer:
        """Hold the reply's body up to the bound, so that a cut one is never passed on."""
        if not headers.is_framed(method, head):
            raise connections.Flaw(soundness.UNFRAMED, True)
        rest = connection.parts()
        held = bytearray()
        async for part in rest:
            held += part
            if len(held) > self._bounds.reply_buffer:
                return exchanges.Answer(head, bytes(held), rest)
        return exchanges.Answer(head, bytes(held), None)
