"""Tests of parsing the flag --seeds."""

import unittest

from absl import flags
from absl.testing import flagsaver

from endivewind import exceptions
from endivewind.commands import bench_options


class SeedsTest(unittest.TestCase):
    def setUp(self):
        if not flags.FLAGS.is_parsed():
            flags.FLAGS.mark_as_parsed()

    def seeds(self, text):
        with flagsaver.flagsaver(seeds=text):
            return list(bench_options.parse_seeds("2"))

    def test_count_range_and_default(self):
        self.assertEqual([1, 2, 3], self.seeds("3"))
        self.assertEqual([7, 8, 9], self.seeds("7-9"))
        self.assertEqual([1, 2], self.seeds(""))

    def test_invalid_value_is_usage_error(self):
        for text in ("0", "9-7", "1-", "a", "1-2-3", "-3"):
            with (
                self.subTest(text),
                self.assertRaises(exceptions.UsageError),
            ):
                self.seeds(text)
