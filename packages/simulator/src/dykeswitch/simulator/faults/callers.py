"""Callers that try again, that do not wait, that come in bursts or over fresh pipes."""

import asyncio
import typing

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.stage as stages


async def try_again(stage: stages.Stage) -> None:
    """Callers try once more by another proxy, after the time they are told, while some refuse."""
    service = stage.any_service()
    with (
        stage.with_behavior(tries=1),
        stage.with_fault_plan(stage.some_of(service.name, 0.3), "promise", 0.8),
    ):
        await asyncio.sleep(6.0)


async def try_again_all_refuse(stage: stages.Stage) -> None:
    """The same while every endpoint of a service refuses: each write may run once, or not at all."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_behavior(tries=2), stage.failing(service.name):
        with stage.with_fault_plan(names, "promise", 0.9):
            await asyncio.sleep(3.0)
        await asyncio.sleep(1.0)


async def do_not_wait(stage: stages.Stage) -> None:
    """Callers ask again at once, whatever they are told, while a service refuses nearly all."""
    service = stage.any_service()
    names = stage.live_endpoints(service.name)
    with stage.with_behavior(tries=3, waits=False), stage.failing(service.name):
        with stage.with_fault_plan(names, "promise", 0.9):
            await asyncio.sleep(2.0)
        await asyncio.sleep(0.5)


async def lose_and_try_again(stage: stages.Stage) -> None:
    """Replies are lost after the work: callers of reads ask again, those of writes must not need to."""
    service = stage.any_service()
    with (
        stage.with_behavior(tries=2),
        stage.with_fault_plan(
            stage.some_of(service.name, 0.2), stage.rng.choice(("lose", "lose_reset")), 0.5
        ),
    ):
        await asyncio.sleep(5.0)


async def burst_of_callers(stage: stages.Stage) -> None:
    """Many requests of every service within a moment, three times."""
    for _ in range(3):
        bursts = [stage.fleet.clients.send_burst(s, 50, 0.1) for s in stage.fleet.shape.services]
        await asyncio.gather(*bursts)
        await asyncio.sleep(1.0)


async def fresh_callers(stage: stages.Stage) -> None:
    """Every request over a pipe of its own, and unevenly over the proxies."""
    with stage.with_behavior(kept_share=0.0, uneven=0.8):
        await asyncio.sleep(5.0)


async def kept_callers(stage: stages.Stage) -> None:
    """Every request over a kept pipe, while a proxy goes."""
    with stage.with_behavior(kept_share=1.0):
        edge = stage.edge()
        begun = stage.now
        await asyncio.sleep(1.0)
        edge.node.kill()
        await asyncio.sleep(1.0)
        edge.node.restart()
        stage.mark_gone([edge], begun)
        await asyncio.sleep(3.0)


async def believe_bare_503(stage: stages.Stage) -> None:
    """Endpoints do the work and answer 503 without a promise; callers take 503 for one."""
    service = next(s for s in stage.fleet.shape.services if s.writing)
    with (
        stage.with_behavior(tries=1),
        stage.with_fault_plan(stage.some_of(service.name, 0.3), "run_then_503", 0.8),
    ):
        await asyncio.sleep(5.0)


async def every_run_fails(stage: stages.Stage) -> None:
    """Every endpoint of a reading service does the work and says that it failed."""
    service = next(s for s in stage.fleet.shape.services if not s.writing)
    with stage.failing(service.name):
        with stage.with_fault_plan(stage.live_endpoints(service.name), "run_then_500", 1.0):
            await asyncio.sleep(3.0)
        await asyncio.sleep(0.5)


# Work that outlasts its caller's patience by far, how soon those who leave are gone, and how often
# one comes with such work, in seconds.
LONG_WORK_S: typing.Final = 2.5
LEAVE_WITHIN_S: typing.Final = 0.4
LONG_WORK_EACH_S: typing.Final = 0.05


async def _come_and_leave(stage: stages.Stage, span: float) -> None:
    """Callers with long work, of every service, most of whom leave amid it."""
    end = stage.now + span
    requests = []
    services = stage.fleet.shape.services
    while stage.now < end:
        await asyncio.sleep(LONG_WORK_EACH_S)
        service = stage.rng.choice(services)
        requests.append(
            stage.fleet.spawn(stage.fleet.clients.send_request(service, query_suffix=f"&work={LONG_WORK_S}"))
        )
    await asyncio.gather(*requests)


async def callers_leave(stage: stages.Stage) -> None:
    """Callers leave at any moment before they are answered, and endpoints drop work that is broken off."""
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        await _come_and_leave(stage, 4.0)


async def callers_leave_between_tries(stage: stages.Stage) -> None:
    """Callers leave while some endpoints refuse, hang or fail, so that requests are tried again."""
    service = next(s for s in stage.fleet.shape.services if not s.writing)
    names = stage.some_of(service.name, 0.5)
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
        stage.with_fault_plan(names, stage.rng.choice(("hang", "slow", "promise")), 0.8),
    ):
        await _come_and_leave(stage, 4.0)
        # Those that hang hold a request for a third of its time before another attempt is made.
        await asyncio.sleep(4.0)


async def callers_leave_while_proxies_stop(stage: stages.Stage) -> None:
    """Callers leave proxies that are told to stop, one after another, while their requests are at work."""
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        coming = stage.fleet.spawn(_come_and_leave(stage, 4.0))
        for edge in stage.up_edges()[:3]:
            begun = stage.now
            await stage.stop(edge.node)
            stage.story.stops.append(histories.Span(edge.web, begun, stage.now))
            edge.node.restart()
            await asyncio.sleep(0.5)
        await coming


async def callers_leave_a_frozen_proxy(stage: stages.Stage) -> None:
    """Callers leave a proxy that stands still, which hears of it when it wakes."""
    edge = stage.edge()
    with (
        stage.with_profile(stage.live_endpoints(), drops=True),
        stage.with_behavior(leave_share=0.7, leave_within_s=LEAVE_WITHIN_S),
    ):
        coming = stage.fleet.spawn(_come_and_leave(stage, 4.0))
        await asyncio.sleep(1.0)
        begun = stage.now
        edge.node.freeze()
        await asyncio.sleep(1.5)
        edge.node.thaw()
        stage.mark_gone([edge], begun)
        await coming


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
