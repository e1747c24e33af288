"""Whole fleets in the simulator: each failure of the brief under fixed seeds."""

import pytest

import dykeswitch.simulator.scenario as scenarios
import dykeswitch.simulator.trial as trials


@pytest.mark.parametrize("fault", sorted(scenarios.FAULTS))
def test_a_day_with_one_fault_holds(fault: str) -> None:
    # The shapes take turns, so that CI sees both within its time.
    shape = "ghent" if sorted(scenarios.FAULTS).index(fault) % 2 else "lima"
    verdict = trials.one_day(shape, 11, (fault,), 0.1)
    assert verdict.breaches == {}
    assert verdict.figures["asked"] > 300
    # No day passes because nothing was asked or answered.
    assert verdict.figures["replied"] > 0.6 * verdict.figures["asked"]


@pytest.mark.parametrize("seed", [21, 22])
def test_a_mixed_day_holds(seed: int) -> None:
    verdict = trials.one_day("ghent", seed, trials.mixed(seed), 0.1)
    assert verdict.breaches == {}


def test_the_same_seed_gives_the_same_day() -> None:
    one = trials.one_day("lima", 5, ("kill_herd",), 0.1)
    two = trials.one_day("lima", 5, ("kill_herd",), 0.1)
    assert one.figures == two.figures
    assert one.notes == two.notes
