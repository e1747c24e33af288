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

    async def answer(self, x: exchanges.Exchange) -> None:
        """Send the endpoint's answer, or our own where there is none; raises `BrokenReplyError`."""
        answer = x.answer
        if x.bad is not None or answer is None:
            x.bad = x.bad or outcome.bad("outcome_unknown", x.unknown)
            await self.refuse(x, x.bad)
            return
        x.status = answer.head.status
        heads = headers.reply_heads(
            x, answer, self._adapter, self._adapter.heads, lambda: self._ends.come_back_s(x)
        )
        if self._parting():
            heads.append((b"connection", b"close"))
        if answer.rest is None:
            self._delivery.put_away(x, sound=True)
        x.replied = True
        await x.send({"type": "http.response.start", "status": x.status, "headers": heads})
        if answer.rest is None:
            await x.send({"type": "http.response.body", "body": answer.held})
        else:
            await self._stream(x, answer, answer.rest)
        self._counts.add("replied")

    async def _stream(
        self, x: exchanges.Exchange, answer: exchanges.Answer, rest: typing.AsyncIterator[bytes]
    ) -> None:
        assert x.endpoint is not None
        await x.send({"type": "http.response.body", "body": answer.held, "more_body": True})
        answer.held = b""
        try:
            async with asyncio.timeout(max(0.0, x.expiry - self._clock.now())):
                async for part in rest:
                    await x.send({"type": "http.response.body", "body": part, "more_body": True})
        except (TimeoutError, connections.Flaw) as flaw:
            self._delivery.put_away(x, sound=False)
            self._marker.failed(x.endpoint.key, soundness.Fault(soundness.BROKE_OFF))
            self._counts.add("broken")
            # Past the bound the only honest sign of a cut reply is a broken connection.
            raise BrokenReplyError(str(flaw)) from flaw
        self._delivery.put_away(x, sound=True)
        await x.send({"type": "http.response.body", "body": b""})

    async def refuse(self, x: exchanges.Exchange, bad: outcome.Bad) -> None:
        """An answer of our own."""
        x.status = bad.code.status
        self._counts.add(f"result_{bad.code.number}")
        page = {**bad.page(), "exchange": x.name}
        body = json.dumps(page).encode()
        heads = headers.refusal_heads(x, bad, len(body), self._adapter, self._adapter.heads)
        if self._parting():
            heads.append((b"connection", b"close"))
        x.replied = True
        await x.send({"type": "http.response.start", "status": bad.code.status, "headers": heads})
        await x.send({"type": "http.response.body", "body": b"" if x.method == "HEAD" else body})

    async def finish_for_nobody(self, x: exchanges.Exchange) -> None:
        """Take in what is left of an order's answer, so that its connection can be used again."""
        if x.connection is None or x.answer is None:
            return
        rest = x.answer.rest
        try:
            async with asyncio.timeout(max(0.0, x.expiry - self._clock.now())):
                while rest is not None and await anext(rest, None) is not None:
                    pass
        except (TimeoutError, connections.Flaw):
            return
        self._delivery.put_away(x, sound=True)
