"""A failure response to a read that is too long to buffer reaches the client complete, or not at all."""

import asyncio
import typing

import pytest
import scripted
import test_between_attempts as between

import dykeswitch.proxy.answering as answering

# Longer than the 1 MiB of a response that is buffered before it is passed on.
BODY: typing.Final = "a long failure. " * 98_304
HEAD: typing.Final = (
    f"HTTP/1.1 500 Broken\r\nDykeswitch-Exchange: {{id}}\r\nContent-Length: {len(BODY)}\r\n\r\n"
)
LONG: typing.Final = [HEAD + BODY[:100_000], BODY[100_000:1_200_000], BODY[1_200_000:]]


def _failing(count: int) -> list[scripted.ScriptedEndpoint]:
    return [scripted.ScriptedEndpoint(list(LONG)) for _ in range(count)]


@pytest.mark.parametrize("why", ["no other endpoint", "no coins", "stopping", "its rule is gone"])
def test_a_long_failure_is_passed_on_whole_where_no_attempt_can_follow(why: str) -> None:
    """A 500 of 1.5 MiB reached the client truncated, with a matching length (review, beyond the five)."""

    async def work() -> None:
        endpoints = _failing(1 if why == "no other endpoint" else 2)
        stage = scripted.Stage(*endpoints)
        stage.carrier.closing = why == "stopping"
        if why == "its rule is gone":
            stage.apply_after(between.DURING_FIRST_ATTEMPT_S, between.WITHOUT_RULE["its route is removed"])
        response = await stage.send_request(retry_tokens=0 if why == "no coins" else 50)
        assert (response.status, len(response.body)) == (500, len(BODY))
        assert response.body == BODY.encode()
        assert dict(response.headers)[b"content-length"] == str(len(BODY)).encode()
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1

    scripted.run(work)


def test_the_last_of_several_long_failures_is_passed_on_whole() -> None:
    """Each endpoint was sent the request once, and the last response was truncated."""

    async def work() -> None:
        endpoints = _failing(2)
        response = await scripted.Stage(*endpoints).send_request()
        assert (response.status, response.body) == (500, BODY.encode())
        assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1]

    scripted.run(work)


def test_a_long_failure_gives_way_to_an_endpoint_that_serves() -> None:
    """The read is answered by the next attempt."""

    async def work() -> None:
        endpoints = between.sharing_script(list(LONG), count=2)
        response = await scripted.Stage(*endpoints).send_request()
        assert (response.status, response.body) == (200, b"whole")

    scripted.run(work)


def test_a_long_failure_that_gave_way_in_vain_is_no_answer() -> None:
    """It was aborted for an attempt that reached no endpoint; the buffered part was sent as if complete."""

    async def work() -> None:
        endpoints = _failing(3)
        stage = scripted.Stage(*endpoints)

        def become_unreachable() -> None:
            for endpoint in endpoints:
                endpoint.unreachable = True

        asyncio.get_running_loop().call_later(between.DURING_FIRST_ATTEMPT_S, become_unreachable)
        response = await stage.send_request()
        assert response.status == 502
        assert any(key == b"dykeswitch-result" for key, _ in response.headers)

    scripted.run(work)


def test_a_long_failure_that_is_cut_breaks_its_callers_connection() -> None:
    """Closing the connection is the only way to signal truncation once the head has been sent."""

    async def work() -> None:
        endpoint = scripted.ScriptedEndpoint([*LONG[:2], scripted.RESET])
        with pytest.raises(answering.BrokenResponseError):
            await scripted.Stage(endpoint).send_request()

    scripted.run(work)
