"""Repair without traffic: stale copies are updated, and views of members drop dead ones."""

import asyncio
import json
import pathlib
import typing

import pytest

import dykeswitch.register as register
import dykeswitch.register.storage as storage
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.shape as shapes

SMALL: typing.Final = shapes.Shape(
    "small", 3, 3, ("z1", "z2"), (shapes.ServiceShape("pages", 2, 1, "/pages", "GET", 0.01),)
)


def _ballots(fleet: fleets.SimFleet) -> set[typing.Any]:
    # A store that never voted on the layout has no state for it: a read does not create one.
    key_states = [core.store.daemon.voter._key_states.get("layout") for core in fleet.cores]
    return {register.ZERO_BALLOT if key_state is None else key_state.ballot for key_state in key_states}


def test_a_store_that_missed_a_change_is_mended_without_traffic(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 3, tmp_path)
        await fleet.start()
        store = fleet.cores[2].store
        store.lose_power()
        doc = SMALL.layout()
        doc["rules"].append({"path": "/more", "service": "pages"})
        await fleet.apply(doc)
        store.restart()
        await fleet.until(lambda: store.daemon is not None and store.daemon.voter.has_vote(), 5, "the store")
        assert len(_ballots(fleet)) > 1
        took = await fleet.until(lambda: len(_ballots(fleet)) == 1, 20, "all copies the same")
        # A sweep runs every third of `recover_s`.
        assert took < 7.0

    loops.run(main())


def test_views_forget_the_dead_and_islands_meet_again(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 4, tmp_path)
        await fleet.start()
        dead_node = fleet.edges[2].node
        dead_node.lose_power()
        others = [e.node for e in fleet.edges[:2]] + [c.registry for c in fleet.cores]

        def forgotten() -> bool:
            return all(dead_node.name not in node.daemon.gossip.view for node in others)

        assert await fleet.until(forgotten, 30, "the dead member dropped") < 15.0
        inside = [fleet.edges[0].node.name]
        fleet.world.links.cut(inside, [n for n in fleet.world.nodes if n not in inside])
        isolated_proxy = fleet.edges[0].node.daemon
        await fleet.until(
            lambda: isolated_proxy.ready() == "reaches no other node", 5, "not ready while isolated"
        )
        await asyncio.sleep(30.0)
        fleet.world.links.heal()
        assert await fleet.until(lambda: isolated_proxy.ready() is None, 15, "ready again") < 5.0

    loops.run(main())


@pytest.mark.parametrize(
    "point",
    [
        reconfigurations.POINT_JOINT_WRITTEN,
        reconfigurations.POINT_JOINT_INSTALLED,
        reconfigurations.POINT_SWEPT,
        reconfigurations.POINT_NEW_WRITTEN,
    ],
)
def test_a_swap_is_finished_though_its_driver_dies_at_any_point(point: int, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 5, tmp_path)
        await fleet.start()
        version = await fleet.apply({**SMALL.layout(), "services": {"pages": {}, "spare": {}}})
        failures: list[str] = []

        def arm(node: worlds.Node) -> None:
            def die() -> None:
                failures.append(node.name)
                node.kill()
                fleet.world.loop.call_later(1.0, node.restart, context=loops.EMPTY_CONTEXT)

            node.fault_points.armed[point] = die

        for core in fleet.cores:
            arm(core.registry)
        old = fleet.cores.pop(2)
        old.store.lose_power()
        old.registry.lose_power()
        new_core = fleet.core("core-new", 2, fleet.world.address(), fleet.world.address())
        fleet.cores.append(new_core)
        arm(new_core.registry)
        new_core.store.start()
        new_core.registry.start()

        def all_vote() -> bool:
            voters = [core.store.daemon.voter for core in fleet.cores if core.store.daemon is not None]
            return len(voters) == 3 and all(v.has_vote() and not v.members.is_joint() for v in voters)

        await fleet.until(all_vote, 40, "the new disk has a vote")
        assert failures
        await asyncio.sleep(3.0)
        got = await fleet.get(new_core)
        assert (got.status, got.version) == (200, version)

    loops.run(main())


def test_health_and_history_are_put_together_from_all_registries(tmp_path: pathlib.Path) -> None:
    """Each endpoint is probed by only one registry, and a restarted registry has lost its history."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 6, tmp_path)
        await fleet.start()
        fleet.endpoints["pages-0"].plan.fault = "status_502"
        proxy = fleet.edges[0]
        for _ in range(6):
            await fleet.clients.send_request(SMALL.services[0], proxy.web)
        await asyncio.sleep(12.0)
        restarted_core = fleet.cores[0]
        restarted_core.registry.restart()
        await fleet.until(lambda: restarted_core.registry.daemon is not None, 5, "the registry")
        await fleet.until(
            lambda: len(restarted_core.registry.daemon.gossip.cores()) == 2, 15, "the other cores"
        )
        reply = await fleet.outside.web.request("GET", restarted_core.web, "/v1/health", [], b"", 5.0)
        page = json.loads(reply.body)["services"]["pages"]
        checked = [line["lastChecked"] for side in page.values() for line in side]
        assert len(checked) == 2
        assert all(checked)
        history = await fleet.query("show history endpoint pages-0", restarted_core)
        assert history is not None
        marks = [row for row in history["rows"] if row[3] == "answered 502"]
        # The proxy that wrote the mark, and the number of cores that received it.
        assert [(row[4], row[6]) for row in marks][0] == (proxy.node.name, 2)

    loops.run(main())


def _lose_power_at(fleet: fleets.SimFleet, node: worlds.Node, point: int, failures: list[int]) -> None:
    """Power is lost when the fault point is passed next, and returns a second later."""

    def lose_power() -> None:
        failures.append(point)
        node.lose_power()
        fleet.world.loop.call_later(1.0, node.restart, context=loops.EMPTY_CONTEXT)
        raise OSError("power")

    node.fault_points.armed[point] = lose_power


@pytest.mark.parametrize("point", range(storage.POINT_BEFORE, storage.POINT_OLD_DROPPED + 1))
def test_power_lost_at_each_point_of_founding_and_sweeping(point: int, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 10 + point, tmp_path)
        failures: list[int] = []
        store = fleet.cores[1].store
        # The first write is the disk's own id, the second one the founding member set.
        passes = 0

        def arm_after_first_pass() -> None:
            nonlocal passes
            passes += 1
            if passes == 1:
                store.fault_points.armed[point] = arm_after_first_pass
            else:
                _lose_power_at(fleet, store, point, failures)

        store.fault_points.armed[point] = arm_after_first_pass
        await fleet.start()
        voters = [core.store for core in fleet.cores]
        await fleet.until(
            lambda: all(v.up and v.daemon.voter.has_vote() for v in voters), 20, "all stores have a vote"
        )
        assert failures
        # The same for the write by which a sweep updates a stale copy.
        store.lose_power()
        version = await fleet.apply({**SMALL.layout(), "services": {"pages": {}, "spare": {}}})
        _lose_power_at(fleet, store, point, failures)
        store.restart()
        await fleet.until(lambda: len(failures) > 1, 20, "power lost in a repair write")
        await asyncio.sleep(2.0)
        await fleet.until(lambda: store.up and len(_ballots(fleet)) == 1, 20, "all copies the same")
        assert not store.crash
        got = await fleet.get(fleet.cores[1])
        assert (got.status, got.version) == (200, version)

    loops.run(main())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_proxy_that_was_cut_off_is_not_ready_before_it_has_caught_up(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """The first message may come from any member; the missed change arrives a little later."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 20 + seed, tmp_path)
        await fleet.start()
        node = fleet.edges[0].node
        fleet.world.links.cut([node.name], [n for n in fleet.world.nodes if n != node.name])
        await asyncio.sleep(0.5)
        version = await fleet.apply({**SMALL.layout(), "services": {"pages": {}, "spare": {}}})
        await asyncio.sleep(5.0)
        request = await fleet.clients.send_request(SMALL.services[0], fleet.edges[0].web)
        assert request.result == 116
        assert request.ended_at - request.started_at < 0.05
        fleet.world.links.heal()
        while node.daemon.ready() is not None:  # noqa: ASYNC110
            await asyncio.sleep(0.0001)
        assert node.daemon.documents.version("layout") == version

    loops.run(main())
