"""Strategies that several targets share: odd values, and good bodies with some of them put in."""

import math
import typing

import cbor2
import hypothesis.strategies as strategies

Fields = dict[str, typing.Any]
FieldsStrategy = strategies.SearchStrategy[Fields]

ODD: typing.Final[strategies.SearchStrategy[typing.Any]] = strategies.sampled_from(
    [
        math.nan,
        math.inf,
        -1,
        0,
        2**53,
        2**70,
        "",
        "x" * 300,
        "\x00",
        "1.2.3.4:99999",
        True,
        None,
        [],
        {},
        b"",
        b"x" * 40,
        1.5,
    ]
)
PLAIN: typing.Final[strategies.SearchStrategy[typing.Any]] = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**64), 2**64)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20)
    | ODD,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def can_be_framed(body: object) -> bool:
    """Whether a body can be sent at all: some of what is drawn has no encoding."""
    try:
        cbor2.dumps(body)
    except (ValueError, cbor2.CBOREncodeError, UnicodeEncodeError):
        return False
    return True


def spoilt(good: Fields) -> FieldsStrategy:
    """A body that is good but for a field or two, or lacks one."""
    names = strategies.sampled_from([*good, "other"])
    replaced = strategies.dictionaries(names, PLAIN, max_size=2).map(lambda odd: {**good, **odd})
    lacking = strategies.sampled_from(list(good) or ["none"]).map(
        lambda name: {key: value for key, value in good.items() if key != name}
    )
    return replaced | lacking


def spoilt_bytes(good: bytes) -> strategies.SearchStrategy[bytes]:
    """Bytes of which some are changed, cut out, doubled or put in."""
    edit = strategies.tuples(
        strategies.sampled_from(["change", "cut", "double", "insert"]),
        strategies.integers(0, len(good)),
        strategies.integers(0, 255),
        strategies.sampled_from([b"\r\n", b"\x00", b"\xff" * 9, b"X" * 5000]),
    )
    return strategies.lists(edit, min_size=1, max_size=4).map(lambda edits: _edited(good, edits))


def _edited(good: bytes, edits: list[tuple[str, int, int, bytes]]) -> bytes:
    data = bytearray(good)
    for kind, place, number, part in edits:
        at = min(place, max(0, len(data) - 1))
        if kind == "change" and data:
            data[at] = number
        elif kind == "cut":
            del data[at : at + number % 20 + 1]
        elif kind == "double":
            data[at:at] = data[at : at + number % 30 + 1]
        elif kind == "insert":
            data[at:at] = part
    return bytes(data)
