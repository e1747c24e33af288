"""How members know each other: partial views shuffled between neighbours.

Over the same neighbours the timeline spreads: at once when news is urgent, and with
every shuffle for the rest. Cores are known to all by entries of their own, since
every proxy polls every core.
"""

import asyncio
import collections
import dataclasses
import math
import random
import statistics
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.timeline as timeline

VIEW_MOST: typing.Final = 8
SAMPLE: typing.Final = 4
AGE_MOST: typing.Final = 12
# How many holds a member's word on wall time is good for.
WALL_AGE: typing.Final = 5
# How many addresses are kept in mind, and how often one of them is knocked at.
BOOK_MOST: typing.Final = 256
KNOCK_TURNS: typing.Final = 2


@dataclasses.dataclass(slots=True)
class Member:
    """A neighbour in the partial view."""

    name: str
    kind: str
    spot: str
    age: int = 0

    def wire(self) -> list[typing.Any]:
        return [self.name, self.kind, self.spot, self.age]


@dataclasses.dataclass(slots=True)
class Cursor:
    """How far we and one other member know each other's timelines."""

    boot: str = ""
    theirs: int = 0
    ours: int = 0


class Spread:
    """One member's part in the shuffle and in the spreading of the timeline."""

    def __init__(
        self,
        me: Member,
        line: timeline.Timeline,
        machine: ports.Machine,
        caller: frames.Caller,
        dice: random.Random,
        shuffle_s: float,
        call_s: float,
        hold_s: float,
        seeds: typing.Sequence[str],
        note: typing.Callable[[str, str], None],
    ) -> None:
        self.me = me
        self.boot = f"{dice.getrandbits(48):012x}"
        self.line = line
        self._clock = machine.clock
        self._caller = caller
        self._dice = dice
        self._shuffle_s = shuffle_s
        self._call_s = call_s
        self._hold_s = hold_s
        self._seeds = [seed for seed in seeds if seed != me.spot]
        self._note = note
        self.view: dict[str, Member] = {}
        self._cursors: dict[str, Cursor] = {}
        self._walls: dict[str, tuple[float, float]] = {}
        self.heard = -1e9
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        # Where members were heard to be, and when last: also those that fell silent.
        self._book: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._knock: asyncio.Task[bool] | None = None
        self._seeking: asyncio.Task[bool] | None = None

    def kinds(self) -> dict[str, frames.Handle]:
        return {"shuffle": self._on_shuffle, "tell": self._on_tell, "poll": self._on_poll}

    # The calls we answer.

    def _head(self) -> frames.Body:
        wall = self._clock.wall()
        return {"name": self.me.name, "boot": self.boot, "seq": self.line.seq, "wall": wall}

    def _heard(self, body: frames.Body) -> None:
        now = self._clock.now()
        self.heard = now
        # One try takes milliseconds, so what it says of wall time is good to as much.
        wall, name = body.get("wall"), body.get("name")
        if isinstance(wall, float) and math.isfinite(wall) and isinstance(name, str) and len(name) <= 128:
            self._walls[name] = (wall - self._clock.wall(), now)
            if len(self._walls) > BOOK_MOST:
                del self._walls[next(iter(self._walls))]

    def wall(self) -> float:
        """The fleet's common wall time: the median, so one clock that jumps moves nothing."""
        now = self._clock.now()
        young = [gap for gap, at in self._walls.values() if now - at < self._hold_s * WALL_AGE]
        return self._clock.wall() + statistics.median([0.0, *young])

    async def _on_shuffle(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        sample = self._sample(str(body["name"]))
        self._learn(body["view"])
        self.line.merge(body["items"])
        items = self._fresh_for(body)
        return outcome.Good({**self._head(), "view": sample, "items": items})

    async def _on_tell(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        self.line.merge(body["items"])
        return outcome.Good(self._head())

    async def _on_poll(self, body: frames.Body) -> frames.Result:
        self._heard(body)
        self.line.merge(body["items"])
        boot, seq = body["cursor"]
        seq = int(seq) if boot == self.boot else 0
        if boot == self.boot and self.line.urgent <= seq:
            # No news: hold the answer until there is some or the hold is over.
            async with self.line.news:
                await ports.wait_for(
                    # In this order, so that what is no number holds it no longer either.
                    self.line.news, lambda: self.line.urgent > seq, min(self._hold_s, float(body["hold"]))
                )
        head = self._head()
        return outcome.Good({**head, "items": self.line.wire_since(seq)})

    def _fresh_for(self, body: frames.Body) -> list[timeline.Wire]:
        boot, seq = body["cursor"]
        return self.line.wire_since(int(seq) if boot == self.boot else 0)

    # The view.

    def _sample(self, but: str) -> list[list[typing.Any]]:
        others = [m for m in self.view.values() if m.name != but]
        picked = self._dice.sample(others, min(SAMPLE - 1, len(others)))
        return [[self.me.name, self.me.kind, self.me.spot, 0], *(m.wire() for m in picked)]

    def _learn(self, raw: typing.Iterable[typing.Any]) -> None:
        for word in raw:
            if not _member(word):
                continue
            name, kind, spot, age = word
            if name == self.me.name or spot == self.me.spot:
                continue
            if not int(age):
                self._note_spot(str(spot))
            old = self.view.get(name)
            # The younger word wins: it was heard from the member itself later.
            if old is None or int(age) < old.age or old.spot != spot and int(age) <= old.age:
                self.view[str(name)] = Member(str(name), str(kind), str(spot), int(age))
        for member in list(self.view.values()):
            if member.age > AGE_MOST:
                del self.view[member.name]
        while len(self.view) > VIEW_MOST:
            oldest = max(self.view.values(), key=lambda m: (m.age, m.name))
            del self.view[oldest.name]

    def _note_spot(self, spot: str) -> None:
        self._book[spot] = self._clock.now()
        self._book.move_to_end(spot)
        if len(self._book) > BOOK_MOST:
            self._book.popitem(last=False)

    def _stranger(self) -> str | None:
        """An address where a member once was, that no neighbour has now."""
        young = self._clock.now() - self.line.forget_s
        near = {m.spot for m in self.view.values()} | set(self.cores().values())
        spots = [spot for spot, at in self._book.items() if at > young and spot not in near]
        return self._dice.choice(spots) if spots else None

    def cores(self) -> dict[str, str]:
        """Every registry known, by name, with its address."""
        return {
            e.key: str(e.fields["spot"]) for e in self.line.all(timeline.CORE) if e.key != self.me.name
        }

    # The tasks.

    async def run(self) -> None:
        """Shuffle for ever, and keep one task for each member we push to or poll."""
        async with asyncio.TaskGroup() as group:
            turn = 0
            while True:
                await self._shuffle(turn, group)
                self._tend(group)
                if turn % KNOCK_TURNS == 0 and (self._knock is None or self._knock.done()):
                    # One that comes back may know only seeds that are gone for good: it can't
                    # find us, so we look for it where it was.
                    spot = self._stranger()
                    if spot is not None:
                        self._knock = group.create_task(self._trade(spot, ""))
                self.line.tidy()
                turn += 1
                # A short first while: a new member should be known soon.
                span = self._shuffle_s * (0.2 if turn < 5 else 1.0)
                await self._clock.sleep(span * (0.75 + self._dice.random() / 2))

    async def _shuffle(self, turn: int, group: asyncio.TaskGroup) -> None:
        for member in self.view.values():
            member.age += 1
        known = list(self.view.values())
        seeds = [s for s in self._seeds if s not in {m.spot for m in known}]
        # Islands that forgot each other meet again through seeds, so ask one now and then.
        if seeds and (len(known) < 2 or turn % 4 == 0):
            if not known:
                await asyncio.gather(*(self._trade(spot, "") for spot in seeds))
                return
            # Seeds may all be down: the neighbours there are must not wait for that.
            if self._seeking is None or self._seeking.done():
                self._seeking = group.create_task(self._trade(self._dice.choice(seeds), ""))
        if not known:
            return
        oldest = max(known, key=lambda m: (m.age, m.name))
        if not await self._trade(oldest.spot, oldest.name):
            self.view.pop(oldest.name, None)

    async def _trade(self, spot: str, name: str) -> bool:
        cursor = self._cursors.get(spot) or Cursor()
        seq = self.line.seq
        body = {
            **self._head(),
            "view": self._sample(name),
            "items": self.line.wire_since(cursor.ours),
            "cursor": [cursor.boot, cursor.theirs],
        }
        # No longer than to the next turn: one neighbour that is gone must not keep us from
        # the others for longer than it takes to seem cut off.
        result = await self._caller.ask(spot, "shuffle", body, min(self._call_s, self._shuffle_s))
        if isinstance(result, outcome.Bad):
            # What it missed while away is sent again.
            self._cursors.pop(spot, None)
            return False
        reply = result.value
        fresh = self._take(reply, cursor, seq, spot)
        if fresh is None:
            self._cursors.pop(spot, None)
            return False
        self._cursors[spot] = fresh
        if name and reply["name"] != name:
            self.view.pop(name, None)
        return True

    def _take(self, reply: frames.Body, cursor: Cursor, seq: int, spot: str) -> Cursor | None:
        """Take up a reply; a malformed one, as from another release, harms nobody."""
        try:
            self._heard(reply)
            self._learn(reply.get("view", ()))
            self.line.merge(reply["items"])
            same = reply["boot"] == cursor.boot
            # A member that started anew has forgotten what it was told.
            return Cursor(str(reply["boot"]), int(reply["seq"]), seq if same else 0)
        except (KeyError, TypeError, ValueError, AttributeError) as flaw:
            self._note("reply refused", f"{spot}: {type(flaw).__name__}: {flaw}")
            return None

    def _tend(self, group: asyncio.TaskGroup) -> None:
        cores = self.cores()
        wanted: dict[tuple[str, str], typing.Callable[[str], typing.Awaitable[None]]] = {}
        for spot in [*cores.values(), *(m.spot for m in self.view.values())]:
            if spot != self.me.spot:
                wanted[("push", spot)] = self._push
        if self.me.kind == "proxy":
            # Seeds are polled too until cores are known by their own entries.
            for spot in cores.values():
                wanted[("pull", spot)] = self._pull
        for key, task in list(self._tasks.items()):
            if key not in wanted:
                task.cancel()
                del self._tasks[key]
        for key, work in wanted.items():
            if key not in self._tasks or self._tasks[key].done():
                self._tasks[key] = group.create_task(_coroutine(work(key[1])))

    async def _push(self, spot: str) -> None:
        """Tell one member of urgent news as it comes."""
        sent = self.line.seq if spot in self._cursors else 0
        while True:
            async with self.line.news:
                while self.line.urgent <= sent:
                    await self.line.news.wait()
            upto = self.line.seq
            body = {**self._head(), "items": self.line.wire_since(sent)}
            result = await self._caller.ask(spot, "tell", body, self._call_s)
            if isinstance(result, outcome.Bad):
                # Shuffles and polls carry the rest once it is back.
                await self._clock.sleep(self._shuffle_s)
                continue
            self.heard = self._clock.now()
            sent = upto

    async def _pull(self, spot: str) -> None:
        """Ask one core with what we have; it answers when there is news."""
        cursor = Cursor()
        while True:
            seq = self.line.seq
            body = {
                **self._head(),
                "items": self.line.wire_since(cursor.ours),
                "cursor": [cursor.boot, cursor.theirs],
                "hold": self._hold_s,
            }
            result = await self._caller.ask(spot, "poll", body, self._hold_s + self._call_s)
            if isinstance(result, outcome.Bad):
                cursor = Cursor()
                await self._clock.sleep(self._shuffle_s)
                continue
            fresh = self._take(result.value, cursor, seq, spot)
            if fresh is None:
                await self._clock.sleep(self._shuffle_s)
            cursor = fresh or Cursor()


def _member(raw: object) -> bool:
    """Whether a word about a member is one that we could act on."""
    if not isinstance(raw, (list, tuple)) or len(raw) != 4:
        return False
    name, kind, spot, age = raw
    if not isinstance(name, str) or not 0 < len(name) <= 128 or kind not in ("proxy", "registry"):
        return False
    good = isinstance(age, int) and not isinstance(age, bool) and 0 <= age <= AGE_MOST * 2
    return good and isinstance(spot, str) and ports.spot_fault(spot) is None


async def _coroutine(work: typing.Awaitable[None]) -> None:
    await work
