"""The reply to `who votes`: the member set, which replicas lag, and which losses it can survive now."""

import typing

import dykeswitch.language as language
import dykeswitch.register as register
import dykeswitch.register.placement as placement
import dykeswitch.register.proposer as proposers
import dykeswitch.register.replica as replicas
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.registry.replies as replies

COLUMNS: typing.Final = (
    "disk",
    "address",
    "zone",
    "vote",
    "state",
    "epoch",
    "keys behind",
    "versions behind",
)
# Whether a disk has a vote, by the groups of the member set that it is in.
VOTING: typing.Final = "votes"
GAINING: typing.Final = "coming"
LOSING: typing.Final = "going"
NO_VOTE: typing.Final = "none"


async def report(
    reconfiguration: reconfigurations.Reconfiguration,
    proposer: proposers.Proposer,
    command: language.Show,
) -> replies.Table:
    """Report every replica with its vote; the summary has the losses that the member set can survive."""
    members = proposer.members
    versions = await proposer.copies.versions() if members.groups else {}
    voters = members.disks()
    rows = []
    for disk in sorted({*voters, *reconfiguration.states}):
        state = reconfiguration.states.get(disk)
        site = reconfiguration.sites.get(disk, replicas.Site())
        if not command.wants("zone", site.zone):
            continue
        rows.append(
            [
                disk,
                voters[disk] if state is None else state.address,
                site.zone,
                _vote(disk, members),
                _state(disk, state, reconfiguration),
                None if state is None else state.members.epoch,
                *_lag(disk, versions),
            ]
        )
    return replies.Table(COLUMNS, rows, _summary(members, reconfiguration))


def _vote(disk: str, members: register.MemberSet) -> str:
    groups = [dict(group) for group in members.groups]
    inside = [disk in group for group in groups]
    if not any(inside):
        return NO_VOTE
    if all(inside):
        return VOTING
    return GAINING if inside[-1] else LOSING


def _state(
    disk: str, state: replicas.ReplicaState | None, reconfiguration: reconfigurations.Reconfiguration
) -> str:
    if state is None:
        return f"silent for {reconfiguration.silent_s(disk):.1f} s"
    if state.damaged:
        return f"disk: {state.damaged}"
    if state.leaving:
        return "leaving"
    if state.vacant:
        return "vacant"
    return "answers"


def _lag(disk: str, versions: dict[str, dict[str, int]]) -> tuple[int | None, int | None]:
    """For how many keys a disk has an older version, and by how many versions in total."""
    if disk not in versions:
        return None, None
    newest: dict[str, int] = {}
    for copies in versions.values():
        for key, version in copies.items():
            newest[key] = max(version, newest.get(key, 0))
    gaps = [version - versions[disk].get(key, 0) for key, version in newest.items()]
    return sum(gap > 0 for gap in gaps), sum(gaps)


def _summary(
    members: register.MemberSet, reconfiguration: reconfigurations.Reconfiguration
) -> dict[str, typing.Any]:
    sites = reconfiguration.sites
    answering = [disk for disk, state in reconfiguration.states.items() if not state.damaged]

    def by_machine(disks: list[str]) -> dict[str, int]:
        return dict.fromkeys(disks, 1)

    def by_zone(disks: list[str]) -> dict[str, int]:
        return placement.votes_by_zone(disks, sites)

    def by_region(disks: list[str]) -> dict[str, int]:
        return placement.votes_by_region(disks, sites)

    tolerance = reconfiguration.tolerance
    return {
        "epoch": members.epoch,
        "changing": members.is_joint(),
        "votes": " and ".join(str(len(group)) for group in members.groups),
        "machines that may be lost now": placement.survivable_losses(members.groups, answering, by_machine),
        "zones that may be lost now": placement.survivable_losses(members.groups, answering, by_zone),
        "regions that may be lost now": placement.survivable_losses(members.groups, answering, by_region),
        "to be borne": f"{tolerance.machines} machines, {tolerance.zones} zones, {tolerance.regions} regions",
    }
