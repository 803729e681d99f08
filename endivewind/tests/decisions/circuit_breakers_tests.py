"""Tests of the circuit breakers for home nodes."""

import datetime
import unittest

from endivewind.decisions import paths

_SECOND = datetime.timedelta(seconds=1)


class CircuitBreakersTest(unittest.TestCase):
    """A circuit opens after two failures; one request tries it again."""

    def setUp(self):
        self.breakers = paths.Paths()

    def test_one_failure_leaves_the_circuit_closed(self):
        self.breakers.failed("home", _SECOND)

        self.assertTrue(self.breakers.usable("home", _SECOND))

    def test_two_failures_open_the_circuit_for_the_open_time(self):
        self._fail_twice(at=_SECOND)

        self.assertFalse(self.breakers.usable("home", _SECOND))
        self.assertTrue(self.breakers.usable("home", 2 * _SECOND))

    def test_half_open_circuit_allows_a_single_trial(self):
        """Guards against many slow requests each time the open time ends.

        One request is sent as a trial and gets no response; requests that
        arrive meanwhile must be placed at other homes.
        """
        self._fail_twice(at=_SECOND)

        self.breakers.started("home", 2 * _SECOND)

        self.assertFalse(self.breakers.usable("home", 2 * _SECOND))

    def test_failed_trials_lengthen_the_open_time_up_to_the_limit(self):
        now = _SECOND
        self._fail_twice(at=now)
        for _ in range(10):
            now += paths.LAST_HOLD
            self.breakers.failed("home", now)

        self.assertFalse(
            self.breakers.usable("home", now + paths.LAST_HOLD - _SECOND)
        )
        self.assertTrue(self.breakers.usable("home", now + paths.LAST_HOLD))

    def test_response_closes_the_circuit(self):
        self._fail_twice(at=_SECOND)

        self.breakers.succeeded("home")

        self.assertTrue(self.breakers.usable("home", _SECOND))

    def _fail_twice(self, at: datetime.timedelta):
        self.breakers.failed("home", at)
        self.breakers.failed("home", at)
