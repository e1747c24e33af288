"""What the registries of a scope do: place orders, read back, tend the member set, carry documents."""

import typing

import dykeswitch.explorer.history as histories
import dykeswitch.explorer.nodes as nodes
import dykeswitch.explorer.world as worlds
import dykeswitch.frames as frames
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.settings as settings
import dykeswitch.timeline as timeline

KEY: typing.Final = "layout"
ORDER_CALL: typing.Final = "order"
NEWS_CALL: typing.Final = "news"
TIMELINE_LIFE: typing.Final = 1000.0
# For how long a store must be silent before it is replaced.
SWAP_SECONDS: typing.Final = settings.Settings().swap_s + 1.0


def order_step(order: str, body: bytes, expected: int | None) -> proposers.Step:
    """An operator's order: taken once, and only on top of the version that it expects."""

    def step(now: register.Value) -> register.Value | outcome.Bad:
        if now.made(order) is not None:
            return now
        if expected is not None and now.version != expected:
            return outcome.bad("lost_race", f"newest is {now.version}")
        return now.next(body, order)

    return step


async def place_order(
    registry: nodes.Registry, key: str, order: str, body: bytes, expected: int | None = None
) -> int:
    """Change a key on behalf of an operator at this registry; the version made, if acknowledged."""
    history = registry.world.history
    client = registry.host.name
    number = history.number_for(client)
    operation = histories.Operation(
        client, number, histories.Kind.ORDER, key, order=order, body=body, expected=expected
    )
    history.ask(operation)
    assert registry.proposer is not None
    result = await registry.proposer.change(key, order_step(order, body, expected))
    if isinstance(result, outcome.Good):
        registry.world.note_told(key, result.value)
    tell_order(registry.world, operation, result)
    return operation.version


def tell_order(world: worlds.World, operation: histories.Operation, result: proposers.Read) -> None:
    """Note what an operator is told of an order."""
    if isinstance(result, outcome.Good):
        version = result.value.made(operation.order)
        if version is None:
            world.violate(f"I5 {operation.order} is acknowledged and not among the changes made")
        else:
            world.history.tell(operation, histories.Answer.ACKNOWLEDGED, version)
        return
    world.history.tell(operation, answer_of(result))


def answer_of(bad: outcome.Bad) -> histories.Answer:
    """What a bad outcome tells an operator."""
    if bad.code.tag == "lost_race":
        return histories.Answer.REFUSED
    # A caller that hears nothing knows as little as one that is told so.
    if bad.code.tag in ("unknown", "no_reply"):
        return histories.Answer.UNKNOWN
    return histories.Answer.FAILED


async def read_back(registry: nodes.Registry, key: str) -> None:
    """Read a key on behalf of an operator at this registry, and note what it is told."""
    history = registry.world.history
    client = registry.host.name
    operation = histories.Operation(client, history.number_for(client), histories.Kind.READ, key)
    history.ask(operation)
    assert registry.proposer is not None
    result = await registry.proposer.read(key)
    if isinstance(result, outcome.Good):
        value = result.value
        registry.world.note_told(key, value)
        history.tell(operation, histories.Answer.READ, value.version, value.body)
    else:
        history.tell(operation, answer_of(result))


def serve_orders(registry: nodes.Registry) -> None:
    """Take orders by call, as from operators elsewhere."""

    async def handle(body: frames.Body) -> frames.Result:
        assert registry.proposer is not None
        order = str(body["order"])
        step = order_step(order, body["body"], body["expected"])
        result = await registry.proposer.change(str(body["key"]), step)
        if isinstance(result, outcome.Bad):
            return result
        registry.world.note_told(str(body["key"]), result.value)
        return outcome.Good({"version": result.value.made(order)})

    registry.serve({ORDER_CALL: handle})


async def send_order(
    operator: nodes.Registry, target: str, key: str, order: str, body: bytes, expected: int | None = None
) -> bool:
    """Send an order to a registry; false where no clear answer came."""
    history = operator.world.history
    client = operator.host.name
    operation = histories.Operation(
        client,
        history.number_for(client),
        histories.Kind.ORDER,
        key,
        order=order,
        body=body,
        expected=expected,
    )
    history.ask(operation)
    ask: frames.Body = {"key": key, "order": order, "body": body, "expected": expected}
    address = operator.world.address(target)
    result = await operator.caller().ask(address, ORDER_CALL, ask, nodes.CALL_WAIT)
    if isinstance(result, outcome.Good):
        history.tell(operation, histories.Answer.ACKNOWLEDGED, int(result.value["version"]))
        return True
    answer = answer_of(result)
    history.tell(operation, answer)
    return answer is histories.Answer.REFUSED


def make_reconfiguration(
    registry: nodes.Registry, proposer: proposers.Proposer, founders: typing.Sequence[str]
) -> reconfigurations.Reconfiguration:
    """The member set's keeper at this registry."""
    bounds = settings.Settings(name=registry.host.name, founders=tuple(founders))
    made = reconfigurations.Reconfiguration(
        registry.host.name, bounds, registry.machine(), registry.caller(), proposer, lambda event, what: None
    )
    registry.host.memory.append(made)
    return made


async def _read_any(name: str, version: int, data: bytes) -> documents.Take | None:
    return lambda: None


def make_documents(registry: nodes.Registry) -> tuple[documents.Documents, timeline.Timeline]:
    """The documents that this host holds and hands on, and the timeline they are named on."""
    line = timeline.Timeline(registry.host.name, registry.clock(), TIMELINE_LIFE)
    made = documents.Documents(line, registry.caller(), nodes.CALL_WAIT, _read_any)
    registry.host.memory.append(made)
    registry.versions = lambda: {name: made.version(name) for name in documents.NAMES}
    return made, line


def news_handlers(
    held: documents.Documents, line: timeline.Timeline, addresses: typing.Sequence[ports.Address]
) -> dict[str, frames.Handle]:
    """Hear which version there is of the layout, and fetch it from these members."""

    async def handle(body: frames.Body) -> frames.Result:
        line.write(timeline.DOCUMENT, documents.LAYOUT, {"version": body["version"]}, TIMELINE_LIFE)
        await held.catch_up(addresses)
        return outcome.Good({})

    return {NEWS_CALL: handle}
