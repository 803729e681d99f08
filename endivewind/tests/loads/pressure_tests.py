"""The patterns: bursts, skewed zones, a slow target, mixed work, saturation.

The rates are the users' own: orders of 260 ms and look-ups of 190 ms at two
fifths of the slots on an ordinary day, 1.7 times that in a burst; schedules
of 77 ms that must be there within 500 ms beside venue look-ups of 480 ms.
"""

import unittest

from endivewind.tests.loads import fleet

VENUE = fleet.Kind("venue", 18.8, 0.48, 0.5, 1.5, 3.0, rank=2)
SCHEDULE = fleet.Kind("schedule", 12.6, 0.077, 0.3, 0.5, 2.0)
USUAL = (fleet.ORDER, fleet.LOOKUP)


class BurstTest(unittest.TestCase):
    def test_a_burst_is_served_and_leaves_nothing_behind(self):
        """1.7 times the work for three seconds: three quarters of the slots.

        Nobody is refused, and the seconds after it are like those before.
        """
        played = fleet.Fleet()
        played.play(10, USUAL)
        played.play(3, USUAL, scale=1.7)
        burst = played.outcomes["order"]
        self.assertLess(burst.lost, 0.03)
        played.outcomes.clear()

        played.play(10, USUAL)

        self.assertGreater(played.outcomes["order"].in_time, 0.96)


class SkewTest(unittest.TestCase):
    def test_a_crowded_zone_uses_its_region_before_others(self):
        """All of a region's callers are in one zone.

        Its own targets have slots for four fifths of that. The other zone of
        the region takes the rest; far regions, whose bytes cost most, little.
        """
        played = fleet.Fleet()

        played.play(20, USUAL, zones=fleet.ZONES[:1], scale=0.3)

        crossings = played.crossings
        self.assertGreater(played.outcomes["order"].in_time, 0.95)
        self.assertGreater(crossings["region"], 5 * crossings["far"])
        self.assertLess(crossings["far"] / crossings.total(), 0.05)


class SlowTargetTest(unittest.TestCase):
    def test_one_slow_target_loses_its_work_to_the_others(self):
        """One target takes five times as long for everything.

        Left in turn it would make one order in twelve late.
        """
        played = fleet.Fleet()
        played.play(5, USUAL)
        slow = next(iter(played.targets.values()))
        slow.factor = 5.0
        slow.served = 0
        played.outcomes.clear()

        played.play(20, USUAL)

        mean = played.outcomes["order"].asked / len(played.targets)
        self.assertLess(slow.served, mean / 2)
        self.assertGreater(played.outcomes["order"].in_time, 0.93)


class MixTest(unittest.TestCase):
    def test_short_work_is_not_stuck_behind_long(self):
        """Schedules wait before the same slots as venue look-ups.

        They rank higher, and go first where both wait.
        """
        played = fleet.Fleet()

        played.play(20, (VENUE, SCHEDULE), scale=2.0)

        self.assertGreater(played.outcomes["schedule"].in_time, 0.93)
        self.assertGreater(played.outcomes["venue"].in_time, 0.85)


class SaturationTest(unittest.TestCase):
    def test_the_most_important_work_is_kept_and_no_slot_stands_idle(self):
        """Three times the usual load: five quarters of all slots.

        What can't be served is refused with the time to come back, look-ups
        before orders, and the slots stay busy with work that is in time.
        """
        played = fleet.Fleet()

        played.play(20, USUAL, scale=3.0)

        orders = played.outcomes["order"]
        lookups = played.outcomes["lookup"]
        self.assertGreater(1 - orders.lost, 1 - lookups.lost)
        self.assertGreater(1 - orders.lost, 0.7)
        self.assertEqual(0, orders.unsure_refusals + lookups.unsure_refusals)
        done = sum(target.served for target in played.targets.values())
        most = len(played.targets) * fleet.SLOTS * 20 / fleet.ORDER.work
        self.assertGreater(done, 0.75 * most)

    def test_it_ends_with_the_load(self):
        played = fleet.Fleet()
        played.play(10, USUAL, scale=3.0)
        played.outcomes.clear()

        played.play(10, USUAL)

        self.assertGreater(played.outcomes["order"].in_time, 0.95)
