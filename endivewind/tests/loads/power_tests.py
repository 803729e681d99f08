"""The pattern: everything starts at once after a loss of power.

Callers come back with their usual rates at once. Targets take half a second to
start, and announce themselves one by one in the second after it.
"""

import datetime
import unittest
from unittest import mock

from endivewind.callers import placement
from endivewind.tests.loads import fleet

USUAL = (fleet.ORDER, fleet.LOOKUP)
FIRST_SECONDS = 0.5
LAST_SECONDS = 1.5
SECONDS = 5


def _play(seed, comes=True):
    played = fleet.Fleet(seed, targets_per_zone=0)
    for zone in fleet.ZONES if comes else ():
        for number in range(fleet.TARGETS_PER_ZONE):
            seconds = played.rng.uniform(FIRST_SECONDS, LAST_SECONDS)
            played.join_later(f"{zone}-{number}", zone, seconds)
    played.play(SECONDS, USUAL)
    return played


class PowerTest(unittest.TestCase):
    def test_callers_wait_for_targets_that_are_about_to_come(self):
        """Refused for want of a target, a caller comes back seconds later.

        Nodes wait for what they have not heard of yet as long as it may
        still come; the first targets answer within their aim.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                with mock.patch.object(
                    placement, "SETTLING", datetime.timedelta()
                ):
                    before = _play(seed).outcomes["order"]
                after = _play(seed).outcomes["order"]
                self.assertGreater(before.refused, 10)
                self.assertEqual(0, after.refused)
                self.assertGreater(after.in_time, 0.9)

    def test_a_service_without_targets_is_refused_once_that_is_known(self):
        """Where none comes nobody waits for the deadline."""
        played = _play(1, comes=False)

        for outcome in played.outcomes.values():
            self.assertEqual(outcome.asked, outcome.refused)
            self.assertEqual(0, outcome.unsure_refusals)
            most = placement.SETTLING.total_seconds() + 0.2
            self.assertLess(max(outcome.waits), most)


if __name__ == "__main__":
    unittest.main()
