"""The shared timeline: entries that merge the same way in whatever order they come.

An entry is ordered by its stamp, a counter and the id of the member that wrote it.
Remaining time travels with an entry, never wall time, since clocks jump.
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
# For which part of the longest life an entry that ended is kept in mind.
LINGER_SHARE: typing.Final = 1 / 30
FINAL_STATES: typing.Final = (LEFT, DISPLACED)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One fact with its order and the moment it ends by our own clock."""

    kind: str
    key: str
    stamp: Stamp
    fields: Fields
    expiry: float
    seq: int = 0

    def to_wire(self, now: float) -> Wire:
        return [self.kind, self.key, self.stamp[0], self.stamp[1], self.fields, max(0.0, self.expiry - now)]


def _rank(entry: Entry) -> tuple[typing.Any, ...]:
    """What decides between two entries of one key."""
    if entry.kind == ENDPOINT:
        # Having left outranks any beat, however late the beat was written; and what is only
        # remembered gives way to whatever was heard.
        return (entry.fields["state"] in FINAL_STATES, "remembered" not in entry.fields, entry.stamp)
    if entry.kind == FENCE:
        return (int(entry.fields["fence"]), entry.stamp)
    if entry.kind == DOCUMENT:
        return (int(entry.fields["version"]), entry.stamp)
    return (entry.stamp,)


def slot_of(endpoint: str, slots: int) -> int:
    """The slot of the probe duties that an endpoint's key falls into."""
    return zlib.crc32(endpoint.encode()) % slots


class Timeline:
    """All entries one member knows, and who waits for news of them."""

    def __init__(self, name: str, clock: ports.Clock, forget_s: float) -> None:
        self.name = name
        self._clock = self.clock = clock
        self.forget_s = forget_s
        self._book: collections.OrderedDict[tuple[str, str], Entry] = collections.OrderedDict()
        self._by_kind: dict[str, dict[str, Entry]] = {kind: {} for kind in KINDS}
        # Endpoints by address: to look through all of them at each beat grew with their square.
        self._at: dict[str, set[str]] = {}
        self._count = 0
        self.seq = 0
        self.last_urgent_seq = 0
        # The newest urgent entry that is no mark: what must reach every proxy by two ways.
        self.last_urgent_seq_except_marks = 0
        self.changed = asyncio.Condition()
        self._tells: set[asyncio.Task[None]] = set()
        self._wakers: list[typing.Callable[[Entry], None]] = []

    def on_change(self, call: typing.Callable[[Entry], None]) -> None:
        """Have a function told of each entry that is taken up."""
        self._wakers.append(call)

    def get(self, kind: str, key: str) -> Entry | None:
        """An entry that has not ended."""
        entry = self._by_kind[kind].get(key)
        if entry is None or entry.expiry <= self._clock.now():
            return None
        return entry

    def all(self, kind: str) -> list[Entry]:
        """Every entry of a kind that has not ended."""
        now = self._clock.now()
        return [entry for entry in self._by_kind[kind].values() if entry.expiry > now]

    def count(self, kind: str) -> int:
        """How many entries of a kind are kept, those that ended lately among them."""
        return len(self._by_kind[kind])

    def stamp(self) -> Stamp:
        """A stamp later than all we have seen."""
        self._count += 1
        return (self._count, self.name)

    def write(self, kind: str, key: str, fields: Fields, span: float, urgent: bool = True) -> Entry | None:
        """Write an entry of our own; nothing if a standing one outranks it."""
        entry = Entry(kind, key, self.stamp(), fields, self._clock.now() + span)
        return self._take(entry, urgent)

    def merge(self, raw: typing.Iterable[Wire]) -> int:
        """Take up what another member sent; returns how much of it was news."""
        now = self._clock.now()
        taken = 0
        for wire in raw:
            # Most of what comes is what we have: it costs no more than a look.
            if self._have(wire):
                continue
            # What one member got wrong must not bring down all that hear of it.
            if not entries.sound(wire):
                continue
            kind, key, count, name, fields, left = wire
            self._count = max(self._count, count)
            span = min(float(left), self.forget_s)
            entry = Entry(kind, key, (count, name), fields, now + span)
            if span > 0 and self._take(entry, None) is not None:
                taken += 1
        return taken

    def _have(self, wire: Wire) -> bool:
        """Whether an entry off the wire is the very one we hold."""
        if not isinstance(wire, (list, tuple)) or len(wire) != 6:
            return False
        kind, key = wire[0], wire[1]
        if not isinstance(kind, str) or not isinstance(key, str):
            return False
        old = self._by_kind.get(kind, {}).get(key)
        return old is not None and old.stamp == (wire[2], wire[3])

    def _take(self, entry: Entry, urgent: bool | None) -> Entry | None:
        old = self._by_kind[entry.kind].get(entry.key)
        # An entry that ran out still outranks its own copies: one of them with a moment
        # left would else revive it, and members would hand it round for ever.
        if old is not None and _rank(entry) <= _rank(old):
            return None
        if entry.kind == MARK and not self._fence_holds(entry):
            return None
        if urgent is None:
            urgent = _is_urgent(old, entry)
        self.seq += 1
        entry = dataclasses.replace(entry, seq=self.seq)
        self._by_kind[entry.kind][entry.key] = entry
        if entry.kind == ENDPOINT:
            if old is not None and old.fields["address"] != entry.fields["address"]:
                self._left(old)
            self._at.setdefault(entry.fields["address"], set()).add(entry.key)
        self._book[(entry.kind, entry.key)] = entry
        self._book.move_to_end((entry.kind, entry.key))
        if urgent:
            self.last_urgent_seq = self.seq
            if entry.kind != MARK:
                self.last_urgent_seq_except_marks = self.seq
            self._wake()
        for call in self._wakers:
            call(entry)
        if entry.kind == ENDPOINT and entry.fields["state"] in (UP, LAPSED):
            self._displace(entry)
        return entry

    def _displace(self, fresh: Entry) -> None:
        """Two ids on one address: the one born later has it, the other is gone."""
        for key in sorted(self._at[fresh.fields["address"]]):
            other = self._by_kind[ENDPOINT][key]
            if key == fresh.key:
                continue
            if other.fields["state"] in FINAL_STATES or other.expiry <= self._clock.now():
                continue
            newer = tuple(fresh.fields["born"]) > tuple(other.fields["born"])
            loser = other if newer else fresh
            self.write(ENDPOINT, loser.key, {**loser.fields, "state": DISPLACED}, self.forget_s)

    def _left(self, entry: Entry) -> None:
        """An endpoint is no longer at the address of this entry."""
        keys = self._at[entry.fields["address"]]
        keys.discard(entry.key)
        if not keys:
            del self._at[entry.fields["address"]]

    def _fence_holds(self, entry: Entry) -> bool:
        """A probe result under an older fence than we know of is ignored."""
        slot = entry.fields.get("slot")
        if slot is None:
            return True
        fence = self._by_kind[FENCE].get(str(slot))
        return fence is None or int(entry.fields["fence"]) >= int(fence.fields["fence"])

    def _wake(self) -> None:
        async def tell() -> None:
            async with self.changed:
                self.changed.notify_all()

        # The loop holds tasks only weakly: one that is let go of may never run.
        task = asyncio.get_running_loop().create_task(tell())
        self._tells.add(task)
        task.add_done_callback(self._tells.discard)

    def since(self, seq: int) -> list[Entry]:
        """What was taken up after a point, oldest first."""
        fresh: list[Entry] = []
        now = self._clock.now()
        for entry in reversed(self._book.values()):
            if entry.seq <= seq:
                break
            if entry.expiry > now:
                fresh.append(entry)
        fresh.reverse()
        return fresh

    def entries_since(
        self, seq: int, own_only: bool = False, excluding: typing.Container[str] = ()
    ) -> list[Wire]:
        """What was taken up after a point, for the wire.

        `own_only` leaves out what others wrote, `excluding` names kinds that are left out.
        """
        now = self._clock.now()
        return [
            entry.to_wire(now)
            for entry in self.since(seq)
            if (not own_only or entry.stamp[1] == self.name) and entry.kind not in excluding
        ]

    def remove_expired(self) -> None:
        """Drop entries that ended so long ago that no copy of them can be on its way."""
        now = self._clock.now()
        linger = self.forget_s * LINGER_SHARE
        for address, entry in list(self._book.items()):
            if entry.expiry + linger <= now:
                del self._book[address]
                if self._by_kind[entry.kind].pop(entry.key, None) is not None and entry.kind == ENDPOINT:
                    self._left(entry)


def _is_urgent(old: Entry | None, entry: Entry) -> bool:
    """Whether others must hear of a change at once rather than with the next batch."""
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
    """The source's key of an endpoint's mark."""
    return f"down:{endpoint}"


class Marks:
    """The shared list of expiring, reasoned marks on the timeline."""

    def __init__(self, timeline: Timeline, mark_s: float) -> None:
        self._timeline = timeline
        self._clock = timeline.clock
        self._mark_s = mark_s

    def mark_of(self, endpoint: str) -> Entry | None:
        """The mark that stands against an endpoint, if one does."""
        entry = self._timeline.get(MARK, down_key(endpoint))
        if entry is None or entry.fields.get("clear"):
            return None
        return entry

    def set_down(self, endpoint: str, reason: str, by: str, duty: Fields | None = None) -> Entry | None:
        """Mark an endpoint down for a mark's life."""
        standing = self.mark_of(endpoint)
        # A mark in its first half says all there is to say: each failure of a service
        # that is down would else be news to the whole fleet.
        if standing is not None and standing.expiry - self._clock.now() > self._mark_s / 2:
            return None
        fields: Fields = {"reason": reason, "by": by, "clear": False, **(duty or {})}
        return self._timeline.write(MARK, down_key(endpoint), fields, self._mark_s)

    def clear(self, endpoint: str, by: str, duty: Fields | None = None) -> Entry | None:
        """A later entry that says the endpoint is open; it outlives what it ends."""
        fields: Fields = {"reason": "sound on probe", "by": by, "clear": True, **(duty or {})}
        return self._timeline.write(MARK, down_key(endpoint), fields, self._mark_s * 2)
