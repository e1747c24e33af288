"""What an attempt's end says of its endpoint, and what the exchange does next."""

import dykeswitch.adapter as adapters
import dykeswitch.proxy.delivery as deliveries
import dykeswitch.proxy.endings as endings
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.marking as marking
import dykeswitch.proxy.selection as selection
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

Stage = exchanges.Stage


class Judgement:
    """Judges attempts that are over."""

    def __init__(
        self,
        adapter: adapters.Adapter,
        selector: selection.Selector,
        delivery: deliveries.Delivery,
        marker: marking.Marker,
        ends: endings.Endings,
        note: exchanges.Note,
    ) -> None:
        self._adapter = adapter
        self._header_names = adapter.header_names
        self._selector = selector
        self._delivery = delivery
        self._marker = marker
        self._ends = ends
        self._note = note

    def judge(self, exchange: exchanges.Exchange) -> Stage:
        """Judge the attempt that is over; the exchange's next pass."""
        assert exchange.endpoint is not None and exchange.connection is not None
        if exchange.flaw:
            return self._judge_failure(exchange, exchange.endpoint.key, exchange.connection)
        assert exchange.answer is not None
        head = exchange.answer.head
        served = head.get(self._header_names.served_by)
        promised = self._adapter.promises_not_run(head.status, head.headers)
        other = served is not None and served.decode("latin-1") != exchange.endpoint.key
        bare = head.status < 300 and self._header_names.seal and head.get(self._header_names.seal) is None
        if (other and not promised) or bare:
            return self._judge_foreign(exchange, soundness.WRONG_ID_REPLY if other else soundness.GARBAGE)
        self._learn(exchange, exchange.endpoint, head, promised)
        fault = soundness.status_fault(head.status, promised)
        if promised and head.status == soundness.MISDIRECTED:
            fault = soundness.Fault(soundness.WRONG_ID_REPLY)
        if fault is None and not promised:
            self._marker.sound(exchange.endpoint.key)
            return Stage.REPLY
        return self._judge_refusal(exchange, exchange.answer, fault, promised)

    def _learn(
        self,
        exchange: exchanges.Exchange,
        endpoint: timelines.Entry,
        head: connections.ResponseHead,
        promised: bool,
    ) -> None:
        """Teach selection what an answer tells of its endpoint's load."""
        if not promised:
            load = adapters.load(head.get(self._header_names.load))
            self._selector.learn(endpoint, exchange.took, exchange.ahead, load)
        elif head.status != soundness.MISDIRECTED:
            self._selector.record_full(endpoint.key)

    def _judge_foreign(self, exchange: exchanges.Exchange, flaw: str) -> Stage:
        """Someone else's reply, or an address that changed hands under our connection."""
        assert exchange.endpoint is not None
        exchange.flaw = exchange.unknown = flaw
        exchange.answer = None
        self._delivery.put_away(exchange, sound=False)
        self._marker.failed(exchange.endpoint.key, soundness.Fault(flaw))
        return Stage.RETRY

    def _judge_refusal(
        self,
        exchange: exchanges.Exchange,
        answer: exchanges.Answer,
        fault: soundness.Fault | None,
        promised: bool,
    ) -> Stage:
        """An answer that is no success: tried again where it may be, else the endpoint's last word."""
        assert exchange.endpoint is not None
        name = exchange.endpoint.key
        self._note(
            exchange, f"{name} answered {answer.head.status}", "promised not to have run" if promised else ""
        )
        if fault is not None:
            self._marker.failed(name, fault, promised)
        exchange.answered = exchange.answered or not promised
        if promised:
            self._delivery.put_away(exchange, sound=answer.rest is None)
            exchange.answer, exchange.flaw = None, "promised not to have run"
            return Stage.RETRY
        if not exchange.writing:
            return self._judge_failed_read(exchange, answer)
        if answer.head.status == soundness.UNAVAILABLE:
            self._delivery.put_away(exchange, sound=answer.rest is None)
            return self._ends.withhold(exchange, answer)
        # A writing request's reply without a promise is the endpoint's last word.
        return Stage.REPLY

    def _judge_failed_read(self, exchange: exchanges.Exchange, answer: exchanges.Answer) -> Stage:
        """A failure that may be tried again: kept in case none follows, or given up if it is too long."""
        if answer.rest is None:
            self._delivery.put_away(exchange, sound=True)
            return Stage.RETRY
        if not self._delivery.may_try_another(exchange, exchange.attempts):
            return Stage.REPLY
        # Its connection goes, and the rest of it; a part of an answer is none.
        self._delivery.put_away(exchange, sound=False)
        exchange.answer = None
        exchange.unknown = f"answered {answer.head.status}, too long to be held"
        return Stage.RETRY

    def _judge_failure(
        self, exchange: exchanges.Exchange, name: str, connection: connections.EndpointConnection
    ) -> Stage:
        """An attempt that ended without a reply."""
        if exchange.flaw == soundness.BROKE_OFF and not exchange.head_came and connection.idle_for_s:
            self._delivery.reset_at_rest(exchange, connection.idle_for_s)
        self._delivery.put_away(exchange, sound=False)
        self._note(
            exchange, f"go to {name} failed, {'sent' if exchange.sent else 'nothing sent'}", exchange.flaw
        )
        if exchange.flaw not in ("expired", "no longer to be used"):
            self._marker.failed(name, soundness.no_response_fault(exchange.flaw))
        if exchange.sent:
            exchange.unknown = exchange.flaw
        return Stage.RETRY
