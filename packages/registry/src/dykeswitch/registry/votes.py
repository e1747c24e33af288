"""The answer to `who votes`: the member set, who is behind, and what may be lost now."""

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
# The votes that a disk may have, by the groups that it stands in.
SETTLED: typing.Final = "votes"
COMING: typing.Final = "coming"
GOING: typing.Final = "going"
NONE: typing.Final = "none"


async def report(
    reconfiguration: reconfigurations.Reconfiguration,
    proposer: proposers.Proposer,
    ask: language.Show,
) -> replies.Table:
    """Every replica with its vote, and of the whole what the loss of machines or zones would mean."""
    members = proposer.members
    versions = await proposer.copies.versions() if members.groups else {}
    voters = members.disks()
    rows = []
    for disk in sorted({*voters, *reconfiguration.states}):
        state = reconfiguration.states.get(disk)
        site = reconfiguration.sites.get(disk, replicas.Site())
        if not ask.wants("zone", site.zone):
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
        return NONE
    if all(inside):
        return SETTLED
    return COMING if inside[-1] else GOING


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
    """How many keys a disk holds an older version of, and by how many versions in all."""
    if disk not in versions:
        return None, None
    newest: dict[str, int] = {}
    for held in versions.values():
        for key, version in held.items():
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

    meant = reconfiguration.tolerance
    return {
        "epoch": members.epoch,
        "changing": members.is_joint(),
        "votes": " and ".join(str(len(group)) for group in members.groups),
        "machines that may be lost now": placement.survivable_losses(members.groups, answering, by_machine),
        "zones that may be lost now": placement.survivable_losses(members.groups, answering, by_zone),
        "regions that may be lost now": placement.survivable_losses(members.groups, answering, by_region),
        "to be borne": f"{meant.machines} machines, {meant.zones} zones, {meant.regions} regions",
    }
