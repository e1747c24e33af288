"""What was done for each exchange, for an operator who asks."""

import collections
import typing

import dykeswitch.proxy.exchange as exchanges

# How many exchanges that are over can still be explained.
OVER_MOST: typing.Final = 2048


class Trails:
    """The trails of exchanges that are at work, and of the last that are over."""

    def __init__(self, table: dict[str, exchanges.Exchange]) -> None:
        self._table = table
        self._over: collections.OrderedDict[str, tuple[exchanges.Step, list[exchanges.Step]]] = (
            collections.OrderedDict()
        )

    def remember(self, exchange: exchanges.Exchange, now: float) -> None:
        """Keep the trail of one that is over; the exchange itself holds connections and bodies."""
        if exchange.stage is exchanges.Stage.DONE:
            exchange.note(now, f"answered {exchange.status}", _ending(exchange))
        self._over[exchange.name] = (_heading(exchange), exchange.trail)
        if len(self._over) > OVER_MOST:
            self._over.popitem(last=False)

    def get(self, name: str) -> list[exchanges.Step] | None:
        """What was done for an exchange that is over or at work."""
        over = self._over.get(name)
        if over is not None:
            return [over[0], *over[1]]
        exchange = self._table.get(name)
        return [_heading(exchange), *exchange.trail] if exchange is not None else None


def _heading(exchange: exchanges.Exchange) -> exchanges.Step:
    rule = f"rule {exchange.rule.name}" if exchange.rule else "no rule"
    kind = "writing" if exchange.writing else "reading"
    why = f"{rule}, service {exchange.service or 'none'}, {kind}"
    return (0.0, f"{exchange.method} {exchange.host}{exchange.path}"[: exchanges.TEXT_MOST], why)


def _ending(exchange: exchanges.Exchange) -> str:
    if exchange.failure is None:
        return "by the endpoint"
    return (
        f"{exchange.failure.code.number} {exchange.failure.code.tag}: "
        f"{exchange.failure.detail or exchange.failure.code.text}"
    )
