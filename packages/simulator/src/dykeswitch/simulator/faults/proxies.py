"""Failures of proxies: killed, restarted, frozen, isolated, too many."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages
import dykeswitch.standin.shape as shapes


async def kill_proxy(stage: stages.Stage) -> None:
    """A proxy is killed and restarted."""
    edge = stage.edge()
    started_at = stage.now
    edge.node.kill()
    await asyncio.sleep(1.0)
    edge.node.restart()
    stage.mark_gone([edge], started_at)
    await asyncio.sleep(2.0)


async def kill_herd(stage: stages.Stage) -> None:
    """Half the proxies are killed at once and restarted."""
    edges = stage.up_edges()
    group = stage.rng.sample(edges, len(edges) // 2)
    started_at = stage.now
    for edge in group:
        edge.node.kill()
    await asyncio.sleep(1.5)
    for edge in group:
        edge.node.restart()
    stage.mark_gone(group, started_at)
    await asyncio.sleep(3.0)


async def restart_in_turn(stage: stages.Stage) -> None:
    """Graceful stops, one proxy after another."""
    for edge in stage.up_edges()[:4]:
        started_at = stage.now
        await stage.stop(edge.node)
        stage.story.stops.append(histories.Span(edge.web, started_at, stage.now))
        edge.node.restart()
        await asyncio.sleep(1.0)


async def stop_with_long_work(stage: stages.Stage) -> None:
    """Requests with 3, 5 and 8 s of work are in progress when SIGTERM arrives."""
    edge = stage.edge()
    services = stage.fleet.shape.services
    reading = next(s for s in services if not s.writing)
    writing = next(s for s in services if s.writing)
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(service, edge.web, f"&work={work_s}"))
        for service in (reading, writing)
        for work_s in (3, 5, 8)
    ]
    await asyncio.sleep(0.2)
    started_at = stage.now
    await stage.stop(edge.node)
    stage.story.stops.append(histories.Span(edge.web, started_at, stage.now))
    answered = await asyncio.gather(*requests)
    for request, work_s in zip(answered, (3, 5, 8, 3, 5, 8)):
        stage.story.ignoring_readiness.add(request.name)
        allowed = [(200, 0, False)] if work_s < 8 else [(504, 109, False)]
        # An attempt at a read may give up on one endpoint in favour of another attempt.
        if work_s == 5 and not request.writing:
            allowed.append((504, 109, False))
        if (request.status, request.result, request.retry_after) not in allowed:
            got = f"{request.status} {request.result} {request.retry_after} {request.error}"
            stage.report_failure(
                f"work of {work_s} s (writing {request.writing}) across a graceful stop got {got}"
            )
    edge.node.restart()
    await asyncio.sleep(2.0)


async def freeze_proxy(stage: stages.Stage) -> None:
    """A proxy is frozen during a layout change and an endpoint's departure, then resumed."""
    edge = stage.edge()
    started_at = stage.now
    edge.node.freeze()
    sending = asyncio.create_task(stage.keep_sending(edge, 8.0))
    await asyncio.sleep(1.0)
    await stage.change()
    leaving = stage.rng.choice(stage.live_endpoints())
    service = stage.shape_of(stage.fleet.endpoints[leaving].service)
    stage.new_endpoint(service, stage.fleet.world.address())
    await stage.fleet.drain_endpoint(leaving, 4.0)
    edge.node.thaw()
    stage.mark_gone([edge], started_at)
    await sending
    await asyncio.sleep(2.0)


async def freeze_herd(stage: stages.Stage) -> None:
    """Half the proxies freeze for about as long as the gap that counts as a freeze."""
    group = stage.rng.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    started_at = stage.now
    for edge in group:
        edge.node.freeze()
    await asyncio.sleep(stage.rng.uniform(0.3, 1.5))
    await stage.change()
    for edge in group:
        edge.node.thaw()
    stage.mark_gone(group, started_at)
    await asyncio.sleep(3.0)


async def isolate_proxy(stage: stages.Stage) -> None:
    """A proxy is cut off from all nodes while its clients stay, a rule changes and an endpoint leaves."""
    edge = stage.edge()
    stage.links.cut([edge.node.name], stage.core_names() + stage.edge_names())
    sending = asyncio.create_task(stage.keep_sending(edge, 9.0))
    await asyncio.sleep(0.5)
    await stage.change()
    # An endpoint that this proxy would select: those in its zone are preferred.
    live = stage.live_endpoints()
    same_zone = [n for n in live if stage.fleet.endpoints[n].zone == edge.zone]
    leaving = stage.rng.choice(same_zone or live)
    service = stage.shape_of(stage.fleet.endpoints[leaving].service)
    stage.new_endpoint(service, stage.fleet.world.address())
    await stage.fleet.drain_endpoint(leaving, 4.0)
    stage.links.heal()
    await sending
    await asyncio.sleep(1.0)


async def cut_proxies_from_cores(stage: stages.Stage) -> None:
    """Half the proxies reach no core but still reach the other half of the proxies."""
    edges = stage.rng.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    stage.links.cut([e.node.name for e in edges], stage.core_names())
    await asyncio.sleep(2.0)
    await stage.change()
    await asyncio.sleep(4.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def replace_proxies(stage: stages.Stage) -> None:
    """Proxies are replaced under new names within ten seconds while a service fails."""
    fleet = stage.fleet
    service = stage.rng.choice(fleet.shape.services)
    started_at = stage.now
    names = stage.live_endpoints(service.name)
    for name in names:
        fleet.endpoints[name].plan.fault, fleet.endpoints[name].plan.share = "promise", 1.0
    for round_number in range(3):
        for edge in stage.rng.sample(stage.up_edges(), 3):
            edge.node.kill()
            stage.mark_gone([edge], stage.now)
            stage.fresh += 1
            # At the same address, so that the platform knows it.
            replacement = fleet.edge(f"proxy-new{stage.fresh}", stage.fresh, edge.web)
            fleet.edges[fleet.edges.index(edge)] = replacement
            replacement.node.start()
        await asyncio.sleep(3.0 + round_number)
    for name in names:
        fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, started_at, stage.now))
    await asyncio.sleep(1.0)


async def too_many_proxies(stage: stages.Stage) -> None:
    """Unannounced proxies double the number of proxies, and a service fails for all of them."""
    fleet = stage.fleet
    original_count = len(fleet.edges)
    for _ in range(original_count):
        stage.fresh += 1
        added = fleet.edge(f"proxy-more{stage.fresh}", stage.fresh)
        fleet.edges.append(added)
        fleet.clients.add_proxy(added.web)
        added.node.start()
    await asyncio.sleep(3.0)
    service = fleet.shape.services[0]
    await _fail_service(stage, service)
    borrowers = [e for e in fleet.edges if _borrowed(e, service.name)]
    if len(borrowers) <= original_count:
        stage.report_failure(f"only {len(borrowers)} of {len(fleet.edges)} proxies were lent retry tokens")
    page = await fleet.query(f"show loans service {service.name}", stage.core())
    rows = page["rows"] if page else []
    floor = fleet.settings().extra_floor
    if not 0 < sum(row[5] for row in rows) <= sum(row[6] for row in rows) <= floor:
        stage.report_failure(f"'show loans' lists no loans, or more than the floor: {rows}")


def _borrowed(edge: typing.Any, service: str) -> int:
    """Return how many retry tokens of a service's floor are lent to a proxy."""
    daemon = edge.node.daemon
    budget = daemon.carrier.budgets.get(service)
    return budget.lent(daemon.clock.now()) if budget is not None else 0


async def _fail_service(stage: stages.Stage, service: shapes.ServiceShape) -> None:
    started_at = stage.now
    for name in stage.live_endpoints(service.name):
        plan = stage.fleet.endpoints[name].plan
        plan.fault, plan.share = "promise", 1.0
    await asyncio.sleep(6.0)
    for name in stage.live_endpoints(service.name):
        stage.fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, started_at, stage.now))


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "kill_proxy": kill_proxy,
    "kill_herd": kill_herd,
    "restart_in_turn": restart_in_turn,
    "stop_with_long_work": stop_with_long_work,
    "freeze_proxy": freeze_proxy,
    "freeze_herd": freeze_herd,
    "isolate_proxy": isolate_proxy,
    "cut_proxies_from_cores": cut_proxies_from_cores,
    "replace_proxies": replace_proxies,
    "too_many_proxies": too_many_proxies,
}
