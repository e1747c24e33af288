"""Routes that change while requests on them are at work."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages
import dykeswitch.standin.faults as endpoint_faults

# How often the route goes and comes back, and how many requests are at work on it each time.
TURNS: typing.Final = 2
AT_WORK: typing.Final = 20
# The part of requests whose endpoint breaks off half way through its answer.
SHARE: typing.Final = 0.7
# A change is sent once all requests have the first half of their answers, and is in force before
# their endpoints break off.
CHANGE_AFTER_S: typing.Final = 0.1 * endpoint_faults.MID_BODY_PAUSE_S
# How long a request takes at the most: each of its three tries breaks off half way.
ENDS_S: typing.Final = 4 * endpoint_faults.MID_BODY_PAUSE_S

Rules = list[dict[str, typing.Any]]


def _removed(rules: Rules) -> Rules:
    return [rule for rule in rules if not rule["path"].startswith("/rove")]


def _writing(rules: Rules) -> Rules:
    return [{**rule, "writing": True} if rule["path"].startswith("/rove") else rule for rule in rules]


def _one_try(rules: Rules) -> Rules:
    return [{**rule, "max_tries": 1} if rule["path"].startswith("/rove") else rule for rule in rules]


def change_amid_reads(changed: typing.Callable[[Rules], Rules]) -> stages.Fault:
    """A route is changed, and changed back, while answers to reads on it are half way."""

    async def act(stage: stages.Stage) -> None:
        fleet = stage.fleet
        kept = {service.name for service in fleet.slots}
        names = sorted(name for name, endpoint in fleet.endpoints.items() if endpoint.service in kept)
        with stage.with_fault_plan(names, "cut_late", SHARE):
            for _ in range(TURNS):
                requests = [asyncio.create_task(fleet.clients.check_route()) for _ in range(AT_WORK)]
                await asyncio.sleep(CHANGE_AFTER_S)
                layout = stage.layout()
                await fleet.put({**layout, "rules": changed(layout["rules"])}, stage.core())
                await asyncio.sleep(ENDS_S)
                await stage.change()
                await asyncio.gather(*requests)

    return act


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "remove_route_amid_reads": change_amid_reads(_removed),
    "route_writes_amid_reads": change_amid_reads(_writing),
    "route_has_one_try_amid_reads": change_amid_reads(_one_try),
}
