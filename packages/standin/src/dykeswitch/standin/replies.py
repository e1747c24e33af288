"""What a caller makes of a reply: whether it is sound, and whether to ask again."""

import json
import typing

import dykeswitch.ports as ports
import dykeswitch.standin.headers as headers
from dykeswitch.standin.record import Request

# Answers that promise that a request has not run and never will; and such as no further try mends.
PROMISES: typing.Final = (408, 421, 429, 503)
FINAL: typing.Final = (400, 401, 404, 413, 431)


def should_retry(request: Request) -> bool:
    """Whether a caller asks anew: a write only where it has a promise that the first did not run."""
    if request.left_at is not None:
        return False
    if request.status in FINAL or (200 <= request.status < 300 and not request.mismatch):
        return False
    if not request.writing:
        return True
    return request.status in PROMISES or request.error.startswith("ConnectionRefused")


def seconds(text: str | None) -> float:
    """A `Retry-After` in seconds; none where there is none or it says something else."""
    try:
        return max(0.0, float(text or 0.0))
    except ValueError:
        return 0.0


def foreign(reply: ports.Response, name: str) -> str:
    """What shows that a reply belongs to another request; empty if nothing does."""
    echo = reply.header(headers.ASK)
    if echo is not None and echo != name:
        return f"echoes {echo}"
    # Ours and the endpoint's: two that differ are of two exchanges.
    exchanges = {text for key, text in reply.headers if key.lower() == headers.EXCHANGE}
    return f"of exchanges {sorted(exchanges)}" if len(exchanges) > 1 else ""


def seal_error(reply: ports.Response) -> str:
    """What is wrong with a reply by its endpoint's seal, whatever its status."""
    if reply.header("dykeswitch-result") is not None:
        return ""
    told = reply.header(headers.SEAL)
    if told is None:
        return "without a seal" if 200 <= reply.status < 300 else ""
    return "" if told == headers.seal(reply.status, reply.body) else "not as it was sealed"


def body_error(reply: ports.Response, name: str, service: str) -> str:
    """What is wrong with an answer that looks good."""
    try:
        page = json.loads(reply.body)
    except ValueError:
        return "cut or garbled"
    if page.get("echo") != name:
        return "someone else's"
    if page.get("service") != service:
        return "of another service"
    return ""


def promised(reply: ports.Response) -> bool:
    """Whether a reply bears an endpoint's promise that the request did not run."""
    return headers.NOT_RUN in reply.headers
