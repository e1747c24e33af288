"""Kubernetes-style objects as layouts: translated into the one layout type.

Two kinds are known: `Service` and `HTTPRoute`. What they do not say here is not
guessed: anything else in them is a fault.
"""

import typing

import yaml

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome

PREFIX: typing.Final = "dykeswitch/"
SERVICE_KEYS: typing.Final = ("probe", "expiry_s", "request_s", "max_tries")
RULE_KEYS: typing.Final = ("writing", "expiry_s", "request_s", "max_tries")


def read(data: bytes) -> outcome.Success[layouts.Layout] | outcome.Failure:
    """A layout out of YAML documents, or every fault by its path."""
    try:
        documents = [doc for doc in yaml.safe_load_all(data) if doc is not None]
    except (yaml.YAMLError, UnicodeDecodeError) as flaw:
        return outcome.failure("bad_layout", faults=(f"not YAML: {str(flaw)[:200]}",))
    faults: list[str] = []
    services: dict[str, typing.Any] = {}
    rules: list[dict[str, typing.Any]] = []
    for n, doc in enumerate(documents):
        path = f"documents[{n}]"
        kind = doc.get("kind") if isinstance(doc, dict) else None
        meta = doc.get("metadata") if isinstance(doc, dict) else None
        name = meta.get("name") if isinstance(meta, dict) else None
        if not isinstance(meta, dict) or not isinstance(name, str):
            faults.append(f"{path}.metadata.name: missing")
        elif kind == "Service":
            services[name] = _notes(meta, SERVICE_KEYS, path, faults)
        elif kind == "HTTPRoute":
            rules += _route(doc, meta, path, faults)
        else:
            faults.append(f"{path}.kind: must be Service or HTTPRoute, not {kind}")
    if faults:
        return outcome.failure("bad_layout", faults=tuple(faults))
    return layouts.check({"services": services, "rules": rules})


def _notes(
    meta: dict[str, typing.Any], keys: typing.Sequence[str], path: str, faults: list[str]
) -> dict[str, typing.Any]:
    """Our own settings, as annotations; YAML's own reading gives them their types."""
    found: dict[str, typing.Any] = {}
    notes = meta.get("annotations") or {}
    for key, text in notes.items() if isinstance(notes, dict) else ():
        if not str(key).startswith(PREFIX):
            continue
        word = str(key)[len(PREFIX) :].replace("-", "_")
        if word not in keys:
            faults.append(f"{path}.metadata.annotations.{key}: unknown")
        else:
            found[word] = yaml.safe_load(text) if isinstance(text, str) else text
    return found


def _route(
    doc: dict[str, typing.Any], meta: dict[str, typing.Any], path: str, faults: list[str]
) -> list[dict[str, typing.Any]]:
    found: list[dict[str, typing.Any]] = []
    spec = doc.get("spec")
    entries = spec.get("rules") if isinstance(spec, dict) else None
    if not isinstance(spec, dict) or not isinstance(entries, list):
        faults.append(f"{path}.spec.rules: must be a list")
        return found
    shared = _notes(meta, RULE_KEYS, path, faults)
    for n, entry in enumerate(entries):
        address = f"{path}.spec.rules[{n}]"
        backs = entry.get("backendRefs") if isinstance(entry, dict) else None
        if not isinstance(backs, list) or len(backs) != 1 or not isinstance(backs[0], dict):
            faults.append(f"{address}.backendRefs: must name one service")
            continue
        for m, match in enumerate(entry.get("matches") or [{}]):
            rule = _match(match, f"{address}.matches[{m}]", faults)
            for host in spec.get("hostnames") or [""]:
                whole = {**shared, **rule, "service": backs[0].get("name")}
                found.append({**whole, "host": host} if host else whole)
    return found


def _match(match: typing.Any, path: str, faults: list[str]) -> dict[str, typing.Any]:
    rule: dict[str, typing.Any] = {}
    if not isinstance(match, dict):
        faults.append(f"{path}: must be an object")
        return rule
    for key in match:
        if key not in ("path", "method"):
            faults.append(f"{path}.{key}: unknown")
    where = match.get("path")
    if isinstance(where, dict):
        if where.get("type", "PathPrefix") != "PathPrefix":
            faults.append(f"{path}.path.type: only PathPrefix is known")
        rule["path"] = where.get("value", "/")
    if "method" in match:
        rule["methods"] = [match["method"]]
    return rule
