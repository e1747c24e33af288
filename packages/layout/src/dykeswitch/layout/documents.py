"""The documents of the register that every proxy keeps.

A document is applied only if its version is higher than that of the current one, and only versions that
a majority of stores confirmed are ever announced on the timeline.
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

# While a member does not answer, the next one is asked after a call timeout divided by this.
HEDGE_DELAY_DIVISOR: typing.Final = 20

# A member that is itself fetching the requested version makes the caller wait for up to this fraction of
# a call timeout.
FETCH_WAIT_FRACTION: typing.Final = 0.5
# Versions are below this limit, which no register can reach.
VERSION_LIMIT: typing.Final = 2**53
# Number of document versions whose receivers are remembered.
MAX_TRACKED_DELIVERIES: typing.Final = 64

# Parses a document and returns a function that applies it, or None if it can't be parsed.
Apply = typing.Callable[[], None]
Reader = typing.Callable[[str, int, bytes], typing.Awaitable[Apply | None]]


class Documents:
    """The newest confirmed documents of this member."""

    def __init__(
        self,
        timeline: timelines.Timeline,
        call_client: frames.CallClient,
        call_timeout_s: float,
        reader: Reader,
        proxy: str = "",
    ) -> None:
        # The name of the proxy that keeps these documents; empty if this member is a registry.
        self._proxy = proxy
        self._timeline = timeline
        self._call_client = call_client
        self._call_timeout_s = call_timeout_s
        self._reader = reader
        self._documents: dict[str, tuple[int, bytes]] = {}
        # The proxies to which each version was delivered: shows how far a change has spread.
        self.delivered: dict[tuple[str, int], set[str]] = {}
        # Called for each proxy to which this member delivered a document.
        self.on_delivered: typing.Callable[[str, int, str], None] = lambda name, version, proxy: None
        # Each document in its compressed form, with its version.
        self._compressed: dict[str, tuple[int, bytes]] = {}
        self._applied = asyncio.Condition()
        self._catch_up_lock = asyncio.Lock()
        self._apply_lock = asyncio.Lock()

    def version(self, name: str) -> int:
        return self._documents.get(name, (0, b""))[0]

    def body(self, name: str) -> bytes:
        return self._documents.get(name, (0, b""))[1]

    def kinds(self) -> dict[str, frames.Handler]:
        return {"paper": self._on_document}

    async def _on_document(self, body: frames.Body) -> frames.Result:
        name, wanted_version = str(body["name"]), int(body["want"])
        if self.version(name) < wanted_version and (name, wanted_version) in self.outdated():
            # This member is fetching the version already: one copy then serves all waiting callers,
            # instead of one copy for each of them.
            async with self._applied:
                await ports.wait_for(
                    self._applied,
                    lambda: self.version(name) >= wanted_version,
                    self._call_timeout_s * FETCH_WAIT_FRACTION,
                )
        if name not in self._documents:
            return outcome.failure("no_such", name)
        version, data = self._documents[name]
        # The caller wants a version that this member does not have yet; another member may have it.
        if version < wanted_version:
            return outcome.failure("no_such", f"{name} {version}")
        proxy = str(body["name_of"])
        # Only a proxy that wants the document for itself counts as having received it.
        if proxy:
            self.note_delivered(name, version, proxy)
            self.on_delivered(name, version, proxy)
        if body.get("packs"):
            return outcome.Success({"version": version, "packed": self._compress(name)})
        return outcome.Success({"version": version, "body": data})

    def note_delivered(self, name: str, version: int, proxy: str) -> None:
        """Records that a version was delivered to a proxy, by this or another registry."""
        self.delivered.setdefault((name, version), set()).add(proxy)
        if len(self.delivered) > MAX_TRACKED_DELIVERIES:
            del self.delivered[next(iter(self.delivered))]

    def _compress(self, name: str) -> bytes:
        """The compressed form of a document, computed once for each version."""
        version, data = self._documents[name]
        compressed = self._compressed.get(name)
        if compressed is None or compressed[0] != version:
            compressed = self._compressed[name] = (version, zlib.compress(data))
        return compressed[1]

    async def apply(self, name: str, version: int, data: bytes) -> bool:
        """Applies a confirmed version; ignores one that is not higher than the current version."""
        # Parsing a large document takes a while: a caller that waits here may find the version applied.
        async with self._apply_lock:
            if version <= self.version(name):
                return False
            apply = await self._reader(name, version, data)
            if apply is None:
                return False
            apply()
            self._documents[name] = (version, data)
            async with self._applied:
                self._applied.notify_all()
            return True

    def outdated(self) -> list[tuple[str, int]]:
        """Documents announced on the timeline at a version that this member does not have yet."""
        return [
            (entry.key, int(entry.fields["version"]))
            for entry in self._timeline.all(timelines.DOCUMENT)
            if entry.key in NAMES and int(entry.fields["version"]) > self.version(entry.key)
        ]

    async def catch_up(self, addresses: typing.Sequence[ports.Address]) -> bool:
        """Fetches outdated documents from the first member that has them; returns whether all are current."""
        async with self._catch_up_lock:
            for name, wanted_version in self.outdated():
                await self._fetch(name, wanted_version, addresses)
            return not self.outdated()

    async def _fetch(self, name: str, wanted_version: int, addresses: typing.Sequence[ports.Address]) -> None:
        """Asks one member after another, without waiting long for those that do not answer."""
        request = {"name": name, "want": wanted_version, "name_of": self._proxy, "packs": True}
        calls: set[asyncio.Task[frames.Result]] = set()
        remaining = list(addresses)
        try:
            while (remaining or calls) and self.version(name) < wanted_version:
                if remaining:
                    address = remaining.pop(0)
                    calls.add(
                        asyncio.create_task(
                            self._call_client.call(address, "paper", request, self._call_timeout_s)
                        )
                    )
                # A member that is cut off must cost only a part of the call timeout.
                timeout_s = self._call_timeout_s / HEDGE_DELAY_DIVISOR if remaining else None
                done, calls = await asyncio.wait(
                    calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    result = call.result()
                    if isinstance(result, outcome.Success):
                        await self.apply_reply(name, result.value)
        finally:
            for call in calls:
                call.cancel()

    async def apply_reply(self, name: str, reply: frames.Body) -> None:
        """Applies the document in a member's reply; a malformed reply counts as no reply."""
        try:
            document = read_reply(reply)
        except ValueError:
            return
        await self.apply(name, document.version, document.data)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentReply:
    """A document from the reply of a member: its version in the register and its body."""

    version: int
    data: bytes


def read_reply(reply: frames.Body) -> DocumentReply:
    """Decodes and checks a reply from the wire; raises `ValueError` if it is malformed."""
    version, compressed, body = reply.get("version"), reply.get("packed"), reply.get("body")
    if not isinstance(version, int) or isinstance(version, bool) or not 0 <= version < VERSION_LIMIT:
        raise ValueError("not a valid version")
    if isinstance(compressed, bytes):
        return DocumentReply(version, _decompress(compressed))
    if not isinstance(body, bytes):
        raise ValueError("missing body")
    return DocumentReply(version, body)


def _decompress(compressed: bytes) -> bytes:
    """Decompresses a document; raises `ValueError` if it would exceed the largest frame."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, frames.MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("the document is truncated or too large")
    return data
