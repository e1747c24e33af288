"""Runs a test fleet of one size and records its resource usage and delays."""

import asyncio
import dataclasses
import os
import signal
import subprocess
import typing

import dykeswitch.scale.process_stats as process_stats
import dykeswitch.scale.testbed as testbeds
from dykeswitch.scale.size import HEADLESS, Size

JsonObject = dict[str, typing.Any]

SETTLE_S: typing.Final = 5.0
WINDOW_S: typing.Final = 10.0
# Layout changes and departures of endpoints that are each followed to every proxy.
EVENTS_PER_RUN: typing.Final = 4
# The pause between two of these events.
PAUSE_S: typing.Final = 1.0
MAX_PROPAGATION_S: typing.Final = 30.0


def commit() -> str:
    """Return the commit of the running source, with a plus if the working tree differs from it."""
    home = os.path.dirname(os.path.abspath(__file__))

    def git(*args: str) -> str:
        return subprocess.run(["git", "-C", home, *args], capture_output=True, text=True).stdout.strip()

    dirty = git("status", "--porcelain", "--", ":/packages/*.py")
    return git("rev-parse", "--short", "HEAD") + ("+" if dirty else "")


async def run(sweep: str, size: Size, turn: int) -> JsonObject:
    """Start a fleet and return a record of its usage, layout changes, departures and a recovery."""
    load_before = os.getloadavg()[0]
    async with testbeds.running_testbed(size, turn) as testbed:
        startup = await testbed.start()
        await asyncio.sleep(SETTLE_S)
        roles, marks = await _measure_window(testbed)
        layout, acknowledgement_times = await _measure_layouts(testbed)
        drain = await _measure_drains(testbed)
        recovery = await _measure_recovery(testbed)
        tallies = {handle.name: (await handle.call(do="tally")).get("held") for handle in testbed.proxies[:1]}
    entry_counts = {k: round(v, 1) for k, v in (next(iter(tallies.values())) or {}).items()}
    return {
        "kind": "run",
        "sweep": sweep,
        "turn": turn,
        "commit": commit(),
        "cores_used": round(sum(r["core_share"] * r["members"] for r in roles.values()), 2),
        "load_before": round(load_before, 2),
        "size": dataclasses.asdict(size),
        "window_s": WINDOW_S,
        "roles": roles,
        "layout": layout,
        "layout_acked": acknowledgement_times,
        "drain": drain,
        "mark": marks,
        "start": {k: round(v, 3) for k, v in startup.items()},
        "recovery": recovery,
        "held": entry_counts,
    }


async def _measure_window(testbed: testbeds.Testbed) -> tuple[JsonObject, JsonObject]:
    """Measure each role's usage during `WINDOW_S` with changes and marks at the rates of the size."""
    loop = asyncio.get_running_loop()
    counts_before = await testbed.counts()
    before = testbed.readings()
    started_at = loop.time()
    marked: list[tuple[float, str]] = []
    async with asyncio.TaskGroup() as group:
        group.create_task(_change_until(testbed, started_at + WINDOW_S))
        group.create_task(_mark_until(testbed, started_at + WINDOW_S, marked))
        await asyncio.sleep(WINDOW_S)
    duration = loop.time() - started_at
    after = testbed.readings()
    counts_after = await testbed.counts()
    roles: JsonObject = {}
    for role in before:
        member_count = {
            "proxy": 1,
            HEADLESS: sum(handle.size for handle in testbed.proxies),
            "endpoint": testbed.size.endpoints,
        }.get(role, len(before[role]))
        roles[role] = _role_usage(
            duration, member_count, before[role], after[role], counts_before[role], counts_after[role]
        )
    bases = [handle.base_mb for handle in testbed.proxies]
    member_memory_mb = sum(r.memory_mb for r in after[HEADLESS]) - sum(bases)
    roles[HEADLESS]["memory_mb"] = round(
        member_memory_mb / max(1, sum(handle.size for handle in testbed.proxies)), 3
    )
    await asyncio.sleep(PAUSE_S)
    seen = testbed.first_seen("mark", started_at)
    return roles, _propagation([(marked_at, seen.get(key, {})) for marked_at, key in marked], testbed)


def _role_usage(
    duration: float,
    member_count: int,
    before: list[process_stats.Reading],
    after: list[process_stats.Reading],
    counts_before: list[dict[str, float]],
    counts_after: list[dict[str, float]],
) -> JsonObject:
    """Return the usage of one member of a role.

    It has the share of a core, the memory, and the bytes and calls per second by kind.
    """
    run_times = [b.run_s - a.run_s for a, b in zip(before, after)]
    rates: dict[str, float] = {}
    for old, new in zip(counts_before, counts_after):
        for key, count in new.items():
            if key.endswith(("_bytes", "_calls")):
                rates[key] = rates.get(key, 0.0) + (count - old.get(key, 0.0)) / duration / member_count
    usage: JsonObject = {
        "members": member_count,
        "core_share": round(sum(run_times) / duration / member_count, 5),
        "core_share_most": round(max(run_times) / duration, 5),
        "wait_share": round(
            sum(b.wait_s - a.wait_s for a, b in zip(before, after)) / duration / len(before), 4
        ),
        "memory_mb": round(sum(r.memory_mb for r in after) / member_count, 2),
        "rates": {k: round(v, 1) for k, v in sorted(rates.items()) if v >= 0.05},
    }
    for key in ("unready", "frozen"):
        if any(key in new for new in counts_after):
            usage[key] = sum(
                int(n.get(key, 0)) - int(o.get(key, 0)) for o, n in zip(counts_before, counts_after)
            )
    return usage


async def _change_until(testbed: testbeds.Testbed, ends_at: float) -> None:
    await _repeat(testbed.size.changes, ends_at, testbed.change_layout)


async def _mark_until(testbed: testbeds.Testbed, ends_at: float, marked: list[tuple[float, str]]) -> None:
    turn = 0

    async def mark_next() -> None:
        nonlocal turn
        turn += 1
        marked.append(await testbed.mark_endpoint(turn))

    await _repeat(testbed.size.marks, ends_at, mark_next)


async def _repeat(rate: float, ends_at: float, action: typing.Callable[[], typing.Awaitable[object]]) -> None:
    """Run an action `rate` times per minute until `ends_at`, without catching up on late ones."""
    loop = asyncio.get_running_loop()
    if not rate:
        return
    due_at = loop.time() + 30 / rate
    while due_at < ends_at:
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        await action()
        due_at = max(due_at + 60 / rate, loop.time())


def _propagation(events: list[tuple[float, dict[str, float]]], testbed: testbeds.Testbed) -> JsonObject:
    """Return the quantiles of the delays until each headless proxy saw each event.

    The result also has the number of events and of the observations that are missing.
    """
    proxy_count = sum(handle.size for handle in testbed.proxies)
    delays = [seen_at - started_at for started_at, seen in events for seen_at in seen.values()]
    missing = sum(proxy_count - len(seen) for _, seen in events)
    return {"looks": len(events), "missing": missing, **testbeds.quantiles(delays)}


async def _measure_layouts(testbed: testbeds.Testbed) -> tuple[JsonObject, JsonObject]:
    """Measure the delays of layout changes.

    The first result is until a layout is in force at every headless proxy, the second until its
    operator gets the acknowledgement.
    """
    loop = asyncio.get_running_loop()
    events: list[tuple[float, dict[str, float]]] = []
    acknowledgement_times: list[float] = []
    for _ in range(EVENTS_PER_RUN):
        started_at = loop.time()
        version, acknowledged_s = await testbed.change_layout()
        acknowledgement_times.append(acknowledged_s)
        # The change has reached every proxy once each has this version or a later one.
        reached: dict[str, float] = {}
        while loop.time() < started_at + MAX_PROPAGATION_S:
            reached = {}
            for seen_version, seen in testbed.first_seen("layout", started_at).items():
                for name, seen_at in seen.items():
                    if seen_version >= version:
                        reached[name] = min(seen_at, reached.get(name, seen_at))
            if len(reached) >= sum(handle.size for handle in testbed.proxies):
                break
            await asyncio.sleep(0.2)
        events.append((started_at, reached))
        await asyncio.sleep(PAUSE_S)
    return _propagation(events, testbed), testbeds.quantiles(acknowledgement_times)


async def _measure_drains(testbed: testbeds.Testbed) -> JsonObject:
    """Measure the delays until every headless proxy knows that an endpoint is leaving."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    departures = []
    for n in range(min(EVENTS_PER_RUN, testbed.size.endpoints // 2)):
        departures.append(await testbed.leave_endpoint(n))
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(PAUSE_S)
    seen = testbed.first_seen("left", started_at)
    return _propagation([(left_at, seen.get(name, {})) for left_at, name in departures], testbed)


async def _measure_recovery(testbed: testbeds.Testbed) -> JsonObject:
    """Kill a worker of headless proxies, restart it, and wait until all its proxies are ready."""
    worker = testbed.proxies[0]
    await worker.terminate(signal.SIGKILL)
    await worker.start()
    delays = await testbed.wait_ready([worker])
    return {**delays, "herd": worker.size}
