"""Tests the checker: a history that violates a requirement is reported by the check for it."""

import json
import typing

import pytest

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients


def _request(name: str, **more: typing.Any) -> clients.Request:
    fields: dict[str, typing.Any] = {"address": "p", "ended_at": 100.1, "status": 200, **more}
    return clients.Request(name, "exports", True, fields.pop("started_at", 100.0), **fields)


def _execution(request: str, endpoint: str = "exports-0", service: str = "exports") -> clients.Execution:
    return clients.Execution(request, endpoint, service, 100.05)


def _doc(service: str) -> str:
    """Return a layout that sends the route checks to a given service."""
    return json.dumps({"rules": [{"path": "/rove", "service": service}]})


def _put(version: int, ended: float, **more: typing.Any) -> observations.LayoutPut:
    fields: dict[str, typing.Any] = {"body": _doc(f"b{version}"), "match": None, "status": 200, **more}
    return observations.LayoutPut(
        ended - 0.1, fields.pop("body"), fields.pop("match"), ended, version=version, **fields
    )


def _route_check(history: histories.History, at: float, service: str, **more: typing.Any) -> None:
    """Add a route check, and its arrival at a service unless that is empty."""
    name = f"rove-{len(history.route_checks)}"
    fields = {"address": "p", "ended_at": at, "status": 200, "method": "GET", "path": "/rove", **more}
    history.route_checks[name] = clients.Request(name, "", False, at, **fields)
    if service:
        history.arrivals.append((at, name, f"{service}-0"))


def _sample(at: float, layout: int, boot: int = 1) -> observations.Sample:
    return observations.Sample(at, "proxy0", boot, layout, True)


def valid_history() -> histories.History:
    """Return a history without any violation."""
    history = histories.History(
        requests=[_request("a")],
        executions={"a": [_execution("a")]},
        arrivals=[(100.04, "a", "exports-0")],
        owners={"exports-0": "exports", "pages-0": "pages", **{f"b{n}-0": f"b{n}" for n in range(4)}},
        left={"exports-1": 90.0},
        puts=[_put(1, 90.0), _put(2, 95.0)],
        reads=[observations.LayoutRead(96.0, 96.1, 200, 2, _doc("b2"))],
        samples=[_sample(96.0, 1), _sample(97.5, 2), _sample(98.0, 2, boot=2)],
        faults_ended_at=95.0,
        end=120.0,
    )
    # Another proxy may still use the older layout for a while, but not the same proxy.
    _route_check(history, 95.2, "b2")
    _route_check(history, 95.3, "b1", address="q")
    return history


def _twice(history: histories.History) -> None:
    history.executions["a"].append(_execution("a", "exports-1"))


def _twice_begun(history: histories.History) -> None:
    # The first endpoint ended during the execution.
    history.execution_starts["a"] = [_execution("a"), _execution("a", "exports-1")]


def _refused_by_code(history: histories.History) -> None:
    # There is no retry hint, but the result code alone says that it did not run.
    history.requests[0].status, history.requests[0].result = 503, 104


def _refused_by_promise(history: histories.History) -> None:
    history.requests[0].status, history.requests[0].promised = 503, True


def _refused_by_status(history: histories.History) -> None:
    # Its client trusts a 503 as a promise, and the execution had only started.
    history.requests[0].status, history.requests[0].trusts_refusal = 503, True
    history.execution_starts["a"] = history.executions.pop("a")


def _of_another(history: histories.History) -> None:
    history.requests[0].status, history.requests[0].foreign_id = 404, "echoes b"


def _nobody_asked(history: histories.History) -> None:
    history.execution_starts["z"] = [_execution("z")]


def _nobody_sent(history: histories.History) -> None:
    history.arrivals.append((100.2, "z", "exports-0"))


def _changed_on_its_way(history: histories.History) -> None:
    history.requests[0].content = clients.content_of("POST", "/exports/x?ask=a", b"{}")
    history.executions["a"][0].content = clients.content_of("POST", "/exports/x?ask=a", b"[]")


def _not_sealed(history: histories.History) -> None:
    next(iter(history.route_checks.values())).mismatch = "not as it was sealed"


def _extra_turned(history: histories.History) -> None:
    # They ran nowhere, but the attempts reached an endpoint.
    history.misdirected += [(100.0 + n / 100, "a", "exports-0") for n in range(62)]


def _late_by_its_own(history: histories.History) -> None:
    history.requests[0].expiry_s, history.requests[0].ended_at = 1.0, 102.0


def _told(history: histories.History) -> None:
    history.requests[0].status, history.requests[0].result, history.requests[0].retry_after = 503, 111, True


def _told_by_endpoint(history: histories.History) -> None:
    # The endpoint ran it, and its own response tells the client to retry.
    history.requests[0].status, history.requests[0].retry_after = 503, True


def _old_rule(history: histories.History) -> None:
    _route_check(history, 97.3, "b1")


def _no_rule_ever(history: histories.History) -> None:
    _route_check(history, 96.0, "b3")


def _rule_denied(history: histories.History) -> None:
    _route_check(history, 96.0, "", status=404, result=101)


def _rule_slips(history: histories.History) -> None:
    # Both layouts may still be in use, but this proxy had already used the newer one.
    _route_check(history, 95.3, "b1")


def _runs_again(change: dict[str, typing.Any]) -> typing.Callable[[histories.History], None]:
    """Let a request run again long after a change that allows only one execution."""

    def break_it(history: histories.History) -> None:
        rule = {"path": "/rove", "service": "b2", **change}
        history.puts.append(_put(3, 97.0, body=json.dumps({"rules": [rule]})))
        _route_check(history, 96.5, "b2")
        name = list(history.route_checks)[-1]
        history.execution_starts[name] = [
            clients.Execution(name, f"b2-{n}", "b2", at) for n, at in enumerate((96.5, 99.5))
        ]

    return break_it


def _phantom_race(history: histories.History) -> None:
    history.puts.append(_put(0, 99.0, body=_doc("x"), status=412, match=2))


def _connection_broke(history: histories.History) -> None:
    history.requests.append(_request("b", status=0, error="ConnectionResetError"))


def _all_excused(history: histories.History) -> None:
    history.gone.append(histories.Span("p", 99.0, 103.0))
    history.requests += [_request(f"g{n}", status=0, error="ConnectionResetError") for n in range(3)]


def _leak(history: histories.History) -> None:
    history.leaks.append("3 exchanges are still counted")


def _other_reply(history: histories.History) -> None:
    history.requests[0].mismatch = "someone else's"


def _other_owner(history: histories.History) -> None:
    history.arrivals.append((100.04, "a", "pages-0"))


def _after_leaving(history: histories.History) -> None:
    history.arrivals.append((92.5, "a", "exports-1"))


def _while_paused(history: histories.History) -> None:
    history.paused.append(histories.Span("exports-0", 95.0, 110.0))


def _late_layout(history: histories.History) -> None:
    history.samples.insert(1, _sample(97.3, 1))


def _layout_back(history: histories.History) -> None:
    # Back at the older version for less than a quarter of a second, after a restart.
    history.samples.append(_sample(98.1, 1, boot=3))


def _stale_read(history: histories.History) -> None:
    history.reads.append(observations.LayoutRead(97.0, 97.1, 200, 1, _doc("b1")))


def _none_read(history: histories.History) -> None:
    history.reads.append(observations.LayoutRead(97.0, 97.1, 404))


def _lost_layout(history: histories.History) -> None:
    history.puts.append(_put(2, 99.0, body=_doc("other")))


def _refused_stands(history: histories.History) -> None:
    history.puts.append(_put(0, 99.0, body=_doc("never"), status=412))
    history.reads.append(observations.LayoutRead(99.5, 99.6, 200, 3, _doc("never")))


def _broken_taken(history: histories.History) -> None:
    history.puts.append(_put(3, 99.0))
    history.broken_bodies.add(_doc("b3"))


def _good_refused(history: histories.History) -> None:
    history.puts.append(_put(0, 99.0, body=_doc("good"), status=422))


def _many_extra(history: histories.History) -> None:
    history.arrivals += [(100.0 + n / 100, "a", "exports-0") for n in range(62)]


def _dropped(history: histories.History) -> None:
    history.requests.append(_request("b", status=0, error="ConnectionResetError"))
    history.stops.append(histories.Span("p", 99.0, 103.0))


def _turned_away(history: histories.History) -> None:
    history.requests += [_request(f"t{n}", status=503, result=103) for n in range(6)]


def _not_recovered(history: histories.History) -> None:
    history.requests.append(_request("late", started_at=110.5, ended_at=110.6, status=502, result=108))


def _too_late(history: histories.History) -> None:
    history.requests[0].ended_at = 111.0


def _crash(history: histories.History) -> None:
    history.crashes.append("core0: ValueError")


def _two_confirmed(history: histories.History) -> None:
    # Two operators got the same version for different layouts.
    history.puts.append(_put(2, 96.5, body=_doc("b3")))


def _another_body_read(history: histories.History) -> None:
    history.reads.append(observations.LayoutRead(97.0, 97.1, 200, 2, _doc("b1")))


def _refused_when_sent_again(history: histories.History) -> None:
    history.puts += [_put(3, 96.0, match=2), _put(0, 97.0, body=_doc("b3"), match=2, status=412)]


def _lost_then_refused(history: histories.History) -> None:
    # The first answer was lost, and a read shows that the order was accepted.
    history.puts += [_put(0, 96.0, body=_doc("b3"), match=2, status=0)]
    history.reads.append(observations.LayoutRead(96.2, 96.3, 200, 3, _doc("b3")))
    history.puts += [_put(0, 97.0, body=_doc("b3"), match=2, status=409)]


def _refused_unheard(history: histories.History) -> None:
    # The answer to the second delivery was lost; that delivery was refused all the same.
    history.puts += [_put(3, 96.0, match=2)]
    history.puts += [_put(0, 97.0, body=_doc("b3"), match=2, status=0, lost_status=412)]


def _lags_at_the_end(history: histories.History) -> None:
    history.read_back = [observations.LayoutRead(119.0, 119.1, 200, 1, _doc("b1"))]


def _silent_at_the_end(history: histories.History) -> None:
    history.read_back = [observations.LayoutRead(119.0, 119.1, 503)]


def _goes_on(writing: bool) -> typing.Callable[[histories.History], None]:
    """Let a request reach an endpoint and run after its client left."""

    def change(history: histories.History) -> None:
        request = clients.Request("left", "exports", writing, 100.0, "p", 100.1, left_at=100.1)
        history.requests.append(request)
        history.arrivals += [(100.05, "left", "exports-0"), (100.7, "left", "exports-0")]
        history.executions["left"] = [clients.Execution("left", "exports-0", "exports", 100.7)]

    return change


def _many_endpoints(history: histories.History) -> None:
    history.requests.append(clients.Request("many", "pages", False, 100.0, "p", 100.1, status=200))
    history.execution_starts["many"] = [_execution("many", f"pages-{n}", "pages") for n in range(4)]


def _time_added(history: histories.History) -> None:
    history.time_budgets = [observations.TimeBudget(100.0, "a", history.expiry_s + 0.6, False)]


def _time_begun_anew(history: histories.History) -> None:
    """Give a second attempt the whole time budget again."""
    history.time_budgets = [observations.TimeBudget(at, "a", history.expiry_s, True) for at in (100.0, 100.6)]


BREAKS: typing.Final[dict[str, list[typing.Callable[[histories.History], None]]]] = {
    "run_twice": [_twice, _twice_begun],
    "told_not_done": [_told, _told_by_endpoint],
    "refused_ran": [_refused_by_code, _refused_by_promise, _refused_by_status],
    "whole_replies": [_other_reply, _not_sealed],
    "own_replies": [_of_another],
    "asked_for": [_nobody_asked, _nobody_sent, _changed_on_its_way],
    "right_owner": [_other_owner],
    "not_after_leaving": [_after_leaving],
    "not_while_paused": [_while_paused],
    "layout_in_time": [_late_layout],
    "layout_never_back": [_layout_back],
    "layout_by_traffic": [_old_rule, _no_rule_ever, _rule_denied],
    "layout_order_by_traffic": [_rule_slips],
    "not_run_again": [_runs_again({"writing": True}), _runs_again({"max_tries": 1})],
    "refused_rightly": [_phantom_race],
    "broken_explained": [_connection_broke],
    "excuses_bounded": [_all_excused],
    "nothing_leaked": [_leak],
    "tries_bounded": [_many_endpoints],
    "no_time_added": [_time_added, _time_begun_anew],
    "nothing_sent_for_nobody": [_goes_on(True), _goes_on(False)],
    "nothing_run_for_nobody": [_goes_on(False)],
    "register_holds": [_stale_read, _none_read, _refused_stands],
    "one_body_per_version": [_lost_layout, _two_confirmed, _another_body_read],
    "never_refused_again": [_refused_when_sent_again, _lost_then_refused, _refused_unheard],
    "read_back": [_lags_at_the_end, _silent_at_the_end],
    "broken_refused": [_broken_taken, _good_refused],
    "extra_bound": [_many_extra, _extra_turned],
    "not_dropped": [_dropped],
    "not_turned_away": [_turned_away],
    "recovered": [_not_recovered],
    "in_time": [_too_late, _late_by_its_own],
    "no_crash": [_crash],
}


def test_a_sound_history_passes() -> None:
    assert histories.judge(valid_history()) == {}


def test_a_request_may_run_again_where_the_layout_lets_it() -> None:
    history = valid_history()
    _runs_again({"max_tries": 2})(history)
    assert histories.judge(history) == {}


def test_a_refusal_by_status_alone_is_none_to_callers_who_do_not_ask_anew() -> None:
    history = valid_history()
    history.requests[0].status = 503
    assert histories.judge(history) == {}
    # No check counts executions of a read before it failed.
    history.requests[0].writing, history.requests[0].trusts_refusal = False, True
    assert histories.judge(history) == {}


def test_an_order_sent_again_may_be_told_its_own_version() -> None:
    history = valid_history()
    # The order is accepted as version 3 without an answer, superseded by version 4, and then sent again.
    history.puts += [_put(0, 96.0, body=_doc("b3"), match=2, status=0), _put(4, 96.6, match=3)]
    history.puts += [_put(3, 97.0, match=2)]
    history.samples = [_sample(at, version) for at, version in ((96.5, 2), (98.5, 4), (99.5, 4))]
    assert histories.judge(history) == {}
    # A read that returns the same version at that time would go back.
    history.reads.append(observations.LayoutRead(97.5, 97.6, 200, 3, _doc("b3")))
    assert set(histories.judge(history)) == {"register_holds"}


def test_an_order_that_lost_its_race_may_be_refused_again() -> None:
    history = valid_history()
    history.puts += [_put(0, at, body=_doc("b0"), match=1, status=412) for at in (96.0, 97.0)]
    assert histories.judge(history) == {}


def test_every_check_is_broken_by_some_history() -> None:
    assert set(BREAKS) == set(histories.CHECKS)


@pytest.mark.parametrize(
    ("name", "damage"), [(name, damage) for name, damages in BREAKS.items() for damage in damages]
)
def test_a_broken_history_is_found_out(name: str, damage: typing.Callable[[histories.History], None]) -> None:
    history = valid_history()
    damage(history)
    assert name in histories.judge(history)
