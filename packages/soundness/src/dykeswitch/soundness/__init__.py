"""Health of endpoints: which outcomes count as failures, and the reasons that marks give for them."""

import dataclasses
import typing

# The header in which an endpoint states its id, in responses to probes and to requests alike.
SERVED_BY: typing.Final = b"dykeswitch-served-by"
# The status with which an endpoint refuses, without running it, a request for another endpoint.
MISDIRECTED: typing.Final = 421
# The status that tells clients that the request has not run and will not run.
UNAVAILABLE: typing.Final = 503

# Reasons of failures, in plain words for operators.
REFUSED: typing.Final = "refused the pipe"
UNREACHABLE: typing.Final = "could not be reached"
TIMED_OUT: typing.Final = "timed out"
BROKE_OFF: typing.Final = "broke off"
GARBAGE: typing.Final = "answered garbage"
WRONG_ID: typing.Final = "wrong identity on probe"
WRONG_ID_REPLY: typing.Final = "wrong identity on reply"
PROBE_TIMED_OUT: typing.Final = "timed out on probe"
UNFRAMED: typing.Final = "answered without a length"
FOREIGN_RESPONSE: typing.Final = "answered another exchange"

# Statuses that count as failures of the endpoint, with the number of failures in a row that are
# tolerated before a mark is set. The requirements mark on any status but 200, but only these say that
# the endpoint itself fails; the others concern the request. One client's harmful request may cause a
# 500, and a client's short timeout a 504. A refusal that promises not to have run the request may be
# an endpoint that protects itself.
TOLERATED_BY_STATUS: typing.Final[dict[int, int]] = {500: 1, 502: 0, 503: 0, 504: 2}
TOLERATED_PROMISED: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One failure of an endpoint: its reason, and the failures tolerated before a mark is set."""

    reason: str
    tolerated: int = 0


def status_fault(status: int, promised: bool) -> Fault | None:
    """Return the fault that a response's status stands for, or None if it is no failure."""
    tolerated = TOLERATED_BY_STATUS.get(status)
    if tolerated is None:
        return None
    return Fault(f"answered {status}", max(tolerated, TOLERATED_PROMISED) if promised else tolerated)


# Failures that load or a client may cause, and how many of them in a row are tolerated. An endpoint
# that could not be reached in time is one of them: the cause may be this machine's own link, which
# fails for all endpoints alike when it is full.
TOLERATED_TRANSIENT: typing.Final = 2
TRANSIENT: typing.Final = frozenset({UNREACHABLE, TIMED_OUT, BROKE_OFF, GARBAGE, FOREIGN_RESPONSE, UNFRAMED})
# Failures between successes mark an endpoint as well, if there are at least this many and they are
# more than this share of all attempts.
MIN_MIXED_FAILURES: typing.Final = 4.0
MIXED_FAILURE_SHARE: typing.Final = 0.25


def no_response_fault(reason: str) -> Fault:
    """Return the fault that an attempt without a response stands for."""
    return Fault(reason, TOLERATED_TRANSIENT if reason in TRANSIENT else 0)


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """Recent outcomes of one endpoint: failures in a row, and decaying counts."""

    consecutive_failures: int = 0
    failures: float = 0.0
    attempts: float = 0.0
    updated_at: float = 0.0


class FailureTracker:
    """Decides from one proxy's exchanges when an endpoint has failed often enough for a mark.

    An endpoint is marked when it fails more often in a row than is tolerated. It is also marked when
    too large a share of its attempts fails, since an endpoint that fails one request in three never
    fails many in a row.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._records: dict[str, EndpointRecord] = {}

    def _record(self, endpoint: str, now: float) -> EndpointRecord:
        record = self._records.get(endpoint)
        if record is None:
            # Endpoints that are long gone must not be remembered forever.
            if len(self._records) > 4096:
                self._records.clear()
            record = self._records[endpoint] = EndpointRecord(updated_at=now)
        age_s = now - record.updated_at
        if age_s > self._half_life_s:
            record.consecutive_failures = 0
        fade = 0.5 ** (age_s / self._half_life_s)
        record.failures *= fade
        record.attempts *= fade
        record.updated_at = now
        return record

    def record_success(self, endpoint: str, now: float) -> None:
        """Record a response that does not count against the endpoint."""
        record = self._record(endpoint, now)
        record.consecutive_failures = 0
        record.attempts += 1

    def record_failure(self, endpoint: str, fault: Fault, now: float) -> bool:
        """Record a failure, and return whether the endpoint is to be marked."""
        record = self._record(endpoint, now)
        record.consecutive_failures += 1
        record.failures += 1
        record.attempts += 1
        mixed = (
            record.failures >= MIN_MIXED_FAILURES and record.failures > MIXED_FAILURE_SHARE * record.attempts
        )
        if record.consecutive_failures > fault.tolerated or mixed:
            del self._records[endpoint]
            return True
        return False
