"""Replies of other members, validated as a whole before any part of them is applied."""

import dataclasses
import typing

import dykeswitch.frames as frames

MAX_SEQ: typing.Final = 2**53
MAX_BOOT_ID_LENGTH: typing.Final = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The fields that replies to shuffle, poll and tell calls have in common."""

    # The boot id of the replying process, and the last position in its timeline.
    boot_id: str
    seq: int
    # Entries of its timeline, and members in its view; each one is validated when it is merged.
    items: list[typing.Any]
    view: list[typing.Any]


def read(body: frames.Body) -> Reply:
    """Reads a received reply; raises `ValueError` if it is malformed."""
    boot_id, seq = body.get("boot"), body.get("seq")
    if not isinstance(boot_id, str) or len(boot_id) > MAX_BOOT_ID_LENGTH:
        raise ValueError("invalid boot id")
    if not isinstance(seq, int) or isinstance(seq, bool) or not 0 <= seq < MAX_SEQ:
        raise ValueError("invalid timeline position")
    return Reply(boot_id, seq, _require_list(body.get("items")), _require_list(body.get("view", [])))


def _require_list(raw: object) -> list[typing.Any]:
    if not isinstance(raw, list):
        raise ValueError("items and view must be lists")
    return raw
