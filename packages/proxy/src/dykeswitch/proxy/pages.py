"""The proxy's own pages, for proxies that serve them on the clients' address."""

import typing

import litestar

import dykeswitch.layout.documents as documents
import dykeswitch.logs.counters as counters
import dykeswitch.ports as ports
import dykeswitch.settings as settings


class PageSource(typing.Protocol):
    """The parts of a proxy that the pages use."""

    config: settings.Settings
    documents: documents.Documents

    def ready(self) -> str | None:
        """Return why the proxy is not ready, or None if it is."""
        ...

    def counts(self) -> dict[str, float]:
        """Return the proxy's counters by name."""
        ...

    async def gateway(self, scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        """Handle one client request."""
        ...


def app(proxy: PageSource) -> ports.App:
    """Return an application that serves liveness, readiness and counters, and gateways all other requests."""

    def alive() -> dict[str, str]:
        return {"state": "alive"}

    def ready() -> litestar.Response[dict[str, typing.Any]]:
        reason = proxy.ready()
        page: dict[str, typing.Any] = {
            "ready": reason is None,
            "layout": proxy.documents.version(documents.LAYOUT),
        }
        if reason is not None:
            page["why"] = reason
        return litestar.Response(page, status_code=200 if reason is None else 503)

    def counters_page() -> litestar.Response[bytes]:
        data = counters.page("proxy", proxy.config.name, proxy.counts())
        return litestar.Response(data, media_type="text/plain; version=0.0.4")

    return litestar.Litestar(
        route_handlers=[
            litestar.get("/healthz", sync_to_thread=False)(alive),
            litestar.get("/readyz", sync_to_thread=False)(ready),
            litestar.get("/-/counters", sync_to_thread=False)(counters_page),
            litestar.asgi("/", is_mount=True, copy_scope=False)(proxy.gateway),
        ],
        openapi_config=None,
        logging_config=None,
    )
