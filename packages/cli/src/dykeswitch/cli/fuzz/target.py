"""The type of fuzzing targets."""

import dataclasses
import typing

import hypothesis.strategies as strategies


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A strategy that generates cases, and the check that each of them must pass."""

    name: str
    cases: strategies.SearchStrategy[typing.Any]
    check: typing.Callable[[typing.Any], None]
    # The number of cases that CI runs.
    examples: int
