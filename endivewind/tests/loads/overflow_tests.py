"""The pattern: more orders than the good targets can take, and some sick ones.

A quarter of the targets fail nine requests in ten at once, which leaves slots
for 95 orders a second of 660 ms. For five seconds come 136 a second, with an
aim of 3 s and a deadline of 10 s: long work that can wait.
"""

import collections
import unittest
from unittest import mock

from endivewind.callers import placement
from endivewind.tests.loads import fleet

ORDER = fleet.Kind("order", 48.7, 0.66, 0.3, 3.0, 10.0, once=True)
# Calls of other work, which must be quick and rank first.
CALL = fleet.Kind("call", 20, 0.16, 0.5, 0.6, 2.0, rank=0)
SLOTS = 7
ENTRIES_PER_ZONE = 6
SICK = 3
FAILS = 0.9
SCALE = 2.8
SEEDS = (1, 2, 3)


def _play(scale=SCALE):
    """What became of the orders of the five seconds, over all seeds."""
    total = collections.Counter()
    for seed in SEEDS:
        played = fleet.Fleet(
            seed, slots=SLOTS, entries_per_zone=ENTRIES_PER_ZONE
        )
        played.play(4, (ORDER, CALL))
        for name in played.rng.sample(list(played.targets), SICK):
            played.targets[name].fails = FAILS
        played.play(1.5, (ORDER, CALL))
        played.outcomes.clear()
        played.play(5, (ORDER, CALL), scale=scale)
        orders = played.outcomes["order"]
        total["asked"] += orders.asked
        total["failed"] += orders.failed
        total["refused"] += orders.refused
        total["unsure"] += orders.unsure_refusals
    return {name: total[name] / total["asked"] for name in total}


class OverflowTest(unittest.TestCase):
    def test_full_targets_are_not_taken_for_idle(self):
        """What a home has told of its load ends with the work, not sooner.

        Taken for idle after 300 ms, each full target is asked again, and an
        order is refused after eight such answers though it could wait for
        seconds.
        """
        with mock.patch.object(
            placement._TargetLoad, "others_now", _for_300_ms
        ):
            before = _play()
        after = _play()

        self.assertLess(after["refused"], 0.75 * before["refused"])

    def test_an_order_that_can_wait_is_not_refused_in_its_first_second(self):
        """A fifth more than the good targets take, for half of the deadline.

        There is room for all in time. Full homes that were asked again every
        50 ms used up the eight placings of 3 orders in 100.
        """
        after = _play(scale=2.4)

        self.assertLess(after["refused"], 0.015)


def _for_300_ms(load, usual, now):
    return load.others if now - load.told < placement._GLANCE_LIFE else 0


if __name__ == "__main__":
    unittest.main()
