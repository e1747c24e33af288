"""Duties: probing and lending, divided into slots that the live registries share out among them.

The register stores the owner of each slot with a fencing number, which rises whenever the slot
changes its owner.
"""

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


def rendezvous_owner(key: str, names: typing.Iterable[str]) -> str:
    """The owner of a key by rendezvous hashing, so that few keys move when a registry leaves."""
    return max(names, key=lambda name: hashlib.sha256(f"{key}/{name}".encode()).digest())


@dataclasses.dataclass(slots=True)
class Ownership:
    """The ownership of one slot by this registry."""

    fence: int
    # When this registry learned of it, and when the last majority read that confirmed it began.
    since: float
    confirmed_at: float


class Duties:
    """The slots that this registry owns, and the fencing number of each."""

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
        self._operation_count = 0
        self._owned: dict[int, Ownership] = {}
        # Each slot's fence, and when this registry first saw it.
        self._fence_changes: dict[int, tuple[int, float]] = {}

    def fence(self, slot: int) -> int | None:
        """The fence of a slot, if this registry owns it according to the timeline."""
        entry = self._timeline.get(timelines.FENCE, str(slot))
        if entry is None or entry.fields["owner"] != self._owner:
            return None
        return int(entry.fields["fence"])

    def ownership(self, slot: int) -> Ownership | None:
        """The ownership of a slot, if a majority confirmed it recently and no later owner is known."""
        ownership = self._owned.get(slot)
        if ownership is None or self._clock.now() - ownership.confirmed_at > self._config.fence_max_age_s:
            return None
        return ownership if self.fence(slot) == ownership.fence else None

    def owners(self) -> dict[int, tuple[str, int]]:
        return {
            int(entry.key): (str(entry.fields["owner"]), int(entry.fields["fence"]))
            for entry in self._timeline.all(timelines.FENCE)
        }

    async def reconcile(self, live: typing.Collection[str]) -> None:
        """Claim the slots assigned to this registry that it does not own yet."""
        read_started_at = self._clock.now()
        result = await self._proposer.read(KEY)
        if isinstance(result, outcome.Failure):
            return
        self.publish(result.value, read_started_at)
        table = cbor2.loads(result.value.body) if result.value.body else {}
        owners = {int(slot): str(owner) for slot, (owner, _) in table.items()}
        wanted = [s for s in range(slotted.PROBE) if rendezvous_owner(f"probe/{s}", live) == self._name]
        for bucket in range(slotted.BUCKETS):
            wanted += self._lending_slots_to_claim(slotted.bucket_slots(bucket), owners, live)
        wanted = [slot for slot in wanted if self.fence(slot) is None]
        if wanted:
            await self._claim({slot: owners.get(slot, "") for slot in wanted})

    def _lending_slots_to_claim(
        self, slots: typing.Sequence[int], owners: dict[int, str], live: typing.Collection[str]
    ) -> list[int]:
        """The slots of one bucket that this registry should own in order to lend for them."""
        names = {slot: owners.get(slot, "").rpartition("/")[0] for slot in slots}
        # A live lender keeps its slot, since each handover makes the new lender wait.
        for slot in [slot for slot in slots if names[slot] not in live]:
            # Each part goes to a different registry, so that the loss of one costs a service only one part
            # of its floor.
            names[slot] = rendezvous_owner(f"lend/{slot}", _owners_of_none(names, live) or live)
        free = _owners_of_none(names, live)
        if self._name not in free or rendezvous_owner(f"lend/{slots[0]}", free) != self._name:
            return [slot for slot in slots if names[slot] == self._name]
        # Another registry owns two parts and this one none: take one, unless a slot changed hands recently.
        unchanged_s = self._clock.now() - max(self._fence_changes.get(s, (0, -1e9))[1] for s in slots)
        surplus = [s for s in slots if list(names.values()).count(names[s]) > 1]
        return surplus[-1:] if unchanged_s > self._config.takeover_wait_s else []

    async def _claim(self, slots: dict[int, str]) -> None:
        """Claim slots from their known owners; a slot that has another owner by now is left alone."""
        self._operation_count += 1
        op = f"{self._owner}/duty/{self._operation_count}"
        read_started_at = self._clock.now()
        published = {slot: fence for slot, (_, fence) in self.owners().items()}

        def step(current: register.Value) -> register.Value | outcome.Failure:
            if current.version_of(op) is not None:
                return current
            table = cbor2.loads(current.body) if current.body else {}
            for slot, known_owner in slots.items():
                owner, fence = table.get(slot, ["", 0])
                if owner == known_owner:
                    # Higher than any fence still on the timeline, also after the register was founded again.
                    table[slot] = [self._owner, max(fence, published.get(slot, 0)) + 1]
            return current.successor(cbor2.dumps(table), op)

        result = await self._proposer.change(KEY, step)
        if isinstance(result, outcome.Success):
            self.publish(result.value, read_started_at)

    def publish(self, value: register.Value, read_started_at: float) -> None:
        """Publish the fences of a register value, whose read began at `read_started_at`, to the timeline.

        A fence on the timeline is only replaced by a higher one.
        """
        if not value.body:
            return
        now = self._clock.now()
        for slot, (owner, fence) in cbor2.loads(value.body).items():
            known = self._timeline.get(timelines.FENCE, str(slot))
            if known is None or int(known.fields["fence"]) < int(fence):
                fields = {"owner": owner, "fence": int(fence)}
                self._timeline.write(timelines.FENCE, str(slot), fields, self._config.forget_s)
            if self._fence_changes.get(slot, (0, 0.0))[0] != fence:
                self._fence_changes[slot] = (int(fence), now)
            if owner != self._owner:
                self._owned.pop(slot, None)
                continue
            ownership = self._owned.get(slot)
            if ownership is None or ownership.fence != fence:
                ownership = self._owned[slot] = Ownership(int(fence), now, read_started_at)
            ownership.confirmed_at = max(ownership.confirmed_at, read_started_at)


def _owners_of_none(names: dict[int, str], live: typing.Iterable[str]) -> list[str]:
    """Live registries that own none of the slots in `names`."""
    taken = set(names.values())
    return [name for name in live if name not in taken]
