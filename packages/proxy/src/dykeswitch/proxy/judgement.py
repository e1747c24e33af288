"""Evaluates finished attempts: what they say about the endpoint, and what the exchange does next."""

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
    """Evaluates finished attempts."""

    def __init__(
        self,
        adapter: adapters.Adapter,
        selector: selection.Selector,
        delivery: deliveries.Delivery,
        marker: marking.Marker,
        ends: endings.Endings,
        add_step: exchanges.AddStep,
    ) -> None:
        self._adapter = adapter
        self._header_names = adapter.header_names
        self._selector = selector
        self._delivery = delivery
        self._marker = marker
        self._ends = ends
        self._add_step = add_step

    def judge(self, exchange: exchanges.Exchange) -> Stage:
        """Evaluate the finished attempt and return the exchange's next stage."""
        assert exchange.endpoint is not None and exchange.connection is not None
        if exchange.error:
            return self._judge_failure(exchange, exchange.endpoint.key, exchange.connection)
        assert exchange.response is not None
        head = exchange.response.head
        served_by = head.get(self._header_names.served_by)
        promised = self._adapter.promises_not_run(head.status, head.headers)
        is_foreign = served_by is not None and served_by.decode("latin-1") != exchange.endpoint.key
        lacks_seal = (
            head.status < 300 and self._header_names.seal and head.get(self._header_names.seal) is None
        )
        if (is_foreign and not promised) or lacks_seal:
            return self._judge_foreign(
                exchange, soundness.WRONG_ID_REPLY if is_foreign else soundness.GARBAGE
            )
        self._learn(exchange, exchange.endpoint, head, promised)
        fault = soundness.status_fault(head.status, promised)
        if promised and head.status == soundness.MISDIRECTED:
            fault = soundness.Fault(soundness.WRONG_ID_REPLY)
        if fault is None and not promised:
            self._marker.record_success(exchange.endpoint.key)
            return Stage.REPLY
        return self._judge_refusal(exchange, exchange.response, fault, promised)

    def _learn(
        self,
        exchange: exchanges.Exchange,
        endpoint: timelines.Entry,
        head: connections.ResponseHead,
        promised: bool,
    ) -> None:
        """Update selection with the endpoint's load according to its response."""
        if not promised:
            load = adapters.load(head.get(self._header_names.load))
            self._selector.learn(endpoint, exchange.attempt_duration_s, exchange.requests_ahead, load)
        elif head.status != soundness.MISDIRECTED:
            self._selector.record_full(endpoint.key)

    def _judge_foreign(self, exchange: exchanges.Exchange, error: str) -> Stage:
        """Discard a response from another server, for example after the address was reassigned."""
        assert exchange.endpoint is not None
        exchange.error = exchange.unknown_reason = error
        exchange.response = None
        self._delivery.release_connection(exchange, reusable=False)
        self._marker.record_failure(exchange.endpoint.key, soundness.Fault(error))
        return Stage.RETRY

    def _judge_refusal(
        self,
        exchange: exchanges.Exchange,
        response: exchanges.Response,
        fault: soundness.Fault | None,
        promised: bool,
    ) -> Stage:
        """Handle an unsuccessful response: retry if allowed, otherwise pass it on."""
        assert exchange.endpoint is not None
        name = exchange.endpoint.key
        self._add_step(
            exchange,
            f"{name} answered {response.head.status}",
            "promised not to have run" if promised else "",
        )
        if fault is not None:
            self._marker.record_failure(name, fault, promised)
        exchange.answered_without_promise = exchange.answered_without_promise or not promised
        if promised:
            self._delivery.release_connection(exchange, reusable=response.rest is None)
            exchange.response, exchange.error = None, "promised not to have run"
            return Stage.RETRY
        if not exchange.writing:
            return self._judge_failed_read(exchange, response)
        if response.head.status == soundness.UNAVAILABLE:
            self._delivery.release_connection(exchange, reusable=response.rest is None)
            return self._ends.withhold(exchange, response)
        # A writing request's response without a promise is final, since the request may have run.
        return Stage.REPLY

    def _judge_failed_read(self, exchange: exchanges.Exchange, response: exchanges.Response) -> Stage:
        """Handle a failed read: keep its response in case no attempt follows; drop one that is too long."""
        if response.rest is None:
            self._delivery.release_connection(exchange, reusable=True)
            return Stage.RETRY
        if not self._delivery.may_try_another(exchange, exchange.attempts):
            return Stage.REPLY
        # Closing the connection loses the rest of the response, and a partial response can't be used.
        self._delivery.release_connection(exchange, reusable=False)
        exchange.response = None
        exchange.unknown_reason = f"answered {response.head.status}, response too long to buffer"
        return Stage.RETRY

    def _judge_failure(
        self, exchange: exchanges.Exchange, name: str, connection: connections.EndpointConnection
    ) -> Stage:
        """Handle an attempt that ended without a response."""
        if (
            exchange.error == soundness.BROKE_OFF
            and not exchange.response_head_received
            and connection.idle_for_s
        ):
            self._delivery.record_idle_reset(exchange, connection.idle_for_s)
        self._delivery.release_connection(exchange, reusable=False)
        self._add_step(
            exchange,
            f"attempt at {name} failed, {'sent' if exchange.sent else 'nothing sent'}",
            exchange.error,
        )
        if exchange.error not in ("expired", "no longer to be used"):
            self._marker.record_failure(name, soundness.no_response_fault(exchange.error))
        if exchange.sent:
            exchange.unknown_reason = exchange.error
        return Stage.RETRY
