"""Measures for how long the register is exposed after the loss of a core, in simulated time.

A fleet is *exposed* while the loss of one more core machine could leave the register without a
majority, and *degraded* while it can survive fewer losses than it is configured for. Run
`python -m dykeswitch.simulator.exposure` for the table of docs/control-safety.md.
"""

import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import typing

import dykeswitch.language as language
import dykeswitch.register as register
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.standin.shape as shapes

PAGES: typing.Final = shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.02)
ZONES: typing.Final = ("z1", "z2", "z3", "z4", "z5")
# How often the state of the voters is sampled.
SAMPLE_S: typing.Final = 0.02
# How many seconds after its loss a machine is back, or its replacement is started.
BACK_S: typing.Final = 1.0
WATCH_S: typing.Final = 20.0
GRACE_S: typing.Final = 6.0


def spare_votes(fleet: fleets.SimFleet) -> int:
    """Return how many more voters may be lost before a group of the member set has no majority.

    Negative if a group has no majority now.
    """
    stores = [core.store for core in fleet.cores]
    voters = [
        s.daemon.voter for s in stores if s.up and s.daemon is not None and not s.daemon.voter.disk_fault
    ]
    if not voters:
        return -1
    members: register.MemberSet = max((v.members for v in voters), key=lambda member_set: member_set.epoch)
    answering = {v.disk_id for v in voters}
    return min(
        (sum(disk in answering for disk, _ in group) - (len(group) // 2 + 1) for group in members.groups),
        default=-1,
    )


@dataclasses.dataclass(slots=True)
class Exposure:
    """The result of one loss: durations in seconds, counted from the loss."""

    exposed_s: float = 0.0
    degraded_s: float = 0.0
    # From the return of the machine until as many losses could be survived as before.
    after_return_s: float = 0.0
    stopped_s: float = 0.0


Event = typing.Callable[[fleets.SimFleet, machines.Core], typing.Coroutine[typing.Any, typing.Any, None]]


async def restart(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Kill both processes of a core, and restart them with their disk."""
    core.registry.kill()
    core.store.kill()
    await asyncio.sleep(BACK_S)
    core.store.restart()
    core.registry.restart()


async def wipe(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Cut a core's power and replace its disk; it restarts empty at the same address."""
    core.registry.lose_power()
    core.store.lose_power()
    core.store.wipe()
    await asyncio.sleep(BACK_S)
    core.store.restart()
    core.registry.restart()


def successor(fleet: fleets.SimFleet, old: machines.Core, name: str = "core-new") -> machines.Core:
    """Start an empty core in the zone of the old one, at addresses of its own."""
    position = fleet.cores.index(old)
    address = fleet.world.address
    fresh = fleet.core(name, position, address(), address())
    fleet.cores.append(fresh)
    fresh.store.start()
    fresh.registry.start()
    return fresh


async def replace(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Switch a core off for good, and start an empty one at another address."""
    core.registry.lose_power()
    core.store.lose_power()
    await asyncio.sleep(BACK_S)
    successor(fleet, core)


async def replace_in_order(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Start an empty core first; then stop the old one in order, for good."""
    successor(fleet, core)
    await asyncio.sleep(BACK_S)
    await asyncio.gather(core.registry.stop(GRACE_S), core.store.stop(GRACE_S))


EVENTS: typing.Final[dict[str, Event]] = {
    "restart": restart,
    "wipe": wipe,
    "replace": replace,
    "replace in order": replace_in_order,
}


async def measure(
    event: Event, cores: int, losses: int, victim: int, seed: int, scratch: pathlib.Path
) -> Exposure:
    """Apply one loss to a fleet without traffic, and watch its voters."""
    shape = shapes.Shape("exposure", 2, cores, ZONES, (PAGES,))
    fleet = fleets.SimFleet(shape, seed, scratch, bounds={"cores_lost": losses}, known=fleets.FOUNDER_COUNT)
    await fleet.start()
    await fleet.until(lambda: spare_votes(fleet) >= losses, 30, "the configured losses can be survived")
    await asyncio.sleep(5.0 + 0.1 * seed)
    exposure = Exposure()
    started_at = fleet.clock.now()
    task = fleet.spawn(event(fleet, fleet.cores[victim]))
    while fleet.clock.now() - started_at < WATCH_S:
        await asyncio.sleep(SAMPLE_S)
        elapsed_s = fleet.clock.now() - started_at
        spare = spare_votes(fleet)
        if spare < losses:
            exposure.degraded_s = elapsed_s
            exposure.after_return_s = max(0.0, elapsed_s - BACK_S)
        if spare < 1:
            exposure.exposed_s += SAMPLE_S
        if spare < 0:
            exposure.stopped_s += SAMPLE_S
    await task
    return exposure


def table(seeds: typing.Sequence[int]) -> list[list[object]]:
    """Return a row for each kind of loss and number of cores: the worst over victims and seeds."""
    rows: list[list[object]] = []
    for cores, losses in ((3, 1), (5, 2)):
        for name, event in EVENTS.items():
            measured = []
            for seed in seeds:
                for victim in range(cores):
                    with tempfile.TemporaryDirectory() as scratch:
                        work = measure(event, cores, losses, victim, seed, pathlib.Path(scratch))
                        measured.append(loops.run(work))
            degraded = [exposure.degraded_s for exposure in measured]
            rows.append(
                [
                    cores,
                    name,
                    len(measured),
                    f"{max(exposure.exposed_s for exposure in measured):.2f}",
                    f"{sum(degraded) / len(degraded):.2f}",
                    f"{max(degraded):.2f}",
                    f"{max(exposure.after_return_s for exposure in measured):.2f}",
                    f"{max(exposure.stopped_s for exposure in measured):.2f}",
                ]
            )
    return rows


COLUMNS: typing.Final = (
    "cores",
    "loss",
    "runs",
    "exposed max s",
    "degraded mean s",
    "degraded max s",
    "after return max s",
    "without majority s",
)

if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    sys.stdout.write(language.table(COLUMNS, table(range(1, count + 1))) + "\n")
