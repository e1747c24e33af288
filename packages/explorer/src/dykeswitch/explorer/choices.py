"""Lists the events that can happen next in a world."""

import functools
import typing

import dykeswitch.explorer.calls as calls
import dykeswitch.explorer.disk as disks
import dykeswitch.explorer.events as events
import dykeswitch.explorer.hosts as hosts
import dykeswitch.explorer.nodes as nodes

if typing.TYPE_CHECKING:
    import dykeswitch.explorer.world as worlds


def enabled(world: "worlds.World") -> list[events.Event]:
    """Return every event that can happen now, fault-free events first."""
    if world.power_loss is not None:
        return _power_loss_events(world, world.power_loss)
    found: list[events.Event] = []
    for call in world.calls:
        found += _call_events(world, call)
    for store in world.stores.values():
        found += _disk_events(world, store)
    for host in world.hosts.values():
        found += _host_events(world, host)
    found += _cut_events(world)
    if world.settings.immediate_replies:
        found = _with_waiting_hosts(world, found)
    skipped = _skipped_by_symmetry(world)
    if skipped:
        found = [event for event in found if not event.hosts & skipped]
    return events.with_unique_keys(sorted(found, key=events.search_order))


def _skipped_by_symmetry(world: "worlds.World") -> frozenset[str]:
    """Return the stores that symmetry excludes for now.

    Of the interchangeable stores that no event has involved yet, only the first is considered:
    starting with another one leads to an equivalent state.
    """
    untouched = [name for name in world.settings.interchangeable if name not in world.touched_hosts]
    return frozenset(untouched[1:])


def _has_budget(world: "worlds.World", kind: events.Kind) -> bool:
    return world.settings.budget.get(kind, 0) > world.used_budget.get(kind, 0)


def _call_events(world: "worlds.World", call: calls.Call) -> list[events.Event]:
    both = call.both_ends
    event = _fault_free_event(world, call)
    found = [] if event is None else [event]
    if call.future is None or call.phase is calls.Phase.BROKEN:
        return found
    if _has_budget(world, events.Kind.LOSE) and call.phase is not calls.Phase.RUNNING:
        lose = functools.partial(world.lose, call)
        found.append(events.event(events.Kind.LOSE, call.label, both, lose, True, call.state))
    if call.phase is calls.Phase.REPLY:
        return found
    if _has_budget(world, events.Kind.GIVE_UP):
        give_up = functools.partial(world.give_up, call)
        found.append(events.event(events.Kind.GIVE_UP, call.label, both, give_up, True, call.state))
    if _has_budget(world, events.Kind.DUPLICATE) and call.phase is calls.Phase.REQUEST:
        duplicate = functools.partial(world.duplicate, call)
        found.append(events.event(events.Kind.DUPLICATE, call.label, both, duplicate, True, call.state))
    return found


def _fault_free_event(world: "worlds.World", call: calls.Call) -> events.Event | None:
    """Return the next event of a call without a fault, if there is one."""
    request_link, reply_link = (call.source.name, call.target.name), (call.target.name, call.source.name)
    if (reply_link if call.phase is calls.Phase.REPLY else request_link) in world.cuts:
        if call.future is None:
            return None
        give_up = functools.partial(world.give_up, call)
        return events.event(events.Kind.REFUSE, call.label, call.both_ends, give_up, False, call.state)
    if call.phase is calls.Phase.BROKEN or (call.phase is calls.Phase.REQUEST and not call.target.up):
        lose = functools.partial(world.lose, call)
        return events.event(events.Kind.REFUSE, call.label, call.both_ends, lose, False, call.state)
    if call.phase is calls.Phase.REQUEST:
        deliver_request = functools.partial(world.deliver_request, call)
        affected = call.both_ends if world.settings.immediate_replies else call.target_only
        return events.event(events.Kind.DELIVER, call.label, affected, deliver_request, False, call.state)
    if call.phase is calls.Phase.REPLY:
        deliver_reply = functools.partial(world.deliver_reply, call)
        return events.event(
            events.Kind.ANSWER, call.label, call.source_only, deliver_reply, False, call.state
        )
    return None


def _disk_events(world: "worlds.World", store: nodes.Store) -> list[events.Event]:
    found: list[events.Event] = []
    affected = frozenset({store.host.name})
    if store.disk.pending and store.host.up:
        found.append(events.event(events.Kind.WRITE, store.host.name, affected, store.disk.run_next))
    may_lose_power = store.host.name in world.settings.may_lose_power
    if store.host.up and may_lose_power and _has_budget(world, events.Kind.POWER):
        for step in range(disks.MAX_STEPS if store.disk.pending else 1):
            label = f"{store.host.name} after step {step}"
            found.append(
                events.event(
                    events.Kind.POWER, label, affected, functools.partial(world.lose_power, store, step), True
                )
            )
    return found


def _host_events(world: "worlds.World", host: hosts.Host) -> list[events.Event]:
    affected = frozenset({host.name})
    found: list[events.Event] = []
    if host.up:
        if host.earliest_timer() is not None:
            found.append(events.event(events.Kind.TIMER, host.name, affected, lambda: world.fire_timer(host)))
        if host.name in world.settings.may_crash and _has_budget(world, events.Kind.CRASH):
            found.append(
                events.event(events.Kind.CRASH, host.name, affected, lambda: world.stop_host(host), True)
            )
        return found
    found.append(events.event(events.Kind.RESTART, host.name, affected, lambda: world.restart(host.name)))
    if host.name in world.settings.may_wipe and _has_budget(world, events.Kind.WIPE):
        found.append(events.event(events.Kind.WIPE, host.name, affected, lambda: world.wipe(host.name), True))
    return found


def _cut_events(world: "worlds.World") -> list[events.Event]:
    found: list[events.Event] = []
    for source, target in sorted(world.cuts - world.permanent_cuts):
        affected = frozenset({source, target})
        label = f"{source}->{target}"
        found.append(
            events.event(events.Kind.HEAL, label, affected, functools.partial(world.heal, (source, target)))
        )
    if _has_budget(world, events.Kind.CUT):
        for source, target in sorted(world.settings.may_cut - world.cuts):
            affected = frozenset({source, target})
            label = f"{source}->{target}"
            found.append(
                events.event(
                    events.Kind.CUT, label, affected, functools.partial(world.cut, (source, target)), True
                )
            )
    return found


def _power_loss_events(world: "worlds.World", power_loss: nodes.PowerLoss) -> list[events.Event]:
    """Return the two outcomes of the next unsynced change: kept or lost."""
    affected = frozenset({power_loss.store.host.name})
    label = f"{power_loss.store.host.name} {power_loss.undecided[0].text()}"
    return [
        events.event(events.Kind.KEEP, label, affected, lambda: world.decide_change(True)),
        events.event(events.Kind.DROP, label, affected, lambda: world.decide_change(False)),
    ]


def _with_waiting_hosts(world: "worlds.World", found: list[events.Event]) -> list[events.Event]:
    """Add to each event the hosts that it may reach through immediate replies.

    A reply may let its caller answer a call in turn, so all waiting callers are included.
    """
    running = [call for call in world.calls if call.phase is calls.Phase.RUNNING]
    return (
        [event._replace(hosts=_waiting_closure(event.hosts, running)) for event in found]
        if running
        else found
    )


def _waiting_closure(names: frozenset[str], running: list[calls.Call]) -> frozenset[str]:
    """Return the hosts together with all hosts that directly or indirectly wait for them."""
    while waiting := frozenset(c.source.name for c in running if c.target.name in names) - names:
        names |= waiting
    return names
