"""What follows from the target by the programs' own code, without a run: sizes on the wire, rates."""

import functools
import typing

import cbor2

import dykeswitch.hollow.ground as grounds
import dykeswitch.hollow.target as targets
import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.settings as settings
import dykeswitch.timeline as timeline

T: typing.Final = targets.TARGET
BOUNDS: typing.Final = settings.Settings()


class _Still:
    """A clock that stands."""

    def now(self) -> float:
        return 1000.0

    def wall(self) -> float:
        return 1000.0

    async def sleep(self, span: float) -> None:
        return None


@functools.cache
def entry_bytes() -> float:
    """An endpoint's entry on the wire, with names as long as the hollow fleets'."""
    line = timeline.Timeline("core0", _Still(), BOUNDS.forget_s)
    fields = {
        "service": "s123",
        "address": "10.123.123.123:8000",
        "zone": "z12",
        "burden": 0.188,
        "interval": 1.0,
        "state": timeline.UP,
        "born": [123456, "core0"],
    }
    made = line.write(timeline.ENDPOINT, "s123-12345", fields, BOUNDS.forget_s - 0.123, urgent=False)
    assert made is not None
    return float(len(cbor2.dumps(made.wire(1000.0))))


@functools.cache
def layout_bytes(rules: int, services: int) -> int:
    """A layout of so many rules, as it stands in the register and travels to each proxy."""
    read = layouts.check(grounds.Size(rules=rules, services=services).layout(1))
    assert isinstance(read, outcome.Good)
    return len(layouts.pack(read.value))


def figures() -> dict[str, tuple[float, str]]:
    """Each by name, with its unit."""
    entry = entry_bytes()
    document = layout_bytes(T.rules, T.services)
    rule = document / T.rules
    day = targets.DAY_S
    every_s = day / T.changes_day
    restarts = T.restarts_day + T.failures_day
    zone = T.endpoints / T.zones
    region = T.endpoints / T.regions
    return {
        "entry_bytes": (entry, "B"),
        "table_bytes": (entry * T.endpoints, "B"),
        "beat_copy_bytes": (entry * T.endpoints, "B/s"),
        "beat_copy_over": (entry * T.endpoints / T.bytes_s, "times"),
        "beat_budget": (T.bytes_s / entry, "endpoints"),
        "changes_only_bytes": (2 * restarts * entry / day, "B/s"),
        "rule_bytes": (rule, "B"),
        "paper_bytes": (document, "B"),
        "paper_most": (BOUNDS.layout_most, "B"),
        "every_s": (every_s, "s"),
        "paper_rate": (document / every_s, "B/s"),
        "paper_over": (document / every_s / T.bytes_s, "times"),
        "paper_delta_rate": (rule / every_s, "B/s"),
        "paper_all_rate": (T.nodes * document / every_s, "B/s"),
        "paper_all_delta_rate": (T.nodes * rule / every_s, "B/s"),
        "zone_endpoints": (zone, "endpoints"),
        "region_endpoints": (region, "endpoints"),
        "region_nodes": (T.nodes / T.regions, "nodes"),
        "zone_nodes": (T.nodes / T.zones, "nodes"),
        "zone_burst_bytes": (zone * entry, "B"),
        "zone_burst_s": (zone * entry / T.bytes_s, "s"),
        "standing_polls": (float(T.nodes * T.machines), "polls"),
        "polls_each": (float(T.nodes), "polls"),
        "beats_each": (T.endpoints / T.machines, "/s"),
        "probes": (T.endpoints / BOUNDS.probe_every_s, "/s"),
        "probes_each": (T.endpoints / BOUNDS.probe_every_s / T.machines, "/s"),
        "node_requests": (T.requests_s / T.nodes, "/s"),
        "pair_every_s": (T.endpoints / (T.requests_s / T.nodes), "s"),
        "zone_pair_every_s": (zone / (T.requests_s / T.nodes), "s"),
        "cut_changes": (T.cut_off_s / every_s, "layouts"),
        "cut_restarts": (T.restarts_day / day * T.cut_off_s / T.regions, "starts"),
        "forget_s": (BOUNDS.forget_s, "s"),
        "restart_every_s": (day / restarts, "s"),
        "ops_kept_s": (register.OPS_KEPT * every_s, "s"),
        "mark_s": (BOUNDS.mark_s, "s"),
        "hold_s": (BOUNDS.hold_s, "s"),
        "shuffle_s": (BOUNDS.shuffle_s, "s"),
        "service_endpoints": (T.endpoints / T.services, "endpoints"),
        "region_table_bytes": (region * entry, "B"),
        "zone_table_bytes": (zone * entry, "B"),
    }
