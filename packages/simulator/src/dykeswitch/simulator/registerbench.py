"""A register on its own for tests: voters on separate machines, and proposers."""

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
    """A minimal store: only the voter and its call server."""

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
    """Three voters, and proposers on a separate machine."""

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
        """Start the stores and install a member set of all of them."""
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
        """Return a proposer that knows the member set, on `machine` if given."""
        proposer_machine = machine or self.outside
        call_client = frames.CallClient(proposer_machine.net)
        proposer = proposers.Proposer(
            name, call_client, proposer_machine.clock, proposer_machine.fault_points, 0.5, random.Random(name)
        )
        proposer.quorum.adopt(self.members)
        return proposer


def put(body: bytes, op: str) -> proposers.Step:
    """Return a step that changes the body; it is applied once however often it is attempted."""

    def step(now: register.Value) -> register.Value | outcome.Failure:
        return now if now.version_of(op) is not None else now.successor(body, op)

    return step
