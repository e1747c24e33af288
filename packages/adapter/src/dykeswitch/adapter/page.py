"""An application that only says whether a program is alive and ready, on an address of its own.

It is written to the server's own interface: a framework for two pages would take a third of a
proxy's start, and starting is part of recovery.
"""

import json
import typing

import dykeswitch.ports as ports

# A program's kind and name, and what it counts.
Counted = tuple[str, str, typing.Callable[[], typing.Mapping[str, float]]]


def app(
    path: str,
    ask: typing.Callable[[], str | None],
    more: dict[str, str] | None = None,
    counted: Counted | None = None,
) -> ports.App:
    """The application; `ask` says why not ready, or nothing, and `more` goes on the page too."""

    def page(asked: str) -> tuple[int, str, bytes]:
        if asked == path:
            why = ask()
            doc: dict[str, typing.Any] = {"ready": why is None, **(more or {})}
            if why is not None:
                doc["why"] = why
            return 200 if why is None else 503, "application/json", json.dumps(doc).encode()
        if asked == "/healthz":
            return 200, "application/json", b'{"state": "alive"}'
        if asked == "/-/counters" and counted is not None:
            # Brought in when somebody asks.
            import dykeswitch.logs.counters as counters

            kind, name, counts = counted
            return 200, "text/plain; version=0.0.4", counters.page(kind, name, counts())
        return 404, "application/json", b"{}"

    async def serve(scope: ports.Scope, receive: ports.Receive, send: ports.Send) -> None:
        if scope["type"] != "http":
            return
        status, kind, body = page(str(scope["path"]))
        headers = [(b"content-type", kind.encode()), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body if scope["method"] != "HEAD" else b""})

    return serve
