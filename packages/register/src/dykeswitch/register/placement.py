"""Placement of votes: which replicas should vote, so that the losses to be borne are borne.

Everything here is a pure function of what the replicas tell. A loss is *borne* if a
majority of the voters is left after it, whichever machines, zones or regions are lost.
"""

import collections
import dataclasses
import typing

import dykeswitch.register as register
import dykeswitch.register.replica as replicas

Group = tuple[tuple[str, str], ...]
Sites = typing.Mapping[str, replicas.Site]


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once: so many machines, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The next change of the voters: disks that leave, and those that come in their place."""

    remove: tuple[str, ...]
    add: tuple[str, ...]


def votes_by_zone(voters: typing.Iterable[str], sites: Sites) -> collections.Counter[str]:
    """How many votes each zone has; a voter whose zone is not known is a zone of its own."""
    return collections.Counter(_site(disk, sites).zone or f"?{disk}" for disk in voters)


def votes_by_region(voters: typing.Iterable[str], sites: Sites) -> collections.Counter[str]:
    """How many votes each region has, likewise."""
    return collections.Counter(_site(disk, sites).region or f"?{disk}" for disk in voters)


def worst_loss(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> int:
    """How many of the voters the worst loss that must be borne takes away."""
    return max(
        min(tolerance.machines, len(voters)),
        _largest(votes_by_zone(voters, sites), tolerance.zones),
        _largest(votes_by_region(voters, sites), tolerance.regions),
    )


def is_survivable(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> bool:
    """Whether every loss that must be borne leaves a majority of the voters."""
    return 2 * worst_loss(voters, sites, tolerance) < len(voters)


def choose(
    candidates: typing.Collection[str],
    voters: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> frozenset[str]:
    """The voters to aim for: as few as bear the losses, but no fewer than there are now.

    Where no choice bears them, the one that is spread best.
    """
    least = max(2 * tolerance.machines + 1, len(voters))
    for size in range(least, len(candidates) + 1):
        found = _spread(candidates, size, voters, sites, tolerance)
        if is_survivable(found, sites, tolerance):
            return found
    return _spread(candidates, min(least, len(candidates)), voters, sites, tolerance)


def next_change(
    voters: typing.Collection[str],
    departing: typing.Sequence[str],
    spares: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> Change | None:
    """The one change of the voters that should come next, if any.

    A vote is only ever taken away for another that is given at the same time. `departing`
    are voters that are lost, leave, or should have no vote, the most urgent first.
    """
    staying = [disk for disk in voters if disk not in departing]
    if not spares or (not departing and is_survivable(voters, sites, tolerance)):
        return None
    target = choose([*staying, *spares], voters, sites, tolerance)
    coming = sorted(target - set(voters))
    if not coming:
        return None
    if departing:
        return _best_swap(voters, departing[:1], coming, sites, tolerance)
    if len(target) > len(voters):
        return Change((), tuple(coming[: len(target) - len(voters)]))
    swap = _best_swap(voters, sorted(set(voters) - target), coming, sites, tolerance)
    # Only a step that makes the spread better ends somewhere.
    moved = (set(voters) - set(swap.remove)) | set(swap.add)
    better = _cost(moved, sites, tolerance) < _cost(voters, sites, tolerance)
    return swap if better else None


def survivable_losses(
    groups: typing.Iterable[Group],
    answering: typing.Collection[str],
    by: typing.Callable[[list[str]], typing.Mapping[str, int]],
) -> int:
    """How many domains, as `by` counts their votes, may be lost; -1 without a majority now."""
    return min((_survivable_losses(group, answering, by) for group in groups), default=-1)


def _survivable_losses(
    group: Group,
    answering: typing.Collection[str],
    by: typing.Callable[[list[str]], typing.Mapping[str, int]],
) -> int:
    left = [disk for disk, _ in group if disk in answering]
    if not register.majority(group, left):
        return -1
    domains = by(left)
    spare = len(left) - (len(group) // 2 + 1)
    return max(k for k in range(len(domains) + 1) if _largest(domains, k) <= spare)


def _site(disk: str, sites: Sites) -> replicas.Site:
    return sites.get(disk, replicas.Site())


def _largest(domains: typing.Mapping[str, int], count: int) -> int:
    """The votes of the `count` domains that have most."""
    return sum(sorted(domains.values(), reverse=True)[:count])


def _cost(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> tuple[int, int, int]:
    """How far a set is from bearing the losses, and how unevenly it is spread."""
    lacking = max(0, 2 * worst_loss(voters, sites, tolerance) - len(voters) + 1)
    regions = sum(votes**2 for votes in votes_by_region(voters, sites).values())
    zones = sum(votes**2 for votes in votes_by_zone(voters, sites).values())
    return (lacking, regions if tolerance.regions else 0, zones)


def _spread(
    candidates: typing.Collection[str],
    size: int,
    voters: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> frozenset[str]:
    """So many candidates, the emptiest domain first, voters before others.

    Filling the emptiest first leaves the fullest domains as empty as they can be.
    """
    chosen: list[str] = []
    left = sorted(candidates)

    def rank(disk: str) -> tuple[int, int, int, str]:
        zone = votes_by_zone([*chosen, disk], sites)[_site(disk, sites).zone or f"?{disk}"]
        region = votes_by_region([*chosen, disk], sites)[_site(disk, sites).region or f"?{disk}"]
        new = int(disk not in voters)
        if tolerance.regions:
            return (region, zone, new, disk)
        if tolerance.zones:
            return (zone, region, new, disk)
        return (new, zone, region, disk)

    while left and len(chosen) < size:
        first = min(left, key=rank)
        left.remove(first)
        chosen.append(first)
    return frozenset(chosen)


def _best_swap(
    voters: typing.Collection[str],
    leaving: typing.Sequence[str],
    coming: typing.Sequence[str],
    sites: Sites,
    tolerance: Tolerance,
) -> Change:
    """One voter for another, so that what results is spread best."""

    def cost(pair: tuple[str, str]) -> tuple[int, int, int]:
        return _cost((set(voters) - {pair[0]}) | {pair[1]}, sites, tolerance)

    old, new = min(((old, new) for old in leaving for new in coming), key=cost)
    return Change((old,), (new,))
