"""Tests reading what a target says of itself in its responses."""

import unittest

from endivewind import headers
from endivewind.targets import self_reports

NAMES = headers.HeaderNames(rate_limit="Limit", leaving="Leaving")


class RateLimitTest(unittest.TestCase):
    def test_reads_a_decimal_number(self):
        for text, limit in (("3", 3.0), ("3.6", 3.6), ("0", 0.0)):
            with self.subTest(text):
                result = self_reports.rate_limit({"Limit": text}, NAMES)

                self.assertEqual(limit, result.ok)

    def test_missing_header_means_no_limit(self):
        self.assertIsNone(self_reports.rate_limit({}, NAMES).ok)

    def test_invalid_number_is_reported_with_its_header(self):
        for text in ("", "many", "-1", "nan", "inf", "3 per second"):
            with self.subTest(text):
                result = self_reports.rate_limit({"Limit": text}, NAMES)

                self.assertEqual(f"Limit: not a rate: {text}", result.error)


class LeavingTest(unittest.TestCase):
    def test_only_the_documented_value_counts(self):
        for text, expected in (("1", True), ("0", False), ("yes", False)):
            with self.subTest(text):
                reported = self_reports.is_leaving({"Leaving": text}, NAMES)

                self.assertEqual(expected, reported)

    def test_missing_header_means_not_leaving(self):
        self.assertFalse(self_reports.is_leaving({}, NAMES))
