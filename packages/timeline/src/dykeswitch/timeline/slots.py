"""The slots into which probing and lending are divided: each has one owner at a time, under a fence.

Probe slots come first, then lending slots: each bucket of services has one slot for each part
of the guaranteed retry tokens (the floor).
"""

import typing

import dykeswitch.timeline as timelines

PROBE: typing.Final = 16
BUCKETS: typing.Final = 8
PARTS: typing.Final = 3


def probe_slot(endpoint: str) -> int:
    """Returns the slot whose owner probes an endpoint."""
    return timelines.slot_of(endpoint, PROBE)


def lend_slot(service: str, part: int) -> int:
    """Returns the slot whose owner lends one part of a service's floor."""
    return bucket_slots(timelines.slot_of(service, BUCKETS))[part]


def bucket_slots(bucket: int) -> list[int]:
    """Returns the lending slots of a bucket of services, one for each part."""
    return [PROBE + part * BUCKETS + bucket for part in range(PARTS)]
