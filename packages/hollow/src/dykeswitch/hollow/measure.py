"""One run of a hollow fleet of one size, and the record of what it cost."""

import asyncio
import dataclasses
import os
import signal
import subprocess
import typing

import dykeswitch.hollow.gauge as gauge
import dykeswitch.hollow.ground as grounds

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


async def run(sweep: str, size: grounds.Size, turn: int) -> Page:
    """Start a fleet, measure a steady window, changes, leavings and a recovery; the record."""
    load = os.getloadavg()[0]
    async with grounds.standing(size, turn) as ground:
        up = await ground.start()
        await asyncio.sleep(SETTLE_S)
        roles, marks = await _window(ground)
        layout, acked = await _layouts(ground)
        drain = await _drains(ground)
        again = await _recovery(ground)
        after = {h.name: (await h.ask(do="tally")).get("held") for h in ground.proxies[:1]}
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


async def _window(ground: grounds.Ground) -> tuple[Page, Page]:
    """What each role spends while things change at the size's own rates."""
    loop = asyncio.get_running_loop()
    counts = await ground.counts()
    before = ground.readings()
    begun = loop.time()
    marked: list[tuple[float, str]] = []
    async with asyncio.TaskGroup() as group:
        group.create_task(_change_at(ground, begun + WINDOW_S))
        group.create_task(_mark_at(ground, begun + WINDOW_S, marked))
        await asyncio.sleep(WINDOW_S)
    span = loop.time() - begun
    after = ground.readings()
    later = await ground.counts()
    roles: Page = {}
    for role in before:
        parts = {
            "proxy": 1,
            "hollow": sum(h.size for h in ground.proxies),
            "endpoint": ground.size.endpoints,
        }.get(role, len(before[role]))
        roles[role] = _role(span, parts, before[role], after[role], counts[role], later[role])
    bases = [h.base_mb for h in ground.proxies]
    spare = sum(r.memory_mb for r in after["hollow"]) - sum(bases)
    roles["hollow"]["memory_mb"] = round(spare / max(1, sum(h.size for h in ground.proxies)), 3)
    await asyncio.sleep(PAUSE_S)
    seen = ground.seen("mark", begun)
    return roles, _reached([(at, seen.get(key, {})) for at, key in marked], ground)


def _role(
    span: float,
    parts: int,
    before: list[gauge.Reading],
    after: list[gauge.Reading],
    counts: list[dict[str, float]],
    later: list[dict[str, float]],
) -> Page:
    """One member of a role: a core's share, megabytes, bytes and calls a second by kind."""
    spent = [b.run_s - a.run_s for a, b in zip(before, after)]
    rates: dict[str, float] = {}
    for old, new in zip(counts, later):
        for key, count in new.items():
            if key.endswith(("_bytes", "_calls")):
                rates[key] = rates.get(key, 0.0) + (count - old.get(key, 0.0)) / span / parts
    page: Page = {
        "members": parts,
        "core_share": round(sum(spent) / span / parts, 5),
        "core_share_most": round(max(spent) / span, 5),
        "wait_share": round(sum(b.wait_s - a.wait_s for a, b in zip(before, after)) / span / len(before), 4),
        "memory_mb": round(sum(r.memory_mb for r in after) / parts, 2),
        "rates": {k: round(v, 1) for k, v in sorted(rates.items()) if v >= 0.05},
    }
    for key in ("unready", "frozen"):
        if any(key in new for new in later):
            page[key] = sum(int(n.get(key, 0)) - int(o.get(key, 0)) for o, n in zip(counts, later))
    return page


async def _change_at(ground: grounds.Ground, end: float) -> None:
    await _every(ground.size.changes, end, ground.change)


async def _mark_at(ground: grounds.Ground, end: float, marked: list[tuple[float, str]]) -> None:
    turn = 0

    async def one() -> None:
        nonlocal turn
        turn += 1
        marked.append(await ground.mark(turn))

    await _every(ground.size.marks, end, one)


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


def _reached(looks: list[tuple[float, dict[str, float]]], ground: grounds.Ground) -> Page:
    """From when something was said until each hollow proxy knew of it."""
    wanted = sum(h.size for h in ground.proxies)
    took = [at - begun for begun, seen in looks for at in seen.values()]
    missing = sum(wanted - len(seen) for _, seen in looks)
    return {"looks": len(looks), "missing": missing, **grounds.spans(took)}


async def _layouts(ground: grounds.Ground) -> tuple[Page, Page]:
    """Until a layout is in force at every hollow proxy, and until its operator was told."""
    loop = asyncio.get_running_loop()
    looks: list[tuple[float, dict[str, float]]] = []
    acked: list[float] = []
    for _ in range(LOOKS):
        begun = loop.time()
        version, told = await ground.change()
        acked.append(told)
        # The bench of one look is whole when every proxy holds this version or a later one.
        first: dict[str, float] = {}
        while loop.time() < begun + SEEN_MOST_S:
            first = {}
            for held, seen in ground.seen("layout", begun).items():
                for name, at in seen.items():
                    if held >= version:
                        first[name] = min(at, first.get(name, at))
            if len(first) >= sum(h.size for h in ground.proxies):
                break
            await asyncio.sleep(0.2)
        looks.append((begun, first))
        await asyncio.sleep(PAUSE_S)
    return _reached(looks, ground), grounds.spans(acked)


async def _drains(ground: grounds.Ground) -> Page:
    """Until every hollow proxy knows that an endpoint leaves."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    left = []
    for n in range(min(LOOKS, ground.size.endpoints // 2)):
        left.append(await ground.leave(n))
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(PAUSE_S)
    seen = ground.seen("left", begun)
    return _reached([(at, seen.get(name, {})) for at, name in left], ground)


async def _recovery(ground: grounds.Ground) -> Page:
    """Kill a herd of hollow proxies, start it anew, and wait until all are ready again."""
    herd = ground.proxies[0]
    await herd.end(signal.SIGKILL)
    await herd.start()
    found = await ground.ready([herd])
    return {**found, "herd": herd.size}
