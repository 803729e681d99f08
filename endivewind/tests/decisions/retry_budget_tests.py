"""Tests that the retry budget bounds retries whatever fails."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import retry_budget

_NOW = datetime.timedelta(seconds=100)
_SECOND = datetime.timedelta(seconds=1)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retry storms: all targets of a service fail.

    With three attempts per request and no bound the service would get three
    times its load when it can handle the least, and would stay down after the
    cause has gone.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.integers(0, 100), strategies.lists(strategies.booleans())
    )
    def test_retries_stay_within_the_share(self, percent, wants):
        budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(percent / 100)
        )
        taken = 0
        for want in wants:
            budget.record_request(_NOW)
            taken += want and budget.take(_NOW)

        share = len(wants) * percent / 100
        self.assertLessEqual(taken, share + retry_budget.DEFAULT_RESERVE)

    def test_quiet_hour_saves_up_no_retries(self):
        """Everything fails at once after an hour without a failure.

        The budget is a share of the requests of the last window only.
        """
        budget = retry_budget.RetryBudget(retry_budget.RetryLimits(0.2))
        for second in range(3600):
            budget.record_request(second * _SECOND)

        taken = sum(budget.take(3600 * _SECOND) for _ in range(1_000))

        share = 0.2 * (retry_budget.DEFAULT_WINDOW / _SECOND)
        self.assertLessEqual(taken, share + retry_budget.DEFAULT_RESERVE)
        self.assertGreater(taken, share)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_every_window_stays_within_the_bound(self, rng):
        """Traffic of varying rate in which every request needs a retry."""
        limits = retry_budget.RetryLimits(0.2, reserve=2)
        budget = retry_budget.RetryBudget(limits)
        asked, taken = [], []
        now = _NOW
        for _ in range(600):
            now += _SECOND * rng.choice((0.01, 0.1, 0.5))
            budget.record_request(now)
            asked.append(now)
            if budget.take(now):
                taken.append(now)

        for end in taken:
            start = end - limits.window
            within = sum(start <= at <= end for at in taken)
            requests = sum(start <= at <= end for at in asked)
            self.assertLessEqual(within, 0.2 * requests + 2)

    def test_retries_of_one_moment_count_for_the_whole_window(self):
        """Guards against a budget that can be spent twice within a window.

        All retries are made at the end of a step of the window, and count for
        9.6 seconds only if the step expires as a whole.
        """
        budget = retry_budget.RetryBudget(retry_budget.RetryLimits(0.2))
        taken = []
        for number in range(220):
            now = _NOW + number * _SECOND / 10
            budget.record_request(now)
            while number >= 114 and budget.take(now):
                taken.append(now)

        first = [at for at in taken if at == taken[0]]
        within = [at for at in taken if at < taken[0] + 10 * _SECOND]
        self.assertGreater(len(first), 10)
        self.assertLessEqual(len(within), len(first) + 2)

    def test_node_uses_retries_that_neighbours_have_left(self):
        """Failures come in a burst at one of six nodes.

        Each has a limit of two and a half retries and keeps half a retry.
        Without sharing, the third failure at one node would reach its caller
        although the other nodes have ten shared retries left. Before its
        counts can have reached the others, it uses at most a sixth of them.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=0.5)
        budget = retry_budget.RetryBudget(limits)
        for _ in range(10):
            budget.record_request(_NOW)
        alone = sum(budget.take(_NOW, may_borrow=True) for _ in range(20))
        for number in range(5):
            budget.update_peer(
                f"n{number}", retry_budget.RequestCounts(10, 0), _NOW
            )

        refused = sum(budget.take(_NOW) for _ in range(20))
        at_once = sum(budget.take(_NOW, may_borrow=True) for _ in range(20))
        soon = sum(
            budget.take(_NOW + number * _SECOND / 10, may_borrow=True)
            for number in range(90)
        )

        self.assertEqual((2, 0, 1, 9), (alone, refused, at_once, soon))

    def test_neighbour_without_counts_shares_its_reserve(self):
        """A fleet has just started; a node's first request failed.

        Its own limit is less than one retry; the zone shares two and a half.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=0.6, neighbour_count=4)
        budget = retry_budget.RetryBudget(limits)
        budget.record_request(_NOW)

        self.assertFalse(budget.take(_NOW))
        taken = sum(
            budget.take(_NOW + number * _SECOND / 10, may_borrow=True)
            for number in range(20)
        )

        self.assertEqual(2, taken)

    def test_retries_used_by_others_are_not_shared_until_the_window_ends(self):
        """The shared retries are spent; a node still has its own fifth."""
        limits = retry_budget.RetryLimits(0.2, reserve=0.5)
        budget = retry_budget.RetryBudget(limits)
        for _ in range(25):
            budget.record_request(_NOW)
        budget.update_peer("n1", retry_budget.RequestCounts(25, 10), _NOW)

        self.assertTrue(budget.take(_NOW, may_borrow=True))
        self.assertFalse(budget.take(_NOW, may_borrow=True))
        self.assertEqual(1.0, budget.spent_share(_NOW))

        later = _NOW + 1.05 * retry_budget.DEFAULT_WINDOW
        for _ in range(10):
            budget.record_request(later)
        self.assertEqual(0.0, budget.spent_share(later))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 30), strategies.integers(0, 20)
            ),
            min_size=2,
            max_size=6,
        )
    )
    def test_nodes_that_share_counts_stay_within_the_sum_of_their_limits(
        self, wants
    ):
        """Failures come in bursts of any size, one node after the other.

        A node may use retries that others have not used, and each keeps a fifth
        for itself. No retry may be spent twice, as a shared one and a kept one.
        """
        limits = retry_budget.RetryLimits(
            0.2, 0.5, neighbour_count=len(wants) - 1
        )
        nodes = [retry_budget.RetryBudget(limits) for _ in wants]
        bound, taken = 0.0, 0
        for number, (requests, _) in enumerate(wants):
            bound += 0.2 * requests + 0.5
            for _ in range(requests):
                nodes[number].record_request(_NOW)
            self._exchange_counts(nodes, number)
        for number, (_, wanted) in enumerate(wants):
            for _ in range(wanted):
                taken += nodes[number].take(_NOW, may_borrow=True)
            self._exchange_counts(nodes, number)

        self.assertLessEqual(taken, bound)

    def _exchange_counts(self, nodes, number):
        for other, node in enumerate(nodes):
            if other != number:
                node.update_peer(str(number), nodes[number].counts(_NOW), _NOW)

    def test_charged_retries_reduce_later_ones(self):
        """Calls made by a retried request are charged, but never refused."""
        budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=3)
        )
        for _ in range(4):
            budget.charge(_NOW)

        self.assertFalse(budget.take(_NOW, may_borrow=True))
        self.assertEqual(4, budget.counts(_NOW).retries)

    def test_outage_at_all_nodes_stays_within_the_fleets_bound(self):
        """Every request of a zone fails from one moment on.

        Counts arrive a quarter of a second late, and in that time nodes may
        spend the same shared retries twice. The sum stays below the fleet's
        bound; the nodes' limits add up to four fifths of it.
        """
        for seed in range(20):
            with self.subTest(seed):
                asked, taken = self._run_outage(random.Random(seed))
                self.assertLess(taken, 0.2 * asked + 16 * 2)
                self.assertGreater(taken, 0.1 * asked)

    def _run_outage(self, rng):
        """Returns requests and retries of sixteen nodes in one window."""
        limits = retry_budget.RetryLimits(0.16, reserve=1.6)
        nodes = [retry_budget.RetryBudget(limits) for _ in range(16)]
        taken, asked = 0, 0
        for step in range(100):
            now = _NOW + step * _SECOND / 10
            for number, node in enumerate(nodes):
                if rng.random() < 0.2:
                    asked += 1
                    node.record_request(now)
                    taken += node.take(now, may_borrow=True)
                if step % 3 == 0 and node.counts(now).retries:
                    for other in nodes:
                        if other is not node:
                            other.update_peer(
                                str(number), node.counts(now), now
                            )
        return asked, taken

    def test_share_of_zero_disables_retries(self):
        budget = retry_budget.RetryBudget(retry_budget.RetryLimits(0))

        self.assertFalse(budget.take(_NOW))

    def test_what_has_left_the_window_allows_no_retries(self):
        """Guards against a limit of requests that no longer count.

        The limit is two retries for own requests and two for a neighbour's;
        both are gone at the end of the window, in which nothing else happens.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=0)
        own = retry_budget.RetryBudget(limits)
        for _ in range(10):
            own.record_request(_NOW)
        shared = retry_budget.RetryBudget(limits)
        shared.update_peer("n1", retry_budget.RequestCounts(10, 0), _NOW)
        end = _NOW + retry_budget.DEFAULT_WINDOW

        for name, budget in (("own", own), ("shared", shared)):
            with self.subTest(name):
                self.assertTrue(budget.allows_retries(end - _SECOND))
                self.assertFalse(budget.allows_retries(end))
