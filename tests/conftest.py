"""Tests that are known to fail for a fault that isn't fixed yet: `KNOWN-RED.txt` at the root.

A line has a test (with or without its parameters), the cause and the issue, separated by " | ".
CI expects exactly these to fail and prints them. If one of them passes, CI fails, and its line must
be removed.
"""

import pathlib
import typing

import pytest

KNOWN_RED_FILE: typing.Final = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED: typing.Final = 3


def known_red(text: str) -> dict[str, str]:
    """Return the cause and issue of each listed test; raises `ValueError` if the list is invalid."""
    found: dict[str, str] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: expected 'test | cause | issue': {line}")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > MAX_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt: lists {len(found)} tests, but at most {MAX_KNOWN_RED} are allowed")
    return found


def _listed() -> dict[str, str]:
    return known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures, so that they must fail and all others must pass."""
    listed = _listed()
    for item in items:
        name = item.nodeid if item.nodeid in listed else item.nodeid.partition("[")[0]
        if name in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[name], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print which tests are expected to fail, and why."""
    for test, reason in _listed().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
