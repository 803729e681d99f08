"""Tests of the circuit breakers for home nodes."""

import datetime
import unittest

from endivewind.decisions import circuit_breakers

_SECOND = datetime.timedelta(seconds=1)


class CircuitBreakersTest(unittest.TestCase):
    """A circuit opens after two failures; one request tries it again."""

    def setUp(self):
        self.breakers = circuit_breakers.CircuitBreakers()

    def test_one_failure_leaves_the_circuit_closed(self):
        self.breakers.record_failure("home", _SECOND)

        self.assertTrue(self.breakers.allows("home", _SECOND))

    def test_two_failures_open_the_circuit_for_the_open_time(self):
        self._fail_twice(at=_SECOND)

        self.assertFalse(self.breakers.allows("home", _SECOND))
        self.assertTrue(self.breakers.allows("home", 2 * _SECOND))

    def test_half_open_circuit_allows_a_single_trial(self):
        """Guards against many slow requests each time the open time ends.

        One request is sent as a trial and gets no response; requests that
        arrive meanwhile must be placed at other homes.
        """
        self._fail_twice(at=_SECOND)

        self.breakers.record_start("home", 2 * _SECOND)

        self.assertFalse(self.breakers.allows("home", 2 * _SECOND))

    def test_failed_trials_lengthen_the_open_time_up_to_the_limit(self):
        now = _SECOND
        self._fail_twice(at=now)
        for _ in range(10):
            now += circuit_breakers.MAX_OPEN_TIME
            self.breakers.record_failure("home", now)

        self.assertFalse(
            self.breakers.allows(
                "home", now + circuit_breakers.MAX_OPEN_TIME - _SECOND
            )
        )
        self.assertTrue(
            self.breakers.allows("home", now + circuit_breakers.MAX_OPEN_TIME)
        )

    def test_response_closes_the_circuit(self):
        self._fail_twice(at=_SECOND)

        self.breakers.record_success("home")

        self.assertTrue(self.breakers.allows("home", _SECOND))

    def _fail_twice(self, at: datetime.timedelta):
        self.breakers.record_failure("home", at)
        self.breakers.record_failure("home", at)
