"""Tests of telling callers' requests from calls of the local target."""

import unittest

from endivewind import clock as clocks
from endivewind.callers import origins


class _LocalTarget:
    def __init__(self):
        self.is_working = False
        self.repeat_share = 0.0


class IngressRoutesTest(unittest.TestCase):
    def setUp(self):
        self.local_target = _LocalTarget()
        self.clock = clocks.ManualClock()
        self.routes = origins.Origins(self.clock, self.local_target)

    def test_calls_of_busy_target_are_not_callers_requests(self):
        """Guards against too many retries to services that targets call.

        Retries are limited to a share of callers' requests. Targets make calls
        only while they are running a request.
        """
        self.local_target.is_working = True

        self.assertFalse(self.routes.is_caller("venues", "/status/"))

    def test_request_while_target_is_idle_is_a_callers(self):
        """Later requests by the same route are callers' even if it is busy."""
        self.assertTrue(self.routes.is_caller("riders", "/orders/"))
        self.local_target.is_working = True

        self.assertTrue(self.routes.is_caller("riders", "/orders/"))
        self.assertFalse(self.routes.is_caller("riders", "/calls/"))

    def test_retry_probability_is_share_of_retried_requests(self):
        """The probability is zero for known routes of callers."""
        self.routes.is_caller("riders", "/orders/")
        self.local_target.is_working = True
        self.local_target.repeat_share = 0.25

        self.assertEqual(0.25, self.routes.repeat_share("venues", "/status/"))
        self.assertEqual(0.0, self.routes.repeat_share("riders", "/orders/"))

    def test_routes_are_learned_from_neighbours(self):
        """Guards against a node that counts no request as a caller's.

        If the target is busy from the start and never idle, the node learns no
        routes by itself and could use only the reserve of its retry budget.
        """
        other_node = origins.Origins(self.clock, _LocalTarget())
        other_node._local_target.is_working = True
        self.routes.is_caller("riders", "/orders/")
        self.assertEqual((), self.routes.due())
        self.clock.advance(origins.TELL_PERIOD)

        for route in self.routes.due():
            other_node.hear(route)

        self.assertTrue(other_node.is_caller("riders", "/orders/"))
        self.assertFalse(other_node.is_caller("riders", "/calls/"))

    def test_without_local_target_all_requests_are_callers(self):
        routes = origins.Origins(self.clock)

        self.assertTrue(routes.is_caller("riders", "/orders/"))
        self.assertEqual(0.0, routes.repeat_share("riders", "/orders/"))


if __name__ == "__main__":
    unittest.main()
