"""The world of one execution: its hosts, disks, calls in progress and faults."""

import asyncio
import contextvars
import dataclasses
import itertools
import pathlib
import random
import typing

import cbor2

import dykeswitch.explorer.calls as calls
import dykeswitch.explorer.choices as choices
import dykeswitch.explorer.disk as disks
import dykeswitch.explorer.events as events
import dykeswitch.explorer.fingerprint as fingerprint
import dykeswitch.explorer.history as histories
import dykeswitch.explorer.hosts as hosts
import dykeswitch.explorer.invariants as invariants
import dykeswitch.explorer.loop as loops
import dykeswitch.explorer.nodes as nodes
import dykeswitch.explorer.records as records
import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.storage as storage
import dykeswitch.register.voter as voters


class World:
    """The whole state of one execution."""

    def __init__(
        self,
        settings: nodes.Settings,
        scratch_folder: pathlib.Path,
        host_states: dict[bytes, fingerprint.HostState] | None = None,
    ) -> None:
        self.settings = settings
        # Cache of host states by the digest of the host's events. The events of a host determine
        # its state, so all executions of a scope share the cache.
        self._host_states = {} if host_states is None else host_states
        self._event_digests: dict[str, bytes] = {}
        # Hosts involved in an event since the scope was set up.
        self.touched_hosts: set[str] = set()
        # The type stubs declare the base class abstract; at run time it is not.
        self.loop = loops.CooperativeLoop()  # type: ignore[abstract]
        self.hosts: dict[str, hosts.Host] = {}
        self.stores: dict[str, nodes.Store] = {}
        self.registries: dict[str, nodes.Registry] = {}
        self.handlers: dict[str, typing.Mapping[str, frames.Handler]] = {}
        self.calls: list[calls.Call] = []
        self.history = histories.History()
        self.reported_values: dict[tuple[str, int], bytes] = {}
        self.violation = ""
        self.used_budget: dict[events.Kind, int] = {}
        self.cuts: set[tuple[str, str]] = set()
        # Cuts that are part of the scope and are never healed.
        self.permanent_cuts: set[tuple[str, str]] = set()
        # A power loss while its surviving disk content is still being decided.
        self.power_loss: nodes.PowerLoss | None = None
        self._scratch = scratch_folder
        self._disk_numbers = itertools.count(1)

    # Set-up.

    def add_store(self, name: str) -> nodes.Store:
        """Add and start a store with an empty disk."""
        host = self.hosts[name] = hosts.Host(name)
        store = self.stores[name] = nodes.Store(host, self._blank_disk())
        self._start_store(store)
        return store

    def add_registry(self, name: str, start: nodes.Start) -> nodes.Registry:
        """Add a registry that runs the given program at each start."""
        host = self.hosts[name] = hosts.Host(name)
        registry = self.registries[name] = nodes.Registry(self, host, start)
        self._start_registry(registry)
        return registry

    def _blank_disk(self) -> disks.MemoryDisk:
        if not self.settings.real_files:
            return disks.MemoryDisk(self.settings.stepwise_disks)
        return disks.FileDisk(self._scratch / f"disk{next(self._disk_numbers)}", self.settings.stepwise_disks)

    def spawn(self, host: hosts.Host, work: typing.Coroutine[typing.Any, typing.Any, object]) -> None:
        """Run a coroutine as a main task of a host."""
        context = contextvars.Context()
        hosts.enter(context, host)
        host.main_tasks.add(self.loop.create_task(work, context=context))

    def _start_store(self, store: nodes.Store) -> None:
        host = store.host
        host.up = True
        host.starts += 1
        seed = f"{host.name} {host.starts}"
        store.voter = voter = voters.Voter(store.disk, ports.NoFaultPoints(), random.Random(seed))
        host.memory = [voter]

        async def open_and_serve() -> None:
            try:
                await voter.open()
            except storage.StorageDamageError as error:
                self.record_violation(f"I8 {host.name} cannot read its disk: {error}")
                return
            self.handlers[host.name] = voter.kinds()

        self.spawn(host, open_and_serve())

    def _start_registry(self, registry: nodes.Registry) -> None:
        registry.host.up = True
        registry.host.starts += 1
        registry.highest_epoch = 0
        registry.highest_versions = {}
        self.spawn(registry.host, registry.start(registry))

    def address(self, name: str) -> ports.Address:
        """Return the address of a host."""
        return ports.address_of(f"10.0.0.{list(self.hosts).index(name) + 1}:7000")

    def run_until_quiescent(self) -> None:
        """Perform fault-free events until none is left; used while a scope is set up."""
        self.loop.run_until_idle()
        while event := next((e for e in choices.enabled(self) if not e.uses_budget), None):
            self.perform(event)
        self.touched_hosts.clear()

    # Calls.

    def send(
        self, source: hosts.Host, address: str, kind: str, body: frames.Body
    ) -> asyncio.Future[frames.Result]:
        """Send a request; the future gets its result."""
        target = self.hosts[list(self.hosts)[int(address.split(":")[0].split(".")[3]) - 1]]
        future: asyncio.Future[frames.Result] = self.loop.create_future()
        label = calls.describe(source.name, target.name, kind, body)
        self.calls.append(calls.Call(source, target, kind, cbor2.dumps(body), label, future))
        return future

    def deliver_request(self, call: calls.Call) -> None:
        """Deliver a request to its target and run it there."""
        call.phase = calls.Phase.RUNNING
        self.spawn(call.target, self._run(call))

    async def _run(self, call: calls.Call) -> None:
        await calls.serve(self.handlers.get(call.target.name, {}), call)
        store = self.stores.get(call.target.name)
        if store is not None and isinstance(call.reply, outcome.Success):
            self.record_violation(invariants.record_commitment(store, call.kind, cbor2.loads(call.body)))

    def deliver_reply(self, call: calls.Call) -> None:
        """Deliver a reply to its caller."""
        self.calls.remove(call)
        assert call.reply is not None
        call.source.now += self.settings.time_per_reply_s
        call.resolve(call.reply)

    def lose(self, call: calls.Call) -> None:
        """Lose a request or reply; the caller gets an error."""
        self.calls.remove(call)
        call.source.now += self.settings.time_per_reply_s
        call.resolve(outcome.failure("no_reply", "lost"))

    def give_up(self, call: calls.Call) -> None:
        """Let a caller time out; the request may still be delivered."""
        call.source.now += self.settings.time_per_reply_s
        call.resolve(outcome.failure("no_reply", "late"))

    def duplicate(self, call: calls.Call) -> None:
        """Add a duplicate of a request."""
        self.calls.append(dataclasses.replace(call, future=None, label=f"{call.label} again"))

    # Faults.

    def stop_host(self, host: hosts.Host) -> None:
        """End a process and discard its memory."""
        host.stop()
        self.handlers.pop(host.name, None)
        for call in self.calls:
            if call.target is host and call.phase is calls.Phase.RUNNING:
                call.phase = calls.Phase.BROKEN
            if call.source is host:
                call.future = None
        if host.name in self.stores:
            self.stores[host.name].disk.stop()
        for operation in self.history.operations.values():
            # A client on an ended host gets no answer to its pending operations.
            if operation.client == host.name and operation.answer is histories.Answer.NONE:
                self.history.record_answer(operation, histories.Answer.UNKNOWN)

    def lose_power(self, store: nodes.Store, step: int) -> None:
        """Cut the power of a store at a step of its disk's next operation."""
        assert isinstance(store.disk, disks.FileDisk)
        undecided = store.disk.cut_power(step)
        self.stop_host(store.host)
        self.power_loss = nodes.PowerLoss(store, undecided, [])
        self._advance_power_loss()

    def decide_change(self, keep: bool) -> None:
        """Keep or discard the next unsynced change."""
        assert self.power_loss is not None
        change = self.power_loss.undecided.pop(0)
        if keep:
            self.power_loss.kept.append(change)
        self._advance_power_loss()

    def _advance_power_loss(self) -> None:
        """Drop changes that cannot be reached any more; finish when nothing is left to decide."""
        assert self.power_loss is not None
        disk = self.power_loss.store.disk
        assert isinstance(disk, disks.FileDisk)
        reachable = disk.reachable(self.power_loss.kept, self.power_loss.undecided)
        self.power_loss.undecided = [c for c in self.power_loss.undecided if c.inode in reachable]
        if not self.power_loss.undecided:
            disk.lose_power(self.power_loss.kept)
            self.power_loss = None

    def restart(self, name: str) -> None:
        """Start a host's process again."""
        if name in self.registries:
            self._start_registry(self.registries[name])
            return
        store = self.stores[name]
        if isinstance(store.disk, disks.FileDisk):
            store.disk = store.disk.after_restart()
        self._start_store(store)

    def wipe(self, name: str) -> None:
        """Replace the disk of a stopped store by an empty one."""
        store = self.stores[name]
        store.disk = self._blank_disk()
        store.view = records.view(store.disk.records)

    def stop(self, name: str) -> None:
        """End a host's process."""
        self.stop_host(self.hosts[name])

    def fire_timer(self, host: hosts.Host) -> None:
        """Fire the host's earliest timer."""
        timer = host.earliest_timer()
        assert timer is not None
        host.timers.remove(timer)
        host.now = max(host.now, timer.due_at)
        self.loop.fire(timer)

    def cut(self, link: tuple[str, str]) -> None:
        """Block all messages from one host to another."""
        self.cuts.add(link)

    def cut_permanently(self, first: str, second: str) -> None:
        """Block all messages between two hosts for the whole execution."""
        self.permanent_cuts |= {(first, second), (second, first)}
        self.cuts |= self.permanent_cuts

    def heal(self, link: tuple[str, str]) -> None:
        """Unblock messages from one host to another."""
        self.cuts.discard(link)

    # Steps.

    def perform(self, event: events.Event, check_invariants: bool = True) -> None:
        """Perform an event and everything that follows from it without another choice."""
        if event.uses_budget:
            self.used_budget[event.kind] = self.used_budget.get(event.kind, 0) + 1
        self.touched_hosts |= event.hosts
        for name in event.hosts:
            self._extend_event_digest(name, f"{event.key} {event.detail()}")
        event.perform()
        self.loop.run_until_idle()
        if self.settings.immediate_replies:
            self._deliver_ready_replies()
        for failure in self.loop.failures:
            self.record_violation(f"I10 unhandled exception: {failure}")
        self.calls = [call for call in self.calls if self._is_relevant(call)]
        for name in event.hosts & self.stores.keys():
            self.stores[name].view = records.view(self.stores[name].disk.records)
        self.record_violation(invariants.check_hosts(self, event.hosts))
        # While a known path is repeated, only the per-host records of the invariants need updating.
        if check_invariants:
            self.record_violation(invariants.check_all_hosts(self))

    def _extend_event_digest(self, name: str, detail: str) -> None:
        event_digest = self._event_digests.get(name, b"")
        self._event_digests[name] = fingerprint.digest(f"{event_digest!r} {detail}")

    def _deliver_ready_replies(self) -> None:
        """Deliver all replies that are not blocked by a cut."""
        while ready_call := next((call for call in self.calls if self._can_deliver_reply(call)), None):
            self._extend_event_digest(ready_call.source.name, ready_call.state())
            self.deliver_reply(ready_call)
            self.loop.run_until_idle()

    def _can_deliver_reply(self, call: calls.Call) -> bool:
        reply_link = (call.target.name, call.source.name)
        return call.phase is calls.Phase.REPLY and reply_link not in self.cuts

    def _is_relevant(self, call: calls.Call) -> bool:
        # No caller waits for the call, and it has run or can never run.
        finished = call.future is None and call.phase in (calls.Phase.REPLY, calls.Phase.BROKEN)
        undeliverable = call.future is None and call.phase is calls.Phase.REQUEST and not call.target.up
        return not finished and not undeliverable

    def record_violation(self, message: str) -> None:
        """Record a violation, unless it is empty or an earlier one is recorded."""
        if message and not self.violation:
            self.violation = message

    def record_reported_value(self, key: str, value: register.Value) -> None:
        """Record a value that a client was given, and check that each version has one body."""
        reported = self.reported_values.setdefault((key, value.version), value.body)
        if reported != value.body:
            self.record_violation(f"I1 {key} version {value.version} is both {reported!r} and {value.body!r}")

    def digest(self) -> bytes:
        """Return the digest of the whole state."""
        call_states = sorted(call.state() for call in self.calls)
        used_budget = sorted((kind.value, count) for kind, count in self.used_budget.items())
        loss = self.power_loss
        undecided = None if loss is None else (loss.store.host.name, loss.undecided, loss.kept)
        faults = f"{sorted(self.touched_hosts)} {used_budget} {sorted(self.cuts)} {undecided}"
        rest = f"{call_states} {faults} {self.history.text()} {sorted(self.reported_values.items())}"
        states = [self.host_state(name) for name in self.hosts]
        return fingerprint.digest(f"{states} {rest}")

    def host_state(self, name: str) -> fingerprint.HostState:
        """Return the digests of a host's state."""
        event_digest = name.encode() + self._event_digests.get(name, b"")
        if event_digest not in self._host_states:
            self._host_states[event_digest] = self._new_host_state(self.hosts[name])
        return self._host_states[event_digest]

    def _new_host_state(self, host: hosts.Host) -> fingerprint.HostState:
        state = fingerprint.of_host(host)
        store = self.stores.get(host.name)
        if store is None:
            return state
        # Pending disk operations refer to the records that they will write.
        pending = fingerprint.of_objects([piece.run for piece in store.disk.pending])
        commitments = sorted(store.commitments.items())
        disk = f"{store.disk.content()} {pending!r} {commitments} {sorted(store.highest_epochs.items())}"
        return state._replace(core=fingerprint.digest(f"{state.core!r} {disk}"))

    def close(self) -> None:
        """Close every coroutine, so that none is left to the garbage collector."""
        self.loop.close()
        for host in self.hosts.values():
            for task in list(host.tasks):
                loops.unwind(task)
