"""Reads the resource usage of a process from /proc: processor time, run-queue wait, memory."""

import dataclasses
import pathlib

KB_PER_MB = 1024.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The usage of a process so far: seconds on a core, seconds of waiting for one, megabytes."""

    run_s: float
    wait_s: float
    memory_mb: float


def read(pid: int) -> Reading:
    """Read the current usage of a process; raises OSError if it has ended.

    The scheduler's statistics are read for each thread. They are in nanoseconds and include the
    time that a thread was runnable while no core was free, which shows when a figure reflects the
    load of the machine rather than the program.
    """
    process_dir = pathlib.Path(f"/proc/{pid}")
    run_ns = wait_ns = 0
    for task in (process_dir / "task").iterdir():
        try:
            ran, waited, _ = (task / "schedstat").read_text().split()
        except (FileNotFoundError, ProcessLookupError):
            # The thread ended after the directory was listed.
            continue
        run_ns += int(ran)
        wait_ns += int(waited)
    memory_mb = 0.0
    for line in (process_dir / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            memory_mb = int(line.split()[1]) / KB_PER_MB
    return Reading(run_ns / 1e9, wait_ns / 1e9, memory_mb)
