"""What a soak does and when: drawn from its seed alone, and written down before it starts."""

import dataclasses
import json
import pathlib
import random
import typing

# Tracks run at the same time, the steps of each one after the other. What one track does to its
# processes is known to that track alone, so each kind of process has one that ends and restarts it.
TRACKS: typing.Final[dict[str, tuple[str, ...]]] = {
    "proxies": (
        "roll_proxies",
        "kill_proxy",
        "kill_herd",
        "freeze_proxies_in_turn",
        "stop_with_work_in_hand",
        "move_proxy",
    ),
    "cores": (
        "stop_cores_in_turn",
        "kill_core_after_ack",
        "wipe_disk_after_ack",
        "freeze_registry",
        "roll_registries",
    ),
    "operators": ("row_of_changes", "race_operators", "broken_changes", "large_layout"),
    "endpoints": ("roll_endpoints", "kill_endpoint", "odd_endpoints"),
    "signals": ("row_of_hangups", "row_of_repeated_stops"),
    "callers": ("callers_leave", "callers_rest", "callers_try_again", "callers_stay"),
}
# Between which pauses each step of a track begins, in seconds. Another core may be lost only once the
# one before is made up for, which the settings give four seconds.
PAUSES_S: typing.Final = {"cores": (4.0, 6.0)}
USUAL_PAUSE_S: typing.Final = (0.0, 2.0)
# Steps of a track per minute, more than any track can play: what is over time is not begun.
STEPS_PER_MINUTE: typing.Final = 30
PLAN_FILE: typing.Final = "plan.json"


class PlanError(ValueError):
    """A file that holds no plan."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One act of a track: after which pause (seconds), and with which draws."""

    act: str
    after_s: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A soak: the fleet's shape and size, its traffic, and what each track does."""

    shape: str
    seed: int
    seconds: float
    scale: float
    # About how many processes the fleet has; 0 for the shape as it is.
    nodes: int
    tracks: dict[str, tuple[Step, ...]]

    def write(self, folder: pathlib.Path) -> None:
        """Write it down, for a replay."""
        (folder / PLAN_FILE).write_text(json.dumps(dataclasses.asdict(self), indent=1) + "\n")


def draw(shape: str, seed: int, seconds: float, scale: float, nodes: int) -> Plan:
    """A plan; the same one for the same arguments."""
    rng = random.Random(f"soak-{seed}")
    many = max(1, round(seconds / 60 * STEPS_PER_MINUTE))
    tracks = {
        track: tuple(
            Step(
                rng.choice(acts),
                round(rng.uniform(*PAUSES_S.get(track, USUAL_PAUSE_S)), 3),
                rng.getrandbits(32),
            )
            for _ in range(many)
        )
        for track, acts in TRACKS.items()
    }
    return Plan(shape, seed, seconds, scale, nodes, tracks)


def read(folder: pathlib.Path) -> Plan:
    """The plan that a soak wrote into its folder; raises `PlanError`."""
    try:
        raw: dict[str, typing.Any] = json.loads((folder / PLAN_FILE).read_text())
        tracks = {
            str(track): tuple(Step(**step) for step in steps) for track, steps in raw.pop("tracks").items()
        }
        return Plan(**raw, tracks=tracks)
    except (OSError, ValueError, TypeError, KeyError, AttributeError) as flaw:
        raise PlanError(f"{folder / PLAN_FILE}: {flaw}") from flaw
