"""How likely a target is sick, by what its requests have told."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import suspicion

SECOND = datetime.timedelta(seconds=1)
Signal = suspicion.Signal


class SuspicionTest(unittest.TestCase):
    """A target with five requests a second, as the users' targets have."""

    def setUp(self):
        self.now = SECOND
        self.suspicion = suspicion.Suspicion(self.now)

    def take(self, signal, count=1):
        for _ in range(count):
            self.now += SECOND / 5
            self.suspicion.take(signal, self.now)
        return self.suspicion.probability(self.now)

    def test_one_failure_after_many_answers_is_a_doubt(self):
        well = self.take(Signal.GOOD, 20)
        doubted = self.take(Signal.FAILED)

        self.assertLess(well, 0.02)
        self.assertTrue(0.2 < doubted < 0.5, doubted)

    def test_two_failures_in_a_row_are_near_certain(self):
        self.take(Signal.GOOD, 20)

        self.assertGreater(self.take(Signal.FAILED, 2), 0.9)

    def test_a_single_failure_is_forgotten_after_two_answers(self):
        self.take(Signal.GOOD, 20)
        self.take(Signal.FAILED)

        self.assertLess(self.take(Signal.GOOD, 2), 0.15)

    def test_a_target_that_failed_for_long_is_back_after_five_answers(self):
        """Its spell ends without a word; capacity must not stay unused."""
        self.take(Signal.FAILED, 100)

        self.assertLess(self.take(Signal.GOOD, 5), 0.15)

    def test_without_news_the_doubt_fades(self):
        self.take(Signal.FAILED, 10)

        later = self.suspicion.probability(self.now + 30 * SECOND)

        self.assertAlmostEqual(suspicion.UNKNOWN, later, delta=0.01)

    def test_news_from_another_clock_does_no_harm(self):
        """A probability that seems to come from the future is taken as new."""
        found = suspicion.drifted(0.9, -SECOND)

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
    def test_it_stays_a_probability_from_which_there_is_a_way_back(self, news):
        judged = suspicion.Suspicion(SECOND)
        now = SECOND
        for signal, seconds in news:
            now += seconds * SECOND
            judged.take(signal, now)
            self.assertTrue(0 < judged.probability(now) <= suspicion.MOST)

        for _ in range(8):
            judged.take(Signal.GOOD, now)

        self.assertLess(judged.probability(now), 0.1)
