"""Tests of the rate limits that targets set for themselves."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import rate_limits

_SECOND = datetime.timedelta(seconds=1)
_START = datetime.timedelta(minutes=1)
_WINDOW = datetime.timedelta(seconds=4)


def _limited(rate):
    limit = rate_limits.RateLimit()
    limit.set_rate(rate, _START)
    return limit


class RateLimitTest(unittest.TestCase):
    def test_without_a_limit_every_request_is_allowed(self):
        limit = rate_limits.RateLimit()

        self.assertTrue(all(limit.take(_START) for _ in range(100)))
        self.assertEqual(datetime.timedelta(), limit.wait(_START, 50))

    def test_first_limit_starts_without_a_burst(self):
        limit = _limited(4)

        self.assertFalse(limit.take(_START))
        self.assertEqual(_SECOND / 4, limit.wait(_START))

    def test_burst_after_a_pause_is_one_second_of_requests(self):
        limit = _limited(4)
        later = _START + 10 * _SECOND

        taken = [limit.take(later) for _ in range(6)]

        self.assertEqual([True] * 4 + [False] * 2, taken)

    def test_wait_counts_the_requests_ahead(self):
        limit = _limited(2)

        self.assertEqual(_SECOND / 2, limit.wait(_START))
        self.assertEqual(3 * _SECOND / 2, limit.wait(_START, 2))

    def test_limit_of_zero_still_allows_a_request_in_ten_seconds(self):
        """Guards against a target that is never asked whether it recovered.

        Only a response can lift a limit, so a target that accepts nothing must
        get a request now and then.
        """
        limit = _limited(0)

        self.assertFalse(limit.take(_START + 9 * _SECOND))
        self.assertTrue(limit.take(_START + 10 * _SECOND))
        self.assertFalse(limit.take(_START + 19 * _SECOND))

    def test_higher_limit_takes_effect_at_once(self):
        limit = _limited(0.1)

        limit.set_rate(10, _START)

        self.assertLessEqual(limit.wait(_START), 10 * _SECOND)
        self.assertTrue(limit.take(_START + 10 * _SECOND))

    def test_response_without_a_limit_lifts_it(self):
        limit = _limited(1)

        limit.lift(_START + _SECOND)

        self.assertIsNone(limit.rate)
        self.assertTrue(limit.take(_START))

    def test_crossed_response_does_not_lift_the_limit(self):
        """Guards against lifting a limit by a response from before it.

        The request was sent before the limit was named, and its response
        arrives after the one that named it.
        """
        limit = _limited(1)

        limit.lift(_START - _SECOND)

        self.assertEqual(1, limit.rate)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.floats(0.1, 20),
        strategies.lists(strategies.integers(0, 700), max_size=200),
    )
    def test_no_window_exceeds_the_limit_by_more_than_the_burst(
        self, rate, gaps
    ):
        """Requests arrive with any gaps, in milliseconds."""
        limit = _limited(rate)
        now = _START
        sent = []
        for gap in gaps:
            now += datetime.timedelta(milliseconds=gap)
            if limit.take(now):
                sent.append(now)
        allowed = rate * (_WINDOW / _SECOND) + max(1, rate) + 1e-3

        for start in sent:
            count = sum(start <= time < start + _WINDOW for time in sent)
            self.assertLessEqual(count, allowed)


if __name__ == "__main__":
    unittest.main()
