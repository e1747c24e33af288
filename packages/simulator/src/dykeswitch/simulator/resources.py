"""What the processes of a real fleet hold: memory, descriptors, requests at work."""

import dataclasses
import pathlib
import re
import typing

import dykeswitch.standin.fleet as real

PAGE_BYTES: typing.Final = 4096
# How much more than before the acts a program may hold after the calm: a factor, and so much besides,
# as interpreters keep some memory, and endpoints and members came that were not there before.
MEMORY_FACTOR: typing.Final = 1.5
MEMORY_SLACK_BYTES: typing.Final = 48 * 1024 * 1024
DESCRIPTORS_FACTOR: typing.Final = 1.5
DESCRIPTORS_SLACK: typing.Final = 64
AT_WORK: typing.Final = re.compile(rb"exchanges_at_work\S*\s+([0-9.]+)")


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What all processes of a fleet held at one moment."""

    at: float
    processes: int
    memory_bytes: int
    descriptors: int
    # The most that one process of each program holds: memory in bytes, descriptors.
    worst: dict[str, tuple[int, int]]


def look(fleet: real.Fleet, now: float) -> Held:
    """Look at every running process."""
    worst: dict[str, tuple[int, int]] = {}
    processes = memory = descriptors = 0
    for process in fleet.processes():
        if not process.running():
            continue
        held = _of(process.pid)
        if held is None:
            continue
        processes += 1
        memory += held[0]
        descriptors += held[1]
        before = worst.get(process.command, (0, 0))
        worst[process.command] = (max(before[0], held[0]), max(before[1], held[1]))
    return Held(now, processes, memory, descriptors, worst)


def _of(pid: int) -> tuple[int, int] | None:
    """Memory (bytes) and descriptors of a process; nothing once it is gone."""
    folder = pathlib.Path(f"/proc/{pid}")
    try:
        pages = int((folder / "statm").read_text().split()[1])
        return pages * PAGE_BYTES, sum(1 for _ in (folder / "fd").iterdir())
    except (OSError, IndexError, ValueError):
        return None


def grown(base: Held, last: Held) -> list[str]:
    """What has not come back to its level."""
    found = []
    for program, (memory, descriptors) in last.worst.items():
        memory_before, descriptors_before = base.worst.get(program, (0, 0))
        if memory > memory_before * MEMORY_FACTOR + MEMORY_SLACK_BYTES:
            found.append(f"a {program} holds {memory} bytes of memory, {memory_before} before")
        if descriptors > descriptors_before * DESCRIPTORS_FACTOR + DESCRIPTORS_SLACK:
            found.append(f"a {program} has {descriptors} descriptors, {descriptors_before} before")
    return found


async def still_at_work(fleet: real.Fleet) -> list[str]:
    """Proxies that have requests at work although no caller waits any more."""
    found = []
    for proxy in fleet.proxies:
        try:
            reply = await fleet.machine.web.request("GET", proxy.web, "/-/counters", [], b"", 5.0)
        except (OSError, TimeoutError) as flaw:
            found.append(f"{proxy.name} tells no counts after the calm: {flaw}")
            continue
        told = AT_WORK.search(reply.body)
        if told is None or float(told.group(1)) != 0:
            found.append(f"{proxy.name} has requests at work and no caller: {told and told.group(1)!r}")
    return found
