"""A register by itself: voters on machines of their own, and proposers beside them."""

import asyncio
import pathlib
import random
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.register.voter as voters
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.world as worlds


class _Store:
    """A store with nothing round it: just the voter and its ear."""

    def __init__(
        self, node_address: str, disk: disks.SimDisk, machine: typing.Any, rng: random.Random
    ) -> None:
        self.voter = voters.Voter(disk, machine.fault_points, rng)
        self._address = node_address
        self._machine = machine

    async def run(self) -> None:
        await self.voter.open()
        server = frames.CallServer(self.voter.kinds(), lambda event, what: None)
        await self._machine.net.listen(self._address, server.serve)
        await asyncio.Event().wait()

    def stop(self) -> None:
        return None


class RegisterBench:
    """Three voters, and proposers on a machine of their own."""

    def __init__(self, seed: int, scratch: pathlib.Path, stores: int = 3) -> None:
        self.world = worlds.World(seed, scratch)
        self.nodes: list[worlds.Node] = []
        self.addresses = [self.world.address() for _ in range(stores)]
        for n, address in enumerate(self.addresses):
            self._add(n, address)
        self.outside = self.world.machine_for("outside")

    def _add(self, n: int, address: str) -> None:
        def build(machine: typing.Any, log: typing.Any, rng: random.Random) -> _Store:
            assert node.disk is not None
            return _Store(address, node.disk, machine, rng)

        node = self.world.add("store", f"store{n}", build)
        node.disk = disks.SimDisk(self.world.folder(), self.world.rng)
        self.nodes.append(node)

    async def start(self) -> register.MemberSet:
        """Start the stores and seat them all."""
        for node in self.nodes:
            node.start()
        await asyncio.sleep(0.1)
        pairs = tuple(sorted((n.daemon.voter.disk_id, s) for n, s in zip(self.nodes, self.addresses)))
        members = register.MemberSet(1, (pairs,))
        call_client = frames.CallClient(self.outside.net)
        for disk, address in pairs:
            await call_client.call(address, "install", {"disk": disk, "set": members.to_wire()}, 1.0)
        self.members = members
        return members

    def proposer(self, name: str, machine: ports.Machine | None = None) -> proposers.Proposer:
        """A proposer that knows the member set, on a machine of its own if one is given."""
        here = machine or self.outside
        call_client = frames.CallClient(here.net)
        made = proposers.Proposer(name, call_client, here.clock, here.fault_points, 0.5, random.Random(name))
        made.quorum.adopt(self.members)
        return made


def put(body: bytes, op: str) -> proposers.Step:
    """A change to a body; made once however often it is tried."""

    def step(now: register.Value) -> register.Value | outcome.Failure:
        return now if now.version_of(op) is not None else now.successor(body, op)

    return step
