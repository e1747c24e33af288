"""The checks of settings: all at once, every fault named."""

import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
from dykeswitch.settings.model import Settings

PROGRAMS: typing.Final = ("proxy", "registry", "store")

# Which settings each program can not go without.
NEEDS: typing.Final[dict[str, tuple[str, ...]]] = {
    "proxy": ("name", "zone", "member", "web", "seeds"),
    "registry": ("name", "zone", "member", "web", "store"),
    "store": ("name", "store", "data"),
}
ADDRESSES: typing.Final = ("member", "listen", "web", "ready", "store")
ADDRESS_LISTS: typing.Final = ("seeds", "founders")
# Earlier names that are still understood, each with the name that took its place.
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
DURATION_MOST_S: typing.Final = 3600
COUNTS: typing.Final = (
    "max_tries",
    "exchanges_most",
    "body_most",
    "bodies_most",
    "reply_buffer",
    "head_most",
    "layout_most",
)
SHARES: typing.Final = {"extra_share": 1, "far_share": 100}
NOT_NEGATIVE: typing.Final = ("cores_lost", "zones_lost", "regions_lost", "extra_floor")
CHOICES: typing.Final = {
    "proof": ("probe", "header"),
    "log_level": ("debug", "info", "warning", "error"),
}

Values = dict[str, typing.Any]


def renamed(raw: typing.Mapping[str, object]) -> dict[str, object]:
    """Values under today's names; an earlier name beside its new one stays, to be told as a fault."""
    return {
        (ALIASES[name] if name in ALIASES and ALIASES[name] not in raw else name): value
        for name, value in raw.items()
    }


def check(program: str, raw: typing.Mapping[str, object]) -> outcome.Success[Settings] | outcome.Failure:
    """Settings for a program out of plain values, or every fault in them."""
    raw = renamed(raw)
    faults: list[str] = []
    kept = _known(raw, faults)
    for name in NEEDS[program]:
        if not raw.get(name):
            faults.append(f"{name}: missing, and {program} needs it")
    faults += [*_address_faults(kept), *_number_faults(kept), *_choice_faults(kept)]
    if faults:
        return outcome.failure("bad_settings", faults=tuple(faults))
    return outcome.Success(Settings(**kept))


def _known(raw: typing.Mapping[str, object], faults: list[str]) -> Values:
    """The values of known settings, each of its type."""
    hints = typing.get_type_hints(Settings)
    known = {f.name for f in dataclasses.fields(Settings)}
    kept: Values = {}
    for name, value in raw.items():
        if name in ALIASES:
            faults.append(f"{name}: the earlier name of {ALIASES[name]}, which is given too")
        elif name not in known:
            faults.append(f"{name}: unknown setting")
        else:
            seen = _typed(name, hints[name], value, faults)
            if seen is not None:
                kept[name] = seen
    return kept


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
    faults.append(f"{name}: wrong type of value: {raw!r}")
    return None


def _address_faults(kept: Values) -> typing.Iterator[str]:
    for name in ADDRESSES:
        flaw = ports.address_fault(kept[name]) if kept.get(name) else None
        if flaw:
            yield f"{name}: {flaw}"
    for name in ADDRESS_LISTS:
        for n, address in enumerate(kept.get(name, ())):
            flaw = ports.address_fault(address)
            if flaw:
                yield f"{name}[{n}]: {flaw}"


def _number_faults(kept: Values) -> typing.Iterator[str]:
    for name in DURATIONS:
        if name in kept and not 0 < kept[name] <= DURATION_MOST_S:
            yield f"{name}: {kept[name]} is not within 0 to {DURATION_MOST_S} seconds"
    for name in COUNTS:
        if name in kept and kept[name] < 1:
            yield f"{name}: {kept[name]} is less than 1"
    for name, most in SHARES.items():
        if name in kept and not 0 <= kept[name] <= most:
            yield f"{name}: not within 0 to {most}"
    for name in NOT_NEGATIVE:
        if name in kept and kept[name] < 0:
            yield f"{name}: less than 0"


def _choice_faults(kept: Values) -> typing.Iterator[str]:
    for name, choices in CHOICES.items():
        if name in kept and kept[name] not in choices:
            yield f"{name}: not one of {', '.join(choices)}"
