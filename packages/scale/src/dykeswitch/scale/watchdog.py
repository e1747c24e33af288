"""Ends the processes of a test fleet when its driver is gone or its time is over.

The three programs run until told to stop. A driver that is killed can tell nobody: this
process is told their ids line by line, and when its input closes it tells them.
"""

import os
import pathlib
import select
import signal
import sys
import time


def ours(pid: int) -> bool:
    """Whether a process by this id still is one of ours: ids are used again."""
    try:
        return b"dykeswitch" in pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False


def main() -> None:
    """Read process ids until the input closes or the time is over; then end them."""
    end = time.monotonic() + float(sys.argv[1])
    pids: list[int] = []
    while (left := end - time.monotonic()) > 0:
        if not select.select([sys.stdin], [], [], left)[0]:
            break
        line = sys.stdin.readline()
        if not line:
            break
        pids.append(int(line))
    for pid in pids:
        if ours(pid):
            os.kill(pid, signal.SIGTERM)


if __name__ == "__main__":
    main()
