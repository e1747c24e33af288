"""Programs and stand-in endpoints as processes of their own."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import typing

# What the log of a program contains once it serves.
STARTED: typing.Final = b'"event": "started"'
# Signals that end a program, sooner or later.
END_SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)


class Process:
    """One program as a process of its own."""

    def __init__(self, command: str, name: str, flags: dict[str, str], folder: pathlib.Path) -> None:
        self.command = command
        self.name = name
        self.flags = flags
        self._folder = folder
        self._run: subprocess.Popen[bytes] | None = None
        # Whether it was sent a signal that ends it since its last start.
        self.end_requested = False
        # Where the output since its last start begins in its log.
        self._log_offset = 0

    @property
    def web(self) -> str:
        """The address of its web server, if it has one."""
        return self.flags.get("web", "")

    @property
    def pid(self) -> int:
        """The process id of its last start."""
        assert self._run is not None
        return self._run.pid

    @property
    def log(self) -> pathlib.Path:
        """The file that its output goes to."""
        return self._folder / f"{self.name}.log"

    def _args(self) -> list[str]:
        args = [sys.executable, "-m", "dykeswitch.cli.main", self.command]
        for key, text in self.flags.items():
            args += ["--" + key.replace("_", "-"), text]
        return args

    def start(self) -> None:
        """Start it; its output is appended to its log."""
        args = self._args()
        self.end_requested = False
        self._log_offset = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as out:
            self._run = subprocess.Popen(args, stdout=out, stderr=out, stdin=subprocess.DEVNULL)

    def send_signal(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self._run is not None and self._run.poll() is None:
            self.end_requested = self.end_requested or number in END_SIGNALS
            self._run.send_signal(number)

    def is_up(self) -> bool:
        """Whether it has logged since its last start that it serves."""
        if not self.log.exists():
            return False
        with self.log.open("rb") as log:
            log.seek(self._log_offset)
            return any(STARTED in line for line in log)

    @property
    def exit_code(self) -> int | None:
        """Its exit code, if it was started and has ended."""
        return None if self._run is None else self._run.poll()

    @property
    def started(self) -> bool:
        """Whether it was ever started."""
        return self._run is not None

    def running(self) -> bool:
        """Whether it runs."""
        return self._run is not None and self._run.poll() is None

    async def wait_exit(self, timeout_s: float) -> int | None:
        """Wait for its end; return its exit code, or None if it still runs after the timeout."""
        assert self._run is not None
        run = self._run
        try:
            return await asyncio.to_thread(run.wait, timeout_s)
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
        """Return what it logged: arrivals, executions, and when a registry had acknowledged its leaving."""
        path = pathlib.Path(self.spec["runs"])
        if not path.exists():
            return []
        # A killed process may leave an incomplete last line.
        complete = path.read_text().rpartition("\n")[0]
        return [tuple(json.loads(line)) for line in complete.splitlines()]
