"""Simulated machines that start, freeze, crash, lose power and restart."""

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
    """A fault point has ended the process; the programs must not catch this."""


class SimClock:
    """The loop's time, and a wall clock whose offset `jump` a test can change."""

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
    """Numbered fault points; a test arms one with a function to call when it is next passed."""

    def __init__(self) -> None:
        self.passed: dict[int, int] = {}
        self.armed: dict[int, typing.Callable[[], None]] = {}

    def hit(self, number: int) -> None:
        self.passed[number] = self.passed.get(number, 0) + 1
        call = self.armed.pop(number, None)
        if call is not None:
            call()


class Daemon(typing.Protocol):
    """A program that a simulated machine can run."""

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
        context.run(loops.CURRENT_HOST.set, host)
        links = self.world.links
        links.powered_off.discard(self.name)
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
            except BaseException as error:
                # A program that ends by an error of its own is recorded, and the checker reports it.
                if not host.dead:
                    self.crash = f"{type(error).__name__}: {error}"
                    host.dead = True
                    links.reset_host(self.name)
                if isinstance(error, ProcessKilled | asyncio.CancelledError | KeyboardInterrupt):
                    return
                if not isinstance(error, Exception):
                    raise

        self.task = self.world.loop.create_task(main(), context=context)

    def kill(self) -> None:
        """End the process at once; its operating system resets each connection."""
        if self.host.dead:
            return
        self.host.dead = True
        self.host.frozen = False
        self.host.deferred.clear()
        links = self.world.links
        links.reset_host(self.name)
        links.listeners = {s: e for s, e in links.listeners.items() if e[0] is not self.host}
        links.apps = {s: a for s, a in links.apps.items() if a[0] is not self.host}
        for task in list(self.host.tasks):
            task.cancel()

    def lose_power(self) -> None:
        """Switch the machine off: no peer is notified, and unsynced writes may be lost."""
        self.world.links.powered_off.add(self.name)
        self.kill()
        if self.disk is not None and not self.disk.dead:
            self.disk.lose_power()

    def restart(self) -> None:
        """Start the machine again with what its disk still has."""
        if not self.host.dead:
            self.kill()
        self.world.links.powered_off.discard(self.name)
        # Peers that still have a connection to the previous process get a reset now.
        self.world.links.reset_host(self.name)
        if self.disk is not None:
            self.disk = self.disk.reopen()
        self.start()

    def wipe(self) -> None:
        """Replace the disk by an empty one; allowed only while the process is down."""
        assert self.disk is not None and self.host.dead
        self.disk = disks.SimDisk(self.world.folder(), self.world.rng)

    def freeze(self) -> None:
        self.world.loop.freeze(self.host)

    def thaw(self) -> None:
        self.world.loop.thaw(self.host)

    async def stop(self, grace_s: float) -> bool:
        """Stop the program, and kill it after the grace period; returns whether it stopped by itself."""
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
    """All machines, the links between them, and the seeded random generators."""

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
        self._folder_count = 0
        self._address_count = 0

    def log(self, line: dict[str, typing.Any]) -> None:
        self.events.append({**line, "at": round(self.loop.time(), 4)})

    def folder(self) -> pathlib.Path:
        self._folder_count += 1
        path = self._scratch / f"disk{self._folder_count}"
        path.mkdir()
        return path

    def address(self) -> ports.Address:
        """Return an address that is not in use."""
        self._address_count += 1
        return ports.address_of(f"10.1.{self._address_count // 250}.{self._address_count % 250 + 1}:7000")

    def add(self, program: str, name: str, build: Build) -> Node:
        node = Node(self, program, name, build)
        self.nodes[name] = node
        return node

    def machine_for(self, name: str) -> ports.Machine:
        """Return the ports of a machine that runs none of the gateway's programs."""
        host = loops.Host(name)
        return ports.Machine(
            SimClock(self.loop),
            nets.SimNetwork(self.links, host),
            webs.SimWeb(self.links, host),
            SimFaultPoints(),
        )
