"""One run of a test fleet of one size, and the record of what it cost."""

import asyncio
import dataclasses
import os
import signal
import subprocess
import typing

import dykeswitch.scale.process_stats as process_stats
import dykeswitch.scale.testbed as testbeds
from dykeswitch.scale.size import HEADLESS, Size

Page = dict[str, typing.Any]

SETTLE_S: typing.Final = 5.0
WINDOW_S: typing.Final = 10.0
# Layout changes and leavings looked at one by one, and the pause between them.
LOOKS: typing.Final = 4
PAUSE_S: typing.Final = 1.0
SEEN_MOST_S: typing.Final = 30.0


def commit() -> str:
    """The commit of the source that runs, with a plus where the tree differs from it."""
    home = os.path.dirname(os.path.abspath(__file__))

    def git(*args: str) -> str:
        return subprocess.run(["git", "-C", home, *args], capture_output=True, text=True).stdout.strip()

    dirty = git("status", "--porcelain", "--", ":/packages/*.py")
    return git("rev-parse", "--short", "HEAD") + ("+" if dirty else "")


async def run(sweep: str, size: Size, turn: int) -> Page:
    """Start a fleet, measure a steady window, changes, leavings and a recovery; the record."""
    load = os.getloadavg()[0]
    async with testbeds.standing(size, turn) as testbed:
        up = await testbed.start()
        await asyncio.sleep(SETTLE_S)
        roles, marks = await _window(testbed)
        layout, acked = await _layouts(testbed)
        drain = await _drains(testbed)
        again = await _recovery(testbed)
        after = {h.name: (await h.ask(do="tally")).get("held") for h in testbed.proxies[:1]}
    held = {k: round(v, 1) for k, v in (next(iter(after.values())) or {}).items()}
    return {
        "kind": "run",
        "sweep": sweep,
        "turn": turn,
        "commit": commit(),
        "cores_used": round(sum(r["core_share"] * r["members"] for r in roles.values()), 2),
        "load_before": round(load, 2),
        "size": dataclasses.asdict(size),
        "window_s": WINDOW_S,
        "roles": roles,
        "layout": layout,
        "layout_acked": acked,
        "drain": drain,
        "mark": marks,
        "start": {k: round(v, 3) for k, v in up.items()},
        "recovery": again,
        "held": held,
    }


async def _window(testbed: testbeds.Testbed) -> tuple[Page, Page]:
    """What each role spends while things change at the size's own rates."""
    loop = asyncio.get_running_loop()
    counts = await testbed.counts()
    before = testbed.readings()
    begun = loop.time()
    marked: list[tuple[float, str]] = []
    async with asyncio.TaskGroup() as group:
        group.create_task(_change_at(testbed, begun + WINDOW_S))
        group.create_task(_mark_at(testbed, begun + WINDOW_S, marked))
        await asyncio.sleep(WINDOW_S)
    duration = loop.time() - begun
    after = testbed.readings()
    later = await testbed.counts()
    roles: Page = {}
    for role in before:
        parts = {
            "proxy": 1,
            HEADLESS: sum(h.size for h in testbed.proxies),
            "endpoint": testbed.size.endpoints,
        }.get(role, len(before[role]))
        roles[role] = _role(duration, parts, before[role], after[role], counts[role], later[role])
    bases = [h.base_mb for h in testbed.proxies]
    spare = sum(r.memory_mb for r in after[HEADLESS]) - sum(bases)
    roles[HEADLESS]["memory_mb"] = round(spare / max(1, sum(h.size for h in testbed.proxies)), 3)
    await asyncio.sleep(PAUSE_S)
    seen = testbed.seen("mark", begun)
    return roles, _reached([(at, seen.get(key, {})) for at, key in marked], testbed)


def _role(
    duration: float,
    parts: int,
    before: list[process_stats.Reading],
    after: list[process_stats.Reading],
    counts: list[dict[str, float]],
    later: list[dict[str, float]],
) -> Page:
    """One member of a role: a core's share, megabytes, bytes and calls a second by kind."""
    spent = [b.run_s - a.run_s for a, b in zip(before, after)]
    rates: dict[str, float] = {}
    for old, new in zip(counts, later):
        for key, count in new.items():
            if key.endswith(("_bytes", "_calls")):
                rates[key] = rates.get(key, 0.0) + (count - old.get(key, 0.0)) / duration / parts
    page: Page = {
        "members": parts,
        "core_share": round(sum(spent) / duration / parts, 5),
        "core_share_most": round(max(spent) / duration, 5),
        "wait_share": round(
            sum(b.wait_s - a.wait_s for a, b in zip(before, after)) / duration / len(before), 4
        ),
        "memory_mb": round(sum(r.memory_mb for r in after) / parts, 2),
        "rates": {k: round(v, 1) for k, v in sorted(rates.items()) if v >= 0.05},
    }
    for key in ("unready", "frozen"):
        if any(key in new for new in later):
            page[key] = sum(int(n.get(key, 0)) - int(o.get(key, 0)) for o, n in zip(counts, later))
    return page


async def _change_at(testbed: testbeds.Testbed, end: float) -> None:
    await _every(testbed.size.changes, end, testbed.change)


async def _mark_at(testbed: testbeds.Testbed, end: float, marked: list[tuple[float, str]]) -> None:
    turn = 0

    async def one() -> None:
        nonlocal turn
        turn += 1
        marked.append(await testbed.mark(turn))

    await _every(testbed.size.marks, end, one)


async def _every(rate: float, end: float, work: typing.Callable[[], typing.Awaitable[object]]) -> None:
    """Do something so many times a minute until an end; late ones are not made up for."""
    loop = asyncio.get_running_loop()
    if not rate:
        return
    due = loop.time() + 30 / rate
    while due < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        await work()
        due = max(due + 60 / rate, loop.time())


def _reached(metrics: list[tuple[float, dict[str, float]]], testbed: testbeds.Testbed) -> Page:
    """From when something was said until each headless proxy knew of it."""
    wanted = sum(h.size for h in testbed.proxies)
    took = [at - begun for begun, seen in metrics for at in seen.values()]
    missing = sum(wanted - len(seen) for _, seen in metrics)
    return {"looks": len(metrics), "missing": missing, **testbeds.quantiles(took)}


async def _layouts(testbed: testbeds.Testbed) -> tuple[Page, Page]:
    """Until a layout is in force at every headless proxy, and until its operator was told."""
    loop = asyncio.get_running_loop()
    metrics: list[tuple[float, dict[str, float]]] = []
    acked: list[float] = []
    for _ in range(LOOKS):
        begun = loop.time()
        version, told = await testbed.change()
        acked.append(told)
        # The bench of one look is whole when every proxy holds this version or a later one.
        first: dict[str, float] = {}
        while loop.time() < begun + SEEN_MOST_S:
            first = {}
            for held, seen in testbed.seen("layout", begun).items():
                for name, at in seen.items():
                    if held >= version:
                        first[name] = min(at, first.get(name, at))
            if len(first) >= sum(h.size for h in testbed.proxies):
                break
            await asyncio.sleep(0.2)
        metrics.append((begun, first))
        await asyncio.sleep(PAUSE_S)
    return _reached(metrics, testbed), testbeds.quantiles(acked)


async def _drains(testbed: testbeds.Testbed) -> Page:
    """Until every headless proxy knows that an endpoint leaves."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    left = []
    for n in range(min(LOOKS, testbed.size.endpoints // 2)):
        left.append(await testbed.leave(n))
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(PAUSE_S)
    seen = testbed.seen("left", begun)
    return _reached([(at, seen.get(name, {})) for at, name in left], testbed)


async def _recovery(testbed: testbeds.Testbed) -> Page:
    """Kill a worker of headless proxies, start it anew, and wait until all are ready again."""
    worker = testbed.proxies[0]
    await worker.end(signal.SIGKILL)
    await worker.start()
    found = await testbed.ready([worker])
    return {**found, "herd": worker.size}
