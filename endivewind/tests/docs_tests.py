"""The docs: links resolve, and pages agree with the code."""

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
    """A reader who follows a link finds its page and heading."""

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
    """The page on configuration is the models' own."""

    def test_page_is_up_to_date(self):
        text = reference.PAGE.read_text()

        self.assertIn(reference.MARK, text)
        self.assertEqual(
            reference.page(text),
            text,
            "run python -m endivewind.config.reference",
        )

    def test_every_key_has_a_meaning(self):
        rows = [
            line
            for line in reference.render().splitlines()
            if line.startswith("| `")
        ]

        self.assertGreater(len(rows), 40)
        self.assertEqual([], [row for row in rows if row.endswith("|  |")])

    def test_commands_are_on_the_operators_page(self):
        page = style.ROOT / "docs/user-guide/operators.md"

        for command in main.COMMANDS:
            self.assertIn(f"`endivewind {command}", page.read_text())
