"""Layouts: documents from operators, checked as a whole and compiled into routing rules.

`schema` describes the document as operators write it and `model` the checked layout that the programs
use; `parser` converts the former to the latter by means of the checks in `checker`.
"""

from dykeswitch.layout.model import DEFAULT_PROBE, Bounds, Layout, Rule, Service, limits, prefixes, serialize
from dykeswitch.layout.parser import (
    RULES_PER_STEP,
    Read,
    check,
    check_cooperatively,
    read,
    read_cooperatively,
)
from dykeswitch.layout.schema import BoundsDoc, LayoutDoc, RuleDoc, ServiceDoc, ShareDoc

__all__ = [
    "DEFAULT_PROBE",
    "RULES_PER_STEP",
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
