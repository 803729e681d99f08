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


if __name__ == "__main__":
    unittest.main()
