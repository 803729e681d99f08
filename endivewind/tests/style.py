"""The source files, for tests of style."""

import ast
import collections.abc
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "endivewind"
TESTS = PACKAGE / "tests"


def modules() -> list[pathlib.Path]:
    """Every module of the package and the examples."""
    return [*PACKAGE.rglob("*.py"), *(ROOT / "examples").rglob("*.py")]


def code_lines(files: collections.abc.Iterable[pathlib.Path]) -> int:
    """Lines that are neither empty nor only a comment."""
    texts = (file.read_text() for file in files)
    lines = (line.strip() for text in texts for line in text.splitlines())
    return sum(1 for line in lines if line and not line.startswith("#"))


def calls(file: pathlib.Path) -> list[str]:
    """Dotted names of all calls in a file."""
    tree = ast.parse(file.read_text())
    return [
        ast.unparse(node.func)
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
    ]
