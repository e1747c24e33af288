"""Settings from a TOML file and flags, checked as a whole so that every error is reported at once.

All times derive from a few bounds (`recover_s`, `drain_s`, `grace_s`): the durations that the
programs use are ratios to one of them, so changing a bound changes everything that depends on it.

`model` defines the settings, `checks` validates them, and `sources` reads them.
"""

from dykeswitch.settings.checks import PROGRAMS, check
from dykeswitch.settings.model import Settings
from dykeswitch.settings.sources import add_flags, gather

__all__ = ["PROGRAMS", "Settings", "add_flags", "check", "gather"]
