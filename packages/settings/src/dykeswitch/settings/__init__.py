"""Settings: a TOML file and flags, checked as a whole, every fault named.

All times hang on a few bounds (`recover_s`, `drain_s`, `grace_s`): what a program
uses is a ratio to one of them, so a team that moves a bound moves all that rests on it.

`model` has the settings, `checks` what holds of them, `sources` where they come from.
"""

from dykeswitch.settings.checks import PROGRAMS, check
from dykeswitch.settings.model import Settings
from dykeswitch.settings.sources import add_flags, gather

__all__ = ["PROGRAMS", "Settings", "add_flags", "check", "gather"]
