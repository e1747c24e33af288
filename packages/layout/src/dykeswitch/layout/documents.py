"""Papers: the documents of the register that every proxy carries.

A paper is taken up only at a higher version than the one held, and only versions
that a majority of stores confirmed are ever named on the timeline.
"""

import asyncio
import dataclasses
import typing
import zlib

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.timeline as timelines

LAYOUT: typing.Final = "layout"
PAUSES: typing.Final = "pauses"
NAMES: typing.Final = (LAYOUT, PAUSES)

# Into how many parts the wait for one member is cut before the next is asked too.
HEDGES: typing.Final = 20

# For which part of a call's span who is asked for a version that it is fetching itself waits for it.
WAIT_PART: typing.Final = 0.5
# Versions are counts that the system could have come to.
VERSION_MOST: typing.Final = 2**53
# How many papers' holders are kept in mind.
HANDED_MOST: typing.Final = 64

# Reads a paper, and hands back what takes it up; nothing if it can't be read.
Apply = typing.Callable[[], None]
Reader = typing.Callable[[str, int, bytes], typing.Awaitable[Apply | None]]


class Documents:
    """The newest confirmed papers this member holds."""

    def __init__(
        self,
        timeline: timelines.Timeline,
        call_client: frames.CallClient,
        call_timeout_s: float,
        reads: Reader,
        proxy: str = "",
    ) -> None:
        # The proxy that holds them; none if it is a registry.
        self._proxy = proxy
        self._timeline = timeline
        self._call_client = call_client
        self._call_timeout_s = call_timeout_s
        self._reads = reads
        self._held: dict[str, tuple[int, bytes]] = {}
        # The proxies that each paper was handed to, by version: how far a change got.
        self.delivered: dict[tuple[str, int], set[str]] = {}
        # Told of each proxy that a paper was handed to by us.
        self.on_delivered: typing.Callable[[str, int, str], None] = lambda name, version, proxy: None
        # Each paper as it travels, with its version.
        self._packed: dict[str, tuple[int, bytes]] = {}
        self._taken = asyncio.Condition()
        self._lock = asyncio.Lock()
        self._taking = asyncio.Lock()

    def version(self, name: str) -> int:
        return self._held.get(name, (0, b""))[0]

    def body(self, name: str) -> bytes:
        return self._held.get(name, (0, b""))[1]

    def kinds(self) -> dict[str, frames.Handler]:
        return {"paper": self._on_document}

    async def _on_document(self, body: frames.Body) -> frames.Result:
        name, want = str(body["name"]), int(body["want"])
        if self.version(name) < want and (name, want) in self.outdated():
            # We are fetching it: one copy for all that ask us rather than one for each of them.
            async with self._taken:
                await ports.wait_for(
                    self._taken, lambda: self.version(name) >= want, self._call_timeout_s * WAIT_PART
                )
        if name not in self._held:
            return outcome.failure("no_such", name)
        version, data = self._held[name]
        # Who asks for a version we have not reached is better served elsewhere.
        if version < want:
            return outcome.failure("no_such", f"{name} {version}")
        proxy = str(body["name_of"])
        # Only a proxy that wants it for itself counts as having it.
        if proxy:
            self.note_delivered(name, version, proxy)
            self.on_delivered(name, version, proxy)
        if body.get("packs"):
            return outcome.Success({"version": version, "packed": self._pack(name)})
        return outcome.Success({"version": version, "body": data})

    def note_delivered(self, name: str, version: int, proxy: str) -> None:
        """A proxy was handed a version, by us or by another registry."""
        self.delivered.setdefault((name, version), set()).add(proxy)
        if len(self.delivered) > HANDED_MOST:
            del self.delivered[next(iter(self.delivered))]

    def _pack(self, name: str) -> bytes:
        """A paper as it travels, made once for each version."""
        version, data = self._held[name]
        packed = self._packed.get(name)
        if packed is None or packed[0] != version:
            packed = self._packed[name] = (version, zlib.compress(data))
        return packed[1]

    async def apply(self, name: str, version: int, data: bytes) -> bool:
        """Take up a confirmed version; never an equal or lower one."""
        # Reading a large one takes a while: who waits here finds it held already.
        async with self._taking:
            if version <= self.version(name):
                return False
            apply = await self._reads(name, version, data)
            if apply is None:
                return False
            apply()
            self._held[name] = (version, data)
            async with self._taken:
                self._taken.notify_all()
            return True

    def outdated(self) -> list[tuple[str, int]]:
        """Papers named on the timeline at a version we do not hold yet."""
        return [
            (e.key, int(e.fields["version"]))
            for e in self._timeline.all(timelines.DOCUMENT)
            if e.key in NAMES and int(e.fields["version"]) > self.version(e.key)
        ]

    async def catch_up(self, addresses: typing.Sequence[ports.Address]) -> bool:
        """Fetch what we are behind on from the first member that has it."""
        async with self._lock:
            for name, want in self.outdated():
                await self._fetch(name, want, addresses)
            return not self.outdated()

    async def _fetch(self, name: str, want: int, addresses: typing.Sequence[ports.Address]) -> None:
        """Ask one member, and soon another while the first is silent."""
        ask = {"name": name, "want": want, "name_of": self._proxy, "packs": True}
        calls: set[asyncio.Task[frames.Result]] = set()
        left = list(addresses)
        try:
            while (left or calls) and self.version(name) < want:
                if left:
                    address = left.pop(0)
                    calls.add(
                        asyncio.create_task(
                            self._call_client.call(address, "paper", ask, self._call_timeout_s)
                        )
                    )
                # A member that is cut off must cost us a part of the wait, not all.
                wait = self._call_timeout_s / HEDGES if left else None
                done, calls = await asyncio.wait(calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                for call in done:
                    result = call.result()
                    if isinstance(result, outcome.Success):
                        await self.apply_reply(name, result.value)
        finally:
            for call in calls:
                call.cancel()

    async def apply_reply(self, name: str, reply: frames.Body) -> None:
        """Take up what a member answered; what can't be read is as if it had not answered."""
        try:
            told = read_reply(reply)
        except ValueError:
            return
        await self.apply(name, told.version, told.data)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentReply:
    """A document as a member told it: its version in the register and its body."""

    version: int
    data: bytes


def read_reply(reply: frames.Body) -> DocumentReply:
    """A reply off the wire; raises `ValueError` where it is none."""
    version, packed, body = reply.get("version"), reply.get("packed"), reply.get("body")
    if not isinstance(version, int) or isinstance(version, bool) or not 0 <= version < VERSION_MOST:
        raise ValueError("not a version")
    if isinstance(packed, bytes):
        return DocumentReply(version, _unpack(packed))
    if not isinstance(body, bytes):
        raise ValueError("no body")
    return DocumentReply(version, body)


def _unpack(packed: bytes) -> bytes:
    """A document out of what travelled; none is larger than the largest frame."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, frames.MAX_FRAME_BYTES)
    except zlib.error as flaw:
        raise ValueError(str(flaw)) from flaw
    if not unpacker.eof:
        raise ValueError("a document that is cut or too large")
    return data
