"""Plan of a soak: which acts run when. It depends on the seed alone and is saved before the start."""

import dataclasses
import json
import pathlib
import random
import typing

# Tracks run concurrently, the steps of a track one after another. A track does not know the state that
# another track's acts leave processes in, so each kind of process is stopped and restarted by one track.
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
# Minimum and maximum pause before each step of a track, in seconds. A core may be lost only after the
# loss of the previous one is repaired, for which the settings allow four seconds.
TRACK_PAUSES_S: typing.Final = {"cores": (4.0, 6.0)}
DEFAULT_PAUSE_S: typing.Final = (0.0, 2.0)
# Steps of a track per minute, more than any track can run; steps past the end are not started.
STEPS_PER_MINUTE: typing.Final = 30
PLAN_FILE: typing.Final = "plan.json"


class PlanError(ValueError):
    """The file has no valid plan."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One act of a track, with the pause before it in seconds and the seed of its random choices."""

    act: str
    after_s: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A soak: the fleet's shape and size, its traffic, and the steps of each track."""

    shape: str
    seed: int
    seconds: float
    scale: float
    # Approximate number of processes of the fleet; 0 keeps the size of the shape.
    nodes: int
    tracks: dict[str, tuple[Step, ...]]

    def write(self, folder: pathlib.Path) -> None:
        """Save the plan for a replay."""
        (folder / PLAN_FILE).write_text(json.dumps(dataclasses.asdict(self), indent=1) + "\n")


def generate(shape: str, seed: int, seconds: float, scale: float, nodes: int) -> Plan:
    """Generate a plan; equal arguments give equal plans."""
    rng = random.Random(f"soak-{seed}")
    step_count = max(1, round(seconds / 60 * STEPS_PER_MINUTE))
    tracks = {
        track: tuple(
            Step(
                rng.choice(acts),
                round(rng.uniform(*TRACK_PAUSES_S.get(track, DEFAULT_PAUSE_S)), 3),
                rng.getrandbits(32),
            )
            for _ in range(step_count)
        )
        for track, acts in TRACKS.items()
    }
    return Plan(shape, seed, seconds, scale, nodes, tracks)


def read(folder: pathlib.Path) -> Plan:
    """Read the plan that a soak saved in its folder; raises `PlanError`."""
    try:
        raw: dict[str, typing.Any] = json.loads((folder / PLAN_FILE).read_text())
        tracks = {
            str(track): tuple(Step(**step) for step in steps) for track, steps in raw.pop("tracks").items()
        }
        return Plan(**raw, tracks=tracks)
    except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlanError(f"{folder / PLAN_FILE}: {error}") from error
