"""The retry budget bounds extra work whatever fails."""

import datetime
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

    def test_zero_percent_means_no_retries(self):
        budget = retries.RetryBudget(retries.RetryLimits(0))

        self.assertFalse(budget.take(_NOW))
