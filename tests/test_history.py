"""The checker itself: each point of the brief, broken by hand, is found out."""

import json
import typing

import pytest

import dykeswitch.simulator.history as histories
import dykeswitch.simulator.observations as observations
import dykeswitch.standin.caller as clients


def _ask(name: str, **more: typing.Any) -> clients.Request:
    fields: dict[str, typing.Any] = {"address": "p", "ended_at": 100.1, "status": 200, **more}
    return clients.Request(name, "exports", True, fields.pop("started_at", 100.0), **fields)


def _run(ask: str, endpoint: str = "exports-0", service: str = "exports") -> clients.Execution:
    return clients.Execution(ask, endpoint, service, 100.05)


def _doc(service: str) -> str:
    """A layout that sends some requests to a service of its own."""
    return json.dumps({"rules": [{"path": "/rove", "service": service}]})


def _put(version: int, ended: float, **more: typing.Any) -> observations.LayoutPut:
    fields: dict[str, typing.Any] = {"body": _doc(f"b{version}"), "match": None, "status": 200, **more}
    return observations.LayoutPut(
        ended - 0.1, fields.pop("body"), fields.pop("match"), ended, version=version, **fields
    )


def _rove(story: histories.History, at: float, service: str, **more: typing.Any) -> None:
    """A request that rules move about, and the service that it reached."""
    name = f"rove-{len(story.route_checks)}"
    fields = {"address": "p", "ended_at": at, "status": 200, "method": "GET", "path": "/rove", **more}
    story.route_checks[name] = clients.Request(name, "", False, at, **fields)
    if service:
        story.arrivals.append((at, name, f"{service}-0"))


def _sample(at: float, layout: int, boot: int = 1) -> observations.Sample:
    return observations.Sample(at, "proxy0", boot, layout, True)


def sound() -> histories.History:
    """A history in which nothing is wrong."""
    story = histories.History(
        requests=[_ask("a")],
        executions={"a": [_run("a")]},
        arrivals=[(100.04, "a", "exports-0")],
        owners={"exports-0": "exports", "pages-0": "pages", **{f"b{n}-0": f"b{n}" for n in range(4)}},
        left={"exports-1": 90.0},
        puts=[_put(1, 90.0), _put(2, 95.0)],
        reads=[observations.LayoutRead(96.0, 96.1, 200, 2, _doc("b2"))],
        samples=[_sample(96.0, 1), _sample(97.5, 2), _sample(98.0, 2, boot=2)],
        faults_ended_at=95.0,
        end=120.0,
    )
    # The older layout shows for a while by another proxy, and not after by the same.
    _rove(story, 95.2, "b2")
    _rove(story, 95.3, "b1", address="q")
    return story


def _twice(story: histories.History) -> None:
    story.executions["a"].append(_run("a", "exports-1"))


def _twice_begun(story: histories.History) -> None:
    # The first endpoint ended amid its work.
    story.execution_starts["a"] = [_run("a"), _run("a", "exports-1")]


def _refused_by_code(story: histories.History) -> None:
    # No hint, and all the same the code says that it did not run.
    story.requests[0].status, story.requests[0].result = 503, 104


def _refused_by_promise(story: histories.History) -> None:
    story.requests[0].status, story.requests[0].promised = 503, True


def _refused_by_status(story: histories.History) -> None:
    # Its caller takes a 503 for a promise, and the work had only begun.
    story.requests[0].status, story.requests[0].trusts_refusal = 503, True
    story.execution_starts["a"] = story.executions.pop("a")


def _of_another(story: histories.History) -> None:
    story.requests[0].status, story.requests[0].foreign_id = 404, "echoes b"


def _nobody_asked(story: histories.History) -> None:
    story.execution_starts["z"] = [_run("z")]


def _nobody_sent(story: histories.History) -> None:
    story.arrivals.append((100.2, "z", "exports-0"))


def _changed_on_its_way(story: histories.History) -> None:
    story.requests[0].content = clients.content_of("POST", "/exports/x?ask=a", b"{}")
    story.executions["a"][0].content = clients.content_of("POST", "/exports/x?ask=a", b"[]")


def _not_sealed(story: histories.History) -> None:
    next(iter(story.route_checks.values())).mismatch = "not as it was sealed"


def _extra_turned(story: histories.History) -> None:
    # They ran nowhere, and came all the same.
    story.misdirected += [(100.0 + n / 100, "a", "exports-0") for n in range(62)]


def _late_by_its_own(story: histories.History) -> None:
    story.requests[0].expiry_s, story.requests[0].ended_at = 1.0, 102.0


def _told(story: histories.History) -> None:
    story.requests[0].status, story.requests[0].result, story.requests[0].retry_after = 503, 111, True


def _told_by_endpoint(story: histories.History) -> None:
    # The endpoint ran it, and bids the caller come again in its own words.
    story.requests[0].status, story.requests[0].retry_after = 503, True


def _old_rule(story: histories.History) -> None:
    _rove(story, 97.3, "b1")


def _no_rule_ever(story: histories.History) -> None:
    _rove(story, 96.0, "b3")


def _rule_denied(story: histories.History) -> None:
    _rove(story, 96.0, "", status=404, result=101)


def _rule_slips(story: histories.History) -> None:
    # Both layouts may still show; but this proxy had moved on.
    _rove(story, 95.3, "b1")


def _runs_again(change: dict[str, typing.Any]) -> typing.Callable[[histories.History], None]:
    """A request that ran runs again long after a change that lets it run but once."""

    def break_it(story: histories.History) -> None:
        rule = {"path": "/rove", "service": "b2", **change}
        story.puts.append(_put(3, 97.0, body=json.dumps({"rules": [rule]})))
        _rove(story, 96.5, "b2")
        name = list(story.route_checks)[-1]
        story.execution_starts[name] = [
            clients.Execution(name, f"b2-{n}", "b2", at) for n, at in enumerate((96.5, 99.5))
        ]

    return break_it


def _phantom_race(story: histories.History) -> None:
    story.puts.append(_put(0, 99.0, body=_doc("x"), status=412, match=2))


def _connection_broke(story: histories.History) -> None:
    story.requests.append(_ask("b", status=0, error="ConnectionResetError"))


def _all_excused(story: histories.History) -> None:
    story.gone.append(histories.Span("p", 99.0, 103.0))
    story.requests += [_ask(f"g{n}", status=0, error="ConnectionResetError") for n in range(3)]


def _leak(story: histories.History) -> None:
    story.leaks.append("3 exchanges are still counted")


def _other_reply(story: histories.History) -> None:
    story.requests[0].mismatch = "someone else's"


def _other_owner(story: histories.History) -> None:
    story.arrivals.append((100.04, "a", "pages-0"))


def _after_leaving(story: histories.History) -> None:
    story.arrivals.append((92.5, "a", "exports-1"))


def _while_paused(story: histories.History) -> None:
    story.paused.append(histories.Span("exports-0", 95.0, 110.0))


def _late_layout(story: histories.History) -> None:
    story.samples.insert(1, _sample(97.3, 1))


def _layout_back(story: histories.History) -> None:
    # Back for less than a quarter of a second, over a restart.
    story.samples.append(_sample(98.1, 1, boot=3))


def _stale_read(story: histories.History) -> None:
    story.reads.append(observations.LayoutRead(97.0, 97.1, 200, 1, _doc("b1")))


def _none_read(story: histories.History) -> None:
    story.reads.append(observations.LayoutRead(97.0, 97.1, 404))


def _lost_layout(story: histories.History) -> None:
    story.puts.append(_put(2, 99.0, body=_doc("other")))


def _refused_stands(story: histories.History) -> None:
    story.puts.append(_put(0, 99.0, body=_doc("never"), status=412))
    story.reads.append(observations.LayoutRead(99.5, 99.6, 200, 3, _doc("never")))


def _broken_taken(story: histories.History) -> None:
    story.puts.append(_put(3, 99.0))
    story.broken_bodies.add(_doc("b3"))


def _good_refused(story: histories.History) -> None:
    story.puts.append(_put(0, 99.0, body=_doc("good"), status=422))


def _many_extra(story: histories.History) -> None:
    story.arrivals += [(100.0 + n / 100, "a", "exports-0") for n in range(62)]


def _dropped(story: histories.History) -> None:
    story.requests.append(_ask("b", status=0, error="ConnectionResetError"))
    story.stops.append(histories.Span("p", 99.0, 103.0))


def _turned_away(story: histories.History) -> None:
    story.requests += [_ask(f"t{n}", status=503, result=103) for n in range(6)]


def _not_recovered(story: histories.History) -> None:
    story.requests.append(_ask("late", started_at=110.5, ended_at=110.6, status=502, result=108))


def _too_late(story: histories.History) -> None:
    story.requests[0].ended_at = 111.0


def _crash(story: histories.History) -> None:
    story.crashes.append("core0: ValueError")


def _two_confirmed(story: histories.History) -> None:
    # Two operators, and the same number told to both.
    story.puts.append(_put(2, 96.5, body=_doc("b3")))


def _another_body_read(story: histories.History) -> None:
    story.reads.append(observations.LayoutRead(97.0, 97.1, 200, 2, _doc("b1")))


def _refused_when_sent_again(story: histories.History) -> None:
    story.puts += [_put(3, 96.0, match=2), _put(0, 97.0, body=_doc("b3"), match=2, status=412)]


def _lost_then_refused(story: histories.History) -> None:
    # The first answer was lost, and a read shows that the order was taken.
    story.puts += [_put(0, 96.0, body=_doc("b3"), match=2, status=0)]
    story.reads.append(observations.LayoutRead(96.2, 96.3, 200, 3, _doc("b3")))
    story.puts += [_put(0, 97.0, body=_doc("b3"), match=2, status=409)]


def _refused_unheard(story: histories.History) -> None:
    # Nobody heard how the second arrival was answered; it was refused all the same.
    story.puts += [_put(3, 96.0, match=2)]
    story.puts += [_put(0, 97.0, body=_doc("b3"), match=2, status=0, lost_status=412)]


def _lags_at_the_end(story: histories.History) -> None:
    story.read_back = [observations.LayoutRead(119.0, 119.1, 200, 1, _doc("b1"))]


def _silent_at_the_end(story: histories.History) -> None:
    story.read_back = [observations.LayoutRead(119.0, 119.1, 503)]


def _goes_on(writing: bool) -> typing.Callable[[histories.History], None]:
    """A request that reaches an endpoint, and is worked on, after its caller left."""

    def change(story: histories.History) -> None:
        ask = clients.Request("left", "exports", writing, 100.0, "p", 100.1, left_at=100.1)
        story.requests.append(ask)
        story.arrivals += [(100.05, "left", "exports-0"), (100.7, "left", "exports-0")]
        story.executions["left"] = [clients.Execution("left", "exports-0", "exports", 100.7)]

    return change


def _many_endpoints(story: histories.History) -> None:
    story.requests.append(clients.Request("many", "pages", False, 100.0, "p", 100.1, status=200))
    story.execution_starts["many"] = [_run("many", f"pages-{n}", "pages") for n in range(4)]


def _time_added(story: histories.History) -> None:
    story.time_budgets = [observations.TimeBudget(100.0, "a", story.expiry_s + 0.6, False)]


def _time_begun_anew(story: histories.History) -> None:
    """A second attempt with all of the time again."""
    story.time_budgets = [observations.TimeBudget(at, "a", story.expiry_s, True) for at in (100.0, 100.6)]


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
    assert histories.judge(sound()) == {}


def test_a_request_may_run_again_where_the_layout_lets_it() -> None:
    story = sound()
    _runs_again({"max_tries": 2})(story)
    assert histories.judge(story) == {}


def test_a_refusal_by_status_alone_is_none_to_callers_who_do_not_ask_anew() -> None:
    story = sound()
    story.requests[0].status = 503
    assert histories.judge(story) == {}
    # And no check holds a read that failed against what it did before.
    story.requests[0].writing, story.requests[0].trusts_refusal = False, True
    assert histories.judge(story) == {}


def test_an_order_sent_again_may_be_told_its_own_version() -> None:
    story = sound()
    # Taken as version 3 without an answer, passed by version 4, and then sent again.
    story.puts += [_put(0, 96.0, body=_doc("b3"), match=2, status=0), _put(4, 96.6, match=3)]
    story.puts += [_put(3, 97.0, match=2)]
    story.samples = [_sample(at, version) for at, version in ((96.5, 2), (98.5, 4), (99.5, 4))]
    assert histories.judge(story) == {}
    # The same version told to a read would be one that goes back.
    story.reads.append(observations.LayoutRead(97.5, 97.6, 200, 3, _doc("b3")))
    assert set(histories.judge(story)) == {"register_holds"}


def test_an_order_that_lost_its_race_may_be_refused_again() -> None:
    story = sound()
    story.puts += [_put(0, at, body=_doc("b0"), match=1, status=412) for at in (96.0, 97.0)]
    assert histories.judge(story) == {}


def test_every_check_is_broken_by_some_history() -> None:
    assert set(BREAKS) == set(histories.CHECKS)


@pytest.mark.parametrize(
    ("name", "wreck"), [(name, wreck) for name, wrecks in BREAKS.items() for wreck in wrecks]
)
def test_a_broken_history_is_found_out(name: str, wreck: typing.Callable[[histories.History], None]) -> None:
    story = sound()
    wreck(story)
    assert name in histories.judge(story)
