"""The page that an endpoint answers with, and what a request's target asks of it."""

import json
import typing

import dykeswitch.standin.headers as headers


def body(endpoint: str, service: str, target: str, fields: typing.Mapping[str, str]) -> bytes:
    """A JSON page that tells whose it is and to what; blanks make it `size=` bytes long, where asked."""
    page = {"by": endpoint, "service": service, "target": target, "echo": fields.get(headers.ASK, "")}
    data = json.dumps(page).encode()
    size = _parameter(target, "size")
    return data if size is None else data.ljust(int(size))


def asked_work_s(target: str, usual_s: float) -> float:
    """How many seconds of work a request asks for by `work=`, else the usual time."""
    asked = _parameter(target, "work")
    return usual_s if asked is None else float(asked)


def _parameter(target: str, name: str) -> str | None:
    """The text of a parameter of the target, if it has one of the name."""
    _, found, rest = target.partition(f"{name}=")
    return rest.partition("&")[0] if found else None
