"""An application that only says whether a program is alive and ready, on an address of its own."""

import typing

if typing.TYPE_CHECKING:
    import litestar


# A program's kind and name, and what it counts.
Counted = tuple[str, str, typing.Callable[[], typing.Mapping[str, float]]]


def app(
    path: str,
    ask: typing.Callable[[], str | None],
    more: dict[str, str] | None = None,
    counted: Counted | None = None,
) -> "litestar.Litestar":
    """The application; `ask` says why not ready, or nothing, and `more` goes on the page too."""
    # Brought in where it is served: a store without a web address needs none of it.
    import litestar

    async def ready() -> litestar.Response[dict[str, typing.Any]]:
        why = ask()
        page: dict[str, typing.Any] = {"ready": why is None, **(more or {})}
        if why is not None:
            page["why"] = why
        return litestar.Response(page, status_code=200 if why is None else 503)

    async def alive() -> dict[str, str]:
        return {"state": "alive"}

    async def counters() -> litestar.Response[bytes]:
        import dykeswitch.logs.counters as pages

        kind, name, counts = counted or ("", "", dict)
        data = pages.page(kind, name, counts())
        return litestar.Response(data, media_type="text/plain; version=0.0.4")

    handlers: list[typing.Any] = [litestar.get(path)(ready), litestar.get("/healthz")(alive)]
    if counted is not None:
        handlers.append(litestar.get("/-/counters")(counters))
    return litestar.Litestar(handlers, openapi_config=None, logging_config=None)
