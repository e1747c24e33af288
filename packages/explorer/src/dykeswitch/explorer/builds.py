"""How the worlds of the scopes are set up."""

import typing

import dykeswitch.explorer.clients as clients
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.nodes as nodes
import dykeswitch.explorer.world as worlds
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register

STORES: typing.Final = ("s1", "s2", "s3")


def _seat(world: worlds.World, names: typing.Sequence[str] = STORES) -> register.MemberSet:
    """Stores that hold the founding member set."""
    for name in names:
        world.add_store(name)
    world.settle()
    disks = {name: _voter(world, name).disk_id for name in names}
    pairs = tuple(sorted((disks[name], world.address(name)) for name in names))
    members = register.MemberSet(1, (pairs,))
    for name in names:
        install = world.handlers[name]["install"]
        world.spawn(world.hosts[name], install({"disk": disks[name], "set": members.to_wire()}))  # type: ignore[arg-type]
    world.settle()
    return members


def _voter(world: worlds.World, name: str) -> typing.Any:
    voter = world.stores[name].voter
    assert voter is not None
    return voter


def _orders(members: register.MemberSet, *orders: tuple[str, int | None], reads: int = 0) -> nodes.Start:
    """A registry that places orders one after another, then reads back; on a new start it reads."""

    async def start(registry: nodes.Registry) -> None:
        registry.make_proposer(members)
        if registry.host.starts == 1:
            for order, expected in orders:
                await clients.place_order(registry, clients.KEY, order, order.encode(), expected)
        for _ in range(reads if registry.host.starts == 1 else max(1, reads)):
            await clients.read_back(registry, clients.KEY)

    return start


def race(reads: int, second_order: bool) -> executions.Build:
    """Two registries change one key."""

    def build(world: worlds.World) -> None:
        members = _seat(world)
        more: tuple[tuple[str, int | None], ...] = (("a2", 1),) if second_order else ()
        world.add_registry("A", _orders(members, ("a1", None), *more, reads=reads))
        world.add_registry("B", _orders(members, ("b1", 0), reads=reads))

    return build


def read(world: worlds.World) -> None:
    """One registry changes a key, another reads it."""
    members = _seat(world)
    world.add_registry("A", _orders(members, ("a1", None)))
    world.add_registry("B", _orders(members, reads=1))


def lost(world: worlds.World) -> None:
    """Two proposers, and one of three disks lost for good."""
    members = _seat(world)
    world.add_registry("A", _orders(members, ("a1", None), reads=0))
    world.add_registry("B", _orders(members, ("b1", 0)))
    world.cut_for_good("A", "s3")
    world.cut_for_good("B", "s3")


def power(orders: int) -> executions.Build:
    """One registry changes a key some times, then reads it."""

    def build(world: worlds.World) -> None:
        members = _seat(world)
        names = [(f"a{number}", None) for number in range(1, orders + 1)]
        world.add_registry("A", _orders(members, *names, reads=1))

    return build


def swap(rounds: int, both_tend: bool) -> executions.Build:
    """A can't reach store s3, which lives on, and seats the spare s4 for it; B goes by the old set."""

    def build(world: worlds.World) -> None:
        members = _seat(world)
        world.add_store("s4")
        world.settle()
        founders = [world.address(name) for name in STORES]

        async def tends(here: nodes.Registry) -> None:
            proposer = here.make_proposer(members)
            reconfiguration = clients.make_reconfiguration(here, proposer, founders)
            for _ in range(rounds):
                await reconfiguration.reconcile([world.address("s4")], [here.host.name])
                await here.clock().sleep(clients.SWAP_SECONDS)
            if here.host.starts == 1:
                await clients.place_order(here, clients.KEY, "a1", b"a1")
            await clients.read_back(here, clients.KEY)

        world.add_registry("A", tends)
        world.cut_for_good("A", "s3")
        if both_tend:
            world.add_registry("B", tends)
        else:
            world.add_registry("B", _orders(members, ("b1", None), reads=1))

    return build


def reseat(rounds: int, both_tend: bool) -> executions.Build:
    """Store s3 comes back with an empty disk; A, or A and B at once, seat it while a key changes."""

    def build(world: worlds.World) -> None:
        members = _seat(world)
        founders = [world.address(name) for name in STORES]
        world.stop("s3")
        world.wipe("s3")
        world.restart("s3")
        world.settle()

        def start(changes: bool, tends: bool) -> nodes.Start:
            async def run(registry: nodes.Registry) -> None:
                proposer = registry.make_proposer(members)
                reconfiguration = clients.make_reconfiguration(registry, proposer, founders)
                if changes and registry.host.starts == 1:
                    order = f"{registry.host.name.lower()}1"
                    await clients.place_order(registry, clients.KEY, order, order.encode())
                for _ in range(rounds if tends else 0):
                    await reconfiguration.reconcile((), [registry.host.name])
                if changes:
                    await clients.read_back(registry, clients.KEY)

            return run

        world.add_registry("A", start(changes=both_tend, tends=True))
        world.add_registry("B", start(changes=True, tends=both_tend))

    return build


def resend(rival: bool) -> executions.Build:
    """An operator sends an order to A and, without a clear answer, the same order to B."""

    def build(world: worlds.World) -> None:
        members = _seat(world)

        async def registry(here: nodes.Registry) -> None:
            here.make_proposer(members)
            clients.serve_orders(here)

        async def operator(here: nodes.Registry) -> None:
            for target in ("A", "B"):
                if await clients.send_order(here, target, clients.KEY, "o1", b"o1", expected=0):
                    return

        world.add_registry("A", registry)
        world.add_registry("B", registry)
        world.add_registry("O", operator)
        if rival:

            async def other(here: nodes.Registry) -> None:
                await clients.send_order(here, "B", clients.KEY, "p1", b"p1")

            world.add_registry("P", other)

    return build


def two_readings(world: worlds.World) -> None:
    """A changes a document and names it to P, which fetches it while it reads the register itself."""
    members = _seat(world)

    async def first_version(here: nodes.Registry) -> None:
        here.make_proposer(members)
        await clients.place_order(here, documents.LAYOUT, "a1", b"a1")

    world.add_registry("F", first_version)
    world.settle()

    async def changes(here: nodes.Registry) -> None:
        here.make_proposer(members)
        held, _ = clients.make_documents(here)
        here.serve(held.kinds())
        version = await clients.place_order(here, documents.LAYOUT, "a2", b"a2")
        if version:
            await held.apply(documents.LAYOUT, version, b"a2")
            await here.call_client().call(
                world.address("P"), clients.NEWS_CALL, {"version": version}, nodes.CALL_WAIT
            )

    async def carries(here: nodes.Registry) -> None:
        proposer = here.make_proposer(members)
        held, timeline = clients.make_documents(here)
        here.serve(clients.news_handlers(held, timeline, [world.address("A")]))
        result = await proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Success) and result.value.version:
            await held.apply(documents.LAYOUT, result.value.version, result.value.body)

    world.add_registry("P", carries)
    world.add_registry("A", changes)
