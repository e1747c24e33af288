"""The scopes: their hosts, what these do, and which faults may happen."""

import dataclasses
import typing

import dykeswitch.explorer.builds as builds
import dykeswitch.explorer.events as events
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.nodes as nodes

STORES: typing.Final = builds.STORES


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """A named scope: a small plan for exhaustive search and a wide one for random schedules."""

    name: str
    description: str
    small: executions.Plan
    wide: executions.Plan


def _plan(build: executions.Build, max_events: int = 400, **options: typing.Any) -> executions.Plan:
    budget = options.pop("budget", {})
    return executions.Plan(build, nodes.Settings(budget=budget, **options), max_events)


_REGISTRIES: typing.Final = frozenset({"A", "B"})
_LINKS: typing.Final = frozenset(
    (source, target)
    for registry in _REGISTRIES
    for store in STORES
    for source, target in ((registry, store), (store, registry))
)
_Kind = events.Kind

SCOPES: typing.Final[dict[str, Scope]] = {
    scope.name: scope
    for scope in (
        Scope(
            "race",
            "two proposers change one key on three disks",
            _plan(
                builds.race(read_count=0, second_order=False),
                immediate_replies=True,
                time_per_reply_s=2.0,
                interchangeable=STORES,
            ),
            _plan(
                builds.race(read_count=2, second_order=True),
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.DUPLICATE: 1, _Kind.CUT: 2},
                may_cut=_LINKS,
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "read",
            "one registry changes a key while another reads it",
            _plan(builds.read, immediate_replies=True, time_per_reply_s=2.0, interchangeable=STORES),
            _plan(
                builds.read,
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.CRASH: 2},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "lost",
            "two proposers change one key while one of three disks is lost",
            _plan(
                builds.lost_disk, immediate_replies=True, time_per_reply_s=2.0, interchangeable=("s1", "s2")
            ),
            _plan(
                builds.lost_disk,
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.CRASH: 2},
                may_crash=frozenset({"A", "s1", "s2"}),
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "power",
            "power is lost at any step of a store's disk; each unsynced change is kept or lost",
            _plan(
                builds.power(1),
                budget={_Kind.POWER: 1},
                may_lose_power=frozenset({"s1"}),
                interchangeable=("s2", "s3"),
                immediate_replies=True,
                stepwise_disks=True,
                real_files=True,
            ),
            _plan(
                builds.race(read_count=1, second_order=True),
                budget={_Kind.POWER: 3, _Kind.LOSE: 1},
                may_lose_power=frozenset(STORES),
                stepwise_disks=True,
                real_files=True,
                min_sleep_s=1.0,
            ),
        ),
        Scope(
            "swap",
            "a store that a registry can't reach is replaced while another uses the old member set",
            _plan(
                builds.swap(rounds=4, both_reconcile=False),
                immediate_replies=True,
                time_per_reply_s=2.0,
                max_events=800,
            ),
            _plan(
                builds.swap(rounds=5, both_reconcile=False),
                budget={_Kind.LOSE: 1, _Kind.GIVE_UP: 1, _Kind.CRASH: 1},
                may_crash=frozenset({"A", "s1", "s2", "s4"}),
                min_sleep_s=2.0,
                stepwise_disks=True,
                max_events=800,
            ),
        ),
        Scope(
            "reseat",
            "two registries give a store that restarted with an empty disk its vote back, and change a key",
            _plan(
                builds.reseat(rounds=4, both_reconcile=False),
                immediate_replies=True,
                time_per_reply_s=2.0,
                max_events=800,
            ),
            _plan(
                builds.reseat(rounds=5, both_reconcile=True),
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.CRASH: 1, _Kind.CUT: 1},
                may_crash=frozenset({"A", "s1", "s2", "s3"}),
                may_cut=_LINKS,
                min_sleep_s=2.0,
                stepwise_disks=True,
                max_events=800,
            ),
        ),
        Scope(
            "resend",
            "an order is sent again to another registry after its answer was lost",
            _plan(
                builds.resend(competing_order=False),
                budget={_Kind.GIVE_UP: 1},
                interchangeable=STORES,
                immediate_replies=True,
                time_per_reply_s=2.0,
            ),
            _plan(
                builds.resend(competing_order=True),
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.DUPLICATE: 1, _Kind.CRASH: 1},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "restart",
            "members restart at any moment with the content of their disks",
            _plan(
                builds.race(read_count=0, second_order=False),
                budget={_Kind.CRASH: 1},
                may_crash=frozenset({"s1"}),
                interchangeable=("s2", "s3"),
                immediate_replies=True,
                time_per_reply_s=2.0,
            ),
            _plan(
                builds.race(read_count=2, second_order=True),
                budget={_Kind.CRASH: 3, _Kind.LOSE: 1, _Kind.GIVE_UP: 1},
                may_crash=frozenset({"A", "B", "s1", "s2", "s3"}),
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
        Scope(
            "documents",
            "a proxy fetches a document while it reads the register itself",
            _plan(builds.document_fetch, interchangeable=STORES),
            _plan(
                builds.document_fetch,
                budget={_Kind.LOSE: 2, _Kind.GIVE_UP: 2, _Kind.DUPLICATE: 1},
                min_sleep_s=1.0,
                stepwise_disks=True,
            ),
        ),
    )
}
