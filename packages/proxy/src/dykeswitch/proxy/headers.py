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


def kept_headers(headers: connections.Headers) -> connections.Headers:
    """Header fields that go on to the next hop."""
    named = {
        part.strip().lower()
        for key, text in headers
        if key.lower() == b"connection"
        for part in text.split(b",")
    }
    return [(k, v) for k, v in headers if k.lower() not in HOP and k.lower() not in named]


def request_headers(
    exchange: exchanges.Exchange, adapter: adapters.Adapter, names: adapters.HeaderNames, now: float
) -> connections.Headers:
    """The fields of a request as it goes to the selected endpoint."""
    left = max(1, int((exchange.expiry - now) * 1000))
    ours = {names.expiry, names.expected, b"content-length"}
    if not adapter.named_by_caller:
        ours.add(names.exchange)
    headers = [(k, v) for k, v in kept_headers(exchange.headers) if k not in ours]
    # One that came in chunks goes on with a length: it is whole by now.
    if exchange.body or any(k in (b"content-length", b"transfer-encoding") for k, _ in exchange.headers):
        headers.append((b"content-length", str(len(exchange.body)).encode()))
    headers.append((names.expiry, str(left).encode()))
    if exchange.endpoint is not None:
        headers.append((names.expected, exchange.endpoint.key.encode()))
    if not adapter.named_by_caller:
        headers.append(VIA)
        headers.append((names.exchange, exchange.name.encode()))
    return headers


def response_headers(
    exchange: exchanges.Exchange,
    answer: exchanges.Answer,
    adapter: adapters.Adapter,
    names: adapters.HeaderNames,
    come_back_s: typing.Callable[[], float],
) -> connections.Headers:
    """The fields of an endpoint's reply as it goes to the caller."""
    headers = [(k.lower(), v) for k, v in kept_headers(answer.head.headers)]
    if exchange.status >= 400 and (exchange.writing or exchange.unknown):
        # An endpoint's own "come back" without a promise: it may have run the
        # request, and a caller who obeys would run it twice.
        headers = [(k, v) for k, v in headers if k != b"retry-after"]
    elif exchange.status in soundness.TOLERATED_BY_STATUS and not any(
        k == b"retry-after" for k, _ in headers
    ):
        # Given up on, and nothing of it runs any more: say when to come back.
        headers.append((b"retry-after", adapter.retry_after(come_back_s())))
    bodiless = exchange.method == "HEAD" or exchange.status in (204, 304) or exchange.status < 200
    if answer.rest is None and not bodiless:
        headers = [(k, v) for k, v in headers if k != b"content-length"]
        headers.append((b"content-length", str(len(answer.held)).encode()))
    if not adapter.named_by_caller:
        headers = [(k, v) for k, v in headers if k != names.exchange]
        headers.append(VIA)
        headers.append((names.exchange, exchange.name.encode()))
    return headers


def refusal_headers(
    exchange: exchanges.Exchange,
    failure: outcome.Failure,
    size: int,
    adapter: adapters.Adapter,
    names: adapters.HeaderNames,
) -> connections.Headers:
    """The fields of an answer of our own."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(size).encode()),
        (b"dykeswitch-result", str(failure.code.number).encode()),
        (names.exchange, exchange.name.encode()),
    ]
    if exchange.retry_after is not None:
        headers.append((b"retry-after", adapter.retry_after(exchange.retry_after)))
    return headers


def is_framed(method: str, head: connections.ResponseHead) -> bool:
    """Whether the reply says where it ends; one that ends with its pipe can't be told from a cut one."""
    if method == "HEAD" or head.status in (204, 304):
        return True
    if head.get(b"content-length") is not None:
        return True
    return b"chunked" in (head.get(b"transfer-encoding") or b"").lower()
