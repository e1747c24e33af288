"""How a client judges a response: whether it is valid, and whether to try again."""

import json
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.headers as headers
from dykeswitch.standin.record import Request

# Statuses that promise that a request has not run and never will.
PROMISES: typing.Final = (408, 421, 429, 503)
# Statuses that no further attempt can change.
FINAL: typing.Final = (400, 401, 404, 413, 431)


def should_retry(request: Request) -> bool:
    """Whether a client tries again: a write only if it was promised that the first did not run."""
    if request.left_at is not None:
        return False
    if request.status in FINAL or (200 <= request.status < 300 and not request.mismatch):
        return False
    if not request.writing:
        return True
    return request.status in PROMISES or request.error.startswith("ConnectionRefused")


def parse_retry_after(text: str | None) -> float:
    """Return a `Retry-After` in seconds; 0 if it is missing or not a number."""
    try:
        return max(0.0, float(text or 0.0))
    except ValueError:
        return 0.0


def foreign_id(response: ports.Response, name: str) -> str:
    """Return what shows that a response belongs to another request; empty if nothing does."""
    echo = response.header(headers.ASK)
    if echo is not None and echo != name:
        return f"echoes {echo}"
    # The proxy and the endpoint each send the field: if they differ, they belong to two exchanges.
    exchanges = {text for key, text in response.headers if key.lower() == headers.EXCHANGE}
    return f"of exchanges {sorted(exchanges)}" if len(exchanges) > 1 else ""


def seal_error(response: ports.Response) -> str:
    """Return what is wrong with a response by its endpoint's seal, whatever its status."""
    if response.header("dykeswitch-result") is not None:
        return ""
    sealed = response.header(headers.SEAL)
    if sealed is None:
        return "without a seal" if 200 <= response.status < 300 else ""
    return "" if sealed == headers.seal(response.status, response.body) else "does not match its seal"


def body_error(response: ports.Response, name: str, service: str) -> str:
    """Return what is wrong with the body of a response that looks successful."""
    try:
        page = json.loads(response.body)
    except ValueError:
        return "body truncated or garbled"
    if page.get("echo") != name:
        return "answers another request"
    if page.get("service") != service:
        return "comes from another service"
    return ""


def promises_not_run(response: ports.Response) -> bool:
    """Whether a response carries an endpoint's promise that the request did not run."""
    return headers.NOT_RUN in response.headers
