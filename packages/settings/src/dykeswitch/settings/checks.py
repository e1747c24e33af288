"""Validation of settings, which reports every error at once."""

import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
from dykeswitch.settings.model import Settings

PROGRAMS: typing.Final = ("proxy", "registry", "store")

# The settings that each program requires.
REQUIRED: typing.Final[dict[str, tuple[str, ...]]] = {
    "proxy": ("name", "zone", "member", "web", "seeds"),
    "registry": ("name", "zone", "member", "web", "store"),
    "store": ("name", "store", "data"),
}
ADDRESSES: typing.Final = ("member", "listen", "web", "ready", "store")
ADDRESS_LISTS: typing.Final = ("seeds", "founders")
# Former names that are still accepted, each with its present name.
ALIASES: typing.Final = {"ear": "listen"}
DURATIONS: typing.Final = (
    "recover_s",
    "drain_s",
    "grace_s",
    "lead_s",
    "catch_up_s",
    "request_s",
    "back_s",
    "extra_window_s",
)
MAX_DURATION_S: typing.Final = 3600
COUNTS: typing.Final = (
    "max_tries",
    "exchanges_most",
    "body_most",
    "bodies_most",
    "reply_buffer",
    "head_most",
    "layout_most",
)
# Settings that range from 0 to the given maximum.
SHARES: typing.Final = {"extra_share": 1, "far_share": 100}
NOT_NEGATIVE: typing.Final = ("cores_lost", "zones_lost", "regions_lost", "extra_floor")
CHOICES: typing.Final = {
    "proof": ("probe", "header"),
    "log_level": ("debug", "info", "warning", "error"),
}

Values = dict[str, typing.Any]


def renamed(raw: typing.Mapping[str, object]) -> dict[str, object]:
    """Replace former names by present ones.

    A former name that is given besides its present one stays, so that it is reported as an error.
    """
    return {
        (ALIASES[name] if name in ALIASES and ALIASES[name] not in raw else name): value
        for name, value in raw.items()
    }


def check(program: str, raw: typing.Mapping[str, object]) -> outcome.Success[Settings] | outcome.Failure:
    """Make the settings of a program from plain values, or report every error in them."""
    raw = renamed(raw)
    faults: list[str] = []
    values = _known(raw, faults)
    for name in REQUIRED[program]:
        if not raw.get(name):
            faults.append(f"{name}: missing, but required for a {program}")
    faults += [*_address_faults(values), *_number_faults(values), *_choice_faults(values)]
    if faults:
        return outcome.failure("bad_settings", faults=tuple(faults))
    return outcome.Success(Settings(**values))


def _known(raw: typing.Mapping[str, object], faults: list[str]) -> Values:
    """Return the known settings, converted to their types, and collect errors in `faults`."""
    hints = typing.get_type_hints(Settings)
    known = {f.name for f in dataclasses.fields(Settings)}
    values: Values = {}
    for name, value in raw.items():
        if name in ALIASES:
            faults.append(f"{name}: the earlier name of {ALIASES[name]}, which is given too")
        elif name not in known:
            faults.append(f"{name}: unknown setting")
        else:
            converted = _typed(name, hints[name], value, faults)
            if converted is not None:
                values[name] = converted
    return values


def _typed(name: str, kind: object, raw: object, faults: list[str]) -> object:
    if kind is float and isinstance(raw, (int, float)) and not isinstance(raw, bool):
        return float(raw)
    if kind is bool and isinstance(raw, bool):
        return raw
    if kind is int and isinstance(raw, int) and not isinstance(raw, bool):
        return raw
    if kind is str and isinstance(raw, str):
        return raw
    if kind == tuple[str, ...] and isinstance(raw, list) and all(isinstance(x, str) for x in raw):
        return tuple(raw)
    faults.append(f"{name}: value has the wrong type: {raw!r}")
    return None


def _address_faults(values: Values) -> typing.Iterator[str]:
    for name in ADDRESSES:
        fault = ports.address_fault(values[name]) if values.get(name) else None
        if fault:
            yield f"{name}: {fault}"
    for name in ADDRESS_LISTS:
        for index, address in enumerate(values.get(name, ())):
            fault = ports.address_fault(address)
            if fault:
                yield f"{name}[{index}]: {fault}"


def _number_faults(values: Values) -> typing.Iterator[str]:
    for name in DURATIONS:
        if name in values and not 0 < values[name] <= MAX_DURATION_S:
            yield f"{name}: {values[name]} must be greater than 0 and at most {MAX_DURATION_S} seconds"
    for name in COUNTS:
        if name in values and values[name] < 1:
            yield f"{name}: {values[name]} must be at least 1"
    for name, maximum in SHARES.items():
        if name in values and not 0 <= values[name] <= maximum:
            yield f"{name}: must be from 0 to {maximum}"
    for name in NOT_NEGATIVE:
        if name in values and values[name] < 0:
            yield f"{name}: must not be negative"


def _choice_faults(values: Values) -> typing.Iterator[str]:
    for name, choices in CHOICES.items():
        if name in values and values[name] not in choices:
            yield f"{name}: must be one of {', '.join(choices)}"
