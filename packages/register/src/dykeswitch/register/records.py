"""The records of one replica: durable writes, and what is known of the disk after a fault."""

import asyncio
import typing

import dykeswitch.ports as ports
import dykeswitch.register.storage as storage

# How long a write may take before the disk counts as stalled.
STALL_S: typing.Final = 1.0
# The name under which an erasure counts among the writes that are under way.
ERASURE: typing.Final = "@erase"


class ErasedError(OSError):
    """The replica that a write was meant for was erased before the write came to the disk."""


class Records:
    """Reads and writes the records on a disk; writes of several keys may go on at once."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        self._disk = disk
        self.storage = storage.Storage(disk, fault_points)
        # A replica with a vote was once erased here.
        self.voted_before = False
        # Whether what is on the disk is known, after the last write.
        self.content_known = True
        # What the last write failed with.
        self.fault = ""
        # Counts the replicas that this disk has held since the process started.
        self._incarnation = 0
        # Writes under way, by key, with the time at which each began.
        self._writing: dict[str, float] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def disk_fault(self) -> str:
        """Why nothing can be written at present, or nothing."""
        if self.fault:
            return self.fault
        return "a write is stalled" if self.stalled() else ""

    def stalled(self) -> bool:
        """Whether a write has been under way for longer than a disk that serves would take."""
        return bool(self._writing) and _now() - min(self._writing.values()) > STALL_S

    async def open(self) -> dict[str, typing.Any]:
        """Every record; raises `OSError` when the disk does not serve."""
        records = await self._disk.run(self.storage.open)
        self.voted_before = await self._disk.run(self.storage.voted_before)
        return records

    async def put(self, key: str, record: typing.Any) -> None:
        """Make a record durable; after an unclear failure nothing more is written."""
        if not self.content_known:
            raise OSError(self.fault)
        incarnation = self._incarnation

        def write() -> None:
            # It may have waited for a thread: no write may come after an erasure.
            if incarnation != self._incarnation:
                raise ErasedError("the replica was erased")
            self.storage.put(key, record)

        await self._step(key, write)
        self.fault = ""

    async def erase(self) -> None:
        """Drop every record; writes that were asked for before are not made any more."""
        self._incarnation += 1
        # Nor may one go on beside it, as they have threads of their own.
        await self._idle.wait()
        if not self.content_known:
            raise OSError(self.fault)
        self.voted_before = True
        await self._step(ERASURE, self.storage.erase)

    async def _step(self, name: str, step: typing.Callable[[], None]) -> None:
        self._writing[name] = _now()
        self._idle.clear()
        try:
            await self._disk.run(step)
        except ErasedError:
            raise
        except storage.NotWrittenError as flaw:
            # The older record is in force: the next write may find room again.
            self.fault = str(flaw)
            raise
        except OSError as flaw:
            self.fault = str(flaw)
            self.content_known = False
            raise
        except asyncio.CancelledError:
            # The disk may still be at it: nobody knows what it will hold.
            self.fault = "a write was cut off"
            self.content_known = False
            raise
        finally:
            self._writing.pop(name, None)
            if not self._writing:
                self._idle.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
