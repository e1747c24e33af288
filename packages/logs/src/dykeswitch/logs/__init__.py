"""Logs: one JSON object a line, on standard error."""

import json
import logging
import typing

import dykeswitch.ports as ports

LEVELS: typing.Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Log:
    """Writes events with their fields."""

    def __init__(self, program: str, name: str, level: str, clock: ports.Clock) -> None:
        self._head = {"program": program, "name": name}
        self._clock = clock
        self._level = LEVELS[level]
        # A simulator that keeps its own record wants the events themselves.
        self.hook: typing.Callable[[dict[str, typing.Any]], None] | None = None
        # Not one of the library's tree: what libraries log there comes back to us by the bridge.
        self._out = logging.Logger(f"{program}.{name}", self._level)
        handler = logging.StreamHandler()
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._out.addHandler(handler)

    def _write(self, level: str, event: str, fields: dict[str, typing.Any]) -> None:
        if LEVELS[level] < self._level:
            return
        line = {"time": round(self._clock.wall(), 3), "level": level, **self._head, "event": event, **fields}
        if self.hook is not None:
            self.hook(line)
            return
        self._out.log(LEVELS[level], json.dumps(line, default=str))

    def debug(self, event: str, **fields: typing.Any) -> None:
        """Log an event at level debug."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: typing.Any) -> None:
        """Log an event at level info."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Log an event at level warning."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: typing.Any) -> None:
        """Log an event at level error."""
        self._write("error", event, fields)

    def bridge(self) -> None:
        """What libraries log by the standard way becomes lines of ours."""
        root = logging.getLogger()
        root.handlers = [_Bridge(self)]
        root.setLevel(logging.WARNING)

    def note(self, event: str, what: str) -> None:
        """For parts that know nothing of levels."""
        self._write("warning", event, {"what": what})


class _Bridge(logging.Handler):
    """Hands records of the standard library's logging on."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, typing.Any] = {"of": record.name, "what": record.getMessage()[:500]}
        if record.exc_info and record.exc_info[1] is not None:
            flaw = record.exc_info[1]
            fields["flaw"] = f"{type(flaw).__name__}: {flaw}"[:300]
        (self._log.error if record.levelno >= logging.ERROR else self._log.warning)("library", **fields)
