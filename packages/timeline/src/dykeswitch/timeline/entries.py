"""What an entry off the wire must look like to be taken up: a checker for each kind."""

import math
import typing

import dykeswitch.ports as ports

COUNT_MOST: typing.Final = 2**53
TEXT_MOST: typing.Final = 512

Test = typing.Callable[[object], bool]


def _text(raw: object) -> bool:
    return isinstance(raw, str) and len(raw) <= TEXT_MOST


def _count(raw: object) -> bool:
    return isinstance(raw, int) and not isinstance(raw, bool) and 0 <= raw < COUNT_MOST


def _number(raw: object) -> bool:
    return isinstance(raw, (int, float)) and not isinstance(raw, bool) and 0 <= raw < math.inf


def _flag(raw: object) -> bool:
    return isinstance(raw, bool)


def _address(raw: object) -> bool:
    return isinstance(raw, str) and ports.address_fault(raw) is None


def _address_or_none(raw: object) -> bool:
    # Who leaves before we ever heard of it said no address.
    return raw == "" or _address(raw)


def _state(raw: object) -> bool:
    return raw in ("up", "lapsed", "left", "displaced")


def _stamp(raw: object) -> bool:
    return isinstance(raw, (list, tuple)) and len(raw) == 2 and _count(raw[0]) and _text(raw[1])


# For each kind, the fields it must have, and what may stand beside them.
MUST: typing.Final[dict[str, dict[str, Test]]] = {
    "endpoint": {"service": _text, "address": _address_or_none, "state": _state, "born": _stamp},
    "mark": {"reason": _text, "clear": _flag, "by": _text},
    "fence": {"owner": _text, "fence": _count},
    "core": {"spot": _address, "web": _address, "store": _address, "zone": _text, "boot": _text},
    "proxy": {"zone": _text, "web": _address, "layout": _count, "ready": _flag},
    "paper": {"version": _count},
}
MAY: typing.Final[dict[str, dict[str, Test]]] = {
    "endpoint": {
        "zone": _text,
        "burden": _number,
        "interval": _number,
        "slots": _count,
        "warm": _number,
        "remembered": _flag,
    },
    "mark": {"slot": _count, "fence": _count},
    "proxy": {"extra": _text, "spot": _address},
    "fence": {},
    "core": {},
    "paper": {},
}


def sound(wire: object) -> bool:
    """Whether an entry is one that some member could have written."""
    if not isinstance(wire, (list, tuple)) or len(wire) != 6:
        return False
    kind, key, count, name, fields, left = wire
    if not isinstance(kind, str) or kind not in MUST or not isinstance(fields, dict):
        return False
    if not (_text(key) and _text(name) and _count(count) and _number(left)):
        return False
    # Marks and fences that go by slots have both or neither.
    if kind == "mark" and ("slot" in fields) != ("fence" in fields):
        return False
    if kind == "fence" and not (key.isascii() and key.isdigit() and len(key) < 4):
        return False
    may = MAY[kind]
    return all(n in fields and test(fields[n]) for n, test in MUST[kind].items()) and all(
        test(fields[n]) for n, test in may.items() if n in fields
    )
