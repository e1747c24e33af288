"""What an attempt's end says of its endpoint, and what the exchange does next."""

import dykeswitch.adapter as adapters
import dykeswitch.proxy.delivery as deliveries
import dykeswitch.proxy.endings as endings
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.marking as marking
import dykeswitch.proxy.selection as selection
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timeline

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
        self._heads = adapter.heads
        self._selector = selector
        self._delivery = delivery
        self._marker = marker
        self._ends = ends
        self._note = note

    def judge(self, x: exchanges.Exchange) -> Stage:
        """Judge the attempt that is over; the exchange's next pass."""
        assert x.endpoint is not None and x.connection is not None
        if x.flaw:
            return self._judge_failure(x, x.endpoint.key, x.connection)
        assert x.answer is not None
        head = x.answer.head
        served = head.get(self._heads.served_by)
        promised = self._adapter.promised(head.status, head.heads)
        other = served is not None and served.decode("latin-1") != x.endpoint.key
        bare = head.status < 300 and self._heads.seal and head.get(self._heads.seal) is None
        if (other and not promised) or bare:
            return self._judge_foreign(x, soundness.WRONG_ID_REPLY if other else soundness.GARBAGE)
        self._learn(x, x.endpoint, head, promised)
        fault = soundness.status_fault(head.status, promised)
        if promised and head.status == soundness.MISDIRECTED:
            fault = soundness.Fault(soundness.WRONG_ID_REPLY)
        if fault is None and not promised:
            self._marker.sound(x.endpoint.key)
            return Stage.REPLY
        return self._judge_refusal(x, x.answer, fault, promised)

    def _learn(
        self, x: exchanges.Exchange, endpoint: timeline.Entry, head: connections.Head, promised: bool
    ) -> None:
        """Teach selection what an answer tells of its endpoint's load."""
        if not promised:
            load = adapters.load(head.get(self._heads.load))
            self._selector.learn(endpoint, x.took, x.ahead, load)
        elif head.status != soundness.MISDIRECTED:
            self._selector.full(endpoint.key)

    def _judge_foreign(self, x: exchanges.Exchange, flaw: str) -> Stage:
        """Someone else's reply, or an address that changed hands under our connection."""
        assert x.endpoint is not None
        x.flaw = x.unknown = flaw
        x.answer = None
        self._delivery.put_away(x, sound=False)
        self._marker.failed(x.endpoint.key, soundness.Fault(flaw))
        return Stage.RETRY

    def _judge_refusal(
        self, x: exchanges.Exchange, answer: exchanges.Answer, fault: soundness.Fault | None, promised: bool
    ) -> Stage:
        """An answer that is no success: tried again where it may be, else the endpoint's last word."""
        assert x.endpoint is not None
        name = x.endpoint.key
        self._note(x, f"{name} answered {answer.head.status}", "promised not to have run" if promised else "")
        if fault is not None:
            self._marker.failed(name, fault, promised)
        x.answered = x.answered or not promised
        if promised:
            self._delivery.put_away(x, sound=answer.rest is None)
            x.answer, x.flaw = None, "promised not to have run"
            return Stage.RETRY
        if not x.writing:
            return self._judge_failed_read(x, answer)
        if answer.head.status == soundness.UNAVAILABLE:
            self._delivery.put_away(x, sound=answer.rest is None)
            return self._ends.withhold(x, answer)
        # A writing request's reply without a promise is the endpoint's last word.
        return Stage.REPLY

    def _judge_failed_read(self, x: exchanges.Exchange, answer: exchanges.Answer) -> Stage:
        """A failure that may be tried again: kept in case none follows, or given up if it is too long."""
        if answer.rest is None:
            self._delivery.put_away(x, sound=True)
            return Stage.RETRY
        if not self._delivery.may_try_another(x, x.goes):
            return Stage.REPLY
        # Its connection goes, and the rest of it; a part of an answer is none.
        self._delivery.put_away(x, sound=False)
        x.answer = None
        x.unknown = f"answered {answer.head.status}, too long to be held"
        return Stage.RETRY

    def _judge_failure(
        self, x: exchanges.Exchange, name: str, connection: connections.EndpointConnection
    ) -> Stage:
        """An attempt that ended without a reply."""
        if x.flaw == soundness.BROKE_OFF and not x.head_came and connection.rested_s:
            self._delivery.reset_at_rest(x, connection.rested_s)
        self._delivery.put_away(x, sound=False)
        self._note(x, f"go to {name} failed, {'sent' if x.sent else 'nothing sent'}", x.flaw)
        if x.flaw not in ("expired", "no longer to be used"):
            self._marker.failed(name, soundness.flaw_fault(x.flaw))
        if x.sent:
            x.unknown = x.flaw
        return Stage.RETRY
