"""The adapter: how the outside speaks with us; the one port for names, formats and calls.

An adapter translates and decides nothing. `DefaultAdapter` is the product's present interface; a
platform's adapter is another. What an adapter hands in is the product's own: settings by our
names, beats and layouts as our documents, header fields by their part in an exchange.
"""

import dataclasses
import json
import typing

import dykeswitch.outcome as outcome


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of header fields, in lower case, by their part; empty where there is none."""

    # The caller's milliseconds from now on, and what is left of them at the endpoint.
    expiry: bytes = b"dykeswitch-expiry-ms"
    # An exchange's id, which endpoints give back with their replies.
    exchange: bytes = b"dykeswitch-exchange"
    # The id of the endpoint that a request is meant for: any other refuses it unrun.
    expected: bytes = b"dykeswitch-expected"
    # By which an endpoint names itself, on probes and replies.
    served_by: bytes = b"dykeswitch-served-by"
    # An endpoint's burden: running, waiting, slots.
    load: bytes = b"dykeswitch-burden"
    # A field that every success bears; one without it is no endpoint's reply.
    seal: bytes = b""


class Load(typing.NamedTuple):
    """What an endpoint says of its work: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


class Calls(typing.Protocol):
    """What an adapter may ask of the registry that it speaks for."""

    async def heartbeat(self, raw: object) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Take a beat in the product's own form."""
        ...

    async def put_layout(self, data: bytes) -> outcome.Success[int] | outcome.Failure:
        """Take a layout as it was sent; its version."""
        ...

    async def newest_layout(self) -> outcome.Success[bytes] | outcome.Failure:
        """The newest layout, as it was sent, from a majority."""
        ...


class Adapter(typing.Protocol):
    """How one kind of outside speaks."""

    @property
    def header_names(self) -> HeaderNames:
        """The names of the header fields."""
        ...

    @property
    def named_by_caller(self) -> bool:
        """Whether an exchange's id is the caller's own, passed on as it came."""
        ...

    @property
    def ready_path(self) -> str:
        """Where the platform asks whether we are ready."""
        ...

    def layout(self, data: bytes) -> outcome.Success[object] | outcome.Failure:
        """A layout as sent, in the product's form, not yet checked."""
        ...

    def promises_not_run(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an endpoint's reply says that the request did not run and will not."""
        ...

    def retry_after(self, delay_s: float) -> bytes:
        """How a caller is told to come back after a span of seconds."""
        ...

    def calls(self, registry: Calls) -> list[typing.Any]:
        """The handlers of calls beside the product's own, for the registry's application."""
        ...


def find(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The first field of a name in lower case, if there is one."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


def load(text: bytes | None) -> Load | None:
    """A told burden, where it is three whole numbers."""
    parts = (text or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)


class DefaultAdapter:
    """The product's present interface."""

    PROMISE: typing.Final = b"dykeswitch-promise"
    NOT_RUN: typing.Final = b"not-run"

    header_names: HeaderNames = HeaderNames()
    named_by_caller: bool = False
    ready_path: str = "/readyz"

    def layout(self, data: bytes) -> outcome.Success[object] | outcome.Failure:
        """A layout as sent: JSON in the product's form."""
        try:
            return outcome.Success(json.loads(data))
        except (ValueError, RecursionError) as flaw:
            return outcome.failure("bad_json", str(flaw)[:200])

    def promises_not_run(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the reply bears the promise that the request did not run."""
        return find(headers, self.PROMISE) == self.NOT_RUN

    def retry_after(self, delay_s: float) -> bytes:
        """A `Retry-After` in whole seconds."""
        # The field's unit is whole seconds: never sooner than meant.
        return str(max(1, int(-(-delay_s // 1)))).encode()

    def calls(self, registry: Calls) -> list[typing.Any]:
        """No calls beside the product's own."""
        return []
