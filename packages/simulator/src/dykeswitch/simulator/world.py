"""The simulated world: machines that start, freeze, lose power and come back."""

import asyncio
import contextvars
import pathlib
import random
import typing

import dykeswitch.logs as logs
import dykeswitch.ports as ports
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.net as nets
import dykeswitch.simulator.web as webs

WALL_START: typing.Final = 1_800_000_000.0


class ProcessKilled(BaseException):
    """A fault point took the machine down; nothing may catch it."""


class SimClock:
    """The loop's time, and a wall clock that can be made to jump."""

    def __init__(self, loop: loops.VirtualLoop) -> None:
        self._loop = loop
        self.jump = 0.0

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return WALL_START + self._loop.time() + self.jump

    async def sleep(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s)


class SimFaultPoints:
    """Numbered points; a test arms one of them with what is to happen there."""

    def __init__(self) -> None:
        self.passed: dict[int, int] = {}
        self.armed: dict[int, typing.Callable[[], None]] = {}

    def hit(self, number: int) -> None:
        self.passed[number] = self.passed.get(number, 0) + 1
        call = self.armed.pop(number, None)
        if call is not None:
            call()


class Daemon(typing.Protocol):
    """A program as the world runs it."""

    async def run(self) -> None: ...

    def stop(self) -> None: ...


Build = typing.Callable[[ports.Machine, logs.Log, random.Random], Daemon]


class Node:
    """One program on one simulated machine."""

    def __init__(self, world: "World", program: str, name: str, build: Build) -> None:
        self.world = world
        self.program = program
        self.name = name
        self.build = build
        self.clock = SimClock(world.loop)
        self.fault_points = SimFaultPoints()
        self.host = loops.Host(name)
        self.daemon: typing.Any = None
        self.task: asyncio.Task[None] | None = None
        self.disk: disks.SimDisk | None = None
        self.crash = ""

    @property
    def up(self) -> bool:
        return self.task is not None and not self.host.dead

    def start(self) -> None:
        """Start the program on a machine that is off."""
        self.host = loops.Host(self.name)
        self.daemon = None
        host = self.host
        context = contextvars.Context()
        context.run(loops.HOST.set, host)
        links = self.world.links
        links.off.discard(self.name)
        machine = ports.Machine(
            self.clock, nets.SimNetwork(links, host), webs.SimWeb(links, host), self.fault_points
        )
        log = logs.Log(self.program, self.name, "info", self.clock)
        log.hook = self.world.log
        rng = random.Random(self.world.rng.getrandbits(64))

        async def main() -> None:
            self.daemon = self.build(machine, log, rng)
            try:
                await self.daemon.run()
            except BaseException as flaw:
                # A program that dies by itself is a finding: the checker asks.
                if not host.dead:
                    self.crash = f"{type(flaw).__name__}: {flaw}"
                    host.dead = True
                    links.reset_host(self.name)
                if isinstance(flaw, ProcessKilled | asyncio.CancelledError | KeyboardInterrupt):
                    return
                if not isinstance(flaw, Exception):
                    raise

        self.task = self.world.loop.create_task(main(), context=context)

    def kill(self) -> None:
        """End the process at once; its system tells the other side of each pipe."""
        if self.host.dead:
            return
        self.host.dead = True
        self.host.frozen = False
        self.host.held.clear()
        links = self.world.links
        links.reset_host(self.name)
        links.listeners = {s: e for s, e in links.listeners.items() if e[0] is not self.host}
        links.apps = {s: a for s, a in links.apps.items() if a[0] is not self.host}
        for task in list(self.host.tasks):
            task.cancel()

    def lose_power(self) -> None:
        """The machine goes dark: nobody is told, and unsynced writes are gone."""
        self.world.links.off.add(self.name)
        self.kill()
        if self.disk is not None and not self.disk.dead:
            self.disk.lose_power()

    def restart(self) -> None:
        """Bring the machine back with what its disk still holds."""
        if not self.host.dead:
            self.kill()
        self.world.links.off.discard(self.name)
        # Whoever still holds a pipe to the old run is told so now.
        self.world.links.reset_host(self.name)
        if self.disk is not None:
            self.disk = self.disk.wake()
        self.start()

    def wipe(self) -> None:
        """Swap the disk for an empty one; only while the machine is off."""
        assert self.disk is not None and self.host.dead
        self.disk = disks.SimDisk(self.world.folder(), self.world.rng)

    def freeze(self) -> None:
        self.world.loop.freeze(self.host)

    def thaw(self) -> None:
        self.world.loop.thaw(self.host)

    async def stop(self, grace_s: float) -> bool:
        """The polite signal, then the hard one after the grace; true if it was not needed."""
        assert self.task is not None
        self.daemon.stop()
        done, _ = await asyncio.wait([self.task], timeout=grace_s)
        if not done:
            self.kill()
            return False
        self.host.dead = True
        self.world.links.reset_host(self.name)
        return True


class World:
    """All machines, the wires between them, and one source of chance."""

    def __init__(self, seed: int, scratch: pathlib.Path) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loops.VirtualLoop)
        self.loop = loop
        self.seed = seed
        self.rng = random.Random(seed)
        self.links = nets.SimulatedLinks(loop, random.Random(seed + 1))
        self.nodes: dict[str, Node] = {}
        self.events: list[dict[str, typing.Any]] = []
        self._scratch = scratch
        self._folders = 0
        self._ports = 0

    def log(self, line: dict[str, typing.Any]) -> None:
        self.events.append({**line, "at": round(self.loop.time(), 4)})

    def folder(self) -> pathlib.Path:
        self._folders += 1
        path = self._scratch / f"disk{self._folders}"
        path.mkdir()
        return path

    def address(self) -> ports.Address:
        """A fresh address."""
        self._ports += 1
        return ports.address_of(f"10.1.{self._ports // 250}.{self._ports % 250 + 1}:7000")

    def add(self, program: str, name: str, build: Build) -> Node:
        node = Node(self, program, name, build)
        self.nodes[name] = node
        return node

    def machine_for(self, name: str) -> ports.Machine:
        """The ports of a machine that runs no program of ours."""
        host = loops.Host(name)
        return ports.Machine(
            SimClock(self.loop),
            nets.SimNetwork(self.links, host),
            webs.SimWeb(self.links, host),
            SimFaultPoints(),
        )
