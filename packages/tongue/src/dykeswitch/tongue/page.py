"""An application that only says whether a program is alive and ready, on an address of its own."""

import typing

if typing.TYPE_CHECKING:
    import litestar


def app(
    path: str, ask: typing.Callable[[], str | None], more: dict[str, str] | None = None
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

    handlers = [litestar.get(path)(ready), litestar.get("/healthz")(alive)]
    return litestar.Litestar(handlers, openapi_config=None, logging_config=None)
