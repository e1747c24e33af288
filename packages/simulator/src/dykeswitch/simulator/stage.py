"""The stage: one running fleet, helpers for fault injection, and the history that is checked."""

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
# For how many seconds the platform may still send requests to a machine that is down.
PLATFORM_S: typing.Final = 1.5


class Stage:
    """One fleet, and the record of the faults of one day."""

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
        """Record a failure that no check of the history would find."""
        self.story.crashes.append(f"{text}, at {self.now:.2f}")

    # Layouts.

    def layout(self) -> dict[str, typing.Any]:
        """Return a new layout that differs from all before: it sends some requests to other services."""
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
        """Send a new layout to a given or a random core."""
        return await self.fleet.put(self.layout(), core or self.core())

    def operator(self, **conditions: float) -> operators.Operator:
        """Create an operator whose answers may be lost and whose orders may arrive twice."""
        rng = random.Random(self.rng.getrandbits(64))
        return operators.Operator(self.fleet, rng, self.layout, operators.Conditions(**conditions))

    # Machines and endpoints.

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
        """Return the running endpoints, without those of the route checks."""
        fleet = self.fleet
        route_check_services = {s.name for s in fleet.slots}
        return sorted(
            n
            for n, e in fleet.endpoints.items()
            if n in fleet.hosts
            and not fleet.hosts[n].dead
            and n not in fleet.left
            and service in ("", e.service)
            and e.service not in route_check_services
        )

    def new_endpoint(
        self, service: shapes.ServiceShape, address: str, silent_s: float = 0.0, **changes: typing.Any
    ) -> str:
        """Start a new endpoint with its service's profile, except for the given changes."""
        self.fresh += 1
        name = f"{service.name}-new{self.fresh}"
        created = self.fleet.endpoint(name, service, address, self.fresh)
        created.profile = dataclasses.replace(created.profile, **changes)
        self.fleet.start_endpoint(created, silent_s)
        return name

    def some_of(self, service: str, part: float) -> list[str]:
        """Return a random sample of a service's endpoints, at least one; `part` is its share."""
        names = self.live_endpoints(service)
        return self.rng.sample(names, max(1, round(len(names) * part)))

    def any_service(self) -> shapes.ServiceShape:
        return self.rng.choice(self.fleet.shape.services)

    # Temporary behavior of endpoints and clients.

    @contextlib.contextmanager
    def with_profile(self, names: typing.Sequence[str], **changes: typing.Any) -> typing.Iterator[None]:
        """Change the profile of endpoints meanwhile; a given pace multiplies their own."""
        before: dict[str, profiles.EndpointProfile] = {}
        for name in names:
            endpoint = self.fleet.endpoints[name]
            before[name] = old = endpoint.profile
            new_values = {**changes, "pace": old.pace * changes.get("pace", 1.0)}
            endpoint.profile = dataclasses.replace(old, **new_values)
        yield
        for name, old in before.items():
            self.fleet.endpoints[name].profile = old

    @contextlib.contextmanager
    def with_fault_plan(
        self, names: typing.Sequence[str], fault: str, share: float = 1.0, **more: bool
    ) -> typing.Iterator[None]:
        """Let endpoints fail in one way meanwhile, for a share of their requests."""
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
        """Change the behavior of all clients meanwhile."""
        fleet_clients = self.fleet.clients
        before = fleet_clients.behavior
        fleet_clients.behavior = clients.ClientBehavior(**behavior)
        yield
        fleet_clients.behavior = before

    @contextlib.contextmanager
    def failing(self, *services: str) -> typing.Iterator[None]:
        """Record services as failing: meanwhile none, or too few, of their endpoints can answer."""
        started_at = self.now
        yield
        self.story.failing += [histories.Span(name, started_at, self.now) for name in services]

    def shape_of(self, service: str) -> shapes.ServiceShape:
        return next(s for s in self.fleet.shape.services if s.name == service)

    # Machines that stop and start.

    def mark_gone(self, edges: typing.Iterable[machines.Edge], started_at: float) -> None:
        """Record that proxies were down or frozen until now: requests that failed by it are excused."""
        for edge in edges:
            outage = histories.Span(edge.web, started_at, self.now + PLATFORM_S)
            self.story.gone.append(outage)

    async def stop(self, node: worlds.Node) -> float:
        """Stop a program and return the seconds it took; it is a failure if it has to be killed."""
        started_at = self.now
        if not await node.stop(histories.GRACE_S):
            self.report_failure(f"{node.name} had to be killed after its grace period")
        return self.now - started_at

    async def wait_until_all_vote(self) -> None:
        """Wait until every store votes in the same member set, with no change of members under way."""
        cores = self.fleet.cores

        def all_vote() -> bool:
            if any(c.store.daemon is None or not c.store.up for c in cores):
                return False
            voters = [c.store.daemon.voter for c in cores]
            return all(v.has_vote() and not v.members.is_joint() for v in voters) and (
                len({v.members.epoch for v in voters}) == 1
            )

        started_at = self.now
        try:
            await self.fleet.until(all_vote, 15, "every store votes in the same member set")
            self.note(f"all stores vote after {self.now - started_at:.2f} s")
        except TimeoutError:
            self.report_failure(f"a store had no vote within 15 s of {started_at:.2f}")

    def new_core(self, old: machines.Core, seeds: tuple[str, ...] = ()) -> machines.Core:
        """Replace a core that is down by an empty one at a new address; its settings have the old seeds."""
        fleet = self.fleet
        fleet.cores.remove(old)
        self.fresh += 1
        name = f"core-new{self.fresh}"
        core = fleet.core(name, self.fresh, fleet.world.address(), fleet.world.address(), seeds)
        fleet.cores.append(core)
        core.store.start()
        core.registry.start()
        return core

    # Clients that ignore readiness.

    async def keep_sending(self, edge: machines.Edge, duration_s: float) -> None:
        """Send requests to one proxy for a while, whatever the platform or its readiness says."""
        end = self.now + duration_s
        services = self.fleet.shape.services
        async with asyncio.TaskGroup() as group:
            while self.now < end:
                await asyncio.sleep(0.1)
                group.create_task(self._send_ignoring_readiness(self.rng.choice(services), edge.web))
                group.create_task(self.fleet.clients.check_route(edge.web))

    async def _send_ignoring_readiness(self, service: shapes.ServiceShape, address: str) -> None:
        request = await self.fleet.clients.send_request(service, address)
        self.story.ignoring_readiness.add(request.name)
