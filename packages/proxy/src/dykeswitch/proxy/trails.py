"""Keeps the steps of exchanges for operators' queries."""

import collections
import typing

import dykeswitch.proxy.exchange as exchanges

# Number of finished exchanges whose steps are kept.
MAX_FINISHED: typing.Final = 2048


class Trails:
    """The trails of the exchanges in progress and of the most recently finished ones."""

    def __init__(self, table: dict[str, exchanges.Exchange]) -> None:
        self._table = table
        self._finished: collections.OrderedDict[str, tuple[exchanges.Step, list[exchanges.Step]]] = (
            collections.OrderedDict()
        )

    def remember(self, exchange: exchanges.Exchange, now: float) -> None:
        """Keep the trail of a finished exchange, but not the exchange, which holds connections and bodies."""
        if exchange.stage is exchanges.Stage.DONE:
            exchange.add_step(now, f"answered {exchange.status}", _result_text(exchange))
        self._finished[exchange.name] = (_summary_step(exchange), exchange.trail)
        if len(self._finished) > MAX_FINISHED:
            self._finished.popitem(last=False)

    def get(self, name: str) -> list[exchanges.Step] | None:
        """Return the steps of an exchange that is in progress or recently finished."""
        finished = self._finished.get(name)
        if finished is not None:
            return [finished[0], *finished[1]]
        exchange = self._table.get(name)
        return [_summary_step(exchange), *exchange.trail] if exchange is not None else None


def _summary_step(exchange: exchanges.Exchange) -> exchanges.Step:
    rule = f"rule {exchange.rule.name}" if exchange.rule else "no rule"
    kind = "writing" if exchange.writing else "reading"
    detail = f"{rule}, service {exchange.service or 'none'}, {kind}"
    return (0.0, f"{exchange.method} {exchange.host}{exchange.path}"[: exchanges.MAX_STEP_TEXT], detail)


def _result_text(exchange: exchanges.Exchange) -> str:
    if exchange.failure is None:
        return "by the endpoint"
    return (
        f"{exchange.failure.code.number} {exchange.failure.code.tag}: "
        f"{exchange.failure.detail or exchange.failure.code.text}"
    )
