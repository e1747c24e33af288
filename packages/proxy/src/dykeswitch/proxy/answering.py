"""The answer to a caller: an endpoint's, whole or streamed, or one of our own."""

import asyncio
import json
import typing

import dykeswitch.adapter as adapters
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.counters as counters
import dykeswitch.proxy.delivery as deliveries
import dykeswitch.proxy.endings as endings
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.headers as headers
import dykeswitch.proxy.marking as marking
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections


class BrokenReplyError(Exception):
    """A reply that can't be finished: the caller's connection must break."""


class Answering:
    """Answers callers."""

    def __init__(
        self,
        clock: ports.Clock,
        adapter: adapters.Adapter,
        delivery: deliveries.Delivery,
        marker: marking.Marker,
        ends: endings.Endings,
        counts: counters.Counters,
        parting: typing.Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._adapter = adapter
        self._delivery = delivery
        self._marker = marker
        self._ends = ends
        self._counts = counts
        # Whether callers are to go elsewhere with their next request.
        self._parting = parting

    async def answer(self, exchange: exchanges.Exchange) -> None:
        """Send the endpoint's answer, or our own where there is none; raises `BrokenReplyError`."""
        answer = exchange.answer
        if exchange.failure is not None or answer is None:
            exchange.failure = exchange.failure or outcome.failure("outcome_unknown", exchange.unknown)
            await self.refuse(exchange, exchange.failure)
            return
        exchange.status = answer.head.status
        fields = headers.response_headers(
            exchange,
            answer,
            self._adapter,
            self._adapter.header_names,
            lambda: self._ends.come_back_s(exchange),
        )
        if self._parting():
            fields.append((b"connection", b"close"))
        if answer.rest is None:
            self._delivery.put_away(exchange, sound=True)
        exchange.replied = True
        await exchange.send({"type": "http.response.start", "status": exchange.status, "headers": fields})
        if answer.rest is None:
            await exchange.send({"type": "http.response.body", "body": answer.held})
        else:
            await self._stream(exchange, answer, answer.rest)
        self._counts.add("replied")

    async def _stream(
        self, exchange: exchanges.Exchange, answer: exchanges.Answer, rest: typing.AsyncIterator[bytes]
    ) -> None:
        assert exchange.endpoint is not None
        await exchange.send({"type": "http.response.body", "body": answer.held, "more_body": True})
        answer.held = b""
        try:
            async with asyncio.timeout(max(0.0, exchange.expiry - self._clock.now())):
                async for part in rest:
                    await exchange.send({"type": "http.response.body", "body": part, "more_body": True})
        except (TimeoutError, connections.EndpointConnectionError) as flaw:
            self._delivery.put_away(exchange, sound=False)
            self._marker.failed(exchange.endpoint.key, soundness.Fault(soundness.BROKE_OFF))
            self._counts.add("broken")
            # Past the bound the only honest sign of a cut reply is a broken connection.
            raise BrokenReplyError(str(flaw)) from flaw
        self._delivery.put_away(exchange, sound=True)
        await exchange.send({"type": "http.response.body", "body": b""})

    async def refuse(self, exchange: exchanges.Exchange, failure: outcome.Failure) -> None:
        """An answer of our own."""
        exchange.status = failure.code.status
        self._counts.add(f"result_{failure.code.number}")
        page = {**failure.page(), "exchange": exchange.name}
        body = json.dumps(page).encode()
        fields = headers.refusal_headers(
            exchange, failure, len(body), self._adapter, self._adapter.header_names
        )
        if self._parting():
            fields.append((b"connection", b"close"))
        exchange.replied = True
        await exchange.send({"type": "http.response.start", "status": failure.code.status, "headers": fields})
        await exchange.send(
            {"type": "http.response.body", "body": b"" if exchange.method == "HEAD" else body}
        )

    async def finish_for_nobody(self, exchange: exchanges.Exchange) -> None:
        """Take in what is left of an order's answer, so that its connection can be used again."""
        if exchange.connection is None or exchange.answer is None:
            return
        rest = exchange.answer.rest
        try:
            async with asyncio.timeout(max(0.0, exchange.expiry - self._clock.now())):
                while rest is not None and await anext(rest, None) is not None:
                    pass
        except (TimeoutError, connections.EndpointConnectionError):
            return
        self._delivery.put_away(exchange, sound=True)
