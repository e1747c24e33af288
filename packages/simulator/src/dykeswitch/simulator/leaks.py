"""What a fleet holds: after a day and some calm it must be back at its base."""

import collections
import dataclasses
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.world as worlds
import dykeswitch.timeline as timelines

# Tasks and calls between members come and go with each shuffle.
TASKS_SLACK: typing.Final = 12
# Pipes that two members may have between them: kept ones of both, and calls under way.
PAIR_MOST: typing.Final = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """The most that any living program holds of each."""

    tasks: int
    table: int
    flights: int
    # Pipes to endpoints that no list of idle ones holds, and the most between two members.
    astray: int
    pair: int
    entries: dict[str, int]
    endpoints: int
    members: int


def count(fleet: fleets.SimFleet) -> Count:
    """Count what the living programs hold."""
    nodes = [n for n in fleet.world.nodes.values() if n.up and n.daemon is not None]
    proxies = [n for n in nodes if n.program == "proxy"]
    member_timelines = [n.daemon.timeline for n in nodes if n.program != "store"]
    entries: dict[str, int] = {}
    for timeline in member_timelines:
        for kind in timelines.KINDS:
            entries[kind] = max(entries.get(kind, 0), timeline.count(kind))
    return Count(
        tasks=max((len(n.host.tasks) for n in nodes), default=0),
        table=sum(len(n.daemon.carrier.table) for n in proxies),
        flights=sum(sum(n.daemon.carrier.selector.in_flight.values()) for n in proxies),
        astray=_astray(fleet, proxies),
        pair=_pair(fleet),
        entries=entries,
        endpoints=len(fleet.endpoints),
        members=len(fleet.world.nodes),
    )


def _astray(fleet: fleets.SimFleet, proxies: list[worlds.Node]) -> int:
    names = {n.name for n in proxies}
    open_ones: list[object] = [
        p
        for p in fleet.world.links.connections
        if p.here.name in names and p.there.name in fleet.endpoints and not p.ended()
    ]
    held: int = sum(n.daemon.carrier.idle() for n in proxies)
    return max(0, len(open_ones) - held)


def _pair(fleet: fleets.SimFleet) -> int:
    pairs = collections.Counter(
        (p.here.name, p.there.name)
        for p in fleet.world.links.connections
        if p.there.name not in fleet.endpoints and p.here.name not in fleet.endpoints
    )
    return max(pairs.values(), default=0)


def grown(base: Count, last: Count) -> list[str]:
    """What has not come back to its base."""
    found = []
    if last.table or last.flights:
        found.append(f"{last.table} exchanges and {last.flights} go's are still counted")
    # A task for each member that came since is no leak.
    if last.tasks > base.tasks * last.members / base.members + TASKS_SLACK:
        found.append(f"a program runs {last.tasks} tasks, {base.tasks} before")
    # Each machine that came since has its own pipes to the rest.
    last.members / base.members
    if last.astray:
        found.append(f"{last.astray} pipes to endpoints are open that nobody holds")
    if last.pair > PAIR_MOST:
        found.append(f"{last.pair} pipes are open between two members")
    for kind, many in last.entries.items():
        # One entry for each endpoint or member that ever was, and a mark for each endpoint.
        most = {timelines.ENDPOINT: last.endpoints, timelines.MARK: last.endpoints}.get(kind)
        most = last.members + base.entries.get(kind, 0) if most is None else most
        if many > most:
            found.append(f"{many} entries of kind {kind}, at most {most} could be")
    return found
