"""The command line: exit codes, error messages, and validation without a fleet."""

import argparse
import dataclasses
import json
import pathlib
import re

import pytest

import dykeswitch.cli.main as cli
import dykeswitch.layout.objects as objects
import dykeswitch.outcome as outcome
import dykeswitch.settings as settings

ROOT = pathlib.Path(__file__).parent.parent
VALID = {
    "services": {"pages": {"probe": "/up"}},
    "rules": [{"path": "/", "service": "pages"}, {"path": "/admin", "service": "pages", "methods": ["POST"]}],
}


def _file(folder: pathlib.Path, text: str, name: str = "f.json") -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


def test_a_good_layout_checks(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["check", "layout", _file(tmp_path, json.dumps(VALID))]) == 0
    assert "1 services, 2 rules" in capsys.readouterr().out


def test_every_fault_of_a_layout_is_named_by_its_path(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    invalid = {
        "services": {"pages": {"probe": "up", "extra": 1}},
        "rules": [
            {"path": "/a", "service": "pagez"},
            {"path": "/a", "service": "pages", "max_tries": 0, "writing": "yes"},
            "x",
        ],
        "more": 1,
    }
    assert cli.main(["check", "layout", _file(tmp_path, json.dumps(invalid))]) == 1
    err = capsys.readouterr().err
    for path in (
        "services.pages.probe",
        "services.pages.extra",
        "rules[0].service",
        "rules[1].max_tries",
        "rules[1].writing",
        "rules[1]: matches the same requests as rules[0]",
        "rules[2]",
        "more: unknown key",
    ):
        assert path in err


@pytest.mark.parametrize(
    ("flags", "message"),
    [
        (["--name", "p"], "member: missing"),
        (["--member", "nowhere"], "is not ip:port"),
        (["--member", "example.org:80"], "not an IP number"),
        (["--max-tries", "many"], "not a number"),
        (["--settings", "/no/such/file"], "No such file"),
    ],
)
def test_bad_settings_are_one_plain_line_and_exit_2(
    flags: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["proxy", *flags]) == 2
    err = capsys.readouterr().err
    assert message in err
    assert err.count("\n") == 1
    assert "601 bad_settings" in err


def test_unknown_keys_and_flags_over_file(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    text = 'name = "s"\nstore = "127.0.0.1:1"\nweb = "127.0.0.1:2"\ndata = "/"\n'
    assert cli.main(["check", "store", _file(tmp_path, text, "good.toml")]) == 0
    assert cli.main(["check", "store", _file(tmp_path, text + "colour = 1\n", "bad.toml")]) == 2
    assert "colour: unknown setting" in capsys.readouterr().err
    # The flag overrides the file: the error is about the folder that the flag names.
    assert cli.main(["store", "--settings", str(tmp_path / "good.toml"), "--data", "/no/such"]) == 2
    assert "603 no_folder: /no/such" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["listen", "ear"])
def test_a_setting_is_understood_by_its_earlier_name(name: str, tmp_path: pathlib.Path) -> None:
    raw = {"name": "p", "zone": "z", "member": "127.0.0.1:1", "web": "127.0.0.1:2", "seeds": ["127.0.0.1:3"]}
    checked = settings.check("proxy", {**raw, name: "127.0.0.1:4"})
    assert isinstance(checked, outcome.Success) and checked.value.listen == "127.0.0.1:4"
    flags = argparse.ArgumentParser()
    settings.add_flags(flags)
    path = _file(tmp_path, f'{name} = "127.0.0.1:4"\n', "file.toml")
    options = ["--name=p", "--zone=z", "--member=127.0.0.1:1", "--web=127.0.0.1:2", "--seeds=127.0.0.1:3"]
    found = settings.gather("proxy", flags.parse_args([*options, "--settings", path]))
    assert isinstance(found, outcome.Success) and found.value.listen == "127.0.0.1:4"
    # A flag overrides the file under either of the two names.
    for flag in ("--listen", "--ear"):
        found = settings.gather(
            "proxy", flags.parse_args([*options, "--settings", path, flag, "127.0.0.1:5"])
        )
        assert isinstance(found, outcome.Success) and found.value.listen == "127.0.0.1:5"


def test_a_setting_under_both_of_its_names_is_a_fault() -> None:
    both = {"name": "s", "store": "127.0.0.1:1", "data": "/", "ear": "127.0.0.1:4", "listen": "127.0.0.1:4"}
    checked = settings.check("store", both)
    assert isinstance(checked, outcome.Failure)
    assert checked.faults == ("ear: the earlier name of listen, which is given too",)


@pytest.mark.parametrize("option", ["--duration", "--span"])
def test_a_duration_is_understood_by_its_earlier_name(option: str) -> None:
    for command in ("fleet ghent", "simulate ghent", "worth delta"):
        assert cli.parser().parse_args([*command.split(), option, "7"]).duration == 7.0


def test_a_command_without_a_fleet_says_so(capsys: pytest.CaptureFixture[str]) -> None:
    # Nothing listens on port 1 of the loopback interface.
    assert cli.main(["query", "--at", "127.0.0.1:1", "who", "is", "paused"]) == 3
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_objects_become_the_one_layout_type() -> None:
    text = """
kind: Service
metadata: {name: pages, annotations: {dykeswitch/probe: /up}}
---
kind: HTTPRoute
metadata: {name: front, annotations: {dykeswitch/writing: "true"}}
spec:
  hostnames: [shop.example]
  rules:
    - matches: [{path: {type: PathPrefix, value: /a}, method: POST}]
      backendRefs: [{name: pages}]
"""
    result = objects.read(text.encode())
    assert isinstance(result, outcome.Success), result
    rule = result.value.match("shop.example", "/a/b", "POST")
    assert rule is not None
    assert (rule.service, rule.writing) == ("pages", True)
    assert result.value.match("other.example", "/a", "POST") is None
    invalid = objects.read(text.replace("PathPrefix", "Exact").replace("kind: Service", "kind: Pod").encode())
    assert isinstance(invalid, outcome.Failure)
    assert [fault.split(":")[0] for fault in invalid.faults] == [
        "documents[0].kind",
        "documents[1].spec.rules[0].matches[0].path.type",
    ]


def test_the_docs_list_every_result_code_and_setting() -> None:
    codes = (ROOT / "docs/result-codes.md").read_text()
    for code in outcome.RESULT_CODES.values():
        assert re.search(rf"\| {code.number} \| `{code.tag}` \| {code.status} \|", codes), code
    text = (ROOT / "docs/settings.md").read_text()
    for field in dataclasses.fields(settings.Settings):
        assert f"| `{field.name}` |" in text, field.name
