"""What follows from the target by the programs' own code, without a run: sizes on the wire, rates."""

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

T: typing.Final = targets.TARGET
CONFIG: typing.Final = settings.Settings()


class FrozenClock:
    """A clock that stands."""

    def now(self) -> float:
        """Always the same moment."""
        return 1000.0

    def wall(self) -> float:
        """Always the same moment."""
        return 1000.0

    async def sleep(self, duration_s: float) -> None:
        """Return at once."""
        return None


@functools.cache
def entry_bytes() -> float:
    """An endpoint's entry on the wire, with names as long as the test fleets'."""
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
    made = timeline.write(timelines.ENDPOINT, "s123-12345", fields, CONFIG.forget_s - 0.123, urgent=False)
    assert made is not None
    return float(len(cbor2.dumps(made.to_wire(1000.0))))


@functools.cache
def layout_bytes(rules: int, services: int) -> int:
    """A layout of so many rules, as it stands in the register and travels to each proxy."""
    read = layouts.check(Size(rules=rules, services=services).layout(1))
    assert isinstance(read, outcome.Success)
    return len(layouts.serialize(read.value))


Figures = dict[str, tuple[float, str]]
# Rates that hold for the whole target.
CHANGE_EVERY_S: typing.Final = targets.DAY_S / T.changes_day
STARTS_DAY: typing.Final = T.restarts_day + T.failures_day
NODE_REQUESTS_S: typing.Final = T.requests_s / T.nodes


def figures() -> Figures:
    """Each by name, with its unit."""
    return {**_endpoint_figures(), **_document_figures(), **_rate_figures(), **_failure_figures()}


def _endpoint_figures() -> Figures:
    """What endpoints cost on the wire, by the size of one entry."""
    entry = entry_bytes()
    zone, region = T.endpoints / T.zones, T.endpoints / T.regions
    return {
        "entry_bytes": (entry, "B"),
        "table_bytes": (entry * T.endpoints, "B"),
        "beat_copy_bytes": (entry * T.endpoints, "B/s"),
        "beat_copy_over": (entry * T.endpoints / T.bytes_s, "times"),
        "beat_budget": (T.bytes_s / entry, "endpoints"),
        "changes_only_bytes": (2 * STARTS_DAY * entry / targets.DAY_S, "B/s"),
        "zone_endpoints": (zone, "endpoints"),
        "region_endpoints": (region, "endpoints"),
        "service_endpoints": (T.endpoints / T.services, "endpoints"),
        "region_table_bytes": (region * entry, "B"),
        "zone_table_bytes": (zone * entry, "B"),
        "zone_burst_bytes": (zone * entry, "B"),
        "zone_burst_s": (zone * entry / T.bytes_s, "s"),
    }


def _document_figures() -> Figures:
    """What layouts cost on the wire."""
    document = layout_bytes(T.rules, T.services)
    rule = document / T.rules
    return {
        "rule_bytes": (rule, "B"),
        "paper_bytes": (document, "B"),
        "paper_most": (CONFIG.layout_most, "B"),
        "every_s": (CHANGE_EVERY_S, "s"),
        "paper_rate": (document / CHANGE_EVERY_S, "B/s"),
        "paper_over": (document / CHANGE_EVERY_S / T.bytes_s, "times"),
        "paper_delta_rate": (rule / CHANGE_EVERY_S, "B/s"),
        "paper_all_rate": (T.nodes * document / CHANGE_EVERY_S, "B/s"),
        "paper_all_delta_rate": (T.nodes * rule / CHANGE_EVERY_S, "B/s"),
        "ops_kept_s": (register.MAX_OPS * CHANGE_EVERY_S, "s"),
    }


def _rate_figures() -> Figures:
    """How often each machine is asked, and by how many."""
    return {
        "region_nodes": (T.nodes / T.regions, "nodes"),
        "zone_nodes": (T.nodes / T.zones, "nodes"),
        "standing_polls": (float(T.nodes * T.machines), "polls"),
        "polls_each": (float(T.nodes), "polls"),
        "beats_each": (T.endpoints / T.machines, "/s"),
        "probes": (T.endpoints / CONFIG.probe_interval_s, "/s"),
        "probes_each": (T.endpoints / CONFIG.probe_interval_s / T.machines, "/s"),
        "node_requests": (NODE_REQUESTS_S, "/s"),
        "pair_every_s": (T.endpoints / NODE_REQUESTS_S, "s"),
        "zone_pair_every_s": (T.endpoints / T.zones / NODE_REQUESTS_S, "s"),
        "mark_s": (CONFIG.mark_s, "s"),
        "hold_s": (CONFIG.hold_s, "s"),
        "shuffle_s": (CONFIG.shuffle_s, "s"),
    }


def _failure_figures() -> Figures:
    """What changes while a region is cut off, and how often something starts anew."""
    return {
        "cut_changes": (T.cut_off_s / CHANGE_EVERY_S, "layouts"),
        "cut_restarts": (T.restarts_day / targets.DAY_S * T.cut_off_s / T.regions, "starts"),
        "forget_s": (CONFIG.forget_s, "s"),
        "restart_every_s": (targets.DAY_S / STARTS_DAY, "s"),
    }
