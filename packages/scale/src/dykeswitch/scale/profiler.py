"""Runs one of the programs under a sampling profiler, to divide its processor time into parts.

A signal arrives after each `SAMPLE_INTERVAL_S` of processor time, and the sample is counted for the
innermost frame that belongs to a named part. So no time is counted twice, and the program runs
unchanged between samples. The counts are written to a file at the end.
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

SAMPLE_INTERVAL_S: typing.Final = 0.002

# Parts by a substring of the path of a frame's file; the first match counts.
PARTS_BY_PATH: typing.Final = (
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
    """Counts samples by part and by function."""

    def __init__(self) -> None:
        self.parts: collections.Counter[str] = collections.Counter()
        self.functions: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start sampling; SIGUSR1 resets the counts."""
        signal.signal(signal.SIGPROF, self._on_sample)
        signal.signal(signal.SIGUSR1, self._clear)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Stop sampling."""
        signal.setitimer(signal.ITIMER_PROF, 0)

    def _clear(self, signal_number: int, frame: types.FrameType | None) -> None:
        self.parts.clear()
        self.functions.clear()

    def _on_sample(self, signal_number: int, frame: types.FrameType | None) -> None:
        if frame is not None:
            code = frame.f_code
            name = code.co_filename.rpartition("/site-packages/")[2].rpartition("/src/")[2]
            self.functions[f"{name.rpartition('/lib/python3')[2]}:{code.co_name}"] += 1
        while frame is not None:
            path = frame.f_code.co_filename
            for path_part, part in PARTS_BY_PATH:
                if path_part in path:
                    self.parts[part] += 1
                    return
            frame = frame.f_back
        self.parts["event loop and sockets"] += 1


def main() -> int:
    """Run `python -m dykeswitch.scale.profiler OUTPUT PROGRAM --flag ...`."""
    output, program, *flags = sys.argv[1:]
    parser = argparse.ArgumentParser()
    settings.add_flags(parser)
    args = parser.parse_args(flags)
    sampler = Sampler()
    sampler.start()
    try:
        return daemons.run(program, args)
    finally:
        sampler.stop()
        report = {"parts": dict(sampler.parts), "lines": dict(sampler.functions.most_common(40))}
        pathlib.Path(output).write_text(json.dumps(report))


if __name__ == "__main__":
    sys.exit(main())
