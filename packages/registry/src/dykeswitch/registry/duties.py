"""Duties cut by key over the live registries; each changes hands under a fence."""

import dataclasses
import hashlib
import typing

import cbor2

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines
import dykeswitch.timeline.slots as slotted

KEY: typing.Final = "duties"


def first_of(key: str, names: typing.Iterable[str]) -> str:
    """Who of the named has a key: the highest draw, so few keys move when one goes."""
    return max(names, key=lambda name: hashlib.sha256(f"{key}/{name}".encode()).digest())


@dataclasses.dataclass(slots=True)
class Hold:
    """A slot that is ours."""

    fence: int
    # When we first knew, and when the last majority read that says so began.
    since: float
    sure: float


class Duties:
    """Which slots of the duties are ours, and under which fence."""

    def __init__(
        self,
        name: str,
        boot_id: str,
        config: settings.Settings,
        timeline: timelines.Timeline,
        proposer: proposers.Proposer,
    ) -> None:
        self._name = name
        self._owner = f"{name}/{boot_id}"
        self._config = config
        self._timeline = timeline
        self._clock = timeline.clock
        self._proposer = proposer
        self._ops = 0
        self._holds: dict[int, Hold] = {}
        # Each slot's fence, and since when we have seen it.
        self._moved: dict[int, tuple[int, float]] = {}

    def fence(self, slot: int) -> int | None:
        """Our fence for a slot, if it is ours as far as we know."""
        entry = self._timeline.get(timelines.FENCE, str(slot))
        if entry is None or entry.fields["owner"] != self._owner:
            return None
        return int(entry.fields["fence"])

    def hold(self, slot: int) -> Hold | None:
        """A slot that is surely ours: a majority said so lately, and nobody is known to say else."""
        hold = self._holds.get(slot)
        if hold is None or self._clock.now() - hold.sure > self._config.fence_max_age_s:
            return None
        return hold if self.fence(slot) == hold.fence else None

    def owners(self) -> dict[int, tuple[str, int]]:
        return {
            int(e.key): (str(e.fields["owner"]), int(e.fields["fence"]))
            for e in self._timeline.all(timelines.FENCE)
        }

    async def reconcile(self, live: typing.Collection[str]) -> None:
        """Claim the slots that fall to us and are another's, or nobody's."""
        begun = self._clock.now()
        result = await self._proposer.read(KEY)
        if isinstance(result, outcome.Failure):
            return
        self.publish(result.value, begun)
        book = cbor2.loads(result.value.body) if result.value.body else {}
        owners = {int(slot): str(owner) for slot, (owner, _) in book.items()}
        wanted = [s for s in range(slotted.PROBE) if first_of(f"probe/{s}", live) == self._name]
        for bucket in range(slotted.BUCKETS):
            wanted += self._to_lend(slotted.bucket_slots(bucket), owners, live)
        wanted = [slot for slot in wanted if self.fence(slot) is None]
        if wanted:
            await self._claim({slot: owners.get(slot, "") for slot in wanted})

    def _to_lend(
        self, slots: typing.Sequence[int], owners: dict[int, str], live: typing.Collection[str]
    ) -> list[int]:
        """The slots of one bucket that we should lend for and do not."""
        names = {slot: owners.get(slot, "").rpartition("/")[0] for slot in slots}
        # A lender that lives keeps its slot: each handover costs the new one a wait.
        for slot in [slot for slot in slots if names[slot] not in live]:
            # One lost registry should cost a service no more than one part of its floor.
            names[slot] = first_of(f"lend/{slot}", _free(names, live) or live)
        free = _free(names, live)
        if self._name not in free or first_of(f"lend/{slots[0]}", free) != self._name:
            return [slot for slot in slots if names[slot] == self._name]
        # One registry has two parts and we none: we take one, if no other is on the move.
        calm = self._clock.now() - max(self._moved.get(s, (0, -1e9))[1] for s in slots)
        twice = [s for s in slots if list(names.values()).count(names[s]) > 1]
        return twice[-1:] if calm > self._config.takeover_wait_s else []

    async def _claim(self, slots: dict[int, str]) -> None:
        """Claim slots from those who have them, unless somebody else was faster."""
        self._ops += 1
        op = f"{self._owner}/duty/{self._ops}"
        begun = self._clock.now()
        seen = {slot: fence for slot, (_, fence) in self.owners().items()}

        def step(now: register.Value) -> register.Value | outcome.Failure:
            if now.version_of(op) is not None:
                return now
            book = cbor2.loads(now.body) if now.body else {}
            for slot, old in slots.items():
                owner, fence = book.get(slot, ["", 0])
                if owner == old:
                    # Higher than any that is still told of, also where the register began anew.
                    book[slot] = [self._owner, max(fence, seen.get(slot, 0)) + 1]
            return now.successor(cbor2.dumps(book), op)

        result = await self._proposer.change(KEY, step)
        if isinstance(result, outcome.Success):
            self.publish(result.value, begun)

    def publish(self, value: register.Value, begun: float) -> None:
        """Put the register's fences, read from a moment on, on the timeline; only higher ones move it."""
        if not value.body:
            return
        now = self._clock.now()
        for slot, (owner, fence) in cbor2.loads(value.body).items():
            held = self._timeline.get(timelines.FENCE, str(slot))
            if held is None or int(held.fields["fence"]) < int(fence):
                fields = {"owner": owner, "fence": int(fence)}
                self._timeline.write(timelines.FENCE, str(slot), fields, self._config.forget_s)
            if self._moved.get(slot, (0, 0.0))[0] != fence:
                self._moved[slot] = (int(fence), now)
            if owner != self._owner:
                self._holds.pop(slot, None)
                continue
            hold = self._holds.get(slot)
            if hold is None or hold.fence != fence:
                hold = self._holds[slot] = Hold(int(fence), now, begun)
            hold.sure = max(hold.sure, begun)


def _free(names: dict[int, str], live: typing.Iterable[str]) -> list[str]:
    """Live registries that lend for none of some slots."""
    taken = set(names.values())
    return [name for name in live if name not in taken]
