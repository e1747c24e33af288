"""The replicated timeline: a store of expiring entries that converges in any order of delivery.

Entries are ordered by a stamp: a logical counter and the name of the member that wrote the entry.
An entry is sent with its remaining lifetime and never with a wall time, because wall clocks jump.
"""

import asyncio
import collections
import dataclasses
import typing
import zlib

import dykeswitch.ports as ports
import dykeswitch.timeline.entries as entries

Stamp = tuple[int, str]
Fields = dict[str, typing.Any]
Wire = list[typing.Any]

ENDPOINT: typing.Final = "endpoint"
MARK: typing.Final = "mark"
FENCE: typing.Final = "fence"
CORE: typing.Final = "core"
PROXY: typing.Final = "proxy"
DOCUMENT: typing.Final = "paper"
KINDS: typing.Final = (ENDPOINT, MARK, FENCE, CORE, PROXY, DOCUMENT)

# The states of an endpoint. An id that left or was displaced never comes back.
UP: typing.Final = "up"
LAPSED: typing.Final = "lapsed"
LEFT: typing.Final = "left"
DISPLACED: typing.Final = "displaced"
# An expired entry is kept for this share of the longest lifetime, so that late copies can't revive it.
LINGER_SHARE: typing.Final = 1 / 30
FINAL_STATES: typing.Final = (LEFT, DISPLACED)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the timeline.

    `expiry` is a time of the local clock, `seq` the position in this member's copy of the timeline.
    """

    kind: str
    key: str
    stamp: Stamp
    fields: Fields
    expiry: float
    seq: int = 0

    def to_wire(self, now: float) -> Wire:
        """Returns the entry as it is sent to other members, with its remaining lifetime."""
        return [self.kind, self.key, self.stamp[0], self.stamp[1], self.fields, max(0.0, self.expiry - now)]


def _rank(entry: Entry) -> tuple[typing.Any, ...]:
    """Returns the precedence of an entry: of two entries with the same key, the higher one is kept."""
    if entry.kind == ENDPOINT:
        # A final state outranks every heartbeat, even one written later. A remembered entry, restored
        # from the saved endpoint table, ranks below any entry from a heartbeat.
        return (entry.fields["state"] in FINAL_STATES, "remembered" not in entry.fields, entry.stamp)
    if entry.kind == FENCE:
        return (int(entry.fields["fence"]), entry.stamp)
    if entry.kind == DOCUMENT:
        return (int(entry.fields["version"]), entry.stamp)
    return (entry.stamp,)


def slot_of(key: str, slots: int) -> int:
    """Maps a key to one of `slots` slots by its hash."""
    return zlib.crc32(key.encode()) % slots


class Timeline:
    """One member's copy of the timeline, with notification of changes."""

    def __init__(self, name: str, clock: ports.Clock, forget_s: float) -> None:
        self.name = name
        self._clock = self.clock = clock
        self.forget_s = forget_s
        # All stored entries, in the order in which they were applied.
        self._ordered_entries: collections.OrderedDict[tuple[str, str], Entry] = collections.OrderedDict()
        self._by_kind: dict[str, dict[str, Entry]] = {kind: {} for kind in KINDS}
        # Endpoint keys by address. Without it, each heartbeat searched all endpoints, and the total
        # cost grew with the square of their number.
        self._keys_by_address: dict[str, set[str]] = {}
        self._stamp_counter = 0
        # Position of the newest entry, and of the newest urgent one.
        self.seq = 0
        self.last_urgent_seq = 0
        # Position of the newest urgent entry that is not a mark. Such entries have to reach each
        # proxy through every core that it polls; marks come from one core only.
        self.last_urgent_seq_except_marks = 0
        self.changed = asyncio.Condition()
        self._notify_tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[typing.Callable[[Entry], None]] = []

    def on_change(self, listener: typing.Callable[[Entry], None]) -> None:
        """Registers a function that is called with each entry that is applied."""
        self._listeners.append(listener)

    def get(self, kind: str, key: str) -> Entry | None:
        """Returns the entry of a key, or None if there is none or it has expired."""
        entry = self._by_kind[kind].get(key)
        if entry is None or entry.expiry <= self._clock.now():
            return None
        return entry

    def all(self, kind: str) -> list[Entry]:
        """Returns all entries of a kind that have not expired."""
        now = self._clock.now()
        return [entry for entry in self._by_kind[kind].values() if entry.expiry > now]

    def count(self, kind: str) -> int:
        """Returns how many entries of a kind are stored, including those that expired recently."""
        return len(self._by_kind[kind])

    def stamp(self) -> Stamp:
        """Returns a new stamp, later than all stamps seen so far."""
        self._stamp_counter += 1
        return (self._stamp_counter, self.name)

    def write(
        self, kind: str, key: str, fields: Fields, lifetime_s: float, urgent: bool = True
    ) -> Entry | None:
        """Writes an entry of this member; returns None if an existing entry outranks it."""
        entry = Entry(kind, key, self.stamp(), fields, self._clock.now() + lifetime_s)
        return self._apply(entry, urgent)

    def merge(self, raw: typing.Iterable[Wire]) -> int:
        """Applies entries from another member; returns how many of them were new."""
        now = self._clock.now()
        applied = 0
        for wire in raw:
            # Most entries that arrive are known already, so this cheap check comes first.
            if self._already_has(wire):
                continue
            # A malformed entry from one member must not crash the members that it spreads to.
            if not entries.is_valid(wire):
                continue
            kind, key, count, name, fields, left = wire
            self._stamp_counter = max(self._stamp_counter, count)
            lifetime_s = min(float(left), self.forget_s)
            entry = Entry(kind, key, (count, name), fields, now + lifetime_s)
            if lifetime_s > 0 and self._apply(entry, None) is not None:
                applied += 1
        return applied

    def _already_has(self, wire: Wire) -> bool:
        """Whether a received entry is the stored one, by its stamp."""
        if not isinstance(wire, (list, tuple)) or len(wire) != 6:
            return False
        kind, key = wire[0], wire[1]
        if not isinstance(kind, str) or not isinstance(key, str):
            return False
        old = self._by_kind.get(kind, {}).get(key)
        return old is not None and old.stamp == (wire[2], wire[3])

    def _apply(self, entry: Entry, urgent: bool | None) -> Entry | None:
        """Stores an entry that outranks the stored one; `urgent` is worked out where it is None."""
        old = self._by_kind[entry.kind].get(entry.key)
        # An expired entry still outranks its own copies. Otherwise a copy with a little lifetime
        # left would revive it, and members would pass it around forever.
        if old is not None and _rank(entry) <= _rank(old):
            return None
        if entry.kind == MARK and not self._is_fence_current(entry):
            return None
        if urgent is None:
            urgent = _is_urgent(old, entry)
        self.seq += 1
        entry = dataclasses.replace(entry, seq=self.seq)
        self._by_kind[entry.kind][entry.key] = entry
        if entry.kind == ENDPOINT:
            if old is not None and old.fields["address"] != entry.fields["address"]:
                self._remove_address(old)
            self._keys_by_address.setdefault(entry.fields["address"], set()).add(entry.key)
        self._ordered_entries[(entry.kind, entry.key)] = entry
        self._ordered_entries.move_to_end((entry.kind, entry.key))
        if urgent:
            self.last_urgent_seq = self.seq
            if entry.kind != MARK:
                self.last_urgent_seq_except_marks = self.seq
            self._notify_waiters()
        for listener in self._listeners:
            listener(entry)
        if entry.kind == ENDPOINT and entry.fields["state"] in (UP, LAPSED):
            self._displace_at_address(entry)
        return entry

    def _displace_at_address(self, fresh: Entry) -> None:
        """Ensures one endpoint per address: the one registered last keeps it, others are displaced."""
        for key in sorted(self._keys_by_address[fresh.fields["address"]]):
            other = self._by_kind[ENDPOINT][key]
            if key == fresh.key:
                continue
            if other.fields["state"] in FINAL_STATES or other.expiry <= self._clock.now():
                continue
            newer = tuple(fresh.fields["born"]) > tuple(other.fields["born"])
            loser = other if newer else fresh
            self.write(ENDPOINT, loser.key, {**loser.fields, "state": DISPLACED}, self.forget_s)

    def _remove_address(self, entry: Entry) -> None:
        """Removes an endpoint from the index of its address."""
        keys = self._keys_by_address[entry.fields["address"]]
        keys.discard(entry.key)
        if not keys:
            del self._keys_by_address[entry.fields["address"]]

    def _is_fence_current(self, entry: Entry) -> bool:
        """Whether a mark's fence, if it has one, is not outdated; outdated probe results are ignored."""
        slot = entry.fields.get("slot")
        if slot is None:
            return True
        fence = self._by_kind[FENCE].get(str(slot))
        return fence is None or int(entry.fields["fence"]) >= int(fence.fields["fence"])

    def _notify_waiters(self) -> None:
        async def notify() -> None:
            async with self.changed:
                self.changed.notify_all()

        # The event loop keeps only weak references to tasks: without this one, a task may be
        # garbage-collected before it runs.
        task = asyncio.get_running_loop().create_task(notify())
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    def since(self, seq: int) -> list[Entry]:
        """Returns the unexpired entries applied after a position, oldest first."""
        fresh: list[Entry] = []
        now = self._clock.now()
        for entry in reversed(self._ordered_entries.values()):
            if entry.seq <= seq:
                break
            if entry.expiry > now:
                fresh.append(entry)
        fresh.reverse()
        return fresh

    def entries_since(
        self, seq: int, own_only: bool = False, excluding: typing.Container[str] = ()
    ) -> list[Wire]:
        """Returns the unexpired entries applied after a position, as they are sent to other members.

        `own_only` leaves out entries written by others, `excluding` names kinds to leave out.
        """
        now = self._clock.now()
        return [
            entry.to_wire(now)
            for entry in self.since(seq)
            if (not own_only or entry.stamp[1] == self.name) and entry.kind not in excluding
        ]

    def remove_expired(self) -> None:
        """Removes entries that expired so long ago that no copy of them can still arrive."""
        now = self._clock.now()
        linger_s = self.forget_s * LINGER_SHARE
        for kind_and_key, entry in list(self._ordered_entries.items()):
            if entry.expiry + linger_s <= now:
                del self._ordered_entries[kind_and_key]
                if self._by_kind[entry.kind].pop(entry.key, None) is not None and entry.kind == ENDPOINT:
                    self._remove_address(entry)


def _is_urgent(old: Entry | None, entry: Entry) -> bool:
    """Whether a change has to be sent at once rather than with the next batch."""
    if entry.kind == PROXY:
        return False
    if old is None:
        return True
    if entry.kind == ENDPOINT:
        return any(old.fields.get(k) != entry.fields.get(k) for k in ("state", "service", "address", "zone"))
    if entry.kind == CORE:
        return old.fields != entry.fields
    return True


def down_key(endpoint: str) -> str:
    """Returns the key of an endpoint's mark."""
    return f"down:{endpoint}"


class Marks:
    """The marks on the timeline: shared, expiring entries that an endpoint is down, with a reason."""

    def __init__(self, timeline: Timeline, mark_s: float) -> None:
        self._timeline = timeline
        self._clock = timeline.clock
        self._mark_s = mark_s

    def mark_of(self, endpoint: str) -> Entry | None:
        """Returns the current mark against an endpoint, or None."""
        entry = self._timeline.get(MARK, down_key(endpoint))
        if entry is None or entry.fields.get("clear"):
            return None
        return entry

    def set_down(
        self, endpoint: str, reason: str, by: str, fence_fields: Fields | None = None
    ) -> Entry | None:
        """Marks an endpoint as down for the lifetime of a mark.

        `fence_fields` are the slot and fence of the prober, if the mark comes from a probe.
        """
        current = self.mark_of(endpoint)
        # A mark in the first half of its lifetime is not renewed. Otherwise every failure of a
        # service that is down would send an update to the whole fleet.
        if current is not None and current.expiry - self._clock.now() > self._mark_s / 2:
            return None
        fields: Fields = {"reason": reason, "by": by, "clear": False, **(fence_fields or {})}
        return self._timeline.write(MARK, down_key(endpoint), fields, self._mark_s)

    def clear(self, endpoint: str, by: str, fence_fields: Fields | None = None) -> Entry | None:
        """Clears an endpoint's mark with a later entry, which lives longer than the mark it clears."""
        fields: Fields = {"reason": "sound on probe", "by": by, "clear": True, **(fence_fields or {})}
        return self._timeline.write(MARK, down_key(endpoint), fields, self._mark_s * 2)
