"""Resource usage of the processes of a real fleet: memory, descriptors, requests in progress."""

import dataclasses
import pathlib
import re
import typing

import dykeswitch.standin.fleet as real

PAGE_BYTES: typing.Final = 4096
# How much more than before the acts a process may use after the calm period: a factor plus a constant,
# since interpreters keep some memory, and there are endpoints and members that were not there before.
MEMORY_FACTOR: typing.Final = 1.5
MEMORY_SLACK_BYTES: typing.Final = 48 * 1024 * 1024
DESCRIPTORS_FACTOR: typing.Final = 1.5
DESCRIPTORS_SLACK: typing.Final = 64
IN_PROGRESS: typing.Final = re.compile(rb"exchanges_at_work\S*\s+([0-9.]+)")


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource usage of all processes of a fleet at one time."""

    at: float
    processes: int
    memory_bytes: int
    descriptors: int
    # For each program the maximum of any of its processes: memory in bytes, descriptors.
    max_by_program: dict[str, tuple[int, int]]


def measure(fleet: real.Fleet, now: float) -> ResourceUsage:
    """Measure every running process."""
    max_by_program: dict[str, tuple[int, int]] = {}
    processes = memory = descriptors = 0
    for process in fleet.processes():
        if not process.running():
            continue
        usage = _process_usage(process.pid)
        if usage is None:
            continue
        processes += 1
        memory += usage[0]
        descriptors += usage[1]
        maximum = max_by_program.get(process.command, (0, 0))
        max_by_program[process.command] = (max(maximum[0], usage[0]), max(maximum[1], usage[1]))
    return ResourceUsage(now, processes, memory, descriptors, max_by_program)


def _process_usage(pid: int) -> tuple[int, int] | None:
    """Return memory in bytes and descriptors of a process, or None if it has exited."""
    proc_folder = pathlib.Path(f"/proc/{pid}")
    try:
        pages = int((proc_folder / "statm").read_text().split()[1])
        return pages * PAGE_BYTES, sum(1 for _ in (proc_folder / "fd").iterdir())
    except (OSError, IndexError, ValueError):
        return None


def find_growth(before: ResourceUsage, after: ResourceUsage) -> list[str]:
    """Return a message for each program whose usage has not returned to its earlier level."""
    messages = []
    for program, (memory, descriptors) in after.max_by_program.items():
        memory_before, descriptors_before = before.max_by_program.get(program, (0, 0))
        if memory > memory_before * MEMORY_FACTOR + MEMORY_SLACK_BYTES:
            messages.append(f"a {program} uses {memory} bytes of memory, {memory_before} before")
        if descriptors > descriptors_before * DESCRIPTORS_FACTOR + DESCRIPTORS_SLACK:
            messages.append(f"a {program} has {descriptors} descriptors, {descriptors_before} before")
    return messages


async def find_active_requests(fleet: real.Fleet) -> list[str]:
    """Return a message for each proxy that has requests in progress although no client is waiting."""
    messages = []
    for proxy in fleet.proxies:
        try:
            response = await fleet.machine.web.request("GET", proxy.web, "/-/counters", [], b"", 5.0)
        except (OSError, TimeoutError) as error:
            messages.append(f"{proxy.name} returned no counters after the calm period: {error}")
            continue
        match = IN_PROGRESS.search(response.body)
        if match is None or float(match.group(1)) != 0:
            messages.append(
                f"{proxy.name} has requests in progress but no client: {match and match.group(1)!r}"
            )
    return messages
