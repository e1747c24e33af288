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

    def remember(self, x: exchanges.Exchange, now: float) -> None:
        """Keep the trail of one that is over; the exchange itself holds connections and bodies."""
        if x.stage is exchanges.Stage.DONE:
            x.note(now, f"answered {x.status}", _ending(x))
        self._over[x.name] = (_heading(x), x.trail)
        if len(self._over) > OVER_MOST:
            self._over.popitem(last=False)

    def get(self, name: str) -> list[exchanges.Step] | None:
        """What was done for an exchange that is over or at work."""
        over = self._over.get(name)
        if over is not None:
            return [over[0], *over[1]]
        x = self._table.get(name)
        return [_heading(x), *x.trail] if x is not None else None


def _heading(x: exchanges.Exchange) -> exchanges.Step:
    rule = f"rule {x.rule.name}" if x.rule else "no rule"
    kind = "writing" if x.writing else "reading"
    why = f"{rule}, service {x.service or 'none'}, {kind}"
    return (0.0, f"{x.method} {x.host}{x.path}"[: exchanges.TEXT_MOST], why)


def _ending(x: exchanges.Exchange) -> str:
    if x.bad is None:
        return "by the endpoint"
    return f"{x.bad.code.number} {x.bad.code.tag}: {x.bad.why or x.bad.code.text}"
