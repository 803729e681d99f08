"""Which requests that begin at a node are those of callers."""

import unittest

from endivewind import clock as clocks
from endivewind.callers import origins


class _Beside:
    def __init__(self):
        self.is_working = False
        self.repeat_share = 0.0


class OriginsTest(unittest.TestCase):
    def setUp(self):
        self.beside = _Beside()
        self.clock = clocks.ManualClock()
        self.origins = origins.Origins(self.clock, self.beside)

    def test_calls_of_a_target_are_no_requests_of_callers(self):
        """A service that is mostly called would have too many retries.

        The bound goes by the requests of callers. Calls come only while the
        target beside works on something.
        """
        self.beside.is_working = True

        self.assertFalse(self.origins.is_caller("venues", "/status/"))

    def test_what_arrives_beside_an_idle_target_is_a_callers(self):
        """So is what goes the same way later, whatever the target does."""
        self.assertTrue(self.origins.is_caller("riders", "/orders/"))
        self.beside.is_working = True

        self.assertTrue(self.origins.is_caller("riders", "/orders/"))
        self.assertFalse(self.origins.is_caller("riders", "/calls/"))

    def test_a_call_is_one_of_a_repeat_as_likely_as_the_work_is(self):
        """What goes a way of callers is none."""
        self.origins.is_caller("riders", "/orders/")
        self.beside.is_working = True
        self.beside.repeat_share = 0.25

        self.assertEqual(0.25, self.origins.repeat_share("venues", "/status/"))
        self.assertEqual(0.0, self.origins.repeat_share("riders", "/orders/"))

    def test_a_node_that_starts_has_the_ways_from_its_neighbours(self):
        """Its target is busy from its first second on, and never idle.

        Nothing that comes would count as callers', and the node would have
        its reserve of retries only.
        """
        fresh = origins.Origins(self.clock, _Beside())
        fresh._beside.is_working = True
        self.origins.is_caller("riders", "/orders/")
        self.assertEqual((), self.origins.due())
        self.clock.advance(origins.TELL_PERIOD)

        for way in self.origins.due():
            fresh.hear(way)

        self.assertTrue(fresh.is_caller("riders", "/orders/"))
        self.assertFalse(fresh.is_caller("riders", "/calls/"))

    def test_where_targets_call_through_shared_nodes_all_count(self):
        shared = origins.Origins(self.clock)

        self.assertTrue(shared.is_caller("riders", "/orders/"))
        self.assertEqual(0.0, shared.repeat_share("riders", "/orders/"))


if __name__ == "__main__":
    unittest.main()
