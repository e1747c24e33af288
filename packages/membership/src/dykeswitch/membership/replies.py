"""Replies of other members, checked as a whole before anything of them is taken up."""

import dataclasses
import typing

import dykeswitch.frames as frames

SEQ_MOST: typing.Final = 2**53
BOOT_MOST: typing.Final = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a reply to a shuffle, a poll or a tell has in common."""

    # The life of the member that answered, and how far its timeline goes.
    boot_id: str
    seq: int
    # Entries of its timeline, and members that it knows; each is checked by itself when it is merged.
    items: list[typing.Any]
    view: list[typing.Any]


def read(body: frames.Body) -> Reply:
    """A reply off the wire; raises `ValueError` where it is none."""
    boot_id, seq = body.get("boot"), body.get("seq")
    if not isinstance(boot_id, str) or len(boot_id) > BOOT_MOST:
        raise ValueError("not a boot")
    if not isinstance(seq, int) or isinstance(seq, bool) or not 0 <= seq < SEQ_MOST:
        raise ValueError("not a place in a timeline")
    return Reply(boot_id, seq, _list(body.get("items")), _list(body.get("view", [])))


def _list(raw: object) -> list[typing.Any]:
    if not isinstance(raw, list):
        raise ValueError("not a list")
    return raw
