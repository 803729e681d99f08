"""Tests of the budget of bytes for each other region."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import cross_region

RATE = 1_000


class CrossRegionBudgetTest(unittest.TestCase):
    """All nearby targets are gone, so each request needs another region.

    Guards against one service in trouble saturating the links between regions,
    which all services share and which are billed by volume.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5_000), strategies.integers(1, 20_000)
            ),
            max_size=60,
        )
    )
    def test_bytes_stay_within_rate_and_burst(self, requests):
        budget = cross_region.CrossRegionBudget(RATE)
        now = datetime.timedelta()
        sent = 0
        for wait_ms, size in requests:
            now += datetime.timedelta(milliseconds=wait_ms)
            if budget.allows("caribe", now):
                budget.spend("caribe", size, now)
                sent += size

        bound = RATE * (now + cross_region.BUCKET_FILL_TIME).total_seconds()
        self.assertLessEqual(sent, bound + 20_000)

    def test_regions_have_separate_budgets(self):
        budget = cross_region.CrossRegionBudget(RATE)
        now = datetime.timedelta()
        budget.spend("caribe", 1_000_000, now)

        self.assertFalse(budget.allows("caribe", now))
        self.assertTrue(budget.allows("pacifico", now))

    def test_empty_budget_refills(self):
        budget = cross_region.CrossRegionBudget(RATE)
        budget.spend("caribe", 31_000, datetime.timedelta())

        self.assertFalse(budget.allows("caribe", datetime.timedelta(seconds=1)))
        self.assertTrue(budget.allows("caribe", datetime.timedelta(seconds=2)))
