"""A page whose route is taken away while it is fetched reaches its client as a success without a body.

A server sends the head of a page at once and takes 0.9 s over the rest. The proxy breaks the
attempt off half-way through the time that is left, to try another server. A configuration has taken
the route away meanwhile. The client then gets the head of the attempt that was broken off: 200,
with the server's seal, and `Content-Length: 0`.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import stand

PAGES = 12
LEFT_MS = 1500
SLOW_S = 0.9
CHANGE_AFTER_S = 0.1
BODY = random.Random(31).randbytes(9000)
FIRST_BYTES = 4000


class Renderer(stand.Server):
    """A server that takes its time over a page which is asked for the first time."""

    rendered: "set[str]" = set()

    async def run(self, request: stand.Request, writer: asyncio.StreamWriter) -> None:
        """Send a page: at once if some server has rendered it before, else bit by bit."""
        page = request.target
        again = page in Renderer.rendered
        Renderer.rendered.add(page)
        self.record(f"server {self.id} ran {request.attempt} for {page}, {'at once' if again else 'slowly'}")
        whole = self.answer(request, 200, BODY)
        writer.write(whole[:FIRST_BYTES])
        if not again:
            await writer.drain()
            await asyncio.sleep(SLOW_S)
        writer.write(whole[FIRST_BYTES:])


async def fetch(system: stand.System, record: stand.Record, page: str) -> tuple[int, int]:
    """Fetch one page; whether it was served, and whether it was a false success."""
    attempt = stand.attempt_id()
    answer = await stand.ask(
        system.edges[0], system.public, "GET", page, stand.request_fields(attempt, LEFT_MS), b""
    )
    sealed = "dykeswitch-server-seal" in answer.fields
    record(
        f"client got {answer.status} for {attempt}: {len(answer.body)} bytes, "
        f"{'complete' if answer.complete else 'cut off'}, {'sealed' if sealed else 'of the proxy itself'}"
    )
    success = answer.status == 200 and answer.complete
    if success and answer.body != BODY:
        record(f"MIXED: {attempt} is a success with {len(answer.body)} of the page's {len(BODY)} bytes")
    return int(success and answer.body == BODY), int(success and answer.body != BODY)


async def case(system: stand.System, record: stand.Record, trouble: bool) -> int:
    """Fetch pages around a change of the configuration."""
    routes = [
        stand.route("pages", "/pages/", "read_only", "thumbnailer"),
        stand.route("covers", "/covers/", "read_only", "thumbnailer"),
    ]
    if not await system.configure(stand.configuration(1, routes, ["thumbnailer"])):
        return stand.UNABLE
    servers = [Renderer(record, "thumbnailer", system.edges[0], system.cores, system.admin) for _ in range(4)]
    for server in servers:
        await server.start()
    if not await system.wait_ready():
        return stand.UNABLE
    await asyncio.sleep(3)
    # Usual traffic for a while, by which the proxy learns the servers and borrows for further tries.
    for number in range(4):
        Renderer.rendered.add(f"/covers/{number}")
        await fetch(system, record, f"/covers/{number}")
    await asyncio.sleep(2)
    fetches = [asyncio.create_task(fetch(system, record, f"/pages/{n}")) for n in range(PAGES)]
    await asyncio.sleep(CHANGE_AFTER_S)
    kept = routes[1:] if trouble else routes
    status = await system.configure(stand.configuration(2, kept, ["thumbnailer"]), 4.0)
    record(
        f"operator: revision 2 {'without' if trouble else 'with'} the route: {'taken' if status else 'no'}"
    )
    if not status:
        return stand.UNABLE
    ends = await asyncio.gather(*fetches)
    served, false = sum(end[0] for end in ends), sum(end[1] for end in ends)
    record(f"{PAGES} pages, {served} served, {false} successes with a wrong body")
    for server in servers:
        await server.stop()
    if not trouble and not served:
        return stand.UNABLE
    return stand.BROKEN if false else stand.HELD


if __name__ == "__main__":
    stand.main(case)
