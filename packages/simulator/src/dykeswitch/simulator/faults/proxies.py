"""Failures of proxies: killed, restarted, frozen, isolated, too many."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages
import dykeswitch.standin.shape as shapes


async def kill_proxy(stage: stages.Stage) -> None:
    edge = stage.edge()
    begun = stage.now
    edge.node.kill()
    await asyncio.sleep(1.0)
    edge.node.restart()
    stage.mark_gone([edge], begun)
    await asyncio.sleep(2.0)


async def kill_herd(stage: stages.Stage) -> None:
    edges = stage.up_edges()
    herd = stage.rng.sample(edges, len(edges) // 2)
    begun = stage.now
    for edge in herd:
        edge.node.kill()
    await asyncio.sleep(1.5)
    for edge in herd:
        edge.node.restart()
    stage.mark_gone(herd, begun)
    await asyncio.sleep(3.0)


async def restart_in_turn(stage: stages.Stage) -> None:
    """Orderly stops, one machine after another."""
    for edge in stage.up_edges()[:4]:
        begun = stage.now
        await stage.stop(edge.node)
        stage.story.stops.append(histories.Span(edge.web, begun, stage.now))
        edge.node.restart()
        await asyncio.sleep(1.0)


async def stop_with_long_work(stage: stages.Stage) -> None:
    """Work of 3, 5 and 8 s is in hand when the polite signal comes."""
    edge = stage.edge()
    services = stage.fleet.shape.services
    reading = next(s for s in services if not s.writing)
    writing = next(s for s in services if s.writing)
    requests = [
        asyncio.create_task(stage.fleet.clients.send_request(service, edge.web, f"&work={span}"))
        for service in (reading, writing)
        for span in (3, 5, 8)
    ]
    await asyncio.sleep(0.2)
    begun = stage.now
    await stage.stop(edge.node)
    stage.story.stops.append(histories.Span(edge.web, begun, stage.now))
    done = await asyncio.gather(*requests)
    for request, span in zip(done, (3, 5, 8, 3, 5, 8)):
        stage.story.ignoring_readiness.add(request.name)
        want = [(200, 0, False)] if span < 8 else [(504, 109, False)]
        # A reading go may give up on one endpoint for the sake of another try.
        if span == 5 and not request.writing:
            want.append((504, 109, False))
        if (request.status, request.result, request.retry_after) not in want:
            got = f"{request.status} {request.result} {request.retry_after} {request.error}"
            stage.report_failure(
                f"work of {span} s (writing {request.writing}) over an orderly stop got {got}"
            )
    edge.node.restart()
    await asyncio.sleep(2.0)


async def freeze_proxy(stage: stages.Stage) -> None:
    """Frozen over a change of layout and a leaving endpoint, then woken."""
    edge = stage.edge()
    begun = stage.now
    edge.node.freeze()
    holding = asyncio.create_task(stage.keep_sending(edge, 8.0))
    await asyncio.sleep(1.0)
    await stage.change()
    leaving = stage.rng.choice(stage.live_endpoints())
    service = stage.shape_of(stage.fleet.endpoints[leaving].service)
    stage.new_endpoint(service, stage.fleet.world.address())
    await stage.fleet.drain_endpoint(leaving, 4.0)
    edge.node.thaw()
    stage.mark_gone([edge], begun)
    await holding
    await asyncio.sleep(2.0)


async def freeze_herd(stage: stages.Stage) -> None:
    """Half the proxies freeze for a moment about as long as counts as a freeze."""
    herd = stage.rng.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    begun = stage.now
    for edge in herd:
        edge.node.freeze()
    await asyncio.sleep(stage.rng.uniform(0.3, 1.5))
    await stage.change()
    for edge in herd:
        edge.node.thaw()
    stage.mark_gone(herd, begun)
    await asyncio.sleep(3.0)


async def isolate_proxy(stage: stages.Stage) -> None:
    """Cut off from every other node, while callers hold on to it, a rule moves, one leaves."""
    edge = stage.edge()
    stage.links.cut([edge.node.name], stage.core_names() + stage.edge_names())
    holding = asyncio.create_task(stage.keep_sending(edge, 9.0))
    await asyncio.sleep(0.5)
    await stage.change()
    # One that this proxy would select: near ones go first.
    live = stage.live_endpoints()
    near = [n for n in live if stage.fleet.endpoints[n].zone == edge.zone]
    leaving = stage.rng.choice(near or live)
    service = stage.shape_of(stage.fleet.endpoints[leaving].service)
    stage.new_endpoint(service, stage.fleet.world.address())
    await stage.fleet.drain_endpoint(leaving, 4.0)
    stage.links.heal()
    await holding
    await asyncio.sleep(1.0)


async def cut_proxies_from_cores(stage: stages.Stage) -> None:
    """Half the proxies lose every core but still reach the other half."""
    edges = stage.rng.sample(stage.up_edges(), len(stage.up_edges()) // 2)
    stage.links.cut([e.node.name for e in edges], stage.core_names())
    await asyncio.sleep(2.0)
    await stage.change()
    await asyncio.sleep(4.0)
    stage.links.heal()
    await asyncio.sleep(1.0)


async def replace_proxies(stage: stages.Stage) -> None:
    """Proxies go and others come under new names within ten seconds, a service failing amid it."""
    fleet = stage.fleet
    service = stage.rng.choice(fleet.shape.services)
    begun = stage.now
    names = stage.live_endpoints(service.name)
    for name in names:
        fleet.endpoints[name].plan.fault, fleet.endpoints[name].plan.share = "promise", 1.0
    for turn in range(3):
        for edge in stage.rng.sample(stage.up_edges(), 3):
            edge.node.kill()
            stage.mark_gone([edge], stage.now)
            stage.fresh += 1
            # At the very address, so that the platform knows it.
            fresh = fleet.edge(f"proxy-new{stage.fresh}", stage.fresh, edge.web)
            fleet.edges[fleet.edges.index(edge)] = fresh
            fresh.node.start()
        await asyncio.sleep(3.0 + turn)
    for name in names:
        fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, begun, stage.now))
    await asyncio.sleep(1.0)


async def too_many_proxies(stage: stages.Stage) -> None:
    """Twice the proxies, that nobody was told of, and a service fails for all of them."""
    fleet = stage.fleet
    before = len(fleet.edges)
    for _ in range(before):
        stage.fresh += 1
        fresh = fleet.edge(f"proxy-more{stage.fresh}", stage.fresh)
        fleet.edges.append(fresh)
        fleet.clients.add_proxy(fresh.web)
        fresh.node.start()
    await asyncio.sleep(3.0)
    service = fleet.shape.services[0]
    await _press(stage, service)
    having = [e for e in fleet.edges if _borrowed(e, service.name)]
    if len(having) <= before:
        stage.report_failure(f"{len(having)} of {len(fleet.edges)} proxies were lent extra goes")
    page = await fleet.query(f"show loans service {service.name}", stage.core())
    rows = page["rows"] if page else []
    floor = fleet.settings().extra_floor
    if not 0 < sum(row[5] for row in rows) <= sum(row[6] for row in rows) <= floor:
        stage.report_failure(f"'show loans' tells of more out than the floor, or of nothing: {rows}")


def _borrowed(edge: typing.Any, service: str) -> int:
    """Coins that a proxy has of a service's floor."""
    daemon = edge.node.daemon
    budget = daemon.carrier.budgets.get(service)
    return budget.lent(daemon.clock.now()) if budget is not None else 0


async def _press(stage: stages.Stage, service: shapes.ServiceShape) -> None:
    begun = stage.now
    for name in stage.live_endpoints(service.name):
        plan = stage.fleet.endpoints[name].plan
        plan.fault, plan.share = "promise", 1.0
    await asyncio.sleep(6.0)
    for name in stage.live_endpoints(service.name):
        stage.fleet.endpoints[name].plan.fault = "none"
    stage.story.failing.append(histories.Span(service.name, begun, stage.now))


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
