"""The retry budget bounds extra work whatever fails."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import retries

_NOW = datetime.timedelta(seconds=100)
_SECOND = datetime.timedelta(seconds=1)


class RetryBudgetTest(unittest.TestCase):
    """Every target of a service fails, and every request wants three tries.

    Without a bound the service would get three times its load when it can
    take least; callers would see it stay down after the cause has gone.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.integers(0, 100), strategies.lists(strategies.booleans())
    )
    def test_retries_stay_within_the_share(self, percent, wants):
        budget = retries.RetryBudget(retries.RetryLimits(percent / 100))
        taken = 0
        for want in wants:
            budget.request(_NOW)
            taken += want and budget.take(_NOW)

        share = len(wants) * percent / 100
        self.assertLessEqual(taken, share + retries.RESERVE)

    def test_a_quiet_hour_saves_up_no_storm(self):
        """An hour without a failure, then everything fails at once.

        What may be retried is a share of the last window's requests only.
        """
        budget = retries.RetryBudget(retries.RetryLimits(0.2))
        for second in range(3600):
            budget.request(second * _SECOND)

        taken = sum(budget.take(3600 * _SECOND) for _ in range(1_000))

        share = 0.2 * (retries.WINDOW / _SECOND)
        self.assertLessEqual(taken, share + retries.RESERVE)
        self.assertGreater(taken, share)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_every_window_keeps_the_bound(self, rng):
        """Traffic that swells and falls, and wants a retry each time."""
        limits = retries.RetryLimits(0.2, reserve=2)
        budget = retries.RetryBudget(limits)
        asked, taken = [], []
        now = _NOW
        for _ in range(600):
            now += _SECOND * rng.choice((0.01, 0.1, 0.5))
            budget.request(now)
            asked.append(now)
            if budget.take(now):
                taken.append(now)

        for end in taken:
            window = 0.95 * limits.window
            within = sum(end - window < at <= end for at in taken)
            requests = sum(end - limits.window < at <= end for at in asked)
            self.assertLessEqual(within, 0.2 * requests + 2)

    def test_a_node_uses_what_its_neighbours_have_left(self):
        """Failures come in a bunch at one of six entries.

        Each has a part of two and a half retries and keeps half a one. Alone,
        the third failure at one entry would reach its caller while ten
        retries are left that the others share. Before its neighbours can
        have heard, it uses no more than a sixth of them.
        """
        limits = retries.RetryLimits(0.2, reserve=0.5)
        budget = retries.RetryBudget(limits)
        for _ in range(10):
            budget.request(_NOW)
        alone = sum(budget.take(_NOW, may_borrow=True) for _ in range(20))
        for number in range(5):
            budget.hear(f"n{number}", retries.Count(10, 0), _NOW)

        refused = sum(budget.take(_NOW) for _ in range(20))
        at_once = sum(budget.take(_NOW, may_borrow=True) for _ in range(20))
        soon = sum(
            budget.take(_NOW + number * _SECOND / 10, may_borrow=True)
            for number in range(90)
        )

        self.assertEqual((2, 0, 1, 9), (alone, refused, at_once, soon))

    def test_a_neighbour_that_tells_nothing_lends_its_reserve(self):
        """A fleet has just started: a node has had one request, which failed.

        Its own part is less than one retry; the zone shares two and a half.
        """
        limits = retries.RetryLimits(0.2, reserve=0.6, neighbours=4)
        budget = retries.RetryBudget(limits)
        budget.request(_NOW)

        self.assertFalse(budget.take(_NOW))
        taken = sum(
            budget.take(_NOW + number * _SECOND / 10, may_borrow=True)
            for number in range(20)
        )

        self.assertEqual(2, taken)

    def test_what_others_have_used_is_not_lent_and_ends_with_the_window(self):
        """Others have used all that is shared; a node keeps its own fifth."""
        limits = retries.RetryLimits(0.2, reserve=0.5)
        budget = retries.RetryBudget(limits)
        for _ in range(25):
            budget.request(_NOW)
        budget.hear("n1", retries.Count(25, 10), _NOW)

        self.assertTrue(budget.take(_NOW, may_borrow=True))
        self.assertFalse(budget.take(_NOW, may_borrow=True))
        self.assertEqual(1.0, budget.spent(_NOW))

        later = _NOW + retries.WINDOW
        for _ in range(10):
            budget.request(later)
        self.assertEqual(0.0, budget.spent(later))

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
    def test_nodes_that_hear_each_other_keep_the_sum_of_their_parts(
        self, wants
    ):
        """Failures come in any bunches, one node after the other.

        A node may use what others have left, and each keeps a fifth for
        itself; lent and kept, the same retry must not be spent twice.
        """
        limits = retries.RetryLimits(0.2, 0.5, neighbours=len(wants) - 1)
        nodes = [retries.RetryBudget(limits) for _ in wants]
        parts, taken = 0.0, 0
        for number, (requests, _) in enumerate(wants):
            parts += 0.2 * requests + 0.5
            for _ in range(requests):
                nodes[number].request(_NOW)
            self._tell(nodes, number)
        for number, (_, wanted) in enumerate(wants):
            for _ in range(wanted):
                taken += nodes[number].take(_NOW, may_borrow=True)
            self._tell(nodes, number)

        self.assertLessEqual(taken, parts)

    def _tell(self, nodes, number):
        for other, node in enumerate(nodes):
            if other != number:
                node.hear(str(number), nodes[number].count(_NOW), _NOW)

    def test_what_was_charged_is_paid_for_by_later_retries(self):
        """Calls of a repeat count as retries, and can't be refused."""
        budget = retries.RetryBudget(retries.RetryLimits(0.2, reserve=3))
        for _ in range(4):
            budget.charge(_NOW)

        self.assertFalse(budget.take(_NOW, may_borrow=True))
        self.assertEqual(4, budget.count(_NOW).retries)

    def test_a_storm_at_all_nodes_keeps_the_sum_of_the_parts(self):
        """Every request of a zone fails from one moment on.

        Counts arrive a quarter of a second late; in that time the nodes may
        spend the same retries twice. The sum stays below the fleet's bound,
        of which the nodes' parts are four fifths.
        """
        for seed in range(20):
            with self.subTest(seed):
                asked, taken = self._storm(random.Random(seed))
                self.assertLess(taken, 0.2 * asked + 16 * 2)
                self.assertGreater(taken, 0.1 * asked)

    def _storm(self, rng):
        """Requests and retries of sixteen nodes in one window."""
        limits = retries.RetryLimits(0.16, reserve=1.6)
        nodes = [retries.RetryBudget(limits) for _ in range(16)]
        taken, asked = 0, 0
        for step in range(100):
            now = _NOW + step * _SECOND / 10
            for number, node in enumerate(nodes):
                if rng.random() < 0.2:
                    asked += 1
                    node.request(now)
                    taken += node.take(now, may_borrow=True)
                if step % 3 == 0 and node.count(now).retries:
                    for other in nodes:
                        if other is not node:
                            other.hear(str(number), node.count(now), now)
        return asked, taken

    def test_zero_percent_means_no_retries(self):
        budget = retries.RetryBudget(retries.RetryLimits(0))

        self.assertFalse(budget.take(_NOW))
