"""Layouts from Kubernetes-style objects.

The kinds `Service` and `HTTPRoute` are supported. Missing settings are not guessed, and anything
unknown in the objects is a fault.
"""

import typing

import yaml

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome

PREFIX: typing.Final = "dykeswitch/"
SERVICE_KEYS: typing.Final = ("probe", "expiry_s", "request_s", "max_tries")
RULE_KEYS: typing.Final = ("writing", "expiry_s", "request_s", "max_tries")


def read(data: bytes) -> outcome.Success[layouts.Layout] | outcome.Failure:
    """Converts YAML documents into a layout, or returns every fault with its path."""
    try:
        documents = [doc for doc in yaml.safe_load_all(data) if doc is not None]
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return outcome.failure("bad_layout", faults=(f"not YAML: {str(error)[:200]}",))
    faults: list[str] = []
    services: dict[str, typing.Any] = {}
    rules: list[dict[str, typing.Any]] = []
    for index, doc in enumerate(documents):
        path = f"documents[{index}]"
        kind = doc.get("kind") if isinstance(doc, dict) else None
        meta = doc.get("metadata") if isinstance(doc, dict) else None
        name = meta.get("name") if isinstance(meta, dict) else None
        if not isinstance(meta, dict) or not isinstance(name, str):
            faults.append(f"{path}.metadata.name: missing")
        elif kind == "Service":
            services[name] = _annotations(meta, SERVICE_KEYS, path, faults)
        elif kind == "HTTPRoute":
            rules += _route(doc, meta, path, faults)
        else:
            faults.append(f"{path}.kind: must be Service or HTTPRoute, not {kind}")
    if faults:
        return outcome.failure("bad_layout", faults=tuple(faults))
    return layouts.check({"services": services, "rules": rules})


def _annotations(
    meta: dict[str, typing.Any], keys: typing.Sequence[str], path: str, faults: list[str]
) -> dict[str, typing.Any]:
    """Reads this project's settings from annotations; the YAML parser determines their types."""
    found: dict[str, typing.Any] = {}
    annotations = meta.get("annotations") or {}
    for key, text in annotations.items() if isinstance(annotations, dict) else ():
        if not str(key).startswith(PREFIX):
            continue
        setting = str(key)[len(PREFIX) :].replace("-", "_")
        if setting not in keys:
            faults.append(f"{path}.metadata.annotations.{key}: unknown")
        else:
            found[setting] = yaml.safe_load(text) if isinstance(text, str) else text
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
    shared = _annotations(meta, RULE_KEYS, path, faults)
    for index, entry in enumerate(entries):
        rule_path = f"{path}.spec.rules[{index}]"
        backends = entry.get("backendRefs") if isinstance(entry, dict) else None
        if not isinstance(backends, list) or len(backends) != 1 or not isinstance(backends[0], dict):
            faults.append(f"{rule_path}.backendRefs: must name one service")
            continue
        for match_index, match in enumerate(entry.get("matches") or [{}]):
            rule = _match(match, f"{rule_path}.matches[{match_index}]", faults)
            for host in spec.get("hostnames") or [""]:
                whole = {**shared, **rule, "service": backends[0].get("name")}
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
    path_match = match.get("path")
    if isinstance(path_match, dict):
        if path_match.get("type", "PathPrefix") != "PathPrefix":
            faults.append(f"{path}.path.type: only PathPrefix is supported")
        rule["path"] = path_match.get("value", "/")
    if "method" in match:
        rule["methods"] = [match["method"]]
    return rule
