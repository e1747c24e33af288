"""The events that a search chooses from."""

import collections
import enum
import typing


class Kind(enum.Enum):
    """The kind of an event. The values are part of traces, which can be replayed."""

    DELIVER = "deliver"
    ANSWER = "answer"
    REFUSE = "connection broken"
    WRITE = "disk works"
    TIMER = "timer"
    RESTART = "restart"
    HEAL = "heal"
    KEEP = "kept"
    DROP = "lost"
    # The kinds below are faults; each of them uses the budget of its kind.
    LOSE = "lose"
    GIVE_UP = "give up"
    DUPLICATE = "duplicate"
    CRASH = "crash"
    POWER = "power loss"
    WIPE = "wipe"
    CUT = "cut"

    # Members are singletons, so hashing by identity is enough; the default hash of the name is slow.
    __hash__ = object.__hash__


KIND_NAMES: typing.Final = {kind: kind.value for kind in Kind}

Budget = typing.Mapping[Kind, int]


class Event(typing.NamedTuple):
    """An event that can happen now."""

    kind: Kind
    # The event's name in a trace; the same in every execution.
    key: str
    # The hosts whose state the event reads or changes; events without common hosts commute.
    hosts: frozenset[str]
    perform: typing.Callable[[], None]
    # False for events that use no budget, such as giving up a call over a cut connection.
    uses_budget: bool = False
    # Returns the input that the event brings to its hosts, in addition to its key.
    detail: typing.Callable[[], str] = str


def event(
    kind: Kind,
    label: str,
    hosts: frozenset[str],
    perform: typing.Callable[[], None],
    uses_budget: bool = False,
    detail: typing.Callable[[], str] = str,
) -> Event:
    """Create an event whose key consists of its kind and a label."""
    return Event(kind, f"{KIND_NAMES[kind]}: {label}", hosts, perform, uses_budget, detail)


def search_order(event: Event) -> tuple[bool, bool]:
    """Return a sort key that puts answers first and faults last."""
    return (event.uses_budget, event.kind is not Kind.ANSWER)


def with_unique_keys(events: list[Event]) -> list[Event]:
    """Make the keys unique: repetitions of a key get a number appended."""
    if len({event.key for event in events}) == len(events):
        return events
    seen: collections.Counter[str] = collections.Counter()
    found: list[Event] = []
    for event in events:
        seen[event.key] += 1
        count = seen[event.key]
        found.append(event if count == 1 else event._replace(key=f"{event.key} #{count}"))
    return found
