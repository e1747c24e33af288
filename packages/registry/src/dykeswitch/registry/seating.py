"""Seating: founds the member set, seats blank disks, and finishes what was begun.

A disk that is lost gives way to a blank one in two steps: a joint set that needs
majorities of old and new, then, once every key is written under it, the new set.
"""

import asyncio
import typing

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.registry.duties as duties
import dykeswitch.settings as settings

# Numbered points at which a test may inject a fault.
POINT_JOINT_WRITTEN: typing.Final = 31
POINT_JOINT_INSTALLED: typing.Final = 32
POINT_SWEPT: typing.Final = 33
POINT_NEW_WRITTEN: typing.Final = 34


class Seating:
    """Keeps the member set true to the disks there are."""

    def __init__(
        self,
        name: str,
        bounds: settings.Settings,
        machine: ports.Machine,
        caller: frames.Caller,
        proposer: proposers.Proposer,
        note: typing.Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._bounds = bounds
        self._clock = machine.clock
        self._points = machine.points
        self._caller = caller
        self._proposer = proposer
        self._note = note
        self._silent: dict[str, float] = {}
        self._ops = 0
        self.states: dict[str, frames.Body] = {}

    async def tend(self, addresses: typing.Collection[str], live: typing.Collection[str]) -> None:
        """One round: look at every store, then do the one thing that is next."""
        await self._look(addresses)
        if not self._proposer.members.groups:
            await self._found()
            return
        await self._install(self._proposer.members)
        # One registry drives a change of members; the others watch.
        if duties.first_of("seating", live) != self._name:
            return
        if await self._behind():
            return
        if self._proposer.members.joint():
            await self._finish()
        else:
            await self._swap()

    async def _look(self, addresses: typing.Collection[str]) -> None:
        known = {self._proposer.addresses.get(d, s) for d, s in self._proposer.members.disks().items()}
        asked = sorted(known | set(addresses) | set(self._bounds.founders))
        results = await asyncio.gather(
            *(self._caller.ask(address, "state", {}, self._bounds.call_s) for address in asked)
        )
        self.states = {}
        now = self._clock.now()
        for address, result in zip(asked, results):
            if isinstance(result, outcome.Bad):
                continue
            state = result.value
            disk = str(state["disk"])
            self.states[disk] = {**state, "spot": address}
            self._proposer.addresses[disk] = address
            self._proposer.adopt(register.set_of(state["set"]))
        for disk in self._proposer.members.disks():
            # A disk that refuses to write is as lost as one that is silent.
            here = disk in self.states and not self.states[disk]["damaged"]
            if here:
                self._silent.pop(disk, None)
            else:
                self._silent.setdefault(disk, now)

    async def _found(self) -> None:
        """Found only when all founding members are reached and blank."""
        founders = self._bounds.founders
        by_address = {str(state["spot"]): disk for disk, state in self.states.items()}
        if not founders or any(address not in by_address for address in founders):
            return
        disks = [by_address[address] for address in founders]
        if not all(self.states[disk]["blank"] for disk in disks):
            return
        first = register.MemberSet(1, (tuple(sorted(zip(disks, founders))),))
        # Whoever founds writes the very same set: the disks' own ids make it so.
        done = await self._install(first)
        self._note("member set founded", f"{len(done)} of {len(disks)}")
        self._proposer.adopt(first)

    async def _install(self, members: register.MemberSet) -> set[str]:
        """Bring a committed set to every store that we see at an older one."""
        old = {
            disk: state
            for disk, state in self.states.items()
            if register.set_of(state["set"]).epoch < members.epoch
            and (disk in members.disks() or not state["blank"])
        }
        ask: frames.Body = {"set": members.wire()}
        results = await asyncio.gather(
            *(
                self._caller.ask(str(state["spot"]), "install", {**ask, "disk": disk}, self._bounds.call_s)
                for disk, state in sorted(old.items())
            )
        )
        for (_, state), result in zip(sorted(old.items()), results):
            if isinstance(result, outcome.Good):
                state["set"] = members.wire()
        return self._holding(members.epoch)

    def _holding(self, epoch: int) -> set[str]:
        return {disk for disk, state in self.states.items() if register.set_of(state["set"]).epoch >= epoch}

    async def _behind(self) -> bool:
        """Whether a later set was decided than is installed; if so, bring it out."""
        result = await self._proposer.read(register.MEMBERS)
        if isinstance(result, outcome.Bad):
            return True
        decided = proposers.decode_set(result.value)
        if decided.epoch <= self._proposer.members.epoch:
            return False
        self._proposer.adopt(decided)
        await self._install(decided)
        return True

    async def _move(self, was: register.MemberSet, fresh: register.MemberSet) -> bool:
        """Decide the next set in the register, under the rule of the one it was made from."""
        self._ops += 1
        op = f"{self._name}/seat/{self._ops}/{fresh.epoch}"

        def step(now: register.Value) -> register.Value | outcome.Bad:
            if now.made(op) is not None:
                return now
            held = proposers.decode_set(now)
            # The founding set stands on the disks alone, not in the register. What the
            # proposer knows by now may be a later set than the one this was made from.
            if held.epoch != (0 if was.epoch == 1 else was.epoch):
                return outcome.bad("conflict", f"epoch {held.epoch}")
            return now.next(proposers.encode_set(fresh), op)

        result = await self._proposer.change(register.MEMBERS, step)
        return isinstance(result, outcome.Good)

    async def _swap(self) -> None:
        """Let one lost disk give way to one blank disk, or seat more where the set is too small."""
        members = self._proposer.members
        now = self._clock.now()
        lost = [d for d, since in self._silent.items() if now - since >= self._bounds.swap_s]
        # Where another disk answers by now at its own store's address, it will not come back.
        others = {str(state["spot"]): disk for disk, state in self.states.items()}
        lost += [d for d in self._silent if others.get(members.disks().get(d, ""), d) != d]
        lost = [d for d in lost if d in members.disks()]
        spare = sorted(
            disk
            for disk, state in self.states.items()
            if state["blank"] and disk not in members.disks() and not state["damaged"]
        )
        group = dict(members.groups[0])
        if lost and spare:
            del group[lost[0]]
            fresh = spare[:1]
            self._note("seating", f"{spare[0]} for {lost[0]}")
        else:
            # Founded by the few that were known at first: it grows until it bears the loss of as
            # many as may go at once.
            fresh = spare[: max(0, self._bounds.cores_lost * 2 + 1 - len(group))]
            if not fresh:
                return
            self._note("seating", f"{', '.join(fresh)} more")
        group.update((disk, str(self.states[disk]["spot"])) for disk in fresh)
        joint = register.MemberSet(members.epoch + 1, (members.groups[0], tuple(sorted(group.items()))))
        if not await self._move(members, joint):
            return
        self._points.hit(POINT_JOINT_WRITTEN)
        self._proposer.adopt(joint)
        await self._install(joint)
        self._points.hit(POINT_JOINT_INSTALLED)

    async def _finish(self) -> None:
        """From the joint set to the new one, once all keys are written under it."""
        joint = self._proposer.members
        holding = await self._install(joint)
        # Until majorities of both refuse the older set, it might still be acted on.
        if not register.carried(joint.groups, holding):
            return
        keys = await self._proposer.keys()
        if keys is None:
            return
        for key in keys:
            if key == register.MEMBERS:
                continue
            result = await self._proposer.change(key, lambda now: now)
            if isinstance(result, outcome.Bad):
                return
        self._points.hit(POINT_SWEPT)
        fresh = register.MemberSet(joint.epoch + 1, (joint.groups[-1],))
        if not await self._move(joint, fresh):
            return
        self._points.hit(POINT_NEW_WRITTEN)
        self._proposer.adopt(fresh)
        await self._install(fresh)
        self._silent.clear()
        self._note("seated", f"epoch {fresh.epoch}")
