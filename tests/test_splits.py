"""Routes that split their requests over several services."""

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
    layout = SMALL.layout()
    parts = [{"service": s, "weight": w} for s, w in zip(("pages", "texts"), weights)]
    layout["rules"].append({"path": "/both", "split": parts})
    return layout


@pytest.mark.parametrize(("weights", "share"), [((90, 10), 0.1), ((1, 1), 0.5), ((0, 3), 1.0)])
def test_each_part_gets_its_share(weights: tuple[float, float], share: float, tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, tmp_path)
        await fleet.start()
        await fleet.apply(_split(*weights))
        await asyncio.sleep(1.0)
        arrivals_before = len(fleet.arrivals)
        for number in range(400):
            edge = fleet.edges[number % len(fleet.edges)]
            response = await fleet.outside.web.request("GET", edge.web, f"/both?n={number}", [], b"", 2.0)
            assert response.status == 200
        endpoints = [endpoint for _, _, endpoint in fleet.arrivals[arrivals_before:]]
        assert abs(sum(e.startswith("texts") for e in endpoints) / len(endpoints) - share) < 0.08

    loops.run(main())


def test_a_route_whose_parts_all_weigh_nothing_is_there_but_serves_nobody(tmp_path: pathlib.Path) -> None:
    """The route is known, so the client gets no 404 but a 503 with Retry-After: nothing ran."""

    async def main() -> None:
        fleet = fleets.SimFleet(SMALL, 7, tmp_path)
        await fleet.start()
        await fleet.apply(_split(0, 0))
        await asyncio.sleep(1.0)
        response = await fleet.outside.web.request("GET", fleet.edges[0].web, "/both", [], b"", 2.0)
        assert response.status == 503
        assert json.loads(response.body)["result"] == "no_endpoint"
        assert response.header("retry-after") is not None
        other = await fleet.outside.web.request("GET", fleet.edges[0].web, "/nowhere", [], b"", 2.0)
        assert other.status == 404

    loops.run(main())
