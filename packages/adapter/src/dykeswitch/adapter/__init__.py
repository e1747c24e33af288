"""The adapter: how the outside speaks with us; the one port for names, formats and calls.

An adapter translates and decides nothing. `Own` is the product's present interface; a
platform's adapter is another. What an adapter hands in is the product's own: settings by our
names, beats and layouts as our documents, header fields by their part in an exchange.
"""

import dataclasses
import json
import typing

import dykeswitch.outcome as outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Heads:
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

    async def beat(self, raw: object) -> outcome.Good[dict[str, object]] | outcome.Bad:
        """Take a beat in the product's own form."""
        ...

    async def put(self, data: bytes) -> outcome.Good[int] | outcome.Bad:
        """Take a layout as it was sent; its version."""
        ...

    async def newest(self) -> outcome.Good[bytes] | outcome.Bad:
        """The newest layout, as it was sent, from a majority."""
        ...


class Adapter(typing.Protocol):
    """How one kind of outside speaks."""

    @property
    def heads(self) -> Heads:
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

    def layout(self, data: bytes) -> outcome.Good[object] | outcome.Bad:
        """A layout as sent, in the product's form, not yet checked."""
        ...

    def promised(self, status: int, heads: list[tuple[bytes, bytes]]) -> bool:
        """Whether an endpoint's reply says that the request did not run and will not."""
        ...

    def hint(self, span: float) -> bytes:
        """How a caller is told to come back after a span of seconds."""
        ...

    def calls(self, registry: Calls) -> list[typing.Any]:
        """The handlers of calls beside the product's own, for the registry's application."""
        ...


def find(heads: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The first field of a name in lower case, if there is one."""
    for key, text in heads:
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


class Own:
    """The product's present interface."""

    PROMISE: typing.Final = b"dykeswitch-promise"
    NOT_RUN: typing.Final = b"not-run"

    heads: Heads = Heads()
    named_by_caller: bool = False
    ready_path: str = "/readyz"

    def layout(self, data: bytes) -> outcome.Good[object] | outcome.Bad:
        """A layout as sent: JSON in the product's form."""
        try:
            return outcome.Good(json.loads(data))
        except (ValueError, RecursionError) as flaw:
            return outcome.bad("bad_json", str(flaw)[:200])

    def promised(self, status: int, heads: list[tuple[bytes, bytes]]) -> bool:
        """Whether the reply bears the promise that the request did not run."""
        return find(heads, self.PROMISE) == self.NOT_RUN

    def hint(self, span: float) -> bytes:
        """A `Retry-After` in whole seconds."""
        # The field's unit is whole seconds: never sooner than meant.
        return str(max(1, int(-(-span // 1)))).encode()

    def calls(self, registry: Calls) -> list[typing.Any]:
        """No calls beside the product's own."""
        return []
