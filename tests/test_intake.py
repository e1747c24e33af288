"""Limits for clients' requests: the layout's limits apply, and all bodies together fit in memory."""

import asyncio
import random
import typing

import dykeswitch.adapter as adapters
import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.intake as intakes
import dykeswitch.settings as settings

SCOPE: typing.Final = {"type": "http", "method": "POST", "path": "/", "headers": []}
CONFIG: typing.Final = settings.Settings(name="p", zone="z", body_most=100, bodies_most=1000)


def _intake(**limits: int) -> intakes.Intake:
    doc = {"services": {"s": {}}, "rules": [{"path": "/", "service": "s"}], "bounds": limits}
    checked = layouts.check(doc)
    assert isinstance(checked, outcome.Success)
    return intakes.Intake(
        CONFIG, real.RealClock(), random.Random(1), adapters.DefaultAdapter(), lambda: checked.value
    )


async def _send(message: ports.Message) -> None:
    return None


def _receiver(body: bytes, complete: bool = True) -> ports.Receive:
    """Return a body in parts of ten bytes; if it is not complete, the last read waits."""
    parts = [body[n : n + 10] for n in range(0, len(body), 10)]

    async def receive() -> ports.Message:
        if not parts:
            await asyncio.sleep(1e6)
        part = parts.pop(0)
        return {"type": "http.request", "body": part, "more_body": bool(parts) or not complete}

    return receive


async def _read(intake: intakes.Intake, size: int) -> tuple[exchanges.Exchange, str]:
    """Read a body; return the exchange and the tag of the failure, or an empty one."""
    exchange = intake.new_exchange(dict(SCOPE), _send)
    failure = await intake.read(exchange, _receiver(b"x" * size))
    return exchange, failure.code.tag if failure is not None else ""


def test_a_body_may_be_as_large_as_the_layout_says_and_the_settings_hold_where_it_says_nothing() -> None:
    async def main() -> None:
        for limits, size, tag in [
            ({"body_most": 500}, 500, ""),
            ({"body_most": 500}, 501, "body_too_big"),
            ({"body_most": 50}, 51, "body_too_big"),
            ({}, 100, ""),
            ({}, 101, "body_too_big"),
        ]:
            assert (await _read(_intake(**limits), size))[1] == tag, (limits, size)

    asyncio.run(main())


def test_bodies_beyond_what_all_may_hold_are_told_to_come_again_and_not_that_they_are_too_large() -> None:
    async def main() -> None:
        intake = _intake(body_most=2000)
        # A single body is accepted, however large.
        only, tag = await _read(intake, 2000)
        assert tag == ""
        second, tag = await _read(intake, 10)
        assert (tag, second.retry_after) == ("too_busy", intakes.BUSY_RETRY_S)
        # Neither a refused nor an accepted request counts any more once it is finished.
        intake.release(second)
        intake.release(only)
        intake.release(only)
        assert (await _read(intake, 10))[1] == ""

    asyncio.run(main())


def test_heads_and_times_are_the_layouts_where_it_says_them() -> None:
    limits = _intake(head_most=50_000, head_s=3, idle_s=15).connection_limits()
    assert limits == ports.ConnectionLimits(50_000, 3, 15)
    usual = _intake().connection_limits()
    assert usual == ports.DEFAULT_LIMITS
