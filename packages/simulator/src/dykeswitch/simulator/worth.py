"""What a fleet is worth to its callers: unequal endpoints, steady traffic, one page of figures.

By it ways of selecting are compared within one run: every way has the same fleet, the
same endpoints and the same requests, by the same seeds.
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

# Something done to a fleet that is up, before its traffic comes: another way to select, say.
Way = typing.Callable[[fleets.SimFleet], None]
Page = dict[str, typing.Any]
# How callers come: one further try, and not evenly over the proxies.
BEHAVIOR: typing.Final = clients.ClientBehavior(tries=1, uneven=0.3)
# Traffic that is not counted: what is learnt from replies has to be learnt first.
LEARNING_S: typing.Final = 4.0


def worth(
    shape: shapes.Shape,
    seed: int,
    span: float = 20.0,
    way: Way | None = None,
    bounds: Page | None = None,
    behavior: clients.ClientBehavior = BEHAVIOR,
) -> Page:
    """The worth of one fleet over `span` seconds of its full rate on virtual time.

    `within_aim_share`: replied within the service's aim, counted from the caller's first
    try, of all that callers wanted. `refused_share`: ended with a promise that it did not
    run; `lost_share`: with anything else. `p50_ms`, `p99_ms`: of what was replied.
    `between_zones_bytes`: between proxies and endpoints, for each thing wanted.
    """
    with tempfile.TemporaryDirectory(prefix="dykeswitch-worth-") as scratch:
        page: Page = loops.run(_one(shape, seed, span, way, bounds, behavior, pathlib.Path(scratch)))
        return page


async def _one(
    shape: shapes.Shape,
    seed: int,
    span: float,
    way: Way | None,
    bounds: Page | None,
    behavior: clients.ClientBehavior,
    scratch: pathlib.Path,
) -> Page:
    told = dict(bounds or {})
    fleet = fleets.SimFleet(shape, seed, scratch, 1.0, told)
    await fleet.start()
    if way is not None:
        way(fleet)
    fleet.clients.behavior = behavior
    await asyncio.sleep(scenarios.SETTLED_S)
    await fleet.clients.run_traffic(LEARNING_S)
    before = _counts(fleet)
    fleet.record.operations.clear()
    arrivals = len(fleet.arrivals)
    await fleet.clients.run_traffic(span)
    return _page(fleet, fleet.record.operations, len(fleet.arrivals) - arrivals, before, _counts(fleet))


def _counts(fleet: fleets.SimFleet) -> collections.Counter[str]:
    """What has been counted so far, over all endpoints and all that selects."""
    counts: collections.Counter[str] = collections.Counter()
    for endpoint in fleet.endpoints.values():
        counts.update(endpoint.counts)
        counts["runs"] += endpoint.execution_count
    for (one, two), size in fleet.world.links.bytes_between_zones.items():
        if one in fleet.endpoints or two in fleet.endpoints:
            data = {one, two} & {e.node.name for e in fleet.edges}
            counts["between_zones" if data else "between_zones_beats_and_probes"] += size
    counts["marks"] = sum(1 for line in fleet.world.events if line["event"] == "mark")
    return counts


def _page(
    fleet: fleets.SimFleet,
    operations: typing.Sequence[clients.Operation],
    arrivals: int,
    before: collections.Counter[str],
    after: collections.Counter[str],
) -> Page:
    many = max(1, len(operations))
    counts = after - before
    succeeded = [w for w in operations if w.succeeded]
    refused = [w for w in operations if not w.succeeded and w.requests[-1].status in clients.PROMISES]
    took = sorted(w.ended_at - w.started_at for w in succeeded)
    requests = sum(len(w.requests) for w in operations)
    by_service = {s.name: [w for w in operations if w.service == s.name] for s in fleet.shape.services}
    return {
        "wanted": len(operations),
        "within_aim_share": _share(_within(fleet, operations), many),
        "replied_share": _share(len(succeeded), many),
        "refused_share": _share(len(refused), many),
        "lost_share": _share(len(operations) - len(succeeded) - len(refused), many),
        "p50_ms": _ms(took, 0.5),
        "p99_ms": _ms(took, 0.99),
        "between_zones_bytes": round(counts["between_zones"] / many),
        "further_tries": requests - len(operations),
        "extra_goes": arrivals - requests,
        "turned_away_full": counts["full"],
        "turned_away_late": counts["late_in_queue"],
        "pipes": counts["pipes"],
        "probes": counts["probes"],
        "marks": counts["marks"],
        "within_aim_by_service": {
            name: _share(_within(fleet, some), len(some)) for name, some in by_service.items()
        },
        "load_by_service": {s.name: round(s.load, 2) for s in fleet.shape.services},
    }


def _within(fleet: fleets.SimFleet, operations: typing.Iterable[clients.Operation]) -> int:
    aims = {s.name: s.aim_s for s in fleet.shape.services}
    return sum(1 for w in operations if w.succeeded and w.ended_at - w.started_at <= aims[w.service])


def _share(some: int, many: int) -> float:
    return round(some / max(1, many), 5)


def _ms(took: typing.Sequence[float], part: float) -> float | None:
    return round(1000 * took[int(len(took) * part)], 1) if took else None


def mean(pages: typing.Sequence[Page]) -> Page:
    """The mean of each figure over several seeds; of tables, of each entry."""
    found: Page = {}
    for key, first in pages[0].items():
        if isinstance(first, dict):
            found[key] = mean([page[key] for page in pages])
        else:
            numbers = [page[key] for page in pages if page[key] is not None]
            found[key] = round(statistics.mean(numbers), 5) if numbers else None
    return found


def over_seeds(
    shape: shapes.Shape,
    seeds: typing.Sequence[int],
    span: float = 20.0,
    way: Way | None = None,
    bounds: Page | None = None,
    workers: int = 1,
) -> Page:
    """The mean of a fleet's worth over some seeds, and its share within the aim by each."""
    jobs = [(shape, seed, span, way, bounds) for seed in seeds]
    if workers > 1:
        with concurrent.futures.ProcessPoolExecutor(workers) as pool:
            pages = list(pool.map(_job, jobs))
    else:
        pages = [_job(job) for job in jobs]
    return {**mean(pages), "within_aim_by_seed": [page["within_aim_share"] for page in pages]}


def _job(job: tuple[shapes.Shape, int, float, Way | None, Page | None]) -> Page:
    return worth(*job)


def compare(
    shape: shapes.Shape,
    seeds: typing.Sequence[int],
    ways: dict[str, Way | None],
    span: float = 20.0,
    workers: int = 1,
) -> dict[str, Page]:
    """Each way's worth by name; ways that go to workers are functions of a module."""
    return {name: over_seeds(shape, seeds, span, way, None, workers) for name, way in ways.items()}
