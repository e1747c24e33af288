"""Soundness: what counts as a failure, and the words a mark gives for it."""

import dataclasses
import typing

# The header by which an endpoint names itself, on probes and on replies alike.
SERVED_BY: typing.Final = b"dykeswitch-served-by"
# The status by which another endpoint than the one meant refuses a request unrun.
MISDIRECTED: typing.Final = 421

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
FREE: typing.Final[dict[int, int]] = {500: 1, 502: 0, 503: 0, 504: 0}
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


class Strikes:
    """Counts failures by endpoint and reason within a mark's life."""

    def __init__(self, span: float) -> None:
        self._span = span
        self._seen: dict[tuple[str, str], list[float]] = {}

    def strike(self, endpoint: str, fault: Fault, now: float) -> bool:
        """Note a failure; true once it is past the free ones."""
        key = (endpoint, fault.reason)
        seen = [t for t in self._seen.get(key, []) if now - t < self._span]
        seen.append(now)
        self._seen[key] = seen
        if len(seen) > fault.free:
            del self._seen[key]
            return True
        # An endpoint that is long gone must not be kept in mind for ever.
        if len(self._seen) > 4096:
            self._seen.clear()
        return False
