"""How long the store of the register is exposed after a loss, in simulated time.

A fleet is *exposed* while the loss of one more core machine could leave the register
without a majority, and *degraded* while it bears fewer losses than it is meant to. Run as
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
# When a machine, or the one in its place, is there again.
BACK_S: typing.Final = 1.0
WATCH_S: typing.Final = 20.0
GRACE_S: typing.Final = 6.0


def spare_votes(fleet: fleets.SimFleet) -> int:
    """How many more voters may be lost before a group of the set in force has no majority.

    Negative where a group has none by now.
    """
    stores = [core.store for core in fleet.cores]
    voters = [
        s.daemon.voter for s in stores if s.up and s.daemon is not None and not s.daemon.voter.disk_fault
    ]
    if not voters:
        return -1
    members: register.MemberSet = max((v.members for v in voters), key=lambda held: held.epoch)
    answering = {v.disk_id for v in voters}
    return min(
        (sum(disk in answering for disk, _ in group) - (len(group) // 2 + 1) for group in members.groups),
        default=-1,
    )


@dataclasses.dataclass(slots=True)
class Exposure:
    """What was measured after one loss: spans in seconds from the moment of the loss."""

    exposed_s: float = 0.0
    degraded_s: float = 0.0
    # From the moment when a machine was there again until as many losses were borne as before.
    after_return_s: float = 0.0
    stopped_s: float = 0.0


Event = typing.Callable[[fleets.SimFleet, machines.Core], typing.Coroutine[typing.Any, typing.Any, None]]


async def restart(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Both processes are killed, and come back with their disk."""
    core.registry.kill()
    core.store.kill()
    await asyncio.sleep(BACK_S)
    core.store.restart()
    core.registry.restart()


async def wipe(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """The machine loses power and its disk, and comes back empty at its address."""
    core.registry.lose_power()
    core.store.lose_power()
    core.store.wipe()
    await asyncio.sleep(BACK_S)
    core.store.restart()
    core.registry.restart()


def successor(fleet: fleets.SimFleet, old: machines.Core, name: str = "core-new") -> machines.Core:
    """An empty machine in the old one's zone, at addresses of its own."""
    position = fleet.cores.index(old)
    address = fleet.world.address
    fresh = fleet.core(name, position, address(), address())
    fleet.cores.append(fresh)
    fresh.store.start()
    fresh.registry.start()
    return fresh


async def replace(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """The machine goes dark for good; an empty one comes at another address."""
    core.registry.lose_power()
    core.store.lose_power()
    await asyncio.sleep(BACK_S)
    successor(fleet, core)


async def replace_in_order(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """An empty machine comes first; then the old one is asked to stop, and stays away."""
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
    """Play one loss in a fleet at rest, and watch its voters."""
    shape = shapes.Shape("exposure", 2, cores, ZONES, (PAGES,))
    fleet = fleets.SimFleet(shape, seed, scratch, bounds={"cores_lost": losses}, known=fleets.FOUNDERS)
    await fleet.start()
    await fleet.until(lambda: spare_votes(fleet) >= losses, 30, "the losses are borne")
    await asyncio.sleep(5.0 + 0.1 * seed)
    found = Exposure()
    begun = fleet.clock.now()
    task = fleet.spawn(event(fleet, fleet.cores[victim]))
    while fleet.clock.now() - begun < WATCH_S:
        await asyncio.sleep(SAMPLE_S)
        span = fleet.clock.now() - begun
        spare = spare_votes(fleet)
        if spare < losses:
            found.degraded_s = span
            found.after_return_s = max(0.0, span - BACK_S)
        if spare < 1:
            found.exposed_s += SAMPLE_S
        if spare < 0:
            found.stopped_s += SAMPLE_S
    await task
    return found


def table(seeds: typing.Sequence[int]) -> list[list[object]]:
    """One row for each kind of loss and size of core: the worst over victims and seeds."""
    rows: list[list[object]] = []
    for cores, losses in ((3, 1), (5, 2)):
        for name, event in EVENTS.items():
            seen = []
            for seed in seeds:
                for victim in range(cores):
                    with tempfile.TemporaryDirectory() as scratch:
                        work = measure(event, cores, losses, victim, seed, pathlib.Path(scratch))
                        seen.append(loops.run(work))
            degraded = [one.degraded_s for one in seen]
            rows.append(
                [
                    cores,
                    name,
                    len(seen),
                    f"{max(one.exposed_s for one in seen):.2f}",
                    f"{sum(degraded) / len(degraded):.2f}",
                    f"{max(degraded):.2f}",
                    f"{max(one.after_return_s for one in seen):.2f}",
                    f"{max(one.stopped_s for one in seen):.2f}",
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
