"""Tests of the measurement of how well a fleet serves its clients, on small fleets of unequal endpoints."""

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.worth as worths
import dykeswitch.standin.shape as shapes

SMALL = shapes.DELTA.scaled_down(0.2)


def test_the_same_seed_is_worth_the_same_and_another_way_is_told_apart() -> None:
    first = worths.measure(SMALL, 3, 2.0)
    assert first == worths.measure(SMALL, 3, 2.0)
    assert first["wanted"] > 100
    shares = [first[key] for key in ("replied_share", "refused_share", "lost_share")]
    assert abs(sum(shares) - 1) < 0.001
    assert first["within_aim_share"] <= first["replied_share"]
    assert first["p50_ms"] < first["p99_ms"]
    assert first["between_zones_bytes"] > 0

    def slow_down(fleet: fleets.SimFleet) -> None:
        for endpoint in fleet.endpoints.values():
            endpoint.work_s *= 4

    second = worths.measure(SMALL, 3, 2.0, slow_down)
    assert second["within_aim_share"] < first["within_aim_share"] / 2


def test_ways_are_compared_over_the_same_seeds() -> None:
    figures = worths.compare(SMALL, (3, 4), {"as it is": None, "the same": None}, 1.0)
    assert figures["as it is"] == figures["the same"]
    assert len(figures["as it is"]["within_aim_by_seed"]) == 2
