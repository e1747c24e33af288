"""Soundness: what counts as a failure, and the words a mark gives for it."""

import dataclasses
import typing

# The header by which an endpoint names itself, on probes and on replies alike.
SERVED_BY: typing.Final = b"dykeswitch-served-by"
# The status by which another endpoint than the one meant refuses a request unrun.
MISDIRECTED: typing.Final = 421
# The status by which callers are told that nothing ran and nothing will.
UNAVAILABLE: typing.Final = 503

# Plain reasons, as operators read them.
REFUSED: typing.Final = "refused the pipe"
NO_ROAD: typing.Final = "could not be reached"
TIMED_OUT: typing.Final = "timed out"
BROKE_OFF: typing.Final = "broke off"
GARBAGE: typing.Final = "answered garbage"
WRONG_ID: typing.Final = "wrong identity on probe"
WRONG_ID_REPLY: typing.Final = "wrong identity on reply"
PROBE_TIMED_OUT: typing.Final = "timed out on probe"
UNFRAMED: typing.Final = "answered without a length"
OTHERS_REPLY: typing.Final = "answered another exchange"

# The source marks on any non-200. Here only these say that the endpoint itself
# fails; the rest speak of the request. How many are free before a mark is set:
# a 500 may be one caller's poison, a promised refusal is an endpoint's own care.
# A 504 may be a caller in a hurry.
FREE: typing.Final[dict[int, int]] = {500: 1, 502: 0, 503: 0, 504: 2}
FREE_PROMISED: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One failure of an endpoint: the reason and how many are free before a mark."""

    reason: str
    free: int = 0


def status_fault(status: int, promised: bool) -> Fault | None:
    """Whether a reply's status counts against the endpoint."""
    free = FREE.get(status)
    if free is None:
        return None
    return Fault(f"answered {status}", max(free, FREE_PROMISED) if promised else free)


# How many failures in a row mark an endpoint, of those that load or a caller may cause. That one
# could not be reached in time may lie in our own link: full, it would fail for all endpoints alike.
SOFT_FREE: typing.Final = 2
SOFT: typing.Final = frozenset({NO_ROAD, TIMED_OUT, BROKE_OFF, GARBAGE, OTHERS_REPLY, UNFRAMED})
# Failures mixed with successes mark it too, where they are many and this part of all.
MIXED_LEAST: typing.Final = 4.0
MIXED_SHARE: typing.Final = 0.25


def flaw_fault(reason: str) -> Fault:
    """A go that brought no reply: what it counts for."""
    return Fault(reason, SOFT_FREE if reason in SOFT else 0)


@dataclasses.dataclass(slots=True)
class Tally:
    """One endpoint's record: failures in a row, and failures and replies that fade."""

    row: int = 0
    failed: float = 0.0
    total: float = 0.0
    at: float = 0.0


class Strikes:
    """Judges from one proxy's exchanges when failures of an endpoint earn it a mark.

    A row of failures longer than what is free marks it; so does a share of failures that is too
    high, since an endpoint that fails one in three never fails many in a row.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._tallies: dict[str, Tally] = {}

    def _tally(self, endpoint: str, now: float) -> Tally:
        tally = self._tallies.get(endpoint)
        if tally is None:
            # An endpoint that is long gone must not be kept in mind for ever.
            if len(self._tallies) > 4096:
                self._tallies.clear()
            tally = self._tallies[endpoint] = Tally(at=now)
        age = now - tally.at
        if age > self._span:
            tally.row = 0
        fade = 0.5 ** (age / self._span)
        tally.failed *= fade
        tally.total *= fade
        tally.at = now
        return tally

    def sound(self, endpoint: str, now: float) -> None:
        """Note a reply that does not count against the endpoint."""
        tally = self._tally(endpoint, now)
        tally.row = 0
        tally.total += 1

    def strike(self, endpoint: str, fault: Fault, now: float) -> bool:
        """Note a failure; true once it is past the free ones."""
        tally = self._tally(endpoint, now)
        tally.row += 1
        tally.failed += 1
        tally.total += 1
        mixed = tally.failed >= MIXED_LEAST and tally.failed > MIXED_SHARE * tally.total
        if tally.row > fault.free or mixed:
            del self._tallies[endpoint]
            return True
        return False
