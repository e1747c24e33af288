"""Layouts: what operators send, checked as a whole and compiled into rules.

`schema` is the document as it is written, `model` the layout as the programs use it; `parser`
leads from one to the other by the checks in `checker`.
"""

from dykeswitch.layout.model import DEFAULT_PROBE, Bounds, Layout, Rule, Service, limits, prefixes, serialize
from dykeswitch.layout.parser import (
    RULES_PER_TURN,
    Read,
    check,
    check_cooperatively,
    read,
    read_cooperatively,
)
from dykeswitch.layout.schema import BoundsDoc, LayoutDoc, RuleDoc, ServiceDoc, ShareDoc

__all__ = [
    "DEFAULT_PROBE",
    "RULES_PER_TURN",
    "Bounds",
    "BoundsDoc",
    "Layout",
    "LayoutDoc",
    "Read",
    "Rule",
    "RuleDoc",
    "Service",
    "ServiceDoc",
    "ShareDoc",
    "check",
    "check_cooperatively",
    "limits",
    "prefixes",
    "read",
    "read_cooperatively",
    "serialize",
]
