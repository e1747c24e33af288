"""Digests of a process's memory: its objects and the position of each of its coroutines.

Two states with the same digest are treated as the same state. Digests don't cover the order of
a dict's keys, whether two equal objects are the same object, or the order of waiters for a lock.
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

# Objects of these classes belong to the model or contain no state of the process.
_excluded_classes: list[type] = [
    hosts.Host,
    hosts.HostClock,
    hosts.NoNetwork,
    hosts.NoWeb,
    random.Random,
    type,
    types.ModuleType,
]


def exclude_from_fingerprint(cls: type) -> type:
    """Class decorator that excludes the objects of a class from fingerprints."""
    _excluded_classes.append(cls)
    return cls


_is_excluded_by_class: dict[type, bool] = {}


def _is_excluded(cls: type) -> bool:
    if cls not in _is_excluded_by_class:
        _is_excluded_by_class[cls] = issubclass(cls, tuple(_excluded_classes))
    return _is_excluded_by_class[cls]


class _Serializer:
    """Converts objects to text, each object at most once."""

    def __init__(self) -> None:
        self._texts: dict[int, str] = {}
        self._in_progress: set[int] = set()
        # Keeps objects alive, since an id may be reused once its object is freed.
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
            # Unfinished tasks are covered by their host's tasks; references that only keep them
            # alive are not state.
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
        # The future of `gather` refers to its children, which contain the results so far.
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
    for cls in type(value).__mro__:
        for name in getattr(cls, "__slots__", ()):
            if name != "__weakref__":
                fields[name] = getattr(value, name, None)
    return fields


def digest(text: str) -> bytes:
    """Return a short digest of a text."""
    return hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST_SIZE_BYTES).digest()


class HostState(typing.NamedTuple):
    """The digests of the parts of a host's state."""

    # The memory, the timers and the tasks that the model started.
    core: bytes
    # The tasks that the code of the host started itself.
    children: tuple[bytes, ...]

    def only_child_finished(self, before: "HostState") -> bool:
        """Return whether the only change is that one task ended that no other task waited for."""
        if self.core != before.core or len(self.children) + 1 != len(before.children):
            return False
        remaining = collections.Counter(before.children)
        remaining.subtract(self.children)
        return min(remaining.values()) >= 0


def of_host(host: hosts.Host) -> HostState:
    """Return the digests of a host's memory, tasks and timers."""
    serializer = _Serializer()
    memory = serializer.text(host.memory)
    children = tuple(
        sorted(digest(serializer.text(task)) for task in host.tasks if task not in host.main_tasks)
    )
    main = sorted(serializer.text(task) for task in host.tasks if task in host.main_tasks)
    timers = sorted(f"{timer.due_at:.6f}" for timer in host.timers if not timer.handle.cancelled())
    core = f"{host.name} {host.up} {host.starts} {host.now:.6f} {timers} {main} {memory}"
    return HostState(digest(core), children)


def of_objects(values: list[typing.Any]) -> bytes:
    """Return the digest of arbitrary objects."""
    return digest(_Serializer().text(values))
