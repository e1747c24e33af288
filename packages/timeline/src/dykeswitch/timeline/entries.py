"""Validation of entries received from other members, before they are applied to the timeline."""

import math
import typing

import dykeswitch.ports as ports

MAX_COUNT: typing.Final = 2**53
MAX_TEXT_LENGTH: typing.Final = 512

Check = typing.Callable[[object], bool]


def _is_text(raw: object) -> bool:
    return isinstance(raw, str) and len(raw) <= MAX_TEXT_LENGTH


def _is_count(raw: object) -> bool:
    return isinstance(raw, int) and not isinstance(raw, bool) and 0 <= raw < MAX_COUNT


def _is_number(raw: object) -> bool:
    return isinstance(raw, (int, float)) and not isinstance(raw, bool) and 0 <= raw < math.inf


def _is_flag(raw: object) -> bool:
    return isinstance(raw, bool)


def _is_address(raw: object) -> bool:
    return isinstance(raw, str) and ports.address_fault(raw) is None


def _is_address_or_none(raw: object) -> bool:
    # An endpoint that leaves before its first heartbeat arrived has no address.
    return raw == "" or _is_address(raw)


def _is_state(raw: object) -> bool:
    return raw in ("up", "lapsed", "left", "displaced")


def _is_stamp(raw: object) -> bool:
    return isinstance(raw, (list, tuple)) and len(raw) == 2 and _is_count(raw[0]) and _is_text(raw[1])


# For each kind, the fields that an entry must have, and those that it may have.
REQUIRED_FIELDS: typing.Final[dict[str, dict[str, Check]]] = {
    "endpoint": {"service": _is_text, "address": _is_address_or_none, "state": _is_state, "born": _is_stamp},
    "mark": {"reason": _is_text, "clear": _is_flag, "by": _is_text},
    "fence": {"owner": _is_text, "fence": _is_count},
    "core": {
        "spot": _is_address,
        "web": _is_address,
        "store": _is_address,
        "zone": _is_text,
        "boot": _is_text,
    },
    "proxy": {"zone": _is_text, "web": _is_address, "layout": _is_count, "ready": _is_flag},
    "paper": {"version": _is_count},
}
OPTIONAL_FIELDS: typing.Final[dict[str, dict[str, Check]]] = {
    "endpoint": {
        "zone": _is_text,
        "burden": _is_number,
        "interval": _is_number,
        "slots": _is_count,
        "warm": _is_number,
        "remembered": _is_flag,
    },
    "mark": {"slot": _is_count, "fence": _is_count},
    "proxy": {"extra": _is_text, "spot": _is_address},
    "fence": {},
    "core": {},
    "paper": {},
}


def is_valid(wire: object) -> bool:
    """Whether a received entry has the form that members write."""
    if not isinstance(wire, (list, tuple)) or len(wire) != 6:
        return False
    kind, key, count, name, fields, left = wire
    if not isinstance(kind, str) or kind not in REQUIRED_FIELDS or not isinstance(fields, dict):
        return False
    if not (_is_text(key) and _is_text(name) and _is_count(count) and _is_number(left)):
        return False
    # A mark from a probe has both a slot and a fence, any other mark has neither.
    if kind == "mark" and ("slot" in fields) != ("fence" in fields):
        return False
    if kind == "fence" and not (key.isascii() and key.isdigit() and len(key) < 4):
        return False
    optional = OPTIONAL_FIELDS[kind]
    return all(f in fields and check(fields[f]) for f, check in REQUIRED_FIELDS[kind].items()) and all(
        check(fields[f]) for f, check in optional.items() if f in fields
    )
