"""Measures how well a fleet of unequal endpoints serves its clients under steady traffic.

It serves to compare ways of selecting endpoints: each variant runs with the same fleet, the same
endpoints and the same requests, by the same seeds.
"""

import asyncio
import collections
import concurrent.futures
import pathlib
import statistics
import tempfile
import typing

import dykeswitch.simulator.fleet as fleets
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.scenario as scenarios
import dykeswitch.standin.caller as clients
import dykeswitch.standin.shape as shapes

# Changes a running fleet before its traffic starts, for example how its proxies select endpoints.
Modification = typing.Callable[[fleets.SimFleet], None]
Values = dict[str, typing.Any]
# Clients retry once and spread their requests unevenly over the proxies.
BEHAVIOR: typing.Final = clients.ClientBehavior(tries=1, uneven=0.3)
# Traffic before the measurement, so that the proxies have learnt what they derive from responses.
WARM_UP_S: typing.Final = 4.0


def measure(
    shape: shapes.Shape,
    seed: int,
    duration_s: float = 20.0,
    modify: Modification | None = None,
    settings: Values | None = None,
    behavior: clients.ClientBehavior = BEHAVIOR,
) -> Values:
    """Measure one fleet over `duration_s` seconds of virtual time at its full request rate.

    All shares refer to the operations that clients wanted. `within_aim_share`: succeeded within the
    service's target latency, counted from the client's first attempt. `refused_share`: ended with a
    promise that the request did not run. `lost_share`: ended in any other way. `p50_ms`, `p99_ms`:
    latency of the successful ones. `between_zones_bytes`: traffic between proxies and endpoints of
    different zones per operation.
    """
    with tempfile.TemporaryDirectory(prefix="dykeswitch-worth-") as scratch:
        figures: Values = loops.run(
            _measure(shape, seed, duration_s, modify, settings, behavior, pathlib.Path(scratch))
        )
        return figures


async def _measure(
    shape: shapes.Shape,
    seed: int,
    duration_s: float,
    modify: Modification | None,
    settings: Values | None,
    behavior: clients.ClientBehavior,
    scratch: pathlib.Path,
) -> Values:
    fleet_settings = dict(settings or {})
    fleet = fleets.SimFleet(shape, seed, scratch, 1.0, fleet_settings)
    await fleet.start()
    if modify is not None:
        modify(fleet)
    fleet.clients.behavior = behavior
    await asyncio.sleep(scenarios.SETTLED_S)
    await fleet.clients.run_traffic(WARM_UP_S)
    counts_before = _counts(fleet)
    fleet.record.operations.clear()
    arrivals = len(fleet.arrivals)
    await fleet.clients.run_traffic(duration_s)
    return _figures(
        fleet, fleet.record.operations, len(fleet.arrivals) - arrivals, counts_before, _counts(fleet)
    )


def _counts(fleet: fleets.SimFleet) -> collections.Counter[str]:
    """Return the counts so far, over all endpoints and marks."""
    counts: collections.Counter[str] = collections.Counter()
    for endpoint in fleet.endpoints.values():
        counts.update(endpoint.counts)
        counts["runs"] += endpoint.execution_count
    for (sender, receiver), byte_count in fleet.world.links.bytes_between_zones.items():
        if sender in fleet.endpoints or receiver in fleet.endpoints:
            proxy_names = {sender, receiver} & {e.node.name for e in fleet.edges}
            counts["between_zones" if proxy_names else "between_zones_beats_and_probes"] += byte_count
    counts["marks"] = sum(1 for line in fleet.world.events if line["event"] == "mark")
    return counts


def _figures(
    fleet: fleets.SimFleet,
    operations: typing.Sequence[clients.Operation],
    arrivals: int,
    counts_before: collections.Counter[str],
    counts_after: collections.Counter[str],
) -> Values:
    count = max(1, len(operations))
    counts = counts_after - counts_before
    succeeded = [operation for operation in operations if operation.succeeded]
    refused = [
        operation
        for operation in operations
        if not operation.succeeded and operation.requests[-1].status in clients.PROMISES
    ]
    latencies = sorted(operation.ended_at - operation.started_at for operation in succeeded)
    requests = sum(len(operation.requests) for operation in operations)
    by_service = {
        s.name: [operation for operation in operations if operation.service == s.name]
        for s in fleet.shape.services
    }
    return {
        "wanted": len(operations),
        "within_aim_share": _share(_within(fleet, operations), count),
        "replied_share": _share(len(succeeded), count),
        "refused_share": _share(len(refused), count),
        "lost_share": _share(len(operations) - len(succeeded) - len(refused), count),
        "p50_ms": _quantile_ms(latencies, 0.5),
        "p99_ms": _quantile_ms(latencies, 0.99),
        "between_zones_bytes": round(counts["between_zones"] / count),
        "further_tries": requests - len(operations),
        "extra_goes": arrivals - requests,
        "turned_away_full": counts["full"],
        "turned_away_late": counts["late_in_queue"],
        "pipes": counts["pipes"],
        "probes": counts["probes"],
        "marks": counts["marks"],
        "within_aim_by_service": {
            name: _share(_within(fleet, selected), len(selected)) for name, selected in by_service.items()
        },
        "load_by_service": {s.name: round(s.load, 2) for s in fleet.shape.services},
    }


def _within(fleet: fleets.SimFleet, operations: typing.Iterable[clients.Operation]) -> int:
    aims = {s.name: s.aim_s for s in fleet.shape.services}
    return sum(
        1
        for operation in operations
        if operation.succeeded and operation.ended_at - operation.started_at <= aims[operation.service]
    )


def _share(part: int, total: int) -> float:
    return round(part / max(1, total), 5)


def _quantile_ms(latencies: typing.Sequence[float], quantile: float) -> float | None:
    return round(1000 * latencies[int(len(latencies) * quantile)], 1) if latencies else None


def mean(results: typing.Sequence[Values]) -> Values:
    """Return the mean of each figure over several seeds; tables are averaged entry by entry."""
    means: Values = {}
    for key, first in results[0].items():
        if isinstance(first, dict):
            means[key] = mean([figures[key] for figures in results])
        else:
            numbers = [figures[key] for figures in results if figures[key] is not None]
            means[key] = round(statistics.mean(numbers), 5) if numbers else None
    return means


def over_seeds(
    shape: shapes.Shape,
    seeds: typing.Sequence[int],
    duration_s: float = 20.0,
    modify: Modification | None = None,
    settings: Values | None = None,
    workers: int = 1,
) -> Values:
    """Return the mean figures over some seeds, and `within_aim_share` for each seed."""
    jobs = [(shape, seed, duration_s, modify, settings) for seed in seeds]
    if workers > 1:
        with concurrent.futures.ProcessPoolExecutor(workers) as pool:
            results = list(pool.map(_job, jobs))
    else:
        results = [_job(job) for job in jobs]
    return {**mean(results), "within_aim_by_seed": [figures["within_aim_share"] for figures in results]}


def _job(job: tuple[shapes.Shape, int, float, Modification | None, Values | None]) -> Values:
    return measure(*job)


def compare(
    shape: shapes.Shape,
    seeds: typing.Sequence[int],
    variants: dict[str, Modification | None],
    duration_s: float = 20.0,
    workers: int = 1,
) -> dict[str, Values]:
    """Return each variant's figures by name; with workers, variants must be module-level functions."""
    return {
        name: over_seeds(shape, seeds, duration_s, modify, None, workers) for name, modify in variants.items()
    }
