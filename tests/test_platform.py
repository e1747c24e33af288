"""The platform's adapter: names, formats and calls, none of which occur in any other code."""

import importlib
import json
import pathlib
import re
import sys
import typing

import pytest

import dykeswitch.layout as layouts
import dykeswitch.outcome as outcome
import dykeswitch.settings as settings

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
FOLDER: typing.Final = ROOT / "platform"
# Names of the platform that are neither plain English nor names of the product.
NAMES: typing.Final = re.compile(
    r"dykeswitch-(attempt-id|time-left-ms|server-seal|expected-server|not-executed|server-load)"
    r"|servers\.(heartbeat|deregister)|config\.(replace|read)\b|traffic_split|target_latency|path_prefix"
    r"|route_type|health_path|call_count|warmup_left|heartbeat_url|public_http"
    r"|seed_nodes|internal_ports|in_quorum|machine_losses|config_apply_s|retry_slack|retry_ratio",
    re.IGNORECASE,
)


@pytest.fixture
def modules(monkeypatch: pytest.MonkeyPatch) -> typing.Iterator[tuple[typing.Any, typing.Any]]:
    monkeypatch.syspath_prepend(str(FOLDER))
    yield importlib.import_module("speech"), importlib.import_module("told")
    for name in ("speech", "told"):
        sys.modules.pop(name, None)


def _layout(**changes: typing.Any) -> dict[str, typing.Any]:
    headings = ["name", "host", "path_prefix", "route_type", "timeout_s", "target_latency_s", "priority"]
    headings += ["traffic_split", "max_tries", "target"]
    parts = [{"target": "one", "weight": 90}, {"target": "two", "weight": 10}]
    rows = [
        ["r1", "a.example", "/x/", "read_only", 0.8, 0.2, 2, parts, 2, None],
        ["r2", "b.example", "/y/z/", "writing", 1, 0.25, 0, None, 1, "two"],
    ]
    service_headings = ["name", "health_path", "max_connections", "protocol", "tls"]
    return {
        "revision": "0000001f",
        "routes": {"headings": headings, "records": rows},
        "services": {
            "headings": service_headings,
            "records": [["one", "/h", 100, "h1", False], ["two", "/h", 50, "h1", False]],
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "idle_timeout_s": 15},
        **changes,
    }


def _read(speech: typing.Any, doc: object) -> layouts.Read:
    raw = speech.Platform(1.5).layout(json.dumps(doc).encode())
    return raw if isinstance(raw, outcome.Failure) else layouts.check(raw.value)


def test_nobody_else_knows_a_name_of_the_platform() -> None:
    excluded = {pathlib.Path(__file__).resolve()}
    found = []
    for path in [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("tests/*.py")]:
        if path.resolve() not in excluded and NAMES.search(path.read_text()):
            found.append(str(path.relative_to(ROOT)))
    assert found == []
    # The pattern is effective: it matches in the folder of the platform, and it matches each call.
    assert NAMES.search((FOLDER / "speech.py").read_text())
    for call in ("config.replace", "config.read", "servers.heartbeat", "servers.deregister"):
        assert NAMES.search(f'"{call}"') and call in (FOLDER / "speech.py").read_text()


def test_the_folder_shadows_no_module_of_the_standard_library() -> None:
    assert not (FOLDER / "__init__.py").exists()
    assert not {p.stem for p in FOLDER.glob("*.py")} & set(sys.stdlib_module_names)


def test_a_layout_of_the_platform_in_our_words(modules: tuple[typing.Any, typing.Any]) -> None:
    result = _read(modules[0], _layout())
    assert isinstance(result, outcome.Success)
    layout = result.value
    assert layout.number == 31
    one, two = layout.rules
    assert one.split == (("one", 90.0), ("two", 10.0)) and one.writing is False
    assert (one.expiry_s, one.aim_s, one.rank, one.max_tries) == (0.8, 0.2, 2, 2)
    assert (two.service, two.writing, two.rank) == ("two", True, 0)
    assert layout.services["two"].pipes_most == 50
    assert (layout.bounds.head_most, layout.bounds.body_most, layout.bounds.idle_s) == (16384, 1000, 15)
    # The longest prefix of a path applies, final slash included; a merely similar prefix doesn't match.
    assert layout.match("a.example", "/x/1", "GET") is one
    assert layout.match("a.example", "/x", "GET") is None
    assert layout.match("a.example", "/xy/", "GET") is None


def _invalid_layout(kind: str) -> object:
    doc = _layout()
    rows, services = doc["routes"]["records"], doc["services"]["records"]
    if kind == "unknown service":
        rows[1][9] = "nobody"
    elif kind == "unknown service in a split":
        rows[0][7] = [{"target": "nobody", "weight": 1}]
    elif kind == "below zero":
        rows[0][7][0]["weight"] = -1
    elif kind == "bare prefix":
        rows[0][2] = "x/"
    elif kind == "no host":
        rows[0][1] = ""
    elif kind == "host left out":
        rows[0][1] = None
    elif kind == "prefix left out":
        rows[0][2] = None
    elif kind == "empty prefix":
        rows[0][2] = ""
    elif kind == "number with a sign":
        doc["revision"] = "-000001f"
    elif kind == "number with a base":
        doc["revision"] = "0x00001f"
    elif kind == "number with a gap":
        doc["revision"] = "0000_01f"
    elif kind == "short number":
        doc["revision"] = "1f"
    elif kind == "number that is none":
        doc["revision"] = 31
    elif kind == "odd kind":
        rows[0][3] = "sometimes"
    elif kind == "short record":
        rows[0].pop()
    elif kind == "no services":
        doc.pop("services")
    elif kind == "no limits":
        doc.pop("limits")
    elif kind == "limits that are none":
        doc["limits"] = []
    elif kind == "no number":
        doc.pop("revision")
    elif kind == "service without a name":
        services[0][0] = None
    return doc


@pytest.mark.parametrize(
    "kind",
    [
        "unknown service",
        "unknown service in a split",
        "below zero",
        "bare prefix",
        "no host",
        "host left out",
        "no limits",
        "limits that are none",
        "prefix left out",
        "empty prefix",
        "number with a sign",
        "number with a base",
        "number with a gap",
        "short number",
        "number that is none",
        "odd kind",
        "short record",
        "no services",
        "no number",
        "service without a name",
    ],
)
def test_what_is_invalid_there_is_refused(kind: str, modules: tuple[typing.Any, typing.Any]) -> None:
    assert isinstance(_read(modules[0], _layout()), outcome.Success)
    assert isinstance(_read(modules[0], _invalid_layout(kind)), outcome.Failure)


def test_one_cut_short_is_refused(modules: tuple[typing.Any, typing.Any]) -> None:
    data = json.dumps(_layout()).encode()
    for size in (0, 1, len(data) // 2, len(data) - 1):
        assert isinstance(modules[0].Platform(1.5).layout(data[:size]), outcome.Failure)


def test_two_routes_for_the_same_requests_are_taken_and_the_first_has_them(
    modules: tuple[typing.Any, typing.Any],
) -> None:
    doc = _layout()
    doc["routes"]["records"].append([*doc["routes"]["records"][1][:-1], "one"])
    result = _read(modules[0], doc)
    assert isinstance(result, outcome.Success)
    rule = result.value.match("b.example", "/y/z/1", "POST")
    assert rule is not None and rule.service == "two"


def _settings(**changes: typing.Any) -> dict[str, typing.Any]:
    timing = {"drain_s": 2, "config_apply_s": 1.5, "recover_s": 15, "grace_s": 6}
    return {
        "node_name": "m1",
        "ip": "10.1.0.34",
        "zone": "z",
        "bind": {"public_http": "10.1.0.34:80", "readiness": "10.1.0.34:81", "admin": "10.1.0.34:82"},
        "internal_ports": [7540, 7555],
        "seed_nodes": ["10.1.0.37:82", "10.2.0.37:82"],
        "bootstrap": True,
        "limits": {"disk_mb": 256},
        "data_dir": "/data/x",
        "survive": {"machine_losses": 2},
        "timing": {**timing, "retry_ratio": 0.1, "retry_slack": 7.5, "retry_window_s": 9},
        "a field of tomorrow": 1,
        **changes,
    }


@pytest.mark.parametrize("program", settings.PROGRAMS)
def test_settings_under_our_names(program: str, modules: tuple[typing.Any, typing.Any]) -> None:
    checked = settings.check(program, modules[1].translate(program, _settings()))
    assert isinstance(checked, outcome.Success)
    config = checked.value
    assert (config.drain_s, config.extra_share, config.extra_floor, config.cores_lost) == (1.5, 0.1, 7, 2)
    if program == "registry":
        assert config.founders == ("10.1.0.37:7541", "10.2.0.37:7541")
        later = settings.check(program, modules[1].translate(program, _settings(bootstrap=False)))
        assert isinstance(later, outcome.Success) and later.value.founders == ()
    if program == "proxy":
        assert (config.web, config.ready, config.member) == ("10.1.0.34:80", "10.1.0.34:81", "10.1.0.34:7540")
    if program == "store":
        assert (config.store, config.web) == ("10.1.0.34:7541", "")


def test_a_refusal_that_ran_is_no_promise(modules: tuple[typing.Any, typing.Any]) -> None:
    adapter = modules[0].Platform(1.5)
    assert adapter.promises_not_run(503, [(b"Dykeswitch-Not-Executed", b"1")])
    assert adapter.promises_not_run(421, [])
    assert not adapter.promises_not_run(503, [(b"Retry-After", b"1")])
    assert not adapter.promises_not_run(500, [])
