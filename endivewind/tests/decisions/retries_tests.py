"""The retry budget bounds extra work whatever fails."""

import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import retries


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
        budget = retries.RetryBudget(percent)
        taken = 0
        for want in wants:
            budget.request()
            taken += want and budget.take()

        share = len(wants) * percent / 100
        self.assertLessEqual(taken, share + retries.RESERVE)

    def test_a_quiet_hour_saves_up_no_storm(self):
        budget = retries.RetryBudget(100)
        for _ in range(10_000):
            budget.request()

        taken = sum(budget.take() for _ in range(1_000))

        self.assertEqual(retries.MOST, taken)

    def test_zero_percent_means_no_retries(self):
        budget = retries.RetryBudget(0)

        self.assertFalse(budget.take())
