"""Ends the processes of a test fleet when its driver has died or its time limit is reached.

Registries, stores and proxies run until they get a signal to stop, which a killed driver can't
send. The driver writes their process ids to this process's input, one a line, and when the input
closes, this process signals them.
"""

import os
import pathlib
import select
import signal
import sys
import time


def is_own_process(pid: int) -> bool:
    """Return whether the process with this id belongs to dykeswitch, since ids are reused."""
    try:
        return b"dykeswitch" in pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False


def main() -> None:
    """Read process ids until the input closes or the time limit is reached, then end them."""
    deadline = time.monotonic() + float(sys.argv[1])
    pids: list[int] = []
    while (remaining_s := deadline - time.monotonic()) > 0:
        if not select.select([sys.stdin], [], [], remaining_s)[0]:
            break
        line = sys.stdin.readline()
        if not line:
            break
        pids.append(int(line))
    for pid in pids:
        if is_own_process(pid):
            os.kill(pid, signal.SIGTERM)


if __name__ == "__main__":
    main()
