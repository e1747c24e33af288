"""House rules that no linter knows."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent


def test_no_from_imports() -> None:
    files = sorted(ROOT.glob("packages/*/src/**/*.py")) + sorted(ROOT.glob("tests/*.py"))
    assert len(files) > 20
    found = [
        f"{path.relative_to(ROOT)}:{node.lineno}"
        for path in files
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom)
    ]
    assert found == []


def test_what_the_readme_tells_to_run_can_be_run() -> None:
    """Without a run bit in git a fresh clone answers `./check` with "Permission denied"."""
    assert "\n./check\n" in (ROOT / "README.md").read_text()
    # CI takes the README's own way in, so that it fails where a reader would.
    assert (ROOT / ".ci" / "run").read_text().endswith("\nexec ./check\n")
    for name in ("check", ".ci/run"):
        assert (ROOT / name).stat().st_mode & 0o111 == 0o111, name
