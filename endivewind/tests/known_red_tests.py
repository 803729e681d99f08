"""Tests of the rules by which a test run passes."""

import dataclasses
import pathlib
import tempfile
import unittest

from endivewind.tests import known_red


class JudgeTest(unittest.TestCase):
    """Only listed failures are accepted, and they are printed."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.listing = pathlib.Path(folder) / "KNOWN-RED.txt"

    def test_unlisted_failure_is_refused(self):
        verdict = known_red.judge([_report("a.B.c")], self.listing)

        self.assertFalse(verdict.accepted)
        self.assertEqual(("FAILED a.B.c",), verdict.lines)

    def test_listed_failure_is_printed_and_accepted(self):
        self.listing.write_text("a.B.c: cause, issue 4\n")

        verdict = known_red.judge([_report("a.B.c")], self.listing)

        self.assertTrue(verdict.accepted)
        self.assertEqual(("KNOWN RED a.B.c: cause, issue 4",), verdict.lines)

    def test_more_than_three_listed_lines_are_refused(self):
        self.listing.write_text("a: x\nb: x\nc: x\nd: x\n")

        verdict = known_red.judge([_report()], self.listing)

        self.assertFalse(verdict.accepted)

    def test_module_without_tests_is_refused(self):
        verdict = known_red.judge([_report(ran=0)], self.listing)

        self.assertFalse(verdict.accepted)


class SaveOutputTest(unittest.TestCase):
    """The output of each failure is saved."""

    def test_each_failure_of_a_class_has_its_own_file(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        first = dataclasses.replace(_report("a.B.c"), output="first")
        second = dataclasses.replace(_report("a.B.c"), output="second")

        paths = [
            known_red.save_output(item, folder / "new")
            for item in (first, second)
        ]

        self.assertEqual(
            ["first", "second"], [path.read_text() for path in paths]
        )


def _report(*failed: str, ran: int = 2) -> known_red.Report:
    return known_red.Report("module", ran, frozenset(failed), 0, 0.1, "")
