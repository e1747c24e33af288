"""Observations of a fleet: operators' orders and reads, time budgets, and the proxies' layouts."""

import dataclasses


@dataclasses.dataclass(slots=True)
class LayoutPut:
    """One attempt to send an operator's order, and its result."""

    started_at: float
    body: str
    match: int | None
    ended_at: float = 0.0
    # The status that the operator received; 0 if there was no answer.
    status: int = 0
    version: int = 0
    # The status of an answer that was lost on its way; the operator never received it.
    lost_status: int = 0


@dataclasses.dataclass(slots=True)
class LayoutRead:
    """An operator's read of the layout, and its result."""

    started_at: float
    ended_at: float = 0.0
    status: int = 0
    version: int = 0
    body: str = ""


@dataclasses.dataclass(slots=True)
class TimeBudget:
    """The time that an endpoint was given for a request, as `duration_s` from the moment `at`."""

    at: float
    request_id: str
    duration_s: float
    # Whether all links were stable, so that the request arrived without a long delay.
    links_stable: bool


@dataclasses.dataclass(slots=True)
class Sample:
    """The layout version that one proxy had at one moment, and whether it was ready."""

    at: float
    proxy: str
    boot: int
    layout: int
    ready: bool
