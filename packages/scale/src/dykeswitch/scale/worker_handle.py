"""The driver's handle of one worker process."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import typing

Page = dict[str, typing.Any]

# Members of a worker share a process; so many of them at most. Fifteen proxies in one process
# stood in each other's way at 120 endpoints, and what was measured was their waiting.
MEMBERS_PER_WORKER: typing.Final = {"proxy": 8, "endpoint": 100}
START_S: typing.Final = 150.0
# However a run goes, its processes are gone after this.
RUN_MOST_S: typing.Final = 400.0


class WorkerHandle:
    """One worker's process, spoken to by lines."""

    def __init__(self, name: str, spec: Page, folder: pathlib.Path) -> None:
        self.name = name
        self.spec = {**spec, "span_s": RUN_MOST_S}
        self._folder = folder
        self._turn = 0
        self._lock = asyncio.Lock()
        self._run: asyncio.subprocess.Process | None = None
        self.base_mb = 0.0
        self.begun = 0.0

    @property
    def size(self) -> int:
        """How many members it runs."""
        return len(self.spec["members"])

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self._run is not None
        return self._run.pid

    @property
    def events(self) -> pathlib.Path:
        """The file to which its members write what they saw."""
        return self._folder / f"{self.name}-{self._turn}.events"

    async def start(self) -> None:
        """Start it, as many times as it takes: each start has a book of its own."""
        self._turn += 1
        self.begun = asyncio.get_running_loop().time()
        path = self._folder / f"{self.name}-{self._turn}.spec"
        path.write_text(json.dumps({**self.spec, "events": str(self.events)}))
        with (self._folder / f"{self.name}.log").open("ab") as out:
            self._run = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dykeswitch.scale.worker",
                str(path),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
                limit=2**20,
            )
        hello = await self._read()
        self.base_mb = float(hello["memory_mb"])

    async def _read(self) -> Page:
        assert self._run is not None and self._run.stdout is not None
        line = await asyncio.wait_for(self._run.stdout.readline(), START_S)
        if not line:
            raise OSError(f"{self.name} ended; see its log")
        page: Page = json.loads(line)
        return page

    async def ask(self, **ask: typing.Any) -> Page:
        """One question and its answer, in order."""
        assert self._run is not None and self._run.stdin is not None
        async with self._lock:
            self._run.stdin.write(json.dumps(ask).encode() + b"\n")
            await self._run.stdin.drain()
            return await self._read()

    def lines(self) -> list[list[typing.Any]]:
        """What its members wrote down since it was started last."""
        if not self.events.exists():
            return []
        # A killed process may leave half a line.
        whole = self.events.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in whole.splitlines()]

    def ended(self) -> bool:
        """Whether its process is not running."""
        return self._run is None or self._run.returncode is not None

    async def end(self, sign: int = signal.SIGTERM) -> None:
        """End this very process, by its id, and wait for that."""
        run = self._run
        if run is None or run.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            run.send_signal(sign)
        try:
            await asyncio.wait_for(run.wait(), 10)
        except TimeoutError:
            run.kill()
            await run.wait()
