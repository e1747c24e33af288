"""Resource counts of a fleet, which must be back at their baseline after a day and a quiet time."""

import collections
import dataclasses
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.world as worlds
import dykeswitch.timeline as timelines

# Tasks and calls between members vary with each gossip shuffle.
TASKS_SLACK: typing.Final = 12
# Connections that two members may have between them: idle ones of both, and those of calls in progress.
MAX_PAIR_CONNECTIONS: typing.Final = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Resources of the running programs: totals, or the most that any one program has."""

    tasks: int
    exchanges: int
    in_flight: int
    # Connections to endpoints that are in no pool of idle ones, and the most connections between two members.
    unowned: int
    max_between_members: int
    entries: dict[str, int]
    endpoints: int
    members: int


def count(fleet: fleets.SimFleet) -> Count:
    """Count the resources of the running programs."""
    nodes = [n for n in fleet.world.nodes.values() if n.up and n.daemon is not None]
    proxies = [n for n in nodes if n.program == "proxy"]
    member_timelines = [n.daemon.timeline for n in nodes if n.program != "store"]
    entries: dict[str, int] = {}
    for timeline in member_timelines:
        for kind in timelines.KINDS:
            entries[kind] = max(entries.get(kind, 0), timeline.count(kind))
    return Count(
        tasks=max((len(n.host.tasks) for n in nodes), default=0),
        exchanges=sum(len(n.daemon.carrier.table) for n in proxies),
        in_flight=sum(sum(n.daemon.carrier.selector.in_flight.values()) for n in proxies),
        unowned=_count_unowned(fleet, proxies),
        max_between_members=_max_between_members(fleet),
        entries=entries,
        endpoints=len(fleet.endpoints),
        members=len(fleet.world.nodes),
    )


def _count_unowned(fleet: fleets.SimFleet, proxies: list[worlds.Node]) -> int:
    names = {n.name for n in proxies}
    open_connections: list[object] = [
        connection
        for connection in fleet.world.links.connections
        if connection.local.name in names
        and connection.remote.name in fleet.endpoints
        and not connection.ended()
    ]
    idle: int = sum(n.daemon.carrier.idle() for n in proxies)
    return max(0, len(open_connections) - idle)


def _max_between_members(fleet: fleets.SimFleet) -> int:
    pairs = collections.Counter(
        (connection.local.name, connection.remote.name)
        for connection in fleet.world.links.connections
        if connection.remote.name not in fleet.endpoints and connection.local.name not in fleet.endpoints
    )
    return max(pairs.values(), default=0)


def grown(baseline: Count, last: Count) -> list[str]:
    """Report the resources that have not come back to their baseline."""
    found = []
    if last.exchanges or last.in_flight:
        found.append(f"{last.exchanges} exchanges and {last.in_flight} attempts are still counted")
    # Tasks for members that were added since are no leak.
    if last.tasks > baseline.tasks * last.members / baseline.members + TASKS_SLACK:
        found.append(f"a program runs {last.tasks} tasks, {baseline.tasks} before")
    # Each machine that was added since has connections of its own to the others.
    last.members / baseline.members
    if last.unowned:
        found.append(f"{last.unowned} connections to endpoints are open but in no pool")
    if last.max_between_members > MAX_PAIR_CONNECTIONS:
        found.append(f"{last.max_between_members} connections are open between two members")
    for kind, entry_count in last.entries.items():
        # At most one entry for each endpoint or member that ever existed, and one mark for each endpoint.
        limit = {timelines.ENDPOINT: last.endpoints, timelines.MARK: last.endpoints}.get(kind)
        limit = last.members + baseline.entries.get(kind, 0) if limit is None else limit
        if entry_count > limit:
            found.append(f"{entry_count} entries of kind {kind}, at most {limit} are possible")
    return found
