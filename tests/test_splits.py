"""Requests on routes that are split over several services."""

import asyncio
import json
import pathlib
import typing

import pytest

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.standin.shape as shapes

PAGES: typing.Final = shapes.ServiceShape("pages", 3, 20, "/pages", "GET", 0.01)
TEXTS: typing.Final = shapes.ServiceShape("texts", 3, 20, "/texts", "GET", 0.01)
SMALL: typing.Final = shapes.Shape("small", 2, 3, ("z1", "z2"), (PAGES, TEXTS))


def _split(*weights: float) -> dict[str, typing.Any]:
    doc = SMALL.layout()
    parts = [{"service": s, "weight": w} for s, w in zip(("pages", "texts"), weights)]
    doc["rules"].append({"path": "/both", "split": parts})
    return doc


@pytest.mark.parametrize(("weights", "share"), [((90, 10), 0.1), ((1, 1), 0.5), ((0, 3), 1.0)])
def test_each_part_gets_its_share(weights: tuple[float, float], share: float, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, tmp_path)
        await fleet.start()
        await fleet.apply(_split(*weights))
        await asyncio.sleep(1.0)
        before = len(fleet.arrivals)
        for turn in range(400):
            edge = fleet.edges[turn % len(fleet.edges)]
            reply = await fleet.outside.web.request("GET", edge.web, f"/both?n={turn}", [], b"", 2.0)
            assert reply.status == 200
        hits = [endpoint for _, _, endpoint in fleet.arrivals[before:]]
        assert abs(sum(h.startswith("texts") for h in hits) / len(hits) - share) < 0.08

    loops.run(main())


def test_a_route_whose_parts_all_weigh_nothing_is_there_but_serves_nobody(tmp_path: pathlib.Path) -> None:
    """It is no unknown route: the caller is told to come back, and that nothing ran."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, tmp_path)
        await fleet.start()
        await fleet.apply(_split(0, 0))
        await asyncio.sleep(1.0)
        reply = await fleet.outside.web.request("GET", fleet.edges[0].web, "/both", [], b"", 2.0)
        assert reply.status == 503
        assert json.loads(reply.body)["result"] == "no_endpoint"
        assert reply.header("retry-after") is not None
        other = await fleet.outside.web.request("GET", fleet.edges[0].web, "/nowhere", [], b"", 2.0)
        assert other.status == 404

    loops.run(main())
