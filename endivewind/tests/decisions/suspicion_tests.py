"""Tests of the suspicion of a target after sequences of signals."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import suspicion

SECOND = datetime.timedelta(seconds=1)
Signal = suspicion.SuspicionSignal


class SuspicionTest(unittest.TestCase):
    """One target with five requests per second, the load in production."""

    def setUp(self):
        self.now = SECOND
        self.suspicion = suspicion.SuspicionEstimator(self.now)

    def observe(self, signal, count=1):
        for _ in range(count):
            self.now += SECOND / 5
            self.suspicion.observe(signal, self.now)
        return self.suspicion.probability(self.now)

    def test_one_failure_after_many_successes_makes_target_suspect(self):
        before = self.observe(Signal.SUCCESS, 20)
        after = self.observe(Signal.FAILURE)

        self.assertLess(before, 0.02)
        self.assertTrue(0.2 < after < 0.5, after)

    def test_two_failures_in_a_row_give_high_suspicion(self):
        self.observe(Signal.SUCCESS, 20)

        self.assertGreater(self.observe(Signal.FAILURE, 2), 0.9)

    def test_single_failure_is_outweighed_by_two_successes(self):
        self.observe(Signal.SUCCESS, 20)
        self.observe(Signal.FAILURE)

        self.assertLess(self.observe(Signal.SUCCESS, 2), 0.15)

    def test_target_recovers_after_five_successes(self):
        """Recovery is not announced, and capacity must not stay unused.

        The target has failed a hundred requests before.
        """
        self.observe(Signal.FAILURE, 100)

        self.assertLess(self.observe(Signal.SUCCESS, 5), 0.15)

    def test_suspicion_decays_to_the_prior_without_signals(self):
        self.observe(Signal.FAILURE, 10)

        later = self.suspicion.probability(self.now + 30 * SECOND)

        self.assertAlmostEqual(suspicion.PRIOR_SUSPICION, later, delta=0.01)

    def test_decay_ignores_a_negative_age(self):
        """Nodes' clocks differ, so an update may seem to be from the future."""
        found = suspicion.decay(0.9, -SECOND)

        self.assertAlmostEqual(0.9, found)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(list(Signal)),
                strategies.floats(0, 100),
            ),
            max_size=50,
        )
    )
    def test_suspicion_stays_within_limits_and_can_recover(self, signals):
        estimator = suspicion.SuspicionEstimator(SECOND)
        now = SECOND
        for signal, seconds in signals:
            now += seconds * SECOND
            estimator.observe(signal, now)
            self.assertTrue(
                0 < estimator.probability(now) <= suspicion.MAX_ESTIMATE
            )

        for _ in range(8):
            estimator.observe(Signal.SUCCESS, now)

        self.assertLess(estimator.probability(now), 0.1)
