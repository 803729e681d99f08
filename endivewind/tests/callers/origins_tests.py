"""Which requests that begin at a node are those of callers."""

import unittest

from endivewind.callers import origins


class _Beside:
    def __init__(self):
        self.is_working = False
        self.runs_repeat = False


class OriginsTest(unittest.TestCase):
    def setUp(self):
        self.beside = _Beside()
        self.origins = origins.Origins(self.beside)

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

    def test_while_a_repeat_runs_a_request_may_be_a_call_of_it(self):
        """But not one that goes a way of callers."""
        self.origins.is_caller("riders", "/orders/")
        self.beside.is_working = True
        self.assertFalse(self.origins.may_repeat("venues", "/status/"))
        self.beside.runs_repeat = True

        self.assertTrue(self.origins.may_repeat("venues", "/status/"))
        self.assertFalse(self.origins.may_repeat("riders", "/orders/"))

    def test_where_targets_call_through_shared_nodes_all_count(self):
        shared = origins.Origins()

        self.assertTrue(shared.is_caller("riders", "/orders/"))
        self.assertFalse(shared.may_repeat("riders", "/orders/"))


if __name__ == "__main__":
    unittest.main()
