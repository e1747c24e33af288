"""The plan: one variable at a time round a base, and crosses where a product is to be expected."""

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys
import typing

import dykeswitch.scale.measure as measure
import dykeswitch.scale.simulated as simulations
import dykeswitch.scale.worker_handle as worker_handles
from dykeswitch.scale.size import Size

Page = dict[str, typing.Any]

RUN_MOST_S: typing.Final = worker_handles.RUN_MOST_S * 0.9
BASE: typing.Final = Size(nodes=16, endpoints=60, services=10, rules=100)

# For each sweep the sizes it visits; the base belongs to every one of them.
SWEEPS: typing.Final[dict[str, tuple[Size, ...]]] = {
    "base": (BASE,),
    "nodes": tuple(dataclasses.replace(BASE, nodes=n) for n in (8, 24, 40)),
    "endpoints": tuple(dataclasses.replace(BASE, endpoints=n) for n in (30, 120, 240)),
    "changes": tuple(dataclasses.replace(BASE, changes=n) for n in (15, 30, 60)),
    "marks": tuple(dataclasses.replace(BASE, marks=n) for n in (60, 120, 240)),
    "rules": tuple(dataclasses.replace(BASE, rules=n) for n in (1000, 4000, 8000)),
    "services": tuple(dataclasses.replace(BASE, services=n) for n in (30, 60)),
    "cores": tuple(dataclasses.replace(BASE, cores=n) for n in (1, 5)),
    # Two at a time, where one variable is likely to multiply the other.
    "cross": (
        dataclasses.replace(BASE, nodes=24, endpoints=120),
        dataclasses.replace(BASE, rules=1000, changes=30),
        dataclasses.replace(BASE, rules=4000, changes=30),
        dataclasses.replace(BASE, nodes=24, changes=30),
        dataclasses.replace(BASE, nodes=24, marks=120),
        dataclasses.replace(BASE, cores=5, endpoints=120),
    ),
}


def write(path: pathlib.Path, record: dict[str, typing.Any]) -> None:
    """One record as a line of its own."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("a") as out:
        out.write(json.dumps(record) + "\n")


def read(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Every record of a file."""
    return [json.loads(line) for line in path.read_text().splitlines() if line]


async def bounded(work: typing.Coroutine[typing.Any, typing.Any, Page]) -> Page:
    """A run that ends in time, and in order when this process is told to end."""
    task = asyncio.create_task(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(RUN_MOST_S):
        return await task


def run(
    sweeps: typing.Sequence[str], turns: typing.Sequence[int], path: pathlib.Path, simulated: bool = False
) -> int:
    """Run sweeps turn by turn, each run a line in the file; how many failed."""
    failed = 0
    # Turn by turn, so that what the machine does meanwhile falls on all sizes alike.
    for turn in turns:
        for sweep in sweeps:
            for size in SWEEPS[sweep]:
                try:
                    if simulated:
                        record = simulations.run(sweep, size, turn)
                    else:
                        record = asyncio.run(bounded(measure.run(sweep, size, turn)))
                except (OSError, TimeoutError) as flaw:
                    # A size that this machine can't carry is told, never left out in silence.
                    failed += 1
                    record = {"kind": "failed", "sweep": sweep, "turn": turn}
                    record.update(
                        commit=measure.commit(),
                        size=dataclasses.asdict(size),
                        why=f"{type(flaw).__name__} {flaw}"[:200],
                    )
                write(path, record)
                sys.stderr.write(f"{sweep} {turn} {record['size']}: {record['kind']}\n")
    return failed
