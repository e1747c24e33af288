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
