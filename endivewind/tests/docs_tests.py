"""Tests that links in the docs resolve and pages match the code."""

import pathlib
import re
import unittest

from endivewind.commands import main
from endivewind.config import reference
from endivewind.tests import style

_LINK = re.compile(r"\]\(([^)#]+)(?:#([^)]+))?\)|\]\(#([^)]+)\)")
_HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)


def _pages() -> list[pathlib.Path]:
    return [style.ROOT / "README.md", *(style.ROOT / "docs").rglob("*.md")]


def _anchors(page: pathlib.Path) -> set[str]:
    headings = _HEADING.findall(page.read_text())
    kept = [re.sub(r"[^\w\- ]", "", item.lower()) for item in headings]
    return {item.strip().replace(" ", "-") for item in kept}


class LinksTest(unittest.TestCase):
    """Links to pages and headings."""

    def test_every_relative_link_resolves(self):
        checked = 0
        for page in _pages():
            for path, anchor, own in _LINK.findall(page.read_text()):
                if "://" in path:
                    continue
                checked += 1
                with self.subTest(f"{page.name} -> {path}#{anchor or own}"):
                    linked = (page.parent / path).resolve() if path else page
                    self.assertTrue(linked.exists())
                    if anchor or own:
                        self.assertIn(anchor or own, _anchors(linked))
        self.assertGreater(checked, 10)


class ReferenceTest(unittest.TestCase):
    """The generated reference, and the list of commands."""

    def test_page_is_up_to_date(self):
        text = reference.PAGE.read_text()

        self.assertIn(reference.GENERATED_MARKER, text)
        self.assertEqual(
            reference.update_page(text),
            text,
            "run python -m endivewind.config.reference",
        )

    def test_every_key_is_documented(self):
        rows = [
            line
            for line in reference.render().splitlines()
            if line.startswith("| `")
        ]

        self.assertGreater(len(rows), 40)
        self.assertEqual([], [row for row in rows if row.endswith("|  |")])

    def test_every_command_is_documented(self):
        page = style.ROOT / "docs/user-guide/operators.md"

        for command in main.COMMANDS:
            self.assertIn(f"`endivewind {command}", page.read_text())
