"""Header fields of requests to endpoints and of replies to callers."""

import typing

import dykeswitch.adapter as adapters
import dykeswitch.outcome as outcome
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.soundness as soundness
import dykeswitch.soundness.connection as connections

# Fields of one hop, which the HTTP standard forbids to pass on.
HOP: typing.Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
VIA: typing.Final = (b"via", b"1.1 dykeswitch")


def kept_heads(heads: connections.Heads) -> connections.Heads:
    """Header fields that go on to the next hop."""
    named = {
        part.strip().lower()
        for key, text in heads
        if key.lower() == b"connection"
        for part in text.split(b",")
    }
    return [(k, v) for k, v in heads if k.lower() not in HOP and k.lower() not in named]


def request_heads(
    x: exchanges.Exchange, adapter: adapters.Adapter, names: adapters.Heads, now: float
) -> connections.Heads:
    """The fields of a request as it goes to the selected endpoint."""
    left = max(1, int((x.expiry - now) * 1000))
    ours = {names.expiry, names.expected, b"content-length"}
    if not adapter.named_by_caller:
        ours.add(names.exchange)
    heads = [(k, v) for k, v in kept_heads(x.heads) if k not in ours]
    # One that came in chunks goes on with a length: it is whole by now.
    if x.body or any(k in (b"content-length", b"transfer-encoding") for k, _ in x.heads):
        heads.append((b"content-length", str(len(x.body)).encode()))
    heads.append((names.expiry, str(left).encode()))
    if x.endpoint is not None:
        heads.append((names.expected, x.endpoint.key.encode()))
    if not adapter.named_by_caller:
        heads.append(VIA)
        heads.append((names.exchange, x.name.encode()))
    return heads


def reply_heads(
    x: exchanges.Exchange,
    answer: exchanges.Answer,
    adapter: adapters.Adapter,
    names: adapters.Heads,
    come_back_s: typing.Callable[[], float],
) -> connections.Heads:
    """The fields of an endpoint's reply as it goes to the caller."""
    heads = [(k.lower(), v) for k, v in kept_heads(answer.head.heads)]
    if x.status >= 400 and (x.writing or x.unknown):
        # An endpoint's own "come back" without a promise: it may have run the
        # request, and a caller who obeys would run it twice.
        heads = [(k, v) for k, v in heads if k != b"retry-after"]
    elif x.status in soundness.FREE and not any(k == b"retry-after" for k, _ in heads):
        # Given up on, and nothing of it runs any more: say when to come back.
        heads.append((b"retry-after", adapter.hint(come_back_s())))
    bodiless = x.method == "HEAD" or x.status in (204, 304) or x.status < 200
    if answer.rest is None and not bodiless:
        heads = [(k, v) for k, v in heads if k != b"content-length"]
        heads.append((b"content-length", str(len(answer.held)).encode()))
    if not adapter.named_by_caller:
        heads = [(k, v) for k, v in heads if k != names.exchange]
        heads.append(VIA)
        heads.append((names.exchange, x.name.encode()))
    return heads


def refusal_heads(
    x: exchanges.Exchange, bad: outcome.Bad, size: int, adapter: adapters.Adapter, names: adapters.Heads
) -> connections.Heads:
    """The fields of an answer of our own."""
    heads = [
        (b"content-type", b"application/json"),
        (b"content-length", str(size).encode()),
        (b"dykeswitch-result", str(bad.code.number).encode()),
        (names.exchange, x.name.encode()),
    ]
    if x.retry_after is not None:
        heads.append((b"retry-after", adapter.hint(x.retry_after)))
    return heads


def is_framed(method: str, head: connections.Head) -> bool:
    """Whether the reply says where it ends; one that ends with its pipe can't be told from a cut one."""
    if method == "HEAD" or head.status in (204, 304):
        return True
    if head.get(b"content-length") is not None:
        return True
    return b"chunked" in (head.get(b"transfer-encoding") or b"").lower()
