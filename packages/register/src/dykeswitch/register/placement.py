"""Placement of votes: which replicas should vote so that the required losses are survived.

All functions are pure functions of what the replicas report. A loss is survivable if a majority of the
voters is left after it, whichever machines, zones or regions are lost.
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
    """How many machines, or zones, or regions may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The next change of the voters: the disks to remove and the disks to add."""

    remove: tuple[str, ...]
    add: tuple[str, ...]


def votes_by_zone(voters: typing.Iterable[str], sites: Sites) -> collections.Counter[str]:
    """The number of votes in each zone; a voter in an unknown zone counts as a zone of its own."""
    return collections.Counter(_site(disk, sites).zone or f"?{disk}" for disk in voters)


def votes_by_region(voters: typing.Iterable[str], sites: Sites) -> collections.Counter[str]:
    """The number of votes in each region; a voter in an unknown region counts as one of its own."""
    return collections.Counter(_site(disk, sites).region or f"?{disk}" for disk in voters)


def worst_loss(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> int:
    """How many voters the worst loss within the tolerance takes away."""
    return max(
        min(tolerance.machines, len(voters)),
        _largest(votes_by_zone(voters, sites), tolerance.zones),
        _largest(votes_by_region(voters, sites), tolerance.regions),
    )


def is_survivable(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> bool:
    """Whether every loss within the tolerance leaves a majority of the voters."""
    return 2 * worst_loss(voters, sites, tolerance) < len(voters)


def choose(
    candidates: typing.Collection[str],
    voters: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> frozenset[str]:
    """Chooses the target voters: the fewest that survive the losses, but no fewer than now.

    If no choice survives the losses, this is the one that is spread best.
    """
    min_size = max(2 * tolerance.machines + 1, len(voters))
    for size in range(min_size, len(candidates) + 1):
        chosen = _spread(candidates, size, voters, sites, tolerance)
        if is_survivable(chosen, sites, tolerance):
            return chosen
    return _spread(candidates, min(min_size, len(candidates)), voters, sites, tolerance)


def next_change(
    voters: typing.Collection[str],
    departing: typing.Sequence[str],
    spares: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> Change | None:
    """Returns the one change of the voters that should come next, if any.

    A vote is only removed if another one is added at the same time. `departing` are voters that are
    lost, are leaving or should have no vote, the most urgent first.
    """
    remaining = [disk for disk in voters if disk not in departing]
    if not spares or (not departing and is_survivable(voters, sites, tolerance)):
        return None
    target = choose([*remaining, *spares], voters, sites, tolerance)
    incoming = sorted(target - set(voters))
    if not incoming:
        return None
    if departing:
        return _best_swap(voters, departing[:1], incoming, sites, tolerance)
    if len(target) > len(voters):
        return Change((), tuple(incoming[: len(target) - len(voters)]))
    swap = _best_swap(voters, sorted(set(voters) - target), incoming, sites, tolerance)
    # Only a step that improves the spread is made; otherwise the changes might never end.
    changed = (set(voters) - set(swap.remove)) | set(swap.add)
    is_better = _cost(changed, sites, tolerance) < _cost(voters, sites, tolerance)
    return swap if is_better else None


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
    remaining = [disk for disk, _ in group if disk in answering]
    if not register.majority(group, remaining):
        return -1
    domains = by(remaining)
    spare = len(remaining) - (len(group) // 2 + 1)
    return max(count for count in range(len(domains) + 1) if _largest(domains, count) <= spare)


def _site(disk: str, sites: Sites) -> replicas.Site:
    return sites.get(disk, replicas.Site())


def _largest(domains: typing.Mapping[str, int], count: int) -> int:
    """The number of votes in the `count` domains that have the most."""
    return sum(sorted(domains.values(), reverse=True)[:count])


def _cost(voters: typing.Collection[str], sites: Sites, tolerance: Tolerance) -> tuple[int, int, int]:
    """How many votes a set lacks to survive the losses, and how unevenly it is spread."""
    missing = max(0, 2 * worst_loss(voters, sites, tolerance) - len(voters) + 1)
    regions = sum(votes**2 for votes in votes_by_region(voters, sites).values())
    zones = sum(votes**2 for votes in votes_by_zone(voters, sites).values())
    return (missing, regions if tolerance.regions else 0, zones)


def _spread(
    candidates: typing.Collection[str],
    size: int,
    voters: typing.Collection[str],
    sites: Sites,
    tolerance: Tolerance,
) -> frozenset[str]:
    """Chooses `size` candidates: those in the emptiest domain first, current voters before others.

    Filling the emptiest domain first keeps the fullest ones as empty as possible.
    """
    chosen: list[str] = []
    remaining = sorted(candidates)

    def rank(disk: str) -> tuple[int, int, int, str]:
        zone = votes_by_zone([*chosen, disk], sites)[_site(disk, sites).zone or f"?{disk}"]
        region = votes_by_region([*chosen, disk], sites)[_site(disk, sites).region or f"?{disk}"]
        new = int(disk not in voters)
        if tolerance.regions:
            return (region, zone, new, disk)
        if tolerance.zones:
            return (zone, region, new, disk)
        return (new, zone, region, disk)

    while remaining and len(chosen) < size:
        best = min(remaining, key=rank)
        remaining.remove(best)
        chosen.append(best)
    return frozenset(chosen)


def _best_swap(
    voters: typing.Collection[str],
    removable: typing.Sequence[str],
    incoming: typing.Sequence[str],
    sites: Sites,
    tolerance: Tolerance,
) -> Change:
    """Replaces one of the leaving voters so that the resulting set is spread best."""

    def cost(pair: tuple[str, str]) -> tuple[int, int, int]:
        return _cost((set(voters) - {pair[0]}) | {pair[1]}, sites, tolerance)

    old, new = min(((old, new) for old in removable for new in incoming), key=cost)
    return Change((old,), (new,))
