"""Counts of requests, as metrics read them."""

import datetime
import unittest

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import counts

_ANSWER = expression.Ok(exchange.Response(200, ()))


class RequestCountsTest(unittest.TestCase):
    """Every request is counted once, whichever way it ends."""

    def setUp(self):
        self._clock = clocks.ManualClock()
        self._counts = counts.RequestCounts(self._clock)

    def _request(self, result, milliseconds=1):
        started = self._counts.started()
        self._clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self._counts.ended(started, "riders", result)

    def test_each_way_to_end(self):
        self._request(_ANSWER)
        self._request(expression.Error(exchange.not_run(exchange.Reason.BUSY)))
        self._request(
            expression.Error(
                exchange.outcome_unknown(exchange.Reason.TARGET_LOST)
            )
        )
        self._request(None)

        self.assertEqual(
            {
                counts.Ending("riders", "answered"): 1,
                counts.Ending("riders", "not-run", "busy"): 1,
                counts.Ending("riders", "unknown", "target-lost"): 1,
                counts.Ending("riders", "caller-left"): 1,
            },
            dict(self._counts.endings()),
        )
        self.assertEqual(0, self._counts.in_flight)

    def test_latencies_fall_into_their_buckets(self):
        for milliseconds in (1, 2, 60_000):
            self._request(_ANSWER, milliseconds)

        latencies = self._counts.latencies["riders"]
        self.assertEqual([1, 1], latencies.buckets[:2])
        self.assertEqual(1, latencies.buckets[-1])
        self.assertAlmostEqual(60.003, latencies.seconds)

    def test_a_retry_is_a_placing_after_the_first(self):
        for attempt in (1, 2, 1):
            self._counts.placed("riders", attempt)

        self.assertEqual(3, self._counts.placings["riders"])
        self.assertEqual(1, self._counts.retries["riders"])
