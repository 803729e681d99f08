"""Tests of what a target's call inherits from the requests that run."""

import dataclasses
import datetime
import random
import unittest

from endivewind.decisions import inherited_priority

SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=100)
ROUTE = inherited_priority.CallRoute("venues", "/status/")


def _running(priority, workspace="", objective=1.0):
    return inherited_priority.RunningRequest(
        priority, objective * SECOND, workspace
    )


URGENT = _running(9, workspace="a")
PATIENT = _running(1, workspace="b")


def _learn(frequencies, running, calls, seconds=10):
    """Lets requests run, and has calls arrive meanwhile."""
    for _ in range(10 * seconds):
        frequencies.record_running(running, TICK)
    for _ in range(calls):
        frequencies.record_call(ROUTE, running)


class InheritanceTest(unittest.TestCase):
    def setUp(self):
        self.frequencies = inherited_priority.CallFrequencies()

    def test_call_belongs_to_the_only_running_request(self):
        inherited = self.frequencies.inherit(ROUTE, [PATIENT])

        self.assertEqual(1, inherited.queue_priority)
        self.assertEqual("b", inherited.workspace)
        self.assertIs(inherited_priority.Basis.ONLY, inherited.basis)

    def test_call_of_a_duplicate_is_recognized_among_other_requests(self):
        """Guards against calls of retried requests that are charged in part.

        Only patient requests make calls. One that was retried runs beside two
        urgent ones, or an urgent one was.
        """
        retried = dataclasses.replace(PATIENT, repeat_probability=1.0)
        retried_urgent = dataclasses.replace(URGENT, repeat_probability=1.0)
        probability = self._duplicate_probability
        self.assertAlmostEqual(
            1 / 3, probability(ROUTE, [URGENT, retried, URGENT])
        )
        _learn(self.frequencies, [PATIENT], 40)
        _learn(self.frequencies, [URGENT], 0)

        self.assertGreater(probability(ROUTE, [URGENT, retried, URGENT]), 0.5)
        self.assertLess(probability(ROUTE, [retried_urgent, PATIENT]), 0.3)
        self.assertEqual(0.0, probability(ROUTE, []))

    def _duplicate_probability(self, route, running):
        """Returns the probability that a retried request makes a call."""
        probabilities = self.frequencies.probabilities(route, running)
        return sum(
            probability
            for request, probability in zip(running, probabilities, strict=True)
            if request.repeat_probability
        )

    def test_classes_take_bounded_memory(self):
        """Guards against growth with many new classes between two samples."""
        running = [_running(priority) for priority in range(100)]
        short = [_running(priority) for priority in range(100, 200)]

        self.frequencies.record_running(running, TICK)
        self.frequencies.record_call(ROUTE, short)

        limit = inherited_priority.MAX_CLASSES
        self.assertEqual(limit, len(self.frequencies._running_seconds))
        self.assertLessEqual(len(self.frequencies._calls[ROUTE]), limit)

    def test_nothing_is_inherited_from_an_idle_target(self):
        self.assertIsNone(self.frequencies.inherit(ROUTE, []))

    def test_unknown_frequencies_give_the_highest_priority(self):
        """Guards against refused calls of urgent requests after a restart."""
        inherited = self.frequencies.inherit(ROUTE, [PATIENT, URGENT])

        self.assertEqual(9, inherited.queue_priority)
        self.assertEqual("a", inherited.workspace)
        self.assertIs(inherited_priority.Basis.HIGHEST, inherited.basis)

    def test_class_that_makes_no_calls_gives_none_its_priority(self):
        """Guards against calls that displace more urgent requests."""
        _learn(self.frequencies, [PATIENT], 30)
        _learn(self.frequencies, [URGENT], 0)

        inherited = self.frequencies.inherit(ROUTE, [URGENT, PATIENT])

        self.assertEqual(1, inherited.queue_priority)
        self.assertEqual("b", inherited.workspace)

    def test_equal_rates_give_the_highest_priority(self):
        """Guards against calls of urgent requests at a low priority.

        Random differences between the learned rates must not decide.
        """
        _learn(self.frequencies, [PATIENT], 35)
        _learn(self.frequencies, [URGENT], 25)

        inherited = self.frequencies.inherit(ROUTE, [URGENT, PATIENT])

        self.assertEqual(9, inherited.queue_priority)

    def test_new_class_is_not_taken_for_one_without_calls(self):
        """Guards against refused calls of a class that has just appeared."""
        _learn(self.frequencies, [PATIENT], 30)

        inherited = self.frequencies.inherit(ROUTE, [URGENT, PATIENT])

        self.assertEqual(9, inherited.queue_priority)

    def test_classes_are_told_apart_that_never_run_alone(self):
        """Guards against frequencies that need a lightly loaded target.

        One to three requests run at any time; only the patient ones call.
        """
        rng = random.Random(1)
        for _ in range(3_000):
            running = [
                rng.choice((URGENT, PATIENT)) for _ in range(rng.randint(2, 3))
            ]
            self.frequencies.record_running(running, TICK)
            for request in running:
                if request is PATIENT and rng.random() < 0.1:
                    self.frequencies.record_call(ROUTE, running)

        inherited = self.frequencies.inherit(ROUTE, [URGENT, PATIENT])

        self.assertEqual(1, inherited.queue_priority)

    def test_old_calls_are_forgotten(self):
        """Guards against frequencies of an earlier release of the target."""
        _learn(self.frequencies, [PATIENT], 30)
        _learn(self.frequencies, [URGENT], 0)
        hour = 3_600
        _learn(self.frequencies, [URGENT], 360, seconds=hour)
        _learn(self.frequencies, [PATIENT], 0, seconds=hour // 10)

        inherited = self.frequencies.inherit(ROUTE, [URGENT, PATIENT])

        self.assertEqual(9, inherited.queue_priority)

    def test_state_is_bounded(self):
        """Guards against memory that grows with callers' latency objectives."""
        for number in range(500):
            request = _running(number, objective=number)
            route = inherited_priority.CallRoute("venues", f"/{number}/")
            self.frequencies.record_running([request], TICK)
            self.frequencies.record_call(route, [request])

        self.assertLessEqual(
            len(self.frequencies._calls), inherited_priority.MAX_ROUTES
        )
        self.assertLessEqual(
            len(self.frequencies._running_seconds),
            inherited_priority.MAX_CLASSES,
        )


if __name__ == "__main__":
    unittest.main()
