"""Routes that change while requests on them are in progress."""

import asyncio
import typing

import dykeswitch.simulator.stage as stages
import dykeswitch.standin.faults as endpoint_faults

# How often the route is changed and restored, and how many requests are in progress on it each time.
ROUNDS: typing.Final = 2
CONCURRENT_REQUESTS: typing.Final = 20
# The share of requests whose endpoint aborts its response half-way.
SHARE: typing.Final = 0.7
# The change is sent once all requests have received half of their response, and takes effect before
# their endpoints abort.
CHANGE_AFTER_S: typing.Final = 0.1 * endpoint_faults.MID_BODY_PAUSE_S
# The longest that a request takes: each of its three attempts is aborted half-way.
MAX_REQUEST_S: typing.Final = 4 * endpoint_faults.MID_BODY_PAUSE_S

Rules = list[dict[str, typing.Any]]


def _removed(rules: Rules) -> Rules:
    return [rule for rule in rules if not rule["path"].startswith("/rove")]


def _writing(rules: Rules) -> Rules:
    return [{**rule, "writing": True} if rule["path"].startswith("/rove") else rule for rule in rules]


def _one_try(rules: Rules) -> Rules:
    return [{**rule, "max_tries": 1} if rule["path"].startswith("/rove") else rule for rule in rules]


def change_amid_reads(changed: typing.Callable[[Rules], Rules]) -> stages.Fault:
    """Change a route and restore it while responses to reads on it are half-way."""

    async def act(stage: stages.Stage) -> None:
        fleet = stage.fleet
        rotated = {service.name for service in fleet.slots}
        names = sorted(name for name, endpoint in fleet.endpoints.items() if endpoint.service in rotated)
        with stage.with_fault_plan(names, "cut_late", SHARE):
            for _ in range(ROUNDS):
                requests = [
                    asyncio.create_task(fleet.clients.check_route()) for _ in range(CONCURRENT_REQUESTS)
                ]
                await asyncio.sleep(CHANGE_AFTER_S)
                layout = stage.layout()
                await fleet.put({**layout, "rules": changed(layout["rules"])}, stage.core())
                await asyncio.sleep(MAX_REQUEST_S)
                await stage.change()
                await asyncio.gather(*requests)

    return act


FAULTS: typing.Final[dict[str, stages.Fault]] = {
    "remove_route_amid_reads": change_amid_reads(_removed),
    "route_writes_amid_reads": change_amid_reads(_writing),
    "route_has_one_try_amid_reads": change_amid_reads(_one_try),
}
