"""Papers: the documents of the register that every proxy carries.

A paper is taken up only at a higher version than the one held, and only versions
that a majority of stores confirmed are ever named on the timeline.
"""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.timeline as timeline

LAYOUT: typing.Final = "layout"
PAUSES: typing.Final = "pauses"
NAMES: typing.Final = (LAYOUT, PAUSES)

# Into how many parts the wait for one member is cut before the next is asked too.
HEDGES: typing.Final = 20

# Reads a paper, and hands back what takes it up; nothing if it can't be read.
Take = typing.Callable[[], None]
Reads = typing.Callable[[str, int, bytes], typing.Awaitable[Take | None]]


class Documents:
    """The newest confirmed papers this member holds."""

    def __init__(self, line: timeline.Timeline, caller: frames.Caller, call_s: float, reads: Reads) -> None:
        self._line = line
        self._caller = caller
        self._call_s = call_s
        self._reads = reads
        self._held: dict[str, tuple[int, bytes]] = {}
        # How often each paper was handed on, by version: how far a change got.
        self.handed: dict[tuple[str, int], set[str]] = {}
        self._lock = asyncio.Lock()
        self._taking = asyncio.Lock()

    def version(self, name: str) -> int:
        return self._held.get(name, (0, b""))[0]

    def body(self, name: str) -> bytes:
        return self._held.get(name, (0, b""))[1]

    def kinds(self) -> dict[str, frames.Handle]:
        return {"paper": self._on_document}

    async def _on_document(self, body: frames.Body) -> frames.Result:
        name = str(body["name"])
        if name not in self._held:
            return outcome.bad("no_such", name)
        version, data = self._held[name]
        # Who asks for a version we have not reached is better served elsewhere.
        if version < int(body["want"]):
            return outcome.bad("no_such", f"{name} {version}")
        # Only who says it wants it for itself counts as having it.
        self.handed.setdefault((name, version), set()).add(str(body["name_of"]))
        if len(self.handed) > 64:
            del self.handed[next(iter(self.handed))]
        return outcome.Good({"version": version, "body": data})

    async def take(self, name: str, version: int, data: bytes) -> bool:
        """Take up a confirmed version; never an equal or lower one."""
        # Reading a large one takes a while: who waits here finds it held already.
        async with self._taking:
            if version <= self.version(name):
                return False
            take = await self._reads(name, version, data)
            if take is None:
                return False
            take()
            self._held[name] = (version, data)
            return True

    def behind(self) -> list[tuple[str, int]]:
        """Papers named on the timeline at a version we do not hold yet."""
        return [
            (e.key, int(e.fields["version"]))
            for e in self._line.all(timeline.DOCUMENT)
            if e.key in NAMES and int(e.fields["version"]) > self.version(e.key)
        ]

    async def catch_up(self, addresses: typing.Sequence[str]) -> bool:
        """Fetch what we are behind on from the first member that has it."""
        async with self._lock:
            for name, want in self.behind():
                await self._fetch(name, want, addresses)
            return not self.behind()

    async def _fetch(self, name: str, want: int, addresses: typing.Sequence[str]) -> None:
        """Ask one member, and soon another while the first is silent."""
        ask = {"name": name, "want": want, "name_of": self._line.name}
        calls: set[asyncio.Task[frames.Result]] = set()
        left = list(addresses)
        try:
            while (left or calls) and self.version(name) < want:
                if left:
                    address = left.pop(0)
                    calls.add(asyncio.create_task(self._caller.ask(address, "paper", ask, self._call_s)))
                # A member that is cut off must cost us a part of the wait, not all.
                wait = self._call_s / HEDGES if left else None
                done, calls = await asyncio.wait(calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                for call in done:
                    result = call.result()
                    if isinstance(result, outcome.Good):
                        await self.take(name, int(result.value["version"]), result.value["body"])
        finally:
            for call in calls:
                call.cancel()
