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
            wanted = 100 if number >= 114 else 0
            taken += [now for _ in range(wanted) if budget.take(now)]

        first = [at for at in taken if at == taken[0]]
        within = [at for at in taken if at < taken[0] + 10 * _SECOND]
        self.assertGreater(len(first), 10)
        self.assertLessEqual(len(within), len(first) + 2)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_retries_that_wait_count_when_they_are_sent(self, seed):
        """Guards against retries that wait for slots and are sent together.

        Each waits up to four seconds and is then sent or given up.
        """
        rng = random.Random(seed)
        limits = retry_budget.RetryLimits(0.2, reserve=6)
        budget = retry_budget.RetryBudget(limits)
        now, waiting, sent = _NOW, [], []
        for _ in range(600):
            now += _SECOND * rng.choice((0.01, 0.1, 0.5))
            retry = budget.take_for_later(now)
            if retry is not None:
                waiting.append((now + rng.choice((0, 1, 4)) * _SECOND, retry))
            for item in list(waiting):
                if item[0] <= now:
                    waiting.remove(item)
                    if rng.random() < 0.8:
                        item[1].record_sent(now)
                        sent.append(now)
                    else:
                        item[1].cancel()

        for start in sent:
            window = start + limits.window
            within = sum(start <= at <= window for at in sent)
            self.assertLessEqual(within, limits.reserve)
        self.assertGreater(len(sent), limits.reserve)

    def test_retry_that_reaches_no_target_is_left_for_another_attempt(self):
        """Guards against retries that are lost at targets without a slot."""
        budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=1)
        )
        retry = budget.take_for_later(_NOW)

        self.assertFalse(budget.take(_NOW))
        retry.cancel()
        self.assertTrue(budget.take(_NOW))

    def test_retry_of_a_loan_that_is_sent_late_counts_for_the_borrower(self):
        """Guards against a retry that counts for nobody.

        The loan has returned to the lender before the retry leaves the window.
        """
        for waits, own_used in ((0.4, 0), (0.6, 1)):
            with self.subTest(waits):
                budget = retry_budget.RetryBudget(
                    retry_budget.RetryLimits(0.2, reserve=0)
                )
                budget.add_loan(1.0, _NOW)
                retry = budget.take_for_later(_NOW)
                retry.record_sent(_NOW + waits * _SECOND)

                used = budget.counts(_NOW + _SECOND).retries
                self.assertEqual(own_used, used)

    def test_lent_retry_that_is_under_way_for_long_counts_for_the_borrower(
        self,
    ):
        """Guards against a retry that counts for nobody while it may arrive.

        Its lender has it back after a window.
        """
        budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=0)
        )
        budget.add_loan(1.0, _NOW)
        retry = budget.take_for_later(_NOW)

        for waits, own_used in ((10.4, 0), (10.6, 1)):
            with self.subTest(waits):
                counts = budget.counts(_NOW + waits * _SECOND)
                self.assertEqual(own_used, counts.retries)
        retry.record_sent(_NOW + 11 * _SECOND)
        self.assertEqual(1, budget.counts(_NOW + 20 * _SECOND).retries)

    def test_node_uses_retries_that_neighbours_lend(self):
        """Failures come in a burst at one of six nodes.

        Each has a limit of two and a half retries. Without loans the third
        failure at one node would reach its caller although the other nodes have
        twelve retries left.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=0.5)
        budget, *neighbours = [
            retry_budget.RetryBudget(limits) for _ in range(6)
        ]
        for node in (budget, *neighbours):
            for _ in range(10):
                node.record_request(_NOW)
        alone = sum(budget.take(_NOW) for _ in range(20))
        for node in neighbours:
            budget.add_loan(node.lend(5, _NOW), _NOW)

        without_loans = sum(
            budget.take(_NOW, may_use_loans=False) for _ in range(20)
        )
        with_loans = sum(budget.take(_NOW) for _ in range(20))

        self.assertEqual((2, 0, 13), (alone, without_loans, with_loans))

    def test_parts_of_retries_add_up(self):
        """Guards against retries that nobody can use.

        Each of four nodes has six tenths of a retry left.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=0.6)
        budget, *neighbours = [
            retry_budget.RetryBudget(limits) for _ in range(4)
        ]
        self.assertFalse(budget.take(_NOW))
        self.assertAlmostEqual(0.4, budget.missing(1, _NOW))
        for node in neighbours:
            budget.add_loan(node.lend(budget.missing(1, _NOW), _NOW), _NOW)

        self.assertEqual(0, budget.missing(1, _NOW))
        self.assertTrue(budget.take(_NOW))
        self.assertFalse(budget.take(_NOW))

    def test_lender_keeps_a_fifth(self):
        limits = retry_budget.RetryLimits(0.2, reserve=10)
        budget = retry_budget.RetryBudget(limits)

        self.assertEqual(8, budget.lend(20, _NOW))
        self.assertEqual(0, budget.lend(20, _NOW))
        self.assertEqual(2, sum(budget.take(_NOW) for _ in range(20)))

    def test_unused_loan_expires_before_it_returns(self):
        """Guards against a retry that counts for two nodes in one window.

        The borrower uses the loan as late as it may. The lender gets it back
        when that retry has left the window.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=10)
        lender = retry_budget.RetryBudget(limits)
        borrower = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=0)
        )
        borrower.add_loan(lender.lend(8, _NOW), _NOW)
        last = _NOW + 0.99 * retry_budget.LOAN_LIFETIME

        self.assertTrue(borrower.take(last))
        self.assertFalse(borrower.take(_NOW + retry_budget.LOAN_LIFETIME))
        self.assertLess(lender.lend(8, last + limits.window), 1)
        returned = _NOW + retry_budget.LOAN_LIFETIME + limits.window
        self.assertEqual(8, lender.lend(8, returned))

    def test_neighbour_without_counts_is_taken_to_have_its_reserve(self):
        """A fleet has just started, and nobody has made a retry."""
        limits = retry_budget.RetryLimits(0.2, reserve=0.6, neighbour_count=4)
        budget = retry_budget.RetryBudget(limits)
        budget.record_request(_NOW)

        self.assertTrue(budget.allows_retries(_NOW))
        self.assertEqual(0.0, budget.spent_share(_NOW))

    def test_budget_is_spent_if_neighbours_have_used_theirs(self):
        """A node still has its own fifth, which it does not lend."""
        limits = retry_budget.RetryLimits(0.2, reserve=0.5)
        budget = retry_budget.RetryBudget(limits)
        for _ in range(25):
            budget.record_request(_NOW)
        budget.lend(100, _NOW)
        budget.update_peer("n1", 1, retry_budget.RequestCounts(25, 5), _NOW)

        self.assertTrue(budget.take(_NOW))
        self.assertFalse(budget.take(_NOW))
        self.assertEqual(1.0, budget.spent_share(_NOW))

        later = (
            _NOW
            + 1.05 * retry_budget.DEFAULT_WINDOW
            + retry_budget.LOAN_LIFETIME
        )
        for _ in range(10):
            budget.record_request(later)
        self.assertEqual(0.0, budget.spent_share(later))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.integers(2, 6), strategies.integers(0, 10_000))
    def test_nodes_that_lend_stay_within_the_sum_of_their_limits(
        self, count, seed
    ):
        """Guards against retries that are spent twice while they change hands.

        Nodes retry and lend at any time, and every third loan is lost on the
        way. Loans arrive up to three seconds late.
        """
        rng = random.Random(seed)
        limits = retry_budget.RetryLimits(0.2, reserve=2.5)
        nodes = [retry_budget.RetryBudget(limits) for _ in range(count)]
        now, taken, in_transit = _NOW, [], []
        for _ in range(600):
            now += _SECOND * rng.choice((0.0, 0.01, 0.1, 0.5))
            for arrival, node, amount, asked_at in list(in_transit):
                if arrival <= now:
                    node.add_loan(amount, asked_at)
                    in_transit.remove((arrival, node, amount, asked_at))
            node, lender = rng.sample(nodes, 2)
            if node.take(now):
                taken.append(now)
                continue
            amount = lender.lend(node.missing(rng.choice((1, 2)), now), now)
            delay = rng.choice((0.0, 0.2, 3.0)) * _SECOND
            if rng.random() < 2 / 3:
                in_transit.append((now + delay, node, amount, now))

        for start in taken:
            window = start + limits.window
            within = sum(start <= at <= window for at in taken)
            self.assertLessEqual(within, count * limits.reserve)
        self.assertGreater(len(taken), count)

    def test_charged_retries_reduce_later_ones(self):
        """Calls made by a retried request are charged, but never refused."""
        budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=3)
        )
        for _ in range(4):
            budget.charge(_NOW)

        self.assertFalse(budget.take(_NOW))
        self.assertEqual(4, budget.counts(_NOW).retries)

    def test_overdraft_is_handed_over(self):
        """Guards against calls of retried requests that nobody counts.

        They exceed the limit of the node where they arrive, and another node
        has retries left.
        """
        limits = retry_budget.RetryLimits(0.2, reserve=3)
        node, other = (retry_budget.RetryBudget(limits) for _ in range(2))
        for _ in range(5):
            node.charge(_NOW)

        self.assertEqual(2, node.overdraft(_NOW))
        node.hand_over(other.lend(node.overdraft(_NOW), _NOW))

        self.assertEqual(0, node.overdraft(_NOW))
        self.assertFalse(node.take(_NOW))
        self.assertEqual(1, sum(other.take(_NOW) for _ in range(5)))
        later = _NOW + 1.05 * limits.window
        self.assertEqual(3, sum(node.take(later) for _ in range(5)))

    def test_retries_still_count_after_a_change_of_the_window(self):
        """Guards against a budget that can be spent once more by a change."""
        for seconds in (5, 20):
            with self.subTest(seconds):
                budget = retry_budget.RetryBudget(
                    retry_budget.RetryLimits(0.2, reserve=3)
                )
                self.assertEqual(3, sum(budget.take(_NOW) for _ in range(9)))
                limits = retry_budget.RetryLimits(
                    0.2, reserve=3, window=seconds * _SECOND
                )
                budget.configure(limits)

                before = _NOW + (seconds - 1) * _SECOND
                after = _NOW + (seconds + 1) * _SECOND
                self.assertFalse(budget.take(before))
                self.assertTrue(budget.take(after))

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
        shared.update_peer("n1", 1, retry_budget.RequestCounts(10, 0), _NOW)
        end = _NOW + retry_budget.DEFAULT_WINDOW

        for name, budget in (("own", own), ("shared", shared)):
            with self.subTest(name):
                self.assertTrue(budget.allows_retries(end - _SECOND))
                self.assertFalse(budget.allows_retries(end))


class FirstWindowTest(unittest.TestCase):
    """A node that has just started."""

    def test_single_failed_request_is_retried(self):
        """Guards against quiet services without any retries after a start.

        A part of a fleet's reserve has to wait: what was spent before counts.
        """
        for is_shared in (False, True):
            with self.subTest(is_reserve_shared=is_shared):
                limits = retry_budget.RetryLimits(
                    0.2,
                    uptime=datetime.timedelta(),
                    is_reserve_shared=is_shared,
                )
                budget = retry_budget.RetryBudget(limits)

                taken = budget.take(datetime.timedelta(seconds=1))

                self.assertEqual(not is_shared, taken)
