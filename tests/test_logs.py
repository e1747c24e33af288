"""Logs: one JSON object per line on standard error, written with the standard library."""

import json
import logging
import sys
import typing

import pytest

import dykeswitch.logs as logs


class _Clock:
    def now(self) -> float:
        return 1.0

    def wall(self) -> float:
        return 1_800_000_000.25

    async def sleep(self, duration_s: float) -> None:
        return None


def _lines(capsys: pytest.CaptureFixture[str]) -> list[dict[str, typing.Any]]:
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_an_event_is_one_line_with_its_fields(capsys: pytest.CaptureFixture[str]) -> None:
    log = logs.Log("proxy", "edge0", "info", _Clock())
    log.warning("frozen", span_s=2.5, odd={1, 2}, text='a "quoted"\nline %s')
    (line,) = _lines(capsys)
    assert line == {
        "time": 1_800_000_000.25,
        "level": "warning",
        "program": "proxy",
        "name": "edge0",
        "event": "frozen",
        "span_s": 2.5,
        "odd": "{1, 2}",
        "text": 'a "quoted"\nline %s',
    }


@pytest.mark.parametrize(("level", "kept"), [("debug", 4), ("info", 3), ("warning", 2), ("error", 1)])
def test_what_is_below_the_level_is_left_out(
    level: str, kept: int, capsys: pytest.CaptureFixture[str]
) -> None:
    log = logs.Log("store", "s", level, _Clock())
    for log_at_level in (log.debug, log.info, log.warning, log.error):
        log_at_level("event")
    assert len(_lines(capsys)) == kept


def test_what_libraries_log_becomes_lines_of_ours(capsys: pytest.CaptureFixture[str]) -> None:
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    try:
        logs.Log("registry", "core0", "info", _Clock()).bridge()
        try:
            raise ValueError("broken")
        except ValueError:
            logging.getLogger("some.library").exception("it failed: %s", "why")
        logging.getLogger("some.library").info("not told")
    finally:
        root.handlers = handlers
        root.setLevel(level)
    (line,) = _lines(capsys)
    assert (line["event"], line["of"], line["level"]) == ("library", "some.library", "error")
    assert line["what"] == "it failed: why" and line["flaw"] == "ValueError: broken"


def test_a_hook_takes_the_place_of_the_lines(capsys: pytest.CaptureFixture[str]) -> None:
    log = logs.Log("proxy", "p", "info", _Clock())
    events: list[dict[str, typing.Any]] = []
    log.hook = events.append
    log.info("started")
    assert [event["event"] for event in events] == ["started"] and not _lines(capsys)


def test_no_other_logging_library_is_brought_in() -> None:
    assert "picologging" not in sys.modules
