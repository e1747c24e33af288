"""Tests of the scale package: fits, the page and its records, and a small fleet of real processes."""

import asyncio
import pathlib
import re
import shutil
import typing

import pytest

import dykeswitch.cli.main as cli
import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.scale.dataset as datasets
import dykeswitch.scale.fit as fits
import dykeswitch.scale.report as reports
import dykeswitch.scale.size as sizes
import dykeswitch.scale.sweep as sweeps
import dykeswitch.scale.testbed as testbeds

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
PAGE: typing.Final = ROOT / "docs" / "CAPACITY.md"


def _record(turn: int, value: float, **size: float) -> fits.Record:
    return {"turn": turn, "size": size, "value": value}


def _value_of(record: fits.Record) -> float:
    return float(record["value"])


def test_slopes_are_found_again_and_carried_to_a_size() -> None:
    samples = [(n, e) for n in (2, 4, 8) for e in (10, 20, 40)]
    records = [_record(t, 5 + 2 * n + 3 * n * e, nodes=n, endpoints=e) for n, e in samples for t in (1, 2)]
    terms = ("1", "nodes", "endpoints", "nodes*endpoints")
    sizes = {"nodes": 100.0, "endpoints": 1000.0}
    extrapolation = fits.extrapolate(records, _value_of, terms, sizes)
    assert abs(extrapolation.value - (5 + 200 + 300000)) < 1
    assert extrapolation.fit.spread < 1e-6
    assert abs(extrapolation.minimum - extrapolation.maximum) < 1


def test_no_slope_is_below_nothing() -> None:
    # A cost that falls as the fleet grows comes from the machine and must not offset another term.
    records = [_record(1, 100.0 - n, nodes=n) for n in (2.0, 4.0, 8.0)]
    fit = fits.fit(records, _value_of, ("1", "nodes"))
    assert min(fit.slopes) >= 0
    assert fit.value_at({"nodes": 1000.0}) > 0


def test_terms_are_products_and_parts() -> None:
    assert fits.term_value("nodes*rules/cores", {"nodes": 6, "rules": 5, "cores": 3}) == 10
    assert fits.term_value("1", {}) == 1


def test_the_page_says_what_its_records_say() -> None:
    data = datasets.load(datasets.read(ROOT / "docs" / "capacity"))
    page = PAGE.read_text()
    assert reports.fill(page, data) == page


@pytest.mark.parametrize("command", ["scale", "hollow"])
def test_the_command_makes_the_page_under_its_name_and_its_earlier_one(
    command: str, tmp_path: pathlib.Path
) -> None:
    shutil.copytree(ROOT / "docs" / "capacity", tmp_path / "capacity")
    page = tmp_path / "page.md"
    page.write_text(re.sub(r"<!--= runs -->.*?<!--/-->", "<!--= runs -->?<!--/-->", PAGE.read_text()))
    args = ["--page", str(page), "--records", str(tmp_path / "capacity")]
    assert cli.main([command, "report", *args]) == 0
    assert page.read_text() == PAGE.read_text()


@pytest.mark.parametrize("option", ["--output", "--book"])
def test_a_simulated_sweep_writes_its_records(
    option: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    small = sizes.Size(nodes=2, endpoints=2, services=1, rules=2)
    monkeypatch.setitem(sweeps.SWEEPS, "base", (small,))
    path = tmp_path / "runs.jsonl"
    args = ["--sweeps", "base", "--turns", "1", "--simulated"]
    assert cli.main(["scale", "run", *args, option, str(path)]) == 0
    (record,) = sweeps.read(path)
    assert record["kind"] == "run" and record["size"]["nodes"] == 2
    assert set(record["roles"]) == {sizes.HEADLESS, "registry", "store"}


def test_no_figure_on_the_page_is_typed_by_hand() -> None:
    prose = reports.prose(PAGE.read_text())
    # Numbers of list items and names of quantiles aren't figures.
    prose = re.sub(r"(?m)^\d+\. ", "", prose).replace("p50", "").replace("p99", "")
    assert re.findall(r".*\d.*", prose) == []


class _ConnectionEnd:
    """One end of an in-memory connection."""

    def __init__(self) -> None:
        self._parts: asyncio.Queue[bytes] = asyncio.Queue()
        self.other: _ConnectionEnd | None = None

    async def read(self, max_bytes: int) -> bytes:
        return await self._parts.get()

    async def write(self, data: bytes) -> None:
        assert self.other is not None
        self.other._parts.put_nowait(data)

    def close(self) -> None:
        if self.other is not None:
            self.other._parts.put_nowait(b"")

    def ended(self) -> bool:
        return False


class _Network:
    """A network in which every connection reaches the same server."""

    def __init__(self, server: frames.CallServer) -> None:
        self._server = server
        self._tasks: set[asyncio.Task[None]] = set()

    async def connect(self, address: str, timeout_s: float) -> ports.Connection:
        client_end, server_end = _ConnectionEnd(), _ConnectionEnd()
        client_end.other, server_end.other = server_end, client_end
        self._tasks.add(asyncio.create_task(self._server.serve(server_end)))
        return client_end

    async def listen(self, address: str, serve: ports.Serve) -> ports.Listener:
        raise NotImplementedError


def test_both_sides_count_the_same_bytes_by_kind() -> None:
    async def main() -> None:
        async def echo(body: frames.Body) -> frames.Result:
            return outcome.Success({"back": body["text"]})

        client_counters, server_counters = frames.CallCounters(), frames.CallCounters()
        network = _Network(frames.CallServer({"echo": echo}, lambda event, what: None, server_counters))
        call_client = frames.CallClient(network, client_counters)
        for text in ("a", "b" * 1000):
            await call_client.call(ports.Address("x"), "echo", {"text": text}, 5.0)
        # Kinds without a handler are counted under one name, since the sender chooses the name.
        await call_client.call(ports.Address("x"), "nonsense", {}, 5.0)
        await asyncio.sleep(0)
        asked = {k.removeprefix("frames_asked_"): v for k, v in client_counters.counts.items()}
        heard = {k.removeprefix("frames_heard_"): v for k, v in server_counters.counts.items()}
        assert asked["echo_calls"] == heard["echo_calls"] == 2
        assert asked["echo_sent_bytes"] == heard["echo_got_bytes"] > 1000
        assert asked["echo_got_bytes"] == heard["echo_sent_bytes"] > 1000
        assert heard["other_calls"] == 1
        assert not any("nonsense" in key for key in heard)

    asyncio.run(main())


async def _run_small_fleet() -> None:
    size = sizes.Size(nodes=4, endpoints=4, services=2, rules=5)
    async with testbeds.running_testbed(size, 1) as testbed:
        startup = await testbed.start()
        assert startup["count"] == 3
        clock = testbed.fleet.machine.clock
        started_at = clock.now()
        version, _ = await testbed.change_layout()
        _, name = await testbed.leave_endpoint(0)
        _, key = await testbed.mark_endpoint(1)
        wanted = {"layout": version, "left": name, "mark": key}
        while not all(
            len(testbed.first_seen(kind, started_at).get(what, {})) == 3 for kind, what in wanted.items()
        ):
            assert clock.now() - started_at < 30
            await clock.sleep(0.05)
        counts = await testbed.counts()
        assert counts[sizes.HEADLESS][0]["frames_asked_poll_sent_bytes"] > 0
        assert counts["store"][0]["frames_heard_accept_got_bytes"] > 0
        assert counts["registry"][0]["frames_heard_poll_calls"] > 0
        assert all(r.memory_mb > 1 for readings in testbed.readings().values() for r in readings)
        workers = [*testbed.proxies, *testbed.endpoints]
    assert all(worker.ended() for worker in workers)


def test_a_small_fleet_starts_hears_and_ends() -> None:
    asyncio.run(_run_small_fleet())
