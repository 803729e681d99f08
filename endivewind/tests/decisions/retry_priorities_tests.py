"""Tests which requests get the retries of a short budget."""

import datetime
import unittest

from endivewind.decisions import retry_priorities

SECOND = datetime.timedelta(seconds=1)
WINDOW = 10 * SECOND
PATIENT, URGENT = 1, 9


def _remaining(left, limit=10.0):
    return retry_priorities.RemainingRetries(0.0, left, limit)


class RetryPrioritiesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100 * SECOND
        self.priorities = retry_priorities.RetryPriorities(WINDOW)

    def want(self, priority, count, taken=0):
        for number in range(count):
            self.priorities.record_request(priority, self.now)
            self.priorities.record_wanted(priority, self.now)
            if number < taken:
                self.priorities.record_taken(priority, self.now)

    def may_take(self, priority, remaining, *, counts_peers=True):
        return self.priorities.may_take(
            priority, remaining, self.now, counts_peers=counts_peers
        )

    def update_peer(self, *demands, requests=0, retries=0):
        self.priorities.update_peer(
            "n1/1",
            tuple(retry_priorities.RetryDemand(*item) for item in demands),
            retry_priorities.RequestCounts(requests, retries),
            self.now,
        )

    def test_budget_that_is_not_short_is_spent_as_before(self):
        self.want(URGENT, 4)
        self.want(PATIENT, 4)

        self.assertTrue(self.may_take(PATIENT, _remaining(0.5)))

    def test_retries_that_urgent_requests_want_are_kept(self):
        """Guards against urgent requests that come too late for a retry.

        They still want four of ten. One more may have been made by other nodes
        since they sent their counts.
        """
        self.want(URGENT, 6, taken=2)
        self.want(PATIENT, 20)

        self.assertFalse(self.may_take(PATIENT, _remaining(5.9)))
        self.assertTrue(self.may_take(PATIENT, _remaining(6.1)))
        for left, expected in ((4.9, False), (5.1, True)):
            with self.subTest(left):
                may_take = self.may_take(
                    PATIENT, _remaining(left), counts_peers=False
                )
                self.assertEqual(expected, may_take)

    def test_retries_beyond_the_urgent_demand_go_to_others(self):
        """Guards against a budget of which nothing is used.

        The urgent requests have made the retries that they want.
        """
        self.want(URGENT, 6, taken=6)
        self.want(PATIENT, 20)

        self.assertFalse(self.may_take(PATIENT, _remaining(1.9)))
        self.assertTrue(self.may_take(PATIENT, _remaining(2.0)))
        self.assertTrue(
            self.may_take(PATIENT, _remaining(1.0), counts_peers=False)
        )

    def test_most_urgent_requests_are_never_refused(self):
        self.want(URGENT, 30)

        self.assertTrue(self.may_take(URGENT, _remaining(1.0)))

    def test_urgent_demand_of_other_nodes_counts(self):
        """Guards against a node that spends what its neighbours need."""
        self.want(PATIENT, 20)
        self.update_peer((URGENT, 8))

        self.assertFalse(self.may_take(PATIENT, _remaining(5.0)))
        self.assertTrue(
            self.may_take(PATIENT, _remaining(5.0), counts_peers=False)
        )

    def test_retries_of_other_nodes_are_those_of_their_urgent_requests(self):
        self.want(PATIENT, 20)
        self.update_peer((URGENT, 8), (PATIENT, 8), retries=8)

        self.assertTrue(self.may_take(PATIENT, _remaining(5.0)))

    def test_demand_of_a_lost_node_expires_with_the_window(self):
        self.update_peer((URGENT, 20))
        self.now += WINDOW
        self.want(PATIENT, 20)

        self.assertTrue(self.may_take(PATIENT, _remaining(1.0)))

    def test_demand_grows_when_a_fault_begins(self):
        """Guards against a budget that is spent in a fault's first seconds.

        No urgent request has failed yet, but half of the others have.
        """
        for _ in range(10):
            self.priorities.record_request(URGENT, self.now)
        self.now += 4 * SECOND
        for _ in range(12):
            self.priorities.record_request(PATIENT, self.now)
        self.want(PATIENT, 12)

        self.assertFalse(self.may_take(PATIENT, _remaining(5.0)))

    def test_single_failures_withhold_nothing(self):
        for _ in range(50):
            self.priorities.record_request(URGENT, self.now)
        self.want(PATIENT, 1)

        self.assertTrue(self.may_take(PATIENT, _remaining(1.0, limit=3.0)))

    def test_demand_is_sent_once_a_second(self):
        """Guards against messages that take more than 10 KB/s."""
        self.want(URGENT, 2)
        self.assertTrue(self.priorities.due_demands(self.now))
        self.priorities.record_sent(self.now)
        self.now += 0.9 * SECOND
        self.assertFalse(self.priorities.due_demands(self.now))
        self.now += 0.1 * SECOND

        self.assertTrue(self.priorities.due_demands(self.now))

    def test_counts_without_demand_keep_the_last_demand(self):
        """Guards against forgotten demand between two messages with it."""
        self.want(PATIENT, 20)
        self.update_peer((URGENT, 8))
        self.update_peer(requests=30)

        self.assertFalse(self.may_take(PATIENT, _remaining(5.0)))

    def test_demand_of_other_nodes_takes_bounded_memory(self):
        """Guards against growth at a node that wants no retries itself."""
        for number in range(600):
            self.now += SECOND
            self.priorities.update_peer(
                f"n1/{number // 100}",
                (retry_priorities.RetryDemand(URGENT, 8),),
                retry_priorities.RequestCounts(),
                self.now,
            )

        peers = self.priorities._peers
        self.assertLessEqual(len(peers), 2)
        self.assertLess(len(peers["n1/5"].earlier), 10)

    def test_demand_is_bounded(self):
        """Guards against messages that grow with the number of priorities."""
        for priority in range(20):
            self.want(priority, 1 + priority)

        demands = self.priorities.due_demands(self.now)

        self.assertEqual(retry_priorities.MAX_DEMANDS, len(demands))
        self.assertIn(retry_priorities.RetryDemand(19, 20), demands)


if __name__ == "__main__":
    unittest.main()
