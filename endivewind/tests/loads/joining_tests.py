"""Simulates low traffic and a target of which little is known yet.

The targets have many slots and get a fifth of the usual request rates. A
request then changes a target's utilization by a twentieth only, so that the
choice between two targets depends on what is known of their health.
"""

import unittest

from endivewind.tests.loads import fleet

REQUEST_KINDS = (fleet.ORDER, fleet.LOOKUP)
RATE_FACTOR = 0.2
SLOTS = 20
# Random variation changes one of thirteen targets' shares by a fifth in thirty
# seconds; a third of the mean is far below that.
MIN_SHARE_OF_MEAN = 1 / 3


class JoiningTest(unittest.TestCase):
    """A healthy target gets its share, whatever is known of the others."""

    def test_target_that_joins_known_ones_gets_requests(self):
        """A target joins others that have served requests for a while.

        If targets known to be healthy were always preferred, the new one would
        get no requests and so never become known to be healthy.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                simulated = fleet.Fleet(seed, slots=SLOTS)
                simulated.run(20, REQUEST_KINDS, scale=RATE_FACTOR)
                joined = simulated.join_target("a-x-new", "a-x")
                self._check_share(simulated, joined)

    def test_target_that_was_idle_for_long_gets_requests_again(self):
        """A zone has no callers for 40 s; one of its targets stays in use.

        Meanwhile what was known of the other target decays to the prior.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                simulated = fleet.Fleet(seed, slots=SLOTS)
                simulated.run(10, REQUEST_KINDS, scale=RATE_FACTOR)
                idle = simulated.targets["a-x-0"]
                idle.failure_share = 1.0
                simulated.run(3, REQUEST_KINDS, scale=RATE_FACTOR)
                idle.failure_share = 0.0
                simulated.run(
                    40, REQUEST_KINDS, zones=fleet.ZONES[1:], scale=RATE_FACTOR
                )
                self._check_share(simulated, idle)

    def _check_share(self, simulated, target):
        for item in simulated.targets.values():
            item.served_count = 0
        simulated.run(30, REQUEST_KINDS, scale=RATE_FACTOR)
        served = [item.served_count for item in simulated.targets.values()]
        mean = sum(served) / len(served)
        self.assertGreater(target.served_count, MIN_SHARE_OF_MEAN * mean)
