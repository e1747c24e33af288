"""Requests whose rule changes while an attempt is in progress.

The current rule decides about the next attempt; the results of the earlier attempts decide the response.
"""

import typing

import pytest
import scripted

SERVICE: typing.Final = {"probe": "/healthz", "expiry_s": 5, "max_tries": 3}
# During the first attempt: each part of a scripted response takes 0.05 s.
DURING_FIRST_ATTEMPT_S: typing.Final = 0.02


def _layout(*rules: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {"services": {"s": SERVICE, "t": SERVICE}, "rules": list(rules)}


WITHOUT_RULE: typing.Final = {
    "its route is removed": _layout({"path": "/other", "service": "s"}),
    "its route takes another method": _layout({"path": "/", "service": "s", "methods": ["POST"]}),
    "its split has no weight left": _layout(
        {"path": "/", "split": [{"service": "s", "weight": 0}, {"service": "t", "weight": 0}]}
    ),
}
WHOLE: typing.Final = scripted.WHOLE
FAILED_ATTEMPTS: typing.Final = {
    "a reset before the answer": [scripted.RESET],
    "an end after the head": [WHOLE[:-5]],
    "a reset within the body": [WHOLE[:-2], scripted.RESET],
    "silence": [scripted.SILENT],
    "silence after the head": [WHOLE[:-5], scripted.SILENT],
    "silence within the body": [WHOLE[:-2], scripted.SILENT],
    "an answer to another exchange": [WHOLE.replace("{id}", "strange")],
    "an answer without a length": [WHOLE.replace("Content-Length: 5\r\n", "")],
}
BUSY: typing.Final = (
    "HTTP/1.1 503 Busy\r\nDykeswitch-Exchange: {id}\r\nDykeswitch-Promise: not-run\r\n"
    "Content-Length: 4\r\n\r\nbusy"
)
FAILURE: typing.Final = "HTTP/1.1 500 Broken\r\nDykeswitch-Exchange: {id}\r\nContent-Length: 6\r\n\r\nbroken"


def _sent_count(endpoints: typing.Iterable[scripted.ScriptedEndpoint]) -> int:
    return sum(len(endpoint.requests) for endpoint in endpoints)


def sharing_script(*script: list[str], count: int = 3) -> list[scripted.ScriptedEndpoint]:
    """Create endpoints that share one script, whichever is selected first."""
    endpoints = [scripted.ScriptedEndpoint() for _ in range(count)]
    shared = list(script)
    for endpoint in endpoints:
        endpoint.script = shared
    return endpoints


@pytest.mark.parametrize("layout", WITHOUT_RULE.values(), ids=WITHOUT_RULE)
@pytest.mark.parametrize("script", FAILED_ATTEMPTS.values(), ids=FAILED_ATTEMPTS)
def test_the_head_of_a_failed_attempt_is_no_answer_once_its_rule_is_gone(
    script: list[str], layout: dict[str, typing.Any]
) -> None:
    """A read whose route was removed during the attempt got a 200 without a body (review, case 1)."""

    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint(list(script)) for _ in range(2)]
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, layout)
        response = await stage.send_request()
        assert response.status == (504 if scripted.SILENT in script else 502)
        assert any(key == b"dykeswitch-result" for key, _ in response.headers)
        # The request may still be running, so the client gets no Retry-After.
        assert not any(key == b"retry-after" for key, _ in response.headers)
        assert _sent_count(endpoints) == 1
        assert stage.carrier.counts["rules_gone_between_attempts"] == 1

    scripted.run(work)


def test_a_refusal_by_promise_does_not_hide_an_earlier_attempt_whose_end_is_unknown() -> None:
    """A read that was cut off and then refused got the last endpoint's promise that nothing ran."""

    async def work() -> None:
        endpoints = sharing_script([WHOLE[:-2], scripted.RESET], [BUSY])
        stage = scripted.Stage(*endpoints)
        # The first attempt has two parts of 0.05 s, the second one.
        stage.apply_after(0.12, WITHOUT_RULE["its route is removed"])
        response = await stage.send_request()
        assert (response.status, _sent_count(endpoints)) == (502, 2)

    scripted.run(work)


def test_a_whole_failure_is_the_answer_though_its_rule_is_gone() -> None:
    """The endpoint ran the request while its route existed, and its response is complete."""

    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint([FAILURE]) for _ in range(2)]
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, WITHOUT_RULE["its route is removed"])
        response = await stage.send_request()
        assert (response.status, response.body, _sent_count(endpoints)) == (500, b"broken", 1)

    scripted.run(work)


def test_a_request_that_nobody_ran_is_told_that_its_rule_is_gone() -> None:
    """All attempts were refused with the promise that nothing ran, so the layout decides the response."""

    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint([BUSY]) for _ in range(2)]
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, WITHOUT_RULE["its route is removed"])
        response = await stage.send_request()
        assert (response.status, _sent_count(endpoints)) == (404, 1)

    scripted.run(work)


NO_FURTHER_ATTEMPT: typing.Final = WITHOUT_RULE | {
    "its route writes now": _layout({"path": "/", "service": "s", "writing": True}),
    "its route has one try now": _layout({"path": "/", "service": "s", "max_tries": 1}),
    "its route leads to a service without endpoints": _layout({"path": "/", "service": "t"}),
}


@pytest.mark.parametrize("layout", NO_FURTHER_ATTEMPT.values(), ids=NO_FURTHER_ATTEMPT)
def test_an_attempt_goes_on_to_its_end_where_the_newest_rule_lets_none_follow(
    layout: dict[str, typing.Any],
) -> None:
    """A slow read was aborted for another attempt that its changed route did not allow, and got a 504."""

    async def work() -> None:
        endpoints = [scripted.ScriptedEndpoint() for _ in range(2)]
        for endpoint in endpoints:
            # Longer than a third of 5 s, after which it would give way to the next of three attempts.
            endpoint.work_s = 2.5
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, layout)
        response = await stage.send_request()
        assert (response.status, response.body, _sent_count(endpoints)) == (200, b"whole", 1)

    scripted.run(work)


FURTHER_ATTEMPT_ALLOWED: typing.Final = {
    "its route leads there by another rule": _layout({"path": "/thing", "service": "s"}),
    "its route is split now": _layout(
        {"path": "/", "split": [{"service": "s", "weight": 1}, {"service": "t", "weight": 9}]}
    ),
}


@pytest.mark.parametrize("layout", FURTHER_ATTEMPT_ALLOWED.values(), ids=FURTHER_ATTEMPT_ALLOWED)
def test_an_attempt_still_gives_way_where_the_newest_rule_lets_another_follow(
    layout: dict[str, typing.Any],
) -> None:
    """Counterpart of the test above: a change that still allows the request costs it no attempt."""

    async def work() -> None:
        endpoints = sharing_script([scripted.SILENT], count=2)
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, layout)
        response = await stage.send_request()
        assert (response.status, response.body, _sent_count(endpoints)) == (200, b"whole", 2)

    scripted.run(work)


WRITES_NOW: typing.Final = NO_FURTHER_ATTEMPT["its route writes now"]
ONE_TRY_NOW: typing.Final = NO_FURTHER_ATTEMPT["its route has one try now"]
MAY_HAVE_RUN: typing.Final = {
    name: FAILED_ATTEMPTS[name] for name in FAILED_ATTEMPTS if "silence" not in name
} | {
    "a failure without a promise": [FAILURE],
    "a 503 without a promise": [FAILURE.replace("500 Broken", "503 Broken")],
}


@pytest.mark.parametrize("connect_s", [0.0, 0.2], ids=["while it is at work", "while the next one connects"])
@pytest.mark.parametrize("script", MAY_HAVE_RUN.values(), ids=MAY_HAVE_RUN)
def test_what_may_have_run_is_not_sent_again_under_a_rule_that_writes(
    script: list[str], connect_s: float
) -> None:
    """A read that may have run was sent again after a change made its route a writing one."""

    async def work() -> None:
        endpoints = sharing_script(list(script))
        for endpoint in endpoints:
            endpoint.connect_s = connect_s
        stage = scripted.Stage(*endpoints)
        # With 0.2 s to connect, the first attempt ends after 0.3 s and the next is sent after 0.4 s.
        stage.apply_after(0.35 if connect_s else DURING_FIRST_ATTEMPT_S, WRITES_NOW)
        response = await stage.send_request()
        assert _sent_count(endpoints) == 1
        # The client must not be able to take the response for "it did not run: send it again".
        assert response.status in (500, 502)
        assert not any(key == b"retry-after" for key, _ in response.headers)

    scripted.run(work)


def test_a_later_promise_takes_nothing_back_under_a_rule_that_writes() -> None:
    """A request that one endpoint ran and another refused was reported as not run on a writing route."""

    async def work() -> None:
        endpoints = sharing_script([FAILURE], [BUSY])
        stage = scripted.Stage(*endpoints)
        # During the second attempt.
        stage.apply_after(0.07, WRITES_NOW)
        response = await stage.send_request()
        assert (response.status, _sent_count(endpoints)) == (502, 2)
        assert not any(key == b"retry-after" for key, _ in response.headers)

    scripted.run(work)


def test_what_surely_did_not_run_is_sent_again_under_a_rule_that_writes() -> None:
    """Counterpart of the test above: a promise that nothing ran is valid under any rule."""

    async def work() -> None:
        endpoints = sharing_script([BUSY])
        stage = scripted.Stage(*endpoints)
        stage.apply_after(DURING_FIRST_ATTEMPT_S, WRITES_NOW)
        response = await stage.send_request()
        assert (response.status, response.body, _sent_count(endpoints)) == (200, b"whole", 2)

    scripted.run(work)


@pytest.mark.parametrize("connect_s", [0.0, 0.2], ids=["while it is at work", "while the next one connects"])
def test_no_more_endpoints_are_tried_than_the_newest_rule_allows(connect_s: float) -> None:
    """A read was sent to a second endpoint after a change had limited it to one attempt."""

    async def work() -> None:
        endpoints = sharing_script([scripted.RESET])
        for endpoint in endpoints:
            endpoint.connect_s = connect_s
        stage = scripted.Stage(*endpoints)
        stage.apply_after(0.3 if connect_s else DURING_FIRST_ATTEMPT_S, ONE_TRY_NOW)
        response = await stage.send_request()
        assert (response.status, _sent_count(endpoints)) == (502, 1)

    scripted.run(work)
