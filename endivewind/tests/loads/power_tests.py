"""Simulates a restart of the whole fleet after a power loss.

Callers resume their usual rates at once. Targets take half a second to start
and announce themselves one by one in the following second.
"""

import datetime
import unittest
from unittest import mock

from endivewind.callers import placement
from endivewind.tests.loads import fleet

REQUEST_KINDS = (fleet.ORDER, fleet.LOOKUP)
FIRST_TARGET_SECONDS = 0.5
LAST_TARGET_SECONDS = 1.5
DURATION_SECONDS = 5


def _simulate(seed, has_targets=True):
    simulated = fleet.Fleet(seed, targets_per_zone=0)
    for zone in fleet.ZONES if has_targets else ():
        for number in range(fleet.TARGETS_PER_ZONE):
            seconds = simulated.rng.uniform(
                FIRST_TARGET_SECONDS, LAST_TARGET_SECONDS
            )
            simulated.schedule_join(f"{zone}-{number}", zone, seconds)
    simulated.run(DURATION_SECONDS, REQUEST_KINDS)
    return simulated


class PowerLossTest(unittest.TestCase):
    def test_requests_wait_for_targets_that_are_starting(self):
        """A caller that is refused for lack of a target retries seconds later.

        Instead nodes hold requests while targets may still announce themselves,
        and the first targets respond within the latency objective.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                with mock.patch.object(
                    placement, "DISCOVERY_TIME", datetime.timedelta()
                ):
                    without_wait = _simulate(seed).stats["order"]
                with_wait = _simulate(seed).stats["order"]
                self.assertGreater(without_wait.refused, 10)
                self.assertEqual(0, with_wait.refused)
                self.assertGreater(with_wait.on_time_share, 0.9)

    def test_service_without_targets_is_refused_before_the_deadline(self):
        """Requests wait only while targets may still announce themselves."""
        simulated = _simulate(1, has_targets=False)

        for outcome in simulated.stats.values():
            self.assertEqual(outcome.request_count, outcome.refused)
            self.assertEqual(0, outcome.refused_without_retry_after)
            max_wait = placement.DISCOVERY_TIME.total_seconds() + 0.2
            self.assertLess(max(outcome.latencies), max_wait)


if __name__ == "__main__":
    unittest.main()
