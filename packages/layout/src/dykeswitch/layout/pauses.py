"""Planned pauses: an operator's word that an endpoint is out for a window of time."""

import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """One planned pause, in the fleet's common wall time."""

    name: str
    endpoint: str
    begins: float
    ends: float
    reason: str
    by: str
    made: float

    def open(self, wall: float) -> bool:
        """Whether the pause is in force at a moment of the fleet's wall time."""
        return self.begins <= wall < self.ends


class PausesError(ValueError):
    """A document that holds no pauses, or odd ones."""


TEXTS: typing.Final = ("name", "endpoint", "reason", "by")
MOMENTS: typing.Final = ("begins", "ends", "made")


def read(data: bytes) -> list[Pause]:
    """The pauses in a document, none in an empty one; raises `PausesError` where it can't be read."""
    if not data:
        return []
    try:
        rows = json.loads(data)
    except (ValueError, RecursionError) as flaw:
        raise PausesError(str(flaw)) from flaw
    if not isinstance(rows, list):
        raise PausesError("not a list")
    return [_read_pause(raw) for raw in rows]


def _read_pause(raw: object) -> Pause:
    if not isinstance(raw, dict) or set(raw) != {*TEXTS, *MOMENTS}:
        raise PausesError("not a pause")
    if not all(isinstance(raw[name], str) for name in TEXTS):
        raise PausesError("a pause with a name that is no text")
    for name in MOMENTS:
        if isinstance(raw[name], bool) or not isinstance(raw[name], (int, float)):
            raise PausesError("a pause with a moment that is no number")
    return Pause(**raw)


def serialize(pauses: typing.Iterable[Pause]) -> bytes:
    """Pauses as a paper's body."""
    return json.dumps([dataclasses.asdict(p) for p in pauses], sort_keys=True).encode()
