"""The list of tests that are known to fail: its format and limit, and that its tests exist."""

import re

import conftest
import pytest


def test_a_line_names_a_test_its_cause_and_its_issue() -> None:
    text = "tests/test_a.py::test_b | a cause | issue 1\n\ntests/test_a.py::test_c[x] | another | issue 2\n"
    assert conftest.known_red(text) == {
        "tests/test_a.py::test_b": "a cause (issue 1)",
        "tests/test_a.py::test_c[x]": "another (issue 2)",
    }


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_b",
        "tests/test_a.py::test_b | a cause",
        "tests/test_a.py::test_b | | issue 1",
        "".join(
            f"tests/test_a.py::test_{n} | a cause | issue 1\n" for n in range(conftest.MAX_KNOWN_RED + 1)
        ),
    ],
    ids=["no cause", "no issue", "an empty cause", "too many"],
)
def test_a_list_that_excuses_too_much_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=re.escape("KNOWN-RED.txt")):
        conftest.known_red(text)


def test_every_listed_test_is_there() -> None:
    """An entry for a test that has been renamed would have no effect, and nobody would notice."""
    root = conftest.KNOWN_RED_FILE.parent
    for name in conftest._listed():
        path, _, test = name.partition("::")
        assert f"def {test.partition('[')[0]}(" in (root / path).read_text(), name
