"""The operators' language: which sentences it accepts, and how it reports errors."""

import pytest
import syrupy.assertion

import dykeswitch.language as language
import dykeswitch.outcome as outcome

ACCEPTED = [
    "who is paused",
    "who is paused service pages zone z1",
    "show endpoints endpoint pages-0",
    "show history service exports",
    "SHOW duties",
    "show loans service pages",
    "explain GET /pages/x",
    "explain POST shop.example /exports",
    "explain exchange proxy0-1a2b3c4d-7",
    'pause pages-0 for 10m because "new disk"',
    'pause exports-3 for 2h in 30m because "move"',
    "end pause p1a2b",
]
REJECTED = [
    "",
    "who is",
    "show elephants",
    "pause pages-0 for soon",
    "pause pages-0 for 10m",
    "explain FETCH /x",
    "end pause",
    "show endpoints service",
]


@pytest.mark.parametrize("text", ACCEPTED)
def test_a_sentence_is_understood(text: str, snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    result = language.parse(text)
    assert isinstance(result, outcome.Success), result
    assert repr(result.value) == snapshot


@pytest.mark.parametrize("text", REJECTED)
def test_a_wrong_sentence_gets_the_place_and_what_was_expected(
    text: str, snapshot: syrupy.assertion.SnapshotAssertion
) -> None:
    result = language.parse(text)
    assert isinstance(result, outcome.Failure)
    assert result.code.tag == "bad_query"
    assert result.detail == snapshot
