"""Strategies shared by several targets: unusual values, and valid bodies corrupted by them."""

import math
import typing

import cbor2
import hypothesis.strategies as strategies

Fields = dict[str, typing.Any]
FieldsStrategy = strategies.SearchStrategy[Fields]

ODD_VALUES: typing.Final[strategies.SearchStrategy[typing.Any]] = strategies.sampled_from(
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
ANY_VALUES: typing.Final[strategies.SearchStrategy[typing.Any]] = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**64), 2**64)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20)
    | ODD_VALUES,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def is_encodable(body: object) -> bool:
    """Whether a body can be sent at all; some generated values can't be encoded."""
    try:
        cbor2.dumps(body)
    except (ValueError, cbor2.CBOREncodeError, UnicodeEncodeError):
        return False
    return True


def corrupted(valid: Fields) -> FieldsStrategy:
    """Generate bodies that are valid except for up to two replaced or added fields, or one missing field."""
    names = strategies.sampled_from([*valid, "other"])
    replaced = strategies.dictionaries(names, ANY_VALUES, max_size=2).map(lambda fields: {**valid, **fields})
    lacking = strategies.sampled_from(list(valid) or ["none"]).map(
        lambda name: {key: value for key, value in valid.items() if key != name}
    )
    return replaced | lacking


def corrupted_bytes(valid: bytes) -> strategies.SearchStrategy[bytes]:
    """Generate copies of `valid` in which some bytes are changed, removed, duplicated or inserted."""
    edit = strategies.tuples(
        strategies.sampled_from(["change", "cut", "double", "insert"]),
        strategies.integers(0, len(valid)),
        strategies.integers(0, 255),
        strategies.sampled_from([b"\r\n", b"\x00", b"\xff" * 9, b"X" * 5000]),
    )
    return strategies.lists(edit, min_size=1, max_size=4).map(lambda edits: _apply_edits(valid, edits))


def _apply_edits(valid: bytes, edits: list[tuple[str, int, int, bytes]]) -> bytes:
    data = bytearray(valid)
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
