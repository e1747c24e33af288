"""Duties cut by key over the live registries; each changes hands under a fence."""

import hashlib
import typing

import cbor2

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.settings as settings
import dykeswitch.timeline as timeline

KEY: typing.Final = "duties"
SLOTS: typing.Final = 16


def first_of(key: str, names: typing.Iterable[str]) -> str:
    """Who of the named has a key: the highest draw, so few keys move when one goes."""
    return max(names, key=lambda name: hashlib.sha256(f"{key}/{name}".encode()).digest())


class Duties:
    """Which slots of the probe duty are ours, and under which fence."""

    def __init__(
        self,
        name: str,
        boot: str,
        bounds: settings.Settings,
        line: timeline.Timeline,
        proposer: proposers.Proposer,
    ) -> None:
        self._name = name
        self._owner = f"{name}/{boot}"
        self._bounds = bounds
        self._line = line
        self._proposer = proposer
        self._ops = 0

    def fence(self, slot: int) -> int | None:
        """Our fence for a slot, if it is ours as far as we know."""
        entry = self._line.get(timeline.FENCE, str(slot))
        if entry is None or entry.fields["owner"] != self._owner:
            return None
        return int(entry.fields["fence"])

    def owners(self) -> dict[int, tuple[str, int]]:
        return {
            int(e.key): (str(e.fields["owner"]), int(e.fields["fence"]))
            for e in self._line.all(timeline.FENCE)
        }

    async def tend(self, live: typing.Collection[str]) -> None:
        """Claim the slots that fall to us and are another's, or nobody's."""
        mine = [s for s in range(SLOTS) if first_of(f"probe/{s}", live) == self._name]
        wanted = [s for s in mine if self.fence(s) is None]
        if wanted:
            await self._claim(wanted)

    async def _claim(self, slots: list[int]) -> None:
        self._ops += 1
        op = f"{self._owner}/duty/{self._ops}"

        def step(now: register.Value) -> register.Value | outcome.Bad:
            if now.made(op) is not None:
                return now
            book = cbor2.loads(now.body) if now.body else {}
            for slot in slots:
                owner, fence = book.get(slot, ["", 0])
                if owner != self._owner:
                    book[slot] = [self._owner, fence + 1]
            return now.next(cbor2.dumps(book), op)

        result = await self._proposer.change(KEY, step)
        if isinstance(result, outcome.Good):
            self.publish(result.value)

    def publish(self, value: register.Value) -> None:
        """Put the register's fences on the timeline; only higher ones move it."""
        if not value.body:
            return
        for slot, (owner, fence) in cbor2.loads(value.body).items():
            held = self._line.get(timeline.FENCE, str(slot))
            if held is None or int(held.fields["fence"]) < int(fence):
                fields = {"owner": owner, "fence": int(fence)}
                self._line.write(timeline.FENCE, str(slot), fields, self._bounds.forget_s)
