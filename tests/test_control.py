"""Control traffic: its cost for a proxy, and that changes reach a proxy through the cores it polls."""

import asyncio
import collections
import pathlib
import typing
import zlib

import pytest

import dykeswitch.layout.documents as documents
import dykeswitch.membership as membership
import dykeswitch.outcome as outcome
import dykeswitch.proxy.program as proxies
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.machines as machines
import dykeswitch.standin.shape as shapes
import dykeswitch.timeline as timelines

SERVICE: typing.Final = shapes.ServiceShape("pages", 6, 20, "/pages", "GET", 0.05)
ZONES: typing.Final = ("z1", "z2", "z3", "z4")
# Two cores of five may be lost at once; the first zone has two of them.
BOUNDS: typing.Final[dict[str, typing.Any]] = {"cores_lost": 2}
DRAIN_S: typing.Final = 2.0
IN_FORCE_S: typing.Final = 2.0
# How long an order may take while all cores are up: a fraction of its operator's timeout.
ACKNOWLEDGED_S: typing.Final = 0.3
MANY_RULES: typing.Final = 500
# How long a fleet runs before it is checked, and how long a cut lasts.
SETTLED_S: typing.Final = 12.0
CUT_S: typing.Final = 20.0
# Within what time cores that were cut off rejoin the others.
REJOINED_S: typing.Final = 6.0
# A storm of marks: its rate and its duration.
MARKS_A_SECOND: typing.Final = 20
STORM_S: typing.Final = 5.0

Work = typing.Callable[[fleets.SimFleet], typing.Awaitable[None]]


def _run(folder: pathlib.Path, work: Work, proxy_count: int = 4) -> None:
    async def main() -> None:
        shape = shapes.Shape("control", proxy_count, 5, ZONES, (SERVICE,))
        fleet = fleets.SimFleet(shape, 7, folder, bounds=BOUNDS)
        await fleet.start()
        await asyncio.sleep(SETTLED_S)
        await work(fleet)

    loops.run(main())


def _proxies(fleet: fleets.SimFleet) -> list[proxies.Proxy]:
    return [edge.node.daemon for edge in fleet.edges]


def _control_traffic(fleet: fleets.SimFleet) -> collections.Counter[str]:
    """Control calls and bytes of all proxies together."""
    counts: collections.Counter[str] = collections.Counter()
    for proxy in _proxies(fleet):
        for name, count in proxy.meter.counts.items():
            counts["calls" if name.endswith("_calls") else "bytes"] += count
    return counts


def _mark(proxy: proxies.Proxy, endpoint: str) -> None:
    fields: timelines.Fields = {"reason": "timed out", "by": proxy.config.name, "clear": False}
    proxy.timeline.write(timelines.MARK, timelines.down_key(endpoint), fields, proxy.config.mark_s)


def _all_hold_layout(fleet: fleets.SimFleet, version: int) -> bool:
    return all(proxy.documents.version(documents.LAYOUT) >= version for proxy in _proxies(fleet))


def _all_know_left(fleet: fleets.SimFleet, name: str) -> bool:
    entries = [proxy.timeline.get(timelines.ENDPOINT, name) for proxy in _proxies(fleet)]
    return all(entry is not None and entry.fields["state"] == timelines.LEFT for entry in entries)


def _layout(fleet: fleets.SimFleet, turn: int) -> dict[str, typing.Any]:
    layout = fleet.shape.layout()
    layout["rules"].append({**layout["rules"][0], "name": f"more-{turn}", "path": f"/more-{turn}"})
    return layout


async def _leave_at(fleet: fleets.SimFleet, core: machines.Core, name: str) -> bool:
    """Report to one core that an endpoint leaves; returns whether it was acknowledged."""
    result = await core.registry.daemon.heartbeat({"id": name, "leaving": True})
    return not hasattr(result, "code")


def test_a_proxy_polls_a_majority_of_the_cores_and_one_of_its_zone_first(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        zone_of = {core.member: core.zone for core in fleet.cores}
        for proxy in _proxies(fleet):
            polled = proxy.gossip.polled()
            assert len(polled) == 3
            assert zone_of[polled[0]] == proxy.config.zone

    _run(tmp_path, work)


def test_a_storm_of_marks_goes_into_few_calls(tmp_path: pathlib.Path) -> None:
    """Guards against a call for each mark from every core to every proxy."""

    async def work(fleet: fleets.SimFleet) -> None:
        before = _control_traffic(fleet)
        all_proxies = _proxies(fleet)
        for turn in range(round(MARKS_A_SECOND * STORM_S)):
            _mark(all_proxies[turn % len(all_proxies)], f"pages-{turn}")
            await asyncio.sleep(1 / MARKS_A_SECOND)
        calls = (_control_traffic(fleet) - before)["calls"] / len(all_proxies) / STORM_S
        assert calls < MARKS_A_SECOND

    _run(tmp_path, work)


def test_a_storm_costs_a_proxy_the_same_in_a_larger_fleet(tmp_path: pathlib.Path) -> None:
    bytes_each: dict[int, float] = {}
    for proxy_count in (8, 32):

        async def work(fleet: fleets.SimFleet, proxy_count: int = proxy_count) -> None:
            before = _control_traffic(fleet)
            all_proxies = _proxies(fleet)
            for turn in range(round(MARKS_A_SECOND * STORM_S)):
                _mark(all_proxies[turn % len(all_proxies)], f"pages-{turn}")
                await asyncio.sleep(1 / MARKS_A_SECOND)
            bytes_each[proxy_count] = (_control_traffic(fleet) - before)["bytes"] / len(all_proxies)

        folder = tmp_path / str(proxy_count)
        folder.mkdir()
        _run(folder, work, proxy_count)
    assert bytes_each[32] < bytes_each[8] * 1.2


def test_a_mark_reaches_every_proxy_soon(tmp_path: pathlib.Path) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        _mark(_proxies(fleet)[0], "pages-0")
        await asyncio.sleep(0.3)
        assert all(proxy.marks.mark_of("pages-0") is not None for proxy in _proxies(fleet))

    _run(tmp_path, work)


@pytest.mark.parametrize(
    ("first", "loss"),
    [(0, "kill"), (3, "kill"), (0, "freeze"), (3, "freeze"), *((n, "cut") for n in range(5))],
)
def test_two_cores_lost_right_after_an_acknowledgement_hide_nothing(
    first: int, loss: str, tmp_path: pathlib.Path
) -> None:
    """A drain and a layout that a lost core acknowledged take effect in time, whichever two are lost."""

    async def work(fleet: fleets.SimFleet) -> None:
        lost = [fleet.cores[first], fleet.cores[(first + 1) % 5]]
        assert await _leave_at(fleet, lost[0], "pages-0")
        left_at = fleet.clock.now()
        put = await fleet.put(_layout(fleet, 1), lost[0])
        assert put.status == 200
        for node in [node for core in lost for node in (core.registry, core.store)]:
            if loss == "kill":
                node.kill()
            elif loss == "freeze":
                node.freeze()
        if loss == "cut":
            # They still reach the proxies, which can learn of the cut only from what they report.
            lost_names = [name for core in lost for name in core.names()]
            fleet.world.links.cut(
                lost_names, [n for core in fleet.cores if core not in lost for n in core.names()]
            )
        await asyncio.sleep(left_at + DRAIN_S - fleet.clock.now())
        assert _all_know_left(fleet, "pages-0")
        await asyncio.sleep(max(0.0, put.ended_at + IN_FORCE_S - fleet.clock.now()))
        assert _all_hold_layout(fleet, put.version)

    _run(tmp_path, work)


@pytest.mark.parametrize("first", range(5))
def test_two_cores_cut_off_from_the_others_hold_no_proxy_back(first: int, tmp_path: pathlib.Path) -> None:
    """Proxies that polled them learn of drains and layouts from the majority throughout the cut."""

    async def work(fleet: fleets.SimFleet) -> None:
        lost = [fleet.cores[first], fleet.cores[(first + 2) % 5]]
        rest = [core for core in fleet.cores if core not in lost]
        lost_names = [name for core in lost for name in core.names()]
        fleet.world.links.cut(lost_names, [name for core in rest for name in core.names()])
        end = fleet.clock.now() + CUT_S
        turn = 0
        while fleet.clock.now() < end:
            core = rest[turn % len(rest)]
            name = f"pages-{turn}"
            turn += 1
            if turn < SERVICE.endpoints:
                assert await _leave_at(fleet, core, name)
            put = await fleet.put(_layout(fleet, turn), core)
            assert put.status == 200
            await asyncio.sleep(IN_FORCE_S)
            assert _all_hold_layout(fleet, put.version)
            assert turn >= SERVICE.endpoints or _all_know_left(fleet, name)
        # And no proxy relies on the cores that are cut off any more.
        cut_off = {core.member for core in lost}
        for proxy in _proxies(fleet):
            assert not cut_off & set(proxy.gossip.polled())
            assert proxy.ready() is None
        fleet.world.links.heal()
        await asyncio.sleep(membership.PASSED_OVER_HOLDS * proxy.config.hold_s + 3.0)
        for proxy in _proxies(fleet):
            assert len(proxy.gossip.polled()) == 3

    _run(tmp_path, work)


def test_a_proxy_is_ready_all_the_time_while_nothing_happens(tmp_path: pathlib.Path) -> None:
    """Guards against polls that end together, after which a proxy heard nothing and seemed cut off."""

    async def work(fleet: fleets.SimFleet) -> None:
        end = fleet.clock.now() + 10.0
        unready = 0
        while fleet.clock.now() < end:
            unready += sum(proxy.ready() is not None for proxy in _proxies(fleet))
            # A change that goes to all proxies makes all polls start again at the same moment.
            if int(fleet.clock.now() * 100) % 300 == 0:
                _mark(_proxies(fleet)[0], f"pages-{fleet.clock.now()}")
            await asyncio.sleep(0.01)
        assert unready == 0

    _run(tmp_path, work)


def test_cores_that_were_cut_off_for_long_find_the_others_again(tmp_path: pathlib.Path) -> None:
    """Guards against a permanent split after two of five cores and the others forgot each other."""

    async def work(fleet: fleets.SimFleet) -> None:
        lost, rest = fleet.cores[1::2], fleet.cores[::2]
        lost_names = [name for core in lost for name in core.names()]
        fleet.world.links.cut(lost_names, [name for core in rest for name in core.names()])
        await asyncio.sleep(CUT_S)
        # The cores that were cut off also learn what the majority decided in the meantime.
        assert await _leave_at(fleet, rest[0], "pages-0")
        fleet.world.links.heal()
        await asyncio.sleep(REJOINED_S)
        for core in fleet.cores:
            registry = core.registry.daemon
            assert len(registry.gossip.cores()) == len(fleet.cores) - 1
            entry = registry.timeline.get(timelines.ENDPOINT, "pages-0")
            assert entry is not None and entry.fields["state"] == timelines.LEFT

    _run(tmp_path, work)


def test_a_layout_goes_to_each_zone_once_and_packed(tmp_path: pathlib.Path) -> None:
    """Guards against each proxy fetching it uncompressed from the first core that has it, in any zone."""

    async def work(fleet: fleets.SimFleet) -> None:
        layout = fleet.shape.layout()
        for n in range(MANY_RULES):
            layout["rules"].append({**layout["rules"][0], "name": f"more-{n}", "path": f"/more-{n}"})
        crossed = fleet.world.links.bytes_between_zones
        proxy_names = [edge.node.name for edge in fleet.edges]

        def bytes_to_proxies() -> int:
            return sum(size for (_, to), size in crossed.items() if to in proxy_names)

        before = bytes_to_proxies()
        put = await fleet.put(layout, fleet.cores[0])
        assert put.status == 200
        await asyncio.sleep(1.0)
        assert _all_hold_layout(fleet, put.version)
        # Half is left for polls.
        assert bytes_to_proxies() - before < len(put.body) / 2

    _run(tmp_path, work, proxy_count=16)


def test_an_order_is_acknowledged_soon_whichever_core_takes_it(tmp_path: pathlib.Path) -> None:
    """Other cores deliver it to the proxies of their zones, and report that to the core that waits."""

    async def work(fleet: fleets.SimFleet) -> None:
        for turn, core in enumerate(fleet.cores):
            put = await fleet.put(_layout(fleet, turn), core)
            assert put.status == 200
            assert put.ended_at - put.started_at < ACKNOWLEDGED_S

    _run(tmp_path, work)


@pytest.mark.parametrize(
    "reply",
    [
        {"version": 9, "packed": b"no such thing"},
        {"version": 9, "packed": zlib.compress(b"{}")[:-4]},
        {"version": 9},
        {"version": "x", "body": b"{}"},
    ],
)
def test_a_paper_that_cannot_be_read_is_as_if_nobody_had_answered(
    reply: dict[str, typing.Any], tmp_path: pathlib.Path
) -> None:
    async def work(fleet: fleets.SimFleet) -> None:
        proxy = _proxies(fleet)[0]
        version_before = proxy.documents.version(documents.LAYOUT)
        await proxy.documents.apply_reply(documents.LAYOUT, reply)
        assert proxy.documents.version(documents.LAYOUT) == version_before

    _run(tmp_path, work)


def test_to_be_sure_again_a_proxy_is_not_told_the_whole_timeline(tmp_path: pathlib.Path) -> None:
    """Guards against cores that send the whole timeline, which made a slow proxy fall behind again."""

    async def work(fleet: fleets.SimFleet) -> None:
        proxy = _proxies(fleet)[0]
        for address in proxy.gossip.polled():
            request = {"cursor": proxy.gossip.position(address)}
            result = await proxy.call_client.call(address, "confirm", request, proxy.config.call_timeout_s)
            assert isinstance(result, outcome.Success)
            assert len(result.value["items"]) < len(fleet.cores)
        # A proxy without a position at a core gets all entries except those of proxies.
        no_position = {"cursor": ["", 0]}
        result = await proxy.call_client.call(
            proxy.gossip.polled()[0], "confirm", no_position, proxy.config.call_timeout_s
        )
        assert isinstance(result, outcome.Success)
        kinds = {item[0] for item in result.value["items"]}
        assert timelines.PROXY not in kinds
        assert {timelines.ENDPOINT, timelines.CORE, timelines.DOCUMENT} <= kinds

    _run(tmp_path, work)
