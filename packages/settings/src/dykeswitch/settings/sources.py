"""Reading of settings from a TOML file and from flags, which override the file."""

import argparse
import dataclasses
import pathlib
import tomllib
import typing

import dykeswitch.outcome as outcome
from dykeswitch.settings.checks import ADDRESS_LISTS, ALIASES, check, renamed
from dykeswitch.settings.model import Settings

BOOLEANS: typing.Final = {"true": True, "false": False}


def add_flags(flags: argparse.ArgumentParser) -> None:
    """Add a flag for the settings file and one for each setting, also under its former names."""
    flags.add_argument("--settings", metavar="FILE", help="a TOML file of settings; flags override it")
    for field in dataclasses.fields(Settings):
        names = [field.name, *(old for old, new in ALIASES.items() if new == field.name)]
        options = ["--" + name.replace("_", "-") for name in names]
        if field.name in ADDRESS_LISTS:
            flags.add_argument(*options, metavar="IP:PORT,...", help=f"default: {field.default}")
        else:
            flags.add_argument(*options, metavar="VALUE", help=f"default: {field.default!r}")


def gather(program: str, args: argparse.Namespace) -> outcome.Success[Settings] | outcome.Failure:
    """Read and check the settings from file and flags; a flag overrides the file."""
    raw: dict[str, object] = {}
    if args.settings:
        from_file = _read(args.settings)
        if isinstance(from_file, outcome.Failure):
            return from_file
        raw = renamed(from_file.value)
    faults: list[str] = []
    hints = typing.get_type_hints(Settings)
    for field in dataclasses.fields(Settings):
        text = getattr(args, field.name)
        if text is None:
            continue
        try:
            raw[field.name] = _value(hints[field.name], text)
        except KeyError:
            faults.append(f"{field.name}: '{text}' is neither true nor false")
        except ValueError:
            faults.append(f"{field.name}: '{text}' is not a number")
    result = check(program, raw)
    if isinstance(result, outcome.Failure):
        faults.extend(result.faults)
    if faults:
        return outcome.failure("bad_settings", faults=tuple(faults))
    return result


def _read(path: str) -> outcome.Success[dict[str, object]] | outcome.Failure:
    """Read the values of a settings file without checking them."""
    try:
        return outcome.Success(dict(tomllib.loads(pathlib.Path(path).read_text())))
    except OSError as error:
        return outcome.failure("bad_settings", faults=(f"{path}: {error.strerror}",))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return outcome.failure("bad_settings", faults=(f"{path}: not valid TOML: {error}",))


def _value(kind: object, text: str) -> object:
    """Convert the text of a flag to a value of type `kind`.

    Raises KeyError if it should be a boolean and isn't, ValueError if it should be a number and isn't.
    """
    if kind is str:
        return text
    if kind is bool:
        return BOOLEANS[text.lower()]
    if kind is int:
        return int(text)
    if kind is float:
        return float(text)
    return [part for part in text.split(",") if part]
