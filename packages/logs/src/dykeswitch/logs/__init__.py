"""Structured logs: one JSON object per line, on standard error."""

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
    """Writes events with fields."""

    def __init__(self, program: str, name: str, level: str, clock: ports.Clock) -> None:
        self._common_fields = {"program": program, "name": name}
        self._clock = clock
        self._level = LEVELS[level]
        # If set, receives the events instead of standard error; the simulator records them this way.
        self.hook: typing.Callable[[dict[str, typing.Any]], None] | None = None
        # Outside the hierarchy of `logging`, whose root logger passes its records to this log (see `bridge`).
        self._out = logging.Logger(f"{program}.{name}", self._level)
        handler = logging.StreamHandler()
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._out.addHandler(handler)

    def _write(self, level: str, event: str, fields: dict[str, typing.Any]) -> None:
        if LEVELS[level] < self._level:
            return
        line = {
            "time": round(self._clock.wall(), 3),
            "level": level,
            **self._common_fields,
            "event": event,
            **fields,
        }
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
        """Redirect records that libraries write with the standard `logging` module to this log."""
        root = logging.getLogger()
        root.handlers = [_Bridge(self)]
        root.setLevel(logging.WARNING)

    def note(self, event: str, what: str) -> None:
        """Log an event at level warning; a callback for packages that don't depend on this one."""
        self._write("warning", event, {"what": what})


class _Bridge(logging.Handler):
    """Passes records of the standard `logging` module to a `Log`."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, typing.Any] = {"of": record.name, "what": record.getMessage()[:500]}
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            fields["flaw"] = f"{type(error).__name__}: {error}"[:300]
        (self._log.error if record.levelno >= logging.ERROR else self._log.warning)("library", **fields)
