"""How news and beats travel: each to whom it is for, and not round and round."""

import asyncio
import pathlib
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds
import dykeswitch.standin.shape as shapes
import dykeswitch.timeline as timeline

WIDE: typing.Final = shapes.Shape(
    "wide", 6, 3, ("z1", "z2", "z3"), (shapes.ServiceShape("pages", 40, 0, "/pages", "GET", 0.01),)
)
NARROW: typing.Final = shapes.Shape(
    "narrow", 6, 3, ("z1", "z2", "z3"), (shapes.ServiceShape("pages", 10, 0, "/pages", "GET", 0.01),)
)


async def _bytes_s(shape: shapes.Shape, folder: pathlib.Path) -> float:
    """Bytes a second of frames at one proxy, both ways, while nothing happens but beats."""
    fleet = fleets.SimFleet(shape, 3, folder)
    await fleet.start()
    await asyncio.sleep(10.0)

    def told() -> int:
        counts = fleet.edges[0].node.daemon.meter.counts
        return sum(by for key, by in counts.items() if key.endswith("_bytes"))

    before = told()
    await asyncio.sleep(20.0)
    return (told() - before) / 20.0


def test_a_beat_reaches_a_proxy_about_once(tmp_path: pathlib.Path) -> None:
    """Each came from every core, went back to it, and was traded with all neighbours: 2.4 KB a beat."""
    found = []
    for shape in (NARROW, WIDE):

        async def main(shape: shapes.Shape = shape) -> None:
            folder = tmp_path / shape.name
            folder.mkdir()
            found.append(await _bytes_s(shape, folder))

        loops.run(main())
    each = (found[1] - found[0]) / 30
    print(f"{found[0]:.0f} {found[1]:.0f} B/s, {each:.0f} B/s an endpoint")
    assert each < 400, found


def test_registries_hear_of_each_others_endpoints_without_any_proxy(tmp_path: pathlib.Path) -> None:
    """What proxies no longer carry round must come straight."""

    async def main() -> None:
        fleet = fleets.SimFleet(NARROW, 4, tmp_path)
        await fleet.start()
        lapsed: list[timeline.Entry] = []
        for core in fleet.cores:
            core.registry.daemon.line.on_change(
                lambda entry: lapsed.append(entry) if entry.fields.get("state") == timeline.LAPSED else None
            )
        for edge in fleet.edges:
            edge.node.kill()
        await asyncio.sleep(30.0)
        assert lapsed == []
        # All of them know all, as up.
        for core in fleet.cores:
            up = [e for e in core.registry.daemon.line.all(timeline.ENDPOINT) if e.fields["state"] == "up"]
            assert len(up) == 10

    loops.run(main())


def test_who_hears_only_news_loses_no_endpoint_that_beats() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loops.VirtualLoop)
        clock = worlds.SimClock(loop)
        one, two = (timeline.Timeline(name, clock, 900.0) for name in ("a", "b"))
        fields = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "state": "up", "born": [1, "a"]}
        upto, sent = 0, 0
        for turn in range(3000):
            one.write(timeline.ENDPOINT, "e", {**fields, "burden": turn % 7}, 900.0, urgent=turn == 0)
            wires = one.news_since(upto)
            upto = one.seq
            sent += len(wires)
            two.merge(wires)
            await asyncio.sleep(1.0)
            assert two.get(timeline.ENDPOINT, "e") is not None
        # Once at first, then each quarter of a life.
        assert sent <= 3000 / 225 + 2
        # A change is news at once.
        one.write(timeline.ENDPOINT, "e", {**fields, "state": "left"}, 900.0)
        two.merge(one.news_since(upto))
        entry = two.get(timeline.ENDPOINT, "e")
        assert entry is not None and entry.fields["state"] == "left"

    loops.run(main())


def test_what_a_member_sent_is_not_sent_back_to_it() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loops.VirtualLoop)
        clock = worlds.SimClock(loop)
        one, two = (timeline.Timeline(name, clock, 900.0) for name in ("a", "b"))
        fields = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "state": "up", "born": [1, "a"]}
        one.write(timeline.ENDPOINT, "e", fields, 900.0)
        had = two.merge_from(one.wire_since(0))
        assert two.wire_since(0, had) == []
        # What it must write itself in answer to them is news to them: two ids on one address.
        one.write(timeline.ENDPOINT, "f", {**fields, "born": [2, "a"]}, 900.0, urgent=False)
        late = timeline.Timeline("c", clock, 900.0)
        late.merge(one.wire_since(0))
        fresh = [["endpoint", "g", 9, "d", {**fields, "born": [9, "d"]}, 900.0]]
        had = late.merge_from(fresh)
        back = {wire[1]: wire[4]["state"] for wire in late.wire_since(0, had)}
        assert back["f"] == "displaced"

    loops.run(main())
