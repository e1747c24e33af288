"""The scopes: who takes part, what they do, and which faults they may meet."""

import dataclasses
import typing

import dykeswitch.explorer.builds as builds
import dykeswitch.explorer.events as events
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.nodes as nodes

STORES: typing.Final = builds.STORES


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """A small world by name, with a plan to search whole and a wider one for random schedules."""

    name: str
    text: str
    small: executions.Plan
    wide: executions.Plan


def _plan(build: executions.Build, most_events: int = 400, **more: typing.Any) -> executions.Plan:
    budget = more.pop("budget", {})
    return executions.Plan(build, nodes.Settings(budget=budget, **more), most_events)


_REGISTRIES: typing.Final = frozenset({"A", "B"})
_WAYS: typing.Final = frozenset(
    (one, other)
    for registry in _REGISTRIES
    for store in STORES
    for one, other in ((registry, store), (store, registry))
)
_K = events.Kind

SCOPES: typing.Final[dict[str, Scope]] = {
    scope.name: scope
    for scope in (
        Scope(
            "race",
            "two proposers change one key on three disks",
            _plan(
                builds.race(reads=0, second_order=False), prompt_replies=True, answer_time=2.0, alike=STORES
            ),
            _plan(
                builds.race(reads=2, second_order=True),
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.DUPLICATE: 1, _K.CUT: 2},
                may_cut=_WAYS,
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "read",
            "one registry changes a key while another reads it",
            _plan(builds.read, prompt_replies=True, answer_time=2.0, alike=STORES),
            _plan(
                builds.read,
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.CRASH: 2},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "lost",
            "two proposers change one key while one of three disks is lost",
            _plan(builds.lost, prompt_replies=True, answer_time=2.0, alike=("s1", "s2")),
            _plan(
                builds.lost,
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.CRASH: 2},
                may_crash=frozenset({"A", "s1", "s2"}),
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "power",
            "power is lost at any step of a store's disk; each unsynced change is kept or lost",
            _plan(
                builds.power(1),
                budget={_K.POWER: 1},
                may_lose_power=frozenset({"s1"}),
                alike=("s2", "s3"),
                prompt_replies=True,
                stepwise_disks=True,
                real_files=True,
            ),
            _plan(
                builds.race(reads=1, second_order=True),
                budget={_K.POWER: 3, _K.LOSE: 1},
                may_lose_power=frozenset(STORES),
                stepwise_disks=True,
                real_files=True,
                shortest_sleep=1.0,
            ),
        ),
        Scope(
            "swap",
            "a store that a registry can't reach is replaced while another goes by the old member set",
            _plan(
                builds.swap(rounds=4, both_tend=False), prompt_replies=True, answer_time=2.0, most_events=800
            ),
            _plan(
                builds.swap(rounds=5, both_tend=False),
                budget={_K.LOSE: 1, _K.GIVE_UP: 1, _K.CRASH: 1},
                may_crash=frozenset({"A", "s1", "s2", "s4"}),
                shortest_sleep=2.0,
                stepwise_disks=True,
                most_events=800,
            ),
        ),
        Scope(
            "reseat",
            "two registries at once seat a store that came back with an empty disk, and change a key",
            _plan(
                builds.reseat(rounds=4, both_tend=False),
                prompt_replies=True,
                answer_time=2.0,
                most_events=800,
            ),
            _plan(
                builds.reseat(rounds=5, both_tend=True),
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.CRASH: 1, _K.CUT: 1},
                may_crash=frozenset({"A", "s1", "s2", "s3"}),
                may_cut=_WAYS,
                shortest_sleep=2.0,
                stepwise_disks=True,
                most_events=800,
            ),
        ),
        Scope(
            "resend",
            "an order is sent again at another registry after a lost answer",
            _plan(
                builds.resend(rival=False),
                budget={_K.GIVE_UP: 1},
                alike=STORES,
                prompt_replies=True,
                answer_time=2.0,
            ),
            _plan(
                builds.resend(rival=True),
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.DUPLICATE: 1, _K.CRASH: 1},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "restart",
            "members restart with what their disks hold, at any moment",
            _plan(
                builds.race(reads=0, second_order=False),
                budget={_K.CRASH: 1},
                may_crash=frozenset({"s1"}),
                alike=("s2", "s3"),
                prompt_replies=True,
                answer_time=2.0,
            ),
            _plan(
                builds.race(reads=2, second_order=True),
                budget={_K.CRASH: 3, _K.LOSE: 1, _K.GIVE_UP: 1},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "documents",
            "a proxy fetches a document while it reads the register itself",
            _plan(builds.two_readings, alike=STORES),
            _plan(
                builds.two_readings,
                budget={_K.LOSE: 2, _K.GIVE_UP: 2, _K.DUPLICATE: 1},
                shortest_sleep=1.0,
                stepwise_disks=True,
            ),
        ),
    )
}
