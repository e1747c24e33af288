"""One of our programs under a sampler: on whose account its processor time goes.

A signal comes after each so many microseconds of processor time; the innermost frame that
belongs to a named part gets the sample. Nothing is timed twice, and what is not sampled runs
as it always does. The parts are written to a file at the end.
"""

import argparse
import collections
import json
import pathlib
import signal
import sys
import types
import typing

import dykeswitch.cli.daemons as daemons
import dykeswitch.settings as settings

EVERY_S: typing.Final = 0.002

# Part by a piece of the path of a frame's file; the first that fits has it.
PARTS: typing.Final = (
    ("/dykeswitch/logs/", "log line"),
    ("/dykeswitch/proxy/selection", "selection"),
    ("/dykeswitch/proxy/budget", "selection"),
    ("/dykeswitch/layout/", "matching rules"),
    ("/dykeswitch/proxy/carrier", "passes over an exchange"),
    ("/dykeswitch/proxy/exchange", "passes over an exchange"),
    ("/dykeswitch/proxy/program", "intake and readiness"),
    ("/dykeswitch/timeline/", "control: timeline"),
    ("/dykeswitch/membership/", "control: membership"),
    ("/dykeswitch/frames/", "control: frames"),
    ("/cbor2/", "control: frames"),
    ("/httpcore/", "HTTP towards endpoints"),
    ("/dykeswitch/soundness/", "HTTP towards endpoints"),
    ("/uvicorn/", "HTTP towards callers"),
    ("/litestar/", "web framework"),
)


class Sampler:
    """Counts samples by part."""

    def __init__(self) -> None:
        self.parts: collections.Counter[str] = collections.Counter()
        self.lines: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start sampling; a user signal starts the counts anew."""
        signal.signal(signal.SIGPROF, self._hit)
        signal.signal(signal.SIGUSR1, self._clear)
        signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)

    def stop(self) -> None:
        """Stop sampling."""
        signal.setitimer(signal.ITIMER_PROF, 0)

    def _clear(self, sign: int, frame: types.FrameType | None) -> None:
        self.parts.clear()
        self.lines.clear()

    def _hit(self, sign: int, frame: types.FrameType | None) -> None:
        if frame is not None:
            code = frame.f_code
            name = code.co_filename.rpartition("/site-packages/")[2].rpartition("/src/")[2]
            self.lines[f"{name.rpartition('/lib/python3')[2]}:{code.co_name}"] += 1
        while frame is not None:
            path = frame.f_code.co_filename
            for piece, part in PARTS:
                if piece in path:
                    self.parts[part] += 1
                    return
            frame = frame.f_back
        self.parts["event loop and sockets"] += 1


def main() -> int:
    """`python -m dykeswitch.scale.profiler OUTPUT PROGRAM --flag ...`."""
    output, program, *flags = sys.argv[1:]
    parser = argparse.ArgumentParser()
    settings.add_flags(parser)
    spoken = parser.parse_args(flags)
    sampler = Sampler()
    sampler.start()
    try:
        return daemons.run(program, spoken)
    finally:
        sampler.stop()
        page = {"parts": dict(sampler.parts), "lines": dict(sampler.lines.most_common(40))}
        pathlib.Path(output).write_text(json.dumps(page))


if __name__ == "__main__":
    sys.exit(main())
