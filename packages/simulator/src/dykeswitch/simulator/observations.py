"""What is observed of a fleet: operators' orders and reads, times handed on, layouts carried."""

import dataclasses


@dataclasses.dataclass(slots=True)
class LayoutPut:
    """One sending of an operator's order, and what came of it."""

    started_at: float
    body: str
    match: int | None
    ended_at: float = 0.0
    # What the operator was told; 0 where no answer came.
    status: int = 0
    version: int = 0
    # The status of an answer that was lost on its way: the operator never learns of it.
    lost_status: int = 0


@dataclasses.dataclass(slots=True)
class LayoutRead:
    """An operator's read, and what it brought."""

    started_at: float
    ended_at: float = 0.0
    status: int = 0
    version: int = 0
    body: str = ""


@dataclasses.dataclass(slots=True)
class TimeBudget:
    """For how long an endpoint was told that it may work on a request, in seconds."""

    at: float
    request_id: str
    span_s: float
    # Whether no link was in trouble, so that it came when it was sent.
    links_stable: bool


@dataclasses.dataclass(slots=True)
class Sample:
    """What one proxy carried at one moment."""

    at: float
    proxy: str
    boot: int
    layout: int
    ready: bool
