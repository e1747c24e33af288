"""Figures derived from the target without a run: rates, and sizes on the wire.

The sizes come from the code of the product itself.
"""

import functools
import typing

import cbor2

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.scale.target as targets
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines
from dykeswitch.scale.size import Size

TARGET: typing.Final = targets.TARGET
CONFIG: typing.Final = settings.Settings()


class FrozenClock:
    """A clock that always shows the same time."""

    def now(self) -> float:
        """Return a constant monotonic time."""
        return 1000.0

    def wall(self) -> float:
        """Return a constant wall-clock time."""
        return 1000.0

    async def sleep(self, duration_s: float) -> None:
        """Return immediately."""
        return None


@functools.cache
def entry_bytes() -> float:
    """Return the size of an endpoint's entry on the wire, with names as long as in the test fleets."""
    timeline = timelines.Timeline("core0", FrozenClock(), CONFIG.forget_s)
    fields = {
        "service": "s123",
        "address": "10.123.123.123:8000",
        "zone": "z12",
        "burden": 0.188,
        "interval": 1.0,
        "state": timelines.UP,
        "born": [123456, "core0"],
    }
    entry = timeline.write(timelines.ENDPOINT, "s123-12345", fields, CONFIG.forget_s - 0.123, urgent=False)
    assert entry is not None
    return float(len(cbor2.dumps(entry.to_wire(1000.0))))


@functools.cache
def layout_bytes(rules: int, services: int) -> int:
    """Return the size of a layout as stored in the register and sent to each proxy."""
    parsed = layouts.check(Size(rules=rules, services=services).layout(1))
    assert isinstance(parsed, outcome.Success)
    return len(layouts.serialize(parsed.value))


Figures = dict[str, tuple[float, str]]
# Rates at the target, over the whole fleet or per node.
CHANGE_INTERVAL_S: typing.Final = targets.DAY_S / TARGET.changes_day
STARTS_PER_DAY: typing.Final = TARGET.restarts_day + TARGET.failures_day
NODE_REQUESTS_PER_S: typing.Final = TARGET.requests_s / TARGET.nodes


def figures() -> Figures:
    """Return each figure by name, with its unit."""
    return {**_endpoint_figures(), **_document_figures(), **_rate_figures(), **_failure_figures()}


def _endpoint_figures() -> Figures:
    """Return what endpoints cost on the wire, based on the size of one entry."""
    entry_size = entry_bytes()
    zone, region = TARGET.endpoints / TARGET.zones, TARGET.endpoints / TARGET.regions
    return {
        "entry_bytes": (entry_size, "B"),
        "table_bytes": (entry_size * TARGET.endpoints, "B"),
        "beat_copy_bytes": (entry_size * TARGET.endpoints, "B/s"),
        "beat_copy_over": (entry_size * TARGET.endpoints / TARGET.bytes_s, "times"),
        "beat_budget": (TARGET.bytes_s / entry_size, "endpoints"),
        "changes_only_bytes": (2 * STARTS_PER_DAY * entry_size / targets.DAY_S, "B/s"),
        "zone_endpoints": (zone, "endpoints"),
        "region_endpoints": (region, "endpoints"),
        "service_endpoints": (TARGET.endpoints / TARGET.services, "endpoints"),
        "region_table_bytes": (region * entry_size, "B"),
        "zone_table_bytes": (zone * entry_size, "B"),
        "zone_burst_bytes": (zone * entry_size, "B"),
        "zone_burst_s": (zone * entry_size / TARGET.bytes_s, "s"),
    }


def _document_figures() -> Figures:
    """Return what layouts cost on the wire."""
    layout_size = layout_bytes(TARGET.rules, TARGET.services)
    rule = layout_size / TARGET.rules
    return {
        "rule_bytes": (rule, "B"),
        "paper_bytes": (layout_size, "B"),
        "paper_most": (CONFIG.layout_most, "B"),
        "every_s": (CHANGE_INTERVAL_S, "s"),
        "paper_rate": (layout_size / CHANGE_INTERVAL_S, "B/s"),
        "paper_over": (layout_size / CHANGE_INTERVAL_S / TARGET.bytes_s, "times"),
        "paper_delta_rate": (rule / CHANGE_INTERVAL_S, "B/s"),
        "paper_all_rate": (TARGET.nodes * layout_size / CHANGE_INTERVAL_S, "B/s"),
        "paper_all_delta_rate": (TARGET.nodes * rule / CHANGE_INTERVAL_S, "B/s"),
        "ops_kept_s": (register.MAX_OPS * CHANGE_INTERVAL_S, "s"),
    }


def _rate_figures() -> Figures:
    """Return the rates of requests, polls, heartbeats and probes, in total and per machine."""
    return {
        "region_nodes": (TARGET.nodes / TARGET.regions, "nodes"),
        "zone_nodes": (TARGET.nodes / TARGET.zones, "nodes"),
        "standing_polls": (float(TARGET.nodes * TARGET.machines), "polls"),
        "polls_each": (float(TARGET.nodes), "polls"),
        "beats_each": (TARGET.endpoints / TARGET.machines, "/s"),
        "probes": (TARGET.endpoints / CONFIG.probe_interval_s, "/s"),
        "probes_each": (TARGET.endpoints / CONFIG.probe_interval_s / TARGET.machines, "/s"),
        "node_requests": (NODE_REQUESTS_PER_S, "/s"),
        "pair_every_s": (TARGET.endpoints / NODE_REQUESTS_PER_S, "s"),
        "zone_pair_every_s": (TARGET.endpoints / TARGET.zones / NODE_REQUESTS_PER_S, "s"),
        "mark_s": (CONFIG.mark_s, "s"),
        "hold_s": (CONFIG.hold_s, "s"),
        "shuffle_s": (CONFIG.shuffle_s, "s"),
    }


def _failure_figures() -> Figures:
    """Return how much changes while a region is partitioned, and how often a process restarts."""
    return {
        "cut_changes": (TARGET.cut_off_s / CHANGE_INTERVAL_S, "layouts"),
        "cut_restarts": (TARGET.restarts_day / targets.DAY_S * TARGET.cut_off_s / TARGET.regions, "starts"),
        "forget_s": (CONFIG.forget_s, "s"),
        "restart_every_s": (targets.DAY_S / STARTS_PER_DAY, "s"),
    }
