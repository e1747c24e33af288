"""What a fleet is worth, on small fleets of unequal endpoints."""

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.worth as worths
import dykeswitch.standin.shape as shapes

SMALL = shapes.DELTA.scaled_down(0.2)


def test_the_same_seed_is_worth_the_same_and_another_way_is_told_apart() -> None:
    one = worths.worth(SMALL, 3, 2.0)
    assert one == worths.worth(SMALL, 3, 2.0)
    assert one["wanted"] > 100
    shares = [one[key] for key in ("replied_share", "refused_share", "lost_share")]
    assert abs(sum(shares) - 1) < 0.001
    assert one["within_aim_share"] <= one["replied_share"]
    assert one["p50_ms"] < one["p99_ms"]
    assert one["between_zones_bytes"] > 0

    def lame(fleet: fleets.SimFleet) -> None:
        for endpoint in fleet.endpoints.values():
            endpoint.work_s *= 4

    two = worths.worth(SMALL, 3, 2.0, lame)
    assert two["within_aim_share"] < one["within_aim_share"] / 2


def test_ways_are_compared_over_the_same_seeds() -> None:
    pages = worths.compare(SMALL, (3, 4), {"as it is": None, "the same": None}, 1.0)
    assert pages["as it is"] == pages["the same"]
    assert len(pages["as it is"]["within_aim_by_seed"]) == 2
