"""The table of rules in docs/rules.md, compared with the code: what it names exists, and it is complete."""

import pathlib
import re
import typing

import pytest

import dykeswitch.simulator.faults as faults
import dykeswitch.simulator.history as histories

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
PAGE: typing.Final = (ROOT / "docs" / "rules.md").read_text()
COLUMNS: typing.Final = (
    "rule",
    "where",
    "carried by",
    "checked by",
    "brought about by",
    "seen broken without",
)
GUARDS: typing.Final = set(re.findall(r"^def (_\w+)", (ROOT / "tests/test_guards.py").read_text(), re.M))


def _rows() -> list[dict[str, str]]:
    lines = [line for line in PAGE.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    assert tuple(cells[0]) == COLUMNS
    assert all(len(row) == len(COLUMNS) for row in cells)
    return [dict(zip(COLUMNS, row)) for row in cells[2:]]


ROWS: typing.Final = _rows()


def _source(name: str) -> str:
    """Return the source of a module or test file, by its name in the table."""
    if name.startswith("test_"):
        return (ROOT / "tests" / name).read_text()
    [path] = ROOT.glob(f"packages/*/src/dykeswitch/{name}")
    return path.read_text()


def _is_there(reference: str, names: typing.Container[str]) -> bool:
    """Whether a reference is one of the given names, or a function or class that exists in a module."""
    module, _, part = reference.partition(": ")
    if not part:
        return reference in names
    return re.search(rf"(def|class) {re.escape(part)}\b", _source(module)) is not None


@pytest.mark.parametrize("row", ROWS, ids=[row["rule"][:40] for row in ROWS])
def test_what_a_row_names_is_there(row: dict[str, str]) -> None:
    known: dict[str, typing.Container[str]] = {
        "carried by": (),
        "checked by": histories.CHECKS,
        "brought about by": faults.FAULTS,
        "seen broken without": GUARDS,
    }
    for column, names in known.items():
        cell = row[column]
        found = re.findall(r"`([^`]+)`", cell)
        if not found:
            finding = re.fullmatch(r"none \((F\d+)\)", cell)
            assert finding is not None, cell
            assert f"- **{finding.group(1)}** " in PAGE, cell
        for reference in found:
            assert _is_there(reference, names), f"{column}: {reference}"


@pytest.mark.parametrize(
    ("column", "names"), [("checked by", histories.CHECKS), ("brought about by", faults.FAULTS)]
)
def test_every_check_and_fault_of_the_simulator_stands_in_the_table(
    column: str, names: typing.Iterable[str]
) -> None:
    found = {name for row in ROWS for name in re.findall(r"`([^`]+)`", row[column])}
    assert set(names) - found == set()


def test_a_finding_stands_in_the_table() -> None:
    """A finding that no cell refers to any more has been fixed and must be removed from the list."""
    listed = set(re.findall(r"^- \*\*(F\d+)\*\* ", PAGE, re.M))
    named = {name for row in ROWS for cell in row.values() for name in re.findall(r"none \((F\d+)\)", cell)}
    assert listed == named
