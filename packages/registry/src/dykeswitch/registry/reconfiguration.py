"""Reconfiguration: founds the member set of the register, and keeps votes where they belong.

A vote moves in two steps: a joint set that needs majorities of the old voters and the new,
then, once every key is written under it, the new set alone. A vote is taken away only for
another that is given, and one change is finished before the next begins. Which vote
should move is decided in `dykeswitch.register.placement`.
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
    """Keeps the member set true to the stores there are."""

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
        # Since when each voter has been silent.
        self._silent: dict[str, float] = {}
        self._changes = 0
        # Where each disk stands; kept also of those that are silent by now.
        self.sites: dict[str, replicas.Site] = {}
        # What the stores that answered last told, by disk.
        self.states: dict[str, replicas.ReplicaState] = {}
        self.tolerance = placement.Tolerance(config.cores_lost, config.zones_lost, config.regions_lost)

    async def reconcile(
        self,
        addresses: typing.Collection[str],
        live: typing.Collection[str],
        stores: typing.Mapping[str, str] | None = None,
    ) -> None:
        """One round: look at every store, then do the one thing that is next.

        `stores` tells the address of the store beside each live registry.
        """
        await self._look(addresses)
        if not self._proposer.members.groups:
            await self._found()
            return
        await self._install(self._proposer.members)
        # One registry drives a change of members; the others watch.
        if duties.first_of("seating", self._drivers(live, stores or {})) != self._name:
            return
        if await self._behind():
            return
        if not self._proposer.members.is_joint():
            await self._retire_replaced()
            await self._replace()
        if self._proposer.members.is_joint():
            await self._finish()

    def silent_s(self, disk: str) -> float:
        """For how long a voter has been silent, or unable to write; 0 if it is not."""
        since = self._silent.get(disk)
        return 0.0 if since is None else self._clock.now() - since

    def worst_loss(self) -> int:
        """How many voters the worst loss that must be borne takes away."""
        return placement.worst_loss(self._proposer.members.disks(), self.sites, self.tolerance)

    def _drivers(
        self, live: typing.Collection[str], stores: typing.Mapping[str, str]
    ) -> typing.Collection[str]:
        """Registries that may drive a change: the machines of the lost and the leaving are left out.

        A registry that is gone counts as live for a while yet, but the store beside it is
        silent at once. One beside a voter goes first: it has watched the others for a while.
        Two that drive at a time do no harm: each step is by compare-and-set.
        """
        voters = self._proposer.members.disks()
        staying = [state for state in self.states.values() if not state.leaving]
        beside = {state.address: state.disk in voters for state in staying}
        found = [name for name in live if stores.get(name, "") in beside]
        return [name for name in found if beside[stores[name]]] or found or live

    async def _look(self, addresses: typing.Collection[str]) -> None:
        known = {self._proposer.quorum.addresses.get(d, s) for d, s in self._proposer.members.disks().items()}
        # Founders that were replaced are not asked for ever.
        founders = () if self._proposer.members.groups else self._config.founders
        asked = sorted(known | {ports.address_of(told) for told in (*addresses, *founders)})
        wait = self._config.state_wait_s
        results = await asyncio.gather(
            *(self._call_client.call(address, "state", {}, wait) for address in asked)
        )
        self.states = {}
        for address, result in zip(asked, results):
            if isinstance(result, outcome.Success):
                self._take_state(address, result.value)
        now = self._clock.now()
        for disk in self._proposer.members.disks():
            # A disk that refuses to write is as lost as one that is silent.
            if disk in self.states and not self.states[disk].damaged:
                self._silent.pop(disk, None)
            else:
                self._silent.setdefault(disk, now)

    def _take_state(self, address: ports.Address, body: frames.Body) -> None:
        try:
            state = replicas.decode(body, address)
        except ValueError as flaw:
            # As good as silent: what it says can't be gone by.
            self._note("state refused", f"{address}: {flaw}")
            return
        self.states[state.disk] = state
        self.sites[state.disk] = state.site
        self._proposer.quorum.addresses[state.disk] = address
        self._proposer.quorum.adopt(state.members)

    async def _found(self) -> None:
        """Found only when all founding members are reached and blank."""
        founders = self._config.founders
        by_address = {state.address: state for state in self.states.values()}
        if not founders or any(address not in by_address for address in founders):
            return
        found = [by_address[address] for address in founders]
        if not all(state.blank for state in found):
            return
        # Where none of them counts, somebody has to vote all the same.
        voting = [state for state in found if state.site.eligible] or found
        first = register.MemberSet(1, (tuple(sorted((state.disk, state.address) for state in voting)),))
        # Whoever founds writes the very same set: the disks' own ids make it so.
        done = await self._install(first)
        self._note("member set founded", f"{len(done)} of {len(voting)}")
        self._proposer.quorum.adopt(first)

    async def _install(self, members: register.MemberSet) -> set[str]:
        """Bring a committed set to every store that we see at an older one."""
        old = [
            state
            for _, state in sorted(self.states.items())
            if state.members.epoch < members.epoch and (state.disk in members.disks() or not state.vacant)
        ]
        results = await asyncio.gather(
            *(self._tell(state, messages.Install(members, state.disk)) for state in old)
        )
        for state, result in zip(old, results):
            if isinstance(result, outcome.Success):
                self.states[state.disk] = state.with_members(members)
        return self._holding(members.epoch)

    async def _tell(
        self, state: replicas.ReplicaState, told: messages.Install | messages.Retire
    ) -> frames.Result:
        return await self._call_client.call(
            self._address_of(state.disk), told.KIND, messages.encode(told), self._config.call_timeout_s
        )

    def _address_of(self, disk: str) -> ports.Address:
        """Where a store that told its state was reached."""
        return self._proposer.quorum.addresses[disk]

    def _holding(self, epoch: int) -> set[str]:
        return {disk for disk, state in self.states.items() if state.members.epoch >= epoch}

    async def _behind(self) -> bool:
        """Whether a later set was decided than is installed; if so, bring it out."""
        result = await self._proposer.read(register.MEMBERS_KEY)
        if isinstance(result, outcome.Failure):
            return True
        decided = register.member_set_from_body(result.value)
        if decided.epoch <= self._proposer.members.epoch:
            return False
        self._proposer.quorum.adopt(decided)
        await self._install(decided)
        return True

    async def _move(self, was: register.MemberSet, fresh: register.MemberSet) -> bool:
        """Decide the next set in the register, under the rule of the one it was made from."""
        self._changes += 1
        op = f"{self._name}/seat/{self._changes}/{fresh.epoch}"

        def step(now: register.Value) -> register.Value | outcome.Failure:
            if now.version_of(op) is not None:
                return now
            held = register.member_set_from_body(now)
            # The founding set stands on the disks alone, not in the register. What the
            # proposer knows by now may be a later set than the one this was made from.
            if held.epoch != (0 if was.epoch == 1 else was.epoch):
                return outcome.failure("conflict", f"epoch {held.epoch}")
            return now.successor(register.member_set_to_body(fresh), op)

        result = await self._proposer.change(register.MEMBERS_KEY, step)
        return isinstance(result, outcome.Success)

    def _lost(self, members: register.MemberSet) -> list[str]:
        """Voters that will not answer again, as far as can be told."""
        answering = {state.address: disk for disk, state in self.states.items()}
        lost = [d for d in self._silent if self.silent_s(d) >= self._config.disk_replace_after_s]
        # Where another disk answers by now at its own store's address, it will not come back.
        lost += [d for d in self._silent if answering.get(members.disks().get(d, ""), d) != d]
        return [disk for disk in members.disks() if disk in lost]

    def _departing(self, members: register.MemberSet) -> list[str]:
        """Voters that should give their vote to another, the most urgent first."""
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
        """Begin the one change of votes that should come next, if any."""
        members = self._proposer.members
        voters = members.disks()
        change = placement.next_change(
            list(voters), self._departing(members), self._spares(members), self.sites, self.tolerance
        )
        if change is None:
            return
        self._note("votes move", f"{', '.join(change.add)} for {', '.join(change.remove) or 'nobody'}")
        group = {disk: address for disk, address in voters.items() if disk not in change.remove}
        group |= {disk: self._address_of(disk) for disk in change.add}
        joint = register.MemberSet(members.epoch + 1, (members.groups[0], tuple(sorted(group.items()))))
        if not await self._move(members, joint):
            return
        self._fault_points.hit(POINT_JOINT_WRITTEN)
        self._proposer.quorum.adopt(joint)
        await self._install(joint)
        self._fault_points.hit(POINT_JOINT_INSTALLED)

    async def _finish(self) -> None:
        """From the joint set to the new one, once all keys are written under it."""
        joint = self._proposer.members
        holding = await self._install(joint)
        # Until majorities of both refuse the older set, it might still be acted on.
        if not register.has_majorities(joint.groups, holding):
            return
        if not await self._rewrite_keys():
            return
        self._fault_points.hit(POINT_SWEPT)
        fresh = register.MemberSet(joint.epoch + 1, (joint.groups[-1],))
        if not await self._move(joint, fresh):
            return
        self._fault_points.hit(POINT_NEW_WRITTEN)
        self._proposer.quorum.adopt(fresh)
        await self._install(fresh)
        self._silent = {disk: since for disk, since in self._silent.items() if disk in fresh.disks()}
        self._note("votes moved", f"epoch {fresh.epoch}")
        await self._retire_replaced()

    async def _rewrite_keys(self) -> bool:
        """Write every key under the set in force, so that the new voters hold it."""
        keys = await self._proposer.copies.keys()
        for key in keys or ():
            if key == register.MEMBERS_KEY:
                continue
            result = await self._proposer.change(key, lambda now: now)
            if isinstance(result, outcome.Failure):
                return False
        return keys is not None

    async def _retire_replaced(self) -> None:
        """Have replaced stores emptied, to be given a vote anew, once nobody needs them to learn of it.

        While less than a majority holds the new set, a replaced store may be the only one
        left to tell of it, and its vote may be needed in the old one.
        """
        members = self._proposer.members
        if not register.has_majorities(members.groups, self._holding(members.epoch)):
            return
        replaced = [
            state
            for disk, state in sorted(self.states.items())
            if not state.vacant and disk not in members.disks() and not state.damaged
        ]
        await asyncio.gather(*(self._tell(state, messages.Retire(members, state.disk)) for state in replaced))
