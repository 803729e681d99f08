"""Tests of the judgement of paths."""

import datetime
import unittest

from endivewind.decisions import paths

_SECOND = datetime.timedelta(seconds=1)


class PathsTest(unittest.TestCase):
    """A path is closed only for cause, and tried again with one request."""

    def setUp(self):
        self.paths = paths.Paths()

    def test_one_failure_leaves_the_path_open(self):
        self.paths.failed("home", _SECOND)

        self.assertTrue(self.paths.usable("home", _SECOND))

    def test_two_failures_close_it_for_the_hold(self):
        self._fail_twice(at=_SECOND)

        self.assertFalse(self.paths.usable("home", _SECOND))
        self.assertTrue(self.paths.usable("home", 2 * _SECOND))

    def test_a_trial_keeps_others_away_until_it_ends(self):
        """Callers see one slow request a hold, not all of them.

        The hold ends, one request is sent as a trial and stays silent; those
        that come meanwhile must go elsewhere.
        """
        self._fail_twice(at=_SECOND)

        self.paths.started("home", 2 * _SECOND)

        self.assertFalse(self.paths.usable("home", 2 * _SECOND))

    def test_a_failed_trial_lengthens_the_hold_up_to_the_limit(self):
        now = _SECOND
        self._fail_twice(at=now)
        for _ in range(10):
            now += paths.LAST_HOLD
            self.paths.failed("home", now)

        self.assertFalse(
            self.paths.usable("home", now + paths.LAST_HOLD - _SECOND)
        )
        self.assertTrue(self.paths.usable("home", now + paths.LAST_HOLD))

    def test_an_answer_opens_it(self):
        self._fail_twice(at=_SECOND)

        self.paths.succeeded("home")

        self.assertTrue(self.paths.usable("home", _SECOND))

    def _fail_twice(self, at: datetime.timedelta):
        self.paths.failed("home", at)
        self.paths.failed("home", at)
