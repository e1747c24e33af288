"""Reconfiguration: founds the register's member set, and moves votes between stores.

A vote moves in two steps: first a joint set that needs majorities of both the old voters and
the new ones; then, once every key has been written under it, the new set alone. A vote is
removed only when another one is added, and one change is finished before the next begins.
`dykeswitch.register.placement` decides which vote should move.
"""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.placement as placement
import dykeswitch.register.proposer as proposers
import dykeswitch.register.replica as replicas
import dykeswitch.registry.duties as duties
import dykeswitch.settings as settings

# Numbered points at which a test may inject a fault.
POINT_JOINT_WRITTEN: typing.Final = 31
POINT_JOINT_INSTALLED: typing.Final = 32
POINT_SWEPT: typing.Final = 33
POINT_NEW_WRITTEN: typing.Final = 34


class Reconfiguration:
    """Keeps the member set up to date with the available stores."""

    def __init__(
        self,
        name: str,
        config: settings.Settings,
        machine: ports.Machine,
        call_client: frames.CallClient,
        proposer: proposers.Proposer,
        note: typing.Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._config = config
        self._clock = machine.clock
        self._fault_points = machine.fault_points
        self._call_client = call_client
        self._proposer = proposer
        self._note = note
        # Since when each voter has not answered, or has been unable to write.
        self._silent_since: dict[str, float] = {}
        self._changes = 0
        # The site of each disk, also of disks that no longer answer.
        self.sites: dict[str, replicas.Site] = {}
        # The states of the stores that answered the latest poll, by disk.
        self.states: dict[str, replicas.ReplicaState] = {}
        self.tolerance = placement.Tolerance(config.cores_lost, config.zones_lost, config.regions_lost)

    async def reconcile(
        self,
        addresses: typing.Collection[str],
        live: typing.Collection[str],
        stores: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Run one round: poll every store, then take the next step that is due.

        `stores` maps each live registry to the address of the store on its machine.
        """
        await self._poll_stores(addresses)
        if not self._proposer.members.groups:
            await self._found_member_set()
            return
        await self._install(self._proposer.members)
        # One registry drives changes of the member set; the others only poll.
        if duties.rendezvous_owner("seating", self._drivers(live, stores or {})) != self._name:
            return
        if await self._adopt_newer_set():
            return
        if not self._proposer.members.is_joint():
            await self._retire_replaced()
            await self._replace()
        if self._proposer.members.is_joint():
            await self._finish()

    def silent_s(self, disk: str) -> float:
        """For how long a voter has been silent or unable to write; 0 if it works."""
        since = self._silent_since.get(disk)
        return 0.0 if since is None else self._clock.now() - since

    def worst_loss(self) -> int:
        """How many voters the worst loss that must be survived takes away."""
        return placement.worst_loss(self._proposer.members.disks(), self.sites, self.tolerance)

    def _drivers(
        self, live: typing.Collection[str], stores: typing.Mapping[str, str]
    ) -> typing.Collection[str]:
        """Registries that may drive a change: not those on lost or leaving machines.

        A failed registry still counts as live for a while, but the store on its machine is
        silent at once. Registries on a voter's machine are preferred, since they have been
        polling the others for longer. Two drivers at the same time are harmless, because each
        step is a compare-and-set.
        """
        voters = self._proposer.members.disks()
        staying = [state for state in self.states.values() if not state.leaving]
        has_vote_at = {state.address: state.disk in voters for state in staying}
        candidates = [name for name in live if stores.get(name, "") in has_vote_at]
        return [name for name in candidates if has_vote_at[stores[name]]] or candidates or live

    async def _poll_stores(self, addresses: typing.Collection[str]) -> None:
        known = {self._proposer.quorum.addresses.get(d, s) for d, s in self._proposer.members.disks().items()}
        # Once there is a member set, founders are not polled: replaced ones would be polled for ever.
        founders = () if self._proposer.members.groups else self._config.founders
        targets = sorted(known | {ports.address_of(text) for text in (*addresses, *founders)})
        timeout_s = self._config.state_wait_s
        results = await asyncio.gather(
            *(self._call_client.call(address, "state", {}, timeout_s) for address in targets)
        )
        self.states = {}
        for address, result in zip(targets, results):
            if isinstance(result, outcome.Success):
                self._record_state(address, result.value)
        now = self._clock.now()
        for disk in self._proposer.members.disks():
            # A disk that refuses writes is as lost as one that does not answer.
            if disk in self.states and not self.states[disk].damaged:
                self._silent_since.pop(disk, None)
            else:
                self._silent_since.setdefault(disk, now)

    def _record_state(self, address: ports.Address, body: frames.Body) -> None:
        try:
            state = replicas.decode(body, address)
        except ValueError as error:
            # Treated like a store that does not answer, since its state can't be relied on.
            self._note("malformed store state", f"{address}: {error}")
            return
        self.states[state.disk] = state
        self.sites[state.disk] = state.site
        self._proposer.quorum.addresses[state.disk] = address
        self._proposer.quorum.adopt(state.members)

    async def _found_member_set(self) -> None:
        """Found the member set, only if all founders answer and are blank."""
        founders = self._config.founders
        by_address = {state.address: state for state in self.states.values()}
        if not founders or any(address not in by_address for address in founders):
            return
        founder_states = [by_address[address] for address in founders]
        if not all(state.blank for state in founder_states):
            return
        # If none of the founders is eligible, all of them vote, since somebody must.
        voting = [state for state in founder_states if state.site.eligible] or founder_states
        founding_set = register.MemberSet(
            1, (tuple(sorted((state.disk, state.address) for state in voting)),)
        )
        # Every founding registry writes an identical set, since it is derived from the disks' own ids.
        installed = await self._install(founding_set)
        self._note("member set founded", f"installed at {len(installed)} of {len(voting)} voters")
        self._proposer.quorum.adopt(founding_set)

    async def _install(self, members: register.MemberSet) -> set[str]:
        """Install a committed set at stores known to have an older one; returns the disks that have it."""
        outdated = [
            state
            for _, state in sorted(self.states.items())
            if state.members.epoch < members.epoch and (state.disk in members.disks() or not state.vacant)
        ]
        results = await asyncio.gather(
            *(self._send(state, messages.Install(members, state.disk)) for state in outdated)
        )
        for state, result in zip(outdated, results):
            if isinstance(result, outcome.Success):
                self.states[state.disk] = state.with_members(members)
        return self._disks_at_epoch(members.epoch)

    async def _send(
        self, state: replicas.ReplicaState, message: messages.Install | messages.Retire
    ) -> frames.Result:
        return await self._call_client.call(
            self._address_of(state.disk), message.KIND, messages.encode(message), self._config.call_timeout_s
        )

    def _address_of(self, disk: str) -> ports.Address:
        """The address at which a store last answered with its state."""
        return self._proposer.quorum.addresses[disk]

    def _disks_at_epoch(self, epoch: int) -> set[str]:
        return {disk for disk, state in self.states.items() if state.members.epoch >= epoch}

    async def _adopt_newer_set(self) -> bool:
        """Install a later member set, if the register has one.

        Returns whether there was one; also true if the register could not be read.
        """
        result = await self._proposer.read(register.MEMBERS_KEY)
        if isinstance(result, outcome.Failure):
            return True
        decided = register.member_set_from_body(result.value)
        if decided.epoch <= self._proposer.members.epoch:
            return False
        self._proposer.quorum.adopt(decided)
        await self._install(decided)
        return True

    async def _commit(self, base: register.MemberSet, proposed: register.MemberSet) -> bool:
        """Commit the next set to the register, by the quorum rule of the set it is based on."""
        self._changes += 1
        op = f"{self._name}/seat/{self._changes}/{proposed.epoch}"

        def step(current: register.Value) -> register.Value | outcome.Failure:
            if current.version_of(op) is not None:
                return current
            stored = register.member_set_from_body(current)
            # The founding set is only on the disks, not in the register. The proposer may by now
            # know a later set than the one that this change is based on.
            if stored.epoch != (0 if base.epoch == 1 else base.epoch):
                return outcome.failure("conflict", f"the register has member set epoch {stored.epoch}")
            return current.successor(register.member_set_to_body(proposed), op)

        result = await self._proposer.change(register.MEMBERS_KEY, step)
        return isinstance(result, outcome.Success)

    def _lost(self, members: register.MemberSet) -> list[str]:
        """Voters that are presumed not to answer again."""
        answering = {state.address: disk for disk, state in self.states.items()}
        lost = [d for d in self._silent_since if self.silent_s(d) >= self._config.disk_replace_after_s]
        # A silent disk is lost at once if a different disk now answers at its address.
        lost += [d for d in self._silent_since if answering.get(members.disks().get(d, ""), d) != d]
        return [disk for disk in members.disks() if disk in lost]

    def _departing(self, members: register.MemberSet) -> list[str]:
        """Voters whose vote should move to another store, the most urgent first."""
        voters = members.disks()
        seen = [self.states[disk] for disk in voters if disk in self.states]
        leaving = [state.disk for state in seen if state.leaving]
        ineligible = [state.disk for state in seen if not state.site.eligible]
        if len(ineligible) == len(voters):
            ineligible = []
        return list(dict.fromkeys([*self._lost(members), *leaving, *ineligible]))

    def _spares(self, members: register.MemberSet) -> list[str]:
        """Stores without a vote that may be given one."""
        spares = [state for disk, state in self.states.items() if state.spare and disk not in members.disks()]
        voters = [self.states[disk] for disk in members.disks() if disk in self.states]
        anyone = not any(state.site.eligible for state in [*spares, *voters])
        return [state.disk for state in spares if state.site.eligible or anyone]

    async def _replace(self) -> None:
        """Begin the next change of votes, if any is due."""
        members = self._proposer.members
        voters = members.disks()
        change = placement.next_change(
            list(voters), self._departing(members), self._spares(members), self.sites, self.tolerance
        )
        if change is None:
            return
        self._note(
            "moving votes", f"to {', '.join(change.add)} from {', '.join(change.remove) or 'no store'}"
        )
        group = {disk: address for disk, address in voters.items() if disk not in change.remove}
        group |= {disk: self._address_of(disk) for disk in change.add}
        joint = register.MemberSet(members.epoch + 1, (members.groups[0], tuple(sorted(group.items()))))
        if not await self._commit(members, joint):
            return
        self._fault_points.hit(POINT_JOINT_WRITTEN)
        self._proposer.quorum.adopt(joint)
        await self._install(joint)
        self._fault_points.hit(POINT_JOINT_INSTALLED)

    async def _finish(self) -> None:
        """Go from the joint set to the new set alone, once all keys are written under the joint one."""
        joint = self._proposer.members
        installed = await self._install(joint)
        # Until majorities of both groups have this set and refuse the older one, the older set may
        # still be used.
        if not register.has_majorities(joint.groups, installed):
            return
        if not await self._rewrite_keys():
            return
        self._fault_points.hit(POINT_SWEPT)
        final = register.MemberSet(joint.epoch + 1, (joint.groups[-1],))
        if not await self._commit(joint, final):
            return
        self._fault_points.hit(POINT_NEW_WRITTEN)
        self._proposer.quorum.adopt(final)
        await self._install(final)
        self._silent_since = {
            disk: since for disk, since in self._silent_since.items() if disk in final.disks()
        }
        self._note("votes moved", f"epoch {final.epoch}")
        await self._retire_replaced()

    async def _rewrite_keys(self) -> bool:
        """Write every key under the current set, so that the new voters store it."""
        keys = await self._proposer.copies.keys()
        for key in keys or ():
            if key == register.MEMBERS_KEY:
                continue
            result = await self._proposer.change(key, lambda current: current)
            if isinstance(result, outcome.Failure):
                return False
        return keys is not None

    async def _retire_replaced(self) -> None:
        """Have replaced stores erased, so that they may be given a vote again, once this is safe.

        Until a majority has the new set, a replaced store may be the only one left that knows
        it, and its vote may be needed in the old set.
        """
        members = self._proposer.members
        if not register.has_majorities(members.groups, self._disks_at_epoch(members.epoch)):
            return
        replaced = [
            state
            for disk, state in sorted(self.states.items())
            if not state.vacant and disk not in members.disks() and not state.damaged
        ]
        await asyncio.gather(*(self._send(state, messages.Retire(members, state.disk)) for state in replaced))
