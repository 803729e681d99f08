"""The pattern: few requests, and a target that has proved nothing yet.

Targets with many slots for their work: at a fifth of the users' usual rates a
request takes a twentieth of one, so that the choice between two targets rests
on what is known of each.
"""

import unittest

from endivewind.tests.loads import fleet

USUAL = (fleet.ORDER, fleet.LOOKUP)
QUIET = 0.2
SLOTS = 20
# Chance alone moves the share of one target in thirteen by a fifth of it in
# thirty seconds; a third of the mean is far below that.
LEAST_SHARE = 1 / 3


class JoiningTest(unittest.TestCase):
    """A healthy target gets its share, whatever is known of the others."""

    def test_target_that_joins_proven_ones_gets_work(self):
        """One target comes when the others have answered for a while.

        If each proven target were preferred to it, however little that says,
        it would get no request, and so stay unproven for ever.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                played = fleet.Fleet(seed, slots=SLOTS)
                played.play(20, USUAL, scale=QUIET)
                joined = played.join("a-x-new", "a-x")
                self._check_share(played, joined)

    def test_target_that_was_idle_for_long_gets_work_again(self):
        """A zone's callers were away; one of its targets stayed in use.

        What was known of the other has gone back to the usual meanwhile.
        """
        for seed in (1, 2, 3):
            with self.subTest(seed):
                played = fleet.Fleet(seed, slots=SLOTS)
                played.play(10, USUAL, scale=QUIET)
                rested = played.targets["a-x-0"]
                rested.fails = 1.0
                played.play(3, USUAL, scale=QUIET)
                rested.fails = 0.0
                played.play(40, USUAL, zones=fleet.ZONES[1:], scale=QUIET)
                self._check_share(played, rested)

    def _check_share(self, played, target):
        for item in played.targets.values():
            item.served = 0
        played.play(30, USUAL, scale=QUIET)
        served = [item.served for item in played.targets.values()]
        mean = sum(served) / len(served)
        self.assertGreater(target.served, LEAST_SHARE * mean)
