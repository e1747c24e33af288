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


def read(data: bytes) -> list[Pause]:
    """The pauses in a paper; an empty paper has none."""
    if not data:
        return []
    return [Pause(**raw) for raw in json.loads(data)]


def pack(pauses: typing.Iterable[Pause]) -> bytes:
    """Pauses as a paper's body."""
    return json.dumps([dataclasses.asdict(p) for p in pauses], sort_keys=True).encode()
