"""The checker: tests a recorded history against each requirement.

`record` defines the history. The checks are divided by what they judge: single requests, requests
whose clients left, configurations, and the service as a whole.
"""

import hashlib
import typing

from dykeswitch.simulator.history import configuration, departures, requests, service
from dykeswitch.simulator.history.record import GRACE_S, RECOVER_S, Check, History, Span
from dykeswitch.simulator.history.service import back_after, back_by_fault, excuses, floor_used

__all__ = [
    "CHECKS",
    "GRACE_S",
    "RECOVER_S",
    "Check",
    "History",
    "Span",
    "back_after",
    "back_by_fault",
    "digest",
    "excuses",
    "floor_used",
    "judge",
]

CHECKS: typing.Final[dict[str, Check]] = {
    "run_twice": requests.run_twice,
    "told_not_done": requests.told_not_done,
    "refused_ran": requests.refused_ran,
    "whole_replies": requests.whole_replies,
    "own_replies": requests.own_replies,
    "asked_for": requests.asked_for,
    "right_owner": requests.right_owner,
    "tries_bounded": requests.tries_bounded,
    "no_time_added": requests.no_time_added,
    "not_after_leaving": requests.not_after_leaving,
    "not_while_paused": requests.not_while_paused,
    "nothing_sent_for_nobody": departures.nothing_sent_for_nobody,
    "nothing_run_for_nobody": departures.nothing_run_for_nobody,
    "layout_in_time": configuration.layout_in_time,
    "layout_never_back": configuration.layout_never_back,
    "layout_by_traffic": configuration.layout_by_traffic,
    "layout_order_by_traffic": configuration.layout_order_by_traffic,
    "not_run_again": configuration.not_run_again,
    "register_holds": configuration.register_holds,
    "one_body_per_version": configuration.one_body_per_version,
    "never_refused_again": configuration.never_refused_again,
    "read_back": configuration.read_back,
    "broken_refused": configuration.broken_refused,
    "refused_rightly": configuration.refused_rightly,
    "extra_bound": service.extra_bound,
    "not_dropped": service.not_dropped,
    "not_turned_away": service.not_turned_away,
    "broken_explained": service.broken_explained,
    "excuses_bounded": service.excuses_bounded,
    "recovered": service.recovered,
    "in_time": service.in_time,
    "no_crash": service.no_crash,
    "nothing_leaked": service.nothing_leaked,
}


def digest(history: History) -> str:
    """Return a hash of the whole history, with all times in full precision."""
    return hashlib.sha256(repr(history).encode()).hexdigest()


def judge(history: History) -> dict[str, list[str]]:
    """Return all violations, by the name of the check that found them."""
    return {name: found for name, check in CHECKS.items() if (found := check(history))}
