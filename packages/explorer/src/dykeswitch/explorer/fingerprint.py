"""A digest of a process's memory: its objects and where each of its coroutines stands.

Two states with one digest are taken for one state. What is left out: the order of a dict's
keys, whether two equal objects are the same object, and who waits first for a lock.
"""

import asyncio
import collections
import dataclasses
import functools
import hashlib
import random
import types
import typing

import dykeswitch.explorer.hosts as hosts

DIGEST_SIZE: typing.Final = 16
_PLAIN: typing.Final = frozenset({type(None), str, bytes, int, float, bool})

# Objects that belong to the model or hold no state of the process.
_opaque: list[type] = [
    hosts.Host,
    hosts.HostClock,
    hosts.NoNetwork,
    hosts.NoWeb,
    random.Random,
    type,
    types.ModuleType,
]


def leave_out(kind: type) -> type:
    """A class decorator: objects of this class are no part of a fingerprint."""
    _opaque.append(kind)
    return kind


_opaque_by_class: dict[type, bool] = {}


def _is_opaque(kind: type) -> bool:
    if kind not in _opaque_by_class:
        _opaque_by_class[kind] = issubclass(kind, tuple(_opaque))
    return _opaque_by_class[kind]


class _Writer:
    """Turns objects into text, each at most once."""

    def __init__(self) -> None:
        self._done: dict[int, str] = {}
        self._open: set[int] = set()
        # Keeps each object alive while its id is a key.
        self._kept: list[object] = []

    def text(self, thing: object) -> str:
        if type(thing) in _PLAIN:
            return repr(thing)
        mark = id(thing)
        if mark in self._done:
            return self._done[mark]
        if mark in self._open:
            return "<cycle>"
        self._open.add(mark)
        self._kept.append(thing)
        found = self._inside(thing)
        self._open.discard(mark)
        self._done[mark] = found
        return found

    def _inside(self, thing: object) -> str:
        if isinstance(thing, tuple | list):
            return "[" + ",".join(self.text(part) for part in thing) + "]"
        if isinstance(thing, dict):
            return "{" + ",".join(sorted(f"{self.text(k)}:{self.text(v)}" for k, v in thing.items())) + "}"
        if isinstance(thing, set | frozenset):
            # A task that runs is among its host's tasks: who keeps it alive is no state.
            parts = [part for part in thing if not (isinstance(part, asyncio.Task) and not part.done())]
            return "{" + ",".join(sorted(self.text(part) for part in parts)) + "}"
        if _is_opaque(type(thing)):
            return f"<{type(thing).__name__}>"
        if isinstance(thing, asyncio.Future):
            return self._future(thing)
        if isinstance(thing, asyncio.Event):
            return f"event {thing.is_set()}"
        if isinstance(thing, asyncio.Lock):
            return f"lock {thing.locked()}"
        return self._code_or_object(thing)

    def _code_or_object(self, thing: object) -> str:
        if isinstance(thing, types.FunctionType):
            cells = [cell.cell_contents for cell in thing.__closure__ or () if _filled(cell)]
            return f"{thing.__qualname__}{self.text(cells)}{self.text(thing.__defaults__)}"
        if isinstance(thing, types.MethodType):
            return f"{thing.__func__.__qualname__}@{self.text(thing.__self__)}"
        if isinstance(thing, functools.partial):
            return f"partial{self.text([thing.func, thing.args, thing.keywords])}"
        if isinstance(thing, types.CoroutineType):
            return self._coroutine(thing)
        return f"{type(thing).__name__}{self.text(_fields(thing))}"

    def _future(self, future: asyncio.Future[typing.Any]) -> str:
        if future.cancelled():
            return "cancelled"
        if future.done():
            flaw = future.exception()
            return f"raised {flaw!r}" if flaw is not None else f"done {self.text(future.result())}"
        if isinstance(future, asyncio.Task):
            waiter = getattr(future, "_fut_waiter", None)
            return f"task {self._coroutine(future.get_coro())} on {self.text(waiter)}"
        # What `gather` waits for holds the results that are already there.
        return f"future {self.text(getattr(future, '_children', None))}"

    def _coroutine(self, coroutine: typing.Any) -> str:
        steps: list[str] = []
        while isinstance(coroutine, types.CoroutineType):
            frame = coroutine.cr_frame
            if frame is None:
                break
            steps.append(f"{frame.f_code.co_qualname} {frame.f_lasti} {self.text(frame.f_locals)}")
            coroutine = coroutine.cr_await
        return "/".join(steps)


def _filled(cell: types.CellType) -> bool:
    try:
        return cell.cell_contents is not cell
    except ValueError:
        return False


def _fields(thing: object) -> dict[str, object]:
    if dataclasses.is_dataclass(thing):
        return {field.name: getattr(thing, field.name, None) for field in dataclasses.fields(thing)}
    fields = dict(getattr(thing, "__dict__", {}))
    for kind in type(thing).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if name != "__weakref__":
                fields[name] = getattr(thing, name, None)
    return fields


def digest(text: str) -> bytes:
    """A short digest of any text."""
    return hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST_SIZE).digest()


class HostState(typing.NamedTuple):
    """The digests of a host's parts."""

    # Its memory, timers and the tasks that the model began on it.
    core: bytes
    # The tasks that its own code began.
    children: tuple[bytes, ...]

    def lost_only_a_child(self, before: "HostState") -> bool:
        """Whether all that came of an event is that a task ended which nobody waited for."""
        if self.core != before.core or len(self.children) + 1 != len(before.children):
            return False
        left = collections.Counter(before.children)
        left.subtract(self.children)
        return min(left.values()) >= 0


def of_host(host: hosts.Host) -> HostState:
    """The digests of a host's memory, tasks and timers."""
    writer = _Writer()
    memory = writer.text(host.memory)
    children = tuple(sorted(digest(writer.text(task)) for task in host.tasks if task not in host.main_tasks))
    main = sorted(writer.text(task) for task in host.tasks if task in host.main_tasks)
    timers = sorted(f"{timer.when:.6f}" for timer in host.timers if not timer.handle.cancelled())
    core = f"{host.name} {host.up} {host.starts} {host.now:.6f} {timers} {main} {memory}"
    return HostState(digest(core), children)


def of_objects(things: list[typing.Any]) -> bytes:
    """The digest of any objects."""
    return digest(_Writer().text(things))
