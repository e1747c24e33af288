"""The records of one replica: durable writes, and what is known about the disk after a fault."""

import asyncio
import typing

import dykeswitch.ports as ports
import dykeswitch.register.storage as storage

# A disk counts as stalled when a write takes longer than this.
STALL_S: typing.Final = 1.0
# The name of an erasure among the writes in progress.
ERASURE: typing.Final = "@erase"


class ErasedError(OSError):
    """The replica was erased before a write meant for it reached the disk."""


class Records:
    """Reads and writes the records on a disk; writes of different keys may run concurrently."""

    def __init__(self, disk: ports.Disk, fault_points: ports.FaultPoints) -> None:
        self._disk = disk
        self.storage = storage.Storage(disk, fault_points)
        # A replica with a vote was once erased from this disk.
        self.voted_before = False
        # Whether the content of the disk is known after the last write.
        self.content_known = True
        # The error of the last write, or an empty string.
        self.fault = ""
        # Number of the replica on this disk, counted since the process started.
        self._incarnation = 0
        # Writes in progress, by key, with the time at which each one started.
        self._write_started_at: dict[str, float] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def disk_fault(self) -> str:
        """Why nothing can be written at present, or an empty string."""
        if self.fault:
            return self.fault
        return "a write is stalled" if self.stalled() else ""

    def stalled(self) -> bool:
        """Whether a write has been in progress for longer than a working disk would take."""
        return bool(self._write_started_at) and _now() - min(self._write_started_at.values()) > STALL_S

    async def open(self) -> dict[str, typing.Any]:
        """Reads every record; raises `OSError` if the disk does not work."""
        records = await self._disk.run(self.storage.open)
        self.voted_before = await self._disk.run(self.storage.voted_before)
        return records

    async def put(self, key: str, record: typing.Any) -> None:
        """Makes a record durable; after a failure with an unknown result nothing more is written."""
        if not self.content_known:
            raise OSError(self.fault)
        incarnation = self._incarnation

        def write() -> None:
            # The write may have waited for a thread: none may follow an erasure.
            if incarnation != self._incarnation:
                raise ErasedError("the replica was erased")
            self.storage.put(key, record)

        await self._run_write(key, write)
        self.fault = ""

    async def erase(self) -> None:
        """Deletes every record; writes requested earlier that have not started are not made any more."""
        self._incarnation += 1
        # Writes have threads of their own, and none may run concurrently with the erasure.
        await self._idle.wait()
        if not self.content_known:
            raise OSError(self.fault)
        self.voted_before = True
        await self._run_write(ERASURE, self.storage.erase)

    async def _run_write(self, name: str, operation: typing.Callable[[], None]) -> None:
        self._write_started_at[name] = _now()
        self._idle.clear()
        try:
            await self._disk.run(operation)
        except ErasedError:
            raise
        except storage.NotWrittenError as error:
            # The older record is in force; a later write may find free space again.
            self.fault = str(error)
            raise
        except OSError as error:
            self.fault = str(error)
            self.content_known = False
            raise
        except asyncio.CancelledError:
            # The disk may still be executing the write: its final content is unknown.
            self.fault = "a write was cut off"
            self.content_known = False
            raise
        finally:
            self._write_started_at.pop(name, None)
            if not self._write_started_at:
                self._idle.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
