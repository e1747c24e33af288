"""Threads for work that may block without end, as on a disk that stalls.

The threads of `asyncio.to_thread` are joined when the loop closes and when the interpreter
ends, so a process whose disk stalls could not stop. These are daemons: an end waits for none.
"""

import asyncio
import collections.abc
import contextlib
import queue
import threading
import typing

T = typing.TypeVar("T")

# Several, so that work on one file need not wait for a stalled sync of another.
THREADS_MOST: typing.Final = 4


class DaemonThreads:
    """Up to `THREADS_MOST` threads, started as they are needed and kept."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[collections.abc.Callable[[], None]] = queue.SimpleQueue()
        self._started = 0
        self._unfinished = 0

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Do the work in a thread; to be called from one loop only."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T] = loop.create_future()

        def job() -> None:
            report = _outcome(work, done)
            # The loop may be closed by now: then nobody waits for the outcome.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(report)

        self._unfinished += 1
        done.add_done_callback(self._finished)
        self._start_if_needed()
        self._jobs.put(job)
        return await done

    def _finished(self, done: "asyncio.Future[typing.Any]") -> None:
        self._unfinished -= 1

    def _start_if_needed(self) -> None:
        if self._started < min(self._unfinished, THREADS_MOST):
            self._started += 1
            threading.Thread(target=self._serve, name="disk", daemon=True).start()

    def _serve(self) -> None:
        while True:
            self._jobs.get()()


def _outcome(work: typing.Callable[[], T], done: "asyncio.Future[T]") -> typing.Callable[[], None]:
    """Do the work; what is to be told of it in the loop."""
    try:
        result = work()
    except BaseException as flaw:
        failure = flaw
        return lambda: None if done.done() else done.set_exception(failure)
    return lambda: None if done.done() else done.set_result(result)
