"""Tests of a zone's token bucket: taking, lending and borrowing."""

import datetime
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from endivewind.decisions import quotas

SECOND = datetime.timedelta(seconds=1)
NONE = quotas.Tolerance(5 * SECOND, 0, 0)


class TokenBucketTest(unittest.TestCase):
    def setUp(self):
        self.limit = quotas.BucketLimits(rate=2, capacity=3)
        self.bucket = quotas.TokenBucket(self.limit, 3, 0 * SECOND)

    def test_burst_then_rate(self):
        taken = [self.bucket.take(1, 0 * SECOND) for _ in range(5)]

        self.assertEqual([1, 1, 1, 0, 0], taken)
        self.assertEqual(0, self.bucket.take(1, 0.1 * SECOND))
        self.assertEqual(0.4 * SECOND, self.bucket.wait(0.1 * SECOND))
        self.assertEqual(1, self.bucket.take(1, 0.5 * SECOND))

    def test_lends_all_but_the_kept_share(self):
        self.assertEqual(2, self.bucket.lend(5, 0 * SECOND))
        self.assertEqual(1, self.bucket.take(5, 0 * SECOND))

    def test_borrowing_does_not_exceed_the_capacity(self):
        """Guards against borrowed tokens that add up to more than the quota."""
        self.bucket.borrow(50, 0 * SECOND)

        self.assertEqual(3, self.bucket.take(50, 0 * SECOND))

    def test_lower_limit_applies_at_once(self):
        self.bucket.configure(quotas.BucketLimits(0.1, 1), 0 * SECOND)

        self.assertEqual(1, self.bucket.take(5, 0 * SECOND))

    def test_borrows_before_it_is_empty(self):
        self.assertEqual(0, self.bucket.wanted(0 * SECOND))
        self.bucket.take(2, 0 * SECOND)

        self.assertEqual(2, self.bucket.wanted(0 * SECOND))

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.floats(0.1, 1000),
        strategies.integers(0, 1000),
        strategies.integers(1, 9),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["take", "move"]),
                strategies.integers(0, 8),
                strategies.integers(0, 8),
                strategies.integers(1, 400),
                strategies.integers(0, 30),
            ),
            max_size=60,
        ),
    )
    def test_all_zones_together_stay_within_the_quota(
        self, rate, burst, zones, steps
    ):
        """Checks the tolerated bound in every window of five seconds."""
        tolerance = quotas.Tolerance(5 * SECOND, 0.1, 20)
        limit = quotas.BucketLimits.for_zone(rate, burst, zones, tolerance)
        now = 0 * SECOND
        buckets = [
            quotas.TokenBucket(limit, limit.capacity, now) for _ in range(zones)
        ]
        taken = []
        for action, first, second, count, tenths in steps:
            now += tenths * SECOND / 10
            bucket = buckets[first % zones]
            if action == "take":
                taken.append((now, bucket.take(count, now)))
            elif first % zones != second % zones:
                bucket.borrow(buckets[second % zones].lend(count, now), now)
        allowed = (rate * 5 + burst) * 1.1 + 20
        for start, _ in taken:
            window = [
                count for at, count in taken if start <= at < start + 5 * SECOND
            ]
            self.assertLessEqual(sum(window), max(allowed, zones))
