"""The pattern: targets that take work and do not answer it, for seconds.

Every nine seconds three targets in ten leave three quarters of their work
unanswered for three seconds; nothing of it ends before its caller has given up.
"""

import datetime
import unittest
from unittest import mock

from endivewind.decisions import silence
from endivewind.tests.loads import fleet

LOOKUP = fleet.Kind("lookup", 48, 0.66, 0.3, 2.15, 4.0, rank=2)
ORDER = fleet.Kind("order", 48, 0.85, 0.8, 2.2, 4.0, once=True)
SICK_SHARE = 0.3
HANGS = 0.75
SPELLS = 3


def _play(seed, retries=(20, 60)):
    played = fleet.Fleet(
        seed, targets_per_zone=4, entries_per_zone=4, slots=8, retries=retries
    )
    for _ in range(SPELLS):
        sick = played.draw(SICK_SHARE)
        for target in sick:
            target.hangs = HANGS
        played.play(3, (LOOKUP, ORDER))
        for target in sick:
            target.hangs = 0.0
        played.play(6, (LOOKUP, ORDER))
    return played.outcomes


class SilenceTest(unittest.TestCase):
    def test_what_is_open_speaks_before_it_ends(self):
        """Guards against orders for a target that answers none of them."""
        with mock.patch.object(
            silence.AnswerTimes, "likelihood", return_value=1.0
        ):
            before = [_play(seed) for seed in (1, 2)]
        after = [_play(seed) for seed in (1, 2)]

        for kind, share in (("order", 0.75), ("lookup", 0.75)):
            lost = [
                sum(item[kind].failed for item in outcomes)
                for outcomes in (before, after)
            ]
            self.assertLess(lost[1], share * lost[0], kind)

    def test_lookups_are_tried_elsewhere_with_most_retries_spent(self):
        """Guards against look-ups that wait out their callers.

        What is silent past its aim has failed, and retries are for that.
        """
        outcomes = _play(3, retries=(10, 24))

        self.assertLess(outcomes["lookup"].lost, 0.03)


class AnswerTimesTest(unittest.TestCase):
    aim = datetime.timedelta(seconds=2)

    def setUp(self):
        self.times = silence.AnswerTimes()

    def likelihood(self, seconds):
        age = datetime.timedelta(seconds=seconds)
        return self.times.likelihood(self.aim, age)

    def test_silence_says_little_at_first_and_more_and_more(self):
        found = [self.likelihood(at) for at in (0.2, 0.5, 1.0, 1.5, 3, 60)]

        self.assertEqual(sorted(found), found)
        self.assertEqual(1.0, found[0])
        self.assertLess(found[1], 2)
        self.assertGreater(found[3], 5)

    def test_no_silence_is_proof(self):
        """Work has a tail; one long request must not condemn its target."""
        self.assertLess(self.likelihood(600), 1 / silence.TAIL)

    def test_it_learns_how_long_work_takes(self):
        before = self.likelihood(0.6)
        for _ in range(40):
            self.times.take(self.aim, datetime.timedelta(seconds=0.1))
        quick = self.likelihood(0.6)
        for _ in range(300):
            self.times.take(self.aim, datetime.timedelta(seconds=1.5))

        self.assertGreater(quick, 3 * before)
        self.assertLess(self.likelihood(1.5), 2)

    def test_without_an_aim_nothing_is_known(self):
        age = datetime.timedelta(seconds=9)

        self.assertEqual(1.0, self.times.likelihood(datetime.timedelta(), age))
