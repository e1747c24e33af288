"""The driver's handle to one worker process."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import typing

JsonObject = dict[str, typing.Any]

# Members of a worker share a process. With fifteen proxies in one process and 120 endpoints, the
# proxies delayed each other and the run measured their waiting.
MAX_MEMBERS_PER_WORKER: typing.Final = {"proxy": 8, "endpoint": 100}
START_TIMEOUT_S: typing.Final = 150.0
# All processes of a run end after this time, whatever happens.
MAX_RUN_S: typing.Final = 400.0


class WorkerHandle:
    """A worker process that exchanges JSON lines with the driver."""

    def __init__(self, name: str, spec: JsonObject, folder: pathlib.Path) -> None:
        self.name = name
        self.spec = {**spec, "span_s": MAX_RUN_S}
        self._folder = folder
        self._turn = 0
        self._lock = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self.base_mb = 0.0
        self.started_at = 0.0

    @property
    def size(self) -> int:
        """The number of its members."""
        return len(self.spec["members"])

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def events_path(self) -> pathlib.Path:
        """The file to which its members write events."""
        return self._folder / f"{self.name}-{self._turn}.events"

    async def start(self) -> None:
        """Start the process; each restart has its own file of events."""
        self._turn += 1
        self.started_at = asyncio.get_running_loop().time()
        path = self._folder / f"{self.name}-{self._turn}.spec"
        path.write_text(json.dumps({**self.spec, "events": str(self.events_path)}))
        with (self._folder / f"{self.name}.log").open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dykeswitch.scale.worker",
                str(path),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
                limit=2**20,
            )
        first_message = await self._read()
        self.base_mb = float(first_message["memory_mb"])

    async def _read(self) -> JsonObject:
        assert self._process is not None and self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise OSError(f"{self.name} ended; see its log")
        reply: JsonObject = json.loads(line)
        return reply

    async def call(self, **request: typing.Any) -> JsonObject:
        """Send one request and return its reply; requests run one after another."""
        assert self._process is not None and self._process.stdin is not None
        async with self._lock:
            self._process.stdin.write(json.dumps(request).encode() + b"\n")
            await self._process.stdin.drain()
            return await self._read()

    def read_events(self) -> list[list[typing.Any]]:
        """Return the events that its members wrote since the last start."""
        if not self.events_path.exists():
            return []
        # A killed process can leave an incomplete last line.
        complete = self.events_path.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in complete.splitlines()]

    def ended(self) -> bool:
        """Return whether its process isn't running."""
        return self._process is None or self._process.returncode is not None

    async def terminate(self, signal_number: int = signal.SIGTERM) -> None:
        """Signal the process by its id and wait until it has ended; kill it after 10 s."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), 10)
        except TimeoutError:
            process.kill()
            await process.wait()
