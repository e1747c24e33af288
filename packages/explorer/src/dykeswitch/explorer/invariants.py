"""The invariants that hold in every state, by name and number (docs/explore.md)."""

import typing

import dykeswitch.frames as frames
import dykeswitch.register as register

if typing.TYPE_CHECKING:
    import dykeswitch.explorer.nodes as nodes
    import dykeswitch.explorer.world as worlds


class Floor(typing.NamedTuple):
    """The least that a disk must hold of a key, by what it has answered."""

    promised: register.Ballot = register.ZERO_BALLOT
    ballot: register.Ballot = register.ZERO_BALLOT


def note_answer(store: "nodes.Store", kind: str, body: frames.Body) -> str:
    """Note what a store has just bound itself to; says what is wrong with it, if anything."""
    if kind not in ("prepare", "accept"):
        return ""
    disk = str(body["disk"])
    key = str(body["key"])
    ballot = register.decode_ballot(body["ballot"])
    floor = store.answered.get((disk, key), Floor())
    # I6: a promise keeps lower ballots out.
    if ballot < floor.promised:
        return f"I6 {store.host.name} took {kind} {key} {ballot} after promising {floor.promised}"
    accepted = ballot if kind == "accept" else floor.ballot
    store.answered[disk, key] = Floor(ballot, accepted)
    return ""


def broken_by_hosts(world: "worlds.World", touched: typing.Collection[str]) -> str:
    """Which of the invariants that a host keeps by itself is broken, if any."""
    for name in sorted(touched):
        if name in world.stores:
            found = _store(world.stores[name])
        else:
            found = _registry(world.registries[name])
        if found:
            return found
    return ""


def broken_together(world: "worlds.World") -> str:
    """Which of the invariants that all hosts keep together is broken, if any."""
    return _durable(world) or _one_set_an_epoch(world) or _one_effect(world)


def _store(store: "nodes.Store") -> str:
    held = store.view.keys
    disk = store.view.disk
    # I7: what a store answered for is on its disk.
    for (answered_disk, key), floor in store.answered.items():
        record = held.get(key)
        if answered_disk != disk:
            continue
        if record is None or record.promised < floor.promised or record.ballot < floor.ballot:
            return f"I7 {store.host.name} answered for {key} at {floor} and holds {record}"
    # I3: epochs rise.
    epoch = store.view.members.epoch
    before = store.highest_epochs.get(disk, 0)
    if epoch < before:
        return f"I3 {store.host.name} went from epoch {before} back to {epoch}"
    store.highest_epochs[disk] = epoch
    return ""


def _registry(registry: "nodes.Registry") -> str:
    if registry.proposer is not None:
        epoch = registry.proposer.members.epoch
        # I3: epochs rise.
        if epoch < registry.highest_epoch:
            return f"I3 {registry.host.name} went from epoch {registry.highest_epoch} back to {epoch}"
        registry.highest_epoch = epoch
    # I4: a reader never goes back.
    for name, version in registry.versions().items():
        if version < registry.highest_versions.get(name, 0):
            return f"I4 {registry.host.name} went back to version {version} of {name}"
        registry.highest_versions[name] = version
    return ""


def _sets(world: "worlds.World") -> set[register.MemberSet]:
    """Every member set that somebody goes by."""
    found = {store.view.members for store in world.stores.values()}
    for registry in world.registries.values():
        if registry.proposer is not None and registry.host.up:
            found.add(registry.proposer.members)
    return {members for members in found if members.groups}


def _one_set_an_epoch(world: "worlds.World") -> str:
    """I3: one member set an epoch."""
    by_epoch: dict[int, register.MemberSet] = {}
    for members in sorted(_sets(world), key=repr):
        if by_epoch.setdefault(members.epoch, members) != members:
            return f"I3 two member sets of epoch {members.epoch}"
    return ""


def _durable(world: "worlds.World") -> str:
    """I2: no majority of a member set in force lacks an acknowledged change."""
    acknowledged = world.history.acknowledged()
    if not acknowledged:
        return ""
    for members in sorted(_sets(world), key=repr):
        serving = [store for store in world.stores.values() if _serves(store, members)]
        for operation in acknowledged:
            lacking = {
                store.view.disk
                for store in serving
                if not _holds(store, operation.key, operation.order, operation.version)
            }
            if _could_decide(members, lacking):
                return f"I2 a majority of epoch {members.epoch} lacks {operation.order}, acknowledged"
    return ""


def _could_decide(members: register.MemberSet, disks: set[str]) -> bool:
    """Whether some disks are a majority of each group; on purpose not the register's own word."""
    return all(2 * sum(disk in disks for disk, _ in group) > len(group) for group in members.groups)


def _serves(store: "nodes.Store", members: register.MemberSet) -> bool:
    """Whether a disk would answer calls under a member set."""
    installed = store.view.members
    return installed.epoch <= members.epoch and store.view.disk in installed.disks()


def _holds(store: "nodes.Store", key: str, order: str, version: int) -> bool:
    record = store.view.keys.get(key)
    if record is None or record.value.version < version:
        return False
    forgotten = len(record.value.ops) >= register.MAX_OPS
    return forgotten or record.value.version_of(order) == version


def _one_effect(world: "worlds.World") -> str:
    """I5: an order has one answer and at most one effect."""
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
