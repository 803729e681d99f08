"""Tests of the detection goals, with one fixed seed each.

The full figures take many seeds and a day of virtual time. These short runs
catch changes that miss a goal.
"""

import dataclasses
import logging
import unittest

from endivewind.bench import experiment
from endivewind.bench import scenarios
from endivewind.config import objects

_BY_NAME = {item.name: item for item in scenarios.SCENARIOS}


def _run(name, policy="own", profile=objects.Profile.DETECTION):
    shorter = dataclasses.replace(
        _BY_NAME[name], fault_end=28, duration_seconds=35
    )
    return experiment.Experiment(shorter, policy, profile, 7).run()


class DecisionsTest(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger("endivewind")
        level = logger.level
        logger.setLevel(logging.ERROR)
        self.addCleanup(logger.setLevel, level)

    def assert_detected(self, row, seconds):
        self.assertIsNotNone(row.detection_seconds)
        self.assertLessEqual(row.detection_seconds, seconds)
        self.assertEqual(0, row.false_ejections)
        self.assertGreaterEqual(row.least_slots, 33)

    def test_detection_times(self):
        for name, seconds in (
            ("errors-100", 1),
            ("crash", 1),
            ("hang", 1),
            ("errors-30", 2),
            ("slow-3x", 3),
        ):
            with self.subTest(name):
                self.assert_detected(_run(name), seconds)

    def test_crash_with_capacity_profile(self):
        row = _run("crash", profile=objects.Profile.CAPACITY)

        self.assert_detected(row, 3)

    def test_slow_target_barely_affects_p99(self):
        healthy = _run("healthy")
        slow = _run("slow-3x")

        self.assertLess(slow.p99_ms, 1.5 * healthy.p99_ms)

    def test_no_ejection_when_all_targets_fail(self):
        row = _run("all-errors-100")

        self.assertEqual(0, row.false_ejections)
        self.assertLess(row.amplification, 1.2)

    def test_consecutive_errors_misses_partial_errors(self):
        """The baseline misses a target with 10 % errors, but not with 100 %."""
        self.assertIsNone(
            _run("errors-10", "consecutive-errors").detection_seconds
        )
        found = _run("errors-100", "consecutive-errors").detection_seconds
        self.assertLess(found, 2)
