"""Tests that callers' requests are distinguished from the local target's."""

import unittest

from endivewind import clock as clocks
from endivewind.callers import entry_routes
from endivewind.targets import target_request


class _LocalTarget:
    def __init__(self):
        self.has_active_work = False
        self.may_resume_work = False
        self.expected_repeat_share = 0.0


class EntryRoutesTest(unittest.TestCase):
    def setUp(self):
        self.local_target = _LocalTarget()
        self.clock = clocks.ManualClock()
        self.routes = entry_routes.EntryRoutes(self.clock, self.local_target)

    def test_calls_of_busy_target_are_not_callers_requests(self):
        """Guards against too many retries to services that targets call.

        Retries are limited to a share of callers' requests. Targets make calls
        only while they are running a request.
        """
        self.local_target.has_active_work = True

        self.assertFalse(self.routes.is_from_caller("venues", "/status/"))

    def test_request_while_target_is_idle_is_a_callers(self):
        """Later requests by the same route are callers' even if it is busy."""
        self.assertTrue(self.routes.is_from_caller("riders", "/orders/"))
        self.local_target.has_active_work = True

        self.assertTrue(self.routes.is_from_caller("riders", "/orders/"))
        self.assertFalse(self.routes.is_from_caller("riders", "/calls/"))

    def test_restarted_node_learns_nothing_of_a_target_that_goes_on(self):
        """Guards against calls that add to the budget of the called service.

        The target still works on a request that the node sent before its
        restart, and calls another service for it.
        """
        routes = entry_routes.EntryRoutes(
            self.clock, self.local_target, is_restart=True
        )
        self.assertFalse(routes.is_from_caller("venues", "/status/"))
        self.clock.advance(entry_routes.UNKNOWN_WORK_TIME)

        self.assertTrue(routes.is_from_caller("riders", "/orders/"))
        self.assertFalse(routes.is_entry_route("venues", "/status/"))

    def test_calls_of_work_that_was_abandoned_make_no_entry_route(self):
        """Guards against calls that add to the budget of the called service.

        The target was paused, and goes on with a request that its node has
        given up long before.
        """
        self.local_target.may_resume_work = True

        self.assertFalse(self.routes.is_from_caller("venues", "/status/"))
        self.assertFalse(self.routes.is_entry_route("venues", "/status/"))

    def test_requests_from_elsewhere_are_callers_after_abandoned_work(self):
        """Guards against nodes that learn no routes while requests time out."""
        self.local_target.may_resume_work = True

        self.routes.record_remote_request("riders", "/orders/")

        self.assertTrue(self.routes.is_from_caller("riders", "/orders/"))

    def test_request_from_elsewhere_teaches_nothing_of_a_busy_target(self):
        self.local_target.has_active_work = True

        self.routes.record_remote_request("venues", "/status/")

        self.assertFalse(self.routes.is_entry_route("venues", "/status/"))

    def test_route_learned_soon_after_a_restart_is_learned_again(self):
        """Guards against calls of long work that all nodes take for callers'.

        The target works on a request for longer than usual, which the node sent
        before its restart.
        """
        routes = entry_routes.EntryRoutes(
            self.clock, self.local_target, is_restart=True
        )
        self.clock.advance(entry_routes.UNKNOWN_WORK_TIME)
        self.assertTrue(routes.is_from_caller("venues", "/status/"))
        self.assertEqual((), routes.take_due_updates())
        self.clock.advance(target_request.MAX_RESUMED_WORK)

        self.local_target.has_active_work = True
        self.assertFalse(routes.is_from_caller("venues", "/status/"))
        self.assertEqual((), routes.take_due_updates())
        self.local_target.has_active_work = False
        self.assertTrue(routes.is_from_caller("riders", "/orders/"))
        self.clock.advance(entry_routes.UPDATE_INTERVAL)
        self.assertEqual(
            ["/orders/"], [item.prefix for item in routes.take_due_updates()]
        )

    def test_restarted_node_sends_routes_of_callers_elsewhere_soon(self):
        """Guards against nodes that learn no routes after a restart of all."""
        routes = entry_routes.EntryRoutes(
            self.clock, self.local_target, is_restart=True
        )
        self.clock.advance(target_request.MAX_ABANDONED_WORK)

        routes.is_from_caller("venues", "/status/")
        routes.record_remote_request("riders", "/orders/")

        self.assertEqual(
            ["/orders/"], [item.prefix for item in routes.take_due_updates()]
        )

    def test_retry_probability_is_share_of_retried_requests(self):
        """The probability is zero for known routes of callers."""
        self.routes.is_from_caller("riders", "/orders/")
        self.local_target.has_active_work = True
        self.local_target.expected_repeat_share = 0.25

        self.assertEqual(
            0.25, self.routes.retry_probability("venues", "/status/")
        )
        self.assertEqual(
            0.0, self.routes.retry_probability("riders", "/orders/")
        )

    def test_routes_are_learned_from_neighbours(self):
        """Guards against a node that counts no request as a caller's.

        If the target is busy from the start and never idle, the node learns no
        routes by itself and could use only the reserve of its retry budget.
        """
        other_node = entry_routes.EntryRoutes(self.clock, _LocalTarget())
        other_node._local_target.has_active_work = True
        self.routes.is_from_caller("riders", "/orders/")
        self.assertEqual((), self.routes.take_due_updates())
        self.clock.advance(entry_routes.UPDATE_INTERVAL)

        for route in self.routes.take_due_updates():
            other_node.add_route(route, "n2")

        self.assertTrue(other_node.is_from_caller("riders", "/orders/"))
        self.assertFalse(other_node.is_from_caller("riders", "/calls/"))

    def test_all_routes_are_sent_in_turn(self):
        """Guards against routes that a node never learns from its neighbours.

        If its target is always busy, callers' requests by such a route add no
        retries and may be taken for calls for as long as the node runs.
        """
        prefixes = {f"/{number}/" for number in range(21)}
        for prefix in prefixes:
            self.routes.is_from_caller("riders", prefix)

        sent = set()
        for _ in range(2):
            self.clock.advance(entry_routes.UPDATE_INTERVAL)
            update = self.routes.take_due_updates()
            self.assertLessEqual(
                len(update), entry_routes.MAX_ROUTES_PER_UPDATE
            )
            sent.update(route.prefix for route in update)

        self.assertEqual(prefixes, sent)

    def test_without_local_target_all_requests_are_callers(self):
        routes = entry_routes.EntryRoutes(self.clock)

        self.assertTrue(routes.is_from_caller("riders", "/orders/"))
        self.assertEqual(0.0, routes.retry_probability("riders", "/orders/"))


if __name__ == "__main__":
    unittest.main()
