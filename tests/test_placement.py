"""Placement of votes: required losses are survived wherever the machines allow it."""

import itertools
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

import dykeswitch.register as register
import dykeswitch.register.placement as placement
import dykeswitch.register.replica as replicas

Sites = dict[str, replicas.Site]


@st.composite
def _sites(draw: st.DrawFn) -> Sites:
    """Up to seven machines in up to four zones of up to three regions."""
    region_of = [draw(st.integers(0, 2)) for _ in range(4)]
    zones = draw(st.lists(st.integers(0, 3), min_size=1, max_size=7))
    return {f"d{n}": replicas.Site(f"z{zone}", f"r{region_of[zone]}") for n, zone in enumerate(zones)}


_TOLERANCES: typing.Final = st.builds(
    placement.Tolerance, st.integers(0, 2), st.integers(0, 1), st.integers(0, 1)
)


def _survives(voters: typing.Collection[str], sites: Sites, tolerance: placement.Tolerance) -> bool:
    """Whether a majority remains after each possible loss, found by trying all of them."""
    zones = sorted({sites[d].zone for d in voters})
    regions = sorted({sites[d].region for d in voters})
    losses = [set(c) for c in itertools.combinations(sorted(voters), min(tolerance.machines, len(voters)))]
    for lost in itertools.combinations(zones, min(tolerance.zones, len(zones))):
        losses.append({d for d in voters if sites[d].zone in lost})
    for lost in itertools.combinations(regions, min(tolerance.regions, len(regions))):
        losses.append({d for d in voters if sites[d].region in lost})
    return all(len(set(voters) - lost) * 2 > len(voters) for lost in losses)


def _steps_until_stable(
    voters: set[str], departing: list[str], sites: Sites, tolerance: placement.Tolerance
) -> list[set[str]]:
    """Every set of voters that successive changes lead through, until there is no further change."""
    steps = [set(voters)]
    removed: set[str] = set()
    while True:
        current = steps[-1]
        spares = set(sites) - current - removed - set(departing)
        leaving = [d for d in departing if d in current]
        change = placement.next_change(sorted(current), leaving, sorted(spares), sites, tolerance)
        if change is None:
            return steps
        assert len(steps) < 20, "the changes never end"
        assert set(change.remove) <= current and not set(change.add) & current
        assert len(change.remove) <= len(change.add), "a vote was removed without a replacement"
        assert len(change.remove) <= 1, "more than one vote moved at once"
        steps.append((current - set(change.remove)) | set(change.add))


@hypothesis.given(_sites(), _TOLERANCES)
@hypothesis.settings(max_examples=300, deadline=None)
def test_borne_is_what_trying_every_loss_finds(sites: Sites, tolerance: placement.Tolerance) -> None:
    assert placement.is_survivable(list(sites), sites, tolerance) == _survives(list(sites), sites, tolerance)


@hypothesis.given(_sites(), _TOLERANCES, st.data())
@hypothesis.settings(max_examples=300, deadline=None)
def test_what_any_choice_of_one_kind_of_domain_bears_is_borne_in_the_end(
    sites: Sites, tolerance: placement.Tolerance, data: st.DataObject
) -> None:
    # Zones and regions together may conflict; a deployment sets the tolerance for one of them.
    if tolerance.zones and tolerance.regions:
        tolerance = placement.Tolerance(tolerance.machines, tolerance.zones, 0)
    voters = set(data.draw(st.lists(st.sampled_from(sorted(sites)), min_size=1, max_size=3, unique=True)))
    end = _steps_until_stable(voters, [], sites, tolerance)[-1]
    possible = any(
        _survives(choice, sites, tolerance)
        for size in range(max(len(voters), 2 * tolerance.machines + 1), len(sites) + 1)
        for choice in itertools.combinations(sorted(sites), size)
    )
    assert _survives(end, sites, tolerance) or not possible


@hypothesis.given(_sites(), _TOLERANCES, st.data())
@hypothesis.settings(max_examples=200, deadline=None)
def test_a_departing_voter_gives_way_whenever_there_is_a_spare(
    sites: Sites, tolerance: placement.Tolerance, data: st.DataObject
) -> None:
    voters = data.draw(st.lists(st.sampled_from(sorted(sites)), min_size=1, unique=True))
    departing = data.draw(st.lists(st.sampled_from(voters), unique=True))
    end = _steps_until_stable(set(voters), departing, sites, tolerance)[-1]
    spares = set(sites) - set(voters)
    assert len(end) >= len(voters)
    assert len(end & set(departing)) == max(0, len(departing) - len(spares))


def test_a_set_that_bears_its_losses_is_left_alone() -> None:
    sites = {f"d{n}": replicas.Site(f"z{n % 2}") for n in range(5)}
    assert placement.next_change(["d0", "d2", "d4"], [], ["d1", "d3"], sites, placement.Tolerance(1)) is None


def test_three_founders_of_one_zone_give_two_votes_to_others() -> None:
    sites = {f"d{n}": replicas.Site(zone) for n, zone in enumerate(["z1", "z1", "z1", "z2", "z3"])}
    steps = _steps_until_stable({"d0", "d1", "d2"}, [], sites, placement.Tolerance(1, 1))
    assert len(steps) == 3
    assert sorted(sites[d].zone for d in steps[-1]) == ["z1", "z2", "z3"]


@pytest.mark.parametrize(
    ("group", "answering", "machines", "zones"),
    [
        ("abc", "abc", 1, 0),
        ("abcde", "abcde", 2, 1),
        ("abcde", "abcd", 1, 0),
        ("abcde", "abc", 0, 0),
        ("abcde", "ab", -1, -1),
        ("abcd", "abcd", 1, 0),
    ],
)
def test_what_may_be_lost_now(group: str, answering: str, machines: int, zones: int) -> None:
    sites = dict(zip("abcde", [replicas.Site(z) for z in ("z1", "z1", "z2", "z2", "z3")]))
    pairs = tuple((d, "10.0.0.1:1") for d in group)

    def by_zone(disks: list[str]) -> dict[str, int]:
        return placement.votes_by_zone(disks, sites)

    assert placement.survivable_losses((pairs,), answering, lambda disks: dict.fromkeys(disks, 1)) == machines
    assert placement.survivable_losses((pairs,), answering, by_zone) == zones


_MEMBERS: typing.Final = register.MemberSet(3, ((("d", "10.0.0.1:1"),),))


def test_a_state_comes_back_from_the_wire_as_it_was() -> None:
    state = replicas.ReplicaState(
        "d", False, True, _MEMBERS, "", replicas.Site("z", "r", False), True, True, "10.0.0.1:1"
    )
    assert replicas.decode(state.encode(), "10.0.0.1:1") == state


def test_a_long_fault_of_a_disk_does_not_make_its_state_an_odd_one() -> None:
    fault = "[Errno 28] No space left on device: " + "/long" * 100
    state = replicas.ReplicaState("d", False, True, _MEMBERS, fault)
    decoded = replicas.decode(state.encode(), "10.0.0.1:1")
    assert decoded.damaged and fault.startswith(decoded.damaged)
    assert decoded.members == _MEMBERS


def test_a_state_without_the_later_fields_is_one_that_counts_and_stays() -> None:
    old = {"disk": "d", "blank": True, "seated": False, "set": [0, []], "damaged": ""}
    state = replicas.decode(old, "10.0.0.1:1")
    assert state.site == replicas.Site("", "", True)
    assert state.spare and not state.leaving and not state.erased


@pytest.mark.parametrize(
    "more",
    [
        {"disk": ""},
        {"disk": 7},
        {"blank": "yes"},
        {"set": None},
        {"set": [1, []]},
        {"set": 5},
        {"zone": 7},
        {"region": "r" * 1000},
        {"eligible": "no"},
        {"leaving": 1},
        {"erased": None},
    ],
)
def test_an_odd_state_is_refused(more: dict[str, typing.Any]) -> None:
    body = {"disk": "d", "blank": True, "seated": False, "set": [0, []], "damaged": "", **more}
    with pytest.raises(ValueError):
        replicas.decode(body, "10.0.0.1:1")
