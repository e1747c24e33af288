"""The machines of a simulated fleet that run the gateway's programs."""

import dataclasses

import dykeswitch.adapter as adapters
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.headers as headers


class SealedEndpoints(adapters.DefaultAdapter):
    """The adapter for endpoints that add a seal header to every successful response."""

    header_names = dataclasses.replace(adapters.HeaderNames(), seal=headers.SEAL.encode())


@dataclasses.dataclass(slots=True)
class Core:
    """A core machine: a registry and a store."""

    registry: worlds.Node
    store: worlds.Node
    member: str
    web: str
    disk: str
    zone: str

    def names(self) -> list[str]:
        """Return the names of its processes in the simulated network."""
        return [self.registry.name, self.store.name]


@dataclasses.dataclass(slots=True)
class Edge:
    """An edge machine with its proxy."""

    node: worlds.Node
    web: str
    zone: str


def disk_of(node: worlds.Node) -> disks.SimDisk:
    """Return the disk of a machine that has one."""
    assert node.disk is not None
    return node.disk
