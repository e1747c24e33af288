"""The events that a scheduler chooses among."""

import collections
import enum
import typing


class Kind(enum.Enum):
    """What happens."""

    DELIVER = "deliver"
    ANSWER = "answer"
    REFUSE = "connection broken"
    WRITE = "disk works"
    TIMER = "timer"
    RESTART = "restart"
    HEAL = "heal"
    KEEP = "kept"
    DROP = "lost"
    # From here on faults, each of which takes from its budget.
    LOSE = "lose"
    GIVE_UP = "give up"
    DUPLICATE = "duplicate"
    CRASH = "crash"
    POWER = "power loss"
    WIPE = "wipe"
    CUT = "cut"

    # There is one object for each kind; the usual hash, by name, is slow.
    __hash__ = object.__hash__


NAMES: typing.Final = {kind: kind.value for kind in Kind}

Budget = typing.Mapping[Kind, int]


class Event(typing.NamedTuple):
    """Something that can happen now."""

    kind: Kind
    # The event's name in a trace, the same in each execution.
    key: str
    # The hosts whose state it reads or changes; events with none in common commute.
    hosts: frozenset[str]
    perform: typing.Callable[[], None]
    # False where it is free: a call over a cut connection is given up on at no cost.
    uses_budget: bool = False
    # All that the event brings to its hosts, beyond its key.
    detail: typing.Callable[[], str] = str


def event(
    kind: Kind,
    label: str,
    hosts: frozenset[str],
    perform: typing.Callable[[], None],
    uses_budget: bool = False,
    detail: typing.Callable[[], str] = str,
) -> Event:
    """An event, named by its kind and what it happens to."""
    return Event(kind, f"{NAMES[kind]}: {label}", hosts, perform, uses_budget, detail)


def search_order(event: Event) -> tuple[bool, bool]:
    """A sort key: answers first, faults last."""
    return (event.uses_budget, event.kind is not Kind.ANSWER)


def with_unique_keys(events: list[Event]) -> list[Event]:
    """The events with a number behind each name that is not the first of its kind."""
    if len({event.key for event in events}) == len(events):
        return events
    seen: collections.Counter[str] = collections.Counter()
    found: list[Event] = []
    for event in events:
        seen[event.key] += 1
        count = seen[event.key]
        found.append(event if count == 1 else event._replace(key=f"{event.key} #{count}"))
    return found
