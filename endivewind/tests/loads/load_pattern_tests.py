"""Load tests: bursts, skewed zones, a slow target, mixed load, saturation.

The rates are those of the users: orders of 260 ms and lookups of 190 ms use
two fifths of the slots on an ordinary day, and 1.7 times that in a burst.
Schedule requests of 77 ms, with a latency objective of 500 ms, share targets
with venue requests of 480 ms.
"""

import unittest

from endivewind.tests.loads import fleet

VENUE = fleet.RequestKind("venue", 18.8, 0.48, 0.5, 1.5, 3.0, rank=2)
SCHEDULE = fleet.RequestKind("schedule", 12.6, 0.077, 0.3, 0.5, 2.0)
USUAL_KINDS = (fleet.ORDER, fleet.LOOKUP)


class BurstTest(unittest.TestCase):
    def test_burst_is_served_and_has_no_after_effects(self):
        """1.7 times the load for three seconds uses 3/4 of the slots.

        Hardly any request is lost, and latencies are as before once it ends.
        """
        simulated = fleet.Fleet()
        simulated.run(10, USUAL_KINDS)
        simulated.run(3, USUAL_KINDS, scale=1.7)
        burst = simulated.stats["order"]
        self.assertLess(burst.lost_share, 0.03)
        simulated.stats.clear()

        simulated.run(10, USUAL_KINDS)

        self.assertGreater(simulated.stats["order"].on_time_share, 0.96)


class SkewTest(unittest.TestCase):
    def test_overloaded_zone_prefers_its_own_region(self):
        """All callers of a region are in one zone.

        The zone's own targets have slots for four fifths of their requests.
        The other zone of the region must take most of the rest, and other
        regions little, since traffic between regions costs most.
        """
        simulated = fleet.Fleet()

        simulated.run(20, USUAL_KINDS, zones=fleet.ZONES[:1], scale=0.3)

        crossings = simulated.forwards_by_distance
        self.assertGreater(simulated.stats["order"].on_time_share, 0.95)
        self.assertGreater(crossings["region"], 5 * crossings["far"])
        self.assertLess(crossings["far"] / crossings.total(), 0.05)


class SlowTargetTest(unittest.TestCase):
    def test_slow_target_gets_fewer_requests(self):
        """One target takes five times as long for each request.

        With an equal share of the requests it would delay one order in twelve.
        """
        simulated = fleet.Fleet()
        simulated.run(5, USUAL_KINDS)
        slow_target = next(iter(simulated.targets.values()))
        slow_target.slowdown = 5.0
        slow_target.served_count = 0
        simulated.stats.clear()

        simulated.run(20, USUAL_KINDS)

        mean = simulated.stats["order"].request_count / len(simulated.targets)
        self.assertLess(slow_target.served_count, mean / 2)
        self.assertGreater(simulated.stats["order"].on_time_share, 0.93)


class PriorityTest(unittest.TestCase):
    def test_short_requests_do_not_wait_behind_long_ones(self):
        """Schedule requests queue for the same slots as venue requests.

        They have a higher priority and go first where both wait.
        """
        simulated = fleet.Fleet()

        simulated.run(20, (VENUE, SCHEDULE), scale=2.0)

        self.assertGreater(simulated.stats["schedule"].on_time_share, 0.93)
        self.assertGreater(simulated.stats["venue"].on_time_share, 0.85)


class SaturationTest(unittest.TestCase):
    def test_high_priority_requests_are_served_and_slots_stay_busy(self):
        """Three times the usual load needs five quarters of all slots.

        What can't be served is refused with a Retry-After, lookups before
        orders, and the slots stay busy with requests that end in time.
        """
        simulated = fleet.Fleet()

        simulated.run(20, USUAL_KINDS, scale=3.0)

        orders = simulated.stats["order"]
        lookups = simulated.stats["lookup"]
        self.assertGreater(1 - orders.lost_share, 1 - lookups.lost_share)
        self.assertGreater(1 - orders.lost_share, 0.7)
        self.assertEqual(
            0,
            orders.refused_without_retry_after
            + lookups.refused_without_retry_after,
        )
        done = sum(target.served_count for target in simulated.targets.values())
        capacity = (
            len(simulated.targets)
            * fleet.SLOTS_PER_TARGET
            * 20
            / fleet.ORDER.mean_work
        )
        self.assertGreater(done, 0.75 * capacity)

    def test_saturation_ends_with_the_load(self):
        simulated = fleet.Fleet()
        simulated.run(10, USUAL_KINDS, scale=3.0)
        simulated.stats.clear()

        simulated.run(10, USUAL_KINDS)

        self.assertGreater(simulated.stats["order"].on_time_share, 0.95)
