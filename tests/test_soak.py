"""Tests of the soak: its plan, size and additional checks, and one short run on real processes."""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import signal
import socket
import sys
import typing

import pytest

import dykeswitch.cli.soak as cli_soak
import dykeswitch.simulator.history as histories
import dykeswitch.simulator.realengine as realengine
import dykeswitch.simulator.realfaults as realfaults
import dykeswitch.simulator.resources as resources
import dykeswitch.simulator.soak.acts as acts
import dykeswitch.simulator.soak.engine as engine
import dykeswitch.simulator.soak.plan as plans
import dykeswitch.simulator.soak.report as reports
import dykeswitch.simulator.soak.sizes as sizes
import dykeswitch.standin.caller as clients
import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.port_block as port_block
import dykeswitch.standin.process as processes
import dykeswitch.standin.shape as shapes
from dykeswitch.simulator.realstage import RealStage

GIGABYTE: typing.Final = 1024**3
# Seed and duration of the run in CI.
CI_SEED: typing.Final = 2
CI_SECONDS: typing.Final = 25.0


def test_a_plan_is_drawn_from_its_seed_alone_and_read_back_as_it_was_written(tmp_path: pathlib.Path) -> None:
    first = plans.generate("puddle", 7, 60.0, 0.3, 0)
    assert first == plans.generate("puddle", 7, 60.0, 0.3, 0)
    assert first.tracks != plans.generate("puddle", 8, 60.0, 0.3, 0).tracks
    first.write(tmp_path)
    assert plans.read(tmp_path) == first
    (tmp_path / plans.PLAN_FILE).write_text("{}")
    with pytest.raises(plans.PlanError):
        plans.read(tmp_path)


def test_every_act_of_a_track_is_there_and_every_one_of_the_soaks_own_is_played() -> None:
    planned = {act for track in plans.TRACKS.values() for act in track}
    assert planned <= acts.ACTS.keys()
    assert acts.ACTS.keys() - realfaults.ACTS.keys() <= planned


@pytest.mark.parametrize("name", list(sizes.SHAPES))
@pytest.mark.parametrize("nodes", [25, 40, 100, 290])
def test_a_shape_is_made_as_large_as_was_asked_for(name: str, nodes: int) -> None:
    scaled = sizes.scaled_to(sizes.SHAPES[name], nodes)
    least = sizes.processes(sizes.scaled_to(sizes.SHAPES[name], 1))
    assert sizes.processes(scaled) <= max(nodes, least)
    assert sizes.processes(scaled) >= 0.8 * nodes or nodes < 2 * least


def test_a_machine_bears_less_than_half_of_its_memory_and_a_few_hundred_processes() -> None:
    assert sizes.max_processes(sizes.Memory(1000 * GIGABYTE, 0)) < 300
    limit = sizes.max_processes(sizes.Memory(24 * GIGABYTE, 4 * GIGABYTE))
    assert 4 * GIGABYTE + limit * sizes.PROCESS_BYTES < 12 * GIGABYTE
    assert sizes.max_processes(sizes.Memory(24 * GIGABYTE, 13 * GIGABYTE)) == 0


def test_a_machine_that_is_full_is_told_so(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    monkeypatch.setattr(sizes, "memory", lambda: sizes.Memory(24 * GIGABYTE, 12 * GIGABYTE))
    spoken = argparse.Namespace(
        shape="puddle", seed=1, seeds=1, minutes=1.0, scale=0.3, nodes=0, folder=tmp_path, replay=None
    )
    assert cli_soak.run(spoken) == cli_soak.EXIT_USAGE
    assert "this machine can run 0 now" in capsys.readouterr().err


def _usage(memory: int, descriptors: int) -> resources.ResourceUsage:
    return resources.ResourceUsage(0.0, 1, memory, descriptors, {"proxy": (memory, descriptors)})


def test_what_does_not_come_back_to_its_level_is_told() -> None:
    before = _usage(40 * 1024**2, 60)
    assert resources.find_growth(before, _usage(60 * 1024**2, 100)) == []
    assert len(resources.find_growth(before, _usage(200 * 1024**2, 100))) == 1
    assert len(resources.find_growth(before, _usage(60 * 1024**2, 900))) == 1


def _breaches_at_stop(request: clients.Request, *arrivals: tuple[float, str, str]) -> dict[str, list[str]]:
    """Return the breaches where a client's connection ended during the stop of its proxy."""
    story = histories.History(
        requests=[request],
        arrivals=list(arrivals),
        owners={"orders-0": "orders"},
        stops=[histories.Span("p", 99.0, 101.0)],
        closed=[histories.Span("p", 99.0, 103.0)],
        faults_ended_at=90.0,
        end=200.0,
    )
    # The history has a single request, so the share of excused requests is not judged here.
    return {name: found for name, found in histories.judge(story).items() if name != "excuses_bounded"}


def test_only_what_crossed_the_close_of_its_connection_is_excused() -> None:
    request = clients.Request("a", "orders", True, 100.0, "p", 100.05, error="OSError: broke off")
    assert _breaches_at_stop(request) == {}
    # Not excused: a request that was forwarded, one that waited long before its connection ended, and one
    # whose proxy was not stopping.
    assert set(_breaches_at_stop(request, (100.02, "a", "orders-0"))) == {"not_dropped", "broken_explained"}
    assert set(_breaches_at_stop(dataclasses.replace(request, ended_at=100.9))) == {
        "not_dropped",
        "broken_explained",
    }
    assert set(_breaches_at_stop(dataclasses.replace(request, address="q"))) == {"broken_explained"}


ORDERS: typing.Final = shapes.ServiceShape("orders", 2, 10, "/orders", "POST", 0.05)
TINY: typing.Final = shapes.Shape("tiny", 1, 1, ("z1",), (ORDERS,))


def test_a_process_that_ends_by_itself_or_with_a_fault_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with fleets.running(TINY, 1) as fleet:
            stage = RealStage(fleet)
            for process in fleet.processes():
                process.start()
            watch = asyncio.create_task(realengine._watch_exits(stage))
            await fleet.until(lambda: all(p.is_up() for p in (*fleet.proxies, *fleet.cores[0])), 60, "all up")
            assert stage.story.crashes == []
            # As the operating system does when memory runs out: the fleet did not tell it to exit.
            victim = fleet.proxies[0]
            assert victim._run is not None
            victim._run.send_signal(signal.SIGKILL)
            await fleet.until(lambda: len(stage.story.crashes) == 1, 10, "a reported exit")
            # A process that needs SIGKILL: it is frozen here so that SIGTERM has no effect.
            monkeypatch.setattr(acts, "STOP_TIMEOUT_S", 0.5)
            registry = fleet.cores[0][0]
            registry.send_signal(signal.SIGSTOP)
            await acts.stop_gracefully(stage, registry)
            await asyncio.sleep(3 * realengine.EXIT_CHECK_INTERVAL_S)
            watch.cancel()
            assert [text.split()[0] for text in stage.story.crashes] == ["proxy0", "core0"]
            assert "had to be killed" in stage.story.crashes[1]

    asyncio.run(main())


def _soak(folder: pathlib.Path, plan: plans.Plan) -> reports.Report:
    folder.mkdir(exist_ok=True)
    plan.write(folder)
    day = asyncio.run(engine.play(plan, folder))
    report = reports.create(plan, day, folder)
    reports.write(report, day, folder)
    return report


def test_a_short_soak_holds(tmp_path: pathlib.Path) -> None:
    report = _soak(tmp_path, plans.generate("puddle", CI_SEED, CI_SECONDS, 0.3, 0))
    assert report.figures["breaches"] == {}
    assert report.figures["asked"] > 300
    assert report.figures["replied"] > 0.6 * report.figures["asked"]
    assert sum(report.acts.values()) > 10
    document = json.loads((tmp_path / reports.REPORT_FILE).read_text())
    assert document["seed"] == CI_SEED
    assert (tmp_path / reports.PLOT_FILE).read_text().startswith("<?xml")


# Starts a program that is not notified when a client leaves.
WITHOUT_DEPARTURES: typing.Final = """
import sys
import dykeswitch.ports.departure as departures
departures.Departure.announce = lambda self: None
import dykeswitch.cli.main as main
sys.exit(main.main())
"""


def test_without_its_guard_a_soak_sees_work_for_callers_that_left(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original_args = processes.Process._args

    def without_departures(self: processes.Process) -> list[str]:
        args = original_args(self)
        return [sys.executable, "-c", WITHOUT_DEPARTURES, *args[3:]] if self.command == "proxy" else args

    monkeypatch.setattr(processes.Process, "_args", without_departures)
    monkeypatch.setitem(acts.ACTS, "leave", acts.with_behavior(leave_share=0.9, leave_within_s=0.05))
    steps = (plans.Step("leave", 0.0, 1),)
    plan = dataclasses.replace(plans.generate("puddle", 1, 4.0, 1.0, 0), tracks={"callers": steps})
    # Work that goes on after its client has left for more than the half second that is allowed.
    slow = tuple(dataclasses.replace(service, work_s=1.0) for service in sizes.PUDDLE.services)
    monkeypatch.setitem(sizes.SHAPES, "puddle", dataclasses.replace(sizes.PUDDLE, services=slow))
    report = _soak(tmp_path, plan)
    assert "nothing_run_for_nobody" in report.figures["breaches"]


def test_fleets_that_run_at_the_same_time_have_ports_of_their_own() -> None:
    first, second = port_block.PortBlock(), port_block.PortBlock()
    first_addresses = {first.address() for _ in range(50)}
    assert first_addresses.isdisjoint({second.address() for _ in range(50)})
    first.close()
    # A port that is in use is skipped.
    with socket.socket() as listener:
        port = next(port for port in range(second._next, second._next + 500) if _binds(listener, port))
        while second._next <= port:
            assert second.address() != f"127.0.0.1:{port}"
    # A released block may be reused; the other object's block is not.
    first.close()
    third = port_block.PortBlock()
    assert third._first != second._first
    third.close()
    second.close()


def _binds(sock: socket.socket, port: int) -> bool:
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
