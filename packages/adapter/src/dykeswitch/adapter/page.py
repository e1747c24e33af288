"""An ASGI application that reports whether a program is alive and ready, on its own address.

It uses ASGI directly: loading a web framework for these few pages would take a third of a proxy's
start time, and start time is part of recovery time.
"""

import json
import typing

import dykeswitch.ports as ports

# The kind of a program, its name, and a function that returns its counters.
CounterSource = tuple[str, str, typing.Callable[[], typing.Mapping[str, float]]]


def app(
    path: str,
    why_not_ready: typing.Callable[[], str | None],
    extra_fields: dict[str, str] | None = None,
    counter_source: CounterSource | None = None,
) -> ports.App:
    """Return the application.

    Args:
        path: The path of the readiness page.
        why_not_ready: Returns why the program is not ready, or None if it is.
        extra_fields: Further fields of the readiness page.
        counter_source: The program and its counters; without it there is no counters page.
    """

    def page(requested: str) -> tuple[int, str, bytes]:
        if requested == path:
            reason = why_not_ready()
            doc: dict[str, typing.Any] = {"ready": reason is None, **(extra_fields or {})}
            if reason is not None:
                doc["why"] = reason
            return 200 if reason is None else 503, "application/json", json.dumps(doc).encode()
        if requested == "/healthz":
            return 200, "application/json", b'{"state": "alive"}'
        if requested == "/-/counters" and counter_source is not None:
            # Imported at the first request, to keep the start short.
            import dykeswitch.logs.counters as counters

            kind, name, counts = counter_source
            return 200, "text/plain; version=0.0.4", counters.page(kind, name, counts())
        return 404, "application/json", b"{}"

    async def serve(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        if scope["type"] != "http":
            return
        status, media_type, body = page(str(scope["path"]))
        headers = [(b"content-type", media_type.encode()), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body if scope["method"] != "HEAD" else b""})

    return serve
