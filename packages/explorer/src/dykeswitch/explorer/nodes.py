"""What a world is made of: its settings, stores and registries."""

import dataclasses
import random
import typing

import dykeswitch.explorer.calls as calls
import dykeswitch.explorer.disk as disks
import dykeswitch.explorer.events as events
import dykeswitch.explorer.fingerprint as fingerprint
import dykeswitch.explorer.hosts as hosts
import dykeswitch.explorer.invariants as invariants
import dykeswitch.explorer.records as records
import dykeswitch.frames as frames
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.register.voter as voters

if typing.TYPE_CHECKING:
    import dykeswitch.explorer.world as worlds

CALL_TIMEOUT_S: typing.Final = 1.0

Start = typing.Callable[["Registry"], typing.Coroutine[typing.Any, typing.Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What an execution allows."""

    budget: events.Budget
    # How long each sleep lasts at least, by the calls' timeout: bounds the tries of a change.
    min_sleep_s: float = 4 * CALL_TIMEOUT_S
    # How much of its host's time passes with each answer: bounds them further.
    time_per_reply_s: float = 0.0
    # Whether each reply reaches its caller at once. Requests still come late and in any order.
    immediate_replies: bool = False
    # Stores that the scope treats alike: of those that nothing happened to, the first comes first.
    interchangeable: tuple[str, ...] = ()
    # Whether a store's disk work is an event of its own, and whether its files are real.
    stepwise_disks: bool = False
    real_files: bool = False
    # Hosts that may crash, stores that may be wiped, pairs of hosts that may be cut apart.
    may_crash: frozenset[str] = frozenset()
    may_lose_power: frozenset[str] = frozenset()
    may_wipe: frozenset[str] = frozenset()
    may_cut: frozenset[tuple[str, str]] = frozenset()


@fingerprint.exclude_from_fingerprint
class Store:
    """A host with a disk that votes."""

    def __init__(self, host: hosts.Host, disk: disks.MemoryDisk) -> None:
        self.host = host
        self.disk = disk
        self.voter: voters.Voter | None = None
        # What the voter has answered for, by disk and key: it may never hold less.
        self.commitments: dict[tuple[str, str], invariants.Commitment] = {}
        # The highest epoch held under each disk id: who is emptied draws another.
        self.highest_epochs: dict[str, int] = {}
        # What the disk holds, read anew after each event of this host.
        self.view = records.view(disk.records)


@fingerprint.exclude_from_fingerprint
class Registry:
    """A host with a proposer, and whatever its scope runs on it."""

    def __init__(self, world: "worlds.World", host: hosts.Host, start: Start) -> None:
        self.world = world
        self.host = host
        self.start = start
        self.proposer: proposers.Proposer | None = None
        self.highest_epoch = 0
        # Documents held, by name, where the host holds any; and the highest versions seen.
        self.document_versions: typing.Callable[[], dict[str, int]] = dict
        self.highest_versions: dict[str, int] = {}

    def call_client(self) -> calls.ModelCallClient:
        """A caller for this host's calls."""
        return calls.ModelCallClient(self.host, self.world.send)

    def clock(self) -> hosts.HostClock:
        """This host's clock."""
        return hosts.HostClock(self.host, self.world.settings.min_sleep_s)

    def machine(self) -> ports.Machine:
        """This host's ports."""
        return ports.Machine(self.clock(), hosts.NoNetwork(), hosts.NoWeb(), ports.NoFaultPoints())

    def serve(self, handlers: typing.Mapping[str, frames.Handler]) -> None:
        """Answer these calls."""
        self.world.handlers[self.host.name] = handlers

    def make_proposer(self, members: register.MemberSet) -> proposers.Proposer:
        """A proposer under a name that no earlier start of this host used."""
        self.proposer = proposers.Proposer(
            f"{self.host.name}#{self.host.starts}",
            self.call_client(),
            self.clock(),
            ports.NoFaultPoints(),
            CALL_TIMEOUT_S,
            random.Random(0),
        )
        self.proposer.quorum.adopt(members)
        self.host.memory.append(self.proposer)
        return self.proposer


@dataclasses.dataclass(slots=True)
class PowerLoss:
    """A store whose power went, the changes yet to be decided on, and those that are kept."""

    store: Store
    undecided: list[disks.UnsyncedChange]
    kept: list[disks.UnsyncedChange]
