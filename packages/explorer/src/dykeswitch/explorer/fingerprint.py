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

DIGEST_SIZE_BYTES: typing.Final = 16
_PLAIN_TYPES: typing.Final = frozenset({type(None), str, bytes, int, float, bool})

# Objects that belong to the model or hold no state of the process.
_excluded_types: list[type] = [
    hosts.Host,
    hosts.HostClock,
    hosts.NoNetwork,
    hosts.NoWeb,
    random.Random,
    type,
    types.ModuleType,
]


def exclude_from_fingerprint(kind: type) -> type:
    """A class decorator: objects of this class are no part of a fingerprint."""
    _excluded_types.append(kind)
    return kind


_is_excluded_by_type: dict[type, bool] = {}


def _is_excluded(kind: type) -> bool:
    if kind not in _is_excluded_by_type:
        _is_excluded_by_type[kind] = issubclass(kind, tuple(_excluded_types))
    return _is_excluded_by_type[kind]


class _Serializer:
    """Turns objects into text, each at most once."""

    def __init__(self) -> None:
        self._texts: dict[int, str] = {}
        self._in_progress: set[int] = set()
        # Keeps each object alive while its id is a key.
        self._references: list[object] = []

    def text(self, value: object) -> str:
        if type(value) in _PLAIN_TYPES:
            return repr(value)
        identity = id(value)
        if identity in self._texts:
            return self._texts[identity]
        if identity in self._in_progress:
            return "<cycle>"
        self._in_progress.add(identity)
        self._references.append(value)
        text = self._compound_text(value)
        self._in_progress.discard(identity)
        self._texts[identity] = text
        return text

    def _compound_text(self, value: object) -> str:
        if isinstance(value, tuple | list):
            return "[" + ",".join(self.text(part) for part in value) + "]"
        if isinstance(value, dict):
            return "{" + ",".join(sorted(f"{self.text(k)}:{self.text(v)}" for k, v in value.items())) + "}"
        if isinstance(value, set | frozenset):
            # A task that runs is among its host's tasks: who keeps it alive is no state.
            parts = [part for part in value if not (isinstance(part, asyncio.Task) and not part.done())]
            return "{" + ",".join(sorted(self.text(part) for part in parts)) + "}"
        if _is_excluded(type(value)):
            return f"<{type(value).__name__}>"
        if isinstance(value, asyncio.Future):
            return self._future(value)
        if isinstance(value, asyncio.Event):
            return f"event {value.is_set()}"
        if isinstance(value, asyncio.Lock):
            return f"lock {value.locked()}"
        return self._code_or_object(value)

    def _code_or_object(self, value: object) -> str:
        if isinstance(value, types.FunctionType):
            cells = [cell.cell_contents for cell in value.__closure__ or () if _has_content(cell)]
            return f"{value.__qualname__}{self.text(cells)}{self.text(value.__defaults__)}"
        if isinstance(value, types.MethodType):
            return f"{value.__func__.__qualname__}@{self.text(value.__self__)}"
        if isinstance(value, functools.partial):
            return f"partial{self.text([value.func, value.args, value.keywords])}"
        if isinstance(value, types.CoroutineType):
            return self._coroutine(value)
        return f"{type(value).__name__}{self.text(_fields(value))}"

    def _future(self, future: asyncio.Future[typing.Any]) -> str:
        if future.cancelled():
            return "cancelled"
        if future.done():
            error = future.exception()
            return f"raised {error!r}" if error is not None else f"done {self.text(future.result())}"
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


def _has_content(cell: types.CellType) -> bool:
    try:
        return cell.cell_contents is not cell
    except ValueError:
        return False


def _fields(value: object) -> dict[str, object]:
    if dataclasses.is_dataclass(value):
        return {field.name: getattr(value, field.name, None) for field in dataclasses.fields(value)}
    fields = dict(getattr(value, "__dict__", {}))
    for kind in type(value).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if name != "__weakref__":
                fields[name] = getattr(value, name, None)
    return fields


def digest(text: str) -> bytes:
    """A short digest of any text."""
    return hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST_SIZE_BYTES).digest()


class HostState(typing.NamedTuple):
    """The digests of a host's parts."""

    # Its memory, timers and the tasks that the model began on it.
    core: bytes
    # The tasks that its own code began.
    children: tuple[bytes, ...]

    def only_child_finished(self, before: "HostState") -> bool:
        """Whether all that came of an event is that a task ended which nobody waited for."""
        if self.core != before.core or len(self.children) + 1 != len(before.children):
            return False
        remaining = collections.Counter(before.children)
        remaining.subtract(self.children)
        return min(remaining.values()) >= 0


def of_host(host: hosts.Host) -> HostState:
    """The digests of a host's memory, tasks and timers."""
    writer = _Serializer()
    memory = writer.text(host.memory)
    children = tuple(sorted(digest(writer.text(task)) for task in host.tasks if task not in host.main_tasks))
    main = sorted(writer.text(task) for task in host.tasks if task in host.main_tasks)
    timers = sorted(f"{timer.due_at:.6f}" for timer in host.timers if not timer.handle.cancelled())
    core = f"{host.name} {host.up} {host.starts} {host.now:.6f} {timers} {main} {memory}"
    return HostState(digest(core), children)


def of_objects(values: list[typing.Any]) -> bytes:
    """The digest of any objects."""
    return digest(_Serializer().text(values))
