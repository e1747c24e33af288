"""What a target of fuzzing is."""

import dataclasses
import typing

import hypothesis.strategies as strategies


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Cases and the check that each of them must pass."""

    name: str
    cases: strategies.SearchStrategy[typing.Any]
    check: typing.Callable[[typing.Any], None]
    # How many cases CI plays.
    examples: int
