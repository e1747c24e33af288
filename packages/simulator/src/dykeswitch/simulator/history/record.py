"""What was recorded of one run, for the checks to judge."""

import dataclasses
import typing

import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

# Figures of the brief, in seconds, and of what may be seen by chance.
RECOVER_S: typing.Final = 15.0
GRACE_S: typing.Final = 6.0
# Our own codes that turn a request away.
AWAY: typing.Final = (102, 103, 104, 111, 112, 114, 116)


@dataclasses.dataclass(slots=True)
class Span:
    """A stretch of time in which something was so for one machine."""

    name: str
    started_at: float
    ended_at: float

    def holds(self, at: float, slack: float = 0.0) -> bool:
        """Whether a moment lies within it, or up to `slack` seconds behind its end."""
        return self.started_at <= at <= self.ended_at + slack


@dataclasses.dataclass(slots=True)
class History:
    """All that was recorded of one run."""

    requests: list[clients.Request] = dataclasses.field(default_factory=list)
    executions: dict[str, list[clients.Execution]] = dataclasses.field(default_factory=dict)
    # When work began, where endpoints say so: a run that its endpoint's end cut off counts.
    execution_starts: dict[str, list[clients.Execution]] = dataclasses.field(default_factory=dict)
    arrivals: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    # Requests that were meant for another endpoint, and turned away by the one they reached.
    misdirected: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    time_budgets: list[observations.TimeBudget] = dataclasses.field(default_factory=list)
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    puts: list[observations.LayoutPut] = dataclasses.field(default_factory=list)
    reads: list[observations.LayoutRead] = dataclasses.field(default_factory=list)
    # What each core answers to a read once all is calm.
    read_back: list[observations.LayoutRead] = dataclasses.field(default_factory=list)
    samples: list[observations.Sample] = dataclasses.field(default_factory=list)
    # Requests that each layout sends elsewhere, and how late wires may bring them.
    route_checks: dict[str, clients.Request] = dataclasses.field(default_factory=dict)
    wire_s: float = 0.0
    # Machines of proxies that were gone or frozen, by the proxy's address; and services
    # of which no endpoint could answer. What callers lost by these is excused, and counted.
    gone: list[Span] = dataclasses.field(default_factory=list)
    failing: list[Span] = dataclasses.field(default_factory=list)
    # Proxies cut off whose callers come all the same, whatever they are told.
    ignoring_readiness: set[str] = dataclasses.field(default_factory=set)
    # Orderly stops, by the proxy's address.
    stops: list[Span] = dataclasses.field(default_factory=list)
    # Proxies from their stop until they were back, by address: who came meanwhile was refused, and a
    # request may have crossed the close of its connection.
    closed: list[Span] = dataclasses.field(default_factory=list)
    # Planned pauses: an endpoint's name, when confirmed, when it ends.
    paused: list[Span] = dataclasses.field(default_factory=list)
    broken_bodies: set[str] = dataclasses.field(default_factory=set)
    crashes: list[str] = dataclasses.field(default_factory=list)
    # What the fleet still held after the calm, beyond what it held before.
    leaks: list[str] = dataclasses.field(default_factory=list)
    expiry_s: float = 10.0
    away_most: int = 5
    # When the last fault was over, and when traffic ended.
    faults_ended_at: float = 0.0
    end: float = 0.0


Check = typing.Callable[[History], list[str]]
