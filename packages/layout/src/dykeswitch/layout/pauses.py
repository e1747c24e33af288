"""Planned pauses: periods in which an operator takes an endpoint out of service."""

import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """One planned pause; its times are wall clock time, which the whole fleet shares."""

    name: str
    endpoint: str
    begins: float
    ends: float
    reason: str
    by: str
    made: float

    def is_active(self, wall_time: float) -> bool:
        """Whether the pause is in force at the given wall clock time."""
        return self.begins <= wall_time < self.ends


class PausesError(ValueError):
    """A document is not a valid list of pauses."""


TEXT_FIELDS: typing.Final = ("name", "endpoint", "reason", "by")
TIME_FIELDS: typing.Final = ("begins", "ends", "made")


def read(data: bytes) -> list[Pause]:
    """Reads the pauses in a document; an empty document has none.

    Raises `PausesError` if the document is malformed.
    """
    if not data:
        return []
    try:
        entries = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise PausesError(str(error)) from error
    if not isinstance(entries, list):
        raise PausesError("not a list")
    return [_read_pause(raw) for raw in entries]


def _read_pause(raw: object) -> Pause:
    if not isinstance(raw, dict) or set(raw) != {*TEXT_FIELDS, *TIME_FIELDS}:
        raise PausesError("not a valid pause")
    if not all(isinstance(raw[name], str) for name in TEXT_FIELDS):
        raise PausesError("a text field of a pause is not text")
    for name in TIME_FIELDS:
        if isinstance(raw[name], bool) or not isinstance(raw[name], (int, float)):
            raise PausesError("a time of a pause is not a number")
    return Pause(**raw)


def serialize(pauses: typing.Iterable[Pause]) -> bytes:
    """Encodes pauses as the body of a document."""
    return json.dumps([dataclasses.asdict(pause) for pause in pauses], sort_keys=True).encode()
