"""A read's failure that is too long to be held reaches its caller whole, or not at all."""

import asyncio
import typing

import pytest
import scripted
import test_between_attempts as between

import dykeswitch.proxy.answering as answering

# Over the 1 MiB that is held of an answer before it is passed on.
BODY: typing.Final = "a long failure. " * 98_304
HEAD: typing.Final = (
    f"HTTP/1.1 500 Broken\r\nDykeswitch-Exchange: {{id}}\r\nContent-Length: {len(BODY)}\r\n\r\n"
)
LONG: typing.Final = [HEAD + BODY[:100_000], BODY[100_000:1_200_000], BODY[1_200_000:]]


def _failing(count: int) -> list[scripted.ScriptedEndpoint]:
    return [scripted.ScriptedEndpoint(list(LONG)) for _ in range(count)]


@pytest.mark.parametrize("why", ["no other endpoint", "no coins", "stopping", "its rule is gone"])
def test_a_long_failure_is_passed_on_whole_where_no_attempt_can_follow(why: str) -> None:
    """A read's 500 of 1.5 MiB reached its caller cut, complete by its length (review, beyond the five)."""

    async def work() -> None:
        endpoints = _failing(1 if why == "no other endpoint" else 2)
        stage = scripted.Stage(*endpoints)
        stage.carrier.closing = why == "stopping"
        if why == "its rule is gone":
            stage.apply_in(between.AMID_THE_FIRST_S, between.GONE["its route is removed"])
        answer = await stage.ask(coins=0 if why == "no coins" else 50)
        assert (answer.status, len(answer.body)) == (500, len(BODY))
        assert answer.body == BODY.encode()
        assert dict(answer.headers)[b"content-length"] == str(len(BODY)).encode()
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1

    scripted.play(work)


def test_the_last_of_several_long_failures_is_passed_on_whole() -> None:
    """Each endpoint was asked once, and the last one's answer was cut."""

    async def work() -> None:
        endpoints = _failing(2)
        answer = await scripted.Stage(*endpoints).ask()
        assert (answer.status, answer.body) == (500, BODY.encode())
        assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1]

    scripted.play(work)


def test_a_long_failure_gives_way_to_an_endpoint_that_serves() -> None:
    """It costs the read no further try."""

    async def work() -> None:
        endpoints = between.in_turn(list(LONG), count=2)
        answer = await scripted.Stage(*endpoints).ask()
        assert (answer.status, answer.body) == (200, b"whole")

    scripted.play(work)


def test_a_long_failure_that_gave_way_in_vain_is_no_answer() -> None:
    """Its connection was closed for another try that reached nobody; the part held was sent as if whole."""

    async def work() -> None:
        endpoints = _failing(3)
        stage = scripted.Stage(*endpoints)

        def become_unreachable() -> None:
            for endpoint in endpoints:
                endpoint.unreachable = True

        asyncio.get_running_loop().call_later(between.AMID_THE_FIRST_S, become_unreachable)
        answer = await stage.ask()
        assert answer.status == 502
        assert any(key == b"dykeswitch-result" for key, _ in answer.headers)

    scripted.play(work)


def test_a_long_failure_that_is_cut_breaks_its_callers_connection() -> None:
    """The only honest sign of a cut answer whose head has been sent."""

    async def work() -> None:
        endpoint = scripted.ScriptedEndpoint([*LONG[:2], scripted.RESET])
        with pytest.raises(answering.BrokenReplyError):
            await scripted.Stage(endpoint).ask()

    scripted.play(work)
