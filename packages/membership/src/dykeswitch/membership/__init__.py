"""Membership by gossip: partial views of the fleet, shuffled between neighbours.

Timeline entries spread between the same neighbours: urgent ones at once, all others with each
shuffle. Cores (the registries) are known to all members by their own timeline entries. A proxy polls
a majority of the cores. Any two majorities overlap, so at least one polled core took part in every
majority decision.
"""

import asyncio
import collections
import dataclasses
import functools
import math
import random
import typing
import zlib

import dykeswitch.frames as frames
import dykeswitch.membership.replies as replies
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.timeline as timelines

# Several durations below are given in holds: a hold is the longest time that a core keeps a poll open.

MAX_VIEW_SIZE: typing.Final = 8
SAMPLE_SIZE: typing.Final = 4
MAX_AGE: typing.Final = 12
# For how many holds the wall time that a member reported is used.
WALL_TIME_HOLDS: typing.Final = 5
# Limit of each table of members heard from: addresses, wall times and contact times.
MAX_TABLE_SIZE: typing.Final = 256
# Every RECONNECT_TURNS turns, the address of a member that is out of contact is tried again.
RECONNECT_TURNS: typing.Final = 2
# A core that has been silent for this many holds is considered dead.
ALIVE_HOLDS: typing.Final = 3
# While cores answer, entries arrive by polls, and shuffles happen less often by this factor.
SHUFFLE_SLOWDOWN: typing.Final = 4
# For which share of a hold a core may keep the poll of a proxy open. The first core's poll is answered
# sooner than those of the others, so that a proxy hears from some core well within a hold.
FIRST_POLL_HOLD_SHARE: typing.Final = 0.7
OTHER_POLL_HOLD_SHARE: typing.Final = 0.9
# For which share of a hold updates are collected into a batch before the next poll or push.
FIRST_POLL_BATCH_SHARE: typing.Final = 0.1
OTHER_POLL_BATCH_SHARE: typing.Final = 0.2
PUSH_BATCH_SHARE: typing.Final = 0.02
# For how many holds a core whose poll failed is passed over while other cores can be polled.
PASSED_OVER_HOLDS: typing.Final = 10


@dataclasses.dataclass(slots=True)
class Member:
    """A neighbour in the partial view."""

    name: str
    kind: str
    address: ports.Address
    age: int = 0

    def to_wire(self) -> list[typing.Any]:
        """Returns the member as it is sent in a view."""
        return [self.name, self.kind, self.address, self.age]


@dataclasses.dataclass(slots=True)
class Cursor:
    """How far this member and one peer know each other's timelines.

    `received_seq` is the position in the peer's timeline up to which we have its entries, `sent_seq`
    the position in our timeline up to which the peer has ours. `boot_id` names the peer's process.
    """

    boot_id: str = ""
    received_seq: int = 0
    sent_seq: int = 0


@dataclasses.dataclass(slots=True)
class PollCursor(Cursor):
    """How far a proxy and a core that it polls know each other's timelines.

    `marks_seq` is the position up to which the core's marks were received; only the first core sends
    marks.
    """

    marks_seq: int = 0


class Gossip:
    """One member's part in the gossip: shuffles views, and exchanges timeline entries with others."""

    def __init__(
        self,
        me: Member,
        timeline: timelines.Timeline,
        machine: ports.Machine,
        call_client: frames.CallClient,
        rng: random.Random,
        shuffle_s: float,
        call_timeout_s: float,
        hold_s: float,
        seeds: typing.Sequence[str],
        note: typing.Callable[[str, str], None],
        zone: str = "",
    ) -> None:
        self.me = me
        self._zone = zone
        self.boot_id = f"{rng.getrandbits(48):012x}"
        self.timeline = timeline
        self._clock = machine.clock
        self._call_client = call_client
        self._rng = rng
        self._shuffle_s = shuffle_s
        self._call_timeout_s = call_timeout_s
        self._hold_s = hold_s
        self._seeds = _seeds_of(seeds, me.address)
        self._note = note
        self.view: dict[str, Member] = {}
        self._cursors: dict[str, Cursor] = {}
        # How far each member's wall clock is ahead of ours, and when it was reported, by its name.
        self._wall_offsets: dict[str, tuple[float, float]] = {}
        self.last_heard_at = -1e9
        # When each member was last heard from, by its name.
        self._last_heard: dict[str, float] = {}
        self._tasks: dict[tuple[str, ports.Address], asyncio.Task[None]] = {}
        # The addresses of the cores that this proxy polls, the first core first, and a cursor for each.
        self._polled: list[ports.Address] = []
        self._poll_cursors: dict[str, PollCursor] = {}
        # When a core last failed to answer a poll, or answered without a majority, by its address.
        self._failed_at: dict[str, float] = {}
        self._reselect = asyncio.Event()
        # Whether this registry reaches a majority. Poll replies report it, so that proxies pass over a
        # registry that is cut off.
        self.has_quorum: typing.Callable[[], bool] = lambda: True
        # Addresses of members, including those that fell silent, with the time of the last report.
        self._known_addresses: collections.OrderedDict[ports.Address, float] = collections.OrderedDict()
        self._reconnect_task: asyncio.Task[bool] | None = None
        self._seed_task: asyncio.Task[bool] | None = None

    def set_seeds(self, seeds: typing.Sequence[str]) -> None:
        """Replaces the seeds: the members that are contacted to join the fleet."""
        self._seeds = _seeds_of(seeds, self.me.address)

    def kinds(self) -> dict[str, frames.Handler]:
        """Returns the handlers of the calls that this member answers, by kind."""
        return {"shuffle": self._on_shuffle, "tell": self._on_tell, "poll": self._on_poll}

    # Calls from other members.

    def call_header(self) -> frames.Body:
        """Returns the fields that start each gossip call: the sender, its position and its wall time."""
        wall = self._clock.wall()
        return {"name": self.me.name, "boot": self.boot_id, "seq": self.timeline.seq, "wall": wall}

    def _record_contact(self, body: frames.Body) -> None:
        now = self._clock.now()
        self.last_heard_at = now
        # A call takes milliseconds, so the wall time in it is accurate to milliseconds.
        wall, name = body.get("wall"), body.get("name")
        if isinstance(wall, float) and math.isfinite(wall) and isinstance(name, str) and len(name) <= 128:
            self._wall_offsets[name] = (wall - self._clock.wall(), now)
            self._last_heard[name] = now
            if len(self._wall_offsets) > MAX_TABLE_SIZE:
                del self._wall_offsets[next(iter(self._wall_offsets))]
            if len(self._last_heard) > MAX_TABLE_SIZE:
                del self._last_heard[min(self._last_heard, key=lambda member: self._last_heard[member])]

    def wall(self) -> float:
        """Returns the fleet's common wall time: the median, so that one clock that jumps has no effect."""
        now = self._clock.now()
        recent = [
            offset
            for offset, heard_at in self._wall_offsets.values()
            if now - heard_at < self._hold_s * WALL_TIME_HOLDS
        ]
        return self._clock.wall() + _median([0.0, *recent])

    async def _on_shuffle(self, body: frames.Body) -> frames.Result:
        self._record_contact(body)
        sample = self._sample(str(body["name"]))
        self._merge_view(body["view"])
        self.timeline.merge(body["items"])
        # A caller that hears no core, or none any longer, gets the entries in any case.
        shares_entries = self._shares_entries() or bool(body.get("alone", True))
        items = self._entries_for_caller(body) if shares_entries else self._unknown_cores(body)
        return outcome.Success({**self.call_header(), "view": sample, "items": items, "told": shares_entries})

    def _unknown_cores(self, body: frames.Body) -> list[timelines.Wire]:
        """Returns the entries of the cores that the caller did not name.

        Cores that were cut off for longer than the lifetime of their entries have forgotten the other
        cores, but still hear each other. Only this joins the two groups again.
        """
        named = body.get("cores")
        if not isinstance(named, (list, tuple)):
            return []
        now = self._clock.now()
        entries = self.timeline.all(timelines.CORE)
        return [entry.to_wire(now) for entry in entries if entry.key not in named]

    async def _on_tell(self, body: frames.Body) -> frames.Result:
        self._record_contact(body)
        self.timeline.merge(body["items"])
        return outcome.Success(self.call_header())

    async def _on_poll(self, body: frames.Body) -> frames.Result:
        self._record_contact(body)
        self.timeline.merge(body["items"])
        boot_id = body["cursor"][0]
        seq = self.known_position(body)
        # A proxy gets marks from one core only. All other entries come from every core that it polls,
        # because they have to reach it in any case.
        marks = bool(body.get("marks", True))
        if boot_id == self.boot_id and self._newest_urgent_seq(marks) <= seq:
            # Nothing new: keep the poll open until there is, or until the hold is over.
            async with self.timeline.changed:
                await ports.wait_for(
                    self.timeline.changed,
                    lambda: self._newest_urgent_seq(marks) > seq,
                    # With the arguments in this order, NaN from the caller yields our own hold time.
                    min(self._hold_s, float(body["hold"])),
                )
        header = self.call_header()
        # Entries that proxies write about themselves are for the cores; other proxies don't need them.
        items = self.entries_for_proxy(seq, marks)
        return outcome.Success({**header, "items": items, "backed": self.has_quorum()})

    def known_position(self, body: frames.Body) -> int:
        """Returns the position up to which the caller knows our timeline, by the cursor that it sent."""
        boot_id, seq = body["cursor"]
        return int(seq) if boot_id == self.boot_id else 0

    def entries_for_proxy(self, seq: int, marks: bool) -> list[timelines.Wire]:
        """Returns the entries after a position that a proxy needs: all but those about other proxies."""
        excluding = (timelines.PROXY,) if marks else (timelines.PROXY, timelines.MARK)
        return self.timeline.entries_since(seq, excluding=excluding)

    def _newest_urgent_seq(self, marks: bool) -> int:
        """Returns the position of the newest urgent entry, with or without marks."""
        return self.timeline.last_urgent_seq if marks else self.timeline.last_urgent_seq_except_marks

    def _shares_entries(self) -> bool:
        """Whether shuffles carry entries: not while a core is heard, since cores then distribute them."""
        return not self._live_cores()

    def _entries_for_caller(self, body: frames.Body) -> list[timelines.Wire]:
        return self.timeline.entries_since(self.known_position(body), excluding=(timelines.PROXY,))

    # The view.

    def _sample(self, excluding: str) -> list[list[typing.Any]]:
        others = [member for member in self.view.values() if member.name != excluding]
        picked = self._rng.sample(others, min(SAMPLE_SIZE - 1, len(others)))
        return [[self.me.name, self.me.kind, self.me.address, 0], *(member.to_wire() for member in picked)]

    def _merge_view(self, raw: typing.Iterable[typing.Any]) -> None:
        for record in raw:
            if not _is_member_record(record):
                continue
            name, kind, address, age = record
            if name == self.me.name or address == self.me.address:
                continue
            if not int(age):
                self._record_address(ports.address_of(address))
            old = self.view.get(name)
            # The record with the lower age wins: it comes from a more recent contact with the member.
            if old is None or int(age) < old.age or old.address != address and int(age) <= old.age:
                self.view[str(name)] = Member(str(name), str(kind), ports.address_of(address), int(age))
        for member in list(self.view.values()):
            if member.age > MAX_AGE:
                del self.view[member.name]
        while len(self.view) > MAX_VIEW_SIZE:
            oldest = max(self.view.values(), key=lambda neighbour: (neighbour.age, neighbour.name))
            del self.view[oldest.name]

    def _record_address(self, address: ports.Address) -> None:
        self._known_addresses[address] = self._clock.now()
        self._known_addresses.move_to_end(address)
        if len(self._known_addresses) > MAX_TABLE_SIZE:
            self._known_addresses.popitem(last=False)

    def _lost_address(self) -> ports.Address | None:
        """Returns a random address where a member was recently and that no neighbour or live core has."""
        oldest_at = self._clock.now() - self.timeline.forget_s
        in_use = {member.address for member in self.view.values()} | set(self.cores().values())
        addresses = [
            address
            for address, noted_at in self._known_addresses.items()
            if noted_at > oldest_at and address not in in_use
        ]
        return self._rng.choice(addresses) if addresses else None

    def known_cores(self) -> dict[str, ports.Address]:
        """Returns the addresses of all other registries with a current timeline entry, by name."""
        return {e.key: _address_of(e) for e in self.timeline.all(timelines.CORE) if e.key != self.me.name}

    def cores(self) -> dict[str, ports.Address]:
        """Returns the addresses of the registries that are considered alive, by name.

        A proxy hears nothing from a core that it does not poll; such a core counts as alive unless a
        poll of it failed recently.
        """
        heard = self._live_cores()
        if self.me.kind != "proxy":
            return heard
        known = self.known_cores()
        return {
            name: address
            for name, address in known.items()
            if name in heard or address not in self._polled and not self._is_passed_over(address)
        }

    def nearest_cores(self) -> list[ports.Address]:
        """Returns the addresses of the live cores, in the order of preference for calls."""
        alive = set(self.cores().values())
        return [address for address in self._ranked_cores() if address in alive]

    def _is_passed_over(self, address: str) -> bool:
        """Whether this core recently failed to answer a poll, or answered without a majority."""
        elapsed_s = self._clock.now() - self._failed_at.get(address, -math.inf)
        return elapsed_s < self._hold_s * PASSED_OVER_HOLDS

    def polled(self) -> list[ports.Address]:
        """Returns the addresses of the polled cores; only the first one sends marks."""
        return list(self._polled)

    def position(self, address: str) -> list[typing.Any]:
        """Returns how far we know a core's timeline, except for marks: its boot id and a position."""
        cursor = self._poll_cursors.get(address) or PollCursor()
        return [cursor.boot_id, cursor.received_seq]

    def _pass_over(self, address: str) -> None:
        """Records that a poll failed or found no majority; a core that answers is polled instead, if any."""
        passed_over_before = self._is_passed_over(address)
        self._failed_at[address] = self._clock.now()
        if not passed_over_before:
            self._reselect.set()

    def _ranked_cores(self) -> list[ports.Address]:
        """Returns the addresses of all known cores: those that answer first, then those in our own zone."""

        def rank(entry: timelines.Entry) -> tuple[bool, bool, int]:
            # Ties are broken by a hash, which spreads the proxies of one zone over equal cores and gives
            # each proxy the same core every time.
            tie_break = zlib.crc32(f"{self.me.name}/{entry.key}".encode())
            return (
                self._is_passed_over(str(entry.fields["spot"])),
                entry.fields["zone"] != self._zone,
                tie_break,
            )

        entries = [core for core in self.timeline.all(timelines.CORE) if core.key != self.me.name]
        return [_address_of(entry) for entry in sorted(entries, key=rank)]

    def _live_cores(self) -> dict[str, ports.Address]:
        """Returns the registries heard from recently; one that is new to us counts as heard just now."""
        heard_after = self._clock.now() - self._hold_s * ALIVE_HOLDS
        known = self.known_cores()
        for name in known:
            self._last_heard.setdefault(name, self._clock.now())
        return {name: address for name, address in known.items() if self._last_heard[name] > heard_after}

    # Background tasks.

    async def run(self) -> None:
        """Shuffles views forever, and keeps one task for each member that is pushed to or polled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._reselect_on_failure(group))
            turn = 0
            while True:
                await self._shuffle(turn, group)
                self._reconcile_tasks(group)
                if turn % RECONNECT_TURNS == 0 and (
                    self._reconnect_task is None or self._reconnect_task.done()
                ):
                    # A member that comes back may know only seeds that no longer exist, and so can't
                    # find us. We therefore try the addresses where members were before.
                    address = self._lost_address()
                    if address is not None:
                        self._reconnect_task = group.create_task(self._exchange(address, ""))
                self.timeline.remove_expired()
                turn += 1
                # The first shuffles follow quickly, so that a new member becomes known soon.
                interval_s = self._shuffle_s * (
                    0.2 if turn < 5 else SHUFFLE_SLOWDOWN if self._live_cores() else 1.0
                )
                await self._clock.sleep(interval_s * (0.75 + self._rng.random() / 2))

    async def _shuffle(self, turn: int, group: asyncio.TaskGroup) -> None:
        for member in self.view.values():
            member.age += 1
        known = list(self.view.values())
        seeds = [seed for seed in self._seeds if seed not in {neighbour.address for neighbour in known}]
        # Partitions that forgot each other are joined again through seeds, so one is called regularly.
        if seeds and (len(known) < 2 or turn % 4 == 0):
            if not known:
                await asyncio.gather(*(self._exchange(address, "") for address in seeds))
                return
            # All seeds may be down, and shuffles with the neighbours must not wait for that.
            if self._seed_task is None or self._seed_task.done():
                self._seed_task = group.create_task(self._exchange(self._rng.choice(seeds), ""))
        if not known:
            return
        oldest = max(known, key=lambda neighbour: (neighbour.age, neighbour.name))
        if not await self._exchange(oldest.address, oldest.name):
            self.view.pop(oldest.name, None)

    async def _exchange(self, address: ports.Address, name: str) -> bool:
        cursor = self._cursors.get(address) or Cursor()
        seq = self.timeline.seq
        shares_entries = self._shares_entries()
        body = {
            **self.call_header(),
            "view": self._sample(name),
            "items": self.timeline.entries_since(cursor.sent_seq, excluding=(timelines.PROXY,))
            if shares_entries
            else [],
            "cursor": [cursor.boot_id, cursor.received_seq],
            "alone": shares_entries,
            "cores": sorted({*self.known_cores(), self.me.name}),
        }
        # The call takes no longer than until the next turn. Otherwise one dead neighbour would keep us
        # from the others for so long that we seemed cut off.
        result = await self._call_client.call(
            address, "shuffle", body, min(self._call_timeout_s, self._shuffle_s)
        )
        if isinstance(result, outcome.Failure):
            # Without a cursor, the next shuffle sends all that the peer missed.
            self._cursors.pop(address, None)
            return False
        reply = result.value
        new_cursor = self._apply_reply(reply, cursor, seq, address)
        if new_cursor is None:
            self._cursors.pop(address, None)
            return False
        # Entries that were not exchanged now are exchanged once no core is heard.
        if not shares_entries:
            new_cursor.sent_seq = cursor.sent_seq
        if not reply.get("told", True):
            new_cursor.boot_id, new_cursor.received_seq = cursor.boot_id, cursor.received_seq
        self._cursors[address] = new_cursor
        if name and reply.get("name") != name:
            self.view.pop(name, None)
        return True

    def _apply_reply(self, reply: frames.Body, cursor: Cursor, seq: int, address: str) -> Cursor | None:
        """Applies a reply; returns None for a malformed one, such as from another release."""
        try:
            parsed = replies.read(reply)
        except ValueError as error:
            self._note("reply refused", f"{address}: {error}")
            return None
        self._record_contact(reply)
        self._merge_view(parsed.view)
        self.timeline.merge(parsed.items)
        # A member that restarted has lost the entries that it was sent.
        return Cursor(parsed.boot_id, parsed.seq, seq if parsed.boot_id == cursor.boot_id else 0)

    async def _reselect_on_failure(self, group: asyncio.TaskGroup) -> None:
        """Starts to poll another core as soon as a poll failed."""
        while True:
            await self._reselect.wait()
            self._reselect.clear()
            self._reconcile_tasks(group)

    def _push_targets(self) -> list[ports.Address]:
        """Returns the addresses that urgent entries are pushed to."""
        known = list(self.known_cores().values())
        if not self._live_cores():
            # Neighbours push to each other only while no core is heard.
            return [*known, *(member.address for member in self.view.values())]
        # Cores push to each other, and proxies get entries by polling them. A proxy pushes to one
        # core; the other cores that it polls get its entries with its next poll.
        return known if self.me.kind == "registry" else self._polled[:1]

    def _reconcile_tasks(self, group: asyncio.TaskGroup) -> None:
        if self.me.kind == "proxy":
            ranked = self._ranked_cores()
            # A majority of all known cores has a core in common with every other majority, so at least
            # one polled core knows each majority decision.
            self._polled = ranked[: len(ranked) // 2 + 1]
            self._poll_cursors = {a: cursor for a, cursor in self._poll_cursors.items() if a in ranked}
            self._failed_at = {a: failed_at for a, failed_at in self._failed_at.items() if a in ranked}
        targets = self._push_targets()
        wanted: dict[tuple[str, ports.Address], typing.Callable[[ports.Address], typing.Awaitable[None]]] = {}
        for address in targets:
            if address != self.me.address:
                wanted[("push", address)] = self._push
        if self.me.kind == "proxy":
            for address in self._polled:
                wanted[("pull", address)] = self._pull
        for key, task in list(self._tasks.items()):
            if key not in wanted:
                task.cancel()
                del self._tasks[key]
        for key, loop in wanted.items():
            if key not in self._tasks or self._tasks[key].done():
                self._tasks[key] = group.create_task(_coroutine(loop(key[1])))

    def _has_urgent_since(self, since: int) -> bool:
        return self.timeline.last_urgent_seq > since

    async def _push(self, address: ports.Address) -> None:
        """Pushes urgent entries to one member as they come."""
        is_core = self.me.kind == "registry"
        # Cores first push their whole timeline: the other core is new to us, or had been forgotten.
        shuffled_before = address in self._cursors and not is_core
        sent_seq = self.timeline.seq if shuffled_before else 0
        while True:
            async with self.timeline.changed:
                # Cores push even without updates, which shows the others that they are alive; a proxy
                # pushes only updates.
                timeout_s = self._hold_s if is_core else math.inf
                await ports.wait_for(
                    self.timeline.changed, functools.partial(self._has_urgent_since, sent_seq), timeout_s
                )
            last_seq = self.timeline.seq
            # Entries that a proxy received from others reach the cores directly from their writers.
            own_only = not is_core and bool(self._live_cores())
            due = is_core or self.timeline.last_urgent_seq > sent_seq
            excluding = (timelines.PROXY,) if is_core else ()
            items = self.timeline.entries_since(sent_seq, own_only, excluding) if due else []
            if not is_core and not items:
                sent_seq = last_seq
                continue
            result = await self._call_client.call(
                address, "tell", {**self.call_header(), "items": items}, self._call_timeout_s
            )
            if isinstance(result, outcome.Failure):
                # Once the member is back, shuffles and polls deliver what it missed.
                await self._clock.sleep(self._shuffle_s)
                continue
            self._record_contact(result.value)
            if items:
                sent_seq = last_seq
                # Entries that come right after this push are collected into the next one.
                await self._clock.sleep(self._hold_s * PUSH_BATCH_SHARE)

    async def _pull(self, address: ports.Address) -> None:
        """Polls one core in a loop; each poll carries our own new entries and is answered on updates."""
        while True:
            # The first core sends all entries, the others all but marks.
            first = address == self._polled[0]
            received_count = await self._poll(address, first)
            if received_count is None:
                await self._clock.sleep(self._shuffle_s)
            elif received_count:
                # With this pause, a burst of updates is sent in a few replies.
                await self._clock.sleep(
                    self._hold_s * (FIRST_POLL_BATCH_SHARE if first else OTHER_POLL_BATCH_SHARE)
                )

    async def _poll(self, address: ports.Address, first: bool) -> int | None:
        """Polls a core once; returns the number of entries in the reply, or None without a valid reply."""
        cursor = self._poll_cursors.get(address) or PollCursor()
        seq = self.timeline.seq
        hold_s = self._hold_s * (FIRST_POLL_HOLD_SHARE if first else OTHER_POLL_HOLD_SHARE)
        body = {
            **self.call_header(),
            # A core that restarted is sent all entries; otherwise each proxy sends only its own.
            "items": self.timeline.entries_since(cursor.sent_seq, own_only=cursor.sent_seq > 0),
            "cursor": [
                cursor.boot_id,
                min(cursor.marks_seq, cursor.received_seq) if first else cursor.received_seq,
            ],
            "hold": hold_s,
            "marks": first,
        }
        result = await self._call_client.call(address, "poll", body, hold_s + self._call_timeout_s)
        if isinstance(result, outcome.Failure):
            self._pass_over(address)
            return None
        new_cursor = self._apply_reply(result.value, cursor, seq, address)
        if new_cursor is None:
            self._poll_cursors.pop(address, None)
            return None
        if result.value.get("backed", True):
            self._failed_at.pop(address, None)
        else:
            # The core is cut off from the other cores and gets no updates.
            self._pass_over(address)
        known_marks_seq = cursor.marks_seq if new_cursor.boot_id == cursor.boot_id else 0
        marks_seq = new_cursor.received_seq if first else known_marks_seq
        self._poll_cursors[address] = PollCursor(
            new_cursor.boot_id, new_cursor.received_seq, new_cursor.sent_seq, marks_seq
        )
        return len(result.value["items"])


def _seeds_of(seeds: typing.Sequence[str], own_address: ports.Address) -> list[ports.Address]:
    """Returns the addresses of the seeds, without our own."""
    return [ports.address_of(seed) for seed in seeds if seed != own_address]


def _address_of(core: timelines.Entry) -> ports.Address:
    """Returns the address of a core; its entry was validated before it was applied."""
    return ports.address_of(core.fields["spot"])


def _median(values: list[float]) -> float:
    """Returns the median; `statistics` would import `fractions` and `decimal` at every start."""
    ranked, half = sorted(values), len(values) // 2
    return ranked[half] if len(ranked) % 2 else (ranked[half - 1] + ranked[half]) / 2


def _is_member_record(raw: object) -> bool:
    """Whether a received member record is well-formed."""
    if not isinstance(raw, (list, tuple)) or len(raw) != 4:
        return False
    name, kind, address, age = raw
    if not isinstance(name, str) or not 0 < len(name) <= 128 or kind not in ("proxy", "registry"):
        return False
    age_valid = isinstance(age, int) and not isinstance(age, bool) and 0 <= age <= MAX_AGE * 2
    return age_valid and isinstance(address, str) and ports.address_fault(address) is None


async def _coroutine(awaitable: typing.Awaitable[None]) -> None:
    await awaitable
