"""The plan of the sweeps.

One variable at a time varies around a base size; two vary together where a product is expected.
A turn is one pass over all the sizes; the command repeats the turns.
"""

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

JsonObject = dict[str, typing.Any]

RUN_TIMEOUT_S: typing.Final = worker_handles.MAX_RUN_S * 0.9
BASE: typing.Final = Size(nodes=16, endpoints=60, services=10, rules=100)

# The sizes of each sweep; the base size is a point of every sweep.
SWEEPS: typing.Final[dict[str, tuple[Size, ...]]] = {
    "base": (BASE,),
    "nodes": tuple(dataclasses.replace(BASE, nodes=n) for n in (8, 24, 40)),
    "endpoints": tuple(dataclasses.replace(BASE, endpoints=n) for n in (30, 120, 240)),
    "changes": tuple(dataclasses.replace(BASE, changes=n) for n in (15, 30, 60)),
    "marks": tuple(dataclasses.replace(BASE, marks=n) for n in (60, 120, 240)),
    "rules": tuple(dataclasses.replace(BASE, rules=n) for n in (1000, 4000, 8000)),
    "services": tuple(dataclasses.replace(BASE, services=n) for n in (30, 60)),
    "cores": tuple(dataclasses.replace(BASE, cores=n) for n in (1, 5)),
    # Two variables at a time, where one is likely to multiply the effect of the other.
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
    """Append one record to the file as a line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("a") as out:
        out.write(json.dumps(record) + "\n")


def read(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Return every record of a file."""
    return [json.loads(line) for line in path.read_text().splitlines() if line]


async def run_with_time_limit(work: typing.Coroutine[typing.Any, typing.Any, JsonObject]) -> JsonObject:
    """Run with a time limit, and cancel the run for an orderly stop on SIGTERM."""
    task = asyncio.create_task(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return await task


def run(
    sweeps: typing.Sequence[str], turns: typing.Sequence[int], path: pathlib.Path, simulated: bool = False
) -> int:
    """Run sweeps turn by turn, append a record of each run, and return how many runs failed."""
    failed = 0
    # Turn by turn, so that other load on the machine affects all sizes alike.
    for turn in turns:
        for sweep in sweeps:
            for size in SWEEPS[sweep]:
                try:
                    if simulated:
                        record = simulations.run(sweep, size, turn)
                    else:
                        record = asyncio.run(run_with_time_limit(measure.run(sweep, size, turn)))
                except (OSError, TimeoutError) as error:
                    # A size that exceeds this machine is recorded as failed instead of being left out.
                    failed += 1
                    record = {"kind": "failed", "sweep": sweep, "turn": turn}
                    record.update(
                        commit=measure.commit(),
                        size=dataclasses.asdict(size),
                        why=f"{type(error).__name__} {error}"[:200],
                    )
                write(path, record)
                sys.stderr.write(f"{sweep} {turn} {record['size']}: {record['kind']}\n")
    return failed
