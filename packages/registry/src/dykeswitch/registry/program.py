"""The registry's process: beats, operators and queries in; the register behind."""

import asyncio
import json
import random
import typing

import cbor2
import litestar
import litestar.exceptions

import dykeswitch.adapter as adapters
import dykeswitch.frames as frames
import dykeswitch.language as language
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.logs as logs
import dykeswitch.membership as membership
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.registry.duties as duties
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.registry.lender as lenders
import dykeswitch.registry.prober as probers
import dykeswitch.registry.replies as replies
import dykeswitch.registry.seating as seatings
import dykeswitch.settings as settings
import dykeswitch.timeline as timeline

Page = litestar.Response[dict[str, typing.Any]]
BEAT_MOST: typing.Final = 16384
# How many proxies should hold a change before its operator is told.
HANDED: typing.Final = 2
# The part of a call's span in which other cores must take up that an endpoint leaves.
TELL_PART: typing.Final = 0.7
# The register's key of the table of endpoints.
TABLE: typing.Final = "endpoints"
# The part of a sweep's span after which a start looks again for what it needs to begin.
EAGER: typing.Final = 0.1
# How long a planned pause that is over stays listed.
PAUSES_KEPT_S: typing.Final = 86400.0


def _page(result: outcome.Good[dict[str, typing.Any]] | outcome.Bad, version: int | None = None) -> Page:
    heads = {} if version is None else {"ETag": f'"{version}"'}
    if isinstance(result, outcome.Good):
        return litestar.Response(result.value, status_code=200, headers=heads)
    heads["Dykeswitch-Result"] = str(result.code.number)
    if result.code.status == 503:
        heads["Retry-After"] = "1"
    return litestar.Response(result.page(), status_code=result.code.status, headers=heads)


class Registry:
    """One registry."""

    def __init__(
        self,
        bounds: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter | None = None,
    ) -> None:
        self.bounds = bounds
        self.adapter: adapters.Adapter = adapter or adapters.Own()
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.line = timeline.Timeline(bounds.name, self.clock, bounds.forget_s)
        self.marks = timeline.Marks(self.line, bounds.mark_s)
        self.meter = frames.Tally()
        self.caller = frames.Caller(machine.net, self.meter)
        me = membership.Member(bounds.name, "registry", bounds.member)
        self.spread = membership.Spread(
            me,
            self.line,
            machine,
            self.caller,
            rng,
            bounds.shuffle_s,
            bounds.call_s,
            bounds.hold_s,
            bounds.seeds,
            log.note,
            bounds.zone,
        )
        self.spread.backed = lambda: self.ready() is None
        self._boot = f"{rng.getrandbits(32):08x}"
        self.proposer = proposers.Proposer(
            f"{bounds.name}/{self._boot}", self.caller, self.clock, machine.points, bounds.call_s, rng
        )
        self.documents = documents.Documents(self.line, self.caller, bounds.call_s, self._reads)
        self.documents.on_handed = self._tell_handed
        self.endpoints = endpoints.Endpoints(bounds, self.clock, self.line)
        self.duties = duties.Duties(bounds.name, self._boot, bounds, self.line, self.proposer)
        self.lender = lenders.Lender(bounds, self.clock, self.duties)
        self.prober = probers.Prober(
            bounds.name, bounds, machine, self.line, self.marks, self.duties, self._probe_path, log.note
        )
        self.seating = seatings.Seating(bounds.name, bounds, machine, self.caller, self.proposer, log.note)
        self.layout: layouts.Layout | None = None
        self._rng = rng
        self.pauses: list[pauses.Pause] = []
        self.replies = replies.Replies(
            self.line, self.marks, self.spread.wall, lambda: self.layout, lambda: self.pauses
        )
        self._ops = 0
        # The table of endpoints as we last wrote it to the register.
        self._table: list[timeline.Fields] = []
        # Calls that nobody waits for any more, held until they end.
        self._late: set[asyncio.Task[frames.Result]] = set()
        self._tick = self.clock.now()
        self._majority = -1e9
        self._server: ports.WebServer | None = None
        self.stopping = False
        self._stop = asyncio.Event()
        self.app = litestar.Litestar(
            route_handlers=[
                litestar.get("/healthz", sync_to_thread=False)(self._healthz),
                litestar.get("/readyz", sync_to_thread=False)(self._readyz),
                litestar.get("/-/counters", sync_to_thread=False)(self._counters),
                litestar.post("/v1/beat")(self._post_beat),
                litestar.get("/v1/layout")(self._get_layout),
                litestar.put("/v1/layout")(self._put_layout),
                litestar.get("/v1/endpoints", sync_to_thread=False)(self._get_endpoints),
                litestar.get("/v1/members", sync_to_thread=False)(self._get_members),
                litestar.post("/v1/query")(self._post_query),
                litestar.get("/v1/health")(self._get_health),
                *self.adapter.calls(self),
            ],
            openapi_config=None,
            logging_config=None,
            request_max_body_size=bounds.layout_most,
            exception_handlers={Exception: self._failed},
        )

    # Papers.

    async def _reads(self, name: str, version: int, data: bytes) -> documents.Take | None:
        """Read a paper while calls go on; what is handed back takes it up at once."""
        if name == documents.PAUSES:
            planned = pauses.read(data)
            return lambda: setattr(self, "pauses", planned)
        raw = self.adapter.layout(data)
        result = raw if isinstance(raw, outcome.Bad) else await layouts.check_gently(raw.value)
        if isinstance(result, outcome.Bad):
            self.log.error("layout refused", version=version, faults=result.faults[:5])
            return None
        layout = result.value

        def take() -> None:
            self.layout = layout
            self.log.info("layout taken up", version=version, rules=len(layout.rules))

        return take

    def _probe_path(self, service: str) -> str:
        if self.layout is None or service not in self.layout.services:
            return ""
        return self.layout.services[service].probe

    async def _publish(self, name: str, value: register.Value) -> None:
        """Name a confirmed version on the timeline, so that every proxy fetches it."""
        if not value.version:
            return
        await self.documents.take(name, value.version, value.body)
        named = self.line.get(timeline.DOCUMENT, name)
        if named is None or int(named.fields["version"]) < value.version:
            self.line.write(timeline.DOCUMENT, name, {"version": value.version}, self.bounds.forget_s)
        elif named.expiry - self.clock.now() < self.bounds.forget_s / 2:
            self.line.write(timeline.DOCUMENT, name, dict(named.fields), self.bounds.forget_s, urgent=False)

    async def _read_documents(self) -> outcome.Bad | None:
        """Read the newest papers from a majority and name them."""
        for name in documents.NAMES:
            result = await self.proposer.read(name)
            if isinstance(result, outcome.Bad):
                return result
            await self._publish(name, result.value)
        self._majority = self.clock.now()
        return None

    # Calls of members.

    def kinds(self) -> dict[str, frames.Handle]:
        return {
            **self.spread.kinds(),
            **self.documents.kinds(),
            **self.lender.kinds(),
            "confirm": self._on_confirm,
            "seen": self._on_seen,
            "spans": self._on_spans,
            "heard": self._on_heard,
            "handed": self._on_handed,
        }

    async def _on_seen(self, body: frames.Body) -> frames.Result:
        """What our own probes found last, and how long ago: walls differ, spans do not."""
        now = self.clock.now()
        seen = {name: [now - s.at, s.reason] for name, s in self.prober.seen.items()}
        return outcome.Good({"seen": seen})

    async def _on_heard(self, body: frames.Body) -> frames.Result:
        """Another registry heard beats of these."""
        self.endpoints.heard([str(name) for name in body["names"]])
        return outcome.Good({})

    def _tell_handed(self, name: str, version: int, proxy: str) -> None:
        """Tell the registry that named a paper of the first proxies that we handed it to."""
        if len(self.documents.handed[name, version]) > HANDED:
            return
        named = self.line.get(timeline.DOCUMENT, name)
        address = "" if named is None else self.spread.known_cores().get(named.stamp[1], "")
        if not address:
            return
        told: frames.Body = {"name": name, "version": version, "proxy": proxy}
        call = asyncio.create_task(self.caller.ask(address, "handed", told, self.bounds.call_s))
        self._late.add(call)
        call.add_done_callback(self._late.discard)

    async def _on_handed(self, body: frames.Body) -> frames.Result:
        """Another registry handed a paper that we named to a proxy."""
        self.documents.note_handed(str(body["name"]), int(body["version"]), str(body["proxy"]))
        return outcome.Good({})

    async def _keep_documents(self) -> None:
        """Fetch a paper as soon as another registry names it, so that our proxies can have it of us."""
        while True:
            async with self.line.news:
                await ports.wait_for(
                    self.line.news, lambda: bool(self.documents.behind()), self.bounds.hold_s
                )
            if self.documents.behind():
                cores = self.spread.cores()
                names = [e.stamp[1] for e in self.line.all(timeline.DOCUMENT)]
                # Who named it has it for sure.
                first = [cores[name] for name in names if name in cores]
                addresses = list(dict.fromkeys([*first, *cores.values()]))
                if not await self.documents.catch_up(addresses):
                    await self.clock.sleep(self.bounds.tick_s)

    async def _keep_telling(self) -> None:
        """Tell the other registries whose beats we heard: who is silent for one is not for all."""
        while True:
            names = self.endpoints.told()
            if names:
                await self._others("heard", {"names": names})
            await self.clock.sleep(self.bounds.dead_s / 3)

    async def _on_spans(self, body: frames.Body) -> frames.Result:
        """What our own history holds of some endpoints."""
        names = [str(name) for name in body["names"]]
        return outcome.Good({"rows": self.replies.spans.of(names)})

    async def _others(self, kind: str, body: frames.Body) -> list[frames.Body]:
        """What the other registries answer, those that do in time."""
        addresses = list(self.spread.cores().values())
        found = await asyncio.gather(
            *(self.caller.ask(address, kind, body, self.bounds.call_s) for address in addresses)
        )
        return [result.value for result in found if isinstance(result, outcome.Good)]

    async def _history(self, ask: language.Show) -> replies.Table:
        """Every registry's history as one: what one missed, or forgot over a start, others tell."""
        names = self.replies.names(ask)
        pages = await self._others("spans", {"names": names})
        books = [self.replies.spans.of(names), *(page["rows"] for page in pages)]
        return replies.one_history(books, 1 + len(pages))

    async def _loans(self, ask: language.Show) -> replies.Table:
        """Every lender's book: what of each service's floor is lent, and what may still be spent."""
        pages = await self._others("loans", {})
        books = [self.lender.rows(), *(page["rows"] for page in pages)]
        found = [row for book in books for row in book if ask.wants("service", str(row[0]))]
        heads = ("service", "part", "lender", "fence", "borrowers", "lent", "out", "of", "waits s")
        return replies.Table(heads, sorted(found))

    async def _on_confirm(self, body: frames.Body) -> frames.Result:
        """What a majority holds at this moment, not what we read a while ago."""
        bad = await self._read_documents()
        if bad is not None:
            return bad
        # Polls carry marks: whether one is sure of the layout and of who left does not hang on them.
        return outcome.Good({"items": self.spread.news_for(self.spread.known_to(body), marks=False)})

    # The outside.

    def _failed(self, request: litestar.Request[typing.Any, typing.Any, typing.Any], flaw: Exception) -> Page:
        status = flaw.status_code if isinstance(flaw, litestar.exceptions.HTTPException) else 500
        if status == 413:
            return _page(outcome.bad("too_big", f"over {self.bounds.layout_most} bytes"))
        if status in (404, 405):
            return _page(outcome.bad("no_such", f"{request.method} {request.url.path}"))
        self.log.error("call failed", path=request.url.path, flaw=f"{type(flaw).__name__}: {flaw}")
        return _page(outcome.bad("broke", type(flaw).__name__))

    def _healthz(self) -> dict[str, str]:
        return {"state": "alive"}

    def ready(self) -> str | None:
        if self.stopping:
            return "stopping"
        if self.clock.now() - self._majority > self.bounds.drain_s:
            return "no majority of stores"
        return None

    def _readyz(self) -> Page:
        why = self.ready()
        page: dict[str, typing.Any] = {"ready": why is None}
        if why is not None:
            page["why"] = why
        return litestar.Response(page, status_code=200 if why is None else 503)

    def _counters(self) -> litestar.Response[bytes]:
        # Brought in when somebody asks: few do, and each start would pay for it.
        import dykeswitch.logs.counters as counters

        up = [e for e in self.line.all(timeline.ENDPOINT) if e.fields["state"] == timeline.UP]
        lent, out = self.lender.sums()
        counts = {
            "coins_lent": lent,
            "coins_out": out,
            "loans_lent": self.lender.lent,
            "loans_refused": self.lender.refused,
            "loans_passed_over": self.lender.passed_over,
            "probes": self.prober.probes,
            "copies_mended": self.proposer.mended,
            "endpoints_up": len(up),
            "endpoints_down": sum(1 for e in up if self.marks.down(e.key) is not None),
            "member_set_epoch": self.proposer.members.epoch,
            **self.meter.counts,
        }
        data = counters.page("registry", self.bounds.name, counts)
        return litestar.Response(data, media_type="text/plain; version=0.0.4")

    async def _post_beat(self, request: litestar.Request[typing.Any, typing.Any, typing.Any]) -> Page:
        data = await request.body()
        if len(data) > BEAT_MOST:
            return _page(outcome.bad("too_big", f"over {BEAT_MOST} bytes"))
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as flaw:
            return _page(outcome.bad("bad_json", str(flaw)[:200]))
        return _page(await self.beat(raw))

    async def beat(self, raw: object) -> outcome.Good[dict[str, object]] | outcome.Bad:
        """Take a beat in the product's own form."""
        beat = endpoints.read_beat(raw)
        if isinstance(beat, outcome.Bad):
            return beat
        told = self.endpoints.beat(beat.value)
        if isinstance(told, outcome.Good) and (beat.value.leaving or beat.value.draining):
            return await self._leaving_held(beat.value.name, told)
        return told

    async def _leaving_held(
        self, name: str, told: outcome.Good[dict[str, object]]
    ) -> outcome.Good[dict[str, object]] | outcome.Bad:
        """Acknowledge that an endpoint leaves once enough other cores hold it.

        As many cores as may be lost at once could go dark the moment after: one that does not
        go must know. Too few heard in time: the endpoint is sent to another registry.
        """
        entry = self.line.get(timeline.ENDPOINT, name)
        need = min(self.bounds.cores_lost, len(self.proposer.members.disks()) - 1)
        if entry is None or need <= 0:
            return told
        ask: frames.Body = {"items": [entry.wire(self.clock.now())], **self.spread.head()}
        addresses = list(self.spread.known_cores().values())
        wait = self.bounds.call_s * TELL_PART
        calls = [asyncio.create_task(self.caller.ask(address, "tell", ask, wait)) for address in addresses]
        held = 0
        for call in asyncio.as_completed(calls):
            held += isinstance(await call, outcome.Good)
            if held >= need:
                # The rest are told all the same: those calls end by themselves.
                self._late.update(c for c in calls if not c.done())
                for late in self._late:
                    late.add_done_callback(self._late.discard)
                return told
        return outcome.bad("not_held", f"{held} of {need} other cores")

    async def newest(self) -> outcome.Good[bytes] | outcome.Bad:
        """The newest layout, as it was sent, from a majority."""
        result = await self.proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Bad):
            return result
        await self._publish(documents.LAYOUT, result.value)
        if not result.value.version:
            return outcome.bad("no_such", "no layout yet")
        return outcome.Good(result.value.body)

    async def put(self, data: bytes, want: int | None = None) -> outcome.Good[int] | outcome.Bad:
        """Take a layout as it was sent; its version in the register, once it is in force.

        A numbered layout moves the register only if its number is higher than the one that
        stands; an older or equal one is acknowledged and changes nothing.
        """
        raw = self.adapter.layout(data)
        checked = raw if isinstance(raw, outcome.Bad) else await layouts.check_gently(raw.value)
        if isinstance(checked, outcome.Bad):
            return checked
        kept = layouts.pack(checked.value) if isinstance(self.adapter, adapters.Own) else data
        result = await self._change(documents.LAYOUT, kept, want, checked.value.number)
        if isinstance(result, outcome.Bad):
            return result
        await self._publish(documents.LAYOUT, result.value)
        await self._handed(documents.LAYOUT, result.value.version)
        self.log.info("layout accepted", version=result.value.version, number=checked.value.number)
        return outcome.Good(result.value.version)

    def _number(self, body: bytes) -> int | None:
        """The operator's number of a layout that the register holds."""
        raw = self.adapter.layout(body) if body else outcome.bad("no_such")
        if isinstance(raw, outcome.Bad) or not isinstance(raw.value, dict):
            return None
        number = raw.value.get("number")
        return number if isinstance(number, int) else None

    async def _get_layout(self) -> litestar.Response[typing.Any]:
        result = await self.proposer.read(documents.LAYOUT)
        if isinstance(result, outcome.Bad):
            return _page(result)
        await self._publish(documents.LAYOUT, result.value)
        if not result.value.version:
            return _page(outcome.bad("no_such", "no layout yet"))
        return litestar.Response(
            result.value.body,
            media_type="application/json",
            headers={"ETag": f'"{result.value.version}"', "Dykeswitch-Version": str(result.value.version)},
        )

    async def _put_layout(self, request: litestar.Request[typing.Any, typing.Any, typing.Any]) -> Page:
        match = request.headers.get("if-match")
        want: int | None = None
        if match is not None and match != "*":
            text = match.strip().strip('"')
            if not text.isdigit():
                return _page(outcome.bad("bad_match", match[:80]))
            want = int(text)
        result = await self.put(await request.body(), want)
        if isinstance(result, outcome.Bad):
            return _page(result)
        return _page(outcome.Good({"version": result.value}), result.value)

    async def _handed(self, name: str, version: int) -> None:
        """Wait a moment until two proxies hold it, so that it spreads even if all cores go dark."""
        proxies = len(self.line.all(timeline.PROXY))
        end = self.clock.now() + self.bounds.gap_s
        while self.clock.now() < end:
            got = self.documents.handed.get((name, version), set())
            if len(got) >= min(HANDED, proxies) or self.documents.version(name) > version:
                return
            await self.clock.sleep(self.bounds.gap_s / 100)

    async def _change(self, name: str, data: bytes, want: int | None, number: int | None) -> proposers.Read:
        self._ops += 1
        op = f"{self.bounds.name}/{self._boot}/{name}/{self._ops}"

        def step(now: register.Value) -> register.Value | outcome.Bad:
            # Ours already, or the same body by a repeat after an unknown outcome.
            if now.made(op) is not None or now.body == data:
                return now
            held = self._number(now.body) if name == documents.LAYOUT else None
            if held is not None and number is None:
                return outcome.bad("lost_race", f"layouts are numbered; the newest is {held}")
            if held is not None and number is not None and number <= held:
                return now
            if want is not None and now.version != want:
                return outcome.bad("lost_race", f"newest is {now.version}")
            return now.next(data, op)

        result = await self.proposer.change(name, step)
        if isinstance(result, outcome.Good):
            version = result.value.made(op)
            # Another change may have gone on top of ours before we knew: ours stands
            # under its own version.
            if version is not None and version != result.value.version:
                return outcome.Good(register.Value(version, data))
        return result

    # The operators' language.

    async def _post_query(self, request: litestar.Request[typing.Any, typing.Any, typing.Any]) -> Page:
        try:
            raw = json.loads(await request.body())
        except (ValueError, RecursionError) as flaw:
            return _page(outcome.bad("bad_json", str(flaw)[:200]))
        if not isinstance(raw, dict) or not isinstance(raw.get("text"), str):
            return _page(outcome.bad("bad_query", "send an object with a text"))
        asked = language.parse(raw["text"])
        if isinstance(asked, outcome.Bad):
            return _page(asked)
        by = outcome.fit(str(raw.get("by", "operator"))[:80])
        found = await self._obey(asked.value, by)
        if isinstance(found, outcome.Bad):
            return _page(found)
        page: dict[str, typing.Any] = {"columns": list(found.columns), "rows": found.rows}
        return _page(outcome.Good({**page, "fresh": self._fresh()}))

    def _fresh(self) -> dict[str, typing.Any]:
        """How old what we say may be, and whether we speak with a majority behind us."""
        now = self.clock.now()
        age = round(now - self._majority, 2) if self._majority > 0 else None
        alone = now - self.spread.heard > self.bounds.drain_s
        return {
            "by": self.bounds.name,
            "majority": self.ready() is None,
            "majority_read_s_ago": age,
            "cut_off": alone,
        }

    async def _obey(self, ask: language.Command, by: str) -> replies.Table | outcome.Bad:
        if isinstance(ask, language.Explain):
            return self.replies.explain(ask)
        if isinstance(ask, language.Trail):
            return await self._trail(ask.exchange)
        if isinstance(ask, language.Pause):
            return await self._pause(ask, by)
        if isinstance(ask, language.End):
            return await self._end_pause(ask.pause)
        if ask.subject == "pauses":
            # Planned pauses are told from a majority, not from memory.
            bad = await self._read_documents()
            if bad is not None:
                return bad
        if ask.subject == "history":
            return await self._history(ask)
        if ask.subject == "loans":
            return await self._loans(ask)
        return self.replies.show(ask) or self._show_fleet(ask)

    async def _trail(self, name: str) -> replies.Table | outcome.Bad:
        """Ask the proxy that carried an exchange what it did; its name begins with the proxy's."""
        entry = self.line.get(timeline.PROXY, name.rsplit("-", 2)[0])
        if entry is None or "spot" not in entry.fields:
            return outcome.bad("no_such", f"no living proxy carried {name}")
        ask: frames.Body = {"exchange": name}
        result = await self.caller.ask(str(entry.fields["spot"]), "exchange", ask, self.bounds.call_s)
        if isinstance(result, outcome.Bad):
            return result
        rows = [[round(at * 1000, 1), what, why] for at, what, why in result.value["trail"]]
        return replies.Table(("after ms", "what", "why"), rows)

    def _show_fleet(self, ask: language.Show) -> replies.Table:
        if ask.subject == "proxies":
            rows = [
                [
                    e.key,
                    e.fields["zone"],
                    e.fields["web"],
                    e.fields["layout"],
                    e.fields["ready"],
                    e.fields.get("extra", ""),
                ]
                for e in sorted(self.line.all(timeline.PROXY), key=lambda e: e.key)
                if ask.wants("zone", str(e.fields["zone"]))
            ]
            return replies.Table(("proxy", "zone", "address", "layout", "ready", "extra"), rows)
        if ask.subject == "duties":
            held = sorted(self.duties.owners().items())
            return replies.Table(("slot", "owner", "fence"), [[s, o, f] for s, (o, f) in held])
        if ask.subject == "layout":
            version = self.documents.version(documents.LAYOUT)
            rules = len(self.layout.rules) if self.layout else 0
            return replies.Table(("version", "rules"), [[version, rules]])
        rows = [
            [e.key, "registry", e.fields["zone"], e.fields["web"], "live"]
            for e in sorted(self.line.all(timeline.CORE), key=lambda e: e.key)
        ]
        seated = self.proposer.members.disks()
        for disk, state in sorted(self.seating.states.items()):
            seat = "seated" if disk in seated else "blank" if state["blank"] else "retired"
            rows.append([disk, "store", "", state["spot"], seat])
        missing = sorted(set(seated) - set(self.seating.states))
        rows += [[disk, "store", "", seated[disk], "silent"] for disk in missing]
        return replies.Table(("member", "kind", "zone", "address", "state"), rows)

    async def _pause(self, ask: language.Pause, by: str) -> replies.Table | outcome.Bad:
        wall = self.spread.wall()
        name = f"p{self._rng.getrandbits(32):08x}"
        fresh = pauses.Pause(
            name, ask.endpoint, wall + ask.in_s, wall + ask.in_s + ask.for_s, ask.reason, by, wall
        )

        def edit(now: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Bad:
            # Those long over are let go when the list is written anyway.
            return [*(p for p in now if p.ends > wall - PAUSES_KEPT_S), fresh]

        return await self._edit_pauses(edit)

    async def _end_pause(self, name: str) -> replies.Table | outcome.Bad:
        def edit(now: list[pauses.Pause]) -> list[pauses.Pause] | outcome.Bad:
            if all(p.name != name for p in now):
                return outcome.bad("no_such", f"no pause {name}")
            return [p for p in now if p.name != name]

        return await self._edit_pauses(edit)

    async def _edit_pauses(
        self, edit: typing.Callable[[list[pauses.Pause]], list[pauses.Pause] | outcome.Bad]
    ) -> replies.Table | outcome.Bad:
        self._ops += 1
        op = f"{self.bounds.name}/{self._boot}/pauses/{self._ops}"

        def step(now: register.Value) -> register.Value | outcome.Bad:
            if now.made(op) is not None:
                return now
            edited = edit(pauses.read(now.body))
            if isinstance(edited, outcome.Bad):
                return edited
            return now.next(pauses.pack(edited), op)

        result = await self.proposer.change(documents.PAUSES, step)
        if isinstance(result, outcome.Bad):
            return result
        await self._publish(documents.PAUSES, result.value)
        await self._handed(documents.PAUSES, result.value.version)
        self.log.info("pauses changed", version=result.value.version)
        found = self.replies.show(language.Show("pauses"))
        assert found is not None
        return found

    def _get_endpoints(self) -> dict[str, typing.Any]:
        found = []
        for entry in sorted(self.line.all(timeline.ENDPOINT), key=lambda e: e.key):
            mark = self.marks.down(entry.key)
            page: dict[str, typing.Any] = {"id": entry.key}
            page.update((k, v) for k, v in entry.fields.items() if k != "born")
            if mark is not None:
                page["down"] = {"reason": mark.fields["reason"], "by": mark.fields["by"]}
                page["down"]["left_s"] = round(mark.expiry - self.clock.now(), 2)
            found.append(page)
        return {"endpoints": found}

    def _get_members(self) -> dict[str, typing.Any]:
        members = self.proposer.members
        return {
            "cores": {e.key: e.fields for e in self.line.all(timeline.CORE)},
            "proxies": {e.key: e.fields for e in self.line.all(timeline.PROXY)},
            "view": sorted(self.spread.view),
            "stores": {
                "epoch": members.epoch,
                "joint": members.joint(),
                "groups": [dict(g) for g in members.groups],
                "seen": {
                    d: {"spot": s["spot"], "seated": s["seated"]} for d, s in self.seating.states.items()
                },
            },
            "duties": {str(s): {"owner": o, "fence": f} for s, (o, f) in self.duties.owners().items()},
            "layout": self.documents.version(documents.LAYOUT),
        }

    async def _get_health(self) -> dict[str, typing.Any]:
        """The source's health page, with services for its networks."""
        # Each endpoint is probed by one registry: the page is put together from all.
        ago = {name: self.clock.now() - s.at for name, s in self.prober.seen.items()}
        for told in await self._others("seen", {}):
            for name, (span, _) in told["seen"].items():
                ago[name] = min(ago.get(name, span), span)
        services: dict[str, dict[str, list[dict[str, typing.Any]]]] = {}
        for entry in sorted(self.line.all(timeline.ENDPOINT), key=lambda e: e.key):
            if entry.fields["state"] in timeline.STICKY:
                continue
            page = services.setdefault(str(entry.fields["service"]), {"healthy": [], "unhealthy": []})
            mark = self.marks.down(entry.key)
            line: dict[str, typing.Any] = {
                "id": entry.key,
                "address": entry.fields["address"],
                "zone": entry.fields["zone"],
                "lastChecked": (
                    replies.stamp(self.spread.wall() - ago[entry.key]) if entry.key in ago else None
                ),
            }
            if entry.fields["state"] == timeline.LAPSED:
                line["reason"] = "beats stopped"
            elif mark is not None:
                line["reason"] = mark.fields["reason"]
            page["unhealthy" if "reason" in line else "healthy"].append(line)
        return {"timestamp": replies.stamp(self.clock.wall()), "services": services}

    # Running and stopping.

    async def run(self) -> None:
        """Serve until told to stop."""
        ear = frames.Ear(self.kinds(), self.log.note, self.meter)
        listener = await self.machine.net.listen(self.bounds.ear or self.bounds.member, ear.serve)
        try:
            self._server = await self.machine.web.serve(self.bounds.web, self.app)
            self.log.info("started", web=self.bounds.web, member=self.bounds.member)
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(work)
                    for work in (
                        self.spread.run(),
                        self._keep_saying(),
                        self._keep_seated(),
                        self._keep_reading(),
                        self._keep_documents(),
                        self._keep_table(),
                        self._keep_duties(),
                        self._keep_lapsing(),
                        self._keep_telling(),
                        self._keep_swept(),
                        self.prober.run(),
                    )
                ]
                await self._stop.wait()
                self.stopping = True
                self.log.info("stopping")
                await self.clock.sleep(self.bounds.lead_s)
                await self._server.stop(max(1.0, self.bounds.grace_s - self.bounds.lead_s))
                for task in tasks:
                    task.cancel()
        finally:
            listener.close()
            self.caller.close()
        self.log.info("stopped")

    def stop(self) -> None:
        """Ask for an orderly stop."""
        self._stop.set()

    def retold(self, bounds: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can: seeds; the rest at a start."""
        self.spread.reseed(bounds.seeds)
        self.log.info("settings taken up", seeds=len(bounds.seeds))

    def live(self) -> list[str]:
        """Registries known to be alive, ourselves among them."""
        return sorted({self.bounds.name, *self.spread.cores()})

    async def _keep_saying(self) -> None:
        """Beat as a core, so that all know us and the store beside us."""
        fields = {
            "spot": self.bounds.member,
            "web": self.bounds.web,
            "store": self.bounds.store,
            "zone": self.bounds.zone,
            "boot": self._boot,
        }
        while True:
            fresh = self.line.get(timeline.CORE, self.bounds.name) is None
            # Whether we live is heard by calls; this says who and where we are.
            self.line.write(timeline.CORE, self.bounds.name, dict(fields), self.bounds.recover_s, fresh)
            await self.clock.sleep(self.bounds.recover_s / 4)

    async def _keep_seated(self) -> None:
        while True:
            stores = {str(e.fields["store"]) for e in self.line.all(timeline.CORE)}
            await self.seating.tend(stores | {self.bounds.store}, self.live())
            span = self.bounds.sweep_s * (0.75 + 0.5 * self._rng.random())
            # Until a set is known nothing can be told to anybody: look again soon.
            await self.clock.sleep(span if self.proposer.members.groups else span * EAGER)

    async def _keep_reading(self) -> None:
        """Learn what others committed, also when they died before they could tell."""
        while True:
            bad = await self._read_documents()
            eager = bad is not None and self._majority < 0
            await self.clock.sleep(self.bounds.sweep_s * (EAGER if eager else 1.0))

    async def _keep_table(self) -> None:
        """Have the register remember which endpoints there are, and begin with what it remembers."""
        while not await self._recall():
            await self.clock.sleep(self.bounds.sweep_s * EAGER)
        while True:
            await self.clock.sleep(self.bounds.sweep_s)
            # One of the living registries writes it, and only when it has changed.
            if duties.first_of(TABLE, self.live()) != self.bounds.name:
                continue
            rows = self.endpoints.table()
            if rows and rows != self._table:
                data = cbor2.dumps(rows)
                if isinstance(await self._change(TABLE, data, None, None), outcome.Good):
                    self._table = rows

    async def _recall(self) -> bool:
        result = await self.proposer.read(TABLE)
        if isinstance(result, outcome.Bad):
            return False
        if result.value.body:
            taken = self.endpoints.remember(cbor2.loads(result.value.body))
            self.log.info("endpoints recalled", endpoints=taken)
        return True

    async def _keep_duties(self) -> None:
        while True:
            # A first look around, lest each start takes every duty to itself.
            await self.clock.sleep(self.bounds.dead_s / 2)
            await self.duties.tend(self.live())
            self.lender.tidy()

    async def _keep_lapsing(self) -> None:
        while True:
            now = self.clock.now()
            if now - self._tick > self.bounds.gap_s + self.bounds.tick_s:
                self.endpoints.woke()
                self.log.warning("frozen", span_s=round(now - self._tick, 2))
            self._tick = now
            whole = self.spread.cores().keys() == self.spread.known_cores().keys()
            for name in self.endpoints.lapse(whole):
                self.log.warning("endpoint lapsed", endpoint=name)
            await self.clock.sleep(self.bounds.tick_s)

    async def _keep_swept(self) -> None:
        """Find the old copies that no read comes by."""
        while True:
            await self.clock.sleep(self.bounds.recover_s / 3)
            mended = await self.proposer.sweep_copies()
            if mended:
                self.log.info("copies mended", keys=mended)
