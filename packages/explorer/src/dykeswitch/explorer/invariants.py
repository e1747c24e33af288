"""Checks of the numbered invariants, which hold in every state (see docs/explore.md)."""

import typing

import dykeswitch.frames as frames
import dykeswitch.register as register

if typing.TYPE_CHECKING:
    import dykeswitch.explorer.nodes as nodes
    import dykeswitch.explorer.world as worlds


class Commitment(typing.NamedTuple):
    """The lowest ballots that a disk may store for a key, given its answers so far."""

    promised: register.Ballot = register.ZERO_BALLOT
    ballot: register.Ballot = register.ZERO_BALLOT


def record_commitment(store: "nodes.Store", kind: str, body: frames.Body) -> str:
    """Record the commitment that a store made with an answer.

    Returns a violation if the answer breaks an earlier promise, an empty text otherwise.
    """
    if kind not in ("prepare", "accept"):
        return ""
    disk = str(body["disk"])
    key = str(body["key"])
    ballot = register.decode_ballot(body["ballot"])
    commitment = store.commitments.get((disk, key), Commitment())
    # I6: a promise excludes lower ballots.
    if ballot < commitment.promised:
        return f"I6 {store.host.name} answered {kind} {key} {ballot} after promising {commitment.promised}"
    accepted = ballot if kind == "accept" else commitment.ballot
    store.commitments[disk, key] = Commitment(ballot, accepted)
    return ""


def check_hosts(world: "worlds.World", host_names: typing.Collection[str]) -> str:
    """Check the invariants of single hosts; returns the first violation, or an empty text."""
    for name in sorted(host_names):
        if name in world.stores:
            violation = _check_store(world.stores[name])
        else:
            violation = _check_registry(world.registries[name])
        if violation:
            return violation
    return ""


def check_all_hosts(world: "worlds.World") -> str:
    """Check the invariants across all hosts; returns the first violation, or an empty text."""
    return _check_durability(world) or _check_unique_member_sets(world) or _check_order_effects(world)


def _check_store(store: "nodes.Store") -> str:
    records = store.view.keys
    disk = store.view.disk
    # I7: a store's disk has everything that the store committed to in its answers.
    for (committed_disk, key), commitment in store.commitments.items():
        record = records.get(key)
        if committed_disk != disk:
            continue
        if record is None or record.promised < commitment.promised or record.ballot < commitment.ballot:
            return f"I7 {store.host.name} answered for {key} with {commitment}, but its disk has {record}"
    # I3: epochs never decrease.
    epoch = store.view.members.epoch
    previous_epoch = store.highest_epochs.get(disk, 0)
    if epoch < previous_epoch:
        return f"I3 {store.host.name} went from epoch {previous_epoch} back to {epoch}"
    store.highest_epochs[disk] = epoch
    return ""


def _check_registry(registry: "nodes.Registry") -> str:
    if registry.proposer is not None:
        epoch = registry.proposer.members.epoch
        # I3: epochs never decrease.
        if epoch < registry.highest_epoch:
            return f"I3 {registry.host.name} went from epoch {registry.highest_epoch} back to {epoch}"
        registry.highest_epoch = epoch
    # I4: the version of a document never decreases on a reader.
    for name, version in registry.document_versions().items():
        if version < registry.highest_versions.get(name, 0):
            return f"I4 {registry.host.name} went back to version {version} of {name}"
        registry.highest_versions[name] = version
    return ""


def _member_sets_in_use(world: "worlds.World") -> set[register.MemberSet]:
    """Return every member set that a store or a running registry uses."""
    member_sets = {store.view.members for store in world.stores.values()}
    for registry in world.registries.values():
        if registry.proposer is not None and registry.host.up:
            member_sets.add(registry.proposer.members)
    return {members for members in member_sets if members.groups}


def _check_unique_member_sets(world: "worlds.World") -> str:
    """Check I3: there is one member set per epoch."""
    by_epoch: dict[int, register.MemberSet] = {}
    for members in sorted(_member_sets_in_use(world), key=repr):
        if by_epoch.setdefault(members.epoch, members) != members:
            return f"I3 two member sets of epoch {members.epoch}"
    return ""


def _check_durability(world: "worlds.World") -> str:
    """Check I2: no majority of a member set in use lacks an acknowledged change."""
    acknowledged = world.history.acknowledged()
    if not acknowledged:
        return ""
    for members in sorted(_member_sets_in_use(world), key=repr):
        serving = [store for store in world.stores.values() if _serves(store, members)]
        for operation in acknowledged:
            lacking = {
                store.view.disk
                for store in serving
                if not _has_change(store, operation.key, operation.order, operation.version)
            }
            if _is_majority(members, lacking):
                return f"I2 a majority of epoch {members.epoch} lacks {operation.order}, acknowledged"
    return ""


def _is_majority(members: register.MemberSet, disks: set[str]) -> bool:
    """Return whether some disks are a majority of each group.

    Deliberately independent of the register's own function, which is under test.
    """
    return all(2 * sum(disk in disks for disk, _ in group) > len(group) for group in members.groups)


def _serves(store: "nodes.Store", members: register.MemberSet) -> bool:
    """Return whether a store's disk would answer calls under a member set."""
    installed = store.view.members
    return installed.epoch <= members.epoch and store.view.disk in installed.disks()


def _has_change(store: "nodes.Store", key: str, order: str, version: int) -> bool:
    record = store.view.keys.get(key)
    if record is None or record.value.version < version:
        return False
    may_be_pruned = len(record.value.ops) >= register.MAX_OPS
    return may_be_pruned or record.value.version_of(order) == version


def _check_order_effects(world: "worlds.World") -> str:
    """Check I5: an order has one answer and at most one effect."""
    for store in world.stores.values():
        for key, record in store.view.keys.items():
            orders = [order for order, _ in record.value.ops]
            if len(orders) != len(set(orders)):
                return f"I5 an order took effect twice on {key}: {orders}"
    versions: dict[str, int] = {}
    for operation in world.history.acknowledged():
        if versions.setdefault(operation.order, operation.version) != operation.version:
            return f"I5 {operation.order} was acknowledged under two versions"
    return ""
