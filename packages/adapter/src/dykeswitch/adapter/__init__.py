"""Adapters to the outside: the only place for external names, formats and calls.

An adapter translates and takes no decisions. `DefaultAdapter` is the product's own interface; a
platform may have another one. An adapter passes everything on in the product's form: settings
under the product's names, heartbeats and layouts as the product's documents, and headers by
their role in an exchange.
"""

import dataclasses
import json
import typing

import dykeswitch.outcome as outcome


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of headers, in lower case, by their role; empty if a role has no header."""

    # The client's time budget in milliseconds; towards the endpoint, what remains of it.
    expiry: bytes = b"dykeswitch-expiry-ms"
    # The id of the exchange, which endpoints return with their responses.
    exchange: bytes = b"dykeswitch-exchange"
    # The id of the endpoint that the request is for: any other refuses it without executing it.
    expected: bytes = b"dykeswitch-expected"
    # The id of the responding endpoint, on probe responses and others.
    served_by: bytes = b"dykeswitch-served-by"
    # The load of the endpoint: running, waiting, slots.
    load: bytes = b"dykeswitch-burden"
    # Present in every successful response; one without it does not come from an endpoint.
    seal: bytes = b""


class Load(typing.NamedTuple):
    """The load that an endpoint reports: its running and waiting requests, and its slots."""

    running: int
    waiting: int
    slots: int


class Calls(typing.Protocol):
    """The calls of a registry that an adapter may use."""

    async def heartbeat(self, raw: object) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Process a heartbeat in the product's form."""
        ...

    async def put_layout(self, data: bytes) -> outcome.Success[int] | outcome.Failure:
        """Store a layout as it was sent; the result is its version."""
        ...

    async def newest_layout(self) -> outcome.Success[bytes] | outcome.Failure:
        """Return the newest layout, as it was sent, read from a majority."""
        ...


class Adapter(typing.Protocol):
    """The external interface of one platform."""

    @property
    def header_names(self) -> HeaderNames:
        """The names of the headers."""
        ...

    @property
    def named_by_caller(self) -> bool:
        """Whether the client chooses the exchange's id, which is then passed on unchanged."""
        ...

    @property
    def ready_path(self) -> str:
        """The path of the readiness page."""
        ...

    def layout(self, data: bytes) -> outcome.Success[object] | outcome.Failure:
        """Translate a layout as sent to the product's form, without checking it."""
        ...

    def promises_not_run(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an endpoint's response states that the request did not run and will not run."""
        ...

    def retry_after(self, delay_s: float) -> bytes:
        """Return the value of `Retry-After` for a delay in seconds."""
        ...

    def calls(self, registry: Calls) -> list[typing.Any]:
        """Return the handlers of the platform's calls, to be added to the registry's application."""
        ...


def find(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first header with this name (given in lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def load(text: bytes | None) -> Load | None:
    """Parse a reported load; None unless it is three whole numbers."""
    parts = (text or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)


class DefaultAdapter:
    """The product's own interface."""

    PROMISE_HEADER: typing.Final = b"dykeswitch-promise"
    PROMISE_NOT_RUN: typing.Final = b"not-run"

    header_names: HeaderNames = HeaderNames()
    named_by_caller: bool = False
    ready_path: str = "/readyz"

    def layout(self, data: bytes) -> outcome.Success[object] | outcome.Failure:
        """Parse a layout as sent, which is JSON in the product's form."""
        try:
            return outcome.Success(json.loads(data))
        except (ValueError, RecursionError) as error:
            return outcome.failure("bad_json", str(error)[:200])

    def promises_not_run(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the response has the header that promises that the request did not run."""
        return find(headers, self.PROMISE_HEADER) == self.PROMISE_NOT_RUN

    def retry_after(self, delay_s: float) -> bytes:
        """Return the value of `Retry-After` in whole seconds."""
        # The unit of HTTP; rounded up, so that a client never retries too early.
        return str(max(1, int(-(-delay_s // 1)))).encode()

    def calls(self, registry: Calls) -> list[typing.Any]:
        """Return no handlers: there are no calls besides the product's own."""
        return []
