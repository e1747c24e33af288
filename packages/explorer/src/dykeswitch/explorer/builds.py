"""Set-up functions for the worlds of the scopes."""

import typing

import dykeswitch.explorer.clients as clients
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.nodes as nodes
import dykeswitch.explorer.world as worlds
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register

STORES: typing.Final = ("s1", "s2", "s3")


def _start_stores(world: worlds.World, names: typing.Sequence[str] = STORES) -> register.MemberSet:
    """Start stores and install the founding member set on each of them."""
    for name in names:
        world.add_store(name)
    world.run_until_quiescent()
    disks = {name: _voter(world, name).disk_id for name in names}
    pairs = tuple(sorted((disks[name], world.address(name)) for name in names))
    members = register.MemberSet(1, (pairs,))
    for name in names:
        install = world.handlers[name]["install"]
        world.spawn(world.hosts[name], install({"disk": disks[name], "set": members.to_wire()}))  # type: ignore[arg-type]
    world.run_until_quiescent()
    return members


def _voter(world: worlds.World, name: str) -> typing.Any:
    voter = world.stores[name].voter
    assert voter is not None
    return voter


def _run_orders(
    members: register.MemberSet, *orders: tuple[str, int | None], read_count: int = 0
) -> nodes.Start:
    """Return a registry program that places the orders in sequence and then reads the key.

    After a restart it only reads, at least once.
    """

    async def start(registry: nodes.Registry) -> None:
        registry.make_proposer(members)
        if registry.host.starts == 1:
            for order, expected in orders:
                await clients.place_order(registry, clients.KEY, order, order.encode(), expected)
        for _ in range(read_count if registry.host.starts == 1 else max(1, read_count)):
            await clients.read_back(registry, clients.KEY)

    return start


def race(read_count: int, second_order: bool) -> executions.Build:
    """Return the set-up of a world in which two registries change the same key."""

    def build(world: worlds.World) -> None:
        members = _start_stores(world)
        extra_orders: tuple[tuple[str, int | None], ...] = (("a2", 1),) if second_order else ()
        world.add_registry("A", _run_orders(members, ("a1", None), *extra_orders, read_count=read_count))
        world.add_registry("B", _run_orders(members, ("b1", 0), read_count=read_count))

    return build


def read(world: worlds.World) -> None:
    """Set up one registry that changes a key and another that reads it."""
    members = _start_stores(world)
    world.add_registry("A", _run_orders(members, ("a1", None)))
    world.add_registry("B", _run_orders(members, read_count=1))


def lost_disk(world: worlds.World) -> None:
    """Set up two proposers that permanently cannot reach one of the three disks."""
    members = _start_stores(world)
    world.add_registry("A", _run_orders(members, ("a1", None), read_count=0))
    world.add_registry("B", _run_orders(members, ("b1", 0)))
    world.cut_permanently("A", "s3")
    world.cut_permanently("B", "s3")


def power(order_count: int) -> executions.Build:
    """Return the set-up of a world in which a registry changes a key several times, then reads it."""

    def build(world: worlds.World) -> None:
        members = _start_stores(world)
        orders = [(f"a{number}", None) for number in range(1, order_count + 1)]
        world.add_registry("A", _run_orders(members, *orders, read_count=1))

    return build


def swap(rounds: int, both_reconcile: bool) -> executions.Build:
    """Return the set-up of a world in which registry A replaces store s3 by the spare s4.

    A cannot reach s3, which keeps running. B uses the old member set or, with
    `both_reconcile`, replaces the store as well.
    """

    def build(world: worlds.World) -> None:
        members = _start_stores(world)
        world.add_store("s4")
        world.run_until_quiescent()
        founders = [world.address(name) for name in STORES]

        async def reconcile_and_change(registry: nodes.Registry) -> None:
            proposer = registry.make_proposer(members)
            reconfiguration = clients.make_reconfiguration(registry, proposer, founders)
            for _ in range(rounds):
                await reconfiguration.reconcile([world.address("s4")], [registry.host.name])
                await registry.clock().sleep(clients.REPLACE_AFTER_S)
            if registry.host.starts == 1:
                await clients.place_order(registry, clients.KEY, "a1", b"a1")
            await clients.read_back(registry, clients.KEY)

        world.add_registry("A", reconcile_and_change)
        world.cut_permanently("A", "s3")
        if both_reconcile:
            world.add_registry("B", reconcile_and_change)
        else:
            world.add_registry("B", _run_orders(members, ("b1", None), read_count=1))

    return build


def reseat(rounds: int, both_reconcile: bool) -> executions.Build:
    """Return the set-up of a world in which store s3 restarts with an empty disk.

    Registry A, or A and B concurrently, give it a vote again while a key changes.
    """

    def build(world: worlds.World) -> None:
        members = _start_stores(world)
        founders = [world.address(name) for name in STORES]
        world.stop("s3")
        world.wipe("s3")
        world.restart("s3")
        world.run_until_quiescent()

        def start_registry(places_order: bool, reconciles: bool) -> nodes.Start:
            async def run(registry: nodes.Registry) -> None:
                proposer = registry.make_proposer(members)
                reconfiguration = clients.make_reconfiguration(registry, proposer, founders)
                if places_order and registry.host.starts == 1:
                    order = f"{registry.host.name.lower()}1"
                    await clients.place_order(registry, clients.KEY, order, order.encode())
                for _ in range(rounds if reconciles else 0):
                    await reconfiguration.reconcile((), [registry.host.name])
                if places_order:
                    await clients.read_back(registry, clients.KEY)

            return run

        world.add_registry("A", start_registry(places_order=both_reconcile, reconciles=True))
        world.add_registry("B", start_registry(places_order=True, reconciles=both_reconcile))

    return build


def resend(competing_order: bool) -> executions.Build:
    """Return the set-up of a world in which an operator sends an order to A.

    Without a conclusive answer the operator sends the same order to B.
    """

    def build(world: worlds.World) -> None:
        members = _start_stores(world)

        async def start_registry(registry: nodes.Registry) -> None:
            registry.make_proposer(members)
            clients.serve_orders(registry)

        async def send_to_both(operator: nodes.Registry) -> None:
            for target in ("A", "B"):
                if await clients.send_order(operator, target, clients.KEY, "o1", b"o1", expected=0):
                    return

        world.add_registry("A", start_registry)
        world.add_registry("B", start_registry)
        world.add_registry("O", send_to_both)
        if competing_order:

            async def send_competing_order(operator: nodes.Registry) -> None:
                await clients.send_order(operator, "B", clients.KEY, "p1", b"p1")

            world.add_registry("P", send_competing_order)

    return build


def document_fetch(world: worlds.World) -> None:
    """Set up a registry A that changes a document and announces its version to P.

    P fetches the document while it reads the register itself.
    """
    members = _start_stores(world)

    async def place_first_version(registry: nodes.Registry) -> None:
        registry.make_proposer(members)
        await clients.place_order(registry, documents.LAYOUT, "a1", b"a1")

    world.add_registry("F", place_first_version)
    world.run_until_quiescent()

    async def change_and_announce(registry: nodes.Registry) -> None:
        registry.make_proposer(members)
        local_documents, _ = clients.make_documents(registry)
        registry.serve(local_documents.kinds())
        version = await clients.place_order(registry, documents.LAYOUT, "a2", b"a2")
        if version:
            await local_documents.apply(documents.LAYOUT, version, b"a2")
            await registry.call_client().call(
                world.address("P"), clients.VERSION_CALL, {"version": version}, nodes.CALL_TIMEOUT_S
            )

    async def serve_and_read(registry: nodes.Registry) -> None:
        proposer = registry.make_proposer(members)
        local_documents, timeline = clients.make_documents(registry)
        registry.serve(clients.version_handlers(local_documents, timeline, [world.address("A")]))
        result = await proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Success) and result.value.version:
            await local_documents.apply(documents.LAYOUT, result.value.version, result.value.body)

    world.add_registry("P", serve_and_read)
    world.add_registry("A", change_and_announce)
