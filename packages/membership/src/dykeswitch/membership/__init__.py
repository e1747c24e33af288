"""How members know each other: partial views shuffled between neighbours.

Over the same neighbours the timeline spreads: at once when news is urgent, and with
every shuffle for the rest. Cores are known to all by entries of their own. A proxy
polls a majority of them: whichever majority decides something, one that it polls was there.
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

VIEW_MOST: typing.Final = 8
SAMPLE: typing.Final = 4
AGE_MOST: typing.Final = 12
# How many holds a member's word on wall time is good for.
WALL_AGE: typing.Final = 5
# How many addresses are kept in mind, and how often one of them is knocked at.
BOOK_MOST: typing.Final = 256
KNOCK_TURNS: typing.Final = 2
# How many holds a core may be silent before it is taken for dead.
ALIVE_HOLDS: typing.Final = 3
# While cores answer, polls carry the news: neighbours trade so many times more slowly.
CALM: typing.Final = 4
# For which part of a hold a core may hold the poll of a proxy: the first one's is answered sooner
# than the others', so that a proxy hears somebody well within a hold.
FIRST_HOLD: typing.Final = 0.7
OTHER_HOLD: typing.Final = 0.9
# For which part of a hold news is left to gather before the next poll or push: the first poll's,
# the others', and a push's.
FIRST_PACE: typing.Final = 0.1
OTHER_PACE: typing.Final = 0.2
PUSH_PACE: typing.Final = 0.02
# For how many holds a core whose poll failed is passed over while others can be polled.
PASSED_OVER_HOLDS: typing.Final = 10


@dataclasses.dataclass(slots=True)
class Member:
    """A neighbour in the partial view."""

    name: str
    kind: str
    address: ports.Address
    age: int = 0

    def to_wire(self) -> list[typing.Any]:
        return [self.name, self.kind, self.address, self.age]


@dataclasses.dataclass(slots=True)
class Cursor:
    """How far we and one other member know each other's timelines."""

    boot_id: str = ""
    theirs: int = 0
    ours: int = 0


@dataclasses.dataclass(slots=True)
class PollCursor(Cursor):
    """How far a proxy and a core that it polls know each other; marks are told by the first core alone."""

    marks: int = 0


class Gossip:
    """One member's part in the shuffle and in the spreading of the timeline."""

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
        self._walls: dict[str, tuple[float, float]] = {}
        self.last_heard_at = -1e9
        # When each member was heard last, by its name.
        self._last: dict[str, float] = {}
        self._tasks: dict[tuple[str, ports.Address], asyncio.Task[None]] = {}
        # The addresses of the cores that we poll, the first one first, and how far we are with each.
        self._polled: list[ports.Address] = []
        self._poll_cursors: dict[str, PollCursor] = {}
        # When a core last failed to answer a poll, or had no majority behind it, by its address.
        self._failed: dict[str, float] = {}
        self._choose_again = asyncio.Event()
        # Whether a majority stands behind what we tell; a registry that is cut off says that it is.
        self.has_quorum: typing.Callable[[], bool] = lambda: True
        # Where members were heard to be, and when last: also those that fell silent.
        self._book: collections.OrderedDict[ports.Address, float] = collections.OrderedDict()
        self._knock: asyncio.Task[bool] | None = None
        self._seeking: asyncio.Task[bool] | None = None

    def set_seeds(self, seeds: typing.Sequence[str]) -> None:
        """Other members to begin with, from now on."""
        self._seeds = _seeds_of(seeds, self.me.address)

    def kinds(self) -> dict[str, frames.Handler]:
        return {"shuffle": self._on_shuffle, "tell": self._on_tell, "poll": self._on_poll}

    # The calls we answer.

    def call_header(self) -> frames.Body:
        """What each call between members begins with: who speaks, how far, and the wall time."""
        wall = self._clock.wall()
        return {"name": self.me.name, "boot": self.boot_id, "seq": self.timeline.seq, "wall": wall}

    def _heard(self, body: frames.Body) -> None:
        now = self._clock.now()
        self.last_heard_at = now
        # One try takes milliseconds, so what it says of wall time is good to as much.
        wall, name = body.get("wall"), body.get("name")
        if isinstance(wall, float) and math.isfinite(wall) and isinstance(name, str) and len(name) <= 128:
            self._walls[name] = (wall - self._clock.wall(), now)
            self._last[name] = now
            if len(self._walls) > BOOK_MOST:
                del self._walls[next(iter(self._walls))]
            if len(self._last) > BOOK_MOST:
                del self._last[min(self._last, key=lambda n: self._last[n])]

    def wall(self) -> float:
        """The fleet's common wall time: the median, so one clock that jumps moves nothing."""
        now = self._clock.now()
        young = [gap for gap, at in self._walls.values() if now - at < self._hold_s * WALL_AGE]
        return self._clock.wall() + _median([0.0, *young])

    async def _on_shuffle(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        sample = self._sample(str(body["name"]))
        self._learn(body["view"])
        self.timeline.merge(body["items"])
        # Who hears no core yet, or no more, is told all the same.
        tells = self._tells() or bool(body.get("alone", True))
        items = self._fresh_for(body) if tells else self._unknown_cores(body)
        return outcome.Success({**self.call_header(), "view": sample, "items": items, "told": tells})

    def _unknown_cores(self, body: frames.Body) -> list[timelines.Wire]:
        """The entries of the cores that a caller does not name.

        Cores that were cut off for longer than their entries last have forgotten the others, and
        hear each other: nothing else would bring them and the rest together again.
        """
        named = body.get("cores")
        if not isinstance(named, (list, tuple)):
            return []
        now = self._clock.now()
        entries = self.timeline.all(timelines.CORE)
        return [entry.to_wire(now) for entry in entries if entry.key not in named]

    async def _on_tell(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        self.timeline.merge(body["items"])
        return outcome.Success(self.call_header())

    async def _on_poll(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        self.timeline.merge(body["items"])
        boot_id = body["cursor"][0]
        seq = self.known_position(body)
        # Each proxy has marks told by one core; what must reach it in any case by all that it polls.
        marks = bool(body.get("marks", True))
        if boot_id == self.boot_id and self._newest(marks) <= seq:
            # No news: hold the answer until there is some or the hold is over.
            async with self.timeline.changed:
                await ports.wait_for(
                    # In this order, so that what is no number holds it no longer either.
                    self.timeline.changed,
                    lambda: self._newest(marks) > seq,
                    min(self._hold_s, float(body["hold"])),
                )
        head = self.call_header()
        # What each proxy says of itself is for the cores; no other proxy needs it.
        items = self.news_for(seq, marks)
        return outcome.Success({**head, "items": items, "backed": self.has_quorum()})

    def known_position(self, body: frames.Body) -> int:
        """How far the caller knows our timeline, by the cursor that it sent."""
        boot_id, seq = body["cursor"]
        return int(seq) if boot_id == self.boot_id else 0

    def news_for(self, seq: int, marks: bool) -> list[timelines.Wire]:
        """What a proxy needs of what came after a point; what others say of themselves it does not."""
        excluding = (timelines.PROXY,) if marks else (timelines.PROXY, timelines.MARK)
        return self.timeline.entries_since(seq, excluding=excluding)

    def _newest(self, marks: bool) -> int:
        """Where the newest urgent entry stands, marks counted or not."""
        return self.timeline.last_urgent_seq if marks else self.timeline.last_urgent_seq_except_marks

    def _tells(self) -> bool:
        """Whether neighbours trade entries: while a core is heard, it is told and tells all."""
        return not self._heard_cores()

    def _fresh_for(self, body: frames.Body) -> list[timelines.Wire]:
        return self.timeline.entries_since(self.known_position(body), excluding=(timelines.PROXY,))

    # The view.

    def _sample(self, excluding: str) -> list[list[typing.Any]]:
        others = [m for m in self.view.values() if m.name != excluding]
        picked = self._rng.sample(others, min(SAMPLE - 1, len(others)))
        return [[self.me.name, self.me.kind, self.me.address, 0], *(m.to_wire() for m in picked)]

    def _learn(self, raw: typing.Iterable[typing.Any]) -> None:
        for word in raw:
            if not _member(word):
                continue
            name, kind, address, age = word
            if name == self.me.name or address == self.me.address:
                continue
            if not int(age):
                self._note_address(ports.address_of(address))
            old = self.view.get(name)
            # The younger word wins: it was heard from the member itself later.
            if old is None or int(age) < old.age or old.address != address and int(age) <= old.age:
                self.view[str(name)] = Member(str(name), str(kind), ports.address_of(address), int(age))
        for member in list(self.view.values()):
            if member.age > AGE_MOST:
                del self.view[member.name]
        while len(self.view) > VIEW_MOST:
            oldest = max(self.view.values(), key=lambda m: (m.age, m.name))
            del self.view[oldest.name]

    def _note_address(self, address: ports.Address) -> None:
        self._book[address] = self._clock.now()
        self._book.move_to_end(address)
        if len(self._book) > BOOK_MOST:
            self._book.popitem(last=False)

    def _stranger(self) -> ports.Address | None:
        """An address where a member once was, that no neighbour has now."""
        young = self._clock.now() - self.timeline.forget_s
        near = {m.address for m in self.view.values()} | set(self.cores().values())
        addresses = [address for address, at in self._book.items() if at > young and address not in near]
        return self._rng.choice(addresses) if addresses else None

    def known_cores(self) -> dict[str, ports.Address]:
        """Every registry there was of late, by name, with its address."""
        return {e.key: _address_of(e) for e in self.timeline.all(timelines.CORE) if e.key != self.me.name}

    def cores(self) -> dict[str, ports.Address]:
        """Every registry that is taken to be alive, by name, with its address.

        One that we do not poll tells us nothing: it counts unless its last poll failed.
        """
        heard = self._heard_cores()
        if self.me.kind != "proxy":
            return heard
        known = self.known_cores()
        return {
            name: address
            for name, address in known.items()
            if name in heard or address not in self._polled and not self._passed_over(address)
        }

    def nearest_cores(self) -> list[ports.Address]:
        """The addresses of the living cores, in the order in which it is best to ask them."""
        alive = set(self.cores().values())
        return [address for address in self._ranked() if address in alive]

    def _passed_over(self, address: str) -> bool:
        """Whether this core failed of late to answer a poll, or had no majority behind it."""
        since = self._clock.now() - self._failed.get(address, -math.inf)
        return since < self._hold_s * PASSED_OVER_HOLDS

    def polled(self) -> list[ports.Address]:
        """The addresses of the cores that we poll; the first one tells us of marks too."""
        return list(self._polled)

    def position(self, address: str) -> list[typing.Any]:
        """How far we know a core's timeline, marks left aside: a boot and a place in it."""
        cursor = self._poll_cursors.get(address) or PollCursor()
        return [cursor.boot_id, cursor.theirs]

    def _pass_over(self, address: str) -> None:
        """Poll another core in place of this one, if there is one that answers."""
        known = self._passed_over(address)
        self._failed[address] = self._clock.now()
        if not known:
            self._choose_again.set()

    def _ranked(self) -> list[ports.Address]:
        """The addresses of all known cores: those that answer first, then those of our own zone."""

        def rank(entry: timelines.Entry) -> tuple[bool, bool, int]:
            # By a hash, so that the proxies of one zone part among equal cores, and stay there.
            part = zlib.crc32(f"{self.me.name}/{entry.key}".encode())
            return (self._passed_over(str(entry.fields["spot"])), entry.fields["zone"] != self._zone, part)

        entries = [e for e in self.timeline.all(timelines.CORE) if e.key != self.me.name]
        return [_address_of(entry) for entry in sorted(entries, key=rank)]

    def _heard_cores(self) -> dict[str, ports.Address]:
        """Every registry heard of late: by us, or by whoever told us of it for the first time."""
        edge = self._clock.now() - self._hold_s * ALIVE_HOLDS
        known = self.known_cores()
        for name in known:
            self._last.setdefault(name, self._clock.now())
        return {name: address for name, address in known.items() if self._last[name] > edge}

    # The tasks.

    async def run(self) -> None:
        """Shuffle for ever, and keep one task for each member we push to or poll."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_choosing(group))
            turn = 0
            while True:
                await self._shuffle(turn, group)
                self._tend(group)
                if turn % KNOCK_TURNS == 0 and (self._knock is None or self._knock.done()):
                    # One that comes back may know only seeds that are gone for good: it can't
                    # find us, so we look for it where it was.
                    address = self._stranger()
                    if address is not None:
                        self._knock = group.create_task(self._trade(address, ""))
                self.timeline.remove_expired()
                turn += 1
                # A short first while: a new member should be known soon.
                span = self._shuffle_s * (0.2 if turn < 5 else CALM if self._heard_cores() else 1.0)
                await self._clock.sleep(span * (0.75 + self._rng.random() / 2))

    async def _shuffle(self, turn: int, group: asyncio.TaskGroup) -> None:
        for member in self.view.values():
            member.age += 1
        known = list(self.view.values())
        seeds = [s for s in self._seeds if s not in {m.address for m in known}]
        # Islands that forgot each other meet again through seeds, so ask one now and then.
        if seeds and (len(known) < 2 or turn % 4 == 0):
            if not known:
                await asyncio.gather(*(self._trade(address, "") for address in seeds))
                return
            # Seeds may all be down: the neighbours there are must not wait for that.
            if self._seeking is None or self._seeking.done():
                self._seeking = group.create_task(self._trade(self._rng.choice(seeds), ""))
        if not known:
            return
        oldest = max(known, key=lambda m: (m.age, m.name))
        if not await self._trade(oldest.address, oldest.name):
            self.view.pop(oldest.name, None)

    async def _trade(self, address: ports.Address, name: str) -> bool:
        cursor = self._cursors.get(address) or Cursor()
        seq = self.timeline.seq
        tells = self._tells()
        body = {
            **self.call_header(),
            "view": self._sample(name),
            "items": self.timeline.entries_since(cursor.ours, excluding=(timelines.PROXY,)) if tells else [],
            "cursor": [cursor.boot_id, cursor.theirs],
            "alone": tells,
            "cores": sorted({*self.known_cores(), self.me.name}),
        }
        # No longer than to the next turn: one neighbour that is gone must not keep us from
        # the others for longer than it takes to seem cut off.
        result = await self._call_client.call(
            address, "shuffle", body, min(self._call_timeout_s, self._shuffle_s)
        )
        if isinstance(result, outcome.Failure):
            # What it missed while away is sent again.
            self._cursors.pop(address, None)
            return False
        reply = result.value
        fresh = self._take(reply, cursor, seq, address)
        if fresh is None:
            self._cursors.pop(address, None)
            return False
        # What was not traded stays owed, for when no core is heard.
        if not tells:
            fresh.ours = cursor.ours
        if not reply.get("told", True):
            fresh.boot_id, fresh.theirs = cursor.boot_id, cursor.theirs
        self._cursors[address] = fresh
        if name and reply.get("name") != name:
            self.view.pop(name, None)
        return True

    def _take(self, reply: frames.Body, cursor: Cursor, seq: int, address: str) -> Cursor | None:
        """Take up a reply; a malformed one, as from another release, harms nobody."""
        try:
            told = replies.read(reply)
        except ValueError as flaw:
            self._note("reply refused", f"{address}: {flaw}")
            return None
        self._heard(reply)
        self._learn(told.view)
        self.timeline.merge(told.items)
        # A member that started anew has forgotten what it was told.
        return Cursor(told.boot_id, told.seq, seq if told.boot_id == cursor.boot_id else 0)

    async def _keep_choosing(self, group: asyncio.TaskGroup) -> None:
        """Poll another core as soon as a poll failed."""
        while True:
            await self._choose_again.wait()
            self._choose_again.clear()
            self._tend(group)

    def _told(self) -> list[ports.Address]:
        """Whom we push urgent news to."""
        known = list(self.known_cores().values())
        if not self._heard_cores():
            # Only while no core is heard do neighbours tell each other.
            return [*known, *(m.address for m in self.view.values())]
        # Cores tell each other, and each tells the proxies that poll it; a proxy tells one core,
        # and the others that it polls with its next poll.
        return known if self.me.kind == "registry" else self._polled[:1]

    def _tend(self, group: asyncio.TaskGroup) -> None:
        if self.me.kind == "proxy":
            ranked = self._ranked()
            # A majority of all there are: it has a member in common with every other majority, so
            # one that is polled knows whatever a majority decided.
            self._polled = ranked[: len(ranked) // 2 + 1]
            self._poll_cursors = {a: c for a, c in self._poll_cursors.items() if a in ranked}
            self._failed = {a: at for a, at in self._failed.items() if a in ranked}
        told = self._told()
        wanted: dict[tuple[str, ports.Address], typing.Callable[[ports.Address], typing.Awaitable[None]]] = {}
        for address in told:
            if address != self.me.address:
                wanted[("push", address)] = self._push
        if self.me.kind == "proxy":
            for address in self._polled:
                wanted[("pull", address)] = self._pull
        for key, task in list(self._tasks.items()):
            if key not in wanted:
                task.cancel()
                del self._tasks[key]
        for key, work in wanted.items():
            if key not in self._tasks or self._tasks[key].done():
                self._tasks[key] = group.create_task(_coroutine(work(key[1])))

    def _news(self, since: int) -> bool:
        return self.timeline.last_urgent_seq > since

    async def _push(self, address: ports.Address) -> None:
        """Tell one member of urgent news as it comes."""
        core = self.me.kind == "registry"
        # Another core that is new to us, or that had been forgotten, is told all that we hold.
        told_before = address in self._cursors and not core
        sent = self.timeline.seq if told_before else 0
        while True:
            async with self.timeline.changed:
                # Cores show each other that they are there; a proxy speaks when it has news.
                wait = self._hold_s if core else math.inf
                await ports.wait_for(self.timeline.changed, functools.partial(self._news, sent), wait)
            upto = self.timeline.seq
            # What a proxy heard from others they tell the cores themselves.
            own_only = not core and bool(self._heard_cores())
            news = core or self.timeline.last_urgent_seq > sent
            excluding = (timelines.PROXY,) if core else ()
            items = self.timeline.entries_since(sent, own_only, excluding) if news else []
            if not core and not items:
                sent = upto
                continue
            result = await self._call_client.call(
                address, "tell", {**self.call_header(), "items": items}, self._call_timeout_s
            )
            if isinstance(result, outcome.Failure):
                # Shuffles and polls carry the rest once it is back.
                await self._clock.sleep(self._shuffle_s)
                continue
            self._heard(result.value)
            if items:
                sent = upto
                # What comes right after goes together.
                await self._clock.sleep(self._hold_s * PUSH_PACE)

    async def _pull(self, address: ports.Address) -> None:
        """Ask one core with what we have; it answers when there is news."""
        while True:
            # The first one tells us of all; the others of all but marks.
            first = address == self._polled[0]
            items = await self._poll(address, first)
            if items is None:
                await self._clock.sleep(self._shuffle_s)
            elif items:
                # News that comes in a storm goes into few answers.
                await self._clock.sleep(self._hold_s * (FIRST_PACE if first else OTHER_PACE))

    async def _poll(self, address: ports.Address, first: bool) -> int | None:
        """One poll; how many entries the answer held, or nothing if none came."""
        cursor = self._poll_cursors.get(address) or PollCursor()
        seq = self.timeline.seq
        hold = self._hold_s * (FIRST_HOLD if first else OTHER_HOLD)
        body = {
            **self.call_header(),
            # A core that started anew is told all; else each tells of its own.
            "items": self.timeline.entries_since(cursor.ours, own_only=cursor.ours > 0),
            "cursor": [cursor.boot_id, min(cursor.marks, cursor.theirs) if first else cursor.theirs],
            "hold": hold,
            "marks": first,
        }
        result = await self._call_client.call(address, "poll", body, hold + self._call_timeout_s)
        if isinstance(result, outcome.Failure):
            self._pass_over(address)
            return None
        fresh = self._take(result.value, cursor, seq, address)
        if fresh is None:
            self._poll_cursors.pop(address, None)
            return None
        if result.value.get("backed", True):
            self._failed.pop(address, None)
        else:
            # It is cut off from the other cores: it knows nothing new.
            self._pass_over(address)
        known = cursor.marks if fresh.boot_id == cursor.boot_id else 0
        marks = fresh.theirs if first else known
        self._poll_cursors[address] = PollCursor(fresh.boot_id, fresh.theirs, fresh.ours, marks)
        return len(result.value["items"])


def _seeds_of(seeds: typing.Sequence[str], own_address: ports.Address) -> list[ports.Address]:
    """The members to begin with, but for ourselves."""
    return [ports.address_of(seed) for seed in seeds if seed != own_address]


def _address_of(core: timelines.Entry) -> ports.Address:
    """Where a core is reached; what an entry tells was checked before it was taken up."""
    return ports.address_of(core.fields["spot"])


def _median(spans: list[float]) -> float:
    """The middle of some spans; the library's own brings in fractions and decimals at each start."""
    ranked, half = sorted(spans), len(spans) // 2
    return ranked[half] if len(ranked) % 2 else (ranked[half - 1] + ranked[half]) / 2


def _member(raw: object) -> bool:
    """Whether a word about a member is one that we could act on."""
    if not isinstance(raw, (list, tuple)) or len(raw) != 4:
        return False
    name, kind, address, age = raw
    if not isinstance(name, str) or not 0 < len(name) <= 128 or kind not in ("proxy", "registry"):
        return False
    good = isinstance(age, int) and not isinstance(age, bool) and 0 <= age <= AGE_MOST * 2
    return good and isinstance(address, str) and ports.address_fault(address) is None


async def _coroutine(work: typing.Awaitable[None]) -> None:
    await work
