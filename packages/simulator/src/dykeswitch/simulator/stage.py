"""The stage: one running fleet, what is done to it, and the history that is judged."""

import asyncio
import contextlib
import copy
import dataclasses
import random
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.machines as machines
import dykeswitch.simulator.observations as observations
import dykeswitch.simulator.operator as operators
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.caller as clients
import dykeswitch.standin.nature as profiles
import dykeswitch.standin.shape as shapes

Fault = typing.Callable[["Stage"], typing.Awaitable[None]]
# For how long the platform may go on sending to a machine that is gone.
PLATFORM_S: typing.Final = 1.5


class Stage:
    """One fleet under one day of faults."""

    def __init__(self, fleet: fleets.SimFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.story = histories.History()
        self.marker = 0
        self.fresh = 0
        self.notes: list[tuple[float, str]] = []

    @property
    def now(self) -> float:
        return self.fleet.clock.now()

    @property
    def links(self) -> typing.Any:
        return self.fleet.world.links

    def note(self, text: str) -> None:
        self.notes.append((round(self.now, 3), text))

    def report_failure(self, text: str) -> None:
        """Something that no check of the history would see."""
        self.story.crashes.append(f"{text}, at {self.now:.2f}")

    # Layouts.

    def layout(self) -> dict[str, typing.Any]:
        """A layout like the standing one, but that it sends some requests elsewhere."""
        self.marker += 1
        doc = shapes.rotating_layout(copy.deepcopy(self.fleet.shape.layout()), self.marker)
        doc["rules"].append({"path": f"/marker-{self.marker}", "service": self.fleet.shape.services[0].name})
        return doc

    def broken(self) -> dict[str, typing.Any]:
        doc = self.layout()
        kind = self.rng.randrange(3)
        if kind == 0:
            doc["rules"].append({"path": "/lost", "service": "nobody-knows"})
        elif kind == 1:
            doc["rules"].append(dict(doc["rules"][0]))
        else:
            doc["rulez"] = []
        return doc

    async def change(self, core: machines.Core | None = None) -> observations.LayoutPut:
        """One more layout, by some core."""
        return await self.fleet.put(self.layout(), core or self.core())

    def operator(self, **conditions: float) -> operators.Operator:
        """One more operator, whose orders and answers may be lost or come twice."""
        rng = random.Random(self.rng.getrandbits(64))
        return operators.Operator(self.fleet, rng, self.layout, operators.Conditions(**conditions))

    # Who there is.

    def core(self) -> machines.Core:
        return self.rng.choice(self.fleet.cores)

    def edge(self) -> machines.Edge:
        return self.rng.choice(self.up_edges())

    def up_edges(self) -> list[machines.Edge]:
        return [e for e in self.fleet.edges if e.node.up]

    def core_names(self) -> list[str]:
        return [n for core in self.fleet.cores for n in core.names()]

    def edge_names(self) -> list[str]:
        return [e.node.name for e in self.fleet.edges]

    def live_endpoints(self, service: str = "") -> list[str]:
        """Endpoints at work, but for those by which layouts are told apart."""
        fleet = self.fleet
        kept = {s.name for s in fleet.slots}
        return sorted(
            n
            for n, e in fleet.endpoints.items()
            if n in fleet.hosts
            and not fleet.hosts[n].dead
            and n not in fleet.left
            and service in ("", e.service)
            and e.service not in kept
        )

    def new_endpoint(
        self, service: shapes.ServiceShape, address: str, silent_s: float = 0.0, **changes: typing.Any
    ) -> str:
        """One more endpoint; its nature is its service's, but for what is changed."""
        self.fresh += 1
        name = f"{service.name}-new{self.fresh}"
        made = self.fleet.endpoint(name, service, address, self.fresh)
        made.profile = dataclasses.replace(made.profile, **changes)
        self.fleet.wake(made, silent_s)
        return name

    def some_of(self, service: str, part: float) -> list[str]:
        """A part of a service's endpoints, by lot."""
        names = self.live_endpoints(service)
        return self.rng.sample(names, max(1, round(len(names) * part)))

    def any_service(self) -> shapes.ServiceShape:
        return self.rng.choice(self.fleet.shape.services)

    # How endpoints and callers are for a while.

    @contextlib.contextmanager
    def with_profile(self, names: typing.Sequence[str], **changes: typing.Any) -> typing.Iterator[None]:
        """Endpoints of another nature; their pace is taken times the one given."""
        before: dict[str, profiles.EndpointProfile] = {}
        for name in names:
            endpoint = self.fleet.endpoints[name]
            before[name] = old = endpoint.profile
            fresh = {**changes, "pace": old.pace * changes.get("pace", 1.0)}
            endpoint.profile = dataclasses.replace(old, **fresh)
        yield
        for name, old in before.items():
            self.fleet.endpoints[name].profile = old

    @contextlib.contextmanager
    def with_fault_plan(
        self, names: typing.Sequence[str], fault: str, share: float = 1.0, **more: bool
    ) -> typing.Iterator[None]:
        """Endpoints that fail in one way."""
        for name in names:
            plan = self.fleet.endpoints[name].plan
            plan.fault, plan.share = fault, share
            plan.probe_too, plan.probe_only = more.get("probe_too", False), more.get("probe_only", False)
        yield
        for name in names:
            plan = self.fleet.endpoints[name].plan
            plan.fault, plan.probe_too, plan.probe_only = "none", False, False

    @contextlib.contextmanager
    def with_behavior(self, **behavior: typing.Any) -> typing.Iterator[None]:
        """Callers who come in another manner."""
        clients_of = self.fleet.clients
        before = clients_of.behavior
        clients_of.behavior = clients.ClientBehavior(**behavior)
        yield
        clients_of.behavior = before

    @contextlib.contextmanager
    def failing(self, *services: str) -> typing.Iterator[None]:
        """Services of which no endpoint, or too few, can answer meanwhile."""
        begun = self.now
        yield
        self.story.failing += [histories.Span(name, begun, self.now) for name in services]

    def shape_of(self, service: str) -> shapes.ServiceShape:
        return next(s for s in self.fleet.shape.services if s.name == service)

    # Machines that go and come.

    def mark_gone(self, edges: typing.Iterable[machines.Edge], begun: float) -> None:
        """Proxies were gone or frozen until now: what callers lost by it is excused."""
        for edge in edges:
            span = histories.Span(edge.web, begun, self.now + PLATFORM_S)
            self.story.gone.append(span)

    async def stop(self, node: worlds.Node) -> float:
        """An orderly stop; how long it took. Needing the hard signal is a flaw."""
        begun = self.now
        if not await node.stop(histories.GRACE_S):
            self.report_failure(f"{node.name} had to be killed after its grace")
        return self.now - begun

    async def wait_until_all_vote(self) -> None:
        """Wait until every living store has a seat in one and the same set."""
        cores = self.fleet.cores

        def so() -> bool:
            if any(c.store.daemon is None or not c.store.up for c in cores):
                return False
            voters = [c.store.daemon.voter for c in cores]
            return all(v.has_vote() and not v.members.is_joint() for v in voters) and (
                len({v.members.epoch for v in voters}) == 1
            )

        begun = self.now
        try:
            await self.fleet.until(so, 15, "every store seated")
            self.note(f"seated after {self.now - begun:.2f} s")
        except TimeoutError:
            self.report_failure(f"a store was not seated within 15 s of {begun:.2f}")

    def new_core(self, old: machines.Core, seeds: tuple[str, ...] = ()) -> machines.Core:
        """An empty core at a new address, the old seeds in its settings, for one that is gone."""
        fleet = self.fleet
        fleet.cores.remove(old)
        self.fresh += 1
        name = f"core-new{self.fresh}"
        core = fleet.core(name, self.fresh, fleet.world.address(), fleet.world.address(), seeds)
        fleet.cores.append(core)
        core.store.start()
        core.registry.start()
        return core

    # Callers that hold on.

    async def keep_sending(self, edge: machines.Edge, span: float) -> None:
        """Callers that come to one proxy all the time, whatever the platform or it may say."""
        end = self.now + span
        services = self.fleet.shape.services
        async with asyncio.TaskGroup() as group:
            while self.now < end:
                await asyncio.sleep(0.1)
                group.create_task(self._send_ignoring_readiness(self.rng.choice(services), edge.web))
                group.create_task(self.fleet.clients.check_route(edge.web))

    async def _send_ignoring_readiness(self, service: shapes.ServiceShape, address: str) -> None:
        request = await self.fleet.clients.send_request(service, address)
        self.story.ignoring_readiness.add(request.name)
