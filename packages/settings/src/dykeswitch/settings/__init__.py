"""Settings: a TOML file and flags, checked as a whole, every fault named.

All times hang on a few bounds (`recover_s`, `drain_s`, `grace_s`): what a program
uses is a ratio to one of them, so a team that moves a bound moves all that rests on it.
"""

import argparse
import dataclasses
import pathlib
import tomllib
import typing

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one process is told about itself and its bounds."""

    name: str = ""
    zone: str = ""
    region: str = ""
    member: str = ""
    ear: str = ""
    web: str = ""
    ready: str = ""
    store: str = ""
    seeds: tuple[str, ...] = ()
    founders: tuple[str, ...] = ()
    data: str = ""
    # The bounds of the brief.
    recover_s: float = 15.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    lead_s: float = 1.0
    catch_up_s: float = 4.0
    # Traffic.
    request_s: float = 30.0
    max_tries: int = 3
    extra_share: float = 0.2
    extra_floor: int = 60
    extra_window_s: float = 10.0
    exchanges_most: int = 512
    body_most: int = 8 * 1024 * 1024
    reply_buffer: int = 1024 * 1024
    head_most: int = 32768
    layout_most: int = 4 * 1024 * 1024
    proof: str = "probe"
    back_s: float = 1.0
    cores_lost: int = 1
    zones_lost: int = 0
    regions_lost: int = 0
    quorum_eligible: bool = True
    far_share: float = 0.3
    log_level: str = "info"

    # Constants as ratios to the bounds.

    @property
    def mark_s(self) -> float:
        """How long a mark lasts; the source has it equal to the probe interval."""
        return self.recover_s / 3

    @property
    def probe_every_s(self) -> float:
        """How often each endpoint is probed."""
        return self.mark_s

    @property
    def probe_wait_s(self) -> float:
        """How long a probe may take."""
        return self.mark_s / 5

    @property
    def dial_s(self) -> float:
        """How long opening a connection may take."""
        return self.drain_s / 4

    @property
    def gap_s(self) -> float:
        """A gap in our own clock that counts as having been frozen."""
        return self.drain_s / 4

    @property
    def tick_s(self) -> float:
        """How often our own clock is watched for a gap."""
        return self.gap_s / 5

    @property
    def shuffle_s(self) -> float:
        """How often views are shuffled with a neighbour."""
        return self.drain_s / 4

    @property
    def call_s(self) -> float:
        """How long one call to a member may take."""
        return self.drain_s / 2

    @property
    def hold_s(self) -> float:
        """How long a registry holds a poll with no news."""
        return self.drain_s / 2

    @property
    def sweep_s(self) -> float:
        """How often what has run out is swept."""
        return self.drain_s / 4

    @property
    def forget_s(self) -> float:
        """How long the name of an endpoint that left is remembered."""
        return self.recover_s * 60

    @property
    def dead_s(self) -> float:
        """Silence after which a registry is taken for dead."""
        return self.recover_s / 5

    @property
    def swap_s(self) -> float:
        """Silence after which a seated disk gives way to a blank one that waits."""
        return min(self.recover_s / 5, self.catch_up_s / 4)

    @property
    def state_wait_s(self) -> float:
        """How long a store may take to tell its state before it counts as silent."""
        return min(self.call_s, self.catch_up_s / 8)

    @property
    def handover_wait_s(self) -> float:
        """How long a stopping store waits for a sign that its vote is taken over."""
        return min(self.sweep_s * 3, self.grace_s / 4)

    @property
    def handover_most_s(self) -> float:
        """How long a stopping store whose vote is being taken over goes on answering."""
        return self.grace_s * 0.75

    @property
    def loan_s(self) -> float:
        """How long a loan of extra go's runs: longer than it takes to replace a lost lender."""
        return self.extra_window_s * 0.75

    @property
    def spent_s(self) -> float:
        """How long an extra go counts: a window, and within `gap_s` of being paid for it is sent."""
        return self.extra_window_s + self.gap_s

    @property
    def lapse_s(self) -> float:
        """How long after a loan's end its coins still count as out, with some slack for clocks."""
        return self.spent_s + self.gap_s

    @property
    def fence_s(self) -> float:
        """The age up to which a majority's word on a fence is gone by."""
        return self.dead_s

    @property
    def inherit_s(self) -> float:
        """How long a new lender waits: nothing that the old one lent can be out any more."""
        return self.fence_s + self.loan_s + self.lapse_s

    @property
    def alone_s(self) -> float:
        """Silence of all others after which a proxy is not ready, and bids its callers go.

        The platform asks each second, so at `drain_s` of silence it has surely asked: from
        then on who comes all the same is turned away.
        """
        return self.drain_s / 2


PROGRAMS: typing.Final = ("proxy", "registry", "store")

# Which settings each program can not go without.
NEEDS: typing.Final[dict[str, tuple[str, ...]]] = {
    "proxy": ("name", "zone", "member", "web", "seeds"),
    "registry": ("name", "zone", "member", "web", "store"),
    "store": ("name", "store", "data"),
}
ADDRESSES: typing.Final = ("member", "ear", "web", "ready", "store")
ADDRESS_LISTS: typing.Final = ("seeds", "founders")
FLAGS: typing.Final = {"true": True, "false": False}
SPANS: typing.Final = (
    "recover_s",
    "drain_s",
    "grace_s",
    "lead_s",
    "catch_up_s",
    "request_s",
    "back_s",
    "extra_window_s",
)
LOSSES: typing.Final = ("cores_lost", "zones_lost", "regions_lost")
COUNTS: typing.Final = (
    "max_tries",
    "exchanges_most",
    "body_most",
    "reply_buffer",
    "head_most",
    "layout_most",
)


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


def check(program: str, raw: dict[str, object]) -> outcome.Good[Settings] | outcome.Bad:
    """Settings for a program out of plain values, or every fault in them."""
    faults: list[str] = []
    hints = typing.get_type_hints(Settings)
    known = {f.name for f in dataclasses.fields(Settings)}
    kept: dict[str, typing.Any] = {}
    for name, value in raw.items():
        if name not in known:
            faults.append(f"{name}: unknown setting")
            continue
        seen = _typed(name, hints[name], value, faults)
        if seen is not None:
            kept[name] = seen
    for name in NEEDS[program]:
        if not raw.get(name):
            faults.append(f"{name}: missing, and {program} needs it")
    for name in ADDRESSES:
        flaw = ports.address_fault(kept[name]) if kept.get(name) else None
        if flaw:
            faults.append(f"{name}: {flaw}")
    for name in ADDRESS_LISTS:
        for n, address in enumerate(kept.get(name, ())):
            flaw = ports.address_fault(address)
            if flaw:
                faults.append(f"{name}[{n}]: {flaw}")
    for name in SPANS:
        if name in kept and not 0 < kept[name] <= 3600:
            faults.append(f"{name}: {kept[name]} is not within 0 to 3600 seconds")
    for name in COUNTS:
        if name in kept and kept[name] < 1:
            faults.append(f"{name}: {kept[name]} is less than 1")
    if "extra_share" in kept and not 0 <= kept["extra_share"] <= 1:
        faults.append("extra_share: not within 0 to 1")
    if "far_share" in kept and not 0 <= kept["far_share"] <= 100:
        faults.append("far_share: not within 0 to 100")
    for name in LOSSES:
        if name in kept and kept[name] < 0:
            faults.append(f"{name}: less than 0")
    if "extra_floor" in kept and kept["extra_floor"] < 0:
        faults.append("extra_floor: less than 0")
    if kept.get("proof", "probe") not in ("probe", "header"):
        faults.append("proof: not one of probe, header")
    if kept.get("log_level", "info") not in ("debug", "info", "warning", "error"):
        faults.append("log_level: not one of debug, info, warning, error")
    if faults:
        return outcome.bad("bad_settings", faults=tuple(faults))
    return outcome.Good(Settings(**kept))


def add_flags(flags: argparse.ArgumentParser) -> None:
    """A flag for the settings file and one for each setting."""
    flags.add_argument("--settings", metavar="FILE", help="a TOML file of settings; flags win over it")
    for field in dataclasses.fields(Settings):
        word = "--" + field.name.replace("_", "-")
        if field.name in ADDRESS_LISTS:
            flags.add_argument(word, metavar="IP:PORT,...", help=f"default: {field.default}")
        else:
            flags.add_argument(word, metavar="VALUE", help=f"default: {field.default!r}")


def gather(program: str, spoken: argparse.Namespace) -> outcome.Good[Settings] | outcome.Bad:
    """Settings from file and flags; a flag wins over the file."""
    raw: dict[str, object] = {}
    if spoken.settings:
        try:
            raw = dict(tomllib.loads(pathlib.Path(spoken.settings).read_text()))
        except OSError as flaw:
            return outcome.bad("bad_settings", faults=(f"{spoken.settings}: {flaw.strerror}",))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as flaw:
            return outcome.bad("bad_settings", faults=(f"{spoken.settings}: not TOML: {flaw}",))
    faults: list[str] = []
    hints = typing.get_type_hints(Settings)
    for field in dataclasses.fields(Settings):
        text = getattr(spoken, field.name)
        if text is None:
            continue
        kind = hints[field.name]
        try:
            if kind is str:
                raw[field.name] = text
            elif kind is bool:
                raw[field.name] = FLAGS[text.lower()]
            elif kind is int:
                raw[field.name] = int(text)
            elif kind is float:
                raw[field.name] = float(text)
            else:
                raw[field.name] = [part for part in text.split(",") if part]
        except KeyError:
            faults.append(f"{field.name}: '{text}' is not true or false")
        except ValueError:
            faults.append(f"{field.name}: '{text}' is not a number")
    result = check(program, raw)
    if isinstance(result, outcome.Bad):
        faults.extend(result.faults)
    if faults:
        return outcome.bad("bad_settings", faults=tuple(faults))
    return result
