"""Operations of the registries in a scope.

Registries place orders, read keys, reconcile the member set and distribute documents.
"""

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
import dykeswitch.timeline as timelines

KEY: typing.Final = "layout"
ORDER_CALL: typing.Final = "order"
VERSION_CALL: typing.Final = "news"
TIMELINE_RETENTION_S: typing.Final = 1000.0
# A sleep of this length exceeds the silence after which a store is replaced.
REPLACE_AFTER_S: typing.Final = settings.Settings().disk_replace_after_s + 1.0


def order_step(order: str, body: bytes, expected: int | None) -> proposers.Step:
    """Return the change that an operator's order makes to a key's value.

    The order is applied at most once, and only to the version that it expects.
    """

    def step(current: register.Value) -> register.Value | outcome.Failure:
        if current.version_of(order) is not None:
            return current
        if expected is not None and current.version != expected:
            return outcome.failure("lost_race", f"newest is {current.version}")
        return current.successor(body, order)

    return step


async def place_order(
    registry: nodes.Registry, key: str, order: str, body: bytes, expected: int | None = None
) -> int:
    """Change a key on behalf of an operator at this registry.

    Returns the new version if the order was acknowledged, 0 otherwise.
    """
    history = registry.world.history
    client = registry.host.name
    number = history.next_number_for(client)
    operation = histories.Operation(
        client, number, histories.Kind.ORDER, key, order=order, body=body, expected=expected
    )
    history.record_request(operation)
    assert registry.proposer is not None
    result = await registry.proposer.change(key, order_step(order, body, expected))
    if isinstance(result, outcome.Success):
        registry.world.record_reported_value(key, result.value)
    record_order_result(registry.world, operation, result)
    return operation.version


def record_order_result(world: worlds.World, operation: histories.Operation, result: proposers.Read) -> None:
    """Record the answer that an operator gets to an order."""
    if isinstance(result, outcome.Success):
        version = result.value.version_of(operation.order)
        if version is None:
            world.record_violation(f"I5 {operation.order} is acknowledged but missing from the changes made")
        else:
            world.history.record_answer(operation, histories.Answer.ACKNOWLEDGED, version)
        return
    world.history.record_answer(operation, answer_for_failure(result))


def answer_for_failure(failure: outcome.Failure) -> histories.Answer:
    """Return the answer that an operator gets for a failure."""
    if failure.code.tag == "lost_race":
        return histories.Answer.REFUSED
    # A missing reply is as inconclusive as a reply that says the result is unknown.
    if failure.code.tag in ("unknown", "no_reply"):
        return histories.Answer.UNKNOWN
    return histories.Answer.FAILED


async def read_back(registry: nodes.Registry, key: str) -> None:
    """Read a key on behalf of an operator at this registry and record the answer."""
    history = registry.world.history
    client = registry.host.name
    operation = histories.Operation(client, history.next_number_for(client), histories.Kind.READ, key)
    history.record_request(operation)
    assert registry.proposer is not None
    result = await registry.proposer.read(key)
    if isinstance(result, outcome.Success):
        value = result.value
        registry.world.record_reported_value(key, value)
        history.record_answer(operation, histories.Answer.READ, value.version, value.body)
    else:
        history.record_answer(operation, answer_for_failure(result))


def serve_orders(registry: nodes.Registry) -> None:
    """Accept orders as calls from operators on other hosts."""

    async def handle(body: frames.Body) -> frames.Result:
        assert registry.proposer is not None
        order = str(body["order"])
        step = order_step(order, body["body"], body["expected"])
        result = await registry.proposer.change(str(body["key"]), step)
        if isinstance(result, outcome.Failure):
            return result
        registry.world.record_reported_value(str(body["key"]), result.value)
        return outcome.Success({"version": result.value.version_of(order)})

    registry.serve({ORDER_CALL: handle})


async def send_order(
    operator: nodes.Registry, target: str, key: str, order: str, body: bytes, expected: int | None = None
) -> bool:
    """Send an order to a registry.

    Returns False if the answer does not say whether the order was applied or refused.
    """
    history = operator.world.history
    client = operator.host.name
    operation = histories.Operation(
        client,
        history.next_number_for(client),
        histories.Kind.ORDER,
        key,
        order=order,
        body=body,
        expected=expected,
    )
    history.record_request(operation)
    request: frames.Body = {"key": key, "order": order, "body": body, "expected": expected}
    address = operator.world.address(target)
    result = await operator.call_client().call(address, ORDER_CALL, request, nodes.CALL_TIMEOUT_S)
    if isinstance(result, outcome.Success):
        history.record_answer(operation, histories.Answer.ACKNOWLEDGED, int(result.value["version"]))
        return True
    answer = answer_for_failure(result)
    history.record_answer(operation, answer)
    return answer is histories.Answer.REFUSED


def make_reconfiguration(
    registry: nodes.Registry, proposer: proposers.Proposer, founders: typing.Sequence[str]
) -> reconfigurations.Reconfiguration:
    """Return the reconfiguration component of this registry, which maintains the member set."""
    config = settings.Settings(name=registry.host.name, founders=tuple(founders))
    reconfiguration = reconfigurations.Reconfiguration(
        registry.host.name,
        config,
        registry.machine(),
        registry.call_client(),
        proposer,
        lambda event, what: None,
    )
    registry.host.memory.append(reconfiguration)
    return reconfiguration


async def _accept_any(name: str, version: int, data: bytes) -> documents.Apply | None:
    return lambda: None


def make_documents(registry: nodes.Registry) -> tuple[documents.Documents, timelines.Timeline]:
    """Return the documents that this host stores and serves, and the timeline with their versions."""
    timeline = timelines.Timeline(registry.host.name, registry.clock(), TIMELINE_RETENTION_S)
    local_documents = documents.Documents(timeline, registry.call_client(), nodes.CALL_TIMEOUT_S, _accept_any)
    registry.host.memory.append(local_documents)
    registry.document_versions = lambda: {name: local_documents.version(name) for name in documents.NAMES}
    return local_documents, timeline


def version_handlers(
    local_documents: documents.Documents,
    timeline: timelines.Timeline,
    addresses: typing.Sequence[ports.Address],
) -> dict[str, frames.Handler]:
    """Return handlers that accept a layout version and fetch that layout from the given members."""

    async def handle(body: frames.Body) -> frames.Result:
        timeline.write(
            timelines.DOCUMENT, documents.LAYOUT, {"version": body["version"]}, TIMELINE_RETENTION_S
        )
        await local_documents.catch_up(addresses)
        return outcome.Success({})

    return {VERSION_CALL: handle}
