"""The proxy's own pages, where they share callers' address."""

import typing

import litestar

import dykeswitch.layout.documents as documents
import dykeswitch.logs.counters as counters
import dykeswitch.ports as ports
import dykeswitch.settings as settings


class Shown(typing.Protocol):
    """What the pages show of a proxy."""

    config: settings.Settings
    documents: documents.Documents

    def ready(self) -> str | None:
        """Why the proxy is not ready, or nothing."""
        ...

    def counts(self) -> dict[str, float]:
        """What the proxy counts, by name."""
        ...

    async def gateway(self, scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        """Carry one request of a caller."""
        ...


def app(proxy: Shown) -> ports.App:
    """Readiness, life and counters; all other requests are callers'."""

    def alive() -> dict[str, str]:
        return {"state": "alive"}

    def ready() -> litestar.Response[dict[str, typing.Any]]:
        why = proxy.ready()
        page: dict[str, typing.Any] = {
            "ready": why is None,
            "layout": proxy.documents.version(documents.LAYOUT),
        }
        if why is not None:
            page["why"] = why
        return litestar.Response(page, status_code=200 if why is None else 503)

    def counted() -> litestar.Response[bytes]:
        data = counters.page("proxy", proxy.config.name, proxy.counts())
        return litestar.Response(data, media_type="text/plain; version=0.0.4")

    return litestar.Litestar(
        route_handlers=[
            litestar.get("/healthz", sync_to_thread=False)(alive),
            litestar.get("/readyz", sync_to_thread=False)(ready),
            litestar.get("/-/counters", sync_to_thread=False)(counted),
            litestar.asgi("/", is_mount=True, copy_scope=False)(proxy.gateway),
        ],
        openapi_config=None,
        logging_config=None,
    )
