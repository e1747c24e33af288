"""The response body of an endpoint, and what the target of a request asks of it."""

import json
import typing

import dykeswitch.standin.headers as headers


def response_body(endpoint: str, service: str, target: str, fields: typing.Mapping[str, str]) -> bytes:
    """Return a JSON page that names the endpoint and the request, padded to `size=` bytes if asked for."""
    page = {"by": endpoint, "service": service, "target": target, "echo": fields.get(headers.ASK, "")}
    data = json.dumps(page).encode()
    size = _parameter(target, "size")
    return data if size is None else data.ljust(int(size))


def requested_work_s(target: str, default_s: float) -> float:
    """Return how long the work takes: as the request asks by `work=`, or else the default."""
    requested = _parameter(target, "work")
    return default_s if requested is None else float(requested)


def _parameter(target: str, name: str) -> str | None:
    """Return the text of a query parameter, if the target has one of that name."""
    _, found, rest = target.partition(f"{name}=")
    return rest.partition("&")[0] if found else None
