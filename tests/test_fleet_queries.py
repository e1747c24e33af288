"""Queries about the fleet: every registry knows all proxies, whichever registries those poll."""

import asyncio
import pathlib
import typing

import pytest

import dykeswitch.registry.queries as queries
import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.standin.shape as shapes

PAGES: typing.Final = shapes.ServiceShape("pages", 3, 20, "/pages", "GET", 0.05)
SMALL: typing.Final = shapes.Shape("small", 5, 3, ("z1", "z2", "z3"), (PAGES,))
# Longer than the entry of a proxy lasts without being renewed.
WAIT_S: typing.Final = 14.0


@pytest.mark.parametrize("asks_others", [True, False])
def test_every_registry_tells_of_every_proxy(
    asks_others: bool, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not asks_others:

        async def nothing(self: queries.Queries) -> None:
            return None

        monkeypatch.setattr(queries.Queries, "_merge_proxies", nothing)

    async def main() -> list[int]:
        fleet = fleets.SimFleet(SMALL, 7, tmp_path)
        await fleet.start()
        await asyncio.sleep(WAIT_S)
        found = []
        for core in fleet.cores:
            page = await fleet.query("show proxies", core)
            assert page is not None
            found.append(len(page["rows"]))
        return found

    found: list[int] = []

    async def run() -> None:
        found.extend(await main())

    loops.run(run())
    # Without asking the others, a registry knows only the proxies that poll it.
    assert (found == [5, 5, 5]) is asks_others
