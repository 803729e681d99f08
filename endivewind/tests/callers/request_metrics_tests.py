"""Tests of the request metrics."""

import datetime
import unittest

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import counts

_RESPONSE = expression.Ok(exchange.Response(200, ()))


class RequestCountsTest(unittest.TestCase):
    """Guards against requests that are counted twice or not at all."""

    def setUp(self):
        self._clock = clocks.ManualClock()
        self._metrics = counts.RequestCounts(self._clock)

    def _run_request(self, result, milliseconds=1):
        started = self._metrics.started()
        self._clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self._metrics.ended(started, "riders", result)

    def test_requests_are_counted_by_outcome(self):
        self._run_request(_RESPONSE)
        self._run_request(
            expression.Error(exchange.not_run(exchange.Reason.BUSY))
        )
        self._run_request(
            expression.Error(
                exchange.outcome_unknown(exchange.Reason.TARGET_LOST)
            )
        )
        self._run_request(None)

        self.assertEqual(
            {
                counts.Ending("riders", "answered"): 1,
                counts.Ending("riders", "not-run", "busy"): 1,
                counts.Ending("riders", "unknown", "target-lost"): 1,
                counts.Ending("riders", "caller-left"): 1,
            },
            dict(self._metrics.endings()),
        )
        self.assertEqual(0, self._metrics.in_flight)

    def test_latencies_are_counted_in_buckets(self):
        for milliseconds in (1, 2, 60_000):
            self._run_request(_RESPONSE, milliseconds)

        latencies = self._metrics.latencies["riders"]
        self.assertEqual([1, 1], latencies.buckets[:2])
        self.assertEqual(1, latencies.buckets[-1])
        self.assertAlmostEqual(60.003, latencies.seconds)

    def test_attempts_after_the_first_are_retries(self):
        for attempt in (1, 2, 1):
            self._metrics.placed("riders", attempt)

        self.assertEqual(3, self._metrics.placings["riders"])
        self.assertEqual(1, self._metrics.retries["riders"])
