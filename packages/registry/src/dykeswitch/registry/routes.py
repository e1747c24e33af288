"""The registry's HTTP routes: request bodies are parsed, and results are rendered as pages."""

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
MAX_HEARTBEAT_BYTES: typing.Final = 16384


def page_of(
    result: outcome.Success[dict[str, typing.Any]] | outcome.Failure, version: int | None = None
) -> Page:
    """Render an outcome as a page, with its status, result code and retry hint."""
    headers = {} if version is None else {"ETag": f'"{version}"'}
    if isinstance(result, outcome.Success):
        return litestar.Response(result.value, status_code=200, headers=headers)
    headers["Dykeswitch-Result"] = str(result.code.number)
    if result.code.status == 503:
        headers["Retry-After"] = "1"
    return litestar.Response(result.page(), status_code=result.code.status, headers=headers)


class Routes:
    """The handlers of the registry's HTTP requests."""

    def __init__(
        self,
        config: settings.Settings,
        log: logs.Log,
        readiness: standing.Readiness,
        heartbeat_handler: heartbeats.Heartbeats,
        orders: orders.Orders,
        queries: queries.Queries,
        pages: pages.Pages,
    ) -> None:
        self._config = config
        self._log = log
        self._readiness = readiness
        self._heartbeats = heartbeat_handler
        self._orders = orders
        self._queries = queries
        self._pages = pages

    def application(self, extra_handlers: typing.Sequence[typing.Any]) -> litestar.Litestar:
        """Build the web application; `extra_handlers` are those of an adapter's own routes."""
        return litestar.Litestar(
            route_handlers=[
                litestar.get("/healthz", sync_to_thread=False)(self._healthz),
                litestar.get("/readyz", sync_to_thread=False)(self._readyz),
                litestar.get("/-/counters", sync_to_thread=False)(self._counters),
                litestar.post("/v1/beat")(self._post_heartbeat),
                litestar.get("/v1/layout")(self._get_layout),
                litestar.put("/v1/layout")(self._put_layout),
                litestar.get("/v1/endpoints", sync_to_thread=False)(self._get_endpoints),
                litestar.get("/v1/members", sync_to_thread=False)(self._get_members),
                litestar.post("/v1/query")(self._post_query),
                litestar.get("/v1/health")(self._get_health),
                *extra_handlers,
            ],
            openapi_config=None,
            logging_config=None,
            request_max_body_size=self._config.layout_most,
            exception_handlers={Exception: self._failed},
        )

    def _failed(self, request: Request, error: Exception) -> Page:
        status = error.status_code if isinstance(error, litestar.exceptions.HTTPException) else 500
        if status == 413:
            return page_of(outcome.failure("too_big", f"the body exceeds {self._config.layout_most} bytes"))
        if status in (404, 405):
            return page_of(outcome.failure("no_such", f"{request.method} {request.url.path}"))
        self._log.error("request failed", path=request.url.path, flaw=f"{type(error).__name__}: {error}")
        return page_of(outcome.failure("broke", type(error).__name__))

    def _healthz(self) -> dict[str, str]:
        return {"state": "alive"}

    def _readyz(self) -> Page:
        reason = self._readiness.unready_reason()
        page: dict[str, typing.Any] = {"ready": reason is None}
        if reason is not None:
            page["why"] = reason
        return litestar.Response(page, status_code=200 if reason is None else 503)

    def _counters(self) -> litestar.Response[bytes]:
        return litestar.Response(self._pages.counters(), media_type="text/plain; version=0.0.4")

    def _get_endpoints(self) -> dict[str, typing.Any]:
        return self._pages.endpoints()

    def _get_members(self) -> dict[str, typing.Any]:
        return self._pages.members()

    async def _get_health(self) -> dict[str, typing.Any]:
        return await self._pages.health()

    async def _post_heartbeat(self, request: Request) -> Page:
        data = await request.body()
        if len(data) > MAX_HEARTBEAT_BYTES:
            return page_of(outcome.failure("too_big", f"the body exceeds {MAX_HEARTBEAT_BYTES} bytes"))
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as error:
            return page_of(outcome.failure("bad_json", str(error)[:200]))
        return page_of(await self._heartbeats.handle(raw))

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
        if_match: int | None = None
        if match is not None and match != "*":
            text = match.strip().strip('"')
            if not text.isdigit():
                return page_of(outcome.failure("bad_match", match[:80]))
            if_match = int(text)
        result = await self._orders.put(await request.body(), if_match)
        if isinstance(result, outcome.Failure):
            return page_of(result)
        return page_of(outcome.Success({"version": result.value}), result.value)

    async def _post_query(self, request: Request) -> Page:
        try:
            raw = json.loads(await request.body())
        except (ValueError, RecursionError) as error:
            return page_of(outcome.failure("bad_json", str(error)[:200]))
        if not isinstance(raw, dict) or not isinstance(raw.get("text"), str):
            return page_of(outcome.failure("bad_query", "the body must be an object with a string `text`"))
        command = language.parse(raw["text"])
        if isinstance(command, outcome.Failure):
            return page_of(command)
        by = outcome.fit(str(raw.get("by", "operator"))[:80])
        table = await self._queries.answer(command.value, by)
        if isinstance(table, outcome.Failure):
            return page_of(table)
        page: dict[str, typing.Any] = {"columns": list(table.columns), "rows": table.rows}
        if table.summary:
            page["summary"] = table.summary
        return page_of(outcome.Success({**page, "fresh": self._readiness.freshness()}))
