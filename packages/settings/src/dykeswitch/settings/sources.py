"""Where settings come from: a TOML file, and flags that win over it."""

import argparse
import dataclasses
import pathlib
import tomllib
import typing

import dykeswitch.outcome as outcome
from dykeswitch.settings.checks import ADDRESS_LISTS, ALIASES, check, renamed
from dykeswitch.settings.model import Settings

FLAGS: typing.Final = {"true": True, "false": False}


def add_flags(flags: argparse.ArgumentParser) -> None:
    """A flag for the settings file and one for each setting, by its earlier names too."""
    flags.add_argument("--settings", metavar="FILE", help="a TOML file of settings; flags win over it")
    for field in dataclasses.fields(Settings):
        names = [field.name, *(old for old, new in ALIASES.items() if new == field.name)]
        words = ["--" + name.replace("_", "-") for name in names]
        if field.name in ADDRESS_LISTS:
            flags.add_argument(*words, metavar="IP:PORT,...", help=f"default: {field.default}")
        else:
            flags.add_argument(*words, metavar="VALUE", help=f"default: {field.default!r}")


def gather(program: str, spoken: argparse.Namespace) -> outcome.Success[Settings] | outcome.Failure:
    """Settings from file and flags; a flag wins over the file."""
    raw: dict[str, object] = {}
    if spoken.settings:
        found = _read(spoken.settings)
        if isinstance(found, outcome.Failure):
            return found
        raw = renamed(found.value)
    faults: list[str] = []
    hints = typing.get_type_hints(Settings)
    for field in dataclasses.fields(Settings):
        text = getattr(spoken, field.name)
        if text is None:
            continue
        try:
            raw[field.name] = _value(hints[field.name], text)
        except KeyError:
            faults.append(f"{field.name}: '{text}' is not true or false")
        except ValueError:
            faults.append(f"{field.name}: '{text}' is not a number")
    result = check(program, raw)
    if isinstance(result, outcome.Failure):
        faults.extend(result.faults)
    if faults:
        return outcome.failure("bad_settings", faults=tuple(faults))
    return result


def _read(path: str) -> outcome.Success[dict[str, object]] | outcome.Failure:
    """The values of a settings file, not yet checked."""
    try:
        return outcome.Success(dict(tomllib.loads(pathlib.Path(path).read_text())))
    except OSError as flaw:
        return outcome.failure("bad_settings", faults=(f"{path}: {flaw.strerror}",))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as flaw:
        return outcome.failure("bad_settings", faults=(f"{path}: not TOML: {flaw}",))


def _value(kind: object, text: str) -> object:
    """A flag's text as a value; raises KeyError or ValueError where it is none."""
    if kind is str:
        return text
    if kind is bool:
        return FLAGS[text.lower()]
    if kind is int:
        return int(text)
    if kind is float:
        return float(text)
    return [part for part in text.split(",") if part]
