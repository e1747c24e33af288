"""A registry's answers with and without a majority of stores, at start and stop, and on a stalled disk.

The table in docs/control-safety.md names the test of each of its cells.
"""

import asyncio
import json
import pathlib
import typing

import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.registry.heartbeats as heartbeats
import dykeswitch.registry.upkeep as upkeeps
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.standin.shape as shapes
import dykeswitch.timeline as timelines

PAGES: typing.Final = shapes.ServiceShape("pages", 3, 20, "/pages", "GET", 0.05)
SMALL: typing.Final = shapes.Shape("small", 2, 3, ("z1", "z2"), (PAGES,))
# After how long without an answer clients try another registry.
CLIENT_TIMEOUT_S: typing.Final = 1.0
# After how long a registry knows that it has no majority: `drain_s` and the duration of one read.
MAJORITY_LOST_S: typing.Final = 3.1

Work = typing.Callable[[fleets.SimFleet], typing.Awaitable[None]]


def _run(folder: pathlib.Path, work: Work) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, folder)
        await fleet.start()
        await work(fleet)

    loops.run(main())


def _cut_off(fleet: fleets.SimFleet, core: machines.Core) -> None:
    """Cut a core from all other cores; endpoints, operators and proxies still reach it."""
    others = [name for other in fleet.cores if other is not core for name in other.names()]
    fleet.world.links.cut(core.names(), others)


async def _request(
    fleet: fleets.SimFleet, core: machines.Core, method: str, path: str, page: object = None
) -> tuple[int, typing.Any, float]:
    """Send a request from outside the fleet; returns its status, page and duration in seconds."""
    started_at = fleet.clock.now()
    body = b"" if page is None else json.dumps(page).encode()
    response = await fleet.outside.web.request(method, core.web, path, [], body, 10.0)
    return response.status, json.loads(response.body), fleet.clock.now() - started_at


async def _send_heartbeat(
    fleet: fleets.SimFleet, core: machines.Core, name: str = "new-1", **more: object
) -> int:
    page = {"id": name, "service": "pages", "address": "10.9.0.1:80", "zone": "z1", **more}
    status, _, duration_s = await _request(fleet, core, "POST", "/v1/beat", page)
    assert duration_s < CLIENT_TIMEOUT_S
    return status


async def _confirm(fleet: fleets.SimFleet, core: machines.Core) -> str:
    """The result tag of a proxy's call to confirm what a majority stores."""
    request: frames.Body = {"name": "proxy-9", "cursor": ["", 0]}
    result = await frames.CallClient(fleet.outside.net).call(
        ports.address_of(core.member), "confirm", request, 3.0
    )
    return result.code.tag if isinstance(result, outcome.Failure) else "good"


def _up(fleet: fleets.SimFleet) -> list[int]:
    return [len(edge.node.daemon.carrier.selector.up("pages")) for edge in fleet.edges]


def test_with_a_majority_every_call_is_served(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        for core in fleet.cores:
            assert await _send_heartbeat(fleet, core) == 200
            assert (await fleet.get(core)).status == 200
            assert (await fleet.put(SMALL.layout(), core)).status == 200
            assert (await _request(fleet, core, "GET", "/v1/health"))[0] == 200
            assert (await _request(fleet, core, "GET", "/readyz"))[0] == 200
            assert (await fleet.query("show pauses", core)) is not None
            assert await _confirm(fleet, core) == "good"
        assert await _send_heartbeat(fleet, fleet.cores[0], leaving=True) == 200

    _run(tmp_path, work)


def test_without_a_majority_no_heartbeat_is_acknowledged(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        _cut_off(fleet, core)
        await asyncio.sleep(MAJORITY_LOST_S)
        assert await _send_heartbeat(fleet, core) == 503
        assert await _send_heartbeat(fleet, core, leaving=True) == 503
        # Though not acknowledged, it is known to members that hear this registry.
        assert (
            core.registry.daemon.timeline.get(timelines.ENDPOINT, "new-1").fields["state"] == timelines.LEFT
        )
        assert await _send_heartbeat(fleet, fleet.cores[1], "new-2") == 200
        fleet.world.links.heal()
        await asyncio.sleep(1.5)
        assert await _send_heartbeat(fleet, core, "new-2") == 200

    _run(tmp_path, work)


def test_without_a_majority_no_layout_is_read_or_taken_and_it_says_so_soon(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        _cut_off(fleet, core)
        # Right after the cut it may still wait for the stores, but it confirms nothing.
        assert (await fleet.get(core)).status == 503
        await asyncio.sleep(MAJORITY_LOST_S)
        for method in ("GET", "PUT"):
            layout = SMALL.layout() if method == "PUT" else None
            status, _, duration_s = await _request(fleet, core, method, "/v1/layout", layout)
            assert status == 503
            assert duration_s < 0.6 * CLIENT_TIMEOUT_S
        for text in ("show pauses", "pause pages-0 for 5s because test"):
            started_at = fleet.clock.now()
            assert (await fleet.query(text, core)) is None
            assert fleet.clock.now() - started_at < 1.1 * CLIENT_TIMEOUT_S
        assert (await _request(fleet, core, "GET", "/readyz"))[0] == 503
        assert await _confirm(fleet, core) == "no_majority"

    _run(tmp_path, work)


def test_without_a_majority_what_is_told_from_memory_says_that_it_is(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        _cut_off(fleet, core)
        await asyncio.sleep(MAJORITY_LOST_S)
        page = await fleet.query("show endpoints", core)
        assert page is not None
        assert len(page["rows"]) == 3
        fresh = page["fresh"]
        assert fresh["majority"] is False and fresh["majority_read_s_ago"] > 2.0
        assert (await _request(fleet, core, "GET", "/v1/health"))[0] == 200
        # Its ownership of slots expires; the fence identifies what it still does under them.
        await asyncio.sleep(core.registry.daemon.config.fence_max_age_s)
        daemon = core.registry.daemon
        assert all(daemon.duties.ownership(slot) is None for slot in range(64))

    _run(tmp_path, work)


def test_a_starting_registry_acknowledges_nothing_before_it_read_a_majority(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        core.registry.kill()
        _cut_off(fleet, core)
        await asyncio.sleep(0.1)
        core.registry.restart()
        await asyncio.sleep(0.3)
        assert await _send_heartbeat(fleet, core) == 503
        # Before it knows the voters, it does not know how many other cores have to confirm a leaving.
        assert await _send_heartbeat(fleet, core, "pages-0", leaving=True) == 503
        assert (await fleet.get(core)).status == 503
        assert (await fleet.put(SMALL.layout(), core)).status == 503
        assert (await _request(fleet, core, "GET", "/readyz"))[0] == 503
        assert await _confirm(fleet, core) == "no_majority"
        fleet.world.links.heal()
        await asyncio.sleep(1.5)
        assert await _send_heartbeat(fleet, core) == 200

    _run(tmp_path, work)


def test_a_registry_that_starts_in_a_whole_fleet_serves_soon(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        core.registry.kill()
        await asyncio.sleep(0.1)
        core.registry.restart()
        await asyncio.sleep(0.3)
        assert await _send_heartbeat(fleet, core) == 200
        assert (await fleet.get(core)).status == 200

    _run(tmp_path, work)


def test_a_stopping_registry_serves_until_it_closes(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        core.registry.daemon.stop()
        await asyncio.sleep(0.1)
        assert (await _request(fleet, core, "GET", "/readyz"))[0] == 503
        assert await _send_heartbeat(fleet, core) == 200
        assert (await fleet.get(core)).status == 200
        assert (await fleet.put(SMALL.layout(), core)).status == 200
        assert await _send_heartbeat(fleet, core, leaving=True) == 200

    _run(tmp_path, work)


def _stall(core: machines.Core) -> None:
    """Make the disk answer nothing from now on."""

    async def never(work: typing.Callable[[], object]) -> object:
        return await asyncio.get_running_loop().create_future()

    assert core.store.disk is not None
    core.store.disk.run = never  # type: ignore[method-assign,assignment]


def test_one_stalled_disk_holds_up_no_call(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        _stall(fleet.cores[0])
        await asyncio.sleep(MAJORITY_LOST_S)
        for core in fleet.cores:
            assert await _send_heartbeat(fleet, core) == 200
            for method in ("GET", "PUT"):
                layout = SMALL.layout() if method == "PUT" else None
                status, _, duration_s = await _request(fleet, core, method, "/v1/layout", layout)
                assert status == 200
                assert duration_s < CLIENT_TIMEOUT_S
        assert await _send_heartbeat(fleet, fleet.cores[0], leaving=True) == 200

    _run(tmp_path, work)


def test_while_most_disks_stall_no_layout_is_taken(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        for core in fleet.cores[:2]:
            _stall(core)
        layout = SMALL.layout()
        layout["rules"].append({"path": "/later", "service": "pages"})
        put = await fleet.put(layout, fleet.cores[2])
        assert put.status in (503, 504)
        await asyncio.sleep(MAJORITY_LOST_S)
        # The stalled write delays the reads of its own key: no old layout is reported as the newest.
        got = await fleet.get(fleet.cores[2])
        assert got.status == 503 or json.loads(got.body) != layout

    _run(tmp_path, work)


@pytest.mark.parametrize("guarded", [True, False])
def test_endpoints_leave_a_registry_that_is_cut_off(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against endpoints that stay with a registry that is cut off.

    If it went on acknowledging their heartbeats, all other registries would expire them.
    """
    if not guarded:

        async def handle(self: heartbeats.Heartbeats, raw: typing.Any) -> typing.Any:
            heartbeat = endpoints.read_heartbeat(raw)
            assert isinstance(heartbeat, outcome.Success)
            return self._parts.endpoints.record_heartbeat(heartbeat.value)

        monkeypatch.setattr(heartbeats.Heartbeats, "handle", handle)

    async def work(fleet: fleets.SimFleet) -> None:
        core = fleet.cores[0]
        # One endpoint sends its heartbeats to the registry that is to be cut off, while that answers.
        for endpoint in fleet.endpoints.values():
            endpoint.heartbeats_enabled = False
        await asyncio.sleep(2.5)
        for n, endpoint in enumerate(fleet.endpoints.values()):
            monkeypatch.setattr(endpoint._rng, "randrange", lambda most, n=n: n)
            endpoint.heartbeats_enabled = True
            fleet.spawn(endpoint.send_heartbeats())
        await asyncio.sleep(4.0)
        _cut_off(fleet, core)
        proxies = [edge.node.name for edge in fleet.edges]
        fleet.world.links.cut(core.names(), proxies)
        fewest = 3
        for _ in range(250):
            await asyncio.sleep(0.1)
            states = [
                entry.fields["state"]
                for entry in fleet.cores[1].registry.daemon.timeline.all(timelines.ENDPOINT)
            ]
            fewest = min(fewest, states.count(timelines.UP), *_up(fleet))
        assert (fewest == 3) is guarded

    _run(tmp_path, work)


@pytest.mark.parametrize("guarded", [True, False])
def test_endpoints_outlast_the_loss_of_most_cores(
    guarded: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A registry without a majority expires no endpoint, since it may be the one that is cut off."""
    if not guarded:
        monkeypatch.setattr(upkeeps.Upkeep, "_may_expire", lambda self: True)

    async def work(fleet: fleets.SimFleet) -> None:
        for core in fleet.cores[1:]:
            core.registry.lose_power()
            core.store.lose_power()
        # One of the endpoints can't reach the last core either, but still serves requests.
        unheard = fleet.endpoints["pages-0"]
        fleet.world.links.cut([unheard.name], fleet.cores[0].names())
        await asyncio.sleep(25.0)
        assert (_up(fleet) == [3, 3]) is guarded
        if guarded:
            for core in fleet.cores[1:]:
                core.registry.restart()
                core.store.restart()
            await asyncio.sleep(15.0)
            assert _up(fleet) == [3, 3]

    _run(tmp_path, work)
