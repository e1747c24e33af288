"""Threads for work that may block forever, such as file operations on a stalled disk.

The threads of `asyncio.to_thread` are joined when the loop closes and when the interpreter
exits, so a process with a stalled disk could not stop. These are daemon threads, which nothing
waits for at exit.
"""

import asyncio
import collections.abc
import contextlib
import queue
import threading
import typing

T = typing.TypeVar("T")

# More than one, so that work on one file need not wait for a stalled sync of another.
MAX_THREADS: typing.Final = 4


class DaemonThreads:
    """Up to `MAX_THREADS` threads, started on demand and kept."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[collections.abc.Callable[[], None]] = queue.SimpleQueue()
        self._started = 0
        self._unfinished = 0

    async def run(self, work: typing.Callable[[], T]) -> T:
        """Run `work` in a thread and return its result; all calls must come from one event loop."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T] = loop.create_future()

        def job() -> None:
            report = _outcome(work, done)
            # If the loop is closed by now, nothing waits for the outcome.
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
        if self._started < min(self._unfinished, MAX_THREADS):
            self._started += 1
            threading.Thread(target=self._serve, name="disk", daemon=True).start()

    def _serve(self) -> None:
        while True:
            self._jobs.get()()


def _outcome(work: typing.Callable[[], T], done: "asyncio.Future[T]") -> typing.Callable[[], None]:
    """Run `work`; return a callback that sets its result or error on the future, to be called in the loop."""
    try:
        result = work()
    except BaseException as error:
        failure = error
        return lambda: None if done.done() else done.set_exception(failure)
    return lambda: None if done.done() else done.set_result(result)
