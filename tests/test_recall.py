"""What survives the loss of a core, or of all machines at once, in a small simulated fleet."""

import asyncio
import json
import pathlib
import typing

import pytest

import dykeswitch.register as register
import dykeswitch.registry.heartbeats as heartbeats
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.registry.upkeep as upkeeps
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.standin.shape as shapes
import dykeswitch.timeline as timelines

PAGES: typing.Final = shapes.ServiceShape("pages", 3, 20, "/pages", "GET", 0.05)
SMALL: typing.Final = shapes.Shape("small", 2, 3, ("z1", "z2"), (PAGES,))


def _run(
    folder: pathlib.Path,
    work: typing.Callable[[fleets.SimFleet], typing.Awaitable[None]],
    bounds: dict[str, typing.Any] | None = None,
) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, folder, bounds=bounds)
        await fleet.start()
        await work(fleet)

    loops.run(main())


def _numbered(number: int, path: str) -> dict[str, typing.Any]:
    doc = SMALL.layout()
    doc["rules"].append({"path": path, "service": "pages"})
    return {**doc, "number": number}


def test_of_numbered_layouts_the_highest_wins_whatever_comes_after(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        first = await fleet.put(_numbered(7, "/seven"), fleet.cores[0])
        assert first.status == 200
        # The same layout again, and an older one, are acknowledged without any change.
        for doc in (_numbered(7, "/seven"), _numbered(3, "/three")):
            again = await fleet.put(doc, fleet.cores[1])
            assert (again.status, again.version) == (200, first.version)
        # A different layout under the same number, or under the superseded one, is never confirmed.
        for doc in (_numbered(7, "/other"), _numbered(3, "/other")):
            for core in fleet.cores:
                assert (await fleet.put(doc, core)).status == 409
        got = await fleet.get(fleet.cores[2])
        assert json.loads(got.body) == _numbered(7, "/seven")
        # A layout without a number can't be ordered among numbered ones.
        assert (await fleet.put(SMALL.layout(), fleet.cores[0])).status == 412
        later = await fleet.put(_numbered(40, "/forty"), fleet.cores[2])
        assert later.status == 200 and later.version > first.version

    _run(tmp_path, work)


async def _leave(fleet: fleets.SimFleet, name: str, core: machines.Core) -> int:
    body = json.dumps({"id": name, "leaving": True}).encode()
    response = await fleet.outside.web.request("POST", core.web, "/v1/beat", [], body, 2.0)
    return response.status


@pytest.mark.parametrize("guarded", [True, False])
def test_a_core_that_goes_dark_with_its_word_does_not_take_a_leaving_along(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the loss of a leaving if the core fails right after acknowledging it."""
    if not guarded:

        async def at_once(self: typing.Any, name: str, acknowledgement: typing.Any) -> typing.Any:
            return acknowledgement

        monkeypatch.setattr(heartbeats.Heartbeats, "_acknowledge_leaving", at_once)

    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        fleet.endpoints["pages-0"].heartbeats_enabled = False
        # From now on its calls to others are lost, while clients still reach it.
        if not guarded:
            names = [n for n in fleet.world.nodes if n != core.registry.name]
            fleet.world.links.cut([core.registry.name], names)
        assert await _leave(fleet, "pages-0", core) == 200
        core.registry.lose_power()
        await asyncio.sleep(1.0)
        others = [c.registry.daemon.timeline.get(timelines.ENDPOINT, "pages-0") for c in fleet.cores[1:]]
        known = all(e is not None and e.fields["state"] == timelines.LEFT for e in others)
        assert known is guarded

    _run(tmp_path, work)


def test_a_core_that_reaches_no_other_sends_a_leaving_endpoint_elsewhere(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        fleet.endpoints["pages-0"].heartbeats_enabled = False
        others = [n for c in fleet.cores[1:] for n in c.names()]
        fleet.world.links.cut([core.registry.name], others)
        assert await _leave(fleet, "pages-0", core) == 503
        assert await _leave(fleet, "pages-0", fleet.cores[1]) == 200

    _run(tmp_path, work)


async def _restart_all(fleet: fleets.SimFleet) -> None:
    for core in fleet.cores:
        core.registry.lose_power()
        core.store.lose_power()
    for edge in fleet.edges:
        edge.node.lose_power()
    await asyncio.sleep(0.5)
    for core in fleet.cores:
        core.store.restart()
        core.registry.restart()
    for edge in fleet.edges:
        edge.node.restart()


@pytest.mark.parametrize("guarded", [True, False])
def test_endpoints_outlast_the_loss_of_every_machine_for_a_beat_and_a_half(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not guarded:

        async def nothing(self: upkeeps.Upkeep) -> bool:
            return True

        monkeypatch.setattr(upkeeps.Upkeep, "_restore_table", nothing)

    async def work(fleet: fleets.SimFleet) -> None:
        await asyncio.sleep(2.0)
        for endpoint in fleet.endpoints.values():
            endpoint.heartbeats_enabled = False
        # The last heartbeats arrive before the power loss.
        await asyncio.sleep(1.2)
        await _restart_all(fleet)
        await asyncio.sleep(1.0)
        known = [len(edge.node.daemon.carrier.selector.up("pages")) for edge in fleet.edges]
        assert (known == [3, 3]) is guarded
        # Endpoints that send no heartbeat expire again.
        await asyncio.sleep(2.0)
        assert [len(edge.node.daemon.carrier.selector.up("pages")) for edge in fleet.edges] == [0, 0]

    _run(tmp_path, work)


def test_what_is_remembered_gives_way_to_what_is_heard_and_to_what_left() -> None:
    async def main() -> None:
        timeline = timelines.Timeline("r", _Clock(), 900.0)
        fields: timelines.Fields = {"service": "s", "address": "10.0.0.1:1", "state": "up", "born": [0, "r"]}
        timeline.write(timelines.ENDPOINT, "a", {**fields, "remembered": True}, 2.0, urgent=False)
        # A heartbeat that another registry recorded, with a lower sequence number than ours.
        assert timeline.merge([["endpoint", "a", 1, "b", {**fields, "zone": "z"}, 50.0]]) == 1
        entry = timeline.get(timelines.ENDPOINT, "a")
        assert entry is not None and "remembered" not in entry.fields
        timeline.write(timelines.ENDPOINT, "a", {**fields, "remembered": True}, 2.0, urgent=False)
        entry = timeline.get(timelines.ENDPOINT, "a")
        assert entry is not None and "remembered" not in entry.fields

    asyncio.run(main())


class _Clock:
    def now(self) -> float:
        return 10.0

    def wall(self) -> float:
        return 10.0

    async def sleep(self, duration_s: float) -> None:
        return None


@pytest.mark.parametrize("guarded", [True, False])
def test_an_empty_disk_at_a_seated_ones_address_is_seated_without_a_wait(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old disk can't come back where another one answers: waiting would only prolong the risk."""
    durations_s: list[float] = []
    if not guarded:

        def long_silent(self: reconfigurations.Reconfiguration, members: register.MemberSet) -> list[str]:
            return [d for d in members.disks() if self.silent_s(d) >= self._config.disk_replace_after_s]

        monkeypatch.setattr(reconfigurations.Reconfiguration, "_lost", long_silent)

    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[2]
        core.store.lose_power()
        core.store.wipe()
        core.store.restart()

        def has_vote() -> bool:
            daemon = core.store.daemon
            return bool(
                daemon is not None and daemon.voter.has_vote() and not daemon.voter.members.is_joint()
            )

        durations_s.append(await fleet.until(has_vote, 15, "the empty disk has a vote"))

    # As long a silence as without a bound on repair, so that the effect of the guard is visible.
    _run(tmp_path, work, bounds={"catch_up_s": 12.0})
    limit_s = 15.0 / 5
    assert (durations_s[0] < limit_s * 0.9) is guarded, durations_s


@pytest.mark.parametrize("lost", [2, 1])
def test_a_set_founded_by_three_grows_to_bear_the_loss_of_as_many_as_may_go(
    lost: int, tmp_path: pathlib.Path
) -> None:
    """Guards against the loss of the majority if two of the three founders among five cores fail."""
    shape = shapes.Shape("wide", 2, 5, ("z1", "z2"), (PAGES,))

    async def main() -> None:
        fleet = fleets.SimFleet(shape, 7, tmp_path, bounds={"cores_lost": lost}, known=3)
        await fleet.start()
        await asyncio.sleep(5.0)
        size = {len(c.store.daemon.voter.members.disks()) for c in fleet.cores[:3]}
        assert size == {2 * lost + 1}
        for core in fleet.cores[:lost]:
            core.registry.lose_power()
            core.store.lose_power()
        put = await fleet.put(_numbered(9, "/nine"), fleet.cores[-1])
        assert put.status == 200

    loops.run(main())
