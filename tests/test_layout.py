"""Layouts: large ones are read cooperatively, and malformed ones are rejected."""

import asyncio
import json
import random
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.timeline as timelines


def _large(rules: int) -> bytes:
    doc = {"services": {"a": {}}, "rules": [{"path": f"/r/{n}", "service": "a"} for n in range(rules)]}
    return json.dumps(doc).encode()


@pytest.mark.parametrize("cooperatively", [True, False])
def test_others_have_their_turn_while_a_large_layout_is_read(cooperatively: bool) -> None:
    turns = 0

    async def other() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def main() -> None:
        task = asyncio.create_task(other())
        await asyncio.sleep(0)
        data = _large(20_000)
        result = await layouts.read_cooperatively(data) if cooperatively else layouts.read(data)
        task.cancel()
        assert isinstance(result, outcome.Success)
        assert len(result.value.rules) == 20_000
        # Another task runs once per step of rules, and not at all while the whole is read at once.
        assert (turns > 20_000 / layouts.RULES_PER_STEP) is cooperatively

    asyncio.run(main())


def test_a_small_newer_layout_is_not_undone_by_a_large_older_one() -> None:
    """The larger layout is still being read when the smaller one arrives."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loops.VirtualLoop)
        timeline = timelines.Timeline("p", worlds.SimClock(loop), 900.0)
        applied: list[int] = []

        async def reads(name: str, version: int, data: bytes) -> documents.Apply | None:
            await asyncio.sleep(float(data))
            return lambda: applied.append(version)

        call_client = frames.CallClient(typing.cast(typing.Any, None))
        member_documents = documents.Documents(timeline, call_client, 1.0, reads)
        done = await asyncio.gather(
            member_documents.apply(documents.LAYOUT, 3, b"0.1"),
            member_documents.apply(documents.LAYOUT, 2, b"5"),
            member_documents.apply(documents.LAYOUT, 4, b"1"),
            member_documents.apply(documents.LAYOUT, 4, b"1"),
        )
        assert list(done) == [True, False, True, False]
        assert applied == [3, 4]
        assert member_documents.version(documents.LAYOUT) == 4

    loops.run(main())


def _split(**more: object) -> dict[str, object]:
    parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}, {"service": "c", "weight": 0}]
    rule = {"path": "/x/", "split": parts, **more}
    return {"services": {"a": {}, "b": {}, "c": {}}, "rules": [rule]}


def test_a_rule_split_over_services_is_drawn_by_weight() -> None:
    result = layouts.check(_split())
    assert isinstance(result, outcome.Success)
    [rule] = result.value.rules
    assert rule.services() == ("a", "b")
    rng = random.Random(1)
    drawn = [rule.draw(rng) for _ in range(2000)]
    assert set(drawn) == {"a", "b"} and 130 < drawn.count("b") < 270


@pytest.mark.parametrize(
    ("more", "fault"),
    [
        ({"service": "a"}, "rules[0].split"),
        ({"split": []}, "rules[0].split"),
        ({"split": [{"service": "nobody", "weight": 1}]}, "rules[0].split"),
        ({"split": [{"service": "a", "weight": -1}]}, "rules[0].split[0].weight"),
        ({"split": [{"service": "a", "weight": True}]}, "rules[0].split[0].weight"),
        ({"rank": -1}, "rules[0].rank"),
        ({"aim_s": 0}, "rules[0].aim_s"),
    ],
)
def test_faults_of_a_split_rule(more: dict[str, object], fault: str) -> None:
    result = layouts.check(_split(**more))
    assert isinstance(result, outcome.Failure)
    assert any(text.startswith(fault) for text in result.faults), result.faults


def test_two_rules_for_the_same_requests_are_a_fault_unless_the_first_is_to_have_them() -> None:
    rules = [{"path": "/", "service": "a"}, {"path": "/", "service": "b"}]
    doc = {"services": {"a": {}, "b": {}}, "rules": rules}
    assert isinstance(layouts.check(doc), outcome.Failure)
    result = layouts.check({**doc, "doubles": "first"})
    assert isinstance(result, outcome.Success)
    assert [rule.service for rule in result.value.rules] == ["a"]
