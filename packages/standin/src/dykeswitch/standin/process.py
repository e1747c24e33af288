"""Programs and stand-in endpoints as processes of their own."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import typing

# What a program's log says once it serves.
STARTED: typing.Final = b'"event": "started"'
# Signals that end a program, sooner or later.
ENDING: typing.Final = (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)


class Process:
    """One program running as a process of its own."""

    def __init__(self, word: str, name: str, flags: dict[str, str], folder: pathlib.Path) -> None:
        self.word = word
        self.name = name
        self.flags = flags
        self._folder = folder
        self._run: subprocess.Popen[bytes] | None = None
        # Whether it was sent a signal that ends it since it was started last.
        self.told_to_end = False
        # Where in its log its present life begins.
        self._log_begins = 0

    @property
    def web(self) -> str:
        """The address of its web server, if it has one."""
        return self.flags.get("web", "")

    @property
    def pid(self) -> int:
        """The id of the process that was started last."""
        assert self._run is not None
        return self._run.pid

    @property
    def log(self) -> pathlib.Path:
        """The file that takes its output."""
        return self._folder / f"{self.name}.log"

    def _args(self) -> list[str]:
        args = [sys.executable, "-m", "dykeswitch.cli.main", self.word]
        for key, text in self.flags.items():
            args += ["--" + key.replace("_", "-"), text]
        return args

    def start(self) -> None:
        """Start it; its output is added to its log."""
        args = self._args()
        self.told_to_end = False
        self._log_begins = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as out:
            self._run = subprocess.Popen(args, stdout=out, stderr=out, stdin=subprocess.DEVNULL)

    def tell(self, sign: int) -> None:
        """Send it a signal, if it runs."""
        if self._run is not None and self._run.poll() is None:
            self.told_to_end = self.told_to_end or sign in ENDING
            self._run.send_signal(sign)

    def is_up(self) -> bool:
        """Whether it has said, since it was started last, that it serves."""
        if not self.log.exists():
            return False
        with self.log.open("rb") as log:
            log.seek(self._log_begins)
            return any(STARTED in line for line in log)

    @property
    def code(self) -> int | None:
        """With what it ended, if it was started and has."""
        return None if self._run is None else self._run.poll()

    @property
    def started(self) -> bool:
        """Whether it was ever started."""
        return self._run is not None

    def running(self) -> bool:
        """Whether it runs."""
        return self._run is not None and self._run.poll() is None

    async def gone(self, wait: float) -> int | None:
        """Wait for the end; its exit code."""
        assert self._run is not None
        run = self._run
        try:
            return await asyncio.to_thread(run.wait, wait)
        except subprocess.TimeoutExpired:
            return None


class Host(Process):
    """A stand-in endpoint as a process."""

    def __init__(self, name: str, spec: dict[str, typing.Any], folder: pathlib.Path) -> None:
        super().__init__("endpoint", name, {}, folder)
        self.spec = {**spec, "name": name, "runs": str(folder / f"{name}.runs")}

    def _args(self) -> list[str]:
        return [sys.executable, "-m", "dykeswitch.standin.host", json.dumps(self.spec)]

    def lines(self) -> list[tuple[str, float, str]]:
        """What it wrote down: hits, runs, and when its leaving was heard."""
        path = pathlib.Path(self.spec["runs"])
        if not path.exists():
            return []
        # A killed process may leave half a line.
        whole = path.read_text().rpartition("\n")[0]
        return [tuple(json.loads(line)) for line in whole.splitlines()]
