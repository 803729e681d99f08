"""Tests of the request metrics."""

import datetime
import unittest

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import request_metrics

_RESPONSE = expression.Ok(exchange.Response(200, ()))


class RequestCountsTest(unittest.TestCase):
    """Guards against requests that are counted twice or not at all."""

    def setUp(self):
        self._clock = clocks.ManualClock()
        self._metrics = request_metrics.RequestMetrics(self._clock)

    def _run_request(self, result, milliseconds=1):
        started = self._metrics.record_start()
        self._clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self._metrics.record_end(started, "riders", result)

    def test_requests_are_counted_by_outcome(self):
        self._run_request(_RESPONSE)
        self._run_request(
            expression.Error(exchange.not_run_refusal(exchange.Reason.BUSY))
        )
        self._run_request(
            expression.Error(
                exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
            )
        )
        self._run_request(None)

        self.assertEqual(
            {
                request_metrics.RequestOutcome("riders", "answered"): 1,
                request_metrics.RequestOutcome("riders", "not-run", "busy"): 1,
                request_metrics.RequestOutcome(
                    "riders", "unknown", "target-lost"
                ): 1,
                request_metrics.RequestOutcome("riders", "caller-left"): 1,
            },
            dict(self._metrics.outcomes()),
        )
        self.assertEqual(0, self._metrics.in_flight)

    def test_latencies_are_counted_in_buckets(self):
        for milliseconds in (1, 2, 60_000):
            self._run_request(_RESPONSE, milliseconds)

        latencies = self._metrics.latencies["riders"]
        self.assertEqual([1, 1], latencies.buckets[:2])
        self.assertEqual(1, latencies.buckets[-1])
        self.assertAlmostEqual(60.003, latencies.sum_seconds)

    def test_attempts_after_the_first_are_retries(self):
        for attempt in (1, 2, 1):
            self._metrics.record_attempt("riders", attempt)

        self.assertEqual(3, self._metrics.attempts["riders"])
        self.assertEqual(1, self._metrics.retries["riders"])
