"""The registry's HTTP routes: what comes in is read, what goes out is put into pages."""

import json
import typing

import litestar
import litestar.exceptions

import dykeswitch.language as language
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.registry.heartbeats as heartbeats
import dykeswitch.registry.orders as orders
import dykeswitch.registry.pages as pages
import dykeswitch.registry.queries as queries
import dykeswitch.registry.standing as standing
import dykeswitch.settings as settings

Page = litestar.Response[dict[str, typing.Any]]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]
BEAT_MOST: typing.Final = 16384


def page_of(
    result: outcome.Success[dict[str, typing.Any]] | outcome.Failure, version: int | None = None
) -> Page:
    """An outcome as a page with its status, code and hint."""
    headers = {} if version is None else {"ETag": f'"{version}"'}
    if isinstance(result, outcome.Success):
        return litestar.Response(result.value, status_code=200, headers=headers)
    headers["Dykeswitch-Result"] = str(result.code.number)
    if result.code.status == 503:
        headers["Retry-After"] = "1"
    return litestar.Response(result.page(), status_code=result.code.status, headers=headers)


class Routes:
    """The handlers of a registry's HTTP calls."""

    def __init__(
        self,
        config: settings.Settings,
        log: logs.Log,
        stand: standing.Standing,
        beats: heartbeats.Heartbeats,
        orders: orders.Orders,
        queries: queries.Queries,
        pages: pages.Pages,
    ) -> None:
        self._config = config
        self._log = log
        self._standing = stand
        self._heartbeats = beats
        self._orders = orders
        self._queries = queries
        self._pages = pages

    def application(self, more: typing.Sequence[typing.Any]) -> litestar.Litestar:
        """The web application; `more` are handlers of an adapter's own calls."""
        return litestar.Litestar(
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
                *more,
            ],
            openapi_config=None,
            logging_config=None,
            request_max_body_size=self._config.layout_most,
            exception_handlers={Exception: self._failed},
        )

    def _failed(self, request: Request, flaw: Exception) -> Page:
        status = flaw.status_code if isinstance(flaw, litestar.exceptions.HTTPException) else 500
        if status == 413:
            return page_of(outcome.failure("too_big", f"over {self._config.layout_most} bytes"))
        if status in (404, 405):
            return page_of(outcome.failure("no_such", f"{request.method} {request.url.path}"))
        self._log.error("call failed", path=request.url.path, flaw=f"{type(flaw).__name__}: {flaw}")
        return page_of(outcome.failure("broke", type(flaw).__name__))

    def _healthz(self) -> dict[str, str]:
        return {"state": "alive"}

    def _readyz(self) -> Page:
        why = self._standing.unready()
        page: dict[str, typing.Any] = {"ready": why is None}
        if why is not None:
            page["why"] = why
        return litestar.Response(page, status_code=200 if why is None else 503)

    def _counters(self) -> litestar.Response[bytes]:
        return litestar.Response(self._pages.counters(), media_type="text/plain; version=0.0.4")

    def _get_endpoints(self) -> dict[str, typing.Any]:
        return self._pages.endpoints()

    def _get_members(self) -> dict[str, typing.Any]:
        return self._pages.members()

    async def _get_health(self) -> dict[str, typing.Any]:
        return await self._pages.health()

    async def _post_beat(self, request: Request) -> Page:
        data = await request.body()
        if len(data) > BEAT_MOST:
            return page_of(outcome.failure("too_big", f"over {BEAT_MOST} bytes"))
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as flaw:
            return page_of(outcome.failure("bad_json", str(flaw)[:200]))
        return page_of(await self._heartbeats.beat(raw))

    async def _get_layout(self) -> litestar.Response[typing.Any]:
        result = await self._orders.newest()
        if isinstance(result, outcome.Failure):
            return page_of(result)
        version = str(result.value.version)
        return litestar.Response(
            result.value.body,
            media_type="application/json",
            headers={"ETag": f'"{version}"', "Dykeswitch-Version": version},
        )

    async def _put_layout(self, request: Request) -> Page:
        match = request.headers.get("if-match")
        want: int | None = None
        if match is not None and match != "*":
            text = match.strip().strip('"')
            if not text.isdigit():
                return page_of(outcome.failure("bad_match", match[:80]))
            want = int(text)
        result = await self._orders.put(await request.body(), want)
        if isinstance(result, outcome.Failure):
            return page_of(result)
        return page_of(outcome.Success({"version": result.value}), result.value)

    async def _post_query(self, request: Request) -> Page:
        try:
            raw = json.loads(await request.body())
        except (ValueError, RecursionError) as flaw:
            return page_of(outcome.failure("bad_json", str(flaw)[:200]))
        if not isinstance(raw, dict) or not isinstance(raw.get("text"), str):
            return page_of(outcome.failure("bad_query", "send an object with a text"))
        asked = language.parse(raw["text"])
        if isinstance(asked, outcome.Failure):
            return page_of(asked)
        by = outcome.fit(str(raw.get("by", "operator"))[:80])
        found = await self._queries.answer(asked.value, by)
        if isinstance(found, outcome.Failure):
            return page_of(found)
        page: dict[str, typing.Any] = {"columns": list(found.columns), "rows": found.rows}
        if found.summary:
            page["summary"] = found.summary
        return page_of(outcome.Success({**page, "fresh": self._standing.fresh()}))
