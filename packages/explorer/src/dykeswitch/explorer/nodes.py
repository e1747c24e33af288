"""The parts of a world: its settings, stores and registries."""

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
    """The faults and timing that an execution allows."""

    budget: events.Budget
    # The minimum duration of each sleep, relative to the call timeout; limits the attempts to make
    # a change.
    min_sleep_s: float = 4 * CALL_TIMEOUT_S
    # The time that passes on the calling host with each finished call; limits attempts further.
    time_per_reply_s: float = 0.0
    # Whether replies reach their callers at once. Requests may still be late and reordered.
    immediate_replies: bool = False
    # Stores with the same role in the scope: of those that no event has involved yet, the search
    # only considers the first.
    interchangeable: tuple[str, ...] = ()
    # Whether each disk operation is a separate event, and whether stores use real files.
    stepwise_disks: bool = False
    real_files: bool = False
    # Hosts that may crash, stores that may lose power or their disk, and pairs of a source and a
    # target host between which messages may be blocked.
    may_crash: frozenset[str] = frozenset()
    may_lose_power: frozenset[str] = frozenset()
    may_wipe: frozenset[str] = frozenset()
    may_cut: frozenset[tuple[str, str]] = frozenset()


@fingerprint.exclude_from_fingerprint
class Store:
    """A host with a disk and a voter."""

    def __init__(self, host: hosts.Host, disk: disks.MemoryDisk) -> None:
        self.host = host
        self.disk = disk
        self.voter: voters.Voter | None = None
        # The commitments of the voter by disk and key; the disk may never store less.
        self.commitments: dict[tuple[str, str], invariants.Commitment] = {}
        # The highest epoch seen under each disk id; a wiped disk gets a new id.
        self.highest_epochs: dict[str, int] = {}
        # The decoded content of the disk, updated after each event of this host.
        self.view = records.view(disk.records)


@fingerprint.exclude_from_fingerprint
class Registry:
    """A host with a proposer and the program that its scope runs on it."""

    def __init__(self, world: "worlds.World", host: hosts.Host, start: Start) -> None:
        self.world = world
        self.host = host
        self.start = start
        self.proposer: proposers.Proposer | None = None
        self.highest_epoch = 0
        # Returns the versions of the stored documents by name; empty if the host stores none.
        self.document_versions: typing.Callable[[], dict[str, int]] = dict
        self.highest_versions: dict[str, int] = {}

    def call_client(self) -> calls.ModelCallClient:
        """Return a client for this host's calls."""
        return calls.ModelCallClient(self.host, self.world.send)

    def clock(self) -> hosts.HostClock:
        """Return this host's clock."""
        return hosts.HostClock(self.host, self.world.settings.min_sleep_s)

    def machine(self) -> ports.Machine:
        """Return this host's ports."""
        return ports.Machine(self.clock(), hosts.NoNetwork(), hosts.NoWeb(), ports.NoFaultPoints())

    def serve(self, handlers: typing.Mapping[str, frames.Handler]) -> None:
        """Serve calls with these handlers."""
        self.world.handlers[self.host.name] = handlers

    def make_proposer(self, members: register.MemberSet) -> proposers.Proposer:
        """Create a proposer with a name that no earlier start of this host used."""
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
    """A store that lost power, the unsynced changes still to be decided, and those that are kept."""

    store: Store
    undecided: list[disks.UnsyncedChange]
    kept: list[disks.UnsyncedChange]
