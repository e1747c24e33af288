"""Clients that retry, ignore the retry delay, send bursts, use new connections or leave early."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages


async def try_again(stage: stages.Stage) -> None:
    """While some endpoints refuse, clients retry once through another proxy, after the given delay."""
    service = stage.any_service()
    with (
        stage.with_behavior(tries=1),
        stage.with_fault_plan(stage.some_of(service.name, 0.3), "promise", 0.8),
    ):
        await asyncio.sleep(6.0)


async def try_again_all_refuse(stage: stages.Stage) -> None:
    """Clients retry while every endpoint of a service refuses: each write may run once or not at all."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_behavior(tries=2), stage.failing(service.name):
        with stage.with_fault_plan(names, "promise", 0.9):
            await asyncio.sleep(3.0)
        await asyncio.sleep(1.0)


async def do_not_wait(stage: stages.Stage) -> None:
    """Clients retry at once, whatever delay they are given, while a service refuses nearly all requests."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_behavior(tries=3, waits=False), stage.failing(service.name):
        with stage.with_fault_plan(names, "promise", 0.9):
            await asyncio.sleep(2.0)
        await asyncio.sleep(0.5)


async def lose_and_try_again(stage: stages.Stage) -> None:
    """Responses are lost after the work is done: clients retry reads, and writes must not need a retry."""
    service = stage.any_service()
    with (
        stage.with_behavior(tries=2),
        stage.with_fault_plan(
            stage.some_of(service.name, 0.2), stage.rng.choice(("lose", "lose_reset")), 0.5
        ),
    ):
        await asyncio.sleep(5.0)


async def burst_of_callers(stage: stages.Stage) -> None:
    """A burst of requests to every service, three times."""
    for _ in range(3):
        bursts = [stage.fleet.clients.send_burst(s, 50, 0.1) for s in stage.fleet.shape.services]
        await asyncio.gather(*bursts)
        await asyncio.sleep(1.0)


async def fresh_callers(stage: stages.Stage) -> None:
    """Every request uses a connection of its own; the proxies get uneven shares."""
    with stage.with_behavior(kept_share=0.0, uneven=0.8):
        await asyncio.sleep(5.0)


async def kept_callers(stage: stages.Stage) -> None:
    """Every request uses a kept connection while a proxy is killed and restarted."""
    with stage.with_behavior(kept_share=1.0):
        edge = stage.edge()
        started_at = stage.now
        await asyncio.sleep(1.0)
        edge.node.kill()
        await asyncio.sleep(1.0)
        edge.node.restart()
        stage.mark_gone([edge], started_at)
        await asyncio.sleep(3.0)


async def believe_bare_503(stage: stages.Stage) -> None:
    """Endpoints do the work and respond 503 without a promise; clients take a 503 for a promise."""
    service = next(s for s in stage.fleet.shape.services if s.writing)
    with (
        stage.with_behavior(tries=1),
        stage.with_fault_plan(stage.some_of(service.name, 0.3), "run_then_503", 0.8),
    ):
        await asyncio.sleep(5.0)


async def every_run_fails(stage: stages.Stage) -> None:
    """Every endpoint of a read service does the work and reports a failure."""
    service = next(s for s in stage.fleet.shape.services if not s.writing)
    with stage.failing(service.name):
        with stage.with_fault_plan(stage.live_endpoints(service.name), "run_then_500", 1.0):
            await asyncio.sleep(3.0)
        await asyncio.sleep(0.5)


# Duration of work that its client does not wait for, the time within which a leaving client is gone,
# and the interval between requests with such work.
LONG_WORK_S: typing.Final = 2.5
LEAVE_WITHIN_S: typing.Final = 0.4
LONG_WORK_INTERVAL_S: typing.Final = 0.05


async def _send_long_work(stage: stages.Stage, duration_s: float) -> None:
    """Send requests with long work to every service; most clients leave before it is done."""
    end = stage.now + duration_s
    requests = []
    services = stage.fleet.shape.services
    while stage.now < end:
        await asyncio.sleep(LONG_WORK_INTERVAL_S)
        service = stage.rng.choice(services)
        requests.append(
            stage.fleet.spawn(stage.fleet.clients.send_request(service, query_suffix=f"&work={LONG_WORK_S}"))
        )
    await asyncio.gather(*requests)


async def callers_leave(stage: stages.Stage) -> None:
    """Clients leave at any time before the response; endpoints cancel work whose request was aborted."""
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        await _send_long_work(stage, 4.0)


async def callers_leave_between_tries(stage: stages.Stage) -> None:
    """Clients leave while some endpoints refuse, hang or are slow, so that requests are retried."""
    service = next(s for s in stage.fleet.shape.services if not s.writing)
    names = stage.some_of(service.name, 0.5)
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
        stage.with_fault_plan(names, stage.rng.choice(("hang", "slow", "promise")), 0.8),
    ):
        await _send_long_work(stage, 4.0)
        # A hanging endpoint occupies a request for a third of its time before another attempt is made.
        await asyncio.sleep(4.0)


async def callers_leave_while_proxies_stop(stage: stages.Stage) -> None:
    """Clients leave while their requests are in progress and their proxies are stopped one after another."""
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        sending = stage.fleet.spawn(_send_long_work(stage, 4.0))
        for edge in stage.up_edges()[:3]:
            started_at = stage.now
            await stage.stop(edge.node)
            stage.story.stops.append(histories.Span(edge.web, started_at, stage.now))
            edge.node.restart()
            await asyncio.sleep(0.5)
        await sending


async def callers_leave_a_frozen_proxy(stage: stages.Stage) -> None:
    """Clients leave a frozen proxy, which notices it only when it resumes."""
    edge = stage.edge()
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        sending = stage.fleet.spawn(_send_long_work(stage, 4.0))
        await asyncio.sleep(1.0)
        started_at = stage.now
        edge.node.freeze()
        await asyncio.sleep(1.5)
        edge.node.thaw()
        stage.mark_gone([edge], started_at)
        await sending


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "try_again": try_again,
    "try_again_all_refuse": try_again_all_refuse,
    "do_not_wait": do_not_wait,
    "lose_and_try_again": lose_and_try_again,
    "burst_of_callers": burst_of_callers,
    "fresh_callers": fresh_callers,
    "kept_callers": kept_callers,
    "believe_bare_503": believe_bare_503,
    "every_run_fails": every_run_fails,
    "callers_leave": callers_leave,
    "callers_leave_between_tries": callers_leave_between_tries,
    "callers_leave_while_proxies_stop": callers_leave_while_proxies_stop,
    "callers_leave_a_frozen_proxy": callers_leave_a_frozen_proxy,
}
