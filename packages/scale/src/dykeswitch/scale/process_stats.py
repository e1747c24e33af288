"""What the machine says of a process: processor time, waits for a core, memory."""

import dataclasses
import pathlib

PAGE_KB = 1024.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One look at a process: seconds on a core, seconds of waiting for one, megabytes."""

    run_s: float
    wait_s: float
    memory_mb: float


def read(pid: int) -> Reading:
    """A process as it is now; raises OSError when it is gone.

    The scheduler's own book is read for each thread: it counts nanoseconds, and also for how
    long a thread stood ready while no core was free, which tells when a figure is the
    machine's rather than the program's.
    """
    home = pathlib.Path(f"/proc/{pid}")
    run = wait = 0
    for task in (home / "task").iterdir():
        try:
            spent, stood, _ = (task / "schedstat").read_text().split()
        except (FileNotFoundError, ProcessLookupError):
            # A thread that ended between the two looks.
            continue
        run += int(spent)
        wait += int(stood)
    memory = 0.0
    for line in (home / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            memory = int(line.split()[1]) / PAGE_KB
    return Reading(run / 1e9, wait / 1e9, memory)
