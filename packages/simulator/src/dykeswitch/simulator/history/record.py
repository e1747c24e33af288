"""The record of one run, for the checks to judge."""

import dataclasses
import typing

import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients

# Required times in seconds: full recovery after the last fault, and the grace period of an orderly stop.
RECOVER_S: typing.Final = 15.0
GRACE_S: typing.Final = 6.0
# The result codes with which the gateway itself turns a request away.
REFUSAL_CODES: typing.Final = (102, 103, 104, 111, 112, 114, 116)


@dataclasses.dataclass(slots=True)
class Span:
    """A period in which one machine, service or endpoint was in some state."""

    name: str
    started_at: float
    ended_at: float

    def contains(self, at: float, slack: float = 0.0) -> bool:
        """Whether a time is within the period, or up to `slack` seconds after its end."""
        return self.started_at <= at <= self.ended_at + slack


@dataclasses.dataclass(slots=True)
class History:
    """The whole record of one run."""

    requests: list[clients.Request] = dataclasses.field(default_factory=list)
    executions: dict[str, list[clients.Execution]] = dataclasses.field(default_factory=dict)
    # Starts of executions, if endpoints report them: they include executions cut short by the endpoint's end.
    execution_starts: dict[str, list[clients.Execution]] = dataclasses.field(default_factory=dict)
    arrivals: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    # Requests that were meant for another endpoint and were rejected by the one that they reached.
    misdirected: list[tuple[float, str, str]] = dataclasses.field(default_factory=list)
    time_budgets: list[observations.TimeBudget] = dataclasses.field(default_factory=list)
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    puts: list[observations.LayoutPut] = dataclasses.field(default_factory=list)
    reads: list[observations.LayoutRead] = dataclasses.field(default_factory=list)
    # The answer of each core to a read after the last fault and the quiet time.
    read_back: list[observations.LayoutRead] = dataclasses.field(default_factory=list)
    samples: list[observations.Sample] = dataclasses.field(default_factory=list)
    # Requests that each new layout sends to another service, and how much links may delay a request.
    route_checks: dict[str, clients.Request] = dataclasses.field(default_factory=dict)
    link_delay_s: float = 0.0
    # Periods in which a proxy's machine was down or frozen, by the proxy's address, and in which no
    # endpoint of a service could answer. Requests that failed by these are excused, and counted.
    gone: list[Span] = dataclasses.field(default_factory=list)
    failing: list[Span] = dataclasses.field(default_factory=list)
    # The names of requests that were sent to a proxy although it was cut off and not ready.
    ignoring_readiness: set[str] = dataclasses.field(default_factory=set)
    # Orderly stops of proxies, by address.
    stops: list[Span] = dataclasses.field(default_factory=list)
    # Proxies from their stop until their restart, by address: connections were refused meanwhile, and a
    # request may have been sent just as its connection was closed.
    closed: list[Span] = dataclasses.field(default_factory=list)
    # Planned pauses of endpoints, by name, from the confirmation until the end.
    paused: list[Span] = dataclasses.field(default_factory=list)
    broken_bodies: set[str] = dataclasses.field(default_factory=set)
    crashes: list[str] = dataclasses.field(default_factory=list)
    # Resources that the fleet still had after the quiet time, beyond those it had before the faults.
    leaks: list[str] = dataclasses.field(default_factory=list)
    expiry_s: float = 10.0
    max_turned_away: int = 5
    # The end of the last fault, and the end of traffic.
    faults_ended_at: float = 0.0
    end: float = 0.0


Check = typing.Callable[[History], list[str]]
