"""Tests of the counts and levels of an entry node."""

import datetime
import random
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import admission_control
from endivewind.decisions import admission_level

SERVICE = "riders"
PERIOD = datetime.timedelta(milliseconds=250)
COORDINATOR = "n1"


def _head():
    return exchange.RequestHead(
        "r", "GET", "/", (), SERVICE, "", datetime.timedelta(seconds=1)
    )


class AdmissionControlTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.control = admission_control.AdmissionControl(
            self.clock, random.Random(1)
        )

    def receive(self, number, **fields):
        """Receives a level."""
        level = admission_level.AdmissionLevel(SERVICE, number, **fields)
        self.control.apply_levels(COORDINATOR, (level,))


class ReportTest(AdmissionControlTest):
    def report_after(self, request_count):
        """Returns the report after another period with requests."""
        for _ in range(request_count):
            self.control.check(_head(), 1)
        self.clock.advance(PERIOD)
        (demand,) = self.control.take_demands(PERIOD, PERIOD)
        return demand

    def test_requests_are_reported_for_a_second(self):
        """If each were in one report, a lost one would take its counts along."""
        self.receive(1)

        reports = [self.report_after(count) for count in (1, 2, 3, 4, 5)]

        self.assertEqual(
            [1, 3, 6, 10, 14], [item.classes[0].count for item in reports]
        )
        self.assertEqual(
            [1, 2, 3, 4, 4], [item.period / PERIOD for item in reports]
        )
        self.assertEqual({PERIOD}, {item.interval for item in reports})
        self.assertEqual(self.clock.monotonic(), reports[-1].ended)

    def test_requests_before_the_shortage_are_not_reported(self):
        """Their served rate is below the capacity."""
        self.control.check(_head(), 1)
        self.clock.advance(PERIOD)
        self.assertEqual((), self.control.take_demands(PERIOD, PERIOD))
        self.receive(1)

        self.assertEqual(2, self.report_after(2).classes[0].count)


class LevelTest(AdmissionControlTest):
    def test_level_that_its_end_has_overtaken_is_ignored(self):
        """It refused requests for two seconds although all could be served."""
        self.receive(1)
        self.receive(3, valid_for=datetime.timedelta())

        self.receive(2)

        self.assertIsNone(self.control.level(SERVICE))
        self.assertEqual([], self.control.levels())

    def test_end_that_arrives_before_any_level_counts(self):
        """The only level of a short overload may be overtaken, too."""
        self.receive(2, valid_for=datetime.timedelta())

        self.receive(1)

        self.assertIsNone(self.control.level(SERVICE))

    def test_level_after_an_end_comes_into_force(self):
        """An overload that starts again must not be ignored."""
        self.receive(1)
        self.receive(2, valid_for=datetime.timedelta())

        self.receive(3)

        self.assertEqual(3, self.control.level(SERVICE).number)

    def test_end_of_a_level_is_logged_once(self):
        """An end that is kept must not be reported as an expired level."""
        self.receive(1)
        with self.assertLogs(admission_control.log, "INFO") as captured:
            self.receive(2, valid_for=datetime.timedelta())
            self.clock.advance(2 * admission_control.END_RETENTION)
            self.control.level(SERVICE)

        self.assertEqual(1, len(captured.records))


if __name__ == "__main__":
    unittest.main()
