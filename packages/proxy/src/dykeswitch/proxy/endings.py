"""How an exchange ends without an endpoint's answer: what became of it, and when to come again."""

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.selection as selection
import dykeswitch.settings as settings
import dykeswitch.soundness as soundness

# The result of an attempt that was sent and whose end is unknown, by what went wrong with it.
UNKNOWN_TAGS = {
    soundness.TIMED_OUT: "timed_out",
    "expired": "timed_out",
    soundness.GARBAGE: "bad_reply",
    soundness.UNFRAMED: "bad_reply",
    soundness.WRONG_ID_REPLY: "wrong_owner",
}


class Endings:
    """Ends exchanges with answers of our own."""

    def __init__(self, config: settings.Settings, clock: ports.Clock, selector: selection.Selector) -> None:
        self._config = config
        self._clock = clock
        self._selector = selector

    def end(self, exchange: exchanges.Exchange, tag: str, why: str = "") -> exchanges.Stage:
        """End an exchange with a result of the table."""
        exchange.failure = outcome.failure(tag, why)
        return exchanges.Stage.REPLY

    def give_up(self, exchange: exchanges.Exchange, tag: str) -> exchanges.Stage:
        """The final answer, at once: what became of it, and when to come back if it may."""
        if exchange.answer is not None:
            if exchange.writing and exchange.answer.head.status == soundness.UNAVAILABLE:
                # It read when it was sent, and writes by a rule that came since.
                return self.withhold(exchange, exchange.answer)
            # A reading request whose last reply was whole: that reply is the answer.
            return exchanges.Stage.REPLY
        if exchange.unknown or (exchange.writing and exchange.answered):
            # It may be running still: who came again would run it twice.
            exchange.retry_after = None
            return self.end(exchange, UNKNOWN_TAGS.get(exchange.unknown, "outcome_unknown"), exchange.unknown)
        exchange.retry_after = self.come_back_s(exchange)
        return self.end(exchange, tag, exchange.flaw)

    def withhold(self, exchange: exchanges.Exchange, answer: exchanges.Answer) -> exchanges.Stage:
        """Say that the outcome is unknown in place of an endpoint's own words.

        Callers take 503 for a promise that nothing ran, which this endpoint did not make.
        """
        exchange.unknown = f"answered {answer.head.status} without a promise"
        exchange.answer = None
        return self.give_up(exchange, "outcome_unknown")

    def come_back_s(self, exchange: exchanges.Exchange) -> float:
        """In how many seconds the first of the service's marks runs out."""
        wait = self._selector.mark_expires_in_s(exchange.service, self._clock.now())
        return max(self._config.back_s, min(wait, self._config.mark_s))
