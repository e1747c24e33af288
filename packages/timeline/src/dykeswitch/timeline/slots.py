"""The slots by which duties are cut: each has one owner at a time, under a fence.

The probe's slots come first, then those of lending: for each bucket of services one slot
for each part of the floor.
"""

import typing

import dykeswitch.timeline as timelines

PROBE: typing.Final = 16
BUCKETS: typing.Final = 8
PARTS: typing.Final = 3


def probe_slot(endpoint: str) -> int:
    """The slot of the probe duty that an endpoint's key falls into."""
    return timelines.slot_of(endpoint, PROBE)


def lend_slot(service: str, part: int) -> int:
    """The slot of the lender of one part of a service's floor."""
    return bucket_slots(timelines.slot_of(service, BUCKETS))[part]


def bucket_slots(bucket: int) -> list[int]:
    """The slots of one bucket of services, one for each part."""
    return [PROBE + part * BUCKETS + bucket for part in range(PARTS)]
